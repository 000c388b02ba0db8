//! The side of a team's rate that one instance lends to all others.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::TeamId;
use crate::monotonic_time::MonotonicTime;
use crate::serving_rules::TeamLimit;

/// The part of each rate that the keeper lends; the rest is spread evenly as base shares.
pub const LENT_PART: f64 = 0.92;

/// The part of each burst that the keeper may lend at once, so that tokens lent before a window
/// and used inside it stay within the limit.
const LENT_BURST_PART: f64 = 0.9;

/// The part of each burst that a new keeper has: the former one may have lent its own just before.
const FIRST_BURST_PART: f64 = 0.35;

/// How long lent tokens may be used, from when they were asked for.
pub const LOAN_TIME: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    filled_at: MonotonicTime,
}

/// Lends tokens.
#[derive(Debug, Clone)]
pub struct RateKeeper {
    started_at: MonotonicTime,
    part: f64,
    buckets: HashMap<TeamId, TokenBucket>,
}

impl RateKeeper {
    /// Creates a keeper that lends what accrues from now on.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            started_at: now,
            part: 1.0,
            buckets: HashMap::new(),
        }
    }

    /// Sets which part of the rates accrues; a lower one empties the buckets.
    pub fn set_part(&mut self, part: f64) {
        if part < self.part {
            for bucket in self.buckets.values_mut() {
                bucket.tokens = 0.0;
            }
        }
        self.part = part;
    }

    /// Lends up to `wanted` tokens of a team.
    pub fn lend(
        &mut self,
        team: &TeamId,
        limit: &TeamLimit,
        wanted: f64,
        now: MonotonicTime,
    ) -> f64 {
        let started_at = self.started_at;
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| TokenBucket {
                tokens: limit.burst.0 * FIRST_BURST_PART,
                filled_at: started_at,
            });
        let elapsed = now.saturating_since(bucket.filled_at).as_secs_f64();
        let cap = (limit.burst.0 * LENT_BURST_PART).max(1.0);
        bucket.tokens = (bucket.tokens + elapsed * limit.rate.0 * LENT_PART * self.part).min(cap);
        bucket.filled_at = now;
        let lent = wanted.max(0.0).min(bucket.tokens).floor();
        bucket.tokens -= lent;
        lent
    }
}
