//! Guards against long queues at endpoints, and against serving requests before more urgent ones.

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
    let mut acquired = 0;
    while limiter.has_capacity(NOW) {
        limiter.acquire_unqueued();
        acquired += 1;
    }
    acquired
}

/// Slow answers must lower the limit, and fast ones must raise it again.
#[test]
fn limit_follows_latency() {
    let mut limiter = StatementLimiter::new(3, 13);
    for _ in 0..200 {
        limiter.record_latency(Duration::from_millis(300), TARGET, NOW);
    }
    let lowered = fill(&mut limiter);
    assert_eq!(lowered, 1);
    let mut raised = lowered;
    for _ in 0..200 {
        limiter.record_latency(Duration::from_millis(10), TARGET, NOW);
        raised += fill(&mut limiter);
    }
    assert!(raised > 5, "{raised}");
}

/// The most urgent request must be served first, and requests of equal priority in queue order.
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

/// With more instances than slots, the limit is below one: each instance must pause between its
/// statements.
#[test]
fn limit_below_one_pauses() {
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

/// Pauses must also shorten with time and not only with answers: in a large fleet, each instance
/// sends an endpoint less than one statement per second.
#[test]
fn pauses_decay() {
    let mut limiter = StatementLimiter::new(2, 144);
    assert_eq!(fill(&mut limiter), 1);
    limiter.release(NOW);
    assert!(limiter.pause(NOW) < Duration::from_millis(300));
    let later = NOW + Duration::from_secs(2);
    limiter.acquire_unqueued();
    limiter.release(later);
    assert!(limiter.pause(later).is_zero());
}

/// After a restart of the whole system, a full queue must make instances pause immediately.
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

/// The fractions of all instances must add up to 1.
#[test]
fn fractions_sum_to_one() {
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

/// An instance that gets no fraction from the leader must fall back to an equal one.
#[test]
fn old_fraction_expires() {
    let mut share = ConnectionShare::default();
    share.record_grant(0.5, at(1_000));
    assert!((share.fraction(10, at(2_000)) - 0.5).abs() < 1e-9);
    assert!((share.fraction(10, at(9_000)) - 0.1).abs() < 1e-9);
}

/// A single connection failure, or a slow primary that answers again, must not count as a failed
/// primary.
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

/// A primary that lost its replicas still answers reads, but must be replaced since commits hang.
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
