//! Checks that writes and strong reads of a group are linearizable under faults, and that the
//! checker detects a lost write and a stale read.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::endpoint::EndpointFaults;
use tokio_postgres::Client;

use crate::support::group::write;
use crate::support::operation_history::OperationHistory;
use crate::support::operation_history::OperationId;
use crate::support::running_system::RunningSystem;
use crate::support::system_builder::SystemBuilder;

const SEEDS: u64 = 20;
const KEYS: usize = 3;
const CALLERS: usize = 6;
const OPERATION_TIMEOUT: Duration = Duration::from_secs(15);
const PAUSE: Duration = Duration::from_millis(10);

/// Records overlapping operations of several callers on a correct register and returns its value.
fn run_register(history: &OperationHistory, seed: u64, first: usize) -> Option<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut value = None;
    let mut open: Vec<(OperationId, Option<String>, bool)> = Vec::new();
    for step in first..first + 60 {
        if open.len() < 4 && random.random_bool(0.6) {
            let text = format!("value-{step}");
            if random.random_bool(0.5) {
                open.push((history.call_write("k", &text), Some(text), true));
            } else {
                open.push((history.call_read("k"), None, false));
            }
        } else if !open.is_empty() {
            let (id, text, is_write) = open.swap_remove(random.random_range(0..open.len()));
            if is_write {
                value = text;
                history.end_write(id);
            } else {
                history.end_read(id, value.clone());
            }
        }
    }
    for (id, _, _) in open {
        history.drop_operation(id);
    }
    value
}

/// Guards against a checker that rejects correct histories, such as one with a write of unknown
/// outcome.
#[test]
fn correct_histories_pass() {
    for seed in 0..SEEDS {
        let history = OperationHistory::default();
        run_register(&history, seed, 0);
        history.call_write("k", "unknown");
        let read = history.call_read("k");
        history.end_read(read, Some("unknown".to_owned()));
        history.call_write("k", "never seen");
        assert_eq!(history.violations(), [""; 0], "seed {seed}");
    }
}

/// Guards against a checker that misses an acknowledged write that later reads do not return.
#[test]
fn lost_write_is_caught() {
    for seed in 0..SEEDS {
        let history = OperationHistory::default();
        let before = run_register(&history, seed, 0);
        let lost = history.call_write("k", "lost");
        history.end_write(lost);
        let read = history.call_read("k");
        history.end_read(read, before);
        run_register(&history, seed + SEEDS, 100);
        assert_eq!(history.violations(), ["k"], "seed {seed}");
    }
}

/// Guards against a checker that misses a read of an older value after a newer one was read.
#[test]
fn stale_read_is_caught() {
    for seed in 0..SEEDS {
        let history = OperationHistory::default();
        run_register(&history, seed, 0);
        for text in ["older", "newer"] {
            let id = history.call_write("k", text);
            history.end_write(id);
        }
        for text in ["newer", "older"] {
            let id = history.call_read("k");
            history.end_read(id, Some(text.to_owned()));
        }
        run_register(&history, seed + SEEDS, 100);
        assert_eq!(history.violations(), ["k"], "seed {seed}");
    }
}

/// A caller that replaces a failed session by a new one on a random daemon.
struct CallerLoop {
    system: Arc<RunningSystem>,
    history: Arc<OperationHistory>,
    number: usize,
}

impl CallerLoop {
    async fn run(self, seed: u64, operations: usize) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut session = None;
        for operation in 0..operations {
            let client = match session.take() {
                Some(client) => client,
                None => {
                    let daemon = random.random_range(0..self.system.daemons.len());
                    let Ok(client) = self.system.try_connect(daemon).await else {
                        tokio::time::sleep(PAUSE).await;
                        continue;
                    };
                    client
                }
            };
            let key = format!("k{}", random.random_range(0..KEYS));
            let value = format!("{}-{operation}", self.number);
            let work = async {
                match random.random_bool(0.5) {
                    true => self.write(&client, &key, &value).await,
                    false => self.read(&client, &key).await,
                }
            };
            if let Ok(Ok(())) = tokio::time::timeout(OPERATION_TIMEOUT, work).await {
                session = Some(client);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn write(&self, client: &Client, key: &str, value: &str) -> Result<(), ()> {
        let id = self.history.call_write(key, value);
        match write(client, key, value).await {
            Ok(_) => {
                self.history.end_write(id);
                Ok(())
            }
            Err(error) => {
                let detail = error.as_db_error().and_then(|e| e.detail());
                if detail.is_some_and(|detail| detail.contains("not run")) {
                    self.history.drop_operation(id);
                }
                Err(())
            }
        }
    }

    /// Reads on the primary, since a read from a replica only guarantees the session's floor and is
    /// not linearizable.
    async fn read(&self, client: &Client, key: &str) -> Result<(), ()> {
        let id = self.history.call_read(key);
        let query = "SELECT value FROM kv WHERE key = $1 FOR UPDATE";
        let row = client.query_opt(query, &[&key]).await.map_err(|_| ())?;
        self.history.end_read(id, row.map(|row| row.get(0)));
        Ok(())
    }
}

/// Guards against writes that a partitioned primary acknowledges or that a promotion loses, while
/// callers continue and the old primary returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partitioned_group_is_linearizable() {
    let system = SystemBuilder::new()
        .endpoint(|config| config.faults.lag_ms = 5)
        .start()
        .await;
    let system = Arc::new(system);
    let history = Arc::new(OperationHistory::default());
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..CALLERS {
        let caller = CallerLoop {
            system: Arc::clone(&system),
            history: Arc::clone(&history),
            number,
        };
        callers.spawn(caller.run(number as u64, 300));
    }
    wait_for_writes(&history, 30).await;
    let isolated = EndpointFaults {
        cut_from_peers: true,
        cut_to_peers: true,
        ..EndpointFaults::default()
    };
    system.endpoints[0].set_faults(isolated).await;
    wait_for_promotion(&system).await;
    let before = history.acknowledged();
    wait_for_writes(&history, before + 30).await;
    system.endpoints[0]
        .set_faults(EndpointFaults::default())
        .await;
    while callers.join_next().await.is_some() {}
    assert_eq!(history.violations(), [""; 0], "{}", system.logs());
}

async fn wait_for_writes(history: &OperationHistory, count: usize) {
    for _ in 0..3000 {
        if history.acknowledged() >= count {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("only {} writes were acknowledged", history.acknowledged());
}

async fn wait_for_promotion(system: &RunningSystem) {
    for _ in 0..3000 {
        for endpoint in &system.endpoints[1..] {
            if endpoint.report().await.role == "primary" {
                return;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("no replica was promoted\n{}", system.logs());
}
