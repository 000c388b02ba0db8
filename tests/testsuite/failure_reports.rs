//! Guards against primaries that are replaced because an instance was cut off, not they.

use std::time::Duration;

use session_core::failure_detector::FailureDetector;
use session_core::monotonic_time::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_nanos(millis * 1_000_000)
}

/// A detector with failed attempts every 200 ms from `from` to `to`.
fn failing(from: u64, to: u64) -> FailureDetector {
    let mut detector = FailureDetector::default();
    for millis in (from..to).step_by(200) {
        detector.record_connect_failure(at(millis));
    }
    detector
}

/// Instances of a zone that was cut off must not report the primaries beyond the cut when it heals. All
/// eight primaries of a played day were replaced then, although they served the other zones.
#[test]
fn healed_cut_is_not_reported() {
    let detector = failing(1_000, 6_000);
    let healed = at(6_000);
    assert!(detector.verdict(at(6_100)).is_some());
    for millis in (6_000..20_000).step_by(100) {
        assert!(!detector.is_reportable(healed, at(millis)), "{millis} ms");
    }
}

/// A primary that fails for an instance in touch must be reported after the usual time, also if the
/// instance was cut off before.
#[test]
fn failure_in_touch_is_reported() {
    let started = at(0);
    let detector = failing(3_000, 4_400);
    assert!(!detector.is_reportable(started, at(4_100)));
    assert!(detector.is_reportable(started, at(4_200)));
    let healed = at(6_000);
    let detector = failing(1_000, 7_300);
    assert!(!detector.is_reportable(healed, at(7_100)));
    assert!(detector.is_reportable(healed, healed + Duration::from_millis(1_200)));
}

/// An answer after the cut shows that the endpoint lives.
#[test]
fn answer_ends_the_report() {
    let mut detector = failing(1_000, 6_600);
    detector.record_answer(at(6_700));
    assert!(!detector.is_reportable(at(6_000), at(7_500)));
}
