//! Guards what callers are told when endpoints fail.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tamaracklb::connection::listener_config::ListenerConfig;
use tamaracklb::request::ports::RequestClass;
use tamaracklb::request::refusal::RequestRefusal;

use crate::caller_fixture::CallerFixture;
use crate::caller_fixture::sqlstate;
use crate::raw_caller::RawCaller;

fn short_limits(config: &mut ListenerConfig) {
    config.limits.answer_timeout = Duration::from_millis(300);
    config.limits.transaction_timeout = Duration::from_secs(2);
}

/// A write whose connection breaks may have run, so it must be unknown and must not be repeated.
#[tokio::test]
async fn broken_write_is_unknown() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let error = client
        .batch_execute("INSERT die now")
        .await
        .expect_err("broken");
    assert_eq!(sqlstate(&error), "40003");
    assert_eq!(fixture.primary.texts(), ["INSERT die now"]);
    client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("next request");
}

/// A read that nothing was passed on of must be repeated elsewhere, without a second charge.
#[tokio::test]
async fn broken_read_is_repeated() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let error = client
        .batch_execute("SELECT 'die now'")
        .await
        .expect_err("broken");
    // It ran at both endpoints, so no refusal may say that it did not run.
    assert_eq!(sqlstate(&error), "40003");
    assert_eq!(fixture.replica.texts().len(), 1);
    assert_eq!(fixture.primary.texts().len(), 1);
    let admitted = fixture.state.admitted.lock().expect("lock");
    assert_eq!(admitted[1].excluded[0].as_str(), "replica");
    assert!(!admitted[0].charged && admitted[1].charged);
}

/// A read that calls an unknown function may have an effect, so it must not be repeated.
#[tokio::test]
async fn broken_function_call_is_unknown() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let error = client
        .batch_execute("SELECT f('die now')")
        .await
        .expect_err("broken");
    assert_eq!(sqlstate(&error), "40003");
    assert_eq!(fixture.state.classes(), [RequestClass::Read]);
}

/// A statement that may run at most once must not be sent twice, even where that looks safe.
#[tokio::test]
async fn once_only_statement_is_never_repeated() {
    let fixture = CallerFixture::start().await;
    fixture.state.change_bundle(|bundle| {
        bundle.services[0].once_only = vec!["select 'die".to_owned(), "insert into a".to_owned()];
    });
    let client = fixture.connect().await;
    for statement in [
        "SELECT 'die now'",
        "/* x */ INSERT INTO a VALUES ('die now')",
    ] {
        let error = client.batch_execute(statement).await.expect_err("broken");
        assert_eq!(sqlstate(&error), "40003");
    }
    assert_eq!(
        fixture.replica.texts().len() + fixture.primary.texts().len(),
        2
    );
}

/// A replica's refusal to write must move the request to the primary before the caller sees it.
#[tokio::test]
async fn writing_read_moves_to_the_primary() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let rows = client
        .query("SELECT writing_function()", &[])
        .await
        .expect("read");
    assert_eq!(rows.len(), 1);
    client
        .batch_execute("SELECT writing_function()")
        .await
        .expect("read");
    assert_eq!(fixture.state.confirmed.lock().expect("lock").len(), 2);
}

/// A silent endpoint must not hold a caller for ever, and the write is unknown.
#[tokio::test]
async fn silent_endpoint_meets_a_deadline() {
    let fixture = CallerFixture::start_with(short_limits).await;
    let client = fixture.connect().await;
    let error = client
        .batch_execute("INSERT stay silent")
        .await
        .expect_err("silent");
    assert_eq!(sqlstate(&error), "40003");
    client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("next request");
    let records = fixture.state.records.lock().expect("lock");
    assert_eq!(records[0].refusal, Some(RequestRefusal::OutcomeUnknown));
}

/// A request on an endpoint that was superseded must end long before the answer deadline.
#[tokio::test]
async fn superseded_endpoint_ends_the_request() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let state = fixture.state.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        state.superseded.store(true, Ordering::SeqCst);
    });
    let waiting = client.batch_execute("INSERT stay silent");
    let outcome = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    let error = outcome.expect("in time").expect_err("superseded");
    assert_eq!(sqlstate(&error), "40003");
}

/// A transaction that its caller leaves open must give its slot back at the deadline.
#[tokio::test]
async fn open_transaction_meets_a_deadline() {
    let fixture = CallerFixture::start_with(short_limits).await;
    let client = fixture.connect().await;
    client.batch_execute("BEGIN").await.expect("begin");
    while fixture.state.held.load(Ordering::SeqCst) > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let records = fixture.state.records.lock().expect("lock");
    assert_eq!(
        records[0].refusal,
        Some(RequestRefusal::TransactionDeadline)
    );
}

/// A primary whose term changed during a transaction may have lost it, so it is unknown.
#[tokio::test]
async fn changed_term_is_unknown() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.batch_execute("BEGIN").await.expect("begin");
    client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("write");
    fixture.primary.term.store(3, Ordering::SeqCst);
    let error = client
        .batch_execute("COMMIT")
        .await
        .expect_err("term changed");
    assert_eq!(sqlstate(&error), "40003");
    assert!(fixture.state.confirmed.lock().expect("lock").is_empty());
}

/// An endpoint that is no longer the primary must not be given a write.
#[tokio::test]
async fn demoted_endpoint_gets_no_write() {
    let fixture = CallerFixture::start().await;
    fixture.primary.replica.store(true, Ordering::SeqCst);
    let client = fixture.connect().await;
    let error = client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect_err("demoted");
    assert_eq!(sqlstate(&error), "57P03");
    assert_eq!(fixture.primary.texts(), Vec::<String>::new());
}

/// A failed statement must reach the caller as the endpoint sent it and commit nothing.
#[tokio::test]
async fn endpoint_errors_are_passed_on() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    for _ in 0..2 {
        let error = client.batch_execute("FAIL").await.expect_err("failed");
        assert_eq!(sqlstate(&error), "22012");
        let error = client.execute("FAIL", &[]).await.expect_err("failed");
        assert_eq!(sqlstate(&error), "22012");
    }
    assert!(fixture.state.confirmed.lock().expect("lock").is_empty());
    client
        .batch_execute("SELECT 1")
        .await
        .expect("next request");
}

/// A cancel key must reach the connection that runs the request, and a wrong one none.
#[tokio::test]
async fn cancel_reaches_the_running_request() {
    let fixture = CallerFixture::start().await;
    let mut raw = RawCaller::start(&fixture).await;
    let key = raw.key.clone();
    let mut wrong = key.clone();
    wrong[7] ^= 1;
    RawCaller::cancel(&fixture, &key).await;
    raw.send_query("SELECT 'stay silent'").await;
    while fixture.replica.texts().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    RawCaller::cancel(&fixture, &wrong).await;
    assert_eq!(fixture.replica.cancels.load(Ordering::SeqCst), 0);
    RawCaller::cancel(&fixture, &key).await;
    let error = raw.recv().await.expect("error");
    assert!(String::from_utf8_lossy(error.body()).contains("57014"));
    assert_eq!(fixture.replica.cancels.load(Ordering::SeqCst), 1);
}

/// A late cancel must not hit another session, so a cancelled connection is not used again.
#[tokio::test]
async fn cancelled_connection_is_not_shared() {
    let fixture = CallerFixture::start().await;
    let mut raw = RawCaller::start(&fixture).await;
    raw.send_query("SELECT 'stay silent'").await;
    while fixture.replica.texts().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    RawCaller::cancel(&fixture, &raw.key).await;
    while raw.recv().await.expect("open").kind() != b'Z' {}
    let connections = fixture.replica.connections();
    let client = fixture.connect().await;
    client.batch_execute("SELECT 1").await.expect("read");
    // The cancel request itself was one connection.
    assert_eq!(fixture.replica.connections(), connections + 1);
}

/// Nothing may announce a commit before its confirmation, also where a report follows it.
#[tokio::test]
async fn late_reports_do_not_release_an_end() {
    let fixture = CallerFixture::start().await;
    fixture.state.unconfirmed.store(true, Ordering::SeqCst);
    let mut raw = RawCaller::start(&fixture).await;
    raw.send_query("INSERT late report").await;
    let mut kinds = Vec::new();
    while kinds.last() != Some(&b'Z') {
        kinds.push(raw.recv().await.expect("open").kind());
    }
    assert_eq!(kinds, b"EZ");
}

/// An empty query is used as a ping; it must cost no slot and reach no endpoint.
#[tokio::test]
async fn empty_query_needs_no_endpoint() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.batch_execute("").await.expect("empty");
    client
        .batch_execute("-- nothing\n ; ;")
        .await
        .expect("comment");
    assert!(fixture.state.admitted.lock().expect("lock").is_empty());
}
