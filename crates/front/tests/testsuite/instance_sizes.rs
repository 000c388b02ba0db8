//! Guards against leader and relay tasks on the smallest instances of the fleet.

use std::time::Duration;

use crate::fleet::Fleet;

/// Part of the log line of an instance that follows the store through a relay.
const FOLLOWS_RELAY: &str = "\"direct\":false";

async fn await_leader(fleet: &Fleet, number: usize) {
    for _ in 0..150 {
        if fleet.leader() == Some(number) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{:?} leads in place of {number}", fleet.leader());
}

/// The largest instance must become the leader, whichever was first, and be the one that watches
/// the store for its zone.
#[tokio::test]
async fn largest_instance_leads() {
    let fleet = Fleet::start_sized(&[0.08, 0.08, 0.08, 0.5, 0.08]).await;
    await_leader(&fleet, 3).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page 1").await;
    for number in [0, 1, 2, 4] {
        fleet.instances[number].await_log(FOLLOWS_RELAY).await;
    }
    // Lines are written in order, so a line for this request follows any earlier one.
    let mut caller = fleet.caller(3, "linear").await;
    let request = caller.next_id();
    caller.request_until_served("WRITE page 2").await;
    fleet.instances[3].await_log(&request).await;
    let log = fleet.instances[3].log();
    assert!(!log.contains(FOLLOWS_RELAY), "{log}");
}

/// A small instance that became the leader while the largest was down must hand over to it again.
#[tokio::test]
async fn leadership_returns_to_the_largest() {
    let mut fleet = Fleet::start_sized(&[0.08, 0.5]).await;
    await_leader(&fleet, 1).await;
    fleet.instances[1].kill();
    await_leader(&fleet, 0).await;
    fleet.instances[1].restart();
    await_leader(&fleet, 1).await;
    fleet.instances[0].await_log("lead_handed_over").await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page 1").await;
}
