//! The byte transport of a caller, with or without TLS.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use ntex::codec::Decoder;
use ntex::io::IoBoxed;
use ntex::util::Either;
use session_core::memory_account::MemoryPart;

use crate::connection::caller_memory::ALLOWANCE_BYTES;
use crate::connection::caller_memory::ConnectionMemory;
use crate::connection::listener_config::CallerLimits;
use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;

/// Why a caller's connection must be closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerFault {
    /// The caller closed the connection, or the connection failed.
    Disconnected,
    /// The caller sent something that is not a valid message.
    Frame(FrameError),
    /// The rest of a message did not arrive in time.
    Overdue,
    /// Memory is short, and this connection holds the most without progress.
    MemoryShort,
    /// The reason has already been sent to the caller.
    Reported,
}

impl fmt::Display for CallerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallerFault::Disconnected => f.write_str("caller closed the connection"),
            CallerFault::Frame(error) => error.fmt(f),
            CallerFault::Overdue => f.write_str("the rest of a message did not arrive in time"),
            CallerFault::MemoryShort => {
                f.write_str("memory is short and the connection made no progress")
            }
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

/// Copies of a message that exist at once: the read buffer with its room to grow, the message, and
/// the output to the endpoint.
const MESSAGE_COPIES: usize = 3;

/// A message, or what must happen before it is read on.
#[derive(Debug)]
enum FrameStep {
    Whole(WireFrame),
    /// The message has begun, so that its time limit applies.
    Begun,
    /// The message has the given size, for which memory must be reserved.
    Large(usize),
}

/// The message that is being read.
#[derive(Debug, Default)]
struct PartialFrame {
    begun_at: Cell<Option<Instant>>,
    is_reserved: Cell<bool>,
    counted_bytes: Cell<usize>,
}

/// Decodes whole messages without parsing their bodies, and accounts for their memory.
struct FrameCodec<'a> {
    limit: usize,
    partial: &'a PartialFrame,
    memory: &'a ConnectionMemory,
}

impl Decoder for FrameCodec<'_> {
    type Item = FrameStep;
    type Error = FrameError;

    fn decode(&self, source: &mut ntex::util::BytesMut) -> Result<Option<FrameStep>, FrameError> {
        let Some((frame, size)) = WireFrame::copy_first(source, self.limit)? else {
            let size = WireFrame::peek_size(source, self.limit)?;
            return Ok(self.next_step(source.len(), size));
        };
        let _ = source.split_to(size);
        self.partial.begun_at.set(None);
        self.partial.is_reserved.set(false);
        self.partial.counted_bytes.set(0);
        let request = match size > ALLOWANCE_BYTES {
            true => size.saturating_mul(MESSAGE_COPIES),
            false => size,
        };
        self.memory.hand_over(request);
        Ok(Some(FrameStep::Whole(frame)))
    }
}

impl FrameCodec<'_> {
    fn next_step(&self, buffered: usize, size: Option<usize>) -> Option<FrameStep> {
        if buffered == 0 {
            return None;
        }
        let partial = self.partial;
        let counted = partial.counted_bytes.replace(buffered);
        self.memory.record_bytes(buffered.saturating_sub(counted));
        if partial.begun_at.get().is_none() {
            partial.begun_at.set(Some(Instant::now()));
            return Some(FrameStep::Begun);
        }
        let large = size.filter(|&size| size > ALLOWANCE_BYTES);
        match large {
            Some(size) if !partial.is_reserved.get() => Some(FrameStep::Large(size)),
            _ => None,
        }
    }
}

/// The connection of a caller, past the TLS negotiation.
pub struct CallerStream {
    io: IoBoxed,
    limit: usize,
    message_timeout: Duration,
    partial: PartialFrame,
    memory: ConnectionMemory,
}

impl CallerStream {
    /// Wraps a connection that accepts messages of the size of a start-up.
    pub fn new(io: IoBoxed, limits: &CallerLimits, memory: ConnectionMemory) -> Self {
        Self {
            io,
            limit: limits.max_startup_bytes,
            message_timeout: limits.message_timeout,
            partial: PartialFrame::default(),
            memory,
        }
    }

    /// Waits for the next message; cancel safe.
    ///
    /// While no request runs, fails if the rest of a message is overdue, or if memory is short and
    /// this connection was chosen to be closed.
    pub async fn recv(&self) -> Result<WireFrame, CallerFault> {
        let is_idle = !self.memory.is_busy();
        loop {
            let begun_at = self.partial.begun_at.get();
            let deadline = begun_at.map(|at| at + self.message_timeout);
            let step = tokio::select! {
                biased;
                () = self.memory.must_close(), if is_idle => return Err(CallerFault::MemoryShort),
                step = self.next_step() => step?,
                () = sleep_until(deadline), if is_idle => return Err(CallerFault::Overdue),
            };
            if let Some(frame) = step {
                return Ok(frame);
            }
        }
    }

    /// Reads until a message is complete, or until its limits change; returns `None` then.
    async fn next_step(&self) -> Result<Option<WireFrame>, CallerFault> {
        let codec = FrameCodec {
            limit: self.limit,
            partial: &self.partial,
            memory: &self.memory,
        };
        match self.io.recv(&codec).await {
            Ok(Some(FrameStep::Whole(frame))) => Ok(Some(frame)),
            Ok(Some(FrameStep::Begun)) => Ok(None),
            Ok(Some(FrameStep::Large(size))) => {
                // The buffer is limited until more is asked for, so nothing is read meanwhile.
                let bytes = size.saturating_mul(MESSAGE_COPIES);
                self.memory.reserve(MemoryPart::Input, bytes).await;
                self.partial.is_reserved.set(true);
                Ok(None)
            }
            Ok(None) | Err(Either::Right(_)) => Err(CallerFault::Disconnected),
            Err(Either::Left(error)) => Err(CallerFault::Frame(error)),
        }
    }

    /// Returns the memory of the connection.
    pub fn memory(&self) -> &ConnectionMemory {
        &self.memory
    }

    /// Sets the maximum length of a message, in bytes.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
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

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}
