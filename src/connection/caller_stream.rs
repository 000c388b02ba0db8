//! The byte transport of a caller, with or without TLS.

use std::fmt;
use std::io;

use bytes::BytesMut;
use ntex::codec::Decoder;
use ntex::io::IoBoxed;
use ntex::util::Either;

use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;

/// Why a caller's connection cannot go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerFault {
    /// The caller closed the connection, or it broke.
    Gone,
    /// The caller sent something that is not a valid message.
    Frame(FrameError),
    /// The caller was told the reason already.
    Told,
}

impl fmt::Display for CallerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallerFault::Gone => f.write_str("caller is gone"),
            CallerFault::Frame(error) => error.fmt(f),
            CallerFault::Told => f.write_str("connection was ended"),
        }
    }
}

impl std::error::Error for CallerFault {}

impl From<io::Error> for CallerFault {
    fn from(_: io::Error) -> Self {
        CallerFault::Gone
    }
}

impl From<FrameError> for CallerFault {
    fn from(error: FrameError) -> Self {
        CallerFault::Frame(error)
    }
}

/// Reads whole messages; their bodies stay as they are.
#[derive(Debug, Clone, Copy)]
pub struct FrameCodec {
    /// The longest message, in bytes.
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

/// The connection of a caller after start-up.
pub struct CallerStream {
    io: IoBoxed,
    codec: FrameCodec,
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(io: IoBoxed, limit: usize) -> Self {
        Self {
            io,
            codec: FrameCodec { limit },
        }
    }

    /// Waits for the next message; it may be abandoned without loss.
    pub async fn recv(&self) -> Result<WireFrame, CallerFault> {
        match self.io.recv(&self.codec).await {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) | Err(Either::Right(_)) => Err(CallerFault::Gone),
            Err(Either::Left(error)) => Err(CallerFault::Frame(error)),
        }
    }

    /// Changes the longest message that is accepted.
    pub fn set_limit(&mut self, limit: usize) {
        self.codec.limit = limit;
    }

    /// Adds bytes to the unsent output.
    pub fn write(&self, bytes: &[u8]) -> Result<(), CallerFault> {
        Ok(self.io.encode_slice(bytes)?)
    }

    /// Adds bytes to the unsent output and clears their buffer.
    pub fn write_all(&self, bytes: &mut BytesMut) -> Result<(), CallerFault> {
        if !bytes.is_empty() {
            self.write(bytes)?;
            bytes.clear();
        }
        Ok(())
    }

    /// Waits until the unsent output is below its bound.
    pub async fn drain(&self) -> Result<(), CallerFault> {
        Ok(self.io.flush(false).await?)
    }

    /// Waits until all output is sent.
    pub async fn flush(&self) -> Result<(), CallerFault> {
        Ok(self.io.flush(true).await?)
    }

    /// Closes the connection in an orderly way.
    pub async fn close(&self) {
        let _ = self.io.flush(true).await;
        let _ = self.io.shutdown().await;
    }
}
