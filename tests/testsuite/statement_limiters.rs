//! Guards against long queues at endpoints, and against requests that overtake more urgent ones.

use std::net::SocketAddr;
use std::time::Duration;

use session_core::connection_share::ConnectionShare;
use session_core::failure_detector::FailureDetector;
use session_core::failure_detector::FailureReason;
use session_core::monotonic_time::MonotonicTime;
use session_core::statement_limiter::StatementLimiter;

const TARGET: Duration = Duration::from_millis(60);
const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn fill(limiter: &mut StatementLimiter) -> usize {
    let mut entered = 0;
    while limiter.has_capacity(NOW) {
        limiter.acquire_unqueued();
        entered += 1;
    }
    entered
}

/// Slow answers must lower the bound, and fast ones raise it again.
#[test]
fn bound_follows_latency() {
    let mut limiter = StatementLimiter::new(3, 13);
    for _ in 0..200 {
        limiter.record_latency(Duration::from_millis(300), TARGET, NOW);
    }
    let narrow = fill(&mut limiter);
    assert_eq!(narrow, 1);
    let mut wide = narrow;
    for _ in 0..200 {
        limiter.record_latency(Duration::from_millis(10), TARGET, NOW);
        wide += fill(&mut limiter);
    }
    assert!(wide > 5, "{wide}");
}

/// The most urgent request must go first, and those of one rank in their order.
#[test]
fn urgent_goes_first() {
    let mut limiter = StatementLimiter::new(3, 3);
    let running = fill(&mut limiter);
    let later = limiter.enqueue(2);
    let other = limiter.enqueue(2);
    let urgent = limiter.enqueue(1);
    for _ in 0..running {
        limiter.release(NOW);
    }
    assert!(!limiter.try_acquire(later, NOW));
    assert!(limiter.try_acquire(urgent, NOW));
    assert!(!limiter.try_acquire(other, NOW));
    assert!(limiter.try_acquire(later, NOW));
    limiter.cancel(other);
    assert_eq!(limiter.waiting(), 0);
}

/// With more instances than slots, each must leave the endpoint to others between statements.
#[test]
fn bound_below_one_pauses() {
    let mut limiter = StatementLimiter::new(2, 144);
    assert_eq!(fill(&mut limiter), 1);
    for _ in 0..50 {
        limiter.record_latency(Duration::from_millis(100), TARGET, NOW);
    }
    limiter.release(NOW);
    assert!(limiter.pause(NOW) > Duration::from_millis(400));
    assert!(!limiter.has_capacity(NOW));
    assert!(limiter.has_capacity(NOW + Duration::from_secs(1)));
}

/// Pauses must end with time and not only with answers: on many instances, each sends an endpoint
/// less than one statement a second.
#[test]
fn pauses_fade() {
    let mut limiter = StatementLimiter::new(2, 144);
    assert_eq!(fill(&mut limiter), 1);
    limiter.release(NOW);
    assert!(limiter.pause(NOW) < Duration::from_millis(300));
    let later = NOW + Duration::from_secs(2);
    limiter.acquire_unqueued();
    limiter.release(later);
    assert!(limiter.pause(later).is_zero());
}

/// After everything restarted, a full queue must keep instances away at once.
#[test]
fn full_queue_pauses_at_once() {
    let mut limiter = StatementLimiter::new(2, 144);
    limiter.record_latency(
        Duration::from_millis(10),
        TARGET,
        NOW + Duration::from_secs(5),
    );
    let later = NOW + Duration::from_secs(5);
    limiter.back_off(later);
    limiter.back_off(later);
    assert!(limiter.pause(later) > Duration::from_millis(100));
    assert!(!limiter.has_capacity(later));
}

/// The parts of all instances together must not exceed the whole.
#[test]
fn parts_sum_to_one() {
    let mut leader = ConnectionShare::default();
    let demands = [(1, 0), (2, 5), (3, 40), (4, 2)];
    for _ in 0..2 {
        for (port, demand) in demands {
            leader.record_demand(address(port), demand, at(1_000));
        }
    }
    let total: f64 = demands
        .iter()
        .map(|(port, demand)| leader.record_demand(address(*port), *demand, at(1_000)))
        .sum();
    assert!((total - 1.0).abs() < 1e-9, "{total}");
}

/// An instance without a leader must fall back to the even part.
#[test]
fn old_part_is_forgotten() {
    let mut share = ConnectionShare::default();
    share.record_grant(0.5, at(1_000));
    assert!((share.fraction(10, at(2_000)) - 0.5).abs() < 1e-9);
    assert!((share.fraction(10, at(9_000)) - 0.1).abs() < 1e-9);
}

/// A slow primary, or one silent connection, is no failed primary.
#[test]
fn one_failure_is_no_verdict() {
    let mut detector = FailureDetector::default();
    detector.record_connect_failure(at(1_000));
    assert_eq!(detector.verdict(at(5_000)), None);
    detector.record_connect_failure(at(1_500));
    assert_eq!(
        detector.verdict(at(5_000)),
        Some(FailureReason::Unreachable)
    );
    detector.record_answer(at(5_100));
    assert_eq!(detector.verdict(at(9_000)), None);
}

/// A primary without replicas answers reads, and must be replaced all the same.
#[test]
fn hanging_commits_are_a_verdict() {
    let mut detector = FailureDetector::default();
    for sent in [1_000, 1_100, 1_200] {
        detector.record_answer(at(sent + 1_000));
        detector.record_hung_write(at(sent));
    }
    assert_eq!(detector.verdict(at(2_300)), None);
    assert_eq!(
        detector.verdict(at(2_600)),
        Some(FailureReason::CommitsHang)
    );
    detector.record_acknowledgement();
    assert_eq!(detector.verdict(at(2_600)), None);
}
