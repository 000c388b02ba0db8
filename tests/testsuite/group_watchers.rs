//! Checks that group watchers execute the decisions of their controllers over real connections.

use std::sync::Arc;
use std::time::Duration;

use standins::endpoint::EndpointConfig;
use standins::endpoint::EndpointFaults;
use standins::endpoint::EndpointHandle;
use tamaracklb::process::endpoint_control::ControlTarget;
use tamaracklb::process::endpoint_control::EndpointControl;
use tamaracklb::process::failover::failover_limits::FailoverLimits;
use tamaracklb::process::failover::failure_evidence::WatcherReport;
use tamaracklb::process::failover::group_controller::WatchSettings;
use tamaracklb::process::failover::group_view::GroupMember;
use tamaracklb::process::group_watcher::GroupWatcher;
use tamaracklb::process::group_watcher::WATCHER_TICK_PERIOD;
use tamaracklb::process::group_watcher::WatchedEndpoint;
use tamaracklb::process::timers;
use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::refusal::RequestRefusal;
use tamaracklb::version::ids::EndpointId;
use tamaracklb::version::ids::InstanceId;
use tamaracklb::version::secret_text::SecretText;

use crate::support::group::connect;
use crate::support::group::eventually;
use crate::support::group::read;
use crate::support::group::start_group;
use crate::support::group::wait_for_replicas;
use crate::support::group::write;

const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);

fn endpoint_id(index: usize) -> EndpointId {
    format!("endpoint-{index}").parse().unwrap()
}

fn instance_id(index: usize) -> InstanceId {
    format!("instance-{index}").parse().unwrap()
}

/// Starts three watchers that send each other their reports until the test ends.
fn start_watchers(group: &[EndpointHandle]) -> Vec<Arc<GroupWatcher>> {
    let ids: Vec<InstanceId> = (0..3).map(instance_id).collect();
    let watchers: Vec<_> = (0..3)
        .map(|index| Arc::new(new_watcher(group, &ids, index)))
        .collect();
    let ticked = watchers.clone();
    tokio::spawn(async move {
        loop {
            for (index, watcher) in ticked.iter().enumerate() {
                watcher.tick();
                let now = timers::now();
                let Some((primary, unreachable_time)) = watcher.primary_report(now) else {
                    continue;
                };
                for other in ticked.iter().filter(|other| !Arc::ptr_eq(other, watcher)) {
                    other.on_report(WatcherReport {
                        instance: instance_id(index),
                        primary: primary.clone(),
                        unreachable_for: unreachable_time,
                        received_at: now,
                    });
                }
            }
            tokio::time::sleep(WATCHER_TICK_PERIOD).await;
        }
    });
    watchers
}

fn new_control(endpoint: &EndpointHandle) -> EndpointControl {
    EndpointControl::new(ControlTarget {
        address: endpoint.address(),
        database: "kv".to_owned(),
        user: "instance".to_owned(),
        password: SecretText::new("instance-password".to_owned()),
    })
}

fn new_watcher(group: &[EndpointHandle], ids: &[InstanceId], index: usize) -> GroupWatcher {
    let endpoints = group
        .iter()
        .enumerate()
        .map(|(endpoint_index, handle)| WatchedEndpoint {
            member: GroupMember {
                endpoint: endpoint_id(endpoint_index),
                zone: format!("zone-{endpoint_index}").parse().unwrap(),
                leaving: false,
            },
            control: Arc::new(new_control(handle)),
        });
    let settings = WatchSettings {
        instance: ids[index].clone(),
        watchers: ids.to_vec(),
        proposes_first: index == 0,
    };
    let limits = FailoverLimits::default();
    let seed = index as u64;
    GroupWatcher::new(
        endpoints.collect(),
        settings,
        limits,
        seed,
        Box::new(|_| {}),
    )
}

async fn wait_for_primary(watchers: &[Arc<GroupWatcher>], accepted: impl Fn(&EndpointId) -> bool) {
    eventually("all watchers agree on the expected primary", || {
        let known = |watcher: &Arc<GroupWatcher>| watcher.primary().is_some_and(|p| accepted(&p));
        watchers.iter().all(known)
    })
    .await;
}

fn point_of(endpoint: &EndpointHandle) -> LogPoint {
    let report = endpoint.report();
    LogPoint::new(report.term, report.position)
}

fn primary_index(watcher: &GroupWatcher) -> usize {
    let primary = watcher.primary().unwrap();
    (0..3).find(|&index| endpoint_id(index) == primary).unwrap()
}

// Guards against a watcher that loses confirmations, floors or promotions between its controller and the endpoints.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_primary_is_replaced_and_keeps_confirmed_writes() {
    let group = start_group(3, EndpointConfig::default());
    wait_for_replicas(&group, 1).await;
    let watchers = start_watchers(&group);
    wait_for_primary(&watchers, |primary| *primary == endpoint_id(0)).await;

    write(&connect(&group[0]).await, "folio", "kept")
        .await
        .unwrap();
    let point = point_of(&group[0]);
    let confirming = (0..20).map(|_| watchers[0].confirm(endpoint_id(0), point, CONFIRM_TIMEOUT));
    for result in futures_util::future::join_all(confirming).await {
        assert_eq!(result, Ok(()));
    }
    assert!(watchers[1].floor(CONFIRM_TIMEOUT).await.unwrap() >= point);

    let freeze = EndpointFaults {
        freeze: true,
        ..EndpointFaults::default()
    };
    group[0].set_faults(freeze);
    wait_for_primary(&watchers, |primary| *primary != endpoint_id(0)).await;
    let new_primary = primary_index(&watchers[1]);
    let client = connect(&group[new_primary]).await;
    assert_eq!(read(&client, "folio").await.as_deref(), Some("kept"));
    write(&client, "folio", "new").await.unwrap();
    let point = point_of(&group[new_primary]);
    let confirmed = watchers[2]
        .confirm(endpoint_id(new_primary), point, CONFIRM_TIMEOUT)
        .await;
    assert_eq!(confirmed, Ok(()));
    assert!(watchers[0].floor(CONFIRM_TIMEOUT).await.unwrap() >= point);

    group[0].set_faults(EndpointFaults::default());
    eventually("the resumed endpoint follows the new primary", || {
        point_of(&group[0]) >= point
    })
    .await;
    assert_eq!(group[0].report().role, "replica");
}

// Guards against acknowledging a write that is only in the log of a primary cut off from its replicas.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_primary_gets_no_confirmation() {
    let group = start_group(3, EndpointConfig::default());
    wait_for_replicas(&group, 1).await;
    let watchers = start_watchers(&group);
    wait_for_primary(&watchers, |primary| *primary == endpoint_id(0)).await;

    let client = connect(&group[0]).await;
    let cut = EndpointFaults {
        cut_from_peers: true,
        cut_to_peers: true,
        ..EndpointFaults::default()
    };
    group[0].set_faults(cut);
    write(&client, "folio", "unconfirmed").await.unwrap();
    let point = point_of(&group[0]);
    let result = watchers[0]
        .confirm(endpoint_id(0), point, CONFIRM_TIMEOUT)
        .await;
    assert_eq!(result, Err(RequestRefusal::OutcomeUnknown));
    wait_for_primary(&watchers, |primary| *primary != endpoint_id(0)).await;
}

// Guards against a promotion because existing connections went silent or the primary is slow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_and_silent_primary_stays() {
    let group = start_group(3, EndpointConfig::default());
    wait_for_replicas(&group, 1).await;
    let watchers = start_watchers(&group);
    wait_for_primary(&watchers, |primary| *primary == endpoint_id(0)).await;
    let slow = EndpointFaults {
        silence_existing: true,
        slow_ms: 700,
        ..EndpointFaults::default()
    };
    group[0].set_faults(slow);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(
        group
            .iter()
            .all(|endpoint| endpoint.report().fenced_term == 0)
    );
}

// Guards against treating a login that takes longer than the status timeout as a failure to connect.
#[tokio::test]
async fn slow_login_is_no_connect_failure() {
    let config = EndpointConfig {
        primary: true,
        connect_ms: 400,
        ..EndpointConfig::default()
    };
    let endpoint = standins::endpoint::start(config).unwrap();
    let control = new_control(&endpoint);
    let status = control.status(Duration::from_millis(200)).await.unwrap();
    assert_eq!(status.point, LogPoint::new(1, 1));
}
