//! Compares reads through one instance with reads directly from the stand-in endpoints.
//!
//! The clients, the instance and the endpoints share one process and its CPU time, so the measured
//! ratio is a lower bound.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use tamaracklb::cmd::dev_system::DevSystem;
use tamaracklb::cmd::dev_system::SERVICE;
use tamaracklb::cmd::dev_system::TEAMS;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

const CONNECTIONS: [usize; 3] = [1, 16, 64];
const MEASURE_TIME: Duration = Duration::from_secs(4);
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Target for the ratio of the throughputs at the highest number of connections.
const TARGET_RATIO: f64 = 0.6;

#[derive(Clone, Copy)]
struct Target {
    address: SocketAddr,
    user: &'static str,
    password: &'static str,
}

struct Measurement {
    per_second: f64,
    p50_us: u64,
    p99_us: u64,
}

#[tokio::main]
async fn main() {
    let system = DevSystem::start(1).await.expect("a system");
    tokio::time::sleep(SETTLE_TIME).await;
    let (user, password) = TEAMS[0];
    let through = Target {
        address: system.daemons[0].caller_address(),
        user,
        password,
    };
    // An endpoint accepts 50 connections, so the direct ones are spread over both replicas.
    let replica = |index: usize| Target {
        address: system.endpoints[index].address(),
        user: "instance",
        password: "instance-password",
    };
    let direct = [replica(1), replica(2)];
    println!(
        "{:>6} {:>26} {:>26} {:>7}",
        "", "direct /s  p50 us  p99 us", "through /s  p50 us  p99 us", "ratio"
    );
    let mut ratio = 0.0;
    for connections in CONNECTIONS {
        let direct = measure(&direct, connections).await;
        let through = measure(&[through], connections).await;
        ratio = through.per_second / direct.per_second;
        println!(
            "{connections:>6} {:>10.0} {:>7} {:>7} {:>10.0} {:>7} {:>7} {ratio:>7.2}",
            direct.per_second,
            direct.p50_us,
            direct.p99_us,
            through.per_second,
            through.p50_us,
            through.p99_us,
        );
    }
    let verdict = if ratio >= TARGET_RATIO {
        "reached"
    } else {
        "NOT reached"
    };
    println!("at least {TARGET_RATIO} of direct at 64 connections: {verdict}");
    system.stop().await;
}

async fn measure(targets: &[Target], connections: usize) -> Measurement {
    let mut clients = Vec::new();
    for number in 0..connections {
        clients.push(connect(targets[number % targets.len()]).await);
    }
    let end = Instant::now() + MEASURE_TIME;
    let tasks: Vec<_> = clients
        .into_iter()
        .map(|client| tokio::spawn(read_until(client, end)))
        .collect();
    let mut total = Histogram::<u64>::new(3).expect("a histogram");
    for task in tasks {
        total
            .add(task.await.expect("a task"))
            .expect("the same bounds");
    }
    Measurement {
        per_second: total.len() as f64 / MEASURE_TIME.as_secs_f64(),
        p50_us: total.value_at_quantile(0.5),
        p99_us: total.value_at_quantile(0.99),
    }
}

async fn connect(target: Target) -> Client {
    let mut config = tokio_postgres::Config::new();
    config
        .host(target.address.ip().to_string())
        .port(target.address.port())
        .user(target.user)
        .password(target.password)
        .dbname(SERVICE);
    let (client, connection) = config.connect(NoTls).await.expect("a connection");
    tokio::spawn(async move {
        let _ = connection.await;
    });
    client
}

async fn read_until(client: Client, end: Instant) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("a histogram");
    let statement = client
        .prepare("SELECT value FROM kv WHERE key = $1")
        .await
        .expect("a statement");
    while Instant::now() < end {
        let started = Instant::now();
        client
            .query(&statement, &[&"spread-1"])
            .await
            .expect("an answer");
        let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        times.record(micros.max(1)).expect("a recordable time");
    }
    times
}
