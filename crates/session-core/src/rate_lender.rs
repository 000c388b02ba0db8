//! Lends tokens of the teams' rates to the other instances.
//!
//! One instance of the fleet, the lender, holds a token bucket for each team. While it is not
//! reachable, its deputy lends a fraction of each rate (see [`crate::rate_deputy`]).

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::TeamId;
use crate::monotonic_time::MonotonicTime;
use crate::serving_rules::TeamLimit;

/// Fraction of each rate that the lender lends; the rest is divided evenly among the instances as
/// their base shares.
pub const LENT_FRACTION: f64 = 0.92;

/// Fraction of each burst that the lender may lend at once. The rest is a margin for tokens that
/// are lent before a limit's window and used inside it.
const LENT_BURST_FRACTION: f64 = 0.9;

/// Fraction of each burst that a new lender starts with, since the previous lender may have just
/// lent a burst.
const FIRST_BURST_FRACTION: f64 = 0.35;

/// Fraction of the lendable rate that the lender and its deputy each lend while both may lend.
const SHARED_FRACTION: f64 = 0.5;

/// Fraction of the lendable rate that a leader lends after its lease has lapsed, when the next
/// leader may already lend as well.
const LAPSED_FRACTION: f64 = 0.7;

/// How long an instance keeps its buckets after it stopped lending: twice the longest window over
/// which limits are set. New buckets start with a burst, which instances that alternate as lenders
/// would otherwise lend each time.
const BUCKET_RETENTION: Duration = Duration::from_millis(10_000);

/// How long lent tokens may be used, counted from when they were requested.
pub const LOAN_TIME: Duration = Duration::from_millis(1_000);

/// How much of each rate an instance lends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LendingMode {
    /// The whole lendable rate, as the only lender.
    Alone,
    /// A fraction, as the lender while its deputy may lend, or as that deputy.
    Shared,
    /// A fraction, as a leader whose lease has lapsed.
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

/// Token buckets from which an instance lends.
#[derive(Debug, Clone)]
pub struct RateLender {
    mode: Option<LendingMode>,
    changed_at: MonotonicTime,
    buckets: HashMap<TeamId, TokenBucket>,
}

impl RateLender {
    /// Creates a lender whose buckets fill from `now` on.
    pub fn new(mode: LendingMode, now: MonotonicTime) -> Self {
        Self {
            mode: Some(mode),
            changed_at: now,
            buckets: HashMap::new(),
        }
    }

    /// Sets how much the lender lends, or `None` to stop; `Lapsed` also empties the buckets.
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

    /// Returns how much the lender lends, or `None` if it has stopped.
    pub fn mode(&self) -> Option<LendingMode> {
        self.mode
    }

    /// Returns whether the lender lends.
    pub fn lends(&self) -> bool {
        self.mode.is_some()
    }

    /// Returns whether the lender stopped so long ago that its buckets may be discarded.
    pub fn is_expired(&self, now: MonotonicTime) -> bool {
        self.mode.is_none() && now.saturating_since(self.changed_at) >= BUCKET_RETENTION
    }

    fn fraction(&self) -> f64 {
        self.mode.map_or(0.0, LendingMode::fraction)
    }

    /// Lends up to `wanted` tokens of a team and returns how many, always a whole number.
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
