//! Counts the open connections of a stand-in endpoint against their limit.

use std::sync::Arc;

use crate::endpoint::shared::EndpointShared;
use crate::endpoint::shared::lock;

/// An open connection, which counts towards the limit until the guard is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    shared: Arc<EndpointShared>,
    process_id: i32,
}

impl ConnectionGuard {
    /// Counts a connection; returns `None` if the limit is reached.
    pub fn count(shared: &Arc<EndpointShared>, process_id: i32) -> Option<Self> {
        let mut counters = lock(&shared.counters);
        let limit = u64::try_from(shared.config.connections).unwrap_or(u64::MAX);
        if counters.connections >= limit {
            counters.refused_connections += 1;
            return None;
        }
        counters.connections += 1;
        counters.peak_connections = counters.peak_connections.max(counters.connections);
        Some(Self {
            shared: Arc::clone(shared),
            process_id,
        })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        lock(&self.shared.counters).connections -= 1;
        lock(&self.shared.cancels).remove(&self.process_id);
    }
}
