//! Messages between the instance that follows the store for a zone and the others of the zone.

use std::time::Duration;

use platform::store_client::StoreItem;
use platform::store_client::StoreView;
use serde::Deserialize;
use serde::Serialize;
use session_core::ids::ServiceId;
use session_core::log_point::LogPoint;
use tokio_util::codec::LengthDelimitedCodec;

/// The largest message in bytes: the whole view with the largest configuration.
const MAX_RELAY_BYTES: usize = 8 * 1024 * 1024;

/// Asks to be told of changes after a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayAsk {
    /// The revision that the asking instance knows.
    pub after: u64,
}

/// An item as it is relayed.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayItem {
    /// The key.
    pub key: String,
    /// The value, or `None` where the item was removed.
    pub value: Option<Vec<u8>>,
    /// The revision of the change.
    pub revision: u64,
}

/// What the store said since the last message.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayNews {
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

impl RelayNews {
    /// Returns the items as the store's answer.
    pub fn into_view(self) -> StoreView {
        let items = self.items.into_iter().map(|item| StoreItem {
            key: item.key,
            value: item.value,
            revision: item.revision,
        });
        StoreView {
            items: items.collect(),
            revision: self.revision,
        }
    }
}

/// Returns the framing of the messages.
pub fn relay_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_RELAY_BYTES)
        .new_codec()
}
