//! Admits the operations of a team at one instance, with borrowed tokens.

use std::time::Duration;

use crate::monotonic_time::MonotonicTime;
use crate::rate_lender::LOAN_TIME;

/// The span of expected demand for which an instance borrows tokens in advance. Where the demand in
/// this span is below one token, tokens are borrowed only when needed, since unused tokens are lost
/// to the team.
const PREFETCH_TIME: Duration = Duration::from_millis(300);

/// Time constant of the demand's moving average.
const DEMAND_AVERAGE_TIME: Duration = Duration::from_millis(1_500);

/// Pause before the next request after no lender had tokens: the time in which a team with a
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
    loans: Vec<TokenLoan>,
    demand: f64,
    demand_at: MonotonicTime,
    exhausted_lenders: usize,
    exhausted_until: MonotonicTime,
}

impl RateShare {
    /// Creates a share without tokens.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            loans: Vec::new(),
            demand: 0.0,
            demand_at: now,
            exhausted_lenders: 0,
            exhausted_until: MonotonicTime::default(),
        }
    }

    /// Adds borrowed tokens that were requested at `requested_at`.
    pub fn borrow(&mut self, tokens: f64, requested_at: MonotonicTime) {
        if tokens >= 1.0 {
            self.exhausted_lenders = 0;
            self.add_loan(tokens, requested_at + LOAN_TIME);
        }
    }

    /// Adds a token that was taken and not used. It expires when it would have expired before, so
    /// that tokens cannot be saved up.
    pub fn give_back(&mut self, expires_at: MonotonicTime) {
        self.add_loan(1.0, expires_at);
    }

    /// Records the answer of one of `lenders` lenders that it has no tokens now.
    pub fn record_exhausted(&mut self, lenders: usize, now: MonotonicTime) {
        self.exhausted_lenders += 1;
        if self.exhausted_lenders >= lenders {
            self.exhausted_lenders = 0;
            self.exhausted_until = now + EXHAUSTED_PAUSE;
        }
    }

    /// Counts an operation that is to be admitted.
    pub fn record_demand(&mut self, now: MonotonicTime) {
        self.decay(now);
        self.demand += 1.0;
    }

    /// Takes the token that expires first and returns when it expires, or `None` if there is none.
    pub fn take(&mut self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.drop_expired(now);
        let loan = self.loans.first_mut()?;
        let expires_at = loan.expires_at;
        loan.tokens -= 1.0;
        if loan.tokens < 1.0 {
            self.loans.remove(0);
        }
        Some(expires_at)
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

    fn add_loan(&mut self, tokens: f64, expires_at: MonotonicTime) {
        let later = self.loans.iter().position(|l| l.expires_at > expires_at);
        let index = later.unwrap_or(self.loans.len());
        self.loans.insert(index, TokenLoan { tokens, expires_at });
    }

    fn drop_expired(&mut self, now: MonotonicTime) {
        self.loans.retain(|loan| now < loan.expires_at);
    }
}
