//! A lagging instance list must neither keep dead instances at work nor hide live ones.

use tamaracklb::process::peers::membership_view::MemberRecord;
use tamaracklb::process::peers::membership_view::MembershipView;
use tamaracklb::process::timers::MonotonicTime;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn record(number: u16) -> MemberRecord {
    MemberRecord {
        instance: format!("i{number}").parse().expect("an id"),
        zone: "sierra-a".parse().expect("a zone"),
        address: ([127, 0, 0, 1], 7000 + number).into(),
    }
}

fn live_names(view: &MembershipView, millis: u64) -> Vec<String> {
    view.live(at(millis))
        .into_iter()
        .map(|member| member.instance.to_string())
        .collect()
}

#[test]
fn listed_but_silent() {
    let mut view = MembershipView::new(record(0));
    view.set_listed(vec![(record(1), false), (record(2), false)], at(0));
    assert_eq!(live_names(&view, 100), ["i0", "i1", "i2"]);
    view.record_answer(&record(1).instance, 11, false, at(2_000));
    assert_eq!(live_names(&view, 3_000), ["i0", "i1"]);
    assert_eq!(view.known().len(), 2);
}

#[test]
fn working_but_unlisted() {
    let mut view = MembershipView::new(record(0));
    view.record_unlisted(record(3), at(0));
    view.record_answer(&record(3).instance, 5, false, at(1_000));
    view.set_listed(vec![], at(1_500));
    assert_eq!(live_names(&view, 2_000), ["i0", "i3"]);
    view.set_listed(vec![], at(62_000));
    assert!(view.known().is_empty());
}

#[test]
fn leaving_takes_no_part() {
    let mut view = MembershipView::new(record(0));
    view.set_listed(vec![(record(1), false)], at(0));
    view.record_answer(&record(1).instance, 1, true, at(100));
    assert_eq!(live_names(&view, 200), ["i0"]);
}

/// The list may still call an instance leaving after its successor took the same name.
#[test]
fn restart_ends_leaving() {
    let mut view = MembershipView::new(record(0));
    view.set_listed(vec![(record(1), false)], at(0));
    view.record_answer(&record(1).instance, 1, true, at(100));
    assert!(view.record_answer(&record(1).instance, 2, false, at(900)));
    assert_eq!(live_names(&view, 1_000), ["i0", "i1"]);
}
