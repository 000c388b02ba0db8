//! Checks that an isolated instance stops serving, since it may still accept withdrawn keys, and that the fleet
//! continues when no instance reaches the store.

use std::time::Duration;

use tamaracklb::process::peers::isolation_monitor::IsolationMonitor;
use tamaracklb::process::peers::isolation_monitor::StoreEvidence;
use tamaracklb::process::timers::MonotonicTime;
use tamaracklb::version::ids::BundleVersion;
use tamaracklb::version::ids::InstanceId;

const BUNDLE: BundleVersion = BundleVersion(7);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn instance(number: usize) -> InstanceId {
    format!("i{number}").parse().expect("valid instance id")
}

fn create_monitor(fleet_size: usize) -> IsolationMonitor {
    let mut monitor = IsolationMonitor::new(instance(0));
    monitor.set_members((0..fleet_size).map(instance));
    monitor
}

/// Guards against relying on the instance's own read of the store for more than 3 s.
#[test]
fn own_read_expires() {
    let mut monitor = create_monitor(5);
    monitor.record_store_read(at(1_000));
    assert_eq!(monitor.evidence(at(4_000), BUNDLE), StoreEvidence::Direct);
    assert_eq!(monitor.evidence(at(4_001), BUNDLE), StoreEvidence::Isolated);
}

/// Guards against an instance that treats its own isolation as an outage of the store although it has no answers from
/// a majority.
#[test]
fn outage_needs_majority() {
    let mut monitor = create_monitor(5);
    monitor.record_peer(instance(1), at(10_000), None, BUNDLE);
    assert_eq!(
        monitor.evidence(at(10_100), BUNDLE),
        StoreEvidence::Isolated
    );
    monitor.record_peer(
        instance(2),
        at(10_050),
        Some(Duration::from_secs(9)),
        BUNDLE,
    );
    assert_eq!(monitor.evidence(at(10_100), BUNDLE), StoreEvidence::Outage);
}

/// Guards against ignoring a peer that reads the store, and against relying on its last read for more than 3 s.
#[test]
fn peer_with_store_relays() {
    let mut monitor = create_monitor(5);
    monitor.record_peer(
        instance(3),
        at(10_000),
        Some(Duration::from_millis(400)),
        BUNDLE,
    );
    assert_eq!(monitor.evidence(at(12_500), BUNDLE), StoreEvidence::Relayed);
    assert_eq!(
        monitor.evidence(at(12_601), BUNDLE),
        StoreEvidence::Isolated
    );
}

/// Guards against serving requests with an outdated bundle: a peer with a newer one shows that a change was accepted
/// that is not in force on this instance.
#[test]
fn newer_bundle_stops_requests() {
    let mut monitor = create_monitor(3);
    let newer = BundleVersion(8);
    monitor.record_peer(instance(1), at(10_000), Some(Duration::ZERO), newer);
    monitor.record_peer(instance(2), at(10_000), None, BUNDLE);
    assert_eq!(
        monitor.evidence(at(10_100), BUNDLE),
        StoreEvidence::Isolated
    );
    assert_eq!(monitor.evidence(at(10_100), newer), StoreEvidence::Relayed);
}

/// Guards against counting answers as fresh that waited in a socket buffer while the process was frozen.
#[test]
fn pause_ages_answers() {
    let mut monitor = create_monitor(3);
    monitor.record_peer(instance(1), at(1_000), None, BUNDLE);
    monitor.record_peer(instance(2), at(1_000), Some(Duration::ZERO), BUNDLE);
    assert_eq!(
        monitor.evidence(at(61_000), BUNDLE),
        StoreEvidence::Isolated
    );
}

/// Guards against newer evidence being replaced by the late answer to an earlier request.
#[test]
fn late_answer_ignored() {
    let mut monitor = create_monitor(3);
    monitor.record_peer(instance(1), at(9_000), Some(Duration::ZERO), BUNDLE);
    monitor.record_peer(instance(1), at(4_000), None, BUNDLE);
    assert_eq!(monitor.evidence(at(10_000), BUNDLE), StoreEvidence::Relayed);
}
