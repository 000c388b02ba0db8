//! The report of an endpoint's status.

use serde::Deserialize;
use serde::Serialize;

/// Status of an endpoint, as the platform functions return it in a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EndpointReport {
    /// `primary` or `replica`.
    pub role: String,
    /// The term of the last log entry.
    pub term: u64,
    /// The position of the last log entry.
    pub position: u64,
    /// The position of the first log entry of that term.
    pub start: u64,
    /// The highest term at which it was fenced; 0 for none.
    pub fenced_term: u64,
    /// The proposer that fenced it at that term.
    pub fenced_by: String,
    /// On a replica, the time since the last answer of the primary, in milliseconds.
    pub upstream_silence_ms: Option<u64>,
}
