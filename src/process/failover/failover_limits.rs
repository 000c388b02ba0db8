//! Durations that failure detection and promotion go by.

use std::time::Duration;

/// The durations that a group is watched by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailoverLimits {
    /// Period of status polls of each endpoint, on an instance that does not watch the group.
    pub poll_period: Duration,
    /// Upstream silence of a majority of replicas after which the primary counts as failed.
    pub upstream_silence: Duration,
    /// Time without new connections, at a majority of watchers, after which it counts as failed.
    pub connect_failure: Duration,
    /// Age up to which a report is evidence; an older one may predate a pause of this process.
    pub report_age: Duration,
    /// Time that replicas have to attach to a new primary before their silence counts.
    pub attach_grace: Duration,
    /// Time after which a replica that is fenced above the current term is brought back by a
    /// promotion at a higher term; it can follow no primary until then.
    pub stranded_replica: Duration,
    /// Longest random delay before a watcher that is not first in line proposes.
    pub proposal_delay: Duration,
    /// Period after which a fence or promote call without an answer is repeated.
    pub call_retry: Duration,
    /// Time for which a plan waits for a fenced majority without the failed primary.
    pub fence_grace: Duration,
    /// Time after which a promote call without an answer leads to a higher term.
    pub promote_timeout: Duration,
    /// Mean of the first back-off after a lost race; it doubles three times.
    pub backoff: Duration,
    /// Time for which the remaining endpoints are still fenced after a promotion.
    pub settle_time: Duration,
    /// Longest time for which an endpoint is asked to wait for a point.
    pub await_timeout: Duration,
}

impl Default for FailoverLimits {
    fn default() -> Self {
        Self {
            poll_period: Duration::from_millis(250),
            upstream_silence: Duration::from_secs(1),
            connect_failure: Duration::from_secs(2),
            report_age: Duration::from_secs(1),
            attach_grace: Duration::from_millis(500),
            stranded_replica: Duration::from_secs(5),
            proposal_delay: Duration::from_millis(300),
            call_retry: Duration::from_millis(250),
            fence_grace: Duration::from_millis(300),
            promote_timeout: Duration::from_secs(1),
            backoff: Duration::from_millis(100),
            settle_time: Duration::from_secs(2),
            await_timeout: Duration::from_millis(500),
        }
    }
}

impl FailoverLimits {
    /// Returns the poll period of one of `watchers` instances that watch a group: 100 ms to 250 ms.
    pub fn poll_period_for(watchers: usize) -> Duration {
        let millis = 100 * u64::try_from(watchers).unwrap_or(u64::MAX).min(10) / 3;
        Duration::from_millis(millis.clamp(100, 250))
    }
}
