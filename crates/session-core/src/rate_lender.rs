//! Lends tokens of the teams' rates to instances.
//!
//! A lender has a token bucket for each team, which fills while the lender has the right to lend
//! parts of the rates. A bucket is empty when the right begins, so that the number of lenders that
//! follow each other does not matter.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::TeamId;
use crate::lender_table::PART_COUNT;
use crate::monotonic_time::MonotonicTime;
use crate::serving_rules::TeamLimit;

/// How long lent tokens may be used, counted from when they were requested.
pub const LOAN_TIME: Duration = Duration::from_millis(400);

/// How long after it took its token an operation may be sent to an endpoint.
pub const TOKEN_USE_TIME: Duration = Duration::from_millis(200);

/// Length of the windows in which a team's operations are limited. This limit and the two
/// tolerances below come from the users' platform.
const LIMIT_WINDOW: Duration = Duration::from_millis(5_000);

/// Multiple of the rate and burst that a window may have.
const LIMIT_FACTOR: f64 = 1.1;

/// Number of operations that a window may have beyond that.
const LIMIT_SLACK: f64 = 20.0;

/// Number of tokens beyond a team's burst that the buckets may hold. Lenders of a team with a rate of
/// 8 operations per second run empty by chance without it; four operations stay in reserve.
const SPARE_BURST: f64 = 16.0;

/// What all lenders together may lend of a team's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LendingBudget {
    /// Tokens per second.
    pub rate: f64,
    /// Maximum number of tokens in the buckets of all lenders.
    pub burst: f64,
}

impl LendingBudget {
    /// Returns the budget for a limit. Operations in one window use tokens that were lent in the
    /// window, [`LOAN_TIME`] and [`TOKEN_USE_TIME`]; these and the buckets' content before them stay
    /// within what the window may have.
    pub fn new(limit: &TeamLimit) -> Self {
        let window = LIMIT_WINDOW.as_secs_f64();
        let allowed = (limit.rate.0 * window + limit.burst.0) * LIMIT_FACTOR + LIMIT_SLACK;
        let lent_window = (LIMIT_WINDOW + LOAN_TIME + TOKEN_USE_TIME).as_secs_f64();
        let burst = limit.burst.0 + SPARE_BURST;
        let rate = limit.rate.0.min((allowed - burst) / lent_window);
        Self { rate, burst }
    }
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    /// The lender's part time up to which the bucket is filled.
    filled_to: f64,
    budget: LendingBudget,
}

impl TokenBucket {
    fn fill(&mut self, part_time: f64) {
        let earned = (part_time - self.filled_to) * self.budget.rate / PART_COUNT as f64;
        self.tokens += earned;
        self.filled_to = part_time;
    }

    fn limit(&mut self, parts: usize) {
        let cap = self.budget.burst * parts as f64 / PART_COUNT as f64;
        self.tokens = self.tokens.min(cap);
    }
}

/// Token buckets from which an instance lends.
#[derive(Debug, Clone, Default)]
pub struct RateLender {
    /// When the right to each part ends.
    ends: [MonotonicTime; PART_COUNT],
    settled_at: MonotonicTime,
    /// Seconds for which the parts have been held, added up over the parts.
    part_time: f64,
    /// The part time when the lender last lost a part; new buckets fill from then on.
    lost_part_at: f64,
    buckets: HashMap<TeamId, TokenBucket>,
}

impl RateLender {
    /// Sets when the right to each part ends.
    pub fn set_right(&mut self, ends: [MonotonicTime; PART_COUNT], now: MonotonicTime) {
        self.settle(now);
        let is_kept = |part: &usize| self.ends[*part] > now && ends[*part] > now;
        let kept = (0..PART_COUNT).filter(is_kept).count();
        if kept < self.parts(now) {
            self.lose_parts(kept);
        }
        self.ends = ends;
    }

    /// Lets the buckets fill from `since` on if the lender never lent: from then on, the table in the
    /// store has named no other process as the lender of its parts. Without it, the buckets of all
    /// lenders are empty after all processes restarted.
    pub fn start_from(&mut self, since: MonotonicTime) {
        if self.part_time == 0.0 {
            self.settled_at = self.settled_at.min(since);
        }
    }

    /// Returns the number of parts that the lender may lend.
    pub fn parts(&self, now: MonotonicTime) -> usize {
        self.ends.iter().filter(|end| **end > now).count()
    }

    /// Lends up to `wanted` tokens of a team and returns how many, always a whole number.
    pub fn lend(
        &mut self,
        team: &TeamId,
        limit: &TeamLimit,
        wanted: f64,
        now: MonotonicTime,
    ) -> f64 {
        self.settle(now);
        let parts = self.parts(now);
        if parts == 0 {
            return 0.0;
        }
        let budget = LendingBudget::new(limit);
        let filled_to = self.lost_part_at;
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| TokenBucket {
                tokens: 0.0,
                filled_to,
                budget,
            });
        bucket.budget = budget;
        bucket.fill(self.part_time);
        bucket.limit(parts);
        let lent = wanted.max(0.0).min(bucket.tokens).floor();
        bucket.tokens -= lent;
        lent
    }

    /// Adds the time since the last call, as far as the rights lasted, and takes the tokens of parts
    /// whose right has ended.
    fn settle(&mut self, now: MonotonicTime) {
        let former = self.parts(self.settled_at);
        for end in self.ends {
            let held = now.min(end).saturating_since(self.settled_at);
            self.part_time += held.as_secs_f64();
        }
        self.settled_at = self.settled_at.max(now);
        let parts = self.parts(now);
        if parts < former {
            self.lose_parts(parts);
        }
    }

    fn lose_parts(&mut self, left: usize) {
        for bucket in self.buckets.values_mut() {
            bucket.fill(self.part_time);
            bucket.limit(left);
        }
        self.lost_part_at = self.part_time;
    }
}
