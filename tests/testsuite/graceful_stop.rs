//! Checks that a planned stop interrupts nothing, and that a crash leaves no partial transaction.

use std::collections::BTreeSet;

use crate::support::group::read;
use crate::support::group::write;
use crate::support::system_builder::SystemBuilder;

/// Guards against a drain that interrupts an open transaction.
#[tokio::test]
async fn drain_waits_for_transactions() {
    let mut system = SystemBuilder::new().start().await;
    let client = system.connect(0).await;
    client.batch_execute("BEGIN").await.unwrap();
    write(&client, "in-drain", "1").await.unwrap();
    system.daemons[0].process.signal("TERM");
    system
        .wait_until("the daemon accepts no new sessions", async || {
            system.try_connect(0).await.is_err()
        })
        .await;
    let late = write(&client, "in-drain-too", "1").await;
    late.unwrap_or_else(|error| {
        panic!(
            "{error:?}
{}",
            system.logs()
        )
    });
    client
        .batch_execute("COMMIT")
        .await
        .expect("the transaction commits");
    let mut ended = None;
    for _ in 0..500 {
        ended = system.daemons[0].process.ended();
        if ended.is_some() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert!(
        ended.is_some_and(|status| status.success()),
        "{}",
        system.logs()
    );
    let other = system.connect(1).await;
    assert_eq!(read(&other, "in-drain").await.as_deref(), Some("1"));
    assert_eq!(read(&other, "in-drain-too").await.as_deref(), Some("1"));
}

/// Guards against writes that are interrupted, run twice or reported with a wrong outcome while a
/// daemon drains.
#[tokio::test]
async fn drain_interrupts_no_request() {
    let system = SystemBuilder::new().start().await;
    let mut acknowledged = BTreeSet::new();
    let mut client = Some(system.connect(0).await);
    for number in 0..400 {
        if number == 100 {
            system.daemons[0].process.signal("TERM");
        }
        let key = format!("k{number}");
        if client.as_ref().is_none_or(|client| client.is_closed()) {
            // Connects to the other instance, as a load balancer does once this one closes its
            // sessions.
            client = Some(system.connect(1).await);
        }
        match write(client.as_ref().unwrap(), &key, "1").await {
            Ok(_) => {
                acknowledged.insert(key);
            }
            Err(error) => {
                let detail = error.as_db_error().and_then(|error| error.detail());
                let refused = detail.is_some_and(|detail| detail.contains("not run"));
                // On a session that the daemon closed while it was idle, the write gets no answer.
                assert!(refused || error.is_closed(), "{error:?}\n{}", system.logs());
                client = None;
            }
        }
    }
    let executed = system.executed_keys().await;
    assert!(executed.values().all(|&count| count == 1), "{executed:?}");
    let executed: BTreeSet<String> = executed.into_keys().collect();
    assert_eq!(executed, acknowledged);
}

/// Guards against a partial transaction that is stored after its daemon died.
#[tokio::test]
async fn crash_leaves_nothing_behind() {
    let mut system = SystemBuilder::new().start().await;
    let client = system.connect(0).await;
    write(&client, "whole", "1").await.unwrap();
    client.batch_execute("BEGIN").await.unwrap();
    write(&client, "half", "1").await.unwrap();
    system.daemons[0].process.kill();
    let other = system.connect(1).await;
    assert_eq!(read(&other, "whole").await.as_deref(), Some("1"));
    assert_eq!(read(&other, "half").await, None);
    // The dead daemon's slot on the primary must become free.
    for number in 0..20 {
        write(&other, &format!("next-{number}"), "1").await.unwrap();
    }
    assert!(!system.executed_keys().await.contains_key("half"));
}

/// Guards against new work on an endpoint that the bundle marks as leaving.
#[tokio::test]
async fn leaving_endpoint_gets_no_work() {
    let system = SystemBuilder::new().start().await;
    let client = system.connect(0).await;
    write(&client, "a", "1").await.unwrap();
    let mut bundle = system.bundle.next();
    bundle.endpoints[1].leaving = true;
    system.submit(&bundle).await.unwrap();
    for daemon in &system.daemons {
        daemon.wait_for_bundle(2).await;
    }
    let before = system.endpoints[1].counters().await.statements;
    for daemon in 0..2 {
        let client = system.connect(daemon).await;
        for _ in 0..50 {
            assert_eq!(read(&client, "a").await.as_deref(), Some("1"));
        }
    }
    assert_eq!(system.endpoints[1].counters().await.statements, before);
}
