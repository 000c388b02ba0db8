//! Tests the listener against stand-in endpoints that replicate, lag and fail.

use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::TryStreamExt;
use standins::endpoint::EndpointConfig;
use standins::endpoint::EndpointFaults;
use tamaracklb::connection::listener_config::CallerLimits;
use tokio_postgres::Client;

use crate::caller_fixture::sqlstate;
use crate::standin_fixture::StandinFixture;

async fn read(client: &Client, key: &str) -> Option<String> {
    let query = "SELECT value FROM kv WHERE key = $1";
    let row = client.query_opt(query, &[&key]).await.expect("read");
    row.map(|row| row.get(0))
}

async fn write(client: &Client, key: &str, value: &str) {
    let query = "INSERT INTO kv (key, value) VALUES ($1, $2) \
                 ON CONFLICT (key) DO UPDATE SET value = excluded.value";
    client.execute(query, &[&key, &value]).await.expect("write");
}

/// Writes must be visible to the session that made them and to sessions opened later, also while
/// replicas lag.
#[tokio::test]
async fn sessions_read_their_own_writes() {
    let fixture = StandinFixture::start(&EndpointConfig::default());
    fixture.group.change_from(1, |endpoint| {
        endpoint.set_faults(EndpointFaults {
            lag_ms: 10,
            ..EndpointFaults::default()
        });
    });
    let client = fixture.connect().await;
    for round in 0..20 {
        let value = round.to_string();
        write(&client, "a", &value).await;
        assert_eq!(read(&client, "a").await, Some(value.clone()));
        let fresh = fixture.connect().await;
        assert_eq!(read(&fresh, "a").await, Some(value));
    }
}

/// A session must never receive the answers of another session.
#[tokio::test]
async fn concurrent_sessions_get_their_own_answers() {
    let fixture = StandinFixture::start(&EndpointConfig::default());
    let mut tasks = Vec::new();
    for number in 0..16 {
        let client = fixture.connect().await;
        tasks.push(tokio::spawn(async move {
            for round in 0..30 {
                let key = format!("key-{number}");
                let value = format!("{number}-{round}");
                write(&client, &key, &value).await;
                assert_eq!(read(&client, &key).await, Some(value));
            }
        }));
    }
    for task in tasks {
        task.await.expect("session");
    }
    let counters = fixture.group.endpoint(0).counters();
    assert!(counters.peak_connections <= 10, "{counters:?}");
}

/// A rollback must undo a transaction, and a commit must make it visible.
#[tokio::test]
async fn transactions_commit_and_roll_back() {
    let fixture = StandinFixture::start(&EndpointConfig::default());
    let mut client = fixture.connect().await;
    let transaction = client.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO kv VALUES ('a', '1')", &[])
        .await
        .expect("write");
    transaction.rollback().await.expect("rollback");
    assert_eq!(read(&client, "a").await, None);
    let transaction = client.transaction().await.expect("begin");
    transaction
        .execute("INSERT INTO kv VALUES ('a', '2')", &[])
        .await
        .expect("write");
    transaction.commit().await.expect("commit");
    assert_eq!(read(&client, "a").await.as_deref(), Some("2"));
}

/// A write whose answer is lost must be reported as unknown and must not run a second time.
#[tokio::test]
async fn lost_answer_is_unknown_and_runs_once() {
    let fixture = StandinFixture::start(&EndpointConfig::default());
    let client = fixture.connect().await;
    write(&client, "a", "1").await;
    fixture.group.endpoint(0).set_faults(EndpointFaults {
        lose_answers: 1,
        ..EndpointFaults::default()
    });
    let before = fixture.group.endpoint(0).executed().len();
    let error = client
        .batch_execute("INSERT INTO kv VALUES ('b', '1')")
        .await;
    assert_eq!(sqlstate(&error.expect_err("lost answer")), "40003");
    assert_eq!(fixture.group.endpoint(0).executed().len(), before + 1);
    assert_eq!(read(&client, "b").await.as_deref(), Some("1"));
}

/// A read must not block on connections that no longer answer; it is repeated on another endpoint.
#[tokio::test]
async fn silent_connections_do_not_block_reads() {
    let limits = CallerLimits {
        answer_timeout: Duration::from_millis(300),
        ..CallerLimits::default()
    };
    let fixture = StandinFixture::start_with(&EndpointConfig::default(), limits);
    let client = fixture.connect().await;
    write(&client, "a", "1").await;
    assert_eq!(read(&client, "a").await.as_deref(), Some("1"));
    fixture.group.change_from(0, |endpoint| {
        endpoint.set_faults(EndpointFaults {
            silence_existing: true,
            ..EndpointFaults::default()
        });
    });
    assert_eq!(read(&client, "a").await.as_deref(), Some("1"));
}

/// A write that does not reach a majority of the endpoints must not be acknowledged.
#[tokio::test]
async fn write_without_a_majority_is_unknown() {
    let limits = CallerLimits {
        confirm_timeout: Duration::from_millis(300),
        ..CallerLimits::default()
    };
    let fixture = StandinFixture::start_with(&EndpointConfig::default(), limits);
    let client = fixture.connect().await;
    write(&client, "a", "1").await;
    fixture.group.endpoint(0).set_faults(EndpointFaults {
        cut_to_peers: true,
        ..EndpointFaults::default()
    });
    let error = client
        .batch_execute("INSERT INTO kv VALUES ('b', '1')")
        .await;
    assert_eq!(sqlstate(&error.expect_err("no majority")), "40003");
}

/// Endpoint connections that were closed while idle must be replaced without an error to callers.
#[tokio::test]
async fn closed_idle_connections_are_replaced() {
    let fixture = StandinFixture::start(&EndpointConfig::default());
    let client = fixture.connect().await;
    for round in 0..5 {
        write(&client, "a", &round.to_string()).await;
        fixture
            .group
            .change_from(0, |endpoint| endpoint.close_connections());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(read(&client, "a").await.as_deref(), Some("4"));
}

/// Endpoints must receive only the credentials of the instance, never a caller's key.
#[tokio::test]
async fn endpoints_never_see_a_key() {
    let fixture = StandinFixture::start(&EndpointConfig::default());
    let client = fixture.connect().await;
    write(&client, "a", "1").await;
    read(&client, "a").await;
    fixture.group.change_from(0, |endpoint| {
        for credential in endpoint.received_credentials() {
            assert_eq!(credential.user, "instance");
            assert!(!credential.password.contains("folio-key"));
        }
    });
}

/// COPY must write and read all rows, and the session that copied them must be able to read them.
#[tokio::test]
async fn copies_keep_their_rows() {
    let fixture = StandinFixture::start(&EndpointConfig::default());
    let client = fixture.connect().await;
    let sink = client.copy_in("COPY kv FROM STDIN").await.expect("copy");
    let mut sink = std::pin::pin!(sink);
    for number in 0..500 {
        let row = Bytes::from(format!("key-{number}\tvalue-{number}\n"));
        sink.send(row).await.expect("row");
    }
    assert_eq!(sink.finish().await.expect("finish"), 500);
    assert_eq!(read(&client, "key-499").await.as_deref(), Some("value-499"));
    let rows = client.copy_out("COPY kv TO STDOUT").await.expect("copy");
    let rows: Vec<Bytes> = rows.try_collect().await.expect("rows");
    let text = rows.concat();
    assert_eq!(text.iter().filter(|&&byte| byte == b'\n').count(), 500);
}

/// Replicas must serve reads whenever they have reached the session's floor.
#[tokio::test]
async fn replicas_serve_most_reads() {
    let fixture = StandinFixture::start(&EndpointConfig::default());
    let client = fixture.connect().await;
    write(&client, "a", "1").await;
    for _ in 0..50 {
        read(&client, "a").await;
    }
    assert!(fixture.group.replica_fraction() > 0.8);
}

/// A session's settings must be set again on endpoint connections that other sessions have used.
#[tokio::test]
async fn settings_hold_across_endpoints() {
    let fixture = StandinFixture::start(&EndpointConfig::default());
    let client = fixture.connect().await;
    let other = fixture.connect().await;
    client
        .batch_execute("SET search_path = 'a'")
        .await
        .expect("set");
    other
        .batch_execute("SET search_path = 'b'")
        .await
        .expect("set");
    for _ in 0..5 {
        for (client, value) in [(&client, "a"), (&other, "b")] {
            let row = client
                .query_one("SHOW search_path", &[])
                .await
                .expect("show");
            assert_eq!(row.get::<_, String>(0), value);
        }
    }
}
