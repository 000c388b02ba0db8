//! Checks that a withdrawn key stops working on open sessions, on daemons that cannot reach the
//! store, and on daemons that were frozen while it was withdrawn.

use std::cell::RefCell;

use tokio_postgres::error::SqlState;

use crate::support::bundle_text::BundleText;
use crate::support::bundle_text::SystemTeam;
use crate::support::group::sqlstate;
use crate::support::group::write;
use crate::support::running_system::RunningSystem;
use crate::support::system_builder::SystemBuilder;

fn team(id: &str) -> SystemTeam {
    SystemTeam {
        id: id.to_owned(),
        key: format!("{id}-key"),
        rate: 1000.0,
        burst: 1000.0,
    }
}

/// Returns the next bundle, in which the first team's key is replaced.
fn withdraw_first_key(system: &RunningSystem) -> BundleText {
    let mut bundle = system.bundle.next();
    bundle.teams[0].key = "a-new-key".to_owned();
    bundle
}

/// Guards against sessions that stay open after their key was withdrawn, and against ending
/// sessions of other teams.
#[tokio::test]
async fn withdrawal_ends_open_sessions() {
    let teams = vec![team("ikoyi-studio"), team("ibadan-press")];
    let system = SystemBuilder::new().teams(teams.clone()).start().await;
    let mut open = Vec::new();
    for daemon in 0..2 {
        open.push(system.connect_as(daemon, &teams[0]).await.unwrap());
    }
    let other_session = system.connect_as(0, &teams[1]).await.unwrap();
    let bundle = withdraw_first_key(&system);
    system.submit(&bundle).await.unwrap();
    for daemon in &system.daemons {
        daemon.wait_for_bundle(2).await;
    }
    for client in &open {
        system
            .wait_until("an open session ends", async || client.is_closed())
            .await;
    }
    for daemon in 0..2 {
        let error = system
            .connect_as(daemon, &teams[0])
            .await
            .expect_err("the key is withdrawn");
        assert_eq!(error.code(), Some(&SqlState::INVALID_PASSWORD));
        system
            .connect_as(daemon, &bundle.teams[0])
            .await
            .expect("the new key works");
    }
    write(&other_session, "neighbour", "1")
        .await
        .expect("the session of the other team still works");
}

/// Guards against a daemon that cannot reach the store and never receives a withdrawal.
#[tokio::test]
async fn withdrawal_reaches_daemon_without_store() {
    let system = SystemBuilder::new().daemon_without_store(1).start().await;
    let client = system.connect(1).await;
    system.submit(&withdraw_first_key(&system)).await.unwrap();
    system.daemons[1].wait_for_bundle(2).await;
    system
        .wait_until("an open session ends", async || client.is_closed())
        .await;
    assert!(system.try_connect(1).await.is_err());
}

/// Guards against a daemon that accepts a possibly withdrawn key while it reaches neither the store
/// nor a peer, and against one that does not recover.
#[tokio::test]
async fn isolated_daemon_refuses() {
    let system = SystemBuilder::new().daemon_without_store(1).start().await;
    system.daemons[0].process.signal("STOP");
    system
        .wait_until("the daemon is isolated", async || {
            system.daemons[1].status().await.isolated
        })
        .await;
    let client = system.connect(1).await;
    let error = write(&client, "while-isolated", "1")
        .await
        .expect_err("an isolated daemon refuses requests");
    assert_eq!(sqlstate(&error), "57P03");
    let detail = error
        .as_db_error()
        .and_then(|error| error.detail())
        .unwrap_or_default();
    assert!(detail.contains("not run"), "{detail}");
    assert!(!system.executed_keys().await.contains_key("while-isolated"));
    system.daemons[0].process.signal("CONT");
    system
        .wait_until("the daemon serves again", async || {
            !system.daemons[1].status().await.isolated
        })
        .await;
    let client = system.connect(1).await;
    // The stopped daemon's shares lapsed with their lease and are assigned again a moment later.
    system
        .wait_until("a write succeeds", async || {
            write(&client, "afterwards", "1").await.is_ok()
        })
        .await;
}

/// Guards against a daemon that resumes after a freeze and runs a request under its outdated
/// bundle, lease and evidence.
#[tokio::test]
async fn resumed_daemon_refuses_withdrawn_key() {
    let system = SystemBuilder::new().start().await;
    let client = system.connect(1).await;
    write(&client, "before", "1").await.unwrap();
    system.daemons[1].process.signal("STOP");
    system.submit(&withdraw_first_key(&system)).await.unwrap();
    system.daemons[0].wait_for_bundle(2).await;
    // Evidence is valid for 3 s; after a longer pause the daemon has none.
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    let late = tokio::spawn(async move { write(&client, "after", "1").await });
    system.daemons[1].process.signal("CONT");
    assert!(late.await.unwrap().is_err());
    assert!(!system.executed_keys().await.contains_key("after"));
    system.daemons[1].wait_for_bundle(2).await;
    assert!(system.try_connect(1).await.is_err());
}

/// Guards against a bundle that reverts because the store contains an older one.
#[tokio::test]
async fn bundle_never_reverts() {
    let system = SystemBuilder::new().daemons(3).start().await;
    let bundle = withdraw_first_key(&system);
    system.submit(&bundle).await.unwrap();
    for daemon in &system.daemons {
        daemon.wait_for_bundle(2).await;
    }
    // Writes the first bundle to the store again, as a restore from a backup would.
    system.submit(&system.bundle).await.unwrap();
    let mut third = bundle.next();
    third.teams.push(team("ibadan-press"));
    let newcomer = third.teams[1].clone();
    for daemon in 0..3 {
        assert!(
            system.try_connect(daemon).await.is_err(),
            "the withdrawn key works again"
        );
        assert_eq!(system.daemons[daemon].status().await.bundle.0, 2);
    }
    system.submit(&third).await.unwrap();
    for daemon in 0..3 {
        system.daemons[daemon].wait_for_bundle(3).await;
        let client = system
            .connect_as(daemon, &newcomer)
            .await
            .expect("the new team is known");
        // The rate of a new team is available once all holders of the old share table have the new
        // one.
        let refusal = RefCell::new(None);
        let served = system
            .reached(async || match client.simple_query("SELECT 1").await {
                Ok(_) => true,
                Err(error) => {
                    refusal.replace(Some(error));
                    false
                }
            })
            .await;
        assert!(served, "daemon {daemon}: {refusal:?}\n{}", system.logs());
    }
}
