//! Durations and limits of rate sharing.

use std::time::Duration;

/// The settings of one shard's rate sharing; all instances must use the same lease.
#[derive(Debug, Clone)]
pub struct ShareSettings {
    /// How long an owner may use its share after it sent a renewal.
    pub lease: Duration,
    /// Maximum term of a loan.
    pub loan_term: Duration,
    /// Interval at which a borrower renews a loan and restates its demand.
    pub loan_renewal: Duration,
    /// Minimum time between two rounds of loan requests.
    pub request_pause: Duration,
    /// Minimum time between two rounds while there are tokens left.
    pub early_request_pause: Duration,
    /// Maximum time between two rounds, reached by doubling while no share is granted.
    pub request_pause_max: Duration,
    /// Time after which an unanswered loan request may be repeated.
    pub request_timeout: Duration,
    /// Time constant of the demand estimate.
    pub demand_window: Duration,
    /// Time without any request of a team after which its loans are returned.
    pub idle_return: Duration,
    /// Maximum time that a request is deferred while more share is expected.
    pub max_defer: Duration,
    /// Additional time for which requests may be deferred when an owner expects more share to be
    /// free later than after `request_timeout`.
    pub recovery: Duration,
    /// Interval at which a witness reads the table from the store.
    pub witness_read: Duration,
    /// Time that an owner must be missing from the live members before its share is revoked.
    pub revoke_after: Duration,
    /// Additional delay of each further instance of a shard before it acts on the same cause.
    pub reconciler_stagger: Duration,
    /// Time that a witness may be dead before the set of witnesses is replaced.
    pub witness_replace: Duration,
    /// Maximum number of owners in a table.
    pub max_owners: usize,
    /// The number of witnesses.
    pub witnesses: usize,
    /// Maximum difference in speed between the clocks of two instances, as a fraction.
    pub clock_drift: f64,
    /// Rules that a test switches off to show that they are needed.
    pub ablation: ShareAblation,
}

/// Safety and liveness rules that tests switch off one at a time.
#[derive(Debug, Clone, Default)]
pub struct ShareAblation {
    /// The ends of leases and loans are ignored.
    pub no_lease_check: bool,
    /// A revoked share is reassigned without waiting for witnesses and leases.
    pub no_revocation_wait: bool,
    /// An owner does not deduct what it lends.
    pub no_deduction: bool,
    /// A repeated grant is added again.
    pub no_duplicate_check: bool,
    /// A witness vouches after a restart without reading the store.
    pub no_witness_read: bool,
    /// A lowered rate is not applied until the table has it.
    pub no_immediate_lowering: bool,
    /// Owners do not lend.
    pub no_loans: bool,
    /// Leases are renewed by the store only.
    pub no_witness_renewal: bool,
    /// A loan's term may exceed its owner's lease.
    pub no_loan_bound: bool,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(2000),
            loan_term: Duration::from_millis(500),
            loan_renewal: Duration::from_millis(160),
            request_pause: Duration::from_millis(10),
            early_request_pause: Duration::from_millis(80),
            request_pause_max: Duration::from_millis(320),
            request_timeout: Duration::from_millis(40),
            demand_window: Duration::from_millis(200),
            idle_return: Duration::from_millis(2000),
            max_defer: Duration::from_millis(500),
            recovery: Duration::from_millis(5000),
            witness_read: Duration::from_millis(5000),
            revoke_after: Duration::from_millis(1000),
            reconciler_stagger: Duration::from_millis(1000),
            witness_replace: Duration::from_millis(10000),
            max_owners: 16,
            witnesses: 5,
            clock_drift: 0.0002,
            ablation: ShareAblation::default(),
        }
    }
}

impl ShareSettings {
    /// Returns how long to wait until a lease measured by another instance's clock has ended.
    pub fn safe_wait(&self, lease: Duration) -> Duration {
        lease.mul_f64(1.0 + 2.0 * self.clock_drift) + Duration::from_millis(1)
    }
}
