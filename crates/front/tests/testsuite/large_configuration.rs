//! Guards against a configuration that never arrives because its transfer takes longer than the
//! timeout of a call.

use std::time::Duration;

use crate::fleet::Fleet;

/// Number of routes of a configuration of about 700 KB, as fleets of 300 instances have.
const ROUTES: usize = 4_000;

/// Time for 16 KB on a link of three megabits per second, on which a read of the store takes 3 s.
const CHUNK_TIME: Duration = Duration::from_millis(45);

/// Every instance must receive a large configuration and its changes over a slow link.
#[tokio::test]
async fn large_configuration_arrives() {
    let mut fleet = Fleet::start_large(4, ROUTES, CHUNK_TIME).await;
    for number in 0..4 {
        let mut caller = fleet.caller(number, "database-3999").await;
        caller.request_until_served("READ page").await;
    }
    let relayed = fleet
        .instances
        .iter()
        .filter(|i| i.log().contains("\"direct\":false"));
    assert_eq!(relayed.count(), 3);
    fleet.set_keys(&["another"]);
    for instance in &fleet.instances {
        instance.await_log("\"version\":4").await;
    }
}
