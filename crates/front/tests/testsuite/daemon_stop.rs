//! Guards against stops that cut requests, and against logs and metrics that do not tell.

use std::process::Command;
use std::time::Duration;

use standins::platform::line_caller::LineCaller;
use standins::platform::store_state::StoreFault;

use crate::fleet::Fleet;
use crate::fleet::KEY;

/// A stop must let an open transaction end, close idle sessions and end with success.
#[tokio::test]
async fn open_transaction_ends_first() {
    let mut fleet = Fleet::start(1).await;
    let mut idle = fleet.caller(0, "linear").await;
    idle.request_until_served("READ page").await;
    let mut busy = fleet.caller(0, "linear").await;
    assert_eq!(busy.request("BEGIN").await.state, "T");
    assert!(busy.request("WRITE page 7").await.succeeded());
    fleet.instances[0].signal("TERM");
    assert!(idle.closed().await);
    assert_eq!(fleet.instances[0].status("/readiness").await.0, 503);
    assert!(busy.request("COMMIT").await.succeeded());
    assert!(busy.closed().await);
    assert!(fleet.instances[0].ended().await.success());
    let log = fleet.instances[0].log();
    assert!(log.contains("stop_requested") && log.contains("\"event\":\"stopped\""));
}

/// The story of a request must be found by its id, and its counters on the metrics address.
#[tokio::test]
async fn request_is_explained() {
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page 1").await;
    assert_eq!(caller.request("EXECUTE s9 page").await.code(), "UNDEFINED");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let log = fleet.instances[0].log();
    for event in ["started", "registered", "leader_elected", "first_order"] {
        assert!(log.contains(&format!("\"event\":\"{event}\"")), "{event}");
    }
    // Requests of the start may have been refused before, for other reasons.
    let refused = log
        .lines()
        .find(|line| line.contains("request_refused") && line.contains("unknown_prepared_name"));
    assert!(
        refused.is_some_and(|line| line.contains("\"version\":1")),
        "{log}"
    );
    let metrics = fleet.instances[0].status("/metrics").await.1;
    assert!(metrics.contains("tamaracklb_statements_total{outcome=\"served\"}"));
    assert!(metrics.contains("tamaracklb_statement_seconds_bucket"));
    assert!(metrics.contains("tamaracklb_platform_calls_total{kind=\"watch\""));
    let opened = metrics
        .lines()
        .find_map(|line| line.strip_prefix("tamaracklb_endpoint_connections_total "));
    let opened = opened.and_then(|count| count.parse::<u64>().ok());
    assert!(opened.is_some_and(|count| count > 0), "{opened:?}");
}

/// Faulty settings must be refused at a reload, and must change nothing.
#[tokio::test]
async fn faulty_reload_changes_nothing() {
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "linear").await;
    fleet.instances[0].signal("HUP");
    fleet.instances[0].change_settings("NodeName: 7");
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.instances[0].signal("HUP");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let log = fleet.instances[0].log();
    assert!(log.contains("\"outcome\":\"refused\""), "{log}");
    assert!(caller.request_until_served("READ page").await.succeeded());
}

/// Bad settings must be told with the reason and a code of their own.
#[test]
fn bad_settings_are_told() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let path = folder.path().join("bad.yaml");
    std::fs::write(&path, "NodeName: front-1\n").expect("settings can be written");
    let run = |arguments: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_tamaracklb-front"))
            .args(arguments)
            .env("TAMARACKLB_NODE_FILE", &path)
            .output()
            .expect("the daemon can be started")
    };
    let output = run(&["--check"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("settings are malformed"));
    assert!(run(&["--version"]).status.success());
}

/// A session that begins while a stopping instance gives back its leases must not be cut: it is
/// either not accepted, or answered.
#[tokio::test]
async fn late_session_is_not_cut() {
    let fleet = Fleet::start(1).await;
    fleet.platform.change_group(|group| {
        for endpoint in group.endpoints.values_mut() {
            endpoint.paused = 9;
        }
    });
    fleet.platform.shared.store().fault = StoreFault::Silent;
    fleet.instances[0].signal("TERM");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let address = fleet.instances[0].process.callers;
    if let Ok(mut caller) = LineCaller::try_open(address, "linear", KEY).await {
        // No replica receives the write, so that its answer takes as long as the route allows.
        let answer = caller.request("WRITE page 1").await;
        assert_eq!(answer.code(), "INDOUBT", "{answer:?}");
    }
}
