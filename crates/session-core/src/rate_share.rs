//! Admits the operations of a team at one instance, with tokens of a fixed base share and borrowed
//! tokens.

use std::collections::VecDeque;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;
use crate::rate_lender::LENT_FRACTION;
use crate::rate_lender::LOAN_TIME;
use crate::serving_rules::TeamLimit;

/// The span of expected demand for which an instance borrows tokens in advance. Where the demand in
/// this span is below one token, tokens are borrowed only when needed, since unused tokens are lost
/// to the team.
const PREFETCH_TIME: Duration = Duration::from_millis(300);

/// Time constant of the demand's moving average.
const DEMAND_AVERAGE_TIME: Duration = Duration::from_millis(1_500);

/// Pause before the next request after the lender had no tokens: the time in which a team with a
/// rate of 20 operations per second earns one.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct TokenLoan {
    tokens: f64,
    expires_at: MonotonicTime,
}

/// The share of one team at this instance.
#[derive(Debug, Clone)]
pub struct RateShare {
    base: f64,
    filled_at: MonotonicTime,
    loans: VecDeque<TokenLoan>,
    demand: f64,
    demand_at: MonotonicTime,
    exhausted_until: MonotonicTime,
}

impl RateShare {
    /// Creates a share without tokens.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            base: 0.0,
            filled_at: now,
            loans: VecDeque::new(),
            demand: 0.0,
            demand_at: now,
            exhausted_until: MonotonicTime::default(),
        }
    }

    /// Adds borrowed tokens that were requested at `requested_at`.
    pub fn borrow(&mut self, tokens: f64, requested_at: MonotonicTime) {
        if tokens > 0.0 {
            self.loans.push_back(TokenLoan {
                tokens,
                expires_at: requested_at + LOAN_TIME,
            });
        }
    }

    /// Records the answer that the lender has no tokens now.
    pub fn record_exhausted(&mut self, now: MonotonicTime) {
        self.exhausted_until = now + EXHAUSTED_PAUSE;
    }

    /// Counts an operation that is to be admitted.
    pub fn record_demand(&mut self, now: MonotonicTime) {
        self.decay(now);
        self.demand += 1.0;
    }

    /// Takes one token; returns `false` if there is none.
    pub fn take(&mut self, limit: &TeamLimit, instances: usize, now: MonotonicTime) -> bool {
        self.drop_expired(now);
        if let Some(loan) = self.loans.front_mut() {
            loan.tokens -= 1.0;
            if loan.tokens < 1.0 {
                self.loans.pop_front();
            }
            return true;
        }
        let fraction = (1.0 - LENT_FRACTION) / instances.max(1) as f64;
        let elapsed = now.saturating_since(self.filled_at).as_secs_f64();
        let cap = (limit.burst.0 * fraction).max(1.0);
        self.base = (self.base + elapsed * limit.rate.0 * fraction).min(cap);
        self.filled_at = now;
        if self.base >= 1.0 {
            self.base -= 1.0;
            return true;
        }
        false
    }

    /// Returns the number of tokens to request for the expected demand and the `waiting`
    /// operations.
    pub fn wanted(&mut self, waiting: usize, now: MonotonicTime) -> f64 {
        self.drop_expired(now);
        self.decay(now);
        if now < self.exhausted_until {
            return 0.0;
        }
        let held: f64 = self.loans.iter().map(|loan| loan.tokens).sum();
        let rate = self.demand / DEMAND_AVERAGE_TIME.as_secs_f64();
        let prefetch = (rate * PREFETCH_TIME.as_secs_f64()).floor();
        (prefetch + waiting as f64 - held).max(0.0).ceil()
    }

    fn decay(&mut self, now: MonotonicTime) {
        let elapsed = now.saturating_since(self.demand_at).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_AVERAGE_TIME.as_secs_f64()).exp();
        self.demand_at = now;
    }

    fn drop_expired(&mut self, now: MonotonicTime) {
        while self
            .loans
            .front()
            .is_some_and(|loan| now >= loan.expires_at)
        {
            self.loans.pop_front();
        }
    }
}
