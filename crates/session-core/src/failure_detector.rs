//! Tells a failed primary from a slow one.

use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// How long a primary must have answered nothing before it counts as failed.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// How many attempts on new connections must have failed in that time.
const FAILURE_COUNT: u32 = 2;

/// How long commits must have hung before the primary counts as cut off from its replicas.
const STUCK_LIMIT: Duration = Duration::from_millis(1_500);

/// How many commits must have hung in that time.
const STUCK_COUNT: u32 = 3;

/// What was seen of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct FailureDetector {
    answered_at: Option<MonotonicTime>,
    failing_since: Option<MonotonicTime>,
    failures: u32,
    stuck_since: Option<MonotonicTime>,
    stuck: u32,
}

/// Why a primary counts as failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// New connections fail or get no answer.
    Unreachable,
    /// It answers, but no commit is acknowledged.
    CommitsHang,
}

impl FailureReason {
    /// Returns the reason for log lines.
    pub fn reason(self) -> &'static str {
        match self {
            FailureReason::Unreachable => "unreachable_on_new_connections",
            FailureReason::CommitsHang => "commits_hang",
        }
    }
}

impl FailureDetector {
    /// Takes an answer of any kind.
    pub fn record_answer(&mut self, now: MonotonicTime) {
        self.answered_at = Some(now);
        self.failing_since = None;
        self.failures = 0;
    }

    /// Takes an acknowledged write.
    pub fn record_acknowledgement(&mut self) {
        self.stuck_since = None;
        self.stuck = 0;
    }

    /// Takes a write that was not answered in its time; `sent_at` is when it was sent.
    pub fn record_hung_write(&mut self, sent_at: MonotonicTime) {
        self.stuck_since.get_or_insert(sent_at);
        self.stuck += 1;
    }

    /// Takes a new connection that was refused or got no answer since `tried_at`.
    pub fn record_connect_failure(&mut self, tried_at: MonotonicTime) {
        self.failing_since.get_or_insert(tried_at);
        self.failures += 1;
    }

    /// Returns when the endpoint last answered.
    pub fn answered_at(&self) -> Option<MonotonicTime> {
        self.answered_at
    }

    /// Returns why the endpoint counts as failed, or `None`.
    pub fn verdict(&self, now: MonotonicTime) -> Option<FailureReason> {
        let silent = |since: MonotonicTime| now.saturating_since(since) >= SILENCE_LIMIT;
        if self.failures >= FAILURE_COUNT && self.failing_since.is_some_and(silent) {
            return Some(FailureReason::Unreachable);
        }
        let hung = |since: MonotonicTime| now.saturating_since(since) >= STUCK_LIMIT;
        if self.stuck >= STUCK_COUNT && self.stuck_since.is_some_and(hung) {
            return Some(FailureReason::CommitsHang);
        }
        None
    }
}
