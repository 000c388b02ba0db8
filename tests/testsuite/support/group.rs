//! A group of stand-in endpoints in the test's own process.

use std::net::SocketAddr;
use std::time::Duration;

use standins::endpoint::EndpointConfig;
use standins::endpoint::EndpointHandle;
use standins::endpoint::start;
use tokio::task::JoinHandle;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

/// Starts a group whose first endpoint is the primary.
pub fn start_group(size: usize, config: EndpointConfig) -> Vec<EndpointHandle> {
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

/// Connects with the credentials of an instance.
pub async fn try_connect(endpoint: &EndpointHandle) -> Result<Client, tokio_postgres::Error> {
    connect_with_driver(endpoint)
        .await
        .map(|(client, _)| client)
}

/// Connects, and also returns the task that drives the connection; aborting it closes the
/// connection at once.
pub async fn connect_with_driver(
    endpoint: &EndpointHandle,
) -> Result<(Client, JoinHandle<()>), tokio_postgres::Error> {
    let address = endpoint.address();
    let (client, connection) = tokio_postgres::Config::new()
        .host(address.ip().to_string())
        .port(address.port())
        .user("instance")
        .password("instance-password")
        .dbname("kv")
        .connect(NoTls)
        .await?;
    let driver = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok((client, driver))
}

/// Connects, and fails the test if that is not possible.
pub async fn connect(endpoint: &EndpointHandle) -> Client {
    try_connect(endpoint).await.unwrap()
}

/// Polls a condition until it holds; fails the test after ten seconds.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} did not happen");
}

/// Waits until all endpoints have received a log position.
pub async fn wait_for_replicas(group: &[EndpointHandle], position: u64) {
    eventually("replication", || {
        group.iter().all(|e| e.report().position >= position)
    })
    .await;
}

/// Reads a key.
pub async fn read(client: &Client, key: &str) -> Option<String> {
    client
        .query_opt("SELECT value FROM kv WHERE key = $1", &[&key])
        .await
        .unwrap()
        .map(|row| row.get(0))
}

/// Inserts or updates a key.
pub async fn write(client: &Client, key: &str, value: &str) -> Result<u64, tokio_postgres::Error> {
    client
        .execute(
            "INSERT INTO kv (key, value) VALUES ($1, $2) \
             ON CONFLICT (key) DO UPDATE SET value = excluded.value",
            &[&key, &value],
        )
        .await
}

/// Returns the SQLSTATE of an error, or an empty text.
pub fn sqlstate(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("", |code| code.code())
}
