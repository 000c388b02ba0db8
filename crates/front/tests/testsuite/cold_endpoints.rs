//! Guards against instances that send endpoints more than they can bear after their start.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;

const INSTANCES: usize = 4;

/// Configured requests per second to a cold endpoint.
const COLD_RATE: u32 = 4;

/// Requests in any second that follow from it: 4 x 1.5 + 5.
const COLD_BOUND: usize = 11;

/// Time for which a cold endpoint says that it stays cold, in milliseconds.
const COLD_MS: u64 = 600_000;

fn set_cold(fleet: &Fleet, ids: &[&str], cold_ms: u64) {
    fleet.platform.change_group(|group| {
        for (id, endpoint) in &mut group.endpoints {
            if ids.contains(&id.as_str()) {
                endpoint.cold_ms = cold_ms;
            }
        }
    });
}

/// Returns the largest number of statements that an endpoint executed within one second after
/// `since`, and their total.
fn statements(fleet: &Fleet, endpoint: &str, since: Instant) -> (usize, usize) {
    let group = fleet.platform.shared.group();
    let executed = group.executed_statements.iter();
    let times: Vec<Instant> = executed
        .filter(|statement| statement.endpoint == endpoint && statement.executed_at >= since)
        .map(|statement| statement.executed_at)
        .collect();
    let second = Duration::from_secs(1);
    let within = |from: usize| {
        let end = times[from] + second;
        times[from..].iter().take_while(|at| **at < end).count()
    };
    let most = (0..times.len()).map(within).max().unwrap_or(0);
    (most, times.len())
}

/// Sends requests on two sessions to each instance for some time; returns how many were served.
async fn load(fleet: &Fleet, database: &str, texts: &[&str], time: Duration) -> usize {
    let mut callers = Vec::new();
    for number in 0..2 * INSTANCES {
        callers.push(fleet.caller(number % INSTANCES, database).await);
    }
    let end = Instant::now() + time;
    let load = callers.into_iter().map(|mut caller| async move {
        let mut served = 0;
        while Instant::now() < end {
            for text in texts {
                served += usize::from(caller.request(text).await.succeeded());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        served
    });
    futures_util::future::join_all(load).await.into_iter().sum()
}

/// Starts a fleet whose configuration has a rate for cold endpoints, in force at each instance.
async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start(INSTANCES).await;
    fleet.set_cold_rate(COLD_RATE);
    for instance in &fleet.instances {
        instance.await_log("\"version\":4").await;
    }
    // Instances that registered a short time ago send nothing to cold endpoints.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    fleet
}

async fn await_cold(fleet: &Fleet) {
    for instance in &fleet.instances {
        instance.await_log(&format!("\"cold_ms\":{COLD_MS}")).await;
    }
}

/// All endpoints are cold at once, as after an evacuation: together the instances must keep the
/// bound of each one and use it, also for statements inside transactions.
#[tokio::test]
async fn cold_endpoints_keep_their_bound() {
    let fleet = start_fleet().await;
    let ids = ["db-1", "db-2", "db-3"];
    set_cold(&fleet, &ids, COLD_MS);
    await_cold(&fleet).await;
    let since = Instant::now();
    let time = Duration::from_secs(3);
    let transaction = ["BEGIN", "WRITE page 1", "READ page", "COMMIT", "ROLLBACK"];
    let (reads, _) = tokio::join!(
        load(&fleet, "bounded", &["READ page"], time),
        load(&fleet, "linear", &transaction, time),
    );
    assert!(reads > 0, "no read was served");
    for id in ids {
        let (most, total) = statements(&fleet, id, since);
        assert!(most <= COLD_BOUND, "{id}: {most} in a second");
        assert!(total > 0, "{id} received nothing");
    }
    let mut refused = 0;
    for instance in &fleet.instances {
        let metrics = instance.status("/metrics").await.1;
        refused += usize::from(metrics.contains("cold_statements_total"));
    }
    assert!(refused > 0, "no instance counted cold statements");
}

/// A statement that only a cold endpoint could run must be refused at once as not run, not when its
/// time is over.
#[tokio::test]
async fn exhausted_share_is_refused_at_once() {
    let fleet = start_fleet().await;
    set_cold(&fleet, &["db-1"], COLD_MS);
    await_cold(&fleet).await;
    let mut caller = fleet.caller(0, "linear").await;
    let mut refused = 0;
    for _ in 0..2 * COLD_BOUND {
        let answer = caller.request("WRITE page 1").await;
        refused += usize::from(answer.code() == "BUSY");
    }
    assert!(refused >= COLD_BOUND, "{refused} refused");
    fleet.instances[0].await_log("endpoint_cold").await;
    set_cold(&fleet, &["db-1"], 0);
    caller.request_until_served("WRITE page 2").await;
}

/// After a restart of all instances, no instance knows yet who else is there. Cold endpoints must
/// not receive the bound from each of them.
#[tokio::test]
async fn restarted_instances_keep_the_bound() {
    let mut fleet = start_fleet().await;
    set_cold(&fleet, &["db-1"], COLD_MS);
    await_cold(&fleet).await;
    let since = Instant::now();
    load(&fleet, "linear", &["READ page"], Duration::from_secs(1)).await;
    fleet.kill_all();
    for instance in &mut fleet.instances {
        instance.restart();
    }
    for instance in &fleet.instances {
        instance.await_ready().await;
    }
    load(&fleet, "linear", &["READ page"], Duration::from_secs(7)).await;
    let (most, total) = statements(&fleet, "db-1", since);
    assert!(most <= COLD_BOUND, "{most} in a second");
    assert!(total > COLD_BOUND, "{total} in all");
}
