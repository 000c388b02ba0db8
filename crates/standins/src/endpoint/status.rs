//! What an endpoint reports of itself.

use serde::Deserialize;
use serde::Serialize;

/// A row of the platform functions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EndpointReport {
    /// `primary` or `replica`.
    pub role: String,
    /// The term of the last log entry.
    pub term: u64,
    /// The position of the last log entry.
    pub position: u64,
    /// The position at which that term began.
    pub start: u64,
    /// The highest term it was fenced at.
    pub fenced_term: u64,
    /// Who fenced it at that term.
    pub fenced_by: String,
    /// On a replica, the time since anything was last heard from the primary.
    pub upstream_silence_ms: Option<u64>,
}
