//! Checks what the endpoint adapter reports, on which failover decisions depend: a connection
//! without answers and an endpoint that accepts no connections must be distinguished.

use std::time::Duration;

use standins::endpoint::EndpointConfig;
use standins::endpoint::EndpointFaults;
use standins::endpoint::EndpointHandle;
use tamaracklb::process::control_error::ControlError;
use tamaracklb::process::endpoint_control::ControlTarget;
use tamaracklb::process::endpoint_control::EndpointControl;
use tamaracklb::process::endpoint_status::EndpointRole;
use tamaracklb::process::endpoint_status::EndpointStatus;
use tamaracklb::process::failover::call_failure::CallFailure;
use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::log_point::LogTerm;
use tamaracklb::version::secret_text::SecretText;

use crate::support::group::connect;
use crate::support::group::start_group;
use crate::support::group::wait_for_replicas;
use crate::support::group::write;

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

fn control(endpoint: &EndpointHandle) -> EndpointControl {
    EndpointControl::new(ControlTarget {
        address: endpoint.address(),
        database: "kv".to_owned(),
        user: "instance".to_owned(),
        password: SecretText::new("instance-password".to_owned()),
    })
}

/// Guards against columns that are read in the wrong order or dropped.
#[tokio::test]
async fn status_is_what_the_endpoint_reports() {
    let group = start_group(2, EndpointConfig::default());
    wait_for_replicas(&group, 1).await;
    let status = control(&group[0]).status(TIMEOUT).await.unwrap();
    assert_eq!(status.role, EndpointRole::Primary);
    assert_eq!(status.point, LogPoint::new(1, 1));
    assert_eq!(status.upstream_silence, None);
    let proposer = "it's me";
    let replica = control(&group[1]);
    let status = replica.fence(LogTerm(7), proposer, TIMEOUT).await.unwrap();
    assert_eq!(status.role, EndpointRole::Replica);
    assert_eq!(status.fenced_term, LogTerm(7));
    assert_eq!(status.fenced_by, proposer);
    assert!(status.upstream_silence.is_some());
    let status = replica
        .promote(LogTerm(7), proposer, TIMEOUT)
        .await
        .unwrap();
    assert_eq!(status.role, EndpointRole::Primary);
    assert_eq!(status.point, LogPoint::new(7, 2));
    assert_eq!(status.start.0, 2);
}

/// Guards against a wait that delays status calls, or that ends before the endpoint has the point.
#[tokio::test]
async fn waits_do_not_hold_up_status() {
    let group = start_group(2, EndpointConfig::default());
    wait_for_replicas(&group, 1).await;
    let replica = std::sync::Arc::new(control(&group[1]));
    let waiter = std::sync::Arc::clone(&replica);
    let waiting = tokio::spawn(async move {
        let point = LogPoint::new(1, 2);
        waiter.await_point(point, TIMEOUT, TIMEOUT).await
    });
    let status = replica.status(TIMEOUT).await.unwrap();
    assert_eq!(status.point, LogPoint::new(1, 1));
    let client = connect(&group[0]).await;
    write(&client, "a", "1").await.unwrap();
    let status = waiting.await.unwrap().unwrap();
    assert_eq!(status.point, LogPoint::new(1, 2));
    let late = replica
        .await_point(LogPoint::new(1, 3), Duration::from_millis(1), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(late.point, LogPoint::new(1, 2));
}

/// Guards against evidence of the wrong kind: a refused connection, a connection timeout and a
/// missing answer are different errors.
#[tokio::test]
async fn failures_are_distinguished() {
    let group = start_group(1, EndpointConfig::default());
    let endpoint = &group[0];
    let adapter = control(endpoint);
    adapter.status(TIMEOUT).await.unwrap();

    endpoint.set_faults(EndpointFaults {
        silence_existing: true,
        ..EndpointFaults::default()
    });
    let error = adapter.status(SHORT_TIMEOUT).await.unwrap_err();
    assert_eq!(error, ControlError::NoAnswer);
    assert_eq!(error.call_failure(), CallFailure::NoAnswer);
    adapter.probe(TIMEOUT).await.unwrap();
    adapter.status(TIMEOUT).await.unwrap();

    endpoint.set_faults(EndpointFaults {
        freeze: true,
        ..EndpointFaults::default()
    });
    let error = adapter.status(SHORT_TIMEOUT).await.unwrap_err();
    assert_eq!(error, ControlError::NoAnswer);
    let error = adapter.status(SHORT_TIMEOUT).await.unwrap_err();
    assert_eq!(error, ControlError::ConnectTimeout);
    assert_eq!(error.call_failure(), CallFailure::ConnectFailed);

    endpoint.set_faults(EndpointFaults {
        refuse_connections: true,
        ..EndpointFaults::default()
    });
    // A connection opened before the port closes would stay in use, so wait until it is closed.
    while adapter.probe(TIMEOUT).await != Err(ControlError::ConnectRefused) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    endpoint.close_connections();
    wait_for_status(&adapter, |status| {
        status == &Err(ControlError::ConnectRefused)
    })
    .await;
    endpoint.set_faults(EndpointFaults::default());
    wait_for_status(&adapter, Result::is_ok).await;
}

type StatusResult = Result<EndpointStatus, ControlError>;

/// Polls the status until it is as expected, since the port opens and closes in the background.
async fn wait_for_status(adapter: &EndpointControl, expected: impl Fn(&StatusResult) -> bool) {
    for _ in 0..1000 {
        if expected(&adapter.status(TIMEOUT).await) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the endpoint did not reach the expected status");
}

/// Guards against reporting a failure when the endpoint has closed an idle connection.
#[tokio::test]
async fn closed_idle_connection_is_replaced() {
    let group = start_group(1, EndpointConfig::default());
    let adapter = control(&group[0]);
    for _ in 0..20 {
        adapter.status(TIMEOUT).await.unwrap();
        group[0].close_connections();
    }
}

/// Guards against reporting an endpoint that refuses a session, such as a full one, as unreachable.
#[tokio::test]
async fn refusals_carry_their_code() {
    let config = EndpointConfig {
        connections: 1,
        ..EndpointConfig::default()
    };
    let group = start_group(1, config);
    let _occupied = connect(&group[0]).await;
    let error = control(&group[0]).status(TIMEOUT).await.unwrap_err();
    let full = ControlError::Refused {
        sqlstate: "53300".to_owned(),
    };
    assert_eq!(error, full);
    assert_eq!(error.call_failure(), CallFailure::Refused);
}
