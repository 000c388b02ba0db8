//! A connection of the line protocol whose buffers are bounded by its user and released when they
//! are empty.

use std::io;
use std::mem::MaybeUninit;

use bytes::Buf;
use bytes::BufMut;
use bytes::BytesMut;
use platform::line_frame::FrameError;
use platform::line_frame::MAX_MESSAGE_BYTES;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// Length up to which messages are read and buffers are kept in small steps.
const SMALL_BYTES: usize = 16 * 1024;

/// Maximum number of bytes of one read, which also bounds what is read ahead of a message's end.
const SMALL_STEP_BYTES: usize = 4 * 1024;
const LARGE_STEP_BYTES: usize = 64 * 1024;

/// Capacity up to which an empty buffer is kept.
const KEPT_BYTES: usize = 4 * 1024;

/// Maximum capacity of the input buffer.
pub const MAX_INPUT_BYTES: usize = MAX_MESSAGE_BYTES + LARGE_STEP_BYTES;

/// What has arrived on a stream and was not decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnreadInput {
    /// Nothing.
    Nothing,
    /// Some bytes.
    Bytes,
    /// The end of the stream.
    End,
}

/// A stream with its codec and buffers.
#[derive(Debug)]
pub struct LineChannel<C> {
    stream: TcpStream,
    codec: C,
    input: BytesMut,
    /// Whether the input has the capacity for a message of the maximum length.
    is_large: bool,
    output: BytesMut,
    /// Size of the output before any of it was written; its buffer is released as a whole.
    output_held: usize,
    /// Whether a message could not be encoded. What precedes and follows it would be read as belonging
    /// together, so that nothing more is written.
    is_incomplete: bool,
}

impl<C> LineChannel<C> {
    /// Creates a channel without buffers.
    pub fn new(stream: TcpStream, codec: C) -> Self {
        Self {
            stream,
            codec,
            input: BytesMut::new(),
            is_large: false,
            output: BytesMut::new(),
            output_held: 0,
            is_incomplete: false,
        }
    }

    /// Returns what is known to have arrived and was not decoded. Bytes that arrive meanwhile may be
    /// missed.
    pub fn unread(&self) -> UnreadInput {
        if !self.input.is_empty() {
            return UnreadInput::Bytes;
        }
        let peek = || SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        match self.stream.try_io(Interest::READABLE, peek) {
            Ok(1..) => UnreadInput::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => UnreadInput::Nothing,
            Ok(0) | Err(_) => UnreadInput::End,
        }
    }

    /// Returns the number of bytes that were read and not decoded.
    pub fn input_bytes(&self) -> usize {
        self.input.len()
    }

    /// Returns the size that the input has after the next read at most.
    pub fn input_bytes_ahead(&self) -> usize {
        self.input.len() + self.step()
    }

    /// Returns the number of bytes that are queued and not written.
    pub fn output_bytes(&self) -> usize {
        self.output.len()
    }

    /// Returns the number of bytes that the output occupies.
    pub fn output_held_bytes(&self) -> usize {
        self.output_held
    }

    fn step(&self) -> usize {
        match self.input.len() < SMALL_BYTES {
            true => SMALL_STEP_BYTES,
            false => LARGE_STEP_BYTES,
        }
    }

    /// Decodes the next message from the bytes that were read, if it is complete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no message of the protocol.
    pub fn decode<T>(&mut self) -> Result<Option<T>, FrameError>
    where
        C: Decoder<Item = T, Error = FrameError>,
    {
        let message = self.codec.decode(&mut self.input)?;
        if message.is_some() && self.is_large {
            // What is left would otherwise keep the buffer of the whole message.
            self.input = BytesMut::from(&self.input[..]);
            self.is_large = false;
        } else if self.input.is_empty() && self.input.capacity() > KEPT_BYTES {
            self.input = BytesMut::new();
        }
        Ok(message)
    }

    /// Reads some bytes and returns their number, which is 0 at the end of the stream. No bytes are
    /// lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection failed.
    pub async fn read_some(&mut self) -> io::Result<usize> {
        // A stream that always has bytes would otherwise keep the only thread from other tasks.
        tokio::task::consume_budget().await;
        loop {
            // An idle connection has no buffer: memory is allocated once there is something to read.
            self.stream.readable().await?;
            let step = self.step();
            if step == LARGE_STEP_BYTES && !self.is_large {
                // Reserved at once, as growing step by step would copy and overshoot. Pages that are
                // not written are not resident.
                self.input.reserve(MAX_INPUT_BYTES - self.input.len());
                self.is_large = true;
            }
            self.input.reserve(step);
            let mut part = (&mut self.input).limit(step);
            match self.stream.try_read_buf(&mut part) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// Appends a message to the output.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded. The output that was not written is then dropped, and
    /// nothing more can be written.
    pub fn queue<T>(&mut self, message: T) -> Result<(), FrameError>
    where
        C: Encoder<T, Error = FrameError>,
    {
        if let Err(error) = self.codec.encode(message, &mut self.output) {
            self.output = BytesMut::new();
            self.is_incomplete = true;
            return Err(error);
        }
        self.output_held = self.output_held.max(self.output.len());
        Ok(())
    }

    /// Reserves room for this many bytes of output.
    pub fn reserve_output(&mut self, bytes: usize) {
        self.output.reserve(bytes);
    }

    /// Writes as much of the output as the system takes at once.
    ///
    /// # Errors
    ///
    /// Fails if the connection failed, or a message could not be encoded.
    pub fn try_write(&mut self) -> io::Result<usize> {
        if self.is_incomplete {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut written = 0;
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(size) => {
                    written += size;
                    self.output.advance(size);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(written),
                Err(error) => return Err(error),
            }
        }
        if self.output_held > KEPT_BYTES {
            self.output = BytesMut::new();
        }
        self.output_held = 0;
        Ok(written)
    }

    /// Waits until the system takes output, and writes some.
    ///
    /// # Errors
    ///
    /// Fails if the connection failed.
    pub async fn write_some(&mut self) -> io::Result<usize> {
        self.stream.writable().await?;
        self.try_write()
    }

    /// Writes all output.
    ///
    /// # Errors
    ///
    /// Fails if the connection failed.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.try_write()?;
        while !self.output.is_empty() {
            self.write_some().await?;
        }
        Ok(())
    }

    /// Ends the stream towards the other side. Output that was not written is lost.
    ///
    /// # Errors
    ///
    /// Fails if the connection failed.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}
