//! Time limits of failure detection and promotion.

use std::time::Duration;

/// The time limits of failure detection and promotion in a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailoverLimits {
    /// Period of the status polls to each endpoint by an instance that does not watch the group.
    pub poll_period: Duration,
    /// Upstream silence of a majority of replicas after which the primary counts as failed.
    pub upstream_silence: Duration,
    /// Time for which a majority of watchers must fail to connect to the primary before it counts
    /// as failed.
    pub connect_failure: Duration,
    /// Maximum age of a report that counts as evidence; an older one may predate a pause of this
    /// process.
    pub report_age: Duration,
    /// Additional time for replicas to attach to a new primary before their silence counts.
    pub attach_grace: Duration,
    /// Time after which a replica that is fenced above the current term causes a promotion at a
    /// higher term; until then it can follow no primary.
    pub stranded_replica: Duration,
    /// Mean of the random delay before a watcher that is not first in line starts a promotion.
    pub proposal_delay: Duration,
    /// Time after which a fence or promote call without an answer is repeated.
    pub call_retry: Duration,
    /// Time for which a plan waits for answers to fences before it may promote the suspected
    /// primary.
    pub fence_grace: Duration,
    /// Time after which a promotion without an answer is retried at a higher term.
    pub promote_timeout: Duration,
    /// Mean of the first back-off after a lost race; it doubles up to three times.
    pub backoff: Duration,
    /// Maximum time for which the remaining endpoints are still fenced after a promotion.
    pub remaining_fence_timeout: Duration,
    /// Timeout of an await call, for which an endpoint waits until it holds a point.
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
            remaining_fence_timeout: Duration::from_secs(2),
            await_timeout: Duration::from_millis(500),
        }
    }
}

impl FailoverLimits {
    /// Returns the poll period of each of `watchers` instances that watch a group, from 100 ms to
    /// 250 ms.
    pub fn poll_period_for(watchers: usize) -> Duration {
        let millis = 100 * u64::try_from(watchers).unwrap_or(u64::MAX).min(10) / 3;
        Duration::from_millis(millis.clamp(100, 250))
    }
}
