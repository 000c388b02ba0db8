//! Guards against shutdowns that cut off requests, and against missing log lines and metrics.

use std::process::Command;
use std::time::Duration;

use standins::platform::line_caller::LineCaller;
use standins::platform::store_state::StoreFault;

use crate::fleet::Fleet;
use crate::fleet::KEY;

/// On SIGTERM, an instance must let an open transaction finish, close idle sessions and exit with
/// success.
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

/// The log must contain the start-up events and each refusal with its reason, and the metrics
/// address must export the counters.
#[tokio::test]
async fn refusal_and_counters_are_reported() {
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page 1").await;
    assert_eq!(caller.request("EXECUTE s9 page").await.code(), "UNDEFINED");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let log = fleet.instances[0].log();
    for event in ["started", "registered", "leader_elected", "first_order"] {
        assert!(log.contains(&format!("\"event\":\"{event}\"")), "{event}");
    }
    // Earlier requests, sent during the start, may have been refused for other reasons.
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

/// Invalid settings must be refused at a reload and must change nothing.
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

/// Invalid settings must be reported with the reason and exit code 2.
#[test]
fn bad_settings_are_reported() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let path = folder.path().join("bad.yaml");
    std::fs::write(&path, "NodeName: front-1\n").expect("write the settings");
    let run = |arguments: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_tamaracklb-front"))
            .args(arguments)
            .env("TAMARACKLB_NODE_FILE", &path)
            .output()
            .expect("start the daemon")
    };
    let output = run(&["--check"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("settings are malformed"));
    assert!(run(&["--version"]).status.success());
}

/// A session that begins while a stopping instance ends its leases must not be cut off by the exit
/// of the process: it must be either not accepted or answered.
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
        // No replica receives the write, so its answer takes as long as the route allows.
        let answer = caller.request("WRITE page 1").await;
        assert_eq!(answer.code(), "INDOUBT", "{answer:?}");
    }
}
