//! What one instance may admit of a team: a fixed base share and tokens on loan.

use std::collections::VecDeque;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;
use crate::rate_lender::LENT_FRACTION;
use crate::rate_lender::LOAN_TIME;
use crate::serving_rules::TeamLimit;

/// The time for which an instance keeps tokens in advance of its own demand; below one token it
/// fetches each one when it is needed, since tokens that nobody uses are lost to the team.
const AHEAD_TIME: Duration = Duration::from_millis(300);

/// Over how long the demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(1_500);

/// How long no tokens are asked for after the lender had none: the time in which a team of 20
/// operations a second earns one.
const EMPTY_PAUSE: Duration = Duration::from_millis(50);

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
    empty_until: MonotonicTime,
}

impl RateShare {
    /// Creates an empty share.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            base: 0.0,
            filled_at: now,
            loans: VecDeque::new(),
            demand: 0.0,
            demand_at: now,
            empty_until: MonotonicTime::default(),
        }
    }

    /// Adds tokens that were asked for at `requested_at`.
    pub fn borrow(&mut self, tokens: f64, requested_at: MonotonicTime) {
        if tokens > 0.0 {
            self.loans.push_back(TokenLoan {
                tokens,
                expires_at: requested_at + LOAN_TIME,
            });
        }
    }

    /// Takes the answer that the lender has no tokens now.
    pub fn record_exhausted(&mut self, now: MonotonicTime) {
        self.empty_until = now + EMPTY_PAUSE;
    }

    /// Counts an operation that asks to be admitted.
    pub fn record_demand(&mut self, now: MonotonicTime) {
        self.decay(now);
        self.demand += 1.0;
    }

    /// Takes one token, where there is one.
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

    /// Returns how many tokens to ask for, so that the expected demand finds some.
    pub fn wanted(&mut self, waiting: usize, now: MonotonicTime) -> f64 {
        self.drop_expired(now);
        self.decay(now);
        if now < self.empty_until {
            return 0.0;
        }
        let held: f64 = self.loans.iter().map(|loan| loan.tokens).sum();
        let rate = self.demand / DEMAND_TIME.as_secs_f64();
        let ahead = (rate * AHEAD_TIME.as_secs_f64()).floor();
        (ahead + waiting as f64 - held).max(0.0).ceil()
    }

    fn decay(&mut self, now: MonotonicTime) {
        let elapsed = now.saturating_since(self.demand_at).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_TIME.as_secs_f64()).exp();
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
