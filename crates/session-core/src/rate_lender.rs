//! The side of a team's rate that one instance lends to all others.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::TeamId;
use crate::monotonic_time::MonotonicTime;
use crate::serving_rules::TeamLimit;

/// The fraction of each rate that the lender lends; the rest is spread evenly as base shares.
pub const LENT_FRACTION: f64 = 0.92;

/// The fraction of each burst that the lender may lend at once, so that tokens lent before a window
/// and used inside it stay within the limit.
const LENT_BURST_FRACTION: f64 = 0.9;

/// The fraction of each burst that a new lender has: the former one may have lent its own just before.
const FIRST_BURST_FRACTION: f64 = 0.35;

/// The fraction of what is lent that the lender lends while its deputy may lend as well.
const SHARED_FRACTION: f64 = 0.5;

/// The fraction that is lent after the lease of a leader: the next one may lend as well by then.
const LAPSED_FRACTION: f64 = 0.7;

/// How long the buckets of an instance that lends no more are kept, so that lending by turns gives
/// no first burst each time: the longest window over which limits are set, twice.
const STOPPED_LIFE: Duration = Duration::from_millis(10_000);

/// How long lent tokens may be used, from when they were asked for.
pub const LOAN_TIME: Duration = Duration::from_millis(1_000);

/// How much an instance lends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LendingMode {
    /// Everything, as the only one.
    Alone,
    /// As the lender whose deputy may lend, or as that deputy.
    Shared,
    /// As a leader that cannot renew its lease.
    Lapsed,
}

impl LendingMode {
    fn fraction(self) -> f64 {
        match self {
            LendingMode::Alone => 1.0,
            LendingMode::Shared => SHARED_FRACTION,
            LendingMode::Lapsed => LAPSED_FRACTION,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    filled_at: MonotonicTime,
    limit: TeamLimit,
}

impl TokenBucket {
    fn fill(&mut self, fraction: f64, now: MonotonicTime) {
        let elapsed = now.saturating_since(self.filled_at).as_secs_f64();
        let cap = (self.limit.burst.0 * LENT_BURST_FRACTION).max(1.0);
        let earned = elapsed * self.limit.rate.0 * LENT_FRACTION * fraction;
        self.tokens = (self.tokens + earned).min(cap);
        self.filled_at = now;
    }
}

/// Lends tokens.
#[derive(Debug, Clone)]
pub struct RateLender {
    mode: Option<LendingMode>,
    changed_at: MonotonicTime,
    buckets: HashMap<TeamId, TokenBucket>,
}

impl RateLender {
    /// Creates a lender that lends what accrues from now on.
    pub fn new(mode: LendingMode, now: MonotonicTime) -> Self {
        Self {
            mode: Some(mode),
            changed_at: now,
            buckets: HashMap::new(),
        }
    }

    /// Sets how much accrues; a lapsed lease empties the buckets.
    pub fn set_mode(&mut self, mode: Option<LendingMode>, now: MonotonicTime) {
        if mode == self.mode {
            return;
        }
        let fraction = self.fraction();
        for bucket in self.buckets.values_mut() {
            bucket.fill(fraction, now);
            if mode == Some(LendingMode::Lapsed) {
                bucket.tokens = 0.0;
            }
        }
        self.mode = mode;
        self.changed_at = now;
    }

    /// Returns how much the lender lends.
    pub fn mode(&self) -> Option<LendingMode> {
        self.mode
    }

    /// Whether the lender lends.
    pub fn lends(&self) -> bool {
        self.mode.is_some()
    }

    /// Whether the lender stopped so long ago that a new one may take its place.
    pub fn is_expired(&self, now: MonotonicTime) -> bool {
        self.mode.is_none() && now.saturating_since(self.changed_at) >= STOPPED_LIFE
    }

    fn fraction(&self) -> f64 {
        self.mode.map_or(0.0, LendingMode::fraction)
    }

    /// Lends up to `wanted` tokens of a team.
    pub fn lend(
        &mut self,
        team: &TeamId,
        limit: &TeamLimit,
        wanted: f64,
        now: MonotonicTime,
    ) -> f64 {
        if !self.lends() {
            return 0.0;
        }
        let changed_at = self.changed_at;
        let fraction = self.fraction();
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| TokenBucket {
                tokens: limit.burst.0 * FIRST_BURST_FRACTION,
                filled_at: changed_at,
                limit: *limit,
            });
        bucket.limit = *limit;
        bucket.fill(fraction, now);
        let lent = wanted.max(0.0).min(bucket.tokens).floor();
        bucket.tokens -= lent;
        lent
    }
}
