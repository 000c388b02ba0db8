//! Guards against session state that is lost or leaks into other sessions.

use std::sync::atomic::Ordering;

use tamaracklb::connection::wire_frame::WireFrame;
use tamaracklb::request::ports::RequestClass;
use tamaracklb::version::units::StalenessLimit;

use crate::caller_fixture::CallerFixture;
use crate::caller_fixture::sqlstate;
use crate::raw_caller::RawCaller;

/// A setting must be applied to every connection that the session uses, and to no other session.
#[tokio::test]
async fn settings_are_replayed() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client
        .batch_execute("SET search_path = a")
        .await
        .expect("set");
    client.batch_execute("SELECT 1").await.expect("read");
    assert_eq!(
        fixture.replica.statements(),
        ["SET search_path = a", "SELECT 1"]
    );
    let other = fixture.connect().await;
    other.batch_execute("SELECT 2").await.expect("read");
    let texts = fixture.replica.statements();
    assert_eq!(texts[2..], ["RESET ALL", "SELECT 2"]);
}

/// A setting made in a transaction that was rolled back must not be replayed.
#[tokio::test]
async fn rolled_back_settings_are_not_replayed() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    for statement in ["BEGIN", "SET search_path = a", "ROLLBACK", "SELECT 1"] {
        client.batch_execute(statement).await.expect("statement");
    }
    assert_eq!(fixture.replica.statements(), ["SELECT 1"]);
}

/// A session with state that exists only at the endpoint must stay on its connection, but must
/// hold no slot between requests.
#[tokio::test]
async fn session_state_pins_the_connection() {
    let fixture = CallerFixture::start().await;
    let pinned = fixture.connect().await;
    let other = fixture.connect().await;
    pinned
        .batch_execute("CREATE TEMP TABLE x (y int)")
        .await
        .expect("create");
    assert_eq!(fixture.state.held_permits.load(Ordering::SeqCst), 0);
    other
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("write");
    pinned.batch_execute("SELECT * FROM x").await.expect("read");
    let received = fixture.primary.received.lock().expect("lock").clone();
    let connection_of = |part: &str| {
        received
            .iter()
            .find(|(_, text)| text.contains(part))
            .map(|(number, _)| *number)
    };
    assert_eq!(connection_of("FROM x"), connection_of("TEMP"));
    assert_ne!(connection_of("INSERT"), connection_of("TEMP"));
}

/// The connection of a pinned session must be closed when the session ends, not reused by others.
#[tokio::test]
async fn pinned_connection_is_closed_with_its_session() {
    let fixture = CallerFixture::start().await;
    let pinned = fixture.connect().await;
    pinned
        .batch_execute("SELECT pg_advisory_lock(1)")
        .await
        .expect("lock");
    drop(pinned);
    let handle = fixture.handle.as_ref().expect("handle");
    while handle.endpoint_connections() > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Statements that would change a shared connection for others must be refused.
#[tokio::test]
async fn unsupported_statements_are_refused() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    for statement in [
        "SET ROLE x",
        "SET SESSION AUTHORIZATION x",
        "PREPARE TRANSACTION 'x'",
    ] {
        let error = client.batch_execute(statement).await.expect_err("refused");
        assert_eq!(sqlstate(&error), "0A000");
        let error = client.execute(statement, &[]).await.expect_err("refused");
        assert_eq!(sqlstate(&error), "0A000");
    }
    assert_eq!(fixture.primary.statements(), Vec::<String>::new());
    client
        .batch_execute("SELECT 1")
        .await
        .expect("next request succeeds");
}

/// Stale reads must be enabled by the session, and must end with its first write.
#[tokio::test]
async fn stale_reads_end_with_a_write() {
    let fixture = CallerFixture::start().await;
    fixture.state.change_bundle(|bundle| {
        bundle.services[0].staleness_limit_ms = Some(StalenessLimit(500));
    });
    let client = fixture.connect().await;
    client
        .batch_execute("SET tamaracklb.staleness = 'on'")
        .await
        .expect("set");
    for statement in ["SELECT 1", "INSERT INTO t VALUES (1)", "SELECT 2"] {
        client.batch_execute(statement).await.expect("statement");
    }
    assert_eq!(
        fixture.state.classes(),
        [
            RequestClass::StaleRead,
            RequestClass::Write,
            RequestClass::Read
        ]
    );
}

/// A service without a staleness limit must not serve stale reads, even if a session enables them.
#[tokio::test]
async fn stale_reads_need_a_limit() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    for statement in ["SET tamaracklb.staleness = 'on'", "SELECT 1"] {
        client.batch_execute(statement).await.expect("statement");
    }
    assert_eq!(fixture.state.classes(), [RequestClass::Read]);
}

/// Preparing many names must not fail on a duplicate, and a deallocated name must be unknown.
#[tokio::test]
async fn prepared_names_are_checked() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    for _ in 0..600 {
        client.prepare("SELECT 1").await.expect("prepare");
    }
    let statement = client.prepare("SELECT 2").await.expect("prepare");
    client
        .batch_execute("DEALLOCATE ALL")
        .await
        .expect("deallocate");
    let error = client
        .query(&statement, &[])
        .await
        .expect_err("deallocated statement");
    assert_eq!(sqlstate(&error), "26000");
}

/// Flush must deliver each answer without Sync, including answers that the instance generates.
#[tokio::test]
async fn flushed_answers_are_not_held_back() {
    let fixture = CallerFixture::start().await;
    let mut raw = RawCaller::start(&fixture).await;
    for _ in 0..2 {
        raw.send(WireFrame::new(b'P', b"\0SELECT 1\0\0\0").bytes())
            .await;
        raw.send(WireFrame::new(b'H', b"").bytes()).await;
        raw.expect_kind(b'1').await;
        raw.send(WireFrame::new(b'B', b"\0\0\0\0\0\0\0\0").bytes())
            .await;
        raw.send(WireFrame::new(b'E', b"\0\0\0\0\0").bytes()).await;
        raw.send(WireFrame::new(b'H', b"").bytes()).await;
        raw.expect_kind(b'2').await;
        raw.expect_kind(b'D').await;
        raw.send(WireFrame::new(b'S', b"").bytes()).await;
        raw.expect_kind(b'Z').await;
    }
}
