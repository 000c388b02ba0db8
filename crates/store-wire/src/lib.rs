//! Wire types of the platform's key-value service, as its HTTP/JSON protocol has them.

use serde::Deserialize;
use serde::Serialize;

/// The largest value that the service stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The answer to `GET /v1/keys/KEY`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct KeyEntry {
    /// The key.
    pub key: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The value.
    pub value: String,
}

/// The body of `POST /v1/cas`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CasRequest {
    /// The key to write.
    pub key: String,
    /// The revision it must have; 0 for a key that must be absent.
    pub expected_revision: u64,
    /// The new value.
    pub value: String,
    /// The lease whose end removes the key; none for a key that stays.
    #[serde(default)]
    pub lease: Option<String>,
}

/// The answer to `POST /v1/cas`: the new revision, or with status 409 the present one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CasAnswer {
    /// The revision; 0 for an absent key.
    pub revision: u64,
}

/// The body of `POST /v1/leases`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaseRequest {
    /// How long the lease holds without renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// The answer to `POST /v1/leases`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaseAnswer {
    /// The id of the lease.
    pub lease: String,
}

/// An answer without content, `{}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptyAnswer {}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WatchEvent {
    /// The key.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// The value, or `None` where the key was removed.
    pub value: Option<String>,
}

/// The answer to `GET /v1/watch`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WatchAnswer {
    /// The revision up to which the events are complete; the next watch continues after it.
    pub revision: u64,
    /// The last change of each key that changed, in order of their revisions.
    pub events: Vec<WatchEvent>,
}

/// Whether an instance serves or is about to go away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It is about to go away.
    Leaving,
}

/// An instance as the platform knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct InstanceEntry {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it serves.
    pub state: InstanceState,
}

/// The answer to `GET /v1/instances`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct InstanceList {
    /// The instances; the list lags behind.
    pub instances: Vec<InstanceEntry>,
}

/// The body of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ErrorAnswer {
    /// A fixed word for programs.
    pub code: String,
    /// A text for people.
    pub message: String,
}
