//! The callers of a run.

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

/// Pause of a caller before it opens another session.
const OPEN_PAUSE: Duration = Duration::from_millis(40);

/// Pause between two operations of a caller.
const THINK_MS: std::ops::Range<u64> = 5..40;

/// Operations of a session before the caller opens another one.
const SESSION_LENGTH: std::ops::Range<u32> = 5..60;

/// What a caller does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// Writes an item of its own and reads it back.
    Writer,
    /// Reads items of writers.
    Reader,
    /// Reads as fast as it can, beyond the rate of its team.
    Greedy,
}

/// One caller.
pub struct SoakCaller {
    /// What it does.
    pub kind: CallerKind,
    /// Its number among all callers.
    pub number: usize,
    /// How many writers there are.
    pub writers: usize,
    /// Its team and key.
    pub team: (String, String),
    /// Where it may connect.
    pub addresses: Vec<SocketAddr>,
    /// What all callers saw.
    pub history: Arc<Mutex<ObservedHistory>>,
    /// Whether every request must be answered, as only planned work is played.
    pub planned: bool,
    /// Decides what it does.
    pub seed: u64,
}

/// Locks the history.
pub fn lock(history: &Mutex<ObservedHistory>) -> MutexGuard<'_, ObservedHistory> {
    history.lock().unwrap_or_else(PoisonError::into_inner)
}

struct OpenSession {
    caller: LineCaller,
    database: &'static str,
    set_value: String,
    /// The newest value that this session wrote.
    own: u64,
}

impl SoakCaller {
    /// Calls until it is told to stop.
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
            let mut session = OpenSession {
                caller,
                database,
                set_value: String::new(),
                own: 0,
            };
            let length = random.random_range(SESSION_LENGTH);
            for _ in 0..length {
                if *stop.borrow() {
                    break;
                }
                if self
                    .operate(&mut session, &mut value, &mut random)
                    .await
                    .is_err()
                {
                    break;
                }
                if self.kind != CallerKind::Greedy {
                    let pause = random.random_range(THINK_MS);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        }
    }

    async fn operate(
        &self,
        session: &mut OpenSession,
        value: &mut u64,
        random: &mut ChaCha8Rng,
    ) -> Result<(), CallerError> {
        match (self.kind, random.random_range(0..6)) {
            (CallerKind::Writer, 0) => {
                let set_value = format!("{}", random.random_range(0..1_000_u32));
                let answer = self.request(session, &format!("SET v {set_value}")).await?;
                if answer.succeeded() {
                    session.set_value = set_value;
                }
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

    async fn write(
        &self,
        session: &mut OpenSession,
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
            let answer = self.request(session, &text).await;
            let ended = match &answer {
                Ok(answer) if answer.succeeded() => continue,
                Ok(answer) if answer.state != "I" => {
                    self.request(session, "ROLLBACK").await.map(|_| ())
                }
                Ok(_) => Ok(()),
                Err(_) => answer.map(|_| ()),
            };
            // The write of the attempt, or the end of its transaction, was never sent.
            lock(&self.history).wrote(&item, value, WriteOutcome::NotApplied);
            return ended;
        }
        let answer = self.request(session, &last).await;
        let outcome = match &answer {
            Ok(answer) if answer.succeeded() => WriteOutcome::Acknowledged,
            Ok(answer) if answer.reports_not_applied() => WriteOutcome::NotApplied,
            _ => WriteOutcome::Unknown,
        };
        lock(&self.history).wrote(&item, value, outcome);
        if outcome == WriteOutcome::Acknowledged {
            session.own = value;
        }
        answer.map(|_| ())
    }

    async fn read(&self, session: &mut OpenSession, number: usize) -> Result<(), CallerError> {
        let item = item(number);
        let least = {
            let history = lock(&self.history);
            let age = match session.database {
                "linear" => Duration::ZERO,
                _ => Duration::from_millis(STALENESS_MS),
            };
            let known = history.acknowledged(&item, age);
            match session.database == "own" && number == self.number {
                true => known.max(session.own),
                false => known,
            }
        };
        let answer = self.request(session, &format!("READ {item}")).await?;
        if !answer.succeeded() {
            return Ok(());
        }
        let row = answer.rows.first().map_or("", String::as_str);
        let seen = row.parse::<u64>().unwrap_or(0);
        let mut history = lock(&self.history);
        if history.is_stale(&item, seen, least) {
            let database = session.database;
            history.complains(format!(
                "a read of {item} on {database} gave {row} after {least} was acknowledged"
            ));
        }
        Ok(())
    }

    async fn request(
        &self,
        session: &mut OpenSession,
        text: &str,
    ) -> Result<LineAnswer, CallerError> {
        let id = session.caller.next_id();
        lock(&self.history).sends(id.clone(), &self.team.0, &session.set_value);
        let answer = session.caller.try_request(text).await;
        let mut history = lock(&self.history);
        match &answer {
            Ok(answer) if answer.succeeded() => {
                history.served += 1;
                let local = answer.end == "COMPLETE -";
                let passed = ["READ", "WRITE", "EXECUTE"];
                let passed = passed.iter().any(|word| text.starts_with(word));
                if passed && (local || !answer.end.ends_with(&id)) {
                    history.complains(format!(
                        "{text:?} of {id} was answered with {:?}",
                        answer.end
                    ));
                }
            }
            Ok(_) => history.failed += 1,
            Err(error) => {
                history.failed += 1;
                let silent = matches!(error, CallerError::Silent);
                let unexpected = matches!(error, CallerError::Unexpected(_));
                if silent || unexpected {
                    history.complains(format!("{text:?} of {id} was not answered: {error}"));
                } else if self.planned {
                    history.unanswered(id);
                }
            }
        }
        answer
    }
}

fn item(number: usize) -> String {
    format!("item{number}")
}
