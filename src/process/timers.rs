//! Time for the parts of a process.
//!
//! Decision code takes a [`MonotonicTime`] as an argument; only this module reads a clock.

use std::fmt;
use std::ops::Add;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A time since an arbitrary start, on a clock that also counts suspended time.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// Creates a time from nanoseconds since the start of the clock.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Creates a time from milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Returns the nanoseconds since the start of the clock.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the time since an earlier time, or zero where that is later.
    pub fn saturating_since(self, earlier: MonotonicTime) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    fn add(self, duration: Duration) -> MonotonicTime {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        MonotonicTime(self.0.saturating_add(nanos))
    }
}

impl fmt::Display for MonotonicTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03}s",
            self.0 / 1_000_000_000,
            self.0 / 1_000_000 % 1000
        )
    }
}

/// Reads the time that decisions are made by.
///
/// CLOCK_BOOTTIME counts the time a machine was suspended, which `std::time::Instant` does not.
pub fn now() -> MonotonicTime {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    MonotonicTime(seconds * 1_000_000_000 + nanos)
}

/// Wakes the parts that subscribed, each at its own period.
#[derive(Debug, Default)]
pub struct TimerService {
    subscriptions: AtomicU64,
}

impl TimerService {
    /// Runs `action` once a period until the returned guard is dropped.
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

    /// Returns how many subscriptions were made.
    pub fn subscriptions(&self) -> u64 {
        self.subscriptions.load(Ordering::Relaxed)
    }
}

/// A subscription to the timer service; it ends when it is dropped.
#[derive(Debug)]
pub struct TimerGuard {
    handle: tokio::task::JoinHandle<()>,
}

impl Drop for TimerGuard {
    fn drop(&mut self) {
        self.handle.abort();
    }
}
