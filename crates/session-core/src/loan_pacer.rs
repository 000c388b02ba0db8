//! Paces the loan requests that an instance sends to the lender.

use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// Minimum time between two requests: a round trip between zones, queueing included.
pub const REQUEST_PAUSE: Duration = Duration::from_millis(15);

/// Maximum number of times that the pause doubles while requests stay unanswered. The longest pause
/// is then 120 ms, with which 300 instances send an overloaded lender at most 2,500 requests per
/// second.
const MAX_DOUBLINGS: u32 = 3;

/// Number of unanswered requests after which the deputy is sent requests as well.
const SUSPICION_COUNT: u32 = 2;

/// How long requests go to both, counted from the last request that was sent with
/// [`SUSPICION_COUNT`] or more unanswered.
const SUSPICION_TIME: Duration = Duration::from_millis(500);

/// The loan requests of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoanPacer {
    requested_at: Option<MonotonicTime>,
    unanswered: u32,
    suspected_at: Option<MonotonicTime>,
}

impl LoanPacer {
    /// Returns whether a request may be sent now.
    pub fn may_request(&self, now: MonotonicTime) -> bool {
        let doublings = self.unanswered.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause = REQUEST_PAUSE * 2_u32.pow(doublings);
        self.requested_at
            .is_none_or(|requested_at| now.saturating_since(requested_at) >= pause)
    }

    /// Records that a request is sent.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.requested_at = Some(now);
        self.unanswered = self.unanswered.saturating_add(1);
        if self.unanswered >= SUSPICION_COUNT {
            self.suspected_at = Some(now);
        }
    }

    /// Records an answer.
    pub fn record_answer(&mut self) {
        self.unanswered = 0;
    }

    /// Returns whether requests go to the deputy as well, since the lender left some unanswered.
    pub fn suspects_lender(&self, now: MonotonicTime) -> bool {
        self.suspected_at
            .is_some_and(|at| now.saturating_since(at) < SUSPICION_TIME)
    }
}
