//! Guards against reads that stay on an endpoint that is slow although its registry entry is good.

use std::time::Duration;

use standins::platform::line_caller::LineCaller;
use tokio::task::JoinSet;

use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::KEY;

const SLOW_ENDPOINT: &str = "db-2";
const CALLERS: usize = 4;

async fn start_fleet(cpu_shares: &[f64]) -> Fleet {
    let mut fleet = Fleet::start_sized(cpu_shares).await;
    for instance in &mut fleet.instances {
        let appended = instance.process.append_settings("Contracts:\n  - health\n");
        appended.expect("write the settings");
        instance.restart();
    }
    fleet.await_service().await;
    fleet
}

fn set_delay(fleet: &Fleet, delay: Duration) {
    let mut group = fleet.platform.shared.group();
    let endpoint = group.endpoints.get_mut(SLOW_ENDPOINT).expect("an endpoint");
    endpoint.read_delay = delay;
}

fn start_readers(fleet: &Fleet, readers: &mut JoinSet<()>) {
    for (instance, caller) in
        (0..fleet.instances.len()).flat_map(|i| (0..CALLERS).map(move |c| (i, c)))
    {
        let callers = fleet.instances[instance].process.callers;
        readers.spawn(async move {
            let mut session = LineCaller::open(callers, "bounded", KEY).await;
            loop {
                session.request(&format!("READ page-{caller}")).await;
                tokio::time::sleep(Duration::from_millis(15)).await;
            }
        });
    }
}

async fn await_event(root: &Instance, event: &str) {
    root.await_log(&format!(
        "\"event\":\"{event}\",\"endpoint\":\"{SLOW_ENDPOINT}\""
    ))
    .await;
}

/// A replica that answers slowly must lose its reads on all instances of the zone, be shown in the
/// metrics of each, and be used again after it recovered.
#[tokio::test]
async fn slow_replica_is_avoided() {
    let fleet = start_fleet(&[0.5, 0.08]).await;
    let mut readers = JoinSet::new();
    start_readers(&fleet, &mut readers);
    set_delay(&fleet, Duration::from_millis(120));
    await_event(&fleet.instances[0], "endpoint_slow").await;
    let shown = format!("tamaracklb_endpoint_admitted_ratio{{endpoint=\"{SLOW_ENDPOINT}\"}}");
    for instance in &fleet.instances {
        await_metric(instance, &shown).await;
    }
    set_delay(&fleet, Duration::ZERO);
    await_event(&fleet.instances[0], "endpoint_recovered").await;
    assert!(readers.try_join_next().is_none(), "a reader ended");
}

async fn await_metric(instance: &Instance, name: &str) {
    for _ in 0..100 {
        let (_, text) = instance.status("/metrics").await;
        if text.contains(name) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{name} is not shown");
}

/// A crowd at one endpoint must be refused with what the operators need to find the cause, and must
/// leave nothing in the queue.
#[tokio::test]
async fn crowded_endpoint_is_named() {
    let fleet = start_fleet(&[0.5]).await;
    let primary = fleet.primary();
    {
        let mut group = fleet.platform.shared.group();
        let endpoint = group.endpoints.get_mut(&primary).expect("an endpoint");
        endpoint.read_delay = Duration::from_millis(150);
    }
    let mut readers = JoinSet::new();
    for _ in 0..24 {
        let callers = fleet.instances[0].process.callers;
        readers.spawn(async move {
            let mut session = LineCaller::open(callers, "linear", KEY).await;
            for _ in 0..8 {
                let answer = session.request("READ page").await;
                assert!(
                    answer.succeeded() || answer.reports_not_applied(),
                    "{answer:?}"
                );
            }
        });
    }
    while let Some(ended) = readers.join_next().await {
        ended.expect("a reader failed");
    }
    let mut caller = fleet.caller(0, "linear").await;
    let request = caller.next_id();
    caller.request_until_served("READ page").await;
    fleet.instances[0].await_log(&request).await;
    let log = fleet.instances[0].log();
    let refused = log
        .lines()
        .find(|line| line.contains("\"reason\":\"endpoint_busy\""));
    let refused = refused.expect("a refusal");
    for field in [
        &format!("\"endpoint\":\"{primary}\""),
        "\"limit\":",
        "\"queue\":",
    ] {
        assert!(refused.contains(field), "{field}: {refused}");
    }
}
