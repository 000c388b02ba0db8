//! Splits the messages of a link's channels into parts, so that a large message of one channel does
//! not delay those of the others.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum length of a message in bytes: a statement or an answer of 1 MiB with the session's
/// values.
pub const MAX_CHANNEL_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum length of the message data in one part, in bytes: 13 ms on a link of ten megabits per
/// second.
const PART_BYTES: usize = 16 * 1024;

/// Initial length of the buffer for received parts: most messages are short, and a host has a link
/// of each instance.
pub const READ_BUFFER_BYTES: usize = 1_024;

/// Length of a part's header: the channel and whether more parts of the message follow.
const HEADER_BYTES: usize = 5;

/// Maximum length of all incomplete messages of a link, in bytes.
const MAX_PARTIAL_BYTES: usize = 8 * 1024 * 1024;

/// Returns the codec of the parts.
pub fn part_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(HEADER_BYTES + PART_BYTES)
        .new_codec()
}

/// Messages that wait to be sent. The channels take turns after each part; the messages of one
/// channel stay in order.
#[derive(Debug, Default)]
pub struct PartQueue {
    messages: HashMap<u32, VecDeque<Bytes>>,
    turns: VecDeque<u32>,
    bytes: usize,
}

impl PartQueue {
    /// Appends a message of a channel.
    pub fn push(&mut self, channel: u32, message: Bytes) {
        self.bytes += message.len();
        let messages = self.messages.entry(channel).or_default();
        if messages.is_empty() {
            self.turns.push_back(channel);
        }
        messages.push_back(message);
    }

    /// Returns the number of queued bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Removes the next part and returns it with its header.
    pub fn pop(&mut self) -> Option<Bytes> {
        let channel = self.turns.pop_front()?;
        let messages = self.messages.get_mut(&channel)?;
        let message = messages.front_mut()?;
        let chunk = message.split_to(message.len().min(PART_BYTES));
        let more = !message.is_empty();
        if !more {
            messages.pop_front();
        }
        match messages.is_empty() {
            true => {
                self.messages.remove(&channel);
            }
            false => self.turns.push_back(channel),
        }
        self.bytes -= chunk.len();
        let mut part = BytesMut::with_capacity(HEADER_BYTES + chunk.len());
        part.put_u32(channel);
        part.put_u8(u8::from(more));
        part.put_slice(&chunk);
        Some(part.freeze())
    }
}

/// Reassembles the messages of each channel from parts.
#[derive(Debug, Default)]
pub struct PartAssembler {
    partial: HashMap<u32, BytesMut>,
    bytes: usize,
}

impl PartAssembler {
    /// Appends a part. Returns the channel and the message if that was its last part.
    ///
    /// # Errors
    ///
    /// Fails if the part has no header, the message is longer than [`MAX_CHANNEL_MESSAGE_BYTES`], or
    /// the link has more than [`MAX_PARTIAL_BYTES`] of incomplete messages.
    pub fn push(&mut self, mut part: BytesMut) -> io::Result<Option<(u32, BytesMut)>> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        if part.len() < HEADER_BYTES {
            return Err(invalid());
        }
        let channel = part.get_u32();
        let more = part.get_u8() != 0;
        if !more && !self.partial.contains_key(&channel) {
            return Ok(Some((channel, part)));
        }
        self.bytes += part.len();
        let message = self.partial.entry(channel).or_default();
        let length = message.len() + part.len();
        if length > MAX_CHANNEL_MESSAGE_BYTES || self.bytes > MAX_PARTIAL_BYTES || part.is_empty() {
            return Err(invalid());
        }
        message.extend_from_slice(&part);
        if more {
            return Ok(None);
        }
        let message = self.partial.remove(&channel).unwrap_or_default();
        self.bytes -= message.len();
        Ok(Some((channel, message)))
    }
}
