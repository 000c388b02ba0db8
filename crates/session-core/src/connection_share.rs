//! Divides the connections that endpoints accept among the instances, in proportion to demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// Age up to which a reported demand counts.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(4);

/// How long an instance uses a fraction that the leader granted.
const FRACTION_LIFE: Duration = Duration::from_secs(4);

/// Added to each demand, so that an instance without demand may open its first connections.
const BASE_DEMAND: f64 = 2.0;

/// The demands that were reported to this instance as leader, and the fraction that the leader
/// granted to this instance.
#[derive(Debug, Clone, Default)]
pub struct ConnectionShare {
    demands: BTreeMap<SocketAddr, (MonotonicTime, u32)>,
    granted: Option<(MonotonicTime, f64)>,
}

impl ConnectionShare {
    /// Records the demand of an instance and returns its fraction of all connections.
    pub fn record_demand(&mut self, from: SocketAddr, demand: u32, now: MonotonicTime) -> f64 {
        self.demands.insert(from, (now, demand));
        self.demands
            .retain(|_, (reported_at, _)| now.saturating_since(*reported_at) < MAX_DEMAND_AGE);
        let weight = |demand: u32| f64::from(demand) + BASE_DEMAND;
        let total: f64 = self.demands.values().map(|(_, d)| weight(*d)).sum();
        weight(demand) / total
    }

    /// Records the fraction that the leader granted to this instance.
    pub fn record_grant(&mut self, fraction: f64, now: MonotonicTime) {
        self.granted = Some((now, fraction));
    }

    /// Returns the fraction of this instance; an even share if none was granted recently.
    pub fn fraction(&self, instances: usize, now: MonotonicTime) -> f64 {
        match self.granted {
            Some((at, fraction)) if now.saturating_since(at) < FRACTION_LIFE => fraction,
            _ => 1.0 / instances.max(1) as f64,
        }
    }
}
