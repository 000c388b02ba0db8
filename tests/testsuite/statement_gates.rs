//! Guards against long queues at endpoints, and against requests that overtake more urgent ones.

use std::net::SocketAddr;
use std::time::Duration;

use session_core::connection_part::ConnectionPart;
use session_core::failure_watch::FailureReason;
use session_core::failure_watch::FailureWatch;
use session_core::monotonic_time::MonotonicTime;
use session_core::statement_gate::StatementGate;

const TARGET: Duration = Duration::from_millis(60);
const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn fill(gate: &mut StatementGate) -> usize {
    let mut entered = 0;
    while gate.has_room(NOW) {
        gate.enter();
        entered += 1;
    }
    entered
}

/// Slow answers must lower the bound, and fast ones raise it again.
#[test]
fn bound_follows_latency() {
    let mut gate = StatementGate::new(3, 13);
    for _ in 0..200 {
        gate.adapt(Duration::from_millis(300), TARGET, NOW);
    }
    let narrow = fill(&mut gate);
    assert_eq!(narrow, 1);
    let mut wide = narrow;
    for _ in 0..200 {
        gate.adapt(Duration::from_millis(10), TARGET, NOW);
        wide += fill(&mut gate);
    }
    assert!(wide > 5, "{wide}");
}

/// The most urgent request must go first, and those of one rank in their order.
#[test]
fn urgent_goes_first() {
    let mut gate = StatementGate::new(3, 3);
    let running = fill(&mut gate);
    let later = gate.join(2);
    let other = gate.join(2);
    let urgent = gate.join(1);
    for _ in 0..running {
        gate.leave(NOW);
    }
    assert!(!gate.try_enter(later, NOW));
    assert!(gate.try_enter(urgent, NOW));
    assert!(!gate.try_enter(other, NOW));
    assert!(gate.try_enter(later, NOW));
    gate.forget(other);
    assert_eq!(gate.waiting(), 0);
}

/// With more instances than slots, each must leave the endpoint to others between statements.
#[test]
fn bound_below_one_pauses() {
    let mut gate = StatementGate::new(2, 144);
    assert_eq!(fill(&mut gate), 1);
    for _ in 0..50 {
        gate.adapt(Duration::from_millis(100), TARGET, NOW);
    }
    gate.leave(NOW);
    assert!(gate.pause(NOW) > Duration::from_millis(400));
    assert!(!gate.has_room(NOW));
    assert!(gate.has_room(NOW + Duration::from_secs(1)));
}

/// Pauses must end with time and not only with answers: on many instances, each sends an endpoint
/// less than one statement a second.
#[test]
fn pauses_fade() {
    let mut gate = StatementGate::new(2, 144);
    assert_eq!(fill(&mut gate), 1);
    gate.leave(NOW);
    assert!(gate.pause(NOW) < Duration::from_millis(300));
    let later = NOW + Duration::from_secs(2);
    gate.enter();
    gate.leave(later);
    assert!(gate.pause(later).is_zero());
}

/// After everything restarted, a full queue must keep instances away at once.
#[test]
fn full_queue_pauses_at_once() {
    let mut gate = StatementGate::new(2, 144);
    gate.adapt(
        Duration::from_millis(10),
        TARGET,
        NOW + Duration::from_secs(5),
    );
    let later = NOW + Duration::from_secs(5);
    gate.narrow(later);
    gate.narrow(later);
    assert!(gate.pause(later) > Duration::from_millis(100));
    assert!(!gate.has_room(later));
}

/// The parts of all instances together must not exceed the whole.
#[test]
fn parts_sum_to_one() {
    let mut leader = ConnectionPart::default();
    let demands = [(1, 0), (2, 5), (3, 40), (4, 2)];
    for _ in 0..2 {
        for (port, demand) in demands {
            leader.take_demand(address(port), demand, at(1_000));
        }
    }
    let total: f64 = demands
        .iter()
        .map(|(port, demand)| leader.take_demand(address(*port), *demand, at(1_000)))
        .sum();
    assert!((total - 1.0).abs() < 1e-9, "{total}");
}

/// An instance without a leader must fall back to the even part.
#[test]
fn old_part_is_forgotten() {
    let mut part = ConnectionPart::default();
    part.accept(0.5, at(1_000));
    assert!((part.part(10, at(2_000)) - 0.5).abs() < 1e-9);
    assert!((part.part(10, at(9_000)) - 0.1).abs() < 1e-9);
}

/// A slow primary, or one silent connection, is no failed primary.
#[test]
fn one_failure_is_no_verdict() {
    let mut watch = FailureWatch::default();
    watch.connect_failed(at(1_000));
    assert_eq!(watch.verdict(at(5_000)), None);
    watch.connect_failed(at(1_500));
    assert_eq!(watch.verdict(at(5_000)), Some(FailureReason::Unreachable));
    watch.answered(at(5_100));
    assert_eq!(watch.verdict(at(9_000)), None);
}

/// A primary without replicas answers reads, and must be replaced all the same.
#[test]
fn hanging_commits_are_a_verdict() {
    let mut watch = FailureWatch::default();
    for sent in [1_000, 1_100, 1_200] {
        watch.answered(at(sent + 1_000));
        watch.write_hung(at(sent));
    }
    assert_eq!(watch.verdict(at(2_300)), None);
    assert_eq!(watch.verdict(at(2_600)), Some(FailureReason::CommitsHang));
    watch.acknowledged();
    assert_eq!(watch.verdict(at(2_600)), None);
}
