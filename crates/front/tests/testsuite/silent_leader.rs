//! Guards against refusals within the team's rate while there is no leader.

use std::time::Duration;

use standins::platform::store_state::StoreFault;

use crate::fleet::Fleet;

/// Rate of the team in operations per second; the base share of an instance is half an operation
/// per second.
const RATE: u32 = 20;

/// After the leader died, the deputy must lend until another instance is the leader.
#[tokio::test]
async fn deputy_lends_for_a_dead_leader() {
    let mut fleet = Fleet::start(3).await;
    fleet.set_rate(RATE);
    let leader = fleet.leader().expect("the fleet has a leader");
    let other = (leader + 1) % 3;
    let mut caller = fleet.caller(other, "linear").await;
    for _ in 0..15 {
        caller.request_until_served("READ page").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // No leader can be elected, so the tokens of served requests come from the deputy.
    fleet.platform.shared.store().fault = StoreFault::Busy;
    fleet.instances[leader].kill();
    tokio::time::sleep(Duration::from_millis(700)).await;
    let mut served = 0;
    for _ in 0..8 {
        served += usize::from(caller.request("READ page").await.succeeded());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(served >= 7, "{served} of 8");
}
