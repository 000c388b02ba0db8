//! A caller of the exercise, which writes through one instance and reads back through another.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::error::SqlState;

const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
const READS_PER_WRITE: usize = 5;
/// Every this many rounds, the caller reads in a new session without a floor.
const ROUNDS_PER_SESSION: usize = 10;

/// The outcome of a write, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Acknowledged,
    /// The write was refused and did not run, or no connection could be opened.
    NotRun,
    /// The write was refused and did not run, because the team exceeds its rate.
    AboveRate,
    /// The write may have taken effect.
    Unknown,
}

/// A write of the exercise.
#[derive(Debug, Clone)]
pub struct WriteRecord {
    /// Its key, which is unique to this write.
    pub key: String,
    /// Its outcome.
    pub outcome: WriteOutcome,
    /// When its outcome was known.
    pub ended_at: Instant,
}

/// The results that a caller observed.
#[derive(Debug, Default)]
pub struct ClientReport {
    /// Its writes in order.
    pub writes: Vec<WriteRecord>,
    /// Number of reads that were answered.
    pub reads: usize,
    /// Number of reads that failed; attempts without a connection count as one.
    pub failed_reads: usize,
    /// The keys of reads that did not return an acknowledged write of the same session.
    pub stale_reads: Vec<String>,
}

/// The addresses, credentials and pace of a caller.
#[derive(Debug, Clone)]
pub struct ClientPlan {
    /// A unique name, used as the prefix of the keys that it writes.
    pub name: String,
    /// The team.
    pub team: String,
    /// The team's key.
    pub key: String,
    /// The service.
    pub service: String,
    /// The address of the instance that receives the writes.
    pub write_address: SocketAddr,
    /// The address of the instance that receives the reads.
    pub read_address: SocketAddr,
    /// The pause between two rounds of one write and its reads.
    pub pause: Duration,
}

impl ClientPlan {
    /// Writes and reads until `end`, then returns the results.
    pub async fn run(self, end: Instant) -> ClientReport {
        let mut report = ClientReport::default();
        let mut writer = None;
        let mut reader: Option<Client> = None;
        let mut round = 0;
        while Instant::now() < end {
            round += 1;
            let key = format!("{}-{round}", self.name);
            let outcome = self.write(&mut writer, &key).await;
            let ended_at = Instant::now();
            report.writes.push(WriteRecord {
                key: key.clone(),
                outcome,
                ended_at,
            });
            if outcome == WriteOutcome::Acknowledged {
                let floor = match &writer {
                    Some(client) => read_floor(client).await,
                    None => None,
                };
                if round % ROUNDS_PER_SESSION == 0 {
                    // A new session that sets no floor must return the write as well.
                    reader = None;
                } else if let (Some(client), Some(floor)) = (&reader, &floor) {
                    let _ = client
                        .batch_execute(&format!("SET tamaracklb.floor = '{floor}'"))
                        .await;
                }
                self.read_back(&mut reader, &key, &mut report).await;
            }
            tokio::time::sleep(self.pause).await;
        }
        report
    }

    async fn write(&self, client: &mut Option<Client>, key: &str) -> WriteOutcome {
        if client.as_ref().is_none_or(Client::is_closed) {
            *client = self.connect(self.write_address).await;
        }
        let Some(connected) = client else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            return WriteOutcome::NotRun;
        };
        let sql = "INSERT INTO kv (key, value) VALUES ($1, 'spread')";
        match connected.execute(sql, &[&key]).await {
            Ok(_) => WriteOutcome::Acknowledged,
            Err(error) => {
                let outcome = classify_error(&error);
                if outcome == WriteOutcome::Unknown {
                    *client = None;
                }
                outcome
            }
        }
    }

    async fn read_back(&self, client: &mut Option<Client>, key: &str, report: &mut ClientReport) {
        if client.as_ref().is_none_or(Client::is_closed) {
            *client = self.connect(self.read_address).await;
        }
        let Some(connected) = client else {
            report.failed_reads += 1;
            return;
        };
        let sql = format!("SELECT value FROM kv WHERE key = '{key}'");
        for _ in 0..READS_PER_WRITE {
            match connected.simple_query(&sql).await {
                Ok(messages) => {
                    report.reads += 1;
                    let is_row = |message: &SimpleQueryMessage| {
                        matches!(message, SimpleQueryMessage::Row(_))
                    };
                    if !messages.iter().any(is_row) {
                        report.stale_reads.push(key.to_owned());
                    }
                }
                Err(_) => {
                    report.failed_reads += 1;
                    *client = None;
                    return;
                }
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Client> {
        let mut config = tokio_postgres::Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&self.team)
            .password(&self.key)
            .dbname(&self.service);
        let (client, connection) = config.connect(NoTls).await.ok()?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(client)
    }
}

async fn read_floor(client: &Client) -> Option<String> {
    let messages = client.simple_query("SHOW tamaracklb.floor").await.ok()?;
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

fn classify_error(error: &tokio_postgres::Error) -> WriteOutcome {
    let Some(db) = error.as_db_error() else {
        return WriteOutcome::Unknown;
    };
    let not_run = db.detail().is_some_and(|detail| detail.contains("not run"));
    match (not_run, db.code()) {
        (true, code) if *code == SqlState::CONFIGURATION_LIMIT_EXCEEDED => WriteOutcome::AboveRate,
        (true, _) => WriteOutcome::NotRun,
        (false, _) => WriteOutcome::Unknown,
    }
}
