//! Decides how long a host that could not be used is passed over.

use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// Time for which a host is passed over after its first failure. A process that is restarted with
/// all others may start to listen a second after they need it.
const FIRST_TIME: Duration = Duration::from_millis(1_000);

/// Maximum time for which a host is passed over.
const MAX_TIME: Duration = Duration::from_secs(30);

/// How long a host is passed over. The time doubles while each attempt in between fails too, since a
/// request waits for a silent host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostExclusion {
    until: MonotonicTime,
    time: Duration,
}

impl HostExclusion {
    /// Returns the exclusion after a failure at `now`, with the one before, if the host has not been
    /// used since.
    pub fn after_failure(former: Option<HostExclusion>, now: MonotonicTime) -> Self {
        let time = match former {
            // Other requests that were under way fail with the same host.
            Some(former) if former.applies(now) => return former,
            Some(former) => MAX_TIME.min(2 * former.time),
            None => FIRST_TIME,
        };
        Self {
            until: now + time,
            time,
        }
    }

    /// Returns whether the host is passed over at `now`.
    pub fn applies(&self, now: MonotonicTime) -> bool {
        now < self.until
    }
}
