//! Guards against a soak whose checks cannot fail: each must notice a history that breaks its promise.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use soak::fault_schedule::draw_faults;
use soak::fault_schedule::is_planned;
use soak::guarantee_checks::check_guarantees;
use soak::observed_history::KeyGap;
use soak::observed_history::ObservedHistory;
use soak::observed_history::WriteOutcome;
use standins::platform::group_state::EndpointState;
use standins::platform::group_state::ExecutedStatement;
use standins::platform::group_state::GroupState;
use standins::platform::group_state::LoggedCommit;

const RATE: u32 = 10;

fn group(writes: &[(&str, u64)]) -> GroupState {
    let commit = |(item, value): &(&str, u64)| LoggedCommit {
        term: 1,
        writes: vec![((*item).to_owned(), value.to_string())],
        committed_at: Instant::now(),
    };
    let endpoint = EndpointState {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        primary: true,
        term: 1,
        log: writes.iter().map(commit).collect(),
        visible_commits: 0,
        paused: 0,
        alive: true,
        draining: false,
    };
    GroupState {
        service: "orders".to_owned(),
        endpoints: HashMap::from([("db-1".to_owned(), endpoint)]),
        lag: Duration::ZERO,
        refuse_promotions: false,
        lose_answers: 0,
        executed_statements: Vec::new(),
        promotions: Vec::new(),
    }
}

fn run(id: &str, team: &str, values: &[(&str, &str)]) -> ExecutedStatement {
    let pair = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    ExecutedStatement {
        id: id.to_owned(),
        endpoint: "db-1".to_owned(),
        team: team.to_owned(),
        wrote: false,
        values: values.iter().map(pair).collect(),
        executed_at: Instant::now(),
    }
}

fn guarantees(history: &ObservedHistory, group: &GroupState) -> Vec<&'static str> {
    let rates = HashMap::from([("press".to_owned(), RATE)]);
    let broken = check_guarantees(history, group, &rates);
    broken.into_iter().map(|broken| broken.guarantee).collect()
}

/// A history in which everything is right must pass.
#[test]
fn good_history_passes() {
    let mut history = ObservedHistory::default();
    history.record_request("a-1".to_owned(), "studio", "7");
    history.record_write("page", 1, WriteOutcome::Acknowledged);
    history.record_write("page", 2, WriteOutcome::NotApplied);
    history.record_write("page", 3, WriteOutcome::Unknown);
    let mut group = group(&[("page", 1), ("page", 3)]);
    group
        .executed_statements
        .push(run("a-1", "studio", &[("v", "7")]));
    assert!(guarantees(&history, &group).is_empty());
    assert_eq!(history.newest_acknowledged("page", Duration::ZERO), 1);
}

/// An old value must be noticed, but for that of a write which may have come late.
#[test]
fn stale_read_is_noticed() {
    let mut history = ObservedHistory::default();
    history.record_write("page", 1, WriteOutcome::Acknowledged);
    history.record_write("page", 2, WriteOutcome::Unknown);
    history.record_write("page", 3, WriteOutcome::Acknowledged);
    assert!(history.is_stale("page", 1, 3));
    assert!(history.is_stale("page", 0, 3));
    assert!(!history.is_stale("page", 2, 3));
    assert!(history.is_stale("other", 2, 3));
    assert!(!history.is_stale("page", 3, 3));
}

/// Lost, refused and repeated writes must be told apart.
#[test]
fn wrong_writes_are_noticed() {
    let mut history = ObservedHistory::default();
    history.record_write("page", 1, WriteOutcome::Acknowledged);
    assert_eq!(
        guarantees(&history, &group(&[])),
        ["no acknowledged write is lost"]
    );
    let mut history = ObservedHistory::default();
    history.record_write("page", 1, WriteOutcome::NotApplied);
    let kept = group(&[("page", 1)]);
    assert_eq!(guarantees(&history, &kept), ["refused writes are not kept"]);
    let mut history = ObservedHistory::default();
    history.record_write("page", 1, WriteOutcome::Unknown);
    let twice = group(&[("page", 1), ("page", 1)]);
    assert_eq!(guarantees(&history, &twice), ["nothing runs twice"]);
}

/// Runs that nobody asked for, for another team or with other values must be noticed.
#[test]
fn wrong_runs_are_noticed() {
    let mut history = ObservedHistory::default();
    history.record_request("a-1".to_owned(), "studio", "7");
    for (wrong, promise) in [
        (run("a-2", "studio", &[]), "nothing unasked runs"),
        (
            run("a-1", "press", &[("v", "7")]),
            "nothing runs for another team",
        ),
        (
            run("a-1", "studio", &[("v", "8")]),
            "values follow their session",
        ),
    ] {
        let mut group = group(&[]);
        group.executed_statements.push(wrong);
        assert_eq!(guarantees(&history, &group), [promise]);
    }
}

/// A request that ran, or that was held, must not lose its connection during planned work.
#[test]
fn cut_request_is_noticed() {
    let mut history = ObservedHistory::default();
    history.record_request("a-1".to_owned(), "studio", "");
    history.record_unanswered("a-1".to_owned());
    let mut group = group(&[]);
    assert!(guarantees(&history, &group).is_empty());
    group.executed_statements.push(run("a-1", "studio", &[]));
    assert_eq!(guarantees(&history, &group), ["planned work cuts nothing"]);
    group.executed_statements.clear();
    history.unanswered[0].1 = Duration::from_millis(300);
    assert_eq!(guarantees(&history, &group), ["planned work cuts nothing"]);
}

/// A request that runs long after its key was withdrawn must be noticed.
#[test]
fn dead_key_is_noticed() {
    let mut history = ObservedHistory::default();
    history.record_request("a-1".to_owned(), "press", "");
    let mut group = group(&[]);
    group.executed_statements.push(run("a-1", "press", &[]));
    let long_ago = Instant::now().checked_sub(Duration::from_secs(6));
    history.key_gaps.push(KeyGap {
        team: "press".to_owned(),
        from: long_ago.expect("the machine runs for longer"),
        to: None,
    });
    assert_eq!(guarantees(&history, &group), ["withdrawn keys are dead"]);
}

/// More operations than rate, burst and slack allow must be noticed.
#[test]
fn high_rate_is_noticed() {
    let mut history = ObservedHistory::default();
    let mut group = group(&[]);
    for number in 0..90 {
        let id = format!("a-{number}");
        history.record_request(id.clone(), "press", "");
        group.executed_statements.push(run(&id, "press", &[]));
    }
    assert_eq!(guarantees(&history, &group), ["rates are kept"]);
    group.executed_statements.truncate(80);
    assert!(guarantees(&history, &group).is_empty());
}

/// Two holders with one token, and a token that goes back, must be noticed.
#[test]
fn second_leader_is_noticed() {
    let order = |holder: &str, token| ("db-1".to_owned(), holder.to_owned(), token);
    for second in [order("front-2", 5), order("front-2", 4)] {
        let mut group = group(&[]);
        group.promotions = vec![order("front-1", 5), second];
        let history = ObservedHistory::default();
        assert_eq!(guarantees(&history, &group), ["one instance leads"]);
    }
}

/// A seed must always draw the same faults, and planned seeds nothing else than planned work.
#[test]
fn seeds_are_repeatable() {
    let end = Duration::from_secs(20);
    assert_eq!(draw_faults(7, 5, 3, end), draw_faults(7, 5, 3, end));
    assert_ne!(draw_faults(7, 5, 3, end), draw_faults(8, 5, 3, end));
    assert!(is_planned(8) && !is_planned(7));
}
