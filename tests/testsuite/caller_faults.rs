//! Tests the errors that callers receive when endpoints fail, and which requests are repeated.

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

/// A write whose connection breaks may have run, so its outcome must be reported as unknown and it
/// must not be repeated.
#[tokio::test]
async fn broken_write_is_unknown() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let error = client
        .batch_execute("INSERT die now")
        .await
        .expect_err("broken");
    assert_eq!(sqlstate(&error), "40003");
    assert_eq!(fixture.primary.statements(), ["INSERT die now"]);
    client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("next request succeeds");
}

/// A read that fails before any of its answer is forwarded must be repeated on another endpoint,
/// without charging the team's rate again.
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
    assert_eq!(fixture.replica.statements().len(), 1);
    assert_eq!(fixture.primary.statements().len(), 1);
    let requests = fixture.state.admission_requests.lock().expect("lock");
    assert_eq!(requests[1].excluded[0].as_str(), "replica");
    assert!(!requests[0].charged && requests[1].charged);
}

/// A read that calls an unknown function may have side effects, so it must not be repeated.
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

/// A statement on the once-only list must not be sent twice, even if it is a read.
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
        fixture.replica.statements().len() + fixture.primary.statements().len(),
        2
    );
}

/// A read that a replica refuses because it writes must run on the primary instead, without an
/// error to the caller.
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

/// A write on an endpoint that stops answering must end at the answer timeout with an unknown
/// outcome.
#[tokio::test]
async fn silent_endpoint_times_out() {
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
        .expect("next request succeeds");
    let records = fixture.state.records.lock().expect("lock");
    assert_eq!(records[0].refusal, Some(RequestRefusal::OutcomeUnknown));
}

/// A request on an endpoint that is superseded must end well before the answer timeout.
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
    let error = outcome
        .expect("request ends in time")
        .expect_err("superseded");
    assert_eq!(sqlstate(&error), "40003");
}

/// A transaction that its caller leaves open must release its slot at the transaction deadline.
#[tokio::test]
async fn open_transaction_times_out() {
    let fixture = CallerFixture::start_with(short_limits).await;
    let client = fixture.connect().await;
    client.batch_execute("BEGIN").await.expect("begin");
    while fixture.state.held_permits.load(Ordering::SeqCst) > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let records = fixture.state.records.lock().expect("lock");
    assert_eq!(
        records[0].refusal,
        Some(RequestRefusal::TransactionDeadline)
    );
}

/// A primary whose term changed during a transaction may have lost its writes, so the outcome of
/// the commit must be reported as unknown.
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

/// A write must not be sent to an endpoint that is no longer the primary.
#[tokio::test]
async fn demoted_endpoint_gets_no_write() {
    let fixture = CallerFixture::start().await;
    fixture.primary.replica.store(true, Ordering::SeqCst);
    let client = fixture.connect().await;
    let error = client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect_err("demoted endpoint");
    assert_eq!(sqlstate(&error), "57P03");
    assert_eq!(fixture.primary.statements(), Vec::<String>::new());
}

/// An endpoint's error must be forwarded unchanged, and a failed statement must not be confirmed.
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
        .expect("next request succeeds");
}

/// A cancel request must reach the connection that runs the statement, and one with a wrong key
/// must reach none.
#[tokio::test]
async fn cancel_reaches_the_running_request() {
    let fixture = CallerFixture::start().await;
    let mut raw = RawCaller::start(&fixture).await;
    let key = raw.cancel_key.clone();
    let mut wrong_key = key.clone();
    wrong_key[7] ^= 1;
    RawCaller::cancel(&fixture, &key).await;
    raw.send_query("SELECT 'stay silent'").await;
    while fixture.replica.statements().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    RawCaller::cancel(&fixture, &wrong_key).await;
    assert_eq!(fixture.replica.cancels.load(Ordering::SeqCst), 0);
    RawCaller::cancel(&fixture, &key).await;
    let error = raw.recv().await.expect("error");
    assert!(String::from_utf8_lossy(error.body()).contains("57014"));
    assert_eq!(fixture.replica.cancels.load(Ordering::SeqCst), 1);
}

/// A late cancel must not affect another session, so a cancelled endpoint connection must not be
/// reused.
#[tokio::test]
async fn cancelled_connection_is_not_shared() {
    let fixture = CallerFixture::start().await;
    let mut raw = RawCaller::start(&fixture).await;
    raw.send_query("SELECT 'stay silent'").await;
    while fixture.replica.statements().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    RawCaller::cancel(&fixture, &raw.cancel_key).await;
    while raw.recv().await.expect("connection is open").kind() != b'Z' {}
    let connections = fixture.replica.connections();
    let client = fixture.connect().await;
    client.batch_execute("SELECT 1").await.expect("read");
    // The cancel request itself was one connection.
    assert_eq!(fixture.replica.connections(), connections + 1);
}

/// CommandComplete must not be sent before the commit is confirmed, even if the endpoint sends
/// ParameterStatus after it.
#[tokio::test]
async fn late_reports_do_not_announce_a_commit() {
    let fixture = CallerFixture::start().await;
    fixture
        .state
        .confirmations_fail
        .store(true, Ordering::SeqCst);
    let mut raw = RawCaller::start(&fixture).await;
    raw.send_query("INSERT late report").await;
    let mut kinds = Vec::new();
    while kinds.last() != Some(&b'Z') {
        kinds.push(raw.recv().await.expect("connection is open").kind());
    }
    assert_eq!(kinds, b"EZ");
}

/// An empty query, which clients use as a ping, must need no slot and reach no endpoint.
#[tokio::test]
async fn empty_query_needs_no_endpoint() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.batch_execute("").await.expect("empty");
    client
        .batch_execute("-- nothing\n ; ;")
        .await
        .expect("comment");
    assert!(
        fixture
            .state
            .admission_requests
            .lock()
            .expect("lock")
            .is_empty()
    );
}
