//! Checks that the stand-in endpoint behaves as the design page specifies for endpoints. Tests
//! that run against it are meaningless otherwise.

use standins::endpoint::EndpointConfig;
use tokio_postgres::Client;
use tokio_postgres::SimpleQueryMessage;

use crate::support::group::connect;
use crate::support::group::read;
use crate::support::group::sqlstate;
use crate::support::group::start_group;
use crate::support::group::wait_for_replicas;
use crate::support::group::write;

/// Guards against a dialect that a real driver cannot use through the extended protocol.
#[tokio::test]
async fn driver_reads_its_writes() {
    let group = start_group(1, EndpointConfig::default());
    let client = connect(&group[0]).await;
    let statement = client
        .prepare("INSERT INTO kv (key, value) VALUES ($1, $2)")
        .await
        .unwrap();
    for (key, value) in [("a", "1"), ("b", "it's")] {
        assert_eq!(
            client.execute(&statement, &[&key, &value]).await.unwrap(),
            1
        );
    }
    assert_eq!(read(&client, "b").await.as_deref(), Some("it's"));
    let rows = client
        .query("SELECT key, value FROM kv", &[])
        .await
        .unwrap();
    assert_eq!(rows.len(), 2);
    let number: i32 = client.query_one("SELECT 7", &[]).await.unwrap().get(0);
    assert_eq!(number, 7);
    let error = insert_error(&client).await;
    assert_eq!(sqlstate(&error), "23505");
}

/// Returns the error of an insert that must fail.
async fn insert_error(client: &Client) -> tokio_postgres::Error {
    client
        .batch_execute("INSERT INTO kv VALUES ('a', '2')")
        .await
        .unwrap_err()
}

/// Guards against uncommitted writes that are visible to others or that persist after a rollback.
#[tokio::test]
async fn transactions_are_atomic() {
    let group = start_group(1, EndpointConfig::default());
    let mut writer = connect(&group[0]).await;
    let reader = connect(&group[0]).await;
    let transaction = writer.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO kv VALUES ('a', '1')", &[])
        .await
        .unwrap();
    assert_eq!(read(&reader, "a").await, None);
    transaction.rollback().await.unwrap();
    assert_eq!(read(&reader, "a").await, None);
    let transaction = writer.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO kv VALUES ('a', '2')", &[])
        .await
        .unwrap();
    transaction.commit().await.unwrap();
    assert_eq!(read(&reader, "a").await.as_deref(), Some("2"));

    writer.batch_execute("BEGIN").await.unwrap();
    assert!(writer.batch_execute("nonsense").await.is_err());
    let error = writer.batch_execute("SELECT 1").await.unwrap_err();
    assert_eq!(sqlstate(&error), "25P02");
    writer.batch_execute("ROLLBACK").await.unwrap();
    assert_eq!(group[0].executed().len(), 1);
}

/// Guards against replicas that apply entries out of order or accept writes.
#[tokio::test]
async fn replicas_follow_in_order() {
    let group = start_group(3, EndpointConfig::default());
    let client = connect(&group[0]).await;
    for index in 0..200 {
        write(&client, &format!("key-{}", index % 7), &index.to_string())
            .await
            .unwrap();
    }
    wait_for_replicas(&group, 201).await;
    for replica in &group[1..] {
        assert_eq!(replica.log(), group[0].log());
        let reader = connect(replica).await;
        assert_eq!(read(&reader, "key-3").await.as_deref(), Some("199"));
        let error = write(&reader, "a", "1").await.unwrap_err();
        assert_eq!(sqlstate(&error), "25006");
    }
}

/// Guards against rows that are lost when flow control pauses a large result.
#[tokio::test]
async fn large_answers_arrive_whole() {
    let group = start_group(1, EndpointConfig::default());
    let client = connect(&group[0]).await;
    let rows = client
        .query("SELECT repeat_rows(3000, 1000)", &[])
        .await
        .unwrap();
    assert_eq!(rows.len(), 3000);
    assert!(rows.iter().all(|row| row.get::<_, &str>(0).len() == 1000));
    let messages = client
        .simple_query("SHOW server_version; SELECT 1")
        .await
        .unwrap();
    let is_row = |message: &&SimpleQueryMessage| matches!(message, SimpleQueryMessage::Row(_));
    assert_eq!(messages.iter().filter(is_row).count(), 2);
}

/// Guards against a portal that loses its position when a driver fetches rows in parts.
#[tokio::test]
async fn portals_return_rows_in_parts() {
    let group = start_group(1, EndpointConfig::default());
    let mut client = connect(&group[0]).await;
    let transaction = client.transaction().await.unwrap();
    let statement = transaction
        .prepare("SELECT repeat_rows(5, 1)")
        .await
        .unwrap();
    let portal = transaction.bind(&statement, &[]).await.unwrap();
    let mut sizes = Vec::new();
    for _ in 0..3 {
        sizes.push(transaction.query_portal(&portal, 2).await.unwrap().len());
    }
    assert_eq!(sizes, [2, 2, 1]);
}

/// Guards against refusing session statements that real drivers and connection pools send.
#[tokio::test]
async fn session_statements_are_accepted() {
    let group = start_group(2, EndpointConfig::default());
    let client = connect(&group[0]).await;
    client
        .batch_execute(
            "CREATE TABLE kv (key text PRIMARY KEY, value text); SET application_name = 'x'; \
             LISTEN news; UNLISTEN *; -- comment\n SELECT pg_advisory_lock(1); DISCARD ALL",
        )
        .await
        .unwrap();
    client.batch_execute("BEGIN READ ONLY").await.unwrap();
    let error = insert_error(&client).await;
    assert_eq!(sqlstate(&error), "25006");
    client.batch_execute("ROLLBACK").await.unwrap();
    let error = client.batch_execute("VACUUM").await.unwrap_err();
    assert_eq!(sqlstate(&error), "0A000");
}
