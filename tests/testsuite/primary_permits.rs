//! Guards against reads at a primary that another one has replaced.

use std::time::Duration;

use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_entry::GroupRole;
use session_core::group_order::GroupOrder;
use session_core::group_order::OrderPhase;
use session_core::ids::EndpointId;
use session_core::monotonic_time::MonotonicTime;
use session_core::primary_permit::PERMIT_TIME;
use session_core::primary_permit::PermitRefusal;
use session_core::primary_permit::REVOKE_WAIT;
use session_core::primary_permit::first_primary;
use session_core::primary_permit::usable_primary;
use session_core::units::SlotCount;

const NOW: MonotonicTime = MonotonicTime::from_millis(100_000);

fn id(name: &str) -> EndpointId {
    name.parse().expect("the name is valid")
}

fn order(target: &str, phase: OrderPhase) -> GroupOrder {
    GroupOrder {
        target: id(target),
        target_address: None,
        former_address: None,
        former: None,
        phase,
        token: 1.into(),
    }
}

fn entry(name: &str, role: GroupRole) -> EndpointEntry {
    EndpointEntry {
        id: id(name),
        service: "orders".parse().expect("the name is valid"),
        address: "127.0.0.1:5000".parse().expect("the address is valid"),
        zone: "zone-a".parse().expect("the name is valid"),
        slots: SlotCount(3),
        draining: false,
        role,
        cold_time: std::time::Duration::ZERO,
        born: 1,
    }
}

/// An instance that is cut off must stop before a change of the primary may be completed.
#[test]
fn permit_ends_before_revocation() {
    let order = order("a", OrderPhase::Open);
    let evidence = Some(NOW);
    let last = NOW + PERMIT_TIME - Duration::from_millis(1);
    assert_eq!(usable_primary(Some(&order), evidence, last), Ok(id("a")));
    assert_eq!(
        usable_primary(Some(&order), evidence, NOW + PERMIT_TIME),
        Err(PermitRefusal::StaleEvidence)
    );
    // A watch may receive no events for a second while the store drops its history.
    assert!(REVOKE_WAIT >= PERMIT_TIME + Duration::from_secs(1));
}

/// No primary may be used while a change of the primary is pending, even if the evidence is fresh.
#[test]
fn pending_order_names_no_primary() {
    let order = order("b", OrderPhase::Pending);
    assert_eq!(
        usable_primary(Some(&order), Some(NOW), NOW),
        Err(PermitRefusal::OrderPending)
    );
}

/// A claim in the registry must not move the primary: a promotion shows there before instances
/// that are cut off have stopped to use the former primary.
#[test]
fn registry_names_no_primary() {
    assert_eq!(
        usable_primary(None, Some(NOW), NOW),
        Err(PermitRefusal::NoPrimary)
    );
}

/// The first order must not pick one of two claims.
#[test]
fn first_primary_is_unambiguous() {
    let primary = entry("a", GroupRole::Primary);
    let other = entry("b", GroupRole::Primary);
    let replica = entry("c", GroupRole::Replica);
    assert_eq!(
        first_primary([&primary, &replica].into_iter()),
        Some(id("a"))
    );
    assert_eq!(first_primary([&primary, &other].into_iter()), None);
    assert_eq!(first_primary([&replica].into_iter()), None);
}
