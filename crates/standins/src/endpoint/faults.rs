//! Faults of a stand-in endpoint.

use serde::Deserialize;
use serde::Serialize;

/// Faults of a stand-in endpoint, switched as a whole while it runs.
///
/// A cut holds bytes back and delivers them once it is lifted, as TCP does after a short partition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct EndpointFaults {
    /// Nothing that clients send arrives.
    pub cut_from_clients: bool,
    /// Nothing is delivered to clients.
    pub cut_to_clients: bool,
    /// Nothing that other endpoints send arrives.
    pub cut_from_peers: bool,
    /// Nothing is delivered to other endpoints.
    pub cut_to_peers: bool,
    /// The endpoint does nothing at all.
    pub freeze: bool,
    /// Added to the duration of each statement, status queries included, in milliseconds.
    pub slow_ms: u64,
    /// How far behind the primary this endpoint follows as a replica, in milliseconds.
    pub lag_ms: u64,
    /// New connections are refused by the operating system; existing ones continue.
    pub refuse_connections: bool,
    /// Connections open at the moment this is switched on go silent for good; new ones work.
    pub silence_existing: bool,
    /// For this many commits of writes, the connection is closed after the effect, without an answer.
    pub lose_answers: u64,
}
