//! Runs the programs as separate processes that only use their published protocols.

use std::time::Duration;

use standins::endpoint::EndpointFaults;
use standins::store::StoreFaults;
use standins::store::StoreOutage;

use crate::support::bundle_text::SystemTeam;
use crate::support::group::read;
use crate::support::group::write;
use crate::support::system_builder::SystemBuilder;

const ATTEMPTS: usize = 300;
const PACED_REQUESTS: usize = 100;
/// Number of requests in a minute at one request per `PAUSE`.
const MINUTE_REQUESTS: usize = 600;
const PAUSE: Duration = Duration::from_millis(100);

/// Guards against a session that does not see an earlier write through another daemon, and against
/// sending a caller's key to an endpoint.
#[tokio::test]
async fn daemons_share_a_group() {
    let team = |id: &str| SystemTeam {
        id: id.to_owned(),
        key: format!("{id}-key"),
        rate: 5000.0,
        burst: 5000.0,
    };
    let teams = vec![team("ikoyi-studio"), team("ibadan-press")];
    let system = SystemBuilder::new().teams(teams).start().await;
    let first = system.connect(0).await;
    write(&first, "a", "1").await.unwrap();
    let second = system.connect(1).await;
    assert_eq!(read(&second, "a").await.as_deref(), Some("1"));
    let executed = system.endpoints[0].executed().await;
    assert_eq!(executed.len(), 1);
    for endpoint in &system.endpoints {
        for credential in endpoint.received_credentials().await {
            assert_eq!(credential.user, "instance");
            assert_ne!(credential.password, system.teams[0].key);
        }
    }
}

/// Guards against refusing a team with a low rate directly after the fleet has started.
#[tokio::test]
async fn low_rate_is_served_from_the_start() {
    let team = SystemTeam {
        id: "ikoyi-studio".to_owned(),
        key: "ikoyi-key".to_owned(),
        rate: 100.0,
        burst: 100.0,
    };
    let system = SystemBuilder::new().teams(vec![team]).start().await;
    let first = system.connect(0).await;
    write(&first, "a", "1").await.unwrap();
    let second = system.connect(1).await;
    assert_eq!(read(&second, "a").await.as_deref(), Some("1"));
}

/// Guards against losing acknowledged writes when the primary's process dies, and against a group
/// that accepts no writes afterwards.
#[tokio::test]
async fn killed_primary_is_replaced() {
    let mut system = SystemBuilder::new().start().await;
    let client = system.connect(0).await;
    for index in 0..10 {
        write(&client, &format!("before-{index}"), "1")
            .await
            .unwrap();
    }
    system.endpoints[0].process.kill();
    let mut written = false;
    for _ in 0..ATTEMPTS {
        // An unknown outcome ends the session, so each attempt opens a new one.
        if let Ok(client) = system.try_connect(1).await {
            written = write(&client, "after", "1").await.is_ok();
        }
        if written {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert!(written, "{}", system.logs());
    let client = system.connect(0).await;
    for key in (0..10).map(|index| format!("before-{index}")) {
        assert_eq!(read(&client, &key).await.as_deref(), Some("1"), "{key}");
    }
    let mut primaries = 0;
    for endpoint in &system.endpoints[1..] {
        let report = endpoint.report().await;
        assert!(report.fenced_term >= 2, "{report:?}");
        primaries += usize::from(report.role == "primary");
    }
    assert_eq!(primaries, 1);
}

/// Guards against daemons that stop serving during an outage of the store or after their leases
/// lapsed.
#[tokio::test]
async fn store_outage_does_not_stop_service() {
    let system = SystemBuilder::new().start().await;
    let before = system.store.calls().await;
    assert!(before.total() > 0);
    system.store.expire_leases().await;
    system
        .store
        .set_faults(StoreFaults {
            outage: StoreOutage::Silent,
            ..StoreFaults::default()
        })
        .await;
    for round in 0..10 {
        for daemon in 0..2 {
            let client = system.connect(daemon).await;
            write(&client, "a", &round.to_string()).await.unwrap();
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Guards against a daemon that fails or hangs when it is stopped with SIGTERM.
#[tokio::test]
async fn terminated_daemon_ends_cleanly() {
    let mut system = SystemBuilder::new().start().await;
    system.daemons[0].process.signal("TERM");
    let mut ended = None;
    for _ in 0..ATTEMPTS {
        ended = system.daemons[0].process.ended();
        if ended.is_some() {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    let status = ended.unwrap_or_else(|| panic!("{}", system.logs()));
    assert!(status.success(), "{status}\n{}", system.logs());
    system.connect(1).await;
}

/// Guards against refusing requests within their team's rate after an instance stopped, because no
/// other instance took over its share: under 1 % of the first minute's requests may be refused.
#[tokio::test]
async fn rate_follows_a_stopped_instance() {
    let system = SystemBuilder::new().start().await;
    let client = system.connect(0).await;
    write(&client, "a", "1").await.unwrap();
    drop(client);
    system.daemons[0].process.signal("TERM");
    let client = system.connect(1).await;
    let mut refused = 0;
    for _ in 0..PACED_REQUESTS {
        refused += usize::from(write(&client, "a", "2").await.is_err());
        tokio::time::sleep(PAUSE).await;
    }
    let text = format!("{refused} refused\n{}", system.logs());
    assert!(refused * 100 < MINUTE_REQUESTS, "{text}");
}

/// Checks that the stand-ins' admin ports offer what their in-process handles do.
#[tokio::test]
async fn stand_ins_are_controlled_over_admin_ports() {
    let system = SystemBuilder::new()
        .endpoints(2)
        .endpoint(|config| config.connect_ms = 0)
        .daemons(0)
        .start()
        .await;
    let [primary, replica] = &system.endpoints[..] else {
        panic!("the system has two endpoints");
    };
    assert_eq!(primary.report().await.role, "primary");
    assert_eq!(replica.report().await.role, "replica");
    assert_eq!(primary.log().await.len(), 1);
    primary
        .set_faults(EndpointFaults {
            refuse_connections: true,
            ..EndpointFaults::default()
        })
        .await;
    while tokio::net::TcpStream::connect(primary.address)
        .await
        .is_ok()
    {
        tokio::time::sleep(PAUSE).await;
    }
    primary.close_connections().await;
    assert_eq!(primary.counters().await.running, 0);
    replica.process.signal("STOP");
    replica.process.signal("CONT");
    assert_eq!(replica.report().await.term, 1);
    system.store.process.signal("CONT");
}
