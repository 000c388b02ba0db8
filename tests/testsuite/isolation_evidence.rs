//! A withdrawn key must not live on in an instance that is cut off, and a store outage for
//! everybody must not stop the fleet.

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
    format!("i{number}").parse().expect("a valid id")
}

fn monitor_of(fleet: usize) -> IsolationMonitor {
    let mut monitor = IsolationMonitor::new(instance(0));
    monitor.set_members((0..fleet).map(instance));
    monitor
}

#[test]
fn own_read_expires() {
    let mut monitor = monitor_of(5);
    monitor.record_store_read(at(1_000));
    assert_eq!(monitor.evidence(at(4_000), BUNDLE), StoreEvidence::Direct);
    assert_eq!(monitor.evidence(at(4_001), BUNDLE), StoreEvidence::Isolated);
}

#[test]
fn outage_needs_majority() {
    let mut monitor = monitor_of(5);
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

#[test]
fn peer_with_store_relays() {
    let mut monitor = monitor_of(5);
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

/// A peer that has a newer bundle proves that something was accepted that is not in force here.
#[test]
fn newer_bundle_stops_requests() {
    let mut monitor = monitor_of(3);
    let newer = BundleVersion(8);
    monitor.record_peer(instance(1), at(10_000), Some(Duration::ZERO), newer);
    monitor.record_peer(instance(2), at(10_000), None, BUNDLE);
    assert_eq!(
        monitor.evidence(at(10_100), BUNDLE),
        StoreEvidence::Isolated
    );
    assert_eq!(monitor.evidence(at(10_100), newer), StoreEvidence::Relayed);
}

/// Answers that waited in a socket buffer while the process was frozen are no fresh evidence.
#[test]
fn pause_ages_answers() {
    let mut monitor = monitor_of(3);
    monitor.record_peer(instance(1), at(1_000), None, BUNDLE);
    monitor.record_peer(instance(2), at(1_000), Some(Duration::ZERO), BUNDLE);
    assert_eq!(
        monitor.evidence(at(61_000), BUNDLE),
        StoreEvidence::Isolated
    );
}

/// An answer to an older question that arrives late must not replace newer evidence.
#[test]
fn late_answer_ignored() {
    let mut monitor = monitor_of(3);
    monitor.record_peer(instance(1), at(9_000), Some(Duration::ZERO), BUNDLE);
    monitor.record_peer(instance(1), at(4_000), None, BUNDLE);
    assert_eq!(monitor.evidence(at(10_000), BUNDLE), StoreEvidence::Relayed);
}
