//! Guards against a store that every instance polls, and against relays that do not pass on its
//! changes.

use std::time::Duration;

use crate::fleet::Fleet;

const INSTANCES: usize = 8;

/// Without changes, most instances of a zone must not call the store except for their leases.
#[tokio::test]
async fn few_instances_poll_the_store() {
    let fleet = Fleet::start(INSTANCES).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = fleet.platform.shared.store().calls;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = fleet.platform.shared.store().calls - before;
    // Eight instances that poll would make 44 calls in 4 s; the renewals of nine leases are 23.
    assert!(calls < 40, "{calls} calls");
}

/// Every instance must receive a change, even after its relay died.
#[tokio::test]
async fn changes_reach_every_instance() {
    let mut fleet = Fleet::start(INSTANCES).await;
    fleet.instances[3].kill();
    fleet.set_keys(&["another"]);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (number, instance) in fleet.instances.iter().enumerate() {
        let knows = instance.log().contains("\"version\":4");
        assert!(
            knows || number == 3,
            "instance {number}: {}",
            instance.log()
        );
    }
}

/// Instances without traffic must know positions that are recent enough for the shortest staleness
/// limit. Otherwise all their reads go to the primary, whose slots are needed for writes.
#[tokio::test]
async fn idle_instances_know_floors() {
    const STALENESS_MS: u64 = 1_500;
    let fleet = Fleet::start(INSTANCES).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (number, instance) in fleet.instances.iter().enumerate() {
        let metrics = instance.status("/metrics").await.1;
        let age = metrics
            .lines()
            .find_map(|line| line.strip_prefix("tamaracklb_floor_age_ms{service=\"orders\"} "))
            .and_then(|age| age.parse::<u64>().ok());
        assert!(
            age.is_some_and(|age| age < STALENESS_MS),
            "instance {number}: {age:?}"
        );
    }
}
