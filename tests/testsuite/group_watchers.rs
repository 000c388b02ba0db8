//! The driver must carry out on real connections what the simulated controllers decide.

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
use crate::support::group::wait_for_copies;
use crate::support::group::write;

const CONFIRM_LIMIT: Duration = Duration::from_secs(3);

fn endpoint_id(index: usize) -> EndpointId {
    format!("endpoint-{index}").parse().unwrap()
}

fn instance_id(index: usize) -> InstanceId {
    format!("instance-{index}").parse().unwrap()
}

/// Three watchers that tell each other what they see, until the test ends.
fn start_watchers(group: &[EndpointHandle]) -> Vec<Arc<GroupWatcher>> {
    let ids: Vec<InstanceId> = (0..3).map(instance_id).collect();
    let watchers: Vec<_> = (0..3)
        .map(|index| Arc::new(new_watcher(group, &ids, index)))
        .collect();
    let ticking = watchers.clone();
    tokio::spawn(async move {
        loop {
            for (index, watcher) in ticking.iter().enumerate() {
                watcher.tick();
                let now = timers::now();
                let Some((primary, failing)) = watcher.primary_report(now) else {
                    continue;
                };
                for other in ticking.iter().filter(|other| !Arc::ptr_eq(other, watcher)) {
                    other.on_report(WatcherReport {
                        instance: instance_id(index),
                        primary: primary.clone(),
                        unreachable_for: failing,
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
        .map(|(place, handle)| WatchedEndpoint {
            member: GroupMember {
                endpoint: endpoint_id(place),
                zone: format!("zone-{place}").parse().unwrap(),
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
    eventually("a primary that all watchers know", || {
        let known = |watcher: &Arc<GroupWatcher>| watcher.primary().is_some_and(|p| accepted(&p));
        watchers.iter().all(known)
    })
    .await;
}

fn point_of(endpoint: &EndpointHandle) -> LogPoint {
    let report = endpoint.report();
    LogPoint::new(report.term, report.position)
}

fn index_of(watcher: &GroupWatcher) -> usize {
    let primary = watcher.primary().unwrap();
    (0..3).find(|&index| endpoint_id(index) == primary).unwrap()
}

// Guards against a driver that loses confirmations, floors or promotions on the way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_primary_is_replaced_and_keeps_confirmed_writes() {
    let group = start_group(3, EndpointConfig::default());
    wait_for_copies(&group, 1).await;
    let watchers = start_watchers(&group);
    wait_for_primary(&watchers, |primary| *primary == endpoint_id(0)).await;

    write(&connect(&group[0]).await, "folio", "kept")
        .await
        .unwrap();
    let point = point_of(&group[0]);
    let confirming = (0..20).map(|_| watchers[0].confirm(endpoint_id(0), point, CONFIRM_LIMIT));
    for result in futures_util::future::join_all(confirming).await {
        assert_eq!(result, Ok(()));
    }
    assert!(watchers[1].floor(CONFIRM_LIMIT).await.unwrap() >= point);

    let freeze = EndpointFaults {
        freeze: true,
        ..EndpointFaults::default()
    };
    group[0].set_faults(freeze);
    wait_for_primary(&watchers, |primary| *primary != endpoint_id(0)).await;
    let next = index_of(&watchers[1]);
    let client = connect(&group[next]).await;
    assert_eq!(read(&client, "folio").await.as_deref(), Some("kept"));
    write(&client, "folio", "new").await.unwrap();
    let point = point_of(&group[next]);
    let confirmed = watchers[2]
        .confirm(endpoint_id(next), point, CONFIRM_LIMIT)
        .await;
    assert_eq!(confirmed, Ok(()));
    assert!(watchers[0].floor(CONFIRM_LIMIT).await.unwrap() >= point);

    group[0].set_faults(EndpointFaults::default());
    eventually("the woken endpoint follows", || {
        point_of(&group[0]) >= point
    })
    .await;
    assert_eq!(group[0].report().role, "replica");
}

// Guards against acknowledging a write that only a cut-off primary holds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_off_primary_gets_no_confirmation() {
    let group = start_group(3, EndpointConfig::default());
    wait_for_copies(&group, 1).await;
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
        .confirm(endpoint_id(0), point, CONFIRM_LIMIT)
        .await;
    assert_eq!(result, Err(RequestRefusal::OutcomeUnknown));
    wait_for_primary(&watchers, |primary| *primary != endpoint_id(0)).await;
}

// Guards against promotions because of connections that went silent or an endpoint that is slow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_and_silent_primary_stays() {
    let group = start_group(3, EndpointConfig::default());
    wait_for_copies(&group, 1).await;
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

// Guards against counting a slow login as a connection that cannot be opened.
#[tokio::test]
async fn slow_login_is_waited_for() {
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
