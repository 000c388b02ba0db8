//! The callers of a run, which send random operations and record what they observe.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::platform::line_caller::CallerError;
use standins::platform::line_caller::LineAnswer;
use standins::platform::line_caller::LineCaller;
use standins::platform::sample_configuration::STALENESS_MS;
use tokio::sync::watch;

use crate::observed_history::ObservedHistory;
use crate::observed_history::WriteOutcome;
use crate::observed_session::ObservedSession;

/// Pause before the next attempt after a session could not be opened.
const OPEN_PAUSE: Duration = Duration::from_millis(40);

/// Think time between two operations of a caller.
const THINK_TIME_MS: std::ops::Range<u64> = 5..40;

/// Number of operations in a session.
const OPERATIONS_PER_SESSION: std::ops::Range<u32> = 5..60;

/// Workload of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// Writes an item that no other caller writes, and reads it back.
    Writer,
    /// Reads the items of the writers.
    Reader,
    /// Reads without pauses and so exceeds the rate of its team.
    Greedy,
}

/// A caller that opens one session after the other.
pub struct SoakCaller {
    /// Workload.
    pub kind: CallerKind,
    /// Number among all callers; writers have the first numbers.
    pub number: usize,
    /// Number of writers.
    pub writers: usize,
    /// Name and key of the team.
    pub team: (String, String),
    /// Addresses of the instances.
    pub addresses: Vec<SocketAddr>,
    /// History that all callers share.
    pub history: Arc<Mutex<ObservedHistory>>,
    /// Whether the run has planned work only, so that every request must be answered.
    pub planned: bool,
    /// Seed of the operations.
    pub seed: u64,
}

/// Locks the history.
pub fn lock(history: &Mutex<ObservedHistory>) -> MutexGuard<'_, ObservedHistory> {
    history.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SoakCaller {
    /// Opens sessions and runs operations until `stop` becomes true.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut value = 0;
        let mut sessions = 0;
        while !*stop.borrow() {
            sessions += 1;
            let database = match self.kind {
                CallerKind::Writer => ["linear", "own"][random.random_range(0..2)],
                CallerKind::Reader => ["linear", "bounded", "own"][random.random_range(0..3)],
                CallerKind::Greedy => "bounded",
            };
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            let opened = LineCaller::try_open(address, database, &self.team.1).await;
            let Ok(mut caller) = opened else {
                tokio::time::sleep(OPEN_PAUSE).await;
                continue;
            };
            caller.set_name(format!("c{}-{sessions}", self.number));
            let history = Arc::clone(&self.history);
            let team = &self.team.0;
            let mut session = ObservedSession::new(caller, history, database, team, self.planned);
            let operations = random.random_range(OPERATIONS_PER_SESSION);
            for _ in 0..operations {
                if *stop.borrow() {
                    break;
                }
                let result = self
                    .run_operation(&mut session, &mut value, &mut random)
                    .await;
                if result.is_err() {
                    break;
                }
                if self.kind != CallerKind::Greedy {
                    let pause = random.random_range(THINK_TIME_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    /// Runs one random operation. Returns an error if a request was not answered, after which the
    /// session must not be used.
    async fn run_operation(
        &self,
        session: &mut ObservedSession,
        value: &mut u64,
        random: &mut ChaCha8Rng,
    ) -> Result<(), CallerError> {
        match (self.kind, random.random_range(0..6)) {
            (CallerKind::Writer, 0) => {
                let set_value = format!("{}", random.random_range(0..1_000_u32));
                session.request(&format!("SET v {set_value}")).await?;
                Ok(())
            }
            (CallerKind::Writer, 1) => self.read(session, self.number).await,
            (CallerKind::Writer, form) => {
                *value += 1;
                self.write(session, *value, form).await
            }
            (CallerKind::Reader | CallerKind::Greedy, _) => {
                let item = random.random_range(0..self.writers);
                self.read(session, item).await
            }
        }
    }

    /// Writes `value` to the caller's item: in a transaction, as a prepared statement or as a
    /// single statement, depending on `form`.
    async fn write(
        &self,
        session: &mut ObservedSession,
        value: u64,
        form: u32,
    ) -> Result<(), CallerError> {
        let item = item(self.number);
        let mut texts = match form {
            2 => vec![
                "BEGIN".to_owned(),
                format!("WRITE {item} {value}"),
                "COMMIT".to_owned(),
            ],
            3 => vec![
                "PREPARE p WRITE shape".to_owned(),
                format!("EXECUTE p {item} {value}"),
            ],
            _ => vec![format!("WRITE {item} {value}")],
        };
        let last = texts.pop().unwrap_or_default();
        for text in texts {
            let answer = session.request(&text).await;
            let result = match &answer {
                Ok(answer) if answer.succeeded() => continue,
                Ok(answer) if answer.state != "I" => session.request("ROLLBACK").await.map(|_| ()),
                Ok(_) => Ok(()),
                Err(_) => answer.map(|_| ()),
            };
            // An earlier statement failed, so the write itself or its COMMIT was never sent.
            lock(&self.history).record_write(&item, value, WriteOutcome::NotApplied);
            return result;
        }
        let answer = session.request(&last).await;
        let outcome = match &answer {
            Ok(answer) if answer.succeeded() => WriteOutcome::Acknowledged,
            Ok(answer) if answer.reports_not_applied() => WriteOutcome::NotApplied,
            _ => WriteOutcome::Unknown,
        };
        lock(&self.history).record_write(&item, value, outcome);
        if outcome == WriteOutcome::Acknowledged {
            session.last_written = value;
        }
        answer.map(|_| ())
    }

    /// Returns the newest value of an item that a read which is sent now must observe.
    fn required(&self, session: &ObservedSession, number: usize) -> u64 {
        let history = lock(&self.history);
        let age = match session.database {
            "linear" | "open" => Duration::ZERO,
            _ => Duration::from_millis(STALENESS_MS),
        };
        let known = history.newest_acknowledged(&item(number), age);
        match session.database == "own" && number == self.number {
            true => known.max(session.last_written),
            false => known,
        }
    }

    /// Reads an item and reports a violation if the value is older than the session's guarantee
    /// allows.
    async fn read(&self, session: &mut ObservedSession, number: usize) -> Result<(), CallerError> {
        let required = self.required(session, number);
        let answer = session.request(&format!("READ {}", item(number))).await?;
        self.check_read(session, number, required, &answer);
        Ok(())
    }

    fn check_read(
        &self,
        session: &ObservedSession,
        number: usize,
        required: u64,
        answer: &LineAnswer,
    ) {
        if !answer.succeeded() {
            return;
        }
        let item = item(number);
        let row = answer.rows.first().map_or("", String::as_str);
        let value = leading_number(row);
        let mut history = lock(&self.history);
        if history.is_stale(&item, value, required) {
            let database = session.database;
            history.record_violation(format!(
                "a read of {item} on {database} gave {row} after {required} was acknowledged"
            ));
        }
    }
}

/// Returns the number at the start of a value, or 0 if there is none.
pub fn leading_number(value: &str) -> u64 {
    let digits = value.chars().take_while(char::is_ascii_digit).count();
    value[..digits].parse().unwrap_or(0)
}

fn item(number: usize) -> String {
    format!("item{number}")
}
