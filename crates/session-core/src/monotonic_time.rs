//! The monotonic clock of the decision code.
//!
//! Decision code takes a [`MonotonicTime`] as an argument; only [`now`] reads the clock.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A time since an arbitrary start, on a clock that also counts the time in suspend.
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

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
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

/// Returns the current time.
///
/// Reads `CLOCK_BOOTTIME`, which counts the time in suspend; `std::time::Instant` does not.
pub fn now() -> MonotonicTime {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    MonotonicTime(seconds * 1_000_000_000 + nanos)
}

impl Sub<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    fn sub(self, duration: Duration) -> MonotonicTime {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        MonotonicTime(self.0.saturating_sub(nanos))
    }
}
