//! Bounds how often an event is logged.

use std::cell::Cell;
use std::time::Duration;

use session_core::monotonic_time::MonotonicTime;

/// Minimum time between two log lines of an event.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Admits an event to the log once a period and counts the others.
#[derive(Debug, Default)]
pub struct EventLimiter {
    logged_at: Cell<Option<MonotonicTime>>,
    skipped: Cell<u64>,
}

impl EventLimiter {
    /// Returns how many events were not logged since the last one that was, or `None` if this one
    /// must not be logged either.
    pub fn admit(&self, now: MonotonicTime) -> Option<u64> {
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| now.saturating_since(at) < LOG_PERIOD) {
            self.skipped.set(self.skipped.get() + 1);
            return None;
        }
        self.logged_at.set(Some(now));
        Some(self.skipped.take())
    }
}
