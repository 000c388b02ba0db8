//! Guards against instances that do not recover after a store outage, or after all of them died.

use std::time::Duration;

use standins::platform::store_state::StoreFault;

use crate::fleet::Fleet;

/// After all processes were killed at once, the state in the store must suffice for a restart.
#[tokio::test]
async fn all_restart_at_once() {
    let mut fleet = Fleet::start(3).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page kept").await;
    for instance in &mut fleet.instances {
        instance.kill();
    }
    for instance in &mut fleet.instances {
        instance.restart();
    }
    fleet.await_service().await;
    let mut caller = fleet.caller(2, "linear").await;
    let read = caller.request_until_served("READ page").await;
    assert_eq!(read.rows, vec!["kept"]);
}

/// After the store dropped its history, instances must read the whole view again and not miss a
/// configuration.
#[tokio::test]
async fn dropped_history_loses_no_change() {
    let mut fleet = Fleet::start(2).await;
    fleet.platform.shared.store().fault = StoreFault::Busy;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    fleet.set_keys(&["another"]);
    fleet.platform.shared.store().drop_history();
    fleet.platform.shared.store().fault = StoreFault::None;
    for instance in &fleet.instances {
        for _ in 0..100 {
            if instance.log().contains("\"version\":4") {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(
            instance.log().contains("\"version\":4"),
            "{}",
            instance.log()
        );
    }
}

/// Lost answers to changes must not leave an instance unregistered.
#[tokio::test]
async fn lost_answers_are_survived() {
    let mut fleet = Fleet::start(2).await;
    fleet.platform.shared.store().fault = StoreFault::AnswersLost;
    fleet.instances[1].restart();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.platform.shared.store().fault = StoreFault::None;
    fleet.await_service().await;
}

/// An instance that cannot register must back off, since failed calls cost as much as others.
#[tokio::test]
async fn failed_registrations_are_rare() {
    const KIND: &str = "tamaracklb_platform_calls_total{kind=\"lease_grant\",succeeded=\"false\"} ";
    let mut fleet = Fleet::start(2).await;
    fleet.platform.shared.store().fault = StoreFault::Busy;
    fleet.instances[1].restart();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let metrics = fleet.instances[1].status("/metrics").await.1;
    let calls = metrics.lines().find_map(|line| line.strip_prefix(KIND));
    let calls: Option<u64> = calls.and_then(|count| count.trim().parse().ok());
    assert!(
        calls.is_some_and(|calls| (2..=9).contains(&calls)),
        "{calls:?}: {metrics}"
    );
    fleet.platform.shared.store().fault = StoreFault::None;
    fleet.await_service().await;
}
