//! Messages between a relay, which passes on the store's view, and its followers in the zone.

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
use session_core::store_revision::StoreRevision;
use tokio_util::codec::LengthDelimitedCodec;

use crate::packed_value::PackedValue;

/// Maximum length of a message in bytes: the whole view with the largest configuration.
const MAX_RELAY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum length of the message data in one frame, in bytes. Over a link of ten megabits per
/// second, an instance sends one such frame to each of six followers in a tenth of a second.
const CHUNK_BYTES: usize = 16 * 1024;

/// Version of the relay messages; a relay refuses followers of another one. Version 1 had no version in
/// the request, which cannot be decoded now, and revisions without an era. A follower passes over a
/// relay of version 1 because its era is lower than the store's.
pub const RELAY_VERSION: u8 = 2;

/// Requests the changes after a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayRequest {
    /// Revision up to which the follower knows the view.
    pub after: StoreRevision,
    /// [`RELAY_VERSION`] of the follower.
    pub version: u8,
}

/// An item of the store as instances keep and relay it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayItem {
    /// Key of the item.
    pub key: String,
    /// Value, or `None` if the item was removed.
    pub value: Option<PackedValue>,
    /// Revision of the change.
    pub revision: StoreRevision,
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

/// Items or changes at one revision of the store.
#[derive(Debug, Clone)]
pub struct ViewItems {
    /// The items, or those that changed.
    pub items: Vec<RelayItem>,
    /// Revision of the store.
    pub revision: StoreRevision,
}

impl From<StoreView> for ViewItems {
    fn from(view: StoreView) -> Self {
        Self {
            items: view.items.into_iter().map(RelayItem::from).collect(),
            revision: view.revision,
        }
    }
}

/// Changes of the view since the last message.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayUpdate {
    /// Time since the request arrived, on the sender's clock.
    pub since_ask: Duration,
    /// Age of the sender's view.
    pub age: Duration,
    /// Revision of the sender's view.
    pub revision: StoreRevision,
    /// Whether the items are the whole view rather than changes.
    pub complete: bool,
    /// The changed items, or all of them.
    pub items: Vec<RelayItem>,
    /// Newest position of each primary, for floors of reads.
    pub floors: Vec<RelayFloor>,
}

/// Newest known position of a primary.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayFloor {
    /// Service of the primary.
    pub service: ServiceId,
    /// Time since the sending of the query that the primary answered with this position.
    pub age: Duration,
    /// Log position.
    pub point: LogPoint,
}

impl RelayUpdate {
    /// Converts the message to view items.
    pub fn into_items(self) -> ViewItems {
        ViewItems {
            items: self.items,
            revision: self.revision,
        }
    }
}

/// Splits a message into frames, so that a slow link shows progress. The first byte of a frame is 1
/// if more frames of the message follow, else 0.
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

/// Returns the frame of a relay that has no view yet: the start of a message, without data. Earlier
/// versions skip it.
pub fn start_frame() -> Bytes {
    Bytes::from_static(&[1])
}

/// Reassembles messages from frames.
#[derive(Debug, Default)]
pub struct MessageAssembler(BytesMut);

impl MessageAssembler {
    /// Appends a frame. Returns the message if that was its last frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is empty or the message is longer than [`MAX_RELAY_BYTES`].
    pub fn push_frame(&mut self, frame: &[u8]) -> io::Result<Option<BytesMut>> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let (more, chunk) = frame.split_first().ok_or_else(invalid)?;
        if self.0.len() + chunk.len() > MAX_RELAY_BYTES {
            return Err(invalid());
        }
        self.0.extend_from_slice(chunk);
        Ok((*more == 0).then(|| self.0.split()))
    }
}

/// Returns the codec of the frames.
pub fn relay_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(2 * CHUNK_BYTES)
        .new_codec()
}
