//! Guards the path of a request from a real driver to an endpoint and back.

use std::sync::atomic::Ordering;

use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::ports::RequestClass;
use tamaracklb::request::refusal::RequestRefusal;
use tokio_postgres::SimpleQueryMessage;

use crate::caller_fixture;
use crate::caller_fixture::CallerFixture;
use crate::caller_fixture::sqlstate;

/// Returns the first value of a simple query.
async fn first_value(client: &tokio_postgres::Client, query: &str) -> String {
    let messages = client.simple_query(query).await.expect("query");
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    row.expect("a row")
}

/// A read must not go to the primary while a replica may serve it, and a write always must.
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
    assert_eq!(fixture.replica.texts(), ["SELECT 1"]);
    assert_eq!(fixture.primary.texts(), ["INSERT INTO t VALUES (1)"]);
    assert_eq!(
        *fixture.state.confirmed.lock().expect("lock"),
        [LogPoint::new(1, 1)]
    );
}

/// Extended queries must work across connections that never saw the statement.
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

/// A transaction must stay on one connection of the primary, and hold one permit until its end.
#[tokio::test]
async fn transaction_uses_one_connection() {
    let fixture = CallerFixture::start().await;
    let mut client = fixture.connect().await;
    let transaction = client.transaction().await.expect("begin");
    transaction.query("SELECT 1", &[]).await.expect("read");
    assert_eq!(fixture.state.held.load(Ordering::SeqCst), 1);
    transaction
        .execute("INSERT INTO t VALUES (1)", &[])
        .await
        .expect("write");
    transaction.commit().await.expect("commit");
    assert_eq!(fixture.state.held.load(Ordering::SeqCst), 0);
    let seen = fixture.primary.seen.lock().expect("lock").clone();
    assert!(seen.iter().all(|(number, _)| *number == seen[0].0));
    assert_eq!(fixture.replica.texts(), Vec::<String>::new());
    assert_eq!(fixture.state.confirmed.lock().expect("lock").len(), 1);
}

/// A commit without evidence must be reported as unknown, never as done and never as not run.
#[tokio::test]
async fn unconfirmed_commit_is_unknown() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    fixture.state.unconfirmed.store(true, Ordering::SeqCst);
    let error = client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect_err("unconfirmed");
    assert_eq!(sqlstate(&error), "40003");
    let detail = error.as_db_error().and_then(|error| error.detail());
    assert_ne!(detail, Some("not run"));
    fixture.state.unconfirmed.store(false, Ordering::SeqCst);
    client
        .batch_execute("INSERT INTO t VALUES (2)")
        .await
        .expect("next request");
}

/// A refusal must carry its SQLSTATE, say "not run", and leave the connection usable.
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
    client.query("SELECT 1", &[]).await.expect("next request");
}

/// A wrong key and an unknown team must look alike.
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

/// The floor must rise with confirmed writes and be taken over by another session.
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
    let admitted = fixture.state.admitted.lock().expect("lock");
    assert_eq!(admitted.last().expect("query").floor, LogPoint::new(3, 7));
}
