//! Guards against changes of the primary that lose acknowledged commits, with endpoints that join or
//! leave and replicas that receive nothing meanwhile.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::test_writers::TestWriters;

/// Number of writers at each instance, so that enough writes hang to be noticed.
const WRITERS: usize = 4;

/// Time after its first order in which a group's primary is not changed, with a margin.
const ORDER_AGE: Duration = Duration::from_millis(3_300);

/// Time to wait for a change, and the pause between two checks for it.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);
const CHECK_PAUSE: Duration = Duration::from_millis(3);

/// Waits until the platform has received a promotion; returns whether it did.
async fn await_promotion(fleet: &Fleet) -> bool {
    let ordered = async {
        while fleet.platform.shared.group().promotions.is_empty() {
            tokio::time::sleep(CHECK_PAUSE).await;
        }
    };
    tokio::time::timeout(CHANGE_TIMEOUT, ordered).await.is_ok()
}

/// Sets whether an endpoint receives nothing.
fn set_deaf(fleet: &Fleet, id: &str, deaf: bool) {
    fleet.platform.change_group(|group| {
        if let Some(endpoint) = group.endpoints.get_mut(id) {
            endpoint.deaf = deaf;
        }
        group.follow_newest();
    });
}

fn replicas(fleet: &Fleet) -> Vec<String> {
    let primary = fleet.primary();
    let group = fleet.platform.shared.group();
    let others = group.endpoints.keys().filter(|id| **id != primary);
    others.cloned().collect()
}

/// A former primary that was cut off from its replicas must not acknowledge commits through an
/// endpoint that joins before the promotion takes effect (review case 1).
#[tokio::test]
async fn joining_endpoint_loses_nothing() {
    let fleet = Fleet::start(2).await;
    let writers = TestWriters::start(&fleet, "item", WRITERS);
    tokio::time::sleep(ORDER_AGE).await;
    let former = fleet.primary();
    let replicas = replicas(&fleet);
    for id in &replicas {
        set_deaf(&fleet, id, true);
    }
    assert!(await_promotion(&fleet).await, "no promotion was requested");
    fleet
        .platform
        .add_endpoint("db-4")
        .await
        .expect("start an endpoint");
    tokio::time::sleep(Duration::from_secs(2)).await;
    for id in &replicas {
        set_deaf(&fleet, id, false);
    }
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page later").await;
    assert_ne!(fleet.primary(), former);
    assert_eq!(writers.finish(&fleet).await, Vec::<String>::new());
}

/// A new leader must not lift what its own change relies on: it resumed the replicas that it had just
/// paused, and the former primary acknowledged commits that the target lacked (review case 2).
#[tokio::test]
async fn new_leader_loses_nothing() {
    let mut fleet = Fleet::start(3).await;
    let writers = TestWriters::start(&fleet, "item", WRITERS);
    tokio::time::sleep(ORDER_AGE).await;
    let former = fleet.primary();
    let leader = fleet.leader().expect("an instance leads");
    fleet.instances[leader].kill();
    fleet.platform.change_group(|group| {
        group.deafen_targets = true;
        group.promotion_time = Duration::from_secs(1);
        group.resume_delay = Duration::from_millis(400);
        if let Some(endpoint) = group.endpoints.get_mut(&former) {
            endpoint.draining = true;
        }
    });
    assert!(await_promotion(&fleet).await, "no promotion was requested");
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.instances[leader].restart();
    let mut caller = fleet.caller((leader + 1) % 3, "linear").await;
    caller.request_until_served("WRITE page later").await;
    assert_ne!(fleet.primary(), former);
    assert!(writers.count() > 100, "{} writes", writers.count());
    assert_eq!(writers.finish(&fleet).await, Vec::<String>::new());
}

/// A replica that received nothing must not be promoted after the only other one has left, through
/// which commits were acknowledged (review case 3).
#[tokio::test]
async fn leaving_replica_loses_nothing() {
    let fleet = Fleet::start(2).await;
    let replicas = replicas(&fleet);
    let (leaving, staying) = (&replicas[0], &replicas[1]);
    let first_writers = TestWriters::start(&fleet, "before", WRITERS);
    tokio::time::sleep(ORDER_AGE).await;
    set_deaf(&fleet, staying, true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(first_writers.finish(&fleet).await, Vec::<String>::new());
    let newest = {
        let group = fleet.platform.shared.group();
        let commits = group.endpoints[leaving].log.iter();
        let writes = commits.flat_map(|commit| &commit.writes);
        writes.last().cloned().expect("a write was acknowledged")
    };
    fleet.platform.remove_endpoint(leaving);
    // The registry's entry counts as gone after 2.5 s.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let writers = TestWriters::start(&fleet, "item", WRITERS);
    tokio::time::sleep(Duration::from_secs(5)).await;
    set_deaf(&fleet, staying, false);
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page later").await;
    let read = caller
        .request_until_served(&format!("READ {}", newest.0))
        .await;
    assert_eq!(read.rows, vec![newest.1]);
    assert_eq!(writers.finish(&fleet).await, Vec::<String>::new());
}

/// A primary that is cut off from its replicas must be replaced although its own registry entry is
/// gone as well: what it acknowledged is held by its replicas, of which none has left.
#[tokio::test]
async fn lapsed_primary_is_replaced() {
    let fleet = Fleet::start(2).await;
    let writers = TestWriters::start(&fleet, "item", WRITERS);
    tokio::time::sleep(ORDER_AGE).await;
    let former = fleet.primary();
    let replicas = replicas(&fleet);
    let key = format!("servers/{former}");
    fleet.platform.shared.store().remove(&key);
    // The entry counts as gone a second later, before the hanging commits are noticed.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for id in &replicas {
        if let Some(endpoint) = fleet.platform.shared.group().endpoints.get_mut(id) {
            endpoint.deaf = true;
        }
    }
    assert!(await_promotion(&fleet).await, "no promotion was requested");
    tokio::time::sleep(Duration::from_secs(1)).await;
    for id in &replicas {
        set_deaf(&fleet, id, false);
    }
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page later").await;
    assert_ne!(fleet.primary(), former);
    assert_eq!(writers.finish(&fleet).await, Vec::<String>::new());
}

/// A commit that a successor in place received before it was registered must not be lost: it counted
/// as held by the replicas that were registered, and one that had received nothing was promoted.
#[tokio::test]
async fn unregistered_successor_loses_nothing() {
    let fleet = Fleet::start(2).await;
    let former = fleet.primary();
    let replicas = replicas(&fleet);
    let (staying, released) = (&replicas[0], &replicas[1]);
    tokio::time::sleep(ORDER_AGE).await;
    set_deaf(&fleet, staying, true);
    fleet.platform.replace_in_place(released, "db-4");
    // The registry's entry counts as gone after 2.5 s.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let writers = TestWriters::start(&fleet, "item", WRITERS);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.platform.change_group(|group| {
        if let Some(endpoint) = group.endpoints.get_mut(&former) {
            endpoint.draining = true;
        }
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.platform.register("db-4");
    tokio::time::sleep(Duration::from_secs(1)).await;
    set_deaf(&fleet, staying, false);
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page later").await;
    assert!(writers.count() > 50, "{} writes", writers.count());
    assert_eq!(writers.finish(&fleet).await, Vec::<String>::new());
}

/// A primary that was silent for a while and comes back at its address, with its log and another id,
/// must not find a replica promoted that had received nothing: nobody asked for the holders of its
/// commits once its registry entry was gone.
#[tokio::test]
async fn returning_primary_loses_nothing() {
    let fleet = Fleet::start(2).await;
    let former = fleet.primary();
    let replicas = replicas(&fleet);
    let (staying, leaving) = (&replicas[0], &replicas[1]);
    tokio::time::sleep(ORDER_AGE).await;
    set_deaf(&fleet, staying, true);
    let writers = TestWriters::start(&fleet, "item", WRITERS);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.platform.remove_endpoint(leaving);
    fleet.platform.change_group(|group| {
        if let Some(endpoint) = group.endpoints.get_mut(&former) {
            endpoint.alive = false;
        }
    });
    // The registry's entries count as gone after 2.5 s.
    tokio::time::sleep(Duration::from_secs(7)).await;
    fleet.platform.replace_in_place(&former, "db-4");
    fleet.platform.register("db-4");
    tokio::time::sleep(Duration::from_secs(2)).await;
    set_deaf(&fleet, staying, false);
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page later").await;
    assert!(writers.count() > 50, "{} writes", writers.count());
    assert_eq!(writers.finish(&fleet).await, Vec::<String>::new());
}
