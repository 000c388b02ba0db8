//! Checks confirmation, routing, floors, staleness and failure detection against simple statements of their rules.

use std::time::Duration;

use proptest::prelude::*;
use tamaracklb::process::endpoint_status::EndpointRole;
use tamaracklb::process::endpoint_status::EndpointStatus;
use tamaracklb::process::failover::confirmation_tracker::ConfirmationTracker;
use tamaracklb::process::failover::failover_limits::FailoverLimits;
use tamaracklb::process::failover::failure_detector::FailureDetector;
use tamaracklb::process::failover::group_view::GroupMember;
use tamaracklb::process::failover::group_view::GroupView;
use tamaracklb::process::timers::MonotonicTime;
use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::log_point::LogPosition;
use tamaracklb::request::log_point::LogTerm;
use tamaracklb::request::ports::RequestClass;
use tamaracklb::request::read_route::RouteCandidate;
use tamaracklb::request::read_route::RouteQuery;
use tamaracklb::request::read_route::choose_endpoint;
use tamaracklb::request::refusal::RequestRefusal;
use tamaracklb::request::session_floor::FloorWaiters;
use tamaracklb::version::ids::EndpointId;
use tamaracklb::version::ids::InstanceId;

use crate::failover_sim::endpoint_id;

fn status(role: EndpointRole, point: LogPoint, fenced_term: u64) -> EndpointStatus {
    EndpointStatus {
        role,
        point,
        start: LogPosition(0),
        fenced_term: LogTerm(fenced_term),
        fenced_by: String::new(),
        upstream_silence: None,
    }
}

fn millis(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

proptest! {
    // Guards against a confirmation without reports of a majority that hold the point in its term and are not fenced
    // for a later one.
    #[test]
    fn confirmation_needs_a_majority(
        size in 1_usize..6,
        reports in prop::collection::vec((1_usize..5, 1_u64..4, 0_u64..20, 0_u64..4), 0..12),
        position in 1_u64..20,
    ) {
        let members: Vec<EndpointId> = (0..size).map(endpoint_id).collect();
        let mut tracker = ConfirmationTracker::new(&members);
        let point = LogPoint::new(2, position);
        tracker.record(&members[0], &status(EndpointRole::Primary, LogPoint::new(2, 0), 0));
        let id = tracker.register(members[0].clone(), point, millis(100));
        let mut holders = vec![0];
        let mut result = tracker.complete_waits(millis(1)).pop();
        for (endpoint, term, position, fenced) in reports {
            let held = LogPoint::new(term, position);
            let counts = endpoint < size && term == 2 && held >= point && fenced <= 2;
            if counts && !holders.contains(&endpoint) && result.is_none() {
                holders.push(endpoint);
            }
            tracker.record(&endpoint_id(endpoint), &status(EndpointRole::Replica, held, fenced));
            result = result.or(tracker.complete_waits(millis(2)).pop());
        }
        let confirmed = result == Some((id, Ok(())));
        prop_assert!(!confirmed || holders.len() > size / 2);
        if result.is_none() {
            prop_assert!(holders.len() <= size / 2);
            let ended = tracker.complete_waits(millis(100));
            prop_assert_eq!(ended, vec![(id, Err(RequestRefusal::OutcomeUnknown))]);
        }
    }

    // Guards against a route to an endpoint that is below the floor, too stale, excluded or unavailable.
    #[test]
    fn route_respects_floor_and_staleness(
        endpoints in prop::collection::vec(
            (0_u64..4, 0_u64..9, prop::option::of(0_u64..100), 0.0..2.0, any::<bool>(), 0_usize..3),
            1..6,
        ),
        primary in 0_usize..7,
        floor in (0_u64..4, 0_u64..9),
        class in prop::sample::select(vec![
            RequestClass::Write,
            RequestClass::Read,
            RequestClass::StaleRead,
        ]),
        excluded in 0_usize..7,
        seed in any::<u64>(),
    ) {
        let candidates: Vec<RouteCandidate> = endpoints
            .into_iter()
            .enumerate()
            .map(|(index, (term, position, staleness, load, available, zone))| RouteCandidate {
                endpoint: endpoint_id(index),
                zone: format!("zone-{zone}").parse().unwrap(),
                primary: index == primary,
                point: LogPoint::new(term, position),
                staleness: staleness.map(Duration::from_millis),
                load,
                available,
            })
            .collect();
        let query = RouteQuery {
            class,
            floor: LogPoint::new(floor.0, floor.1),
            staleness_limit: Some(Duration::from_millis(50)),
            zone: &"zone-1".parse().unwrap(),
            excluded: &[endpoint_id(excluded)],
            seed,
        };
        let usable = |candidate: &RouteCandidate| {
            let fresh = candidate.staleness.is_some_and(|s| s <= Duration::from_millis(50));
            candidate.available
                && !candidate.primary
                && candidate.point >= query.floor
                && (class == RequestClass::Read || fresh)
        };
        let allowed = |c: &&RouteCandidate| c.endpoint != endpoint_id(excluded);
        let replicas: Vec<_> = candidates.iter().filter(allowed).filter(|c| usable(c)).collect();
        match choose_endpoint(&candidates, &query) {
            Ok(index) if candidates[index].primary => {
                prop_assert!(class == RequestClass::Write || replicas.is_empty());
                prop_assert!(candidates[index].point.term >= query.floor.term);
            }
            Ok(index) => {
                let chosen = &candidates[index];
                prop_assert!(class != RequestClass::Write && replicas.contains(&chosen));
                let has_local_replica = replicas.iter().any(|replica| replica.zone == *query.zone);
                prop_assert_eq!(has_local_replica, chosen.zone == *query.zone);
            }
            Err(_) => prop_assert!(class == RequestClass::Write || replicas.is_empty()),
        }
    }

    // Guards against a floor computed from too few reports, or from reports requested before the session joined.
    #[test]
    fn floor_needs_a_majority_queried_later(
        reports in prop::collection::vec((0_u64..20, 0_u64..9), 3),
        joined in 0_u64..20,
    ) {
        let mut waiters = FloorWaiters::default();
        let id = waiters.join(millis(joined), millis(1000));
        let reports: Vec<_> = reports
            .into_iter()
            .map(|(requested_at, position)| (millis(requested_at), LogPoint::new(1, position)))
            .collect();
        let counted: Vec<_> = reports.iter().filter(|(requested_at, _)| *requested_at >= millis(joined)).collect();
        let ended = waiters.complete_waits(&reports, 2, millis(30));
        let highest = counted.iter().map(|(_, point)| *point).max();
        let expected = highest.filter(|_| counted.len() >= 2).map(|point| (id, Ok(point)));
        prop_assert_eq!(ended.first().copied(), expected);
    }
}

fn group_view() -> GroupView {
    let members = (0..3).map(|index| GroupMember {
        endpoint: endpoint_id(index),
        zone: "zone-1".parse().unwrap(),
        leaving: false,
    });
    let second = Duration::from_secs(1);
    GroupView::new(members.collect(), second, second)
}

// Guards against an instance without a majority that considers stale data fresh: its primary may have been
// superseded, so that primary's position is no bound for staleness.
#[test]
fn staleness_grows_without_a_majority() {
    let mut view = group_view();
    let point = LogPoint::new(1, 5);
    for at in [10, 20, 30, 40] {
        for index in 0..3 {
            let role = if index == 0 {
                EndpointRole::Primary
            } else {
                EndpointRole::Replica
            };
            // From 30 ms on, only the primary answers.
            if index == 0 || at < 30 {
                view.record_status(
                    &endpoint_id(index),
                    status(role, point, 0),
                    millis(at),
                    millis(at),
                );
            }
        }
    }
    let staleness = view.staleness(&endpoint_id(1), millis(50));
    assert_eq!(staleness, Some(Duration::from_millis(30)));
}

// Guards against ignoring a later term, and against a replica that appears fresh because of a point of the old term.
#[test]
fn staleness_is_unknown_until_the_new_term_is_reached() {
    let mut view = group_view();
    let old = LogPoint::new(1, 50);
    view.record_status(
        &endpoint_id(0),
        status(EndpointRole::Primary, old, 0),
        millis(10),
        millis(10),
    );
    view.record_status(
        &endpoint_id(2),
        status(EndpointRole::Replica, old, 0),
        millis(10),
        millis(10),
    );
    assert_eq!(
        view.staleness(&endpoint_id(2), millis(10)),
        Some(Duration::ZERO)
    );
    let new = LogPoint::new(2, 41);
    view.record_status(
        &endpoint_id(1),
        status(EndpointRole::Primary, new, 2),
        millis(20),
        millis(20),
    );
    view.record_status(
        &endpoint_id(2),
        status(EndpointRole::Replica, old, 2),
        millis(20),
        millis(20),
    );
    assert_eq!(view.primary().map(|primary| primary.term), Some(LogTerm(2)));
    assert_eq!(view.staleness(&endpoint_id(2), millis(20)), None);
    view.record_status(
        &endpoint_id(2),
        status(EndpointRole::Replica, new, 2),
        millis(30),
        millis(30),
    );
    assert_eq!(
        view.staleness(&endpoint_id(2), millis(30)),
        Some(Duration::from_millis(10))
    );
}

// Guards against an instance that lost contact with the other watchers and counts its own failed connections as those
// of a majority.
#[test]
fn lone_watcher_is_no_majority() {
    let ids: Vec<InstanceId> = ["a", "b", "c"].map(|id| id.parse().unwrap()).to_vec();
    let mut view = group_view();
    let point = LogPoint::new(1, 5);
    let primary = status(EndpointRole::Primary, point, 0);
    view.record_status(&endpoint_id(0), primary, millis(0), millis(0));
    view.record_connect_failure(&endpoint_id(0), millis(0), millis(3000));
    let detect = |detector: &mut FailureDetector, watchers: &[InstanceId]| {
        detector.detect(&view, &ids[0], watchers, &[], millis(3000))
    };
    let mut detector = FailureDetector::new(FailoverLimits::default());
    assert_eq!(detect(&mut detector, &ids), None);
    assert_eq!(detect(&mut detector, &ids[..1]), None);
    let mut detector = FailureDetector::new(FailoverLimits::default());
    assert!(detect(&mut detector, &ids[..1]).is_some());
}

// Guards against a promotion because of a single report of a long silence, which a frozen replica sends when it
// resumes, because of reports from before a pause of this process, or right after another promotion.
#[test]
fn silence_needs_two_recent_reports() {
    let ids: Vec<InstanceId> = vec!["a".parse().unwrap()];
    let mut view = group_view();
    let point = LogPoint::new(1, 5);
    let primary = status(EndpointRole::Primary, point, 0);
    view.record_status(&endpoint_id(0), primary.clone(), millis(0), millis(0));
    let mut detector = FailureDetector::new(FailoverLimits::default());
    let mut detect = |view: &GroupView, now| detector.detect(view, &ids[0], &ids, &[], millis(now));
    let report_silence = |view: &mut GroupView, now| {
        for index in 1..3 {
            let mut replica = status(EndpointRole::Replica, point, 0);
            replica.upstream_silence = Some(Duration::from_millis(1200));
            view.record_status(&endpoint_id(index), replica, millis(now), millis(now));
        }
    };
    report_silence(&mut view, 1000);
    report_silence(&mut view, 1100);
    assert_eq!(
        detect(&view, 1100),
        None,
        "replicas may not have connected yet"
    );
    report_silence(&mut view, 3000);
    assert_eq!(detect(&view, 3000), None, "a single report after a gap");
    report_silence(&mut view, 3100);
    assert!(detect(&view, 3100).is_some());
    assert_eq!(
        detect(&view, 9000),
        None,
        "reports are older than the pause"
    );
    let next = status(EndpointRole::Primary, LogPoint::new(2, 6), 2);
    view.record_status(&endpoint_id(1), next, millis(9000), millis(9000));
    report_silence(&mut view, 9100);
    assert_eq!(
        detect(&view, 9100),
        None,
        "a new primary was promoted just before"
    );
}
