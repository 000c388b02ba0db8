//! Guards against reads that are older than their route allows.

use std::time::Duration;

use proptest::prop_assert;
use proptest::proptest;
use session_core::endpoint_load::EndpointLoad;
use session_core::floor_history::FloorHistory;
use session_core::log_point::LogPoint;
use session_core::monotonic_time::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// A floor must come from a question sent no earlier than the limit allows.
#[test]
fn floor_is_recent_enough() {
    let mut history = FloorHistory::default();
    history.record(at(1_000), LogPoint::new(1, 10));
    history.record(at(1_500), LogPoint::new(1, 20));
    let floor = history.floor_since(at(1_200)).expect("a sample is there");
    assert_eq!(floor.point, LogPoint::new(1, 20));
    assert_eq!(history.floor_since(at(1_501)), None);
}

/// An answer that arrives late must not lower the floor of later samples.
#[test]
fn late_answer_changes_nothing() {
    let mut history = FloorHistory::default();
    history.record(at(1_000), LogPoint::new(1, 10));
    history.record(at(2_000), LogPoint::new(1, 30));
    history.record(at(1_500), LogPoint::new(1, 15));
    let floor = history.floor_since(at(1_400)).expect("a sample is there");
    assert_eq!(floor.point, LogPoint::new(1, 30));
}

/// A replica that reported an old position must not get a read whose floor it lacks.
#[test]
fn lagging_replica_is_passed_over() {
    let mut history = FloorHistory::default();
    for step in 0..40 {
        history.record(at(1_000 + step * 100), LogPoint::new(1, 10 + step));
    }
    let now = at(5_000);
    let mut load = EndpointLoad::default();
    load.record_position(LogPoint::new(1, 12), &history, now);
    let floor = history.floor_since(at(3_500)).expect("a sample is there");
    assert!(!load.has_reached(&floor, now));
    load.record_position(floor.point, &history, now);
    assert!(load.has_reached(&floor, now));
}

/// An endpoint that was slow once must be tried again after a while without answers.
#[test]
fn old_latency_fades() {
    let history = FloorHistory::default();
    let mut load = EndpointLoad::default();
    load.record_answer(Duration::from_secs(2), None, &history, at(1_000));
    let slow = load.cost_ms(true, true, at(1_000));
    let faded = load.cost_ms(true, true, at(9_000));
    assert!(slow > 1_000.0 && faded < 100.0, "{slow} and {faded}");
}

proptest! {
    /// Whatever the order of answers, a floor covers all that was committed before its limit.
    #[test]
    fn floors_cover_commits(mut answers in proptest::collection::vec((0_u64..4_000, 0_u64..400), 1..80), since in 0_u64..4_000) {
        // The log of the primary grows by one each 10 ms; an answer gives its end at the time of
        // the question and takes up to 400 ms.
        answers.sort_by_key(|(asked, delay)| asked + delay);
        let mut history = FloorHistory::default();
        for (asked, _) in answers {
            history.record(at(10_000 + asked), LogPoint::new(1, asked / 10));
        }
        if let Some(floor) = history.floor_since(at(10_000 + since)) {
            prop_assert!(floor.point >= LogPoint::new(1, since / 10));
        }
    }
}
