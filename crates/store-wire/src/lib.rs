//! Wire types of the HTTP/JSON protocol of the platform's key-value service.

use serde::Deserialize;
use serde::Serialize;

/// Maximum size of a value in the service, in bytes.
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
    /// The revision that the key must have; 0 if it must be absent.
    pub expected_revision: u64,
    /// The new value.
    pub value: String,
    /// The lease whose end removes the key; `None` for a key without a lease.
    #[serde(default)]
    pub lease: Option<String>,
}

/// The answer to `POST /v1/cas`: the new revision, or with status 409 the current one.
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
    /// Time until the lease expires unless it is renewed, in milliseconds.
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
    /// The new value, or `None` if the key was removed.
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

/// State of an instance in the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It is about to stop.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct InstanceEntry {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Its state.
    pub state: InstanceState,
}

/// The answer to `GET /v1/instances`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct InstanceList {
    /// The instances; the list may be out of date.
    pub instances: Vec<InstanceEntry>,
}

/// The body of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ErrorAnswer {
    /// The error code, a fixed word for programs.
    pub code: String,
    /// A message for people.
    pub message: String,
}
