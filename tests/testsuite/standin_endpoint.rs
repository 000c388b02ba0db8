//! The stand-in endpoint must behave as the design page says endpoints do; otherwise the tests
//! that run against it show nothing.

use std::net::SocketAddr;
use std::time::Duration;

use standins::endpoint::EndpointConfig;
use standins::endpoint::EndpointFaults;
use standins::endpoint::EndpointHandle;
use standins::endpoint::start;
use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Starts a group whose first endpoint is the primary.
fn start_group(size: usize, config: EndpointConfig) -> Vec<EndpointHandle> {
    let group: Vec<EndpointHandle> = (0..size)
        .map(|index| {
            start(EndpointConfig {
                name: format!("endpoint-{index}"),
                primary: index == 0,
                connect_ms: 0,
                ..config.clone()
            })
            .unwrap()
        })
        .collect();
    let links: Vec<SocketAddr> = group.iter().map(EndpointHandle::link).collect();
    for (index, endpoint) in group.iter().enumerate() {
        let mut peers = links.clone();
        peers.remove(index);
        endpoint.set_peers(peers);
    }
    group
}

async fn try_connect(endpoint: &EndpointHandle) -> Result<Client, tokio_postgres::Error> {
    let address = endpoint.address();
    let (client, connection) = tokio_postgres::Config::new()
        .host(address.ip().to_string())
        .port(address.port())
        .user("instance")
        .password("instance-password")
        .dbname("kv")
        .connect(NoTls)
        .await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn connect(endpoint: &EndpointHandle) -> Client {
    try_connect(endpoint).await.unwrap()
}

/// Waits for a state that is reached in the background; fails the test after ten seconds.
async fn eventually(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} did not happen");
}

async fn wait_for_copies(group: &[EndpointHandle], position: u64) {
    eventually("replication", || {
        group.iter().all(|e| e.report().position >= position)
    })
    .await;
}

async fn read(client: &Client, key: &str) -> Option<String> {
    client
        .query_opt("SELECT value FROM kv WHERE key = $1", &[&key])
        .await
        .unwrap()
        .map(|row| row.get(0))
}

async fn write(client: &Client, key: &str, value: &str) -> Result<u64, tokio_postgres::Error> {
    client
        .execute(
            "INSERT INTO kv (key, value) VALUES ($1, $2) \
             ON CONFLICT (key) DO UPDATE SET value = excluded.value",
            &[&key, &value],
        )
        .await
}

fn sqlstate(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("", |code| code.code())
}

/// Guards against a dialect that a real driver's extended protocol cannot use.
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
    let error = write_twice(&client).await;
    assert_eq!(sqlstate(&error), "23505");
}

async fn write_twice(client: &Client) -> tokio_postgres::Error {
    client
        .batch_execute("INSERT INTO kv VALUES ('a', '2')")
        .await
        .unwrap_err()
}

/// Guards against statements of an open transaction that others see, or that outlive a rollback.
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

/// Guards against replicas that apply entries out of order or take writes.
#[tokio::test]
async fn replicas_follow_in_order() {
    let group = start_group(3, EndpointConfig::default());
    let client = connect(&group[0]).await;
    for index in 0..200 {
        write(&client, &format!("key-{}", index % 7), &index.to_string())
            .await
            .unwrap();
    }
    wait_for_copies(&group, 201).await;
    for replica in &group[1..] {
        assert_eq!(replica.log(), group[0].log());
        let reader = connect(replica).await;
        assert_eq!(read(&reader, "key-3").await.as_deref(), Some("199"));
        let error = write(&reader, "a", "1").await.unwrap_err();
        assert_eq!(sqlstate(&error), "25006");
    }
}

/// Guards against answers that are lost between large results and their flow control.
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
    let count = |m: &&SimpleQueryMessage| matches!(m, SimpleQueryMessage::Row(_));
    assert_eq!(messages.iter().filter(count).count(), 2);
    assert_eq!(group[0].faults(), EndpointFaults::default());
}
