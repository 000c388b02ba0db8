//! Decides whether an instance may use the primary of a group now.
//!
//! An instance without evidence from the store for [`PERMIT_TIME`] may have missed an order, so it
//! stops using the primary. The leader that changes the primary waits until each instance has
//! acknowledged the order or [`REVOKE_WAIT`] has passed since the store accepted it.

use std::time::Duration;

use crate::endpoint_entry::EndpointEntry;
use crate::endpoint_entry::GroupRole;
use crate::group_order::GroupOrder;
use crate::group_order::OrderPhase;
use crate::ids::EndpointId;
use crate::monotonic_time::MonotonicTime;

/// How long evidence from the store permits the use of a primary: the same time as for the use of
/// keys, and twice the length of a long poll.
pub const PERMIT_TIME: Duration = Duration::from_millis(3_800);

/// How long an order waits for instances that do not acknowledge it: [`PERMIT_TIME`], plus the
/// second for which a watch may report no changes while the store drops its history.
pub const REVOKE_WAIT: Duration = Duration::from_millis(5_000);

/// Why a primary may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitRefusal {
    /// The evidence from the store is too old.
    StaleEvidence,
    /// A change of the primary is under way.
    OrderPending,
    /// The group has no known primary.
    NoPrimary,
}

impl PermitRefusal {
    /// Returns the reason for log lines.
    pub fn reason(self) -> &'static str {
        match self {
            PermitRefusal::StaleEvidence => "store_evidence_too_old",
            PermitRefusal::OrderPending => "change_of_primary_pending",
            PermitRefusal::NoPrimary => "no_known_primary",
        }
    }
}

/// Returns the primary of the group, if this instance may use it now.
///
/// The role that an endpoint reports is not considered: an isolated machine may still reach the
/// former primary after another endpoint was promoted.
///
/// # Errors
///
/// `StaleEvidence` if the evidence is missing or older than [`PERMIT_TIME`]; otherwise as
/// [`ordered_primary`].
pub fn usable_primary(
    order: Option<&GroupOrder>,
    evidence: Option<MonotonicTime>,
    now: MonotonicTime,
) -> Result<EndpointId, PermitRefusal> {
    let fresh = evidence.is_some_and(|at| now.saturating_since(at) < PERMIT_TIME);
    if !fresh {
        return Err(PermitRefusal::StaleEvidence);
    }
    ordered_primary(order)
}

/// Returns the primary that the order names.
///
/// # Errors
///
/// `OrderPending` if the order is not open yet; `NoPrimary` if there is none.
pub fn ordered_primary(order: Option<&GroupOrder>) -> Result<EndpointId, PermitRefusal> {
    match order {
        Some(order) if order.phase == OrderPhase::Open => Ok(order.target.clone()),
        Some(_) => Err(PermitRefusal::OrderPending),
        None => Err(PermitRefusal::NoPrimary),
    }
}

/// Returns the target of a group's first order: the only endpoint that reports itself as primary,
/// or `None` if there is none or more than one.
pub fn first_primary<'a>(entries: impl Iterator<Item = &'a EndpointEntry>) -> Option<EndpointId> {
    let mut claims = entries.filter(|entry| entry.role == GroupRole::Primary);
    match (claims.next(), claims.next()) {
        (Some(entry), None) => Some(entry.id.clone()),
        _ => None,
    }
}
