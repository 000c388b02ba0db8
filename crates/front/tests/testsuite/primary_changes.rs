//! Guards against changes of the primary that lose commits or never happen.

use crate::fleet::Fleet;

/// A draining primary must be replaced before it leaves. It is made a replica first, so that the
/// group has no primary for a moment.
#[tokio::test]
async fn leaving_primary_hands_over() {
    let fleet = Fleet::start(2).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page kept").await;
    let former = fleet.release_primary();
    let time = std::time::Duration::from_secs(10);
    assert!(fleet.await_successor(&former, time).await);
    assert_ne!(fleet.primary(), former);
    let read = caller.request_until_served("READ page").await;
    assert_eq!(read.rows, vec!["kept"]);
    caller.request_until_served("WRITE page later").await;
    let group = fleet.platform.shared.group();
    assert!(group.promotions.iter().all(|(_, _, token)| *token > 0));
}

/// A primary that stops answering must be replaced by a replica with every acknowledged commit.
#[tokio::test]
async fn silent_primary_is_replaced() {
    let fleet = Fleet::start(2).await;
    let mut caller = fleet.caller(1, "linear").await;
    let former = fleet.primary();
    let mut acknowledged = 0;
    for number in 1..30 {
        caller
            .request_until_served(&format!("WRITE page {number}"))
            .await;
        acknowledged = number;
    }
    fleet.platform.change_group(|group| {
        if let Some(endpoint) = group.endpoints.get_mut(&former) {
            endpoint.alive = false;
        }
    });
    let read = caller.request_until_served("READ page").await;
    assert_eq!(read.rows, vec![acknowledged.to_string()]);
    assert_ne!(fleet.primary(), former);
}

/// Once a change has demoted the primary, the group must get a primary again, even if the reason
/// for the change ends before a replica is promoted.
#[tokio::test]
async fn demoted_primary_is_replaced() {
    let fleet = Fleet::start(2).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page kept").await;
    let former = fleet.primary();
    let replica = if former == "db-3" { "db-2" } else { "db-3" };
    // An order is not changed in its first 3 s.
    tokio::time::sleep(std::time::Duration::from_millis(3_200)).await;
    let change = |refuse: bool, draining: bool| {
        fleet.platform.change_group(|group| {
            group.refuse_promotions = refuse;
            if let Some(endpoint) = group.endpoints.get_mut(&former) {
                endpoint.draining = draining;
            }
        });
    };
    fleet.platform.change_group(|group| {
        if let Some(endpoint) = group.endpoints.get_mut(replica) {
            endpoint.alive = false;
        }
    });
    change(true, true);
    for _ in 0..200 {
        if fleet.platform.shared.group().primary().is_none() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert_eq!(fleet.platform.shared.group().primary(), None);
    change(true, false);
    fleet.platform.change_group(|group| group.revive(replica));
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    change(false, false);
    let read = caller.request_until_served("READ page").await;
    assert_eq!(read.rows, vec!["kept"]);
    caller.request_until_served("WRITE page later").await;
}

/// Returns the revision of the group's order and whether its phase is open.
fn order_of(fleet: &Fleet) -> Option<(u64, bool)> {
    let store = fleet.platform.shared.store();
    let item = store.items.get("tamaracklb/order/orders")?;
    let text = String::from_utf8_lossy(&item.value);
    Some((item.revision, text.contains("\"open\"")))
}

/// A demoted primary that is promoted again must not be used before the promotion takes effect.
/// Until then it is a replica, even if the registry still lists it as the primary.
#[tokio::test]
async fn demoted_primary_is_used_after_its_promotion() {
    let fleet = Fleet::start(2).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page kept").await;
    let former = fleet.primary();
    let replicas: Vec<String> = {
        let group = fleet.platform.shared.group();
        let others = group.endpoints.keys().filter(|id| **id != former);
        others.cloned().collect()
    };
    tokio::time::sleep(std::time::Duration::from_millis(3_200)).await;
    // One replica does not answer, and the other one lacks the last commit.
    fleet.platform.change_group(|group| {
        if let Some(endpoint) = group.endpoints.get_mut(&replicas[0]) {
            endpoint.alive = false;
        }
        if let Some(endpoint) = group.endpoints.get_mut(&replicas[1]) {
            endpoint.paused = 9;
        }
        group.commit(&former, vec![("page".to_owned(), "later".to_owned())]);
        if let Some(endpoint) = group.endpoints.get_mut(&former) {
            endpoint.draining = true;
        }
    });
    let first = order_of(&fleet).map_or(0, |(revision, _)| revision);
    // It is demoted, for example by a leader that has died since, and the registry is late.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    {
        let mut group = fleet.platform.shared.group();
        let former = group
            .endpoints
            .get_mut(&former)
            .expect("the endpoint exists");
        former.visible_commits = former.log.len();
        former.primary = false;
    }
    for _ in 0..1_000 {
        let led = fleet.platform.shared.group().primary().is_some();
        let ordered = !fleet.platform.shared.group().promotions.is_empty();
        let opened = order_of(&fleet).is_some_and(|(revision, open)| revision > first && open);
        assert!(
            led || !opened,
            "the order was opened before an endpoint led"
        );
        if ordered && led {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("the former primary was not promoted");
}

/// A draining primary must get no requests after its drain time, even if it cannot be replaced, and
/// none from an instance that has just started.
#[tokio::test]
async fn leaving_primary_gets_nothing_late() {
    const DRAIN_TIME: std::time::Duration = std::time::Duration::from_millis(4_000);
    let mut fleet = Fleet::start(2).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page kept").await;
    let former = fleet.primary();
    fleet.platform.change_group(|group| {
        group.refuse_promotions = true;
        if let Some(endpoint) = group.endpoints.get_mut(&former) {
            endpoint.draining = true;
        }
    });
    tokio::time::sleep(DRAIN_TIME).await;
    fleet.instances[1].restart();
    fleet.instances[1].await_ready().await;
    let before = fleet.platform.shared.group().executed_statements.len();
    for instance in 0..2 {
        let mut caller = fleet.caller(instance, "linear").await;
        for _ in 0..3 {
            assert_eq!(caller.request("READ page").await.code(), "BUSY");
        }
    }
    assert_eq!(
        fleet.platform.shared.group().executed_statements.len(),
        before
    );
    fleet
        .platform
        .change_group(|group| group.refuse_promotions = false);
    caller.request_until_served("READ page").await;
}
