//! The byte transport of a caller, with or without TLS.

use std::fmt;
use std::io;

use bytes::BytesMut;
use ntex::codec::Decoder;
use ntex::io::IoBoxed;
use ntex::util::Either;

use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;

/// Why a caller's connection must be closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerFault {
    /// The caller closed the connection, or the connection failed.
    Disconnected,
    /// The caller sent something that is not a valid message.
    Frame(FrameError),
    /// The reason has already been sent to the caller.
    Reported,
}

impl fmt::Display for CallerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallerFault::Disconnected => f.write_str("caller closed the connection"),
            CallerFault::Frame(error) => error.fmt(f),
            CallerFault::Reported => f.write_str("connection was closed with an error"),
        }
    }
}

impl std::error::Error for CallerFault {}

impl From<io::Error> for CallerFault {
    fn from(_: io::Error) -> Self {
        CallerFault::Disconnected
    }
}

impl From<FrameError> for CallerFault {
    fn from(error: FrameError) -> Self {
        CallerFault::Frame(error)
    }
}

/// Decodes whole messages without parsing their bodies.
#[derive(Debug, Clone, Copy)]
pub struct FrameCodec {
    /// Maximum length of a message, in bytes.
    pub limit: usize,
}

impl Decoder for FrameCodec {
    type Item = WireFrame;
    type Error = FrameError;

    fn decode(&self, source: &mut ntex::util::BytesMut) -> Result<Option<WireFrame>, FrameError> {
        let Some((frame, size)) = WireFrame::copy_first(source, self.limit)? else {
            return Ok(None);
        };
        let _ = source.split_to(size);
        Ok(Some(frame))
    }
}

/// The connection of a caller, past the TLS negotiation.
pub struct CallerStream {
    io: IoBoxed,
    codec: FrameCodec,
}

impl CallerStream {
    /// Wraps a connection that accepts messages of up to `limit` bytes.
    pub fn new(io: IoBoxed, limit: usize) -> Self {
        Self {
            io,
            codec: FrameCodec { limit },
        }
    }

    /// Waits for the next message; cancel safe.
    pub async fn recv(&self) -> Result<WireFrame, CallerFault> {
        match self.io.recv(&self.codec).await {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) | Err(Either::Right(_)) => Err(CallerFault::Disconnected),
            Err(Either::Left(error)) => Err(CallerFault::Frame(error)),
        }
    }

    /// Sets the maximum length of a message, in bytes.
    pub fn set_limit(&mut self, limit: usize) {
        self.codec.limit = limit;
    }

    /// Adds bytes to the unsent output.
    pub fn write(&self, bytes: &[u8]) -> Result<(), CallerFault> {
        Ok(self.io.encode_slice(bytes)?)
    }

    /// Adds bytes to the unsent output and clears the given buffer.
    pub fn write_all(&self, bytes: &mut BytesMut) -> Result<(), CallerFault> {
        if !bytes.is_empty() {
            self.write(bytes)?;
            bytes.clear();
        }
        Ok(())
    }

    /// Waits until the unsent output is below its limit.
    pub async fn drain(&self) -> Result<(), CallerFault> {
        Ok(self.io.flush(false).await?)
    }

    /// Waits until all output is sent.
    pub async fn flush(&self) -> Result<(), CallerFault> {
        Ok(self.io.flush(true).await?)
    }

    /// Sends the remaining output and closes the connection.
    pub async fn close(&self) {
        let _ = self.io.flush(true).await;
        let _ = self.io.shutdown().await;
    }
}
