//! Guards that connections end when they must, and only then.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::caller_fixture;
use crate::caller_fixture::CallerFixture;
use crate::caller_fixture::sqlstate;

/// Waits until a client's connection is closed.
async fn wait_closed(client: &tokio_postgres::Client) -> Duration {
    let start = Instant::now();
    while !client.is_closed() {
        assert!(start.elapsed() < Duration::from_secs(30), "still open");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}

/// A withdrawn key must end connections that are already open, idle or within a transaction.
#[tokio::test]
async fn withdrawn_key_ends_open_connections() {
    let fixture = CallerFixture::start().await;
    let idle = fixture.connect().await;
    let open = fixture.connect().await;
    open.batch_execute("BEGIN").await.expect("begin");
    let running = fixture.connect().await;
    let silent = tokio::spawn(async move {
        let error = running.batch_execute("INSERT stay silent").await;
        (sqlstate(&error.expect_err("no answer")), running)
    });
    while fixture.primary.texts().len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let start = Instant::now();
    fixture
        .state
        .change_bundle(|bundle| bundle.teams[0].keys.clear());
    wait_closed(&idle).await;
    wait_closed(&open).await;
    let (code, running) = silent.await.expect("task");
    assert_eq!(code, "40003");
    wait_closed(&running).await;
    assert!(start.elapsed() < Duration::from_secs(3));
    let error = caller_fixture::connect(&fixture.driver()).await;
    assert_eq!(sqlstate(&error.expect_err("withdrawn")), "28P01");
}

/// A newer bundle that keeps the key must not disturb its connections.
#[tokio::test]
async fn newer_bundle_keeps_connections() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    fixture.state.change_bundle(|_| {});
    tokio::time::sleep(Duration::from_millis(300)).await;
    client.batch_execute("SELECT 1").await.expect("read");
}

/// A stop must let an open transaction end, and end idle connections at once.
#[tokio::test]
async fn stop_lets_transactions_end() {
    let mut fixture = CallerFixture::start_with(|config| {
        config.limits.drain_time = Duration::from_secs(20);
    })
    .await;
    let idle = fixture.connect().await;
    let open = fixture.connect().await;
    open.batch_execute("BEGIN").await.expect("begin");
    let handle = fixture.handle.take().expect("handle");
    let stopping = tokio::spawn(handle.stop());
    wait_closed(&idle).await;
    open.batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("write");
    open.batch_execute("COMMIT").await.expect("commit");
    wait_closed(&open).await;
    stopping.await.expect("stopped");
}

/// A transaction that its caller holds open must not hold up a stop for ever.
#[tokio::test]
async fn stop_ends_held_transactions() {
    let mut fixture = CallerFixture::start().await;
    let open = fixture.connect().await;
    open.batch_execute("BEGIN").await.expect("begin");
    fixture.handle.take().expect("handle").stop().await;
    wait_closed(&open).await;
    assert_eq!(fixture.state.held.load(Ordering::SeqCst), 0);
}

/// Sessions must share endpoint connections instead of opening one each.
#[tokio::test]
async fn sessions_share_endpoint_connections() {
    let fixture = CallerFixture::start().await;
    for _ in 0..10 {
        let client = fixture.connect().await;
        client
            .batch_execute("INSERT INTO t VALUES (1)")
            .await
            .expect("write");
    }
    assert_eq!(fixture.primary.connections(), 1);
    let handle = fixture.handle.as_ref().expect("handle");
    assert_eq!(handle.endpoint_connections(), 1);
}
