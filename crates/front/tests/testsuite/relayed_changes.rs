//! Guards against a store that every instance polls, and against relays that do not pass on its
//! changes.

use std::time::Duration;
use std::time::Instant;

use standins::platform::store_state::StoreFault;

use crate::fleet::Fleet;

const INSTANCES: usize = 8;

/// Number of routes of a configuration of about 180 KB.
const ROUTES: usize = 1_000;

/// Time for 16 KB on a link on which a read of that configuration takes about 0.6 s.
const CHUNK_TIME: Duration = Duration::from_millis(45);

/// Processor shares of a zone whose first instance is the root of the relay tree.
const SHARES: [f64; INSTANCES] = [0.5, 0.17, 0.17, 0.17, 0.17, 0.17, 0.17, 0.17];

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

/// After all instances were killed at once, they must not all read the whole store: their answers
/// would queue up on its link. They find a relay through the members that the store still lists.
#[tokio::test]
async fn restarted_instances_read_from_relays() {
    let mut fleet = Fleet::start(INSTANCES).await;
    fleet.kill_all();
    for instance in &mut fleet.instances {
        instance.restart();
    }
    assert_few_readers(&fleet).await;
}

async fn assert_few_readers(fleet: &Fleet) {
    fleet.await_service().await;
    let readers = fleet.complete_readers().await;
    assert!(
        (1..=INSTANCES / 2).contains(&readers),
        "{readers} read the whole store"
    );
}

/// A relay whose process starts a little later than its followers refuses their connections. They
/// must not all take this for the loss of the relay and read the whole store.
#[tokio::test]
async fn followers_wait_for_a_late_relay() {
    let mut fleet = Fleet::start_sized(&SHARES).await;
    fleet.kill_all();
    for instance in &mut fleet.instances[1..] {
        instance.restart();
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.instances[0].restart();
    assert_few_readers(&fleet).await;
}

/// Where the relay of all others is gone, one of them must take its place. They must not all read
/// the whole store.
#[tokio::test]
async fn another_relay_replaces_a_lost_one() {
    let mut fleet = Fleet::start_sized(&SHARES).await;
    fleet.kill_all();
    for instance in &mut fleet.instances[1..] {
        instance.restart();
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.instances[0].restart();
    assert_few_readers(&fleet).await;
}

/// Over a slow link of the store, the view of the relay takes longer to arrive than a relay takes to
/// answer. Its followers must wait for it, or their reads queue up on the same link.
#[tokio::test]
async fn followers_wait_for_a_slow_read() {
    let mut fleet = Fleet::start_large(INSTANCES, ROUTES, CHUNK_TIME).await;
    fleet.kill_all();
    for instance in &mut fleet.instances {
        instance.restart();
    }
    assert_few_readers(&fleet).await;
}

/// Instances that start while the store does not answer must not all read it once it does.
#[tokio::test]
async fn regained_store_is_not_read_by_all() {
    let mut fleet = Fleet::start_sized(&SHARES).await;
    fleet.kill_all();
    fleet.platform.shared.store().fault = StoreFault::Busy;
    for instance in &mut fleet.instances {
        instance.restart();
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.platform.shared.store().fault = StoreFault::None;
    assert_few_readers(&fleet).await;
}

/// A starting instance whose relay does not answer must read the store itself, and soon.
#[tokio::test]
async fn silent_relay_does_not_delay_a_start() {
    let mut fleet = Fleet::start_sized(&[0.5, 0.08]).await;
    fleet.instances[0].signal("STOP");
    let restarted_at = Instant::now();
    fleet.instances[1].restart();
    fleet.instances[1].await_ready().await;
    assert!(restarted_at.elapsed() < Duration::from_secs(3));
    fleet.instances[1].await_log("first_view_overdue").await;
    fleet.instances[0].signal("CONT");
}
