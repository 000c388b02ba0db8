//! Tests the routing of a real driver's requests to endpoints and the answers it receives.

use std::sync::atomic::Ordering;

use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::ports::RequestClass;
use tamaracklb::request::refusal::RequestRefusal;
use tokio_postgres::SimpleQueryMessage;

use crate::caller_fixture;
use crate::caller_fixture::CallerFixture;
use crate::caller_fixture::sqlstate;

/// Runs a simple query and returns the first value of its first row.
async fn first_value(client: &tokio_postgres::Client, query: &str) -> String {
    let messages = client.simple_query(query).await.expect("query");
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    row.expect("a row")
}

/// A read must go to a replica that may serve it, and a write to the primary.
#[tokio::test]
async fn simple_queries_reach_their_endpoint() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    first_value(&client, "SELECT 1").await;
    client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("write");
    assert_eq!(
        fixture.state.classes(),
        [RequestClass::Read, RequestClass::Write]
    );
    assert_eq!(fixture.replica.statements(), ["SELECT 1"]);
    assert_eq!(fixture.primary.statements(), ["INSERT INTO t VALUES (1)"]);
    assert_eq!(
        *fixture.state.confirmed.lock().expect("lock"),
        [LogPoint::new(1, 1)]
    );
}

/// A prepared statement must work on endpoint connections on which it was not prepared.
#[tokio::test]
async fn prepared_statements_follow_the_session() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let statement = client
        .prepare("SELECT value FROM t")
        .await
        .expect("prepare");
    for _ in 0..3 {
        let rows = client.query(&statement, &[]).await.expect("query");
        assert_eq!(rows.len(), 1);
    }
    let other = fixture.connect().await;
    let written = other.execute("INSERT INTO t VALUES (2)", &[]).await;
    assert_eq!(written.expect("write"), 1);
}

/// A transaction must use one connection of the primary and hold one permit until it ends.
#[tokio::test]
async fn transaction_uses_one_connection() {
    let fixture = CallerFixture::start().await;
    let mut client = fixture.connect().await;
    let transaction = client.transaction().await.expect("begin");
    transaction.query("SELECT 1", &[]).await.expect("read");
    assert_eq!(fixture.state.held_permits.load(Ordering::SeqCst), 1);
    transaction
        .execute("INSERT INTO t VALUES (1)", &[])
        .await
        .expect("write");
    transaction.commit().await.expect("commit");
    assert_eq!(fixture.state.held_permits.load(Ordering::SeqCst), 0);
    let received = fixture.primary.received.lock().expect("lock").clone();
    assert!(received.iter().all(|(number, _)| *number == received[0].0));
    assert_eq!(fixture.replica.statements(), Vec::<String>::new());
    assert_eq!(fixture.state.confirmed.lock().expect("lock").len(), 1);
}

/// A commit that is not confirmed must be reported as unknown, neither as committed nor as not run.
#[tokio::test]
async fn unconfirmed_commit_is_unknown() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    fixture
        .state
        .confirmations_fail
        .store(true, Ordering::SeqCst);
    let error = client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect_err("unconfirmed");
    assert_eq!(sqlstate(&error), "40003");
    let detail = error.as_db_error().and_then(|error| error.detail());
    assert_ne!(detail, Some("not run"));
    fixture
        .state
        .confirmations_fail
        .store(false, Ordering::SeqCst);
    client
        .batch_execute("INSERT INTO t VALUES (2)")
        .await
        .expect("next request succeeds");
}

/// A refusal must have its SQLSTATE and the detail "not run", and leave the connection usable.
#[tokio::test]
async fn refusal_says_not_run() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    *fixture.state.refusal.lock().expect("lock") = Some(RequestRefusal::AboveRate);
    let error = client.query("SELECT 1", &[]).await.expect_err("refused");
    assert_eq!(sqlstate(&error), "53400");
    let detail = error.as_db_error().and_then(|error| error.detail());
    assert_eq!(detail, Some("not run"));
    *fixture.state.refusal.lock().expect("lock") = None;
    client
        .query("SELECT 1", &[])
        .await
        .expect("next request succeeds");
}

/// A wrong key and an unknown team must be refused with the same error.
#[tokio::test]
async fn wrong_keys_are_refused() {
    let fixture = CallerFixture::start().await;
    for (user, password) in [("folio", "wrong"), ("nobody", "folio-key")] {
        let mut config = fixture.driver();
        config.user(user).password(password);
        let error = caller_fixture::connect(&config).await;
        assert_eq!(sqlstate(&error.expect_err("refused")), "28P01");
    }
}

/// Confirmed writes must raise a session's floor, and SET must set the floor of another session.
#[tokio::test]
async fn floor_is_shown_and_set() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("write");
    assert_eq!(first_value(&client, "SHOW tamaracklb.floor").await, "1/1");
    let other = fixture.connect().await;
    other
        .batch_execute("SET tamaracklb.floor = '3/7'")
        .await
        .expect("set");
    let row = other
        .query_one("SHOW tamaracklb.floor", &[])
        .await
        .expect("show");
    assert_eq!(row.get::<_, String>(0), "3/7");
    other.query("SELECT 1", &[]).await.expect("read");
    let requests = fixture.state.admission_requests.lock().expect("lock");
    assert_eq!(requests.last().expect("query").floor, LogPoint::new(3, 7));
}
