//! Decides whether a primary has failed, as opposed to being slow.

use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// Time since the first failed connection attempt, without any answer, after which a primary counts
/// as unreachable.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// Minimum number of attempts on new connections that must have failed in that time.
const FAILURE_COUNT: u32 = 2;

/// Time since the first hung write, without any acknowledgement, after which a primary counts as
/// cut off from its replicas.
const HANG_LIMIT: Duration = Duration::from_millis(1_500);

/// Minimum number of writes that must have hung in that time.
const HUNG_COUNT: u32 = 3;

/// Answers and failures of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct FailureDetector {
    answered_at: Option<MonotonicTime>,
    failing_since: Option<MonotonicTime>,
    failures: u32,
    hanging_since: Option<MonotonicTime>,
    hung_writes: u32,
    /// When the last attempt or write that failed was begun.
    last_failed_at: Option<MonotonicTime>,
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
    /// Records an answer of any kind.
    pub fn record_answer(&mut self, now: MonotonicTime) {
        self.answered_at = Some(now);
        self.failing_since = None;
        self.failures = 0;
    }

    /// Records an acknowledged write.
    pub fn record_acknowledgement(&mut self) {
        self.hanging_since = None;
        self.hung_writes = 0;
    }

    /// Records a write that was sent at `sent_at` and got no answer before its timeout.
    pub fn record_hung_write(&mut self, sent_at: MonotonicTime) {
        self.hanging_since.get_or_insert(sent_at);
        self.hung_writes += 1;
        self.last_failed_at = self.last_failed_at.max(Some(sent_at));
    }

    /// Records a new connection that was started at `tried_at` and was refused or got no answer.
    pub fn record_connect_failure(&mut self, tried_at: MonotonicTime) {
        self.failing_since.get_or_insert(tried_at);
        self.failures += 1;
        self.last_failed_at = self.last_failed_at.max(Some(tried_at));
    }

    /// Returns when the endpoint last answered.
    pub fn answered_at(&self) -> Option<MonotonicTime> {
        self.answered_at
    }

    /// Returns whether other instances should hear that the endpoint counts as failed, given the time
    /// since which this instance has been in touch with the store.
    ///
    /// An instance that was cut off sees every endpoint beyond the cut fail. When the cut heals, its
    /// failures say nothing until one is repeated and the endpoint has had time to answer.
    pub fn is_reportable(&self, in_touch_since: MonotonicTime, now: MonotonicTime) -> bool {
        let repeated = self.last_failed_at.is_some_and(|at| at >= in_touch_since);
        let settled = now.saturating_since(in_touch_since) >= SILENCE_LIMIT;
        repeated && settled && self.verdict(now).is_some()
    }

    /// Returns why the endpoint counts as failed, or `None` if it does not.
    pub fn verdict(&self, now: MonotonicTime) -> Option<FailureReason> {
        let silent = |since: MonotonicTime| now.saturating_since(since) >= SILENCE_LIMIT;
        if self.failures >= FAILURE_COUNT && self.failing_since.is_some_and(silent) {
            return Some(FailureReason::Unreachable);
        }
        let hung = |since: MonotonicTime| now.saturating_since(since) >= HANG_LIMIT;
        if self.hung_writes >= HUNG_COUNT && self.hanging_since.is_some_and(hung) {
            return Some(FailureReason::CommitsHang);
        }
        None
    }
}
