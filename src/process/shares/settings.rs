//! Durations and bounds of rate sharing.

use std::time::Duration;

/// The settings of one shard's rate sharing; all instances must use the same lease.
#[derive(Debug, Clone)]
pub struct ShareSettings {
    /// How long an owner's share stays usable after a renewal was sent.
    pub lease: Duration,
    /// The longest term of a loan.
    pub loan_term: Duration,
    /// How often a loan and its demand are restated.
    pub loan_renewal: Duration,
    /// The shortest time between two searches for more share.
    pub request_pause: Duration,
    /// The shortest time between two searches while there are tokens left.
    pub early_request_pause: Duration,
    /// The longest time between two searches that found nothing.
    pub request_pause_max: Duration,
    /// How long an unanswered search counts as under way.
    pub request_timeout: Duration,
    /// The time constant of the demand estimate.
    pub demand_window: Duration,
    /// How long a loan is kept without any request of its team.
    pub idle_return: Duration,
    /// The longest time an admission is deferred while share is on its way.
    pub max_defer: Duration,
    /// How long deferral stays allowed after a shortage was announced as temporary.
    pub recovery: Duration,
    /// How often a witness reads the store.
    pub witness_read: Duration,
    /// How long an instance must be seen dead before its share is revoked.
    pub revoke_after: Duration,
    /// The delay by which the instances of a shard act one after the other on the same cause.
    pub reconciler_stagger: Duration,
    /// How long a witness may be dead before a new set is named.
    pub witness_replace: Duration,
    /// The highest number of owners in a table.
    pub max_owners: usize,
    /// The number of witnesses.
    pub witnesses: usize,
    /// The part by which clocks of different instances may differ in speed.
    pub clock_drift: f64,
    /// Mechanisms that a test switches off to show that they are needed.
    pub ablation: ShareAblation,
}

/// Safety and liveness rules that tests switch off one at a time.
#[derive(Debug, Clone, Default)]
pub struct ShareAblation {
    /// Admission ignores the ends of leases and loans.
    pub no_lease_check: bool,
    /// A revoked share is reassigned without waiting for witnesses and leases.
    pub no_revocation_wait: bool,
    /// A giver keeps what it lends.
    pub no_deduction: bool,
    /// A repeated grant is added again.
    pub no_duplicate_check: bool,
    /// A witness vouches after a restart without reading the store.
    pub no_witness_read: bool,
    /// A lowered rate is not applied until the table has it.
    pub no_immediate_lowering: bool,
    /// Owners do not lend.
    pub no_loans: bool,
    /// A lease is renewed by the store only.
    pub no_witness_renewal: bool,
    /// A loan may outlast its owner's lease.
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
    /// Returns how long to wait here until a lease that another clock measures has surely ended.
    pub fn safe_wait(&self, lease: Duration) -> Duration {
        lease.mul_f64(1.0 + 2.0 * self.clock_drift) + Duration::from_millis(1)
    }
}
