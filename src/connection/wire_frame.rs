//! Whole protocol messages, forwarded without decoding their bodies.

use std::fmt;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Size of the type byte and the length field that precede a body.
pub const HEADER_BYTES: usize = 5;

/// A protocol message with its header.
///
/// `Debug` shows only the type and size, because a body may contain a key or data of a team.
#[derive(Clone)]
pub struct WireFrame {
    bytes: Bytes,
}

/// Why bytes are not a valid message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The length is shorter than the length field itself.
    BadLength,
    /// The message is longer than allowed.
    TooLarge {
        /// The value of the length field.
        bytes: usize,
        /// The maximum length.
        limit: usize,
    },
    /// The body ends within a field or a field is invalid.
    BadBody,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::BadLength => f.write_str("message length is invalid"),
            FrameError::TooLarge { bytes, limit } => {
                write!(f, "message has {bytes} bytes, at most {limit} are allowed")
            }
            FrameError::BadBody => f.write_str("message body is invalid"),
        }
    }
}

impl std::error::Error for FrameError {}

impl WireFrame {
    /// Creates a message from a type byte and a body.
    pub fn new(kind: u8, body: &[u8]) -> Self {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.push(kind);
        let length = u32::try_from(body.len() + 4).unwrap_or(u32::MAX);
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(body);
        Self {
            bytes: bytes.into(),
        }
    }

    /// Returns the size in bytes of the first message in a buffer, with the header; `None` if the
    /// header is incomplete.
    pub fn peek_size(buffer: &[u8], limit: usize) -> Result<Option<usize>, FrameError> {
        let Some(header) = buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
        if length < 4 {
            return Err(FrameError::BadLength);
        }
        if length > limit {
            return Err(FrameError::TooLarge {
                bytes: length,
                limit,
            });
        }
        Ok(Some(length + 1))
    }

    /// Copies the first message of a buffer and returns it with its size; `None` if it is
    /// incomplete.
    pub fn copy_first(buffer: &[u8], limit: usize) -> Result<Option<(Self, usize)>, FrameError> {
        match Self::peek_size(buffer, limit)? {
            Some(size) if buffer.len() >= size => {
                let bytes = Bytes::copy_from_slice(&buffer[..size]);
                Ok(Some((Self { bytes }, size)))
            }
            _ => Ok(None),
        }
    }

    /// Removes and returns the first message of a buffer; `None` if it is incomplete.
    pub fn split_first(buffer: &mut BytesMut, limit: usize) -> Result<Option<Self>, FrameError> {
        match Self::peek_size(buffer, limit)? {
            Some(size) if buffer.len() >= size => Ok(Some(Self {
                bytes: buffer.split_to(size).freeze(),
            })),
            _ => Ok(None),
        }
    }

    /// Returns the type byte.
    pub fn kind(&self) -> u8 {
        self.bytes[0]
    }

    /// Returns the body, without the header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }

    /// Returns the header and body.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns a copy of the header and body, for pgwire's decoders.
    pub fn to_buffer(&self) -> BytesMut {
        BytesMut::from(&self.bytes[..])
    }
}

impl fmt::Debug for WireFrame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WireFrame")
            .field("kind", &char::from(self.kind()))
            .field("bytes", &self.bytes.len())
            .finish()
    }
}

/// Splits a body after its first zero byte; returns the text before it and the bytes after it.
pub fn split_text(body: &[u8]) -> Result<(&[u8], &[u8]), FrameError> {
    let end = body
        .iter()
        .position(|&byte| byte == 0)
        .ok_or(FrameError::BadBody)?;
    Ok((&body[..end], &body[end + 1..]))
}

/// Returns the column values of a DataRow in text format; `None` stands for NULL.
pub fn read_row(body: &[u8]) -> Result<Vec<Option<&str>>, FrameError> {
    let (count, mut rest) = body.split_first_chunk::<2>().ok_or(FrameError::BadBody)?;
    let mut columns = Vec::new();
    for _ in 0..u16::from_be_bytes(*count) {
        if rest.len() < 4 {
            return Err(FrameError::BadBody);
        }
        let length = rest.get_i32();
        let Ok(length) = usize::try_from(length) else {
            columns.push(None);
            continue;
        };
        let (value, remaining) = rest.split_at_checked(length).ok_or(FrameError::BadBody)?;
        columns.push(Some(
            std::str::from_utf8(value).map_err(|_| FrameError::BadBody)?,
        ));
        rest = remaining;
    }
    Ok(columns)
}
