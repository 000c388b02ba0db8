//! Queue of a link's outgoing messages, with the task that writes them.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use serde::Serialize;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use crate::message_parts::MAX_CHANNEL_MESSAGE_BYTES;
use crate::message_parts::PartQueue;

/// Maximum number of bytes that wait to be sent on a link. More means that the other side does not
/// read, or that the link is slower than its load.
const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// Time within which the other side must accept a part.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Why a message was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutboxError {
    /// The link is closed.
    Closed,
    /// The message is too long, or too many bytes wait to be sent.
    Full,
}

/// Outgoing messages of a link.
#[derive(Debug, Default)]
pub struct LinkOutbox {
    queue: RefCell<PartQueue>,
    wake: Notify,
    closed: Cell<bool>,
}

impl LinkOutbox {
    /// Queues a message of a channel.
    ///
    /// # Errors
    ///
    /// See [`OutboxError`]; nothing of the message is sent then.
    pub fn push(&self, channel: u32, message: &impl Serialize) -> Result<(), OutboxError> {
        if self.closed.get() {
            return Err(OutboxError::Closed);
        }
        let bytes = postcard::to_stdvec(message).map_err(|_| OutboxError::Full)?;
        let mut queue = self.queue.borrow_mut();
        let is_large = bytes.len() > MAX_CHANNEL_MESSAGE_BYTES;
        if is_large || queue.bytes() + bytes.len() > MAX_QUEUED_BYTES {
            return Err(OutboxError::Full);
        }
        queue.push(channel, Bytes::from(bytes));
        self.wake.notify_one();
        Ok(())
    }

    /// Refuses further messages.
    pub fn close(&self) {
        self.closed.set(true);
        *self.queue.borrow_mut() = PartQueue::default();
    }

    /// Writes the messages until the connection fails.
    pub async fn write_to(
        &self,
        mut sink: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    ) -> io::Error {
        loop {
            let sent = tokio::time::timeout(SEND_TIMEOUT, self.write_queued(&mut sink)).await;
            match sent {
                Ok(Ok(())) => self.wake.notified().await,
                Ok(Err(error)) => return error,
                Err(_) => return io::ErrorKind::TimedOut.into(),
            }
        }
    }

    /// Writes the next part, or flushes what was written if there is none.
    async fn write_queued(
        &self,
        sink: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    ) -> io::Result<()> {
        let part = self.queue.borrow_mut().pop();
        match part {
            Some(part) => {
                sink.feed(part).await?;
                self.wake.notify_one();
                Ok(())
            }
            None => SinkExt::<Bytes>::flush(sink).await,
        }
    }
}
