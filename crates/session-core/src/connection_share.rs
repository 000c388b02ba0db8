//! Shares the connections that endpoints accept between instances, by their demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// How long the demand of an instance that reports no more counts.
const DEMAND_LIFE: Duration = Duration::from_secs(4);

/// How long a fraction counts at the instance that it was given to.
const PART_LIFE: Duration = Duration::from_secs(4);

/// Added to each demand, so that an instance without any may open its first connections.
const BASE_DEMAND: f64 = 2.0;

/// The demands that the leader heard, and the fraction that this instance was given.
#[derive(Debug, Clone, Default)]
pub struct ConnectionShare {
    demands: BTreeMap<SocketAddr, (MonotonicTime, u32)>,
    given: Option<(MonotonicTime, f64)>,
}

impl ConnectionShare {
    /// Takes the demand of an instance and returns its fraction of all connections.
    pub fn take_demand(&mut self, from: SocketAddr, demand: u32, now: MonotonicTime) -> f64 {
        self.demands.insert(from, (now, demand));
        self.demands
            .retain(|_, (heard_at, _)| now.saturating_since(*heard_at) < DEMAND_LIFE);
        let weight = |demand: u32| f64::from(demand) + BASE_DEMAND;
        let total: f64 = self.demands.values().map(|(_, d)| weight(*d)).sum();
        weight(demand) / total
    }

    /// Takes the fraction that the leader gave.
    pub fn accept(&mut self, fraction: f64, now: MonotonicTime) {
        self.given = Some((now, fraction));
    }

    /// Returns the fraction of this instance; the even one where none was given lately.
    pub fn fraction(&self, instances: usize, now: MonotonicTime) -> f64 {
        match self.given {
            Some((at, fraction)) if now.saturating_since(at) < PART_LIFE => fraction,
            _ => 1.0 / instances.max(1) as f64,
        }
    }
}
