//! Guards against faults of the endpoint connections that instances share through a host.

use std::collections::HashMap;
use std::time::Duration;

use session_core::connection_host;
use session_core::ids::InstanceId;
use session_core::instance_rank::RankedInstance;
use session_core::units::ProcessorShare;
use standins::platform::line_caller::LineCaller;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fleet::Fleet;
use crate::fleet::HOSTED_INSTANCES;
use crate::test_writers::TestWriters;

/// Prefix of the names of instances.
const NAME_PREFIX: &str = "front-";

/// Returns the hosts of an endpoint by number, first choice first.
fn hosts(endpoint: &str) -> Vec<usize> {
    let names = (0..HOSTED_INSTANCES).map(|number| format!("{NAME_PREFIX}{number}").parse());
    let names: Vec<InstanceId> = names.map(|name| name.expect("a valid name")).collect();
    let members = names.iter().map(|name| RankedInstance {
        processor: ProcessorShare(170),
        name,
    });
    let endpoint = endpoint.parse().expect("a valid id");
    let hosts = connection_host::connection_hosts(&endpoint, members);
    let numbers = hosts.into_iter().map(|name| {
        let number = name.as_str().trim_start_matches(NAME_PREFIX);
        number.parse().expect("a number")
    });
    numbers.collect()
}

/// Returns the host of the primary and an instance that is none of its hosts.
fn host_and_other(fleet: &Fleet) -> (usize, usize) {
    let hosts = hosts(&fleet.primary());
    let other = (0..HOSTED_INSTANCES).find(|number| !hosts.contains(number));
    (hosts[0], other.expect("some instance is no host"))
}

async fn start() -> Fleet {
    Fleet::start_hosted(false).await
}

/// Returns the number of connections that were opened to an endpoint for callers.
fn opened(fleet: &Fleet, endpoint: &str) -> usize {
    let group = fleet.platform.shared.group();
    let opened = group.connections.opened.iter();
    opened
        .filter(|(to, team)| to == endpoint && team != "-")
        .count()
}

/// Pauses replication to all endpoints by a command of this term; 0 resumes it.
fn pause_replicas(fleet: &Fleet, term: u64) {
    fleet.platform.change_group(|group| {
        for endpoint in group.endpoints.values_mut() {
            endpoint.paused = term;
        }
    });
}

/// Panics if a write was committed twice.
fn assert_committed_once(fleet: &Fleet) {
    let group = fleet.platform.shared.group();
    let primary = group.primary().expect("the group has a primary");
    let mut counts = HashMap::new();
    for commit in &group.endpoints[&primary].log {
        for write in &commit.writes {
            *counts.entry(write.clone()).or_insert(0) += 1;
        }
    }
    counts.retain(|(item, _), count| item != "warm" && *count > 1);
    assert!(counts.is_empty(), "committed twice: {counts:?}");
}

/// Sessions of several instances must use the same few connections, and each statement must run with
/// the values and prepared names of its own session.
#[tokio::test]
async fn sessions_share_connections() {
    let fleet = start().await;
    let primary = fleet.primary();
    let mut callers = Vec::new();
    for number in 0..HOSTED_INSTANCES {
        let mut caller = fleet.caller(number, "linear").await;
        let set = caller.request(&format!("SET locale l{number}")).await;
        assert!(set.succeeded());
        let prepare = format!("PREPARE s1 READ q{}", number % 2);
        assert!(caller.request(&prepare).await.succeeded());
        caller.request_until_served("READ page").await;
        callers.push(caller);
    }
    let before = opened(&fleet, &primary);
    for round in 0..10 {
        for (number, caller) in callers.iter_mut().enumerate() {
            caller
                .request_until_served(&format!("WRITE page {round}x{number}"))
                .await;
            let read = caller.request_until_served("EXECUTE s1 page").await;
            assert_eq!(read.rows, vec![format!("{round}x{number}")]);
            let group = fleet.platform.shared.group();
            let run = group.executed_statements.last().expect("the read ran");
            let expected = vec![("locale".to_owned(), format!("l{number}"))];
            assert_eq!(run.values, expected, "{run:?}");
            assert_eq!(run.team, "studio");
        }
    }
    let statements = 10 * HOSTED_INSTANCES * 2;
    let opened = opened(&fleet, &primary) - before;
    assert!(opened * 4 < statements, "{opened} for {statements}");
    let (_, other) = host_and_other(&fleet);
    let metrics = fleet.instances[other].status("/metrics").await.1;
    assert!(metrics.contains("tamaracklb_acquired_from_hosts_total"));
    assert!(!metrics.contains("tamaracklb_acquired_from_hosts_total 0\n"));
}

/// A transaction must stay on one connection of the host, and be rolled back when its caller or the
/// caller's instance goes.
#[tokio::test]
async fn transaction_stays_on_its_connection() {
    let mut fleet = start().await;
    let (_, other) = host_and_other(&fleet);
    let mut caller = fleet.caller(other, "linear").await;
    caller.request_until_served("WRITE page before").await;
    assert_eq!(caller.request("BEGIN").await.state, "T");
    assert!(caller.request("WRITE page 1").await.succeeded());
    assert!(caller.request("WRITE side 2").await.succeeded());
    assert!(caller.request("COMMIT").await.succeeded());
    assert_eq!(caller.request("BEGIN").await.state, "T");
    assert!(caller.request("WRITE page lost").await.succeeded());
    assert_eq!(caller.request("ROLLBACK").await.state, "I");
    assert_eq!(caller.request("READ page").await.rows, vec!["1"]);
    assert_eq!(caller.request("READ side").await.rows, vec!["2"]);
    assert_eq!(caller.request("BEGIN").await.state, "T");
    assert!(caller.request("WRITE page cut").await.succeeded());
    fleet.instances[other].kill();
    let mut caller = fleet.caller((other + 1) % HOSTED_INSTANCES, "linear").await;
    let read = caller.request_until_served("READ page").await;
    assert_eq!(read.rows, vec!["1"]);
}

/// A write whose host dies before the answer must be reported as unknown, and an open transaction on
/// that host as aborted. Neither may be repeated, and the next requests must be served through
/// another host.
#[tokio::test]
async fn killed_host_leaves_true_outcomes() {
    let mut fleet = start().await;
    let (host, other) = host_and_other(&fleet);
    let mut writer = fleet.caller(other, "linear").await;
    let mut holder = fleet.caller(other, "linear").await;
    writer.request_until_served("WRITE page before").await;
    assert_eq!(holder.request("BEGIN").await.state, "T");
    assert!(holder.request("WRITE side 1").await.succeeded());
    // No replica receives the write, so it is not answered.
    pause_replicas(&fleet, 9);
    let killed = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.instances[host].kill();
    };
    // A write that found all connections in use did not run.
    let written = async {
        loop {
            let answer = writer.request("WRITE page during").await;
            if answer.code() != "BUSY" {
                return answer;
            }
        }
    };
    let (answer, ()) = tokio::join!(written, killed);
    assert_eq!(answer.code(), "INDOUBT", "{answer:?}");
    pause_replicas(&fleet, 0);
    let late = holder.request("WRITE side 2").await;
    let log = || fleet.instances[other].log();
    assert_eq!(late.code(), "ABORTED", "{late:?}; its log: {}", log());
    assert!(holder.request("ROLLBACK").await.succeeded());
    writer.request_until_served("WRITE page after").await;
    assert_eq!(holder.request("READ side").await.rows, vec!["none"]);
    assert_committed_once(&fleet);
}

/// Acknowledged writes must be kept and none may run twice while hosts are killed, frozen and thawed.
#[tokio::test]
async fn lost_hosts_keep_writes() {
    let mut fleet = start().await;
    let (host, other) = host_and_other(&fleet);
    let writers = TestWriters::start(&fleet, "item", 2);
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.instances[host].signal("STOP");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let mut caller = fleet.caller(other, "linear").await;
    caller.request_until_served("READ page").await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    fleet.instances[host].signal("CONT");
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.instances[host].kill();
    caller.request_until_served("READ page").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.instances[host].restart();
    fleet.instances[host].await_ready().await;
    assert_eq!(writers.finish(&fleet).await, Vec::<String>::new());
    assert_committed_once(&fleet);
}

/// A host that stops must let the transactions of other instances end, refuse new channels, and exit
/// with success. Single requests must not notice it.
#[tokio::test]
async fn stopping_host_lets_transactions_end() {
    let mut fleet = start().await;
    let (host, other) = host_and_other(&fleet);
    let mut holder = fleet.caller(other, "linear").await;
    let mut caller = fleet.caller(other, "linear").await;
    caller.request_until_served("WRITE page 1").await;
    assert_eq!(holder.request("BEGIN").await.state, "T");
    assert!(holder.request("WRITE side 1").await.succeeded());
    fleet.instances[host].signal("TERM");
    fleet.instances[host].await_log("stop_requested").await;
    for number in 0..5 {
        let answer = caller.request(&format!("WRITE page 1{number}")).await;
        // The host may be the leader, without which tokens of the rate can be missing.
        let lacks_tokens = answer.last_line.contains("team_rate_exceeded");
        assert!(answer.succeeded() || lacks_tokens, "{answer:?}");
    }
    let written = holder.request("WRITE side 2").await;
    assert!(written.succeeded(), "{written:?}");
    let committed = holder.request("COMMIT").await;
    assert!(committed.succeeded(), "{committed:?}");
    assert!(fleet.instances[host].ended().await.success());
    assert_eq!(caller.request("READ side").await.rows, vec!["2"]);
}

/// Many sessions on all instances must not open more connections than the endpoint accepts.
#[tokio::test]
async fn limit_is_kept() {
    let fleet = start().await;
    // The first instances to start had connections of their own, which they close when idle.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.platform.shared.group().connections.refused.clear();
    let writers = TestWriters::start(&fleet, "item", 4);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(writers.count() > 0);
    assert_eq!(writers.finish(&fleet).await, Vec::<String>::new());
    let group = fleet.platform.shared.group();
    let connections = &group.connections;
    assert!(connections.refused.is_empty(), "{connections:?}");
}

/// A statement and an answer of nearly 1 MiB must pass a link without holding up other sessions.
#[tokio::test]
async fn large_messages_pass_links() {
    let fleet = start().await;
    let (_, other) = host_and_other(&fleet);
    let mut writer = fleet.caller(other, "linear").await;
    let mut reader = fleet.caller(other, "linear").await;
    reader.request_until_served("WRITE side 1").await;
    let value = "x".repeat(1_000_000);
    assert_eq!(writer.request("BEGIN").await.state, "T");
    assert!(writer.request("READ side").await.succeeded());
    let text = format!("WRITE page {value}");
    let (written, read) = tokio::join!(
        writer.request(&text),
        reader.request_until_served("READ side")
    );
    assert!(written.succeeded(), "{}", written.last_line);
    assert_eq!(read.rows, vec!["1"]);
    assert!(writer.request("COMMIT").await.succeeded());
    let (large, read) = tokio::join!(
        writer.request_until_served("READ page"),
        reader.request_until_served("READ side")
    );
    assert_eq!(large.rows, vec![value]);
    assert_eq!(read.rows, vec!["1"]);
}

/// Bytes that are no messages, messages without an end and links that are cut must end only their own
/// link.
#[tokio::test]
async fn odd_links_harm_nothing() {
    let fleet = start().await;
    let (host, other) = host_and_other(&fleet);
    fleet.instances[host].await_log("links_served").await;
    let log = fleet.instances[host].log();
    let served = log.lines().find(|line| line.contains("links_served"));
    let served: serde_json::Value =
        serde_json::from_str(served.expect("links are served")).expect("the line is JSON");
    let address = served["address"].as_str().expect("the line has an address");
    let long = [&4_000_000_000_u32.to_be_bytes()[..], &[7; 100]].concat();
    let part = vec![0, 0, 0, 6, 0, 0, 0, 9, 1, 0];
    let no_hello = vec![0, 0, 0, 6, 0, 0, 0, 1, 0, 4];
    for bytes in [vec![0; 64], vec![255; 4_096], long, part, no_hello] {
        for _ in 0..20 {
            let mut stream = TcpStream::connect(address).await.expect("connect");
            // The host may close the link before it has read everything.
            let _ = stream.write_all(&bytes).await;
        }
    }
    let mut caller = fleet.caller(other, "linear").await;
    caller.request_until_served("WRITE page 1").await;
    let mut caller = fleet.caller(host, "linear").await;
    let read = caller.request_until_served("READ page").await;
    assert_eq!(read.rows, vec!["1"]);
}

/// Where link ports do not answer, as on instances of an earlier version, requests must be served over
/// direct connections.
#[tokio::test]
async fn silent_hosts_are_bypassed() {
    let fleet = Fleet::start_hosted(true).await;
    for number in 0..HOSTED_INSTANCES {
        let mut caller: LineCaller = fleet.caller(number, "linear").await;
        caller.request_until_served("WRITE page 1").await;
        for _ in 0..3 {
            assert!(caller.request("READ page").await.succeeded());
        }
        let metrics = fleet.instances[number].status("/metrics").await.1;
        assert!(metrics.contains("tamaracklb_acquired_from_hosts_total 0\n"));
    }
}
