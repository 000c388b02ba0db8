//! Guards against reads that are staler than their route allows.

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

/// A floor must come from a query that was sent no earlier than the given time.
#[test]
fn floor_is_recent_enough() {
    let mut history = FloorHistory::default();
    history.record(at(1_000), LogPoint::new(1, 10));
    history.record(at(1_500), LogPoint::new(1, 20));
    let floor = history.floor_since(at(1_200)).expect("a sample exists");
    assert_eq!(floor.point, LogPoint::new(1, 20));
    assert_eq!(history.floor_since(at(1_501)), None);
}

/// A late answer to an earlier query must not lower the floor.
#[test]
fn late_answer_changes_nothing() {
    let mut history = FloorHistory::default();
    history.record(at(1_000), LogPoint::new(1, 10));
    history.record(at(2_000), LogPoint::new(1, 30));
    history.record(at(1_500), LogPoint::new(1, 15));
    let floor = history.floor_since(at(1_400)).expect("a sample exists");
    assert_eq!(floor.point, LogPoint::new(1, 30));
}

/// A replica whose reported position is below the floor of a read must not serve it.
#[test]
fn lagging_replica_is_skipped() {
    let mut history = FloorHistory::default();
    for step in 0..40 {
        history.record(at(1_000 + step * 100), LogPoint::new(1, 10 + step));
    }
    let now = at(5_000);
    let mut load = EndpointLoad::default();
    load.record_position(LogPoint::new(1, 12), &history, now);
    let floor = history.floor_since(at(3_500)).expect("a sample exists");
    assert!(!load.has_reached(&floor, now));
    load.record_position(floor.point, &history, now);
    assert!(load.has_reached(&floor, now));
}

/// Pattern: all instances restart at once, so that every known floor is young and nothing is known
/// of the replicas. Reads must not all go to the primary until the floors are older, except at a
/// replica that said that it lacks the floor.
#[test]
fn restart_spreads_reads() {
    let mut history = FloorHistory::default();
    history.record(at(1_000), LogPoint::new(1, 10));
    let floor = history.floor_since(at(0)).expect("a sample exists");
    let mut load = EndpointLoad::default();
    assert!(load.has_reached(&floor, at(1_100)));
    load.record_missing_floor(at(1_100));
    assert!(!load.has_reached(&floor, at(1_300)));
    // An observation that is too old says that the replica was once in use, not that it keeps up.
    let mut observed = EndpointLoad::default();
    observed.record_position(LogPoint::new(1, 9), &FloorHistory::default(), at(1_000));
    history.record(at(4_000), LogPoint::new(1, 20));
    let young = history.floor_since(at(3_900)).expect("a sample exists");
    assert!(!observed.has_reached(&young, at(4_100)));
}

/// A high latency must decay over time, so that the endpoint is tried again.
#[test]
fn old_latency_decays() {
    let history = FloorHistory::default();
    let mut load = EndpointLoad::default();
    load.record_answer(Duration::from_secs(2), None, &history, at(1_000));
    let slow = load.cost_ms(true, true, at(1_000));
    let decayed = load.cost_ms(true, true, at(9_000));
    assert!(slow > 1_000.0 && decayed < 100.0, "{slow} and {decayed}");
}

proptest! {
    /// For any order of answers, a floor covers all commits before the given time.
    #[test]
    fn floors_cover_commits(mut answers in proptest::collection::vec((0_u64..4_000, 0_u64..400), 1..80), since in 0_u64..4_000) {
        // The log of the primary grows by one entry every 10 ms; an answer contains its end at the
        // time of the query and takes up to 400 ms.
        answers.sort_by_key(|(requested_at, delay)| requested_at + delay);
        let mut history = FloorHistory::default();
        for (requested_at, _) in answers {
            history.record(at(10_000 + requested_at), LogPoint::new(1, requested_at / 10));
        }
        if let Some(floor) = history.floor_since(at(10_000 + since)) {
            prop_assert!(floor.point >= LogPoint::new(1, since / 10));
        }
    }
}
