//! Guards against keys that are accepted after they were withdrawn.

use std::time::Duration;
use std::time::Instant;

use standins::platform::line_caller::LineCaller;
use standins::platform::sample_configuration::SampleTeam;
use standins::platform::store_state::StoreFault;

use crate::fleet::Fleet;
use crate::fleet::KEY;

/// Revocation time of the settings, within which a withdrawn key must stop working.
const REVOCATION_TIME: Duration = Duration::from_secs(5);

/// Requests of an open session must be refused once its key is withdrawn.
#[tokio::test]
async fn withdrawn_key_is_refused() {
    let mut fleet = Fleet::start(2).await;
    let mut caller = fleet.caller(1, "linear").await;
    caller.request_until_served("READ page").await;
    fleet.set_keys(&["another"]);
    let start = Instant::now();
    loop {
        let answer = caller.request("READ page").await;
        if !answer.succeeded() {
            assert_eq!(answer.code(), "DENIED", "{answer:?}");
            break;
        }
        assert!(start.elapsed() < REVOCATION_TIME, "still served");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(caller.closed().await);
}

/// Instances that cannot reach the store must stop accepting keys within the revocation time, and
/// resume when it is back.
#[tokio::test]
async fn keys_lapse_without_the_store() {
    let mut fleet = Fleet::start(2).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("READ page").await;
    fleet.platform.shared.store().fault = StoreFault::Busy;
    // Watches that began before the fault still return changes.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let start = Instant::now();
    fleet.set_keys(&["another"]);
    let mut served_at = start.elapsed();
    while start.elapsed() < REVOCATION_TIME + Duration::from_secs(1) {
        if caller.request("READ page").await.succeeded() {
            served_at = start.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(served_at < REVOCATION_TIME, "served after {served_at:?}");
    assert_ne!(fleet.instances[0].status("/readiness").await.0, 200);
    fleet.set_keys(&["another", KEY]);
    fleet.platform.shared.store().fault = StoreFault::None;
    fleet.instances[0].await_ready().await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("READ page").await;
}

/// A transaction must not go on for the team that its caller's key has left (review case 10), and must
/// not be rolled back for it either.
#[tokio::test]
async fn moved_key_ends_its_transaction() {
    const APPLY_TIME: Duration = Duration::from_secs(3);
    let team = |name: &str, keys: &[&str]| SampleTeam {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rate: 500,
    };
    let mut fleet = Fleet::start(1).await;
    fleet.set_teams(&[team("studio", &[KEY, "moved"]), team("press", &["other"])]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let address = fleet.instances[0].process.callers;
    let mut callers = Vec::new();
    for name in ["writer", "committer", "leaver"] {
        let mut caller = LineCaller::open(address, "linear", "moved").await;
        caller.set_name(name.to_owned());
        assert_eq!(caller.request("BEGIN").await.state, "T");
        assert!(caller.request("WRITE page inside").await.succeeded());
        callers.push(caller);
    }
    fleet.set_teams(&[team("studio", &[KEY]), team("press", &["other", "moved"])]);
    tokio::time::sleep(APPLY_TIME - Duration::from_millis(500)).await;
    // The change is in force: another session with the key runs for the other team.
    let mut session = LineCaller::open(address, "linear", "moved").await;
    session.request_until_served("READ page").await;
    let before = {
        let group = fleet.platform.shared.group();
        let run = group.executed_statements.last().expect("the read ran");
        assert_eq!(run.team, "press");
        group.executed_statements.len()
    };
    for (caller, text) in callers
        .iter_mut()
        .zip(["WRITE page late", "COMMIT", "ROLLBACK"])
    {
        let answer = caller.request(text).await;
        match text {
            "ROLLBACK" => assert_eq!(answer.state, "I", "{answer:?}"),
            _ => assert_eq!(answer.code(), "DENIED", "{answer:?}"),
        }
    }
    // The writes of the ended transactions are gone.
    let read = session.request_until_served("READ page").await;
    assert_eq!(read.rows, vec!["none"]);
    let group = fleet.platform.shared.group();
    let late = &group.executed_statements[before..];
    assert!(matches!(late, [run] if run.team == "press"), "{late:?}");
    // Position queries end with a rollback of the instance's own.
    let rollbacks: Vec<_> = group.rollback_ids.iter().filter(|id| *id != "-").collect();
    assert!(rollbacks.is_empty(), "{rollbacks:?}");
}
