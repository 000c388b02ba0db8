//! Guards against instances that use primaries although leaders do not know of them.

use std::time::Duration;

use standins::platform::store_state::StoreFault;

use crate::fleet::Fleet;

/// Delay after which the store does a write that it has not answered.
const LATE: Duration = Duration::from_millis(2_000);

/// Time after which the lease of the late write has ended, with a margin.
const LEASE_END: Duration = Duration::from_millis(11_000);

/// A registration that the store does late must not tie the member key to a lease that nobody renews
/// (review case 4).
#[tokio::test]
async fn late_registration_keeps_its_key() {
    let mut fleet = Fleet::start(2).await;
    let leader = fleet.leader().expect("an instance leads");
    let other = 1 - leader;
    let key = format!("tamaracklb/member/zone-a/front-{other}");
    fleet.platform.shared.store().fault = StoreFault::ChangesLate(LATE);
    fleet.instances[other].restart();
    for _ in 0..1_000 {
        if fleet.platform.shared.store().late_changes > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    fleet.platform.shared.store().fault = StoreFault::None;
    assert_eq!(fleet.platform.shared.store().late_changes, 1);
    fleet.instances[other].await_ready().await;
    let started = std::time::Instant::now();
    while started.elapsed() < LEASE_END {
        let listed = {
            let mut store = fleet.platform.shared.store();
            store.expire();
            store.items.contains_key(&key)
        };
        let after = started.elapsed();
        assert!(listed, "the key was missing after {after:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
