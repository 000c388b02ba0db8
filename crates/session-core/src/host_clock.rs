//! Bounds how late a host may forward a command of another instance.

use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// Time within which a host must forward a short command after it was sent. It is short against the
/// margins with which instances stop using a primary.
pub const FORWARD_TIME: Duration = Duration::from_millis(150);

/// Bytes a second that a link carries at least; a larger command gets the time for its bytes. The
/// slowest links of instances carry 1.25 MB a second.
const LINK_BYTES_PER_S: f64 = 500_000.0;

/// Age at which the newest known time of the host's clock is replaced even by a worse one, since
/// clocks drift.
const MAX_AGE: Duration = Duration::from_secs(5);

/// A time of a host's clock, and when this instance learned it on its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostClock {
    stamp: MonotonicTime,
    received_at: MonotonicTime,
}

impl HostClock {
    /// Returns what is known of the clock after a message with this stamp was received.
    pub fn after_message(
        former: Option<HostClock>,
        stamp: MonotonicTime,
        received_at: MonotonicTime,
    ) -> Self {
        let received = Self { stamp, received_at };
        match former {
            Some(former)
                if former.reached(received_at) > stamp
                    && received_at.saturating_since(former.received_at) <= MAX_AGE =>
            {
                former
            }
            _ => received,
        }
    }

    /// Returns a time that the host's clock has reached at `now`.
    pub fn reached(self, now: MonotonicTime) -> MonotonicTime {
        self.stamp + now.saturating_since(self.received_at)
    }

    /// Returns the time on the host's clock up to which commands of this length that are sent at
    /// `now` may be forwarded. It is at most [`FORWARD_TIME`] and the time for the bytes after the
    /// sending, wherever they are held up and however long a process is frozen, since it starts from
    /// a time that the host's clock has already reached.
    pub fn forward_deadline(self, now: MonotonicTime, bytes: usize) -> MonotonicTime {
        let transfer = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
        self.reached(now) + FORWARD_TIME + transfer
    }
}
