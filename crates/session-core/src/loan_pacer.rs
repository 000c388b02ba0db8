//! Paces the questions of an instance to the one that lends tokens.

use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// The least time between two questions: a round trip between zones and its queues.
pub const REQUEST_PAUSE: Duration = Duration::from_millis(15);

/// How often that time doubles while questions stay unanswered: the last pause is 120 ms, so that
/// 300 instances ask an overloaded lender 2,500 times a second at most.
const MOST_DOUBLINGS: u32 = 3;

/// How many questions without an answer make an instance ask the deputy as well.
const DOUBT_COUNT: u32 = 2;

/// How long it goes on to ask both.
const DOUBT_TIME: Duration = Duration::from_millis(500);

/// The questions of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoanPacer {
    requested_at: Option<MonotonicTime>,
    unanswered: u32,
    doubted_at: Option<MonotonicTime>,
}

impl LoanPacer {
    /// Whether a question may be sent now.
    pub fn may_request(&self, now: MonotonicTime) -> bool {
        let doublings = self.unanswered.saturating_sub(1).min(MOST_DOUBLINGS);
        let pause = REQUEST_PAUSE * 2_u32.pow(doublings);
        self.requested_at
            .is_none_or(|requested_at| now.saturating_since(requested_at) >= pause)
    }

    /// Takes a question that is sent.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.requested_at = Some(now);
        self.unanswered = self.unanswered.saturating_add(1);
        if self.unanswered >= DOUBT_COUNT {
            self.doubted_at = Some(now);
        }
    }

    /// Takes an answer.
    pub fn record_answer(&mut self) {
        self.unanswered = 0;
    }

    /// Whether the deputy is to be asked as well.
    pub fn suspects_lender(&self, now: MonotonicTime) -> bool {
        self.doubted_at
            .is_some_and(|at| now.saturating_since(at) < DOUBT_TIME)
    }
}
