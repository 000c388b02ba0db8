//! Guards against reads that stay on an endpoint that is slow although its registry entry is good.

use std::time::Duration;

use standins::platform::line_caller::LineCaller;
use tokio::task::JoinSet;

use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::fleet::KEY;

const SLOW_ENDPOINT: &str = "db-2";
const CALLERS: usize = 4;

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
    let mut fleet = Fleet::start_sized(&[0.5, 0.08]).await;
    for instance in &mut fleet.instances {
        let appended = instance.process.append_settings("Contracts:\n  - health\n");
        appended.expect("write the settings");
        instance.restart();
    }
    fleet.await_service().await;
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
