//! Faults that tests inject into a stand-in endpoint.

use serde::Deserialize;
use serde::Serialize;

/// Faults of a stand-in endpoint; the whole set can be replaced while it runs.
///
/// A cut delays bytes and delivers them when it ends, as TCP does after a short partition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct EndpointFaults {
    /// Whether data from clients is cut.
    pub cut_from_clients: bool,
    /// Whether data to clients is cut.
    pub cut_to_clients: bool,
    /// Whether data from other endpoints is cut.
    pub cut_from_peers: bool,
    /// Whether data to other endpoints is cut.
    pub cut_to_peers: bool,
    /// Whether the endpoint is frozen: data is cut in all directions.
    pub freeze: bool,
    /// Delay added to each statement, including status queries, in milliseconds.
    pub slow_ms: u64,
    /// Replication lag of this endpoint as a replica, in milliseconds.
    pub lag_ms: u64,
    /// Whether the operating system refuses new connections; existing ones continue.
    pub refuse_connections: bool,
    /// Connections that are open when this is switched on become silent permanently; new ones work.
    pub silence_existing: bool,
    /// Number of next write commits that are applied without an answer: their connections are
    /// closed.
    pub lose_answers: u64,
}
