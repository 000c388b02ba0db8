//! Faults that tests inject into a stand-in store.

use serde::Deserialize;
use serde::Serialize;

/// Outage of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOutage {
    /// No outage.
    #[default]
    None,
    /// Calls are answered with status 503 and have no effect.
    Unavailable,
    /// Calls are not answered until the outage ends; they then get status 503 and have no effect.
    Silent,
}

/// Faults of a stand-in store; the whole set can be replaced while it runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct StoreFaults {
    /// Outage in force.
    pub outage: StoreOutage,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of next compare-and-swaps, lease grants, renewals and revocations that are applied
    /// without an answer: their connections are closed.
    pub lose_answers: u64,
}
