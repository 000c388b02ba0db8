//! Guards against refusals within the rate while nobody leads.

use std::time::Duration;

use standins::platform::store_state::StoreFault;

use crate::fleet::Fleet;

/// Operations a second of the team; the base share of an instance is half of one.
const RATE: u32 = 20;

/// After the leader died, the deputy must lend until another instance leads.
#[tokio::test]
async fn deputy_lends_for_a_dead_leader() {
    let mut fleet = Fleet::start(3).await;
    fleet.set_rate(RATE);
    let leader = fleet.leader().expect("an instance leads");
    let other = (leader + 1) % 3;
    let mut caller = fleet.caller(other, "linear").await;
    for _ in 0..15 {
        caller.request_until_served("READ page").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // Nobody can be elected, so that what is served is lent by the deputy.
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
