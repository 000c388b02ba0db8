//! Checks that an outdated instance list neither keeps dead instances in the membership nor hides live ones.

use tamaracklb::process::peers::membership_view::MemberRecord;
use tamaracklb::process::peers::membership_view::MembershipView;
use tamaracklb::process::timers::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn record(number: u16) -> MemberRecord {
    MemberRecord {
        instance: format!("i{number}").parse().expect("valid instance id"),
        zone: "sierra-a".parse().expect("valid zone"),
        address: ([127, 0, 0, 1], 7000 + number).into(),
    }
}

fn live_ids(view: &MembershipView, millis: u64) -> Vec<String> {
    view.live(at(millis))
        .into_iter()
        .map(|member| member.instance.to_string())
        .collect()
}

/// Guards against counting a listed instance as live although it does not answer.
#[test]
fn listed_but_silent() {
    let mut view = MembershipView::new(record(0));
    view.set_listed(vec![(record(1), false), (record(2), false)], at(0));
    assert_eq!(live_ids(&view, 100), ["i0", "i1", "i2"]);
    view.record_answer(&record(1).instance, 11, false, at(2_000));
    assert_eq!(live_ids(&view, 3_000), ["i0", "i1"]);
    assert_eq!(view.known().len(), 2);
}

/// Guards against dropping an instance that answers but is not yet listed, and against keeping it after 60 s
/// without an answer.
#[test]
fn working_but_unlisted() {
    let mut view = MembershipView::new(record(0));
    view.record_unlisted(record(3), at(0));
    view.record_answer(&record(3).instance, 5, false, at(1_000));
    view.set_listed(vec![], at(1_500));
    assert_eq!(live_ids(&view, 2_000), ["i0", "i3"]);
    view.set_listed(vec![], at(62_000));
    assert!(view.known().is_empty());
}

/// Guards against counting an instance as live after it reported that it is leaving.
#[test]
fn leaving_instance_is_not_live() {
    let mut view = MembershipView::new(record(0));
    view.set_listed(vec![(record(1), false)], at(0));
    view.record_answer(&record(1).instance, 1, true, at(100));
    assert_eq!(live_ids(&view, 200), ["i0"]);
}

/// Guards against treating a restarted instance as leaving because of its previous incarnation, which the
/// list may still show as leaving under the same id.
#[test]
fn restart_ends_leaving() {
    let mut view = MembershipView::new(record(0));
    view.set_listed(vec![(record(1), false)], at(0));
    view.record_answer(&record(1).instance, 1, true, at(100));
    assert!(view.record_answer(&record(1).instance, 2, false, at(900)));
    assert_eq!(live_ids(&view, 1_000), ["i0", "i1"]);
}
