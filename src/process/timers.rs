//! The monotonic clock and the periodic timers of a process.
//!
//! Decision code does not read the clock: it takes a [`MonotonicTime`] as an argument.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

pub use session_core::monotonic_time::MonotonicTime;
pub use session_core::monotonic_time::now;

/// Runs the actions of its subscribers, each at its own period.
#[derive(Debug, Default)]
pub struct TimerService {
    subscriptions: AtomicU64,
}

impl TimerService {
    /// Runs `action` once per period until the returned guard is dropped.
    pub fn subscribe<F>(&self, period: Duration, mut action: F) -> TimerGuard
    where
        F: FnMut(MonotonicTime) + Send + 'static,
    {
        self.subscriptions.fetch_add(1, Ordering::Relaxed);
        let handle = tokio::spawn(async move {
            let mut interval = tokio::time::interval(period);
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                interval.tick().await;
                action(now());
            }
        });
        TimerGuard { handle }
    }

    /// Returns the number of subscriptions since the start, ended ones included.
    pub fn subscriptions(&self) -> u64 {
        self.subscriptions.load(Ordering::Relaxed)
    }
}

/// A subscription to the timer service; dropping it ends the subscription.
#[derive(Debug)]
pub struct TimerGuard {
    handle: tokio::task::JoinHandle<()>,
}

impl Drop for TimerGuard {
    fn drop(&mut self) {
        self.handle.abort();
    }
}
