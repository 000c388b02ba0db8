//! Messages between the instance that follows the store for a zone and the others of the zone.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use platform::store_client::StoreItem;
use platform::store_client::StoreView;
use serde::Deserialize;
use serde::Serialize;
use session_core::ids::ServiceId;
use session_core::log_point::LogPoint;
use tokio_util::codec::LengthDelimitedCodec;

use crate::packed_value::PackedValue;

/// The largest message in bytes: the whole view with the largest configuration.
const MAX_RELAY_BYTES: usize = 8 * 1024 * 1024;

/// The bytes of a message in one frame: a tenth of a second for six followers of an instance with a
/// link of ten megabits a second.
const CHUNK_BYTES: usize = 16 * 1024;

/// Asks to be told of changes after a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayRequest {
    /// The revision that the asking instance knows.
    pub after: u64,
}

/// An item as it is kept and relayed.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayItem {
    /// The key.
    pub key: String,
    /// The value, or `None` where the item was removed.
    pub value: Option<PackedValue>,
    /// The revision of the change.
    pub revision: u64,
}

impl From<StoreItem> for RelayItem {
    fn from(item: StoreItem) -> Self {
        Self {
            key: item.key,
            value: item.value.map(PackedValue::pack),
            revision: item.revision,
        }
    }
}

/// Items at one revision of the store.
#[derive(Debug, Clone)]
pub struct ViewItems {
    /// The items or changes.
    pub items: Vec<RelayItem>,
    /// The revision of the store.
    pub revision: u64,
}

impl From<StoreView> for ViewItems {
    fn from(view: StoreView) -> Self {
        Self {
            items: view.items.into_iter().map(RelayItem::from).collect(),
            revision: view.revision,
        }
    }
}

/// What the store said since the last message.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayUpdate {
    /// The time since the question arrived, on the sender's clock.
    pub since_ask: Duration,
    /// The age of the sender's evidence from the store.
    pub age: Duration,
    /// The revision up to which the items go.
    pub revision: u64,
    /// Whether the items are all that exist.
    pub complete: bool,
    /// The items.
    pub items: Vec<RelayItem>,
    /// The newest position of each primary, for floors of reads.
    pub floors: Vec<RelayFloor>,
}

/// A position of a primary.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayFloor {
    /// The service.
    pub service: ServiceId,
    /// The time since the question was sent that the primary answered with the position.
    pub age: Duration,
    /// The position.
    pub point: LogPoint,
}

impl RelayUpdate {
    /// Returns the items as the store's answer.
    pub fn into_items(self) -> ViewItems {
        ViewItems {
            items: self.items,
            revision: self.revision,
        }
    }
}

/// Splits a message into frames, so that a slow link shows progress; the first byte of a frame
/// tells whether more follow.
pub fn split_message(message: Vec<u8>) -> impl Iterator<Item = Bytes> {
    let message = Bytes::from(message);
    let count = message.len().div_ceil(CHUNK_BYTES).max(1);
    (0..count).map(move |index| {
        let start = index * CHUNK_BYTES;
        let end = message.len().min(start + CHUNK_BYTES);
        let mut frame = BytesMut::with_capacity(end - start + 1);
        frame.extend_from_slice(&[u8::from(index + 1 < count)]);
        frame.extend_from_slice(&message[start..end]);
        frame.freeze()
    })
}

/// Puts frames together.
#[derive(Debug, Default)]
pub struct MessageParts(BytesMut);

impl MessageParts {
    /// Takes a frame, and returns the message where that was its last one.
    ///
    /// # Errors
    ///
    /// Fails where a frame is empty or the message is too long.
    pub fn take(&mut self, frame: &[u8]) -> io::Result<Option<BytesMut>> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let (more, part) = frame.split_first().ok_or_else(invalid)?;
        if self.0.len() + part.len() > MAX_RELAY_BYTES {
            return Err(invalid());
        }
        self.0.extend_from_slice(part);
        Ok((*more == 0).then(|| self.0.split()))
    }
}

/// Returns the framing of the messages.
pub fn relay_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(2 * CHUNK_BYTES)
        .new_codec()
}
