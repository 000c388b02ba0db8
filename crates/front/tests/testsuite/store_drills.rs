//! Guards against instances that take a place in the history of the store for the same number in
//! another era, after the store came back from an older copy.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use standins::platform::line_caller::LineCaller;
use standins::platform::platform_handle::FIRST_ERAS;

use crate::fleet::Fleet;
use crate::fleet::KEY;

/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);

/// Number of changes that the store loses. Until it has made as many again, it gives revision numbers
/// out that it had given out before.
const LOST_CHANGES: usize = 200;

/// Time within which instances use primaries again after a drill.
const RETURN_TIME: Duration = Duration::from_secs(12);

/// Time in which the operators and the endpoints write their keys again.
const REWRITE_TIME: Duration = Duration::from_millis(1_500);

/// Key of the group's order.
const ORDER_KEY: &str = "tamaracklb/order/orders";

/// Time within which a confirmed configuration must be in force.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Time within which a withdrawn key must be refused.
const REVOKE_TIME: Duration = Duration::from_secs(5);

/// Runs a test with a store that begins in each of the first eras, one after the other.
async fn in_each_era(test: impl AsyncFn(Fleet)) {
    for era in FIRST_ERAS {
        let fleet = Fleet::start_in_era(3, era).await;
        println!("first era {era}");
        test(fleet).await;
    }
}

/// Makes changes which the store loses after the copy.
async fn make_changes(fleet: &mut Fleet) {
    for _ in 0..LOST_CHANGES {
        fleet.set_keys(&[KEY]);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
}

/// Lets the store lose changes and come back from a copy.
async fn drill_after_changes(fleet: &mut Fleet) {
    let copy = fleet.platform.copy_store();
    make_changes(fleet).await;
    fleet.platform.drill(&copy, AWAY).await;
}

/// A follower of a relay must learn of a primary that is replaced after a drill, although the order has
/// a lower number than the follower's view (review case 7). Else it reads from the former primary.
#[tokio::test]
async fn followers_leave_a_replaced_primary() {
    in_each_era(async |mut fleet| {
        drill_after_changes(&mut fleet).await;
        tokio::time::sleep(RETURN_TIME).await;
        let mut callers = Vec::new();
        for instance in 0..3 {
            let mut caller = fleet.caller(instance, "linear").await;
            caller.request_until_served("WRITE page 0").await;
            callers.push(caller);
        }
        fleet
            .platform
            .change_group(|group| group.lag = Duration::from_millis(400));
        let former = fleet.release_primary();
        let end = Instant::now() + Duration::from_secs(9);
        let (mut value, mut served) = (0_u32, 0);
        while Instant::now() < end {
            value += 1;
            let writer = value as usize % callers.len();
            let written = callers[writer]
                .request(&format!("WRITE page {value}"))
                .await;
            if !written.succeeded() {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
            for (instance, caller) in callers.iter_mut().enumerate() {
                let read = caller.request("READ page").await;
                if read.succeeded() {
                    served += 1;
                    let expected = vec![value.to_string()];
                    assert_eq!(read.rows, expected, "instance {instance}");
                }
            }
        }
        assert_ne!(fleet.primary(), former);
        assert!(served > 100, "{served} reads");
    })
    .await;
}

/// A key that is withdrawn after a drill must be refused by each instance in time, although the
/// configuration has a lower number than the one before it (review case 8).
#[tokio::test]
async fn withdrawn_key_is_refused() {
    in_each_era(async |mut fleet| {
        drill_after_changes(&mut fleet).await;
        fleet.set_keys(&["another"]);
        tokio::time::sleep(REVOKE_TIME).await;
        for instance in &fleet.instances {
            let opened = LineCaller::try_open(instance.process.callers, "linear", KEY).await;
            let refusal = opened.err().map(|error| error.to_string());
            let is_denied = refusal.as_ref().is_some_and(|text| text.contains("DENIED"));
            assert!(is_denied, "{refusal:?}; its log: {}", instance.log());
        }
    })
    .await;
}

/// A route that is added after a drill must be served by each instance in time (the users' own runs).
#[tokio::test]
async fn added_route_is_served() {
    in_each_era(async |mut fleet| {
        drill_after_changes(&mut fleet).await;
        fleet.set_routes(1);
        tokio::time::sleep(APPLY_TIME).await;
        for instance in &fleet.instances {
            let opened = LineCaller::try_open(instance.process.callers, "database-0", KEY).await;
            let refusal = opened.err().map(|error| error.to_string());
            assert_eq!(refusal, None, "its log: {}", instance.log());
        }
    })
    .await;
}

/// A configuration that was in force before a drill must stay so, although the copy holds an older one
/// until the operators have written it again.
#[tokio::test]
async fn configuration_does_not_go_back() {
    in_each_era(async |mut fleet| {
        let copy = fleet.platform.copy_store();
        make_changes(&mut fleet).await;
        fleet.set_routes(1);
        tokio::time::sleep(Duration::from_secs(1)).await;
        {
            let mut store = fleet.platform.shared.store();
            copy.restore(&mut store, false);
        }
        let end = Instant::now() + Duration::from_secs(4);
        while Instant::now() < end {
            for instance in &fleet.instances {
                let opened =
                    LineCaller::try_open(instance.process.callers, "database-0", KEY).await;
                let refusal = opened.err().map(|error| error.to_string());
                assert_eq!(refusal, None, "its log: {}", instance.log());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let (known, log) = (&fleet.instances[2], "\"event\":\"configuration_ignored\"");
        known.await_log(log).await;
    })
    .await;
}

/// The fencing tokens of promotions must rise over a drill, which takes the revision back at which the
/// last leader was elected (review case 9).
#[tokio::test]
async fn fencing_tokens_rise() {
    in_each_era(async |mut fleet| {
        let copy = fleet.platform.copy_store();
        make_changes(&mut fleet).await;
        let first = fleet.leader().expect("an instance leads");
        fleet.instances[first].restart();
        fleet.await_service().await;
        replace_primary(&fleet).await;
        fleet.platform.drill(&copy, AWAY).await;
        tokio::time::sleep(RETURN_TIME).await;
        fleet.await_service().await;
        replace_primary(&fleet).await;
        let group = fleet.platform.shared.group();
        let tokens: Vec<u64> = group
            .promotions
            .iter()
            .map(|(_, _, token)| *token)
            .collect();
        assert!(tokens.len() >= 2, "{tokens:?}");
        assert!(tokens.is_sorted(), "{tokens:?}");
    })
    .await;
}

/// Releases the primary and waits until another endpoint leads; the former one stays as a replica.
async fn replace_primary(fleet: &Fleet) {
    // An order is not changed in its first 3 s.
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    let former = fleet.release_primary();
    let replaced = fleet.await_successor(&former, RETURN_TIME).await;
    assert!(replaced, "the primary was not replaced");
    fleet.platform.change_group(|group| {
        if let Some(endpoint) = group.endpoints.get_mut(&former) {
            endpoint.draining = false;
        }
    });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
}

/// A primary whose replacement the store has lost must not be used again, neither by instances that
/// knew the order nor by one that restarts and learns from them.
#[tokio::test]
async fn lost_order_permits_nobody() {
    in_each_era(async |fleet| assert_lost_order_is_unused(fleet, &[1]).await).await;
}

/// Nor must it be used by a fleet that has restarted and knows nothing but the copy.
#[tokio::test]
async fn restarted_fleet_uses_no_lost_order() {
    in_each_era(async |fleet| assert_lost_order_is_unused(fleet, &[0, 1, 2]).await).await;
}

/// Lets the store lose the replacement of the primary, restarts instances, and checks that callers are
/// served again and that no read ran at the former primary.
async fn assert_lost_order_is_unused(mut fleet: Fleet, restarted: &[usize]) {
    let copy = fleet.platform.copy_store();
    make_changes(&mut fleet).await;
    replace_primary(&fleet).await;
    fleet.await_service().await;
    let primary = fleet.primary();
    let drilled_at = Instant::now();
    fleet.platform.drill(&copy, AWAY).await;
    for instance in restarted {
        fleet.instances[*instance].restart();
    }
    assert_only_primary_reads(&fleet, &primary, drilled_at).await;
    let group = fleet.platform.shared.group();
    assert_eq!(group.promotions.len(), 1, "{:?}", group.promotions);
}

/// A fleet that restarts after its only order was lost must not take the primary from entries that are
/// as old as the copy.
#[tokio::test]
async fn lost_first_order_is_not_guessed() {
    in_each_era(async |mut fleet| {
        let mut copy = fleet.platform.copy_store();
        copy.remove(ORDER_KEY);
        replace_primary(&fleet).await;
        fleet.await_service().await;
        let primary = fleet.primary();
        let recent = fleet.platform.copy_store();
        let drilled_at = Instant::now();
        fleet.platform.drill_unwritten(&copy, AWAY).await;
        for instance in &mut fleet.instances {
            instance.restart();
        }
        let shared = Arc::clone(&fleet.platform.shared);
        tokio::spawn(async move {
            tokio::time::sleep(REWRITE_TIME).await;
            recent.rewrite(&mut shared.store());
        });
        assert_only_primary_reads(&fleet, &primary, drilled_at).await;
    })
    .await;
}

/// Checks for some time after a drill that callers are served again and that no read runs at another
/// endpoint than the primary.
async fn assert_only_primary_reads(fleet: &Fleet, primary: &str, drilled_at: Instant) {
    let mut served = [0; 3];
    while drilled_at.elapsed() < RETURN_TIME {
        for (instance, count) in served.iter_mut().enumerate() {
            let address = fleet.instances[instance].process.callers;
            let Ok(mut caller) = LineCaller::try_open(address, "linear", KEY).await else {
                continue;
            };
            *count += usize::from(caller.request("READ page").await.succeeded());
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let group = fleet.platform.shared.group();
    let runs = group.executed_statements.iter();
    let after = runs.filter(|run| run.executed_at >= drilled_at && !run.wrote);
    let elsewhere: Vec<_> = after.filter(|run| run.endpoint != primary).collect();
    assert!(elsewhere.is_empty(), "{elsewhere:?}");
    assert!(served.iter().all(|count| *count > 10), "{served:?}");
}
