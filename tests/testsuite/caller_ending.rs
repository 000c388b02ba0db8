//! Tests when callers' connections end, and that they release slots and endpoint connections.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::caller_fixture;
use crate::caller_fixture::CallerFixture;
use crate::caller_fixture::sqlstate;
use crate::raw_caller::RawCaller;

/// Waits until a client's connection is closed and returns how long that took.
async fn wait_closed(client: &tokio_postgres::Client) -> Duration {
    let start = Instant::now();
    while !client.is_closed() {
        assert!(
            start.elapsed() < Duration::from_secs(30),
            "connection is still open"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}

/// Withdrawing a key must close its open connections, whether idle, in a transaction or running a
/// statement.
#[tokio::test]
async fn withdrawn_key_ends_open_connections() {
    let fixture = CallerFixture::start().await;
    let idle = fixture.connect().await;
    let open = fixture.connect().await;
    open.batch_execute("BEGIN").await.expect("begin");
    let running = fixture.connect().await;
    let statement = tokio::spawn(async move {
        let error = running.batch_execute("INSERT stay silent").await;
        (
            sqlstate(&error.expect_err("interrupted statement")),
            running,
        )
    });
    while fixture.primary.statements().len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let start = Instant::now();
    fixture
        .state
        .change_bundle(|bundle| bundle.teams[0].keys.clear());
    wait_closed(&idle).await;
    wait_closed(&open).await;
    let (code, running) = statement.await.expect("task");
    assert_eq!(code, "40003");
    wait_closed(&running).await;
    assert!(start.elapsed() < Duration::from_secs(3));
    let error = caller_fixture::connect(&fixture.driver()).await;
    assert_eq!(sqlstate(&error.expect_err("withdrawn key")), "28P01");
}

/// A newer bundle that still contains the key must leave its connections open.
#[tokio::test]
async fn newer_bundle_keeps_connections() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    fixture.state.change_bundle(|_| {});
    tokio::time::sleep(Duration::from_millis(300)).await;
    client.batch_execute("SELECT 1").await.expect("read");
}

/// A stop must let open transactions finish and close idle connections at once.
#[tokio::test]
async fn stop_lets_transactions_end() {
    let mut fixture = CallerFixture::start_with(|config| {
        config.limits.drain_timeout = Duration::from_secs(20);
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

/// A transaction that its caller leaves open must not delay a stop beyond the drain timeout.
#[tokio::test]
async fn stop_ends_held_transactions() {
    let mut fixture = CallerFixture::start().await;
    let open = fixture.connect().await;
    open.batch_execute("BEGIN").await.expect("begin");
    fixture.handle.take().expect("handle").stop().await;
    wait_closed(&open).await;
    assert_eq!(fixture.state.held_permits.load(Ordering::SeqCst), 0);
}

/// Consecutive sessions must reuse one endpoint connection instead of opening one each.
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

/// A request whose key is withdrawn while it waits for a slot must not run.
#[tokio::test]
async fn withdrawn_key_is_noticed_in_the_queue() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    fixture
        .state
        .admissions_blocked
        .store(true, Ordering::SeqCst);
    let waiting = tokio::spawn(async move {
        let error = client.batch_execute("INSERT INTO t VALUES (1)").await;
        sqlstate(&error.expect_err("withdrawn key"))
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture
        .state
        .change_bundle(|bundle| bundle.teams[0].keys.clear());
    fixture
        .state
        .admissions_blocked
        .store(false, Ordering::SeqCst);
    assert_eq!(waiting.await.expect("task"), "28000");
    assert_eq!(fixture.primary.statements(), Vec::<String>::new());
}

/// A request must not wait for a slot beyond the queue timeout, and must not run after it.
#[tokio::test]
async fn queue_wait_is_bounded() {
    let fixture = CallerFixture::start_with(|config| {
        config.limits.queue_timeout = Duration::from_millis(100);
    })
    .await;
    let client = fixture.connect().await;
    fixture
        .state
        .admissions_blocked
        .store(true, Ordering::SeqCst);
    let error = client.batch_execute("INSERT INTO t VALUES (1)").await;
    assert_eq!(sqlstate(&error.expect_err("queue timeout")), "53300");
    fixture
        .state
        .admissions_blocked
        .store(false, Ordering::SeqCst);
    client
        .batch_execute("INSERT INTO t VALUES (2)")
        .await
        .expect("next request succeeds");
    assert_eq!(fixture.primary.statements(), ["INSERT INTO t VALUES (2)"]);
}

/// A caller that disconnects within a transaction must release its slot and endpoint connection.
#[tokio::test]
async fn leaving_caller_frees_its_transaction() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.batch_execute("BEGIN").await.expect("begin");
    drop(client);
    let handle = fixture.handle.as_ref().expect("handle");
    let released = async {
        while fixture.state.held_permits.load(Ordering::SeqCst) + handle.endpoint_connections() > 0
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), released)
        .await
        .expect("permit and endpoint connection are released");
}

/// A statement whose caller disconnects must be cancelled, so that it does not occupy the endpoint.
#[tokio::test]
async fn leaving_caller_cancels_its_statement() {
    let fixture = CallerFixture::start().await;
    let mut raw = RawCaller::start(&fixture).await;
    raw.send_query("SELECT 'stay silent'").await;
    while fixture.replica.statements().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(raw);
    let cancelled = async {
        while fixture.replica.cancels.load(Ordering::SeqCst) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), cancelled)
        .await
        .expect("statement is cancelled");
}
