//! Faults of a stand-in store.

use serde::Deserialize;
use serde::Serialize;

/// How the store is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOutage {
    /// It is not down.
    #[default]
    None,
    /// Each call is answered with status 503 and has no effect.
    Unavailable,
    /// No call is answered or has an effect until the outage ends; it then gets status 503.
    Silent,
}

/// Faults of a stand-in store, switched as a whole while it runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct StoreFaults {
    /// How it is down.
    pub outage: StoreOutage,
    /// Added to the duration of each call, in milliseconds.
    pub slow_ms: u64,
    /// For this many compare-and-swaps, leases, renewals and revocations, the connection is closed
    /// after the effect, without an answer.
    pub lose_answers: u64,
}
