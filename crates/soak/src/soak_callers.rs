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
use standins::platform::hostile_texts::draw_definition;
use standins::platform::hostile_texts::draw_ending;
use standins::platform::hostile_texts::draw_name;
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

/// Team for which statements of a public route run without a known key, and such a key.
const PUBLIC_TEAM: (&str, &str) = ("-", "k-unknown");

/// Among this many sessions of hostile callers, one uses the public route.
const OPEN_INTERVAL: u32 = 4;

/// Number of statements that a hostile caller sends at once.
const SENT_AHEAD: std::ops::Range<usize> = 2..7;

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
    /// Whether texts are hostile, requests are sent ahead and sessions end at any time.
    pub hostile: bool,
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
            let hostile = self.hostile && self.kind != CallerKind::Greedy;
            let database = match hostile && random.random_range(0..OPEN_INTERVAL) == 0 {
                true => "open",
                false => database,
            };
            let (team, key) = match database == "open" && random.random_range(0..2) == 0 {
                true => PUBLIC_TEAM,
                false => (self.team.0.as_str(), self.team.1.as_str()),
            };
            let address = self.addresses[random.random_range(0..self.addresses.len())];
            let opened = LineCaller::try_open(address, database, key).await;
            let Ok(mut caller) = opened else {
                tokio::time::sleep(OPEN_PAUSE).await;
                continue;
            };
            caller.set_name(format!("c{}-{sessions}", self.number));
            let history = Arc::clone(&self.history);
            let mut session = ObservedSession::new(caller, history, database, team, self.planned);
            let operations = random.random_range(OPERATIONS_PER_SESSION);
            for _ in 0..operations {
                if *stop.borrow() {
                    break;
                }
                let result = match hostile {
                    true => {
                        self.run_hostile_operation(&mut session, &mut value, &mut random)
                            .await
                    }
                    false => {
                        self.run_operation(&mut session, &mut value, &mut random)
                            .await
                    }
                };
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

    /// Writes `value` to the caller's item: in a transaction, which may set a value, as a prepared
    /// statement or as a single statement, depending on `form`.
    async fn write(
        &self,
        session: &mut ObservedSession,
        value: u64,
        form: u32,
    ) -> Result<(), CallerError> {
        let item = item(self.number);
        let mut texts = match form {
            2 => {
                let mut texts = vec!["BEGIN".to_owned(), format!("WRITE {item} {value}")];
                // An endpoint that has lost its lead refuses the value.
                if value.is_multiple_of(2) {
                    texts.extend([format!("SET v {value}"), format!("READ {item}")]);
                }
                texts.push("COMMIT".to_owned());
                texts
            }
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

    /// Runs one random operation of a hostile caller. Returns an error if the session must not be
    /// used any more or if the caller leaves.
    async fn run_hostile_operation(
        &self,
        session: &mut ObservedSession,
        value: &mut u64,
        random: &mut ChaCha8Rng,
    ) -> Result<(), CallerError> {
        match random.random_range(0..12) {
            0 => {
                let (name, start) = (draw_name(random), random.random_range(0..100).to_string());
                let text = format!("SET {name} {}", draw_ending(random, &start));
                session.request(&text).await.and_then(require_success)
            }
            1 | 2 => {
                let mode = ["READ", "WRITE"][random.random_range(0..2)];
                let (name, text) = (draw_name(random), draw_definition(random));
                let text = format!("PREPARE {name} {mode} {text}");
                session.request(&text).await.and_then(require_success)
            }
            3 => {
                let text = format!("DEALLOCATE {}", draw_name(random));
                session.request(&text).await.and_then(require_success)
            }
            4 | 5 => self.run_transaction(session, value, random).await,
            _ => {
                let count = match random.random_range(0..2) {
                    0 => 1,
                    _ => random.random_range(SENT_AHEAD),
                };
                let statements = (0..count).map(|_| self.draw_statement(session, value, random));
                let statements = statements.collect();
                let leaves = random.random_range(0..20) == 0;
                self.run_statements(session, statements, leaves, None, random)
                    .await
            }
        }
    }

    fn draw_statement(
        &self,
        session: &ObservedSession,
        value: &mut u64,
        random: &mut ChaCha8Rng,
    ) -> CallerStatement {
        let number = match self.kind {
            CallerKind::Writer => self.number,
            CallerKind::Reader | CallerKind::Greedy => random.random_range(0..self.writers),
        };
        let name = draw_name(random);
        let mode = session.mode(&name);
        let form = random.random_range(0..5);
        let arguments = match (form, mode) {
            (0..=2, _) => None,
            (_, Some(mode)) => Some((mode == "WRITE", format!("EXECUTE {name}"))),
            // Must be refused, as the session has not prepared the name.
            (_, None) => {
                return CallerStatement {
                    text: format!("EXECUTE {name} {}", draw_ending(random, "none")),
                    effect: StatementEffect::None,
                };
            }
        };
        let writes = form < 2 && self.kind == CallerKind::Writer;
        let plain = if writes { "WRITE" } else { "READ" };
        let (writes, start) = arguments.unwrap_or((writes, plain.to_owned()));
        match (writes, self.kind) {
            (true, CallerKind::Writer) => {
                *value += 1;
                let data = draw_ending(random, &value.to_string());
                CallerStatement {
                    text: format!("{start} {} {data}", item(number)),
                    effect: StatementEffect::Write(*value),
                }
            }
            // Nobody reads what callers other than the writers write.
            (true, _) => CallerStatement {
                text: format!("{start} other {}", draw_ending(random, "0")),
                effect: StatementEffect::None,
            },
            (false, _) if random.random_range(0..4) == 0 => CallerStatement {
                text: format!("{start} {}", draw_ending(random, "none")),
                effect: StatementEffect::None,
            },
            (false, _) => CallerStatement {
                text: format!("{start} {}", item(number)),
                effect: StatementEffect::Read(number, self.required(session, number)),
            },
        }
    }

    /// Sends statements at once and records their answers. With `leaves`, the caller ends the session
    /// without waiting for them. In a transaction, writes are added to `open_writes` instead, as its
    /// end decides about them.
    async fn run_statements(
        &self,
        session: &mut ObservedSession,
        statements: Vec<CallerStatement>,
        leaves: bool,
        mut open_writes: Option<&mut Vec<u64>>,
        random: &mut ChaCha8Rng,
    ) -> Result<(), CallerError> {
        let texts: Vec<String> = statements.iter().map(|s| s.text.clone()).collect();
        let in_pieces = random.random_range(0..3) == 0;
        let sent = session.send(&texts, in_pieces.then_some(random)).await;
        let (mut answers, lost) = match sent {
            Ok(_) if leaves => (Vec::new(), Some(CallerError::Silent)),
            Ok(sent) => (session.receive(&sent).await, None),
            Err(error) => (Vec::new(), Some(error)),
        };
        let lost = match answers.pop_if(|answer| answer.is_err()) {
            Some(Err(error)) => Some(error),
            _ => lost,
        };
        let mut answers = answers.into_iter().flatten();
        let in_transaction = open_writes.is_some();
        let mut state = String::new();
        for statement in &statements {
            let answer = answers.next();
            // A transaction that has ended leaves the rest of the statements on their own.
            let is_open = state != "I";
            // A refused statement is no part of the transaction, even if that may still commit.
            let is_refused = answer.as_ref().is_some_and(|answer| !answer.succeeded());
            match statement.effect {
                StatementEffect::Write(value) => match &mut open_writes {
                    Some(open_writes) if is_open && !is_refused => open_writes.push(value),
                    _ => self.record_outcome(session, value, answer.as_ref()),
                },
                StatementEffect::Read(number, required) => {
                    if let Some(answer) = &answer {
                        self.check_read(session, number, required, answer);
                    }
                }
                StatementEffect::None => {}
            }
            if let Some(answer) = answer {
                state = answer.state;
            }
        }
        match lost {
            Some(error) => Err(error),
            None if in_transaction && state == "T" => Ok(()),
            None if in_transaction => Err(CallerError::Refused("transaction failed".to_owned())),
            None => Ok(()),
        }
    }

    /// Records the outcome of the caller's write by the answer to its statement or to the `COMMIT` of
    /// its transaction; without one, the outcome is unknown.
    fn record_outcome(
        &self,
        session: &mut ObservedSession,
        value: u64,
        answer: Option<&LineAnswer>,
    ) {
        let outcome = match answer {
            Some(answer) if answer.succeeded() => WriteOutcome::Acknowledged,
            Some(answer) if answer.reports_not_applied() => WriteOutcome::NotApplied,
            _ => WriteOutcome::Unknown,
        };
        lock(&self.history).record_write(&item(self.number), value, outcome);
        if outcome == WriteOutcome::Acknowledged {
            session.last_written = session.last_written.max(value);
        }
    }

    /// Runs a transaction with statements sent ahead, which commits, rolls back or is left open.
    async fn run_transaction(
        &self,
        session: &mut ObservedSession,
        value: &mut u64,
        random: &mut ChaCha8Rng,
    ) -> Result<(), CallerError> {
        let begin = match self.kind {
            CallerKind::Writer => "BEGIN",
            CallerKind::Reader | CallerKind::Greedy => "BEGIN READ",
        };
        // A transaction must observe what was acknowledged before it began.
        let numbers = 0..self.writers;
        let required: Vec<u64> = numbers.map(|n| self.required(session, n)).collect();
        if !session.request(begin).await?.succeeded() {
            return Ok(());
        }
        let mut written = Vec::new();
        let mut result = Ok(());
        for _ in 0..random.random_range(1..3) {
            let count = random.random_range(SENT_AHEAD);
            let mut statements: Vec<CallerStatement> = (0..count)
                .map(|_| self.draw_statement(session, value, random))
                .collect();
            for statement in &mut statements {
                if let StatementEffect::Read(number, newest) = &mut statement.effect {
                    *newest = required[*number];
                }
            }
            let leaves = random.random_range(0..12) == 0;
            result = self
                .run_statements(session, statements, leaves, Some(&mut written), random)
                .await;
            if result.is_err() {
                break;
            }
        }
        let end = match (&result, random.random_range(0..5)) {
            (Err(CallerError::Refused(_)), _) | (Ok(()), 0) => "ROLLBACK",
            (Err(_), _) => "",
            (Ok(()), _) => "COMMIT",
        };
        let answer = match end {
            "" => None,
            end => Some(session.request(end).await),
        };
        for value in written {
            let outcome = match (end, &answer) {
                ("COMMIT", Some(answer)) => answer.as_ref().ok(),
                _ => {
                    // COMMIT was not sent.
                    let item = item(self.number);
                    lock(&self.history).record_write(&item, value, WriteOutcome::NotApplied);
                    continue;
                }
            };
            self.record_outcome(session, value, outcome);
        }
        match answer {
            None => result,
            Some(answer) => answer.map(|_| ()),
        }
    }
}

/// What a statement of a hostile caller does.
enum StatementEffect {
    /// Nothing that is checked by its value.
    None,
    /// Writes this value to the caller's item.
    Write(u64),
    /// Reads the item of this writer, whose newest value that must be observed is this one.
    Read(usize, u64),
}

/// A statement that a hostile caller is about to send.
struct CallerStatement {
    text: String,
    effect: StatementEffect,
}

/// Returns the number at the start of a value, or 0 if there is none.
pub fn leading_number(value: &str) -> u64 {
    let digits = value.chars().take_while(char::is_ascii_digit).count();
    value[..digits].parse().unwrap_or(0)
}

/// Returns an error, which ends the session, if the answer is one: callers end their session after an
/// error in response to `SET`, `PREPARE` or `DEALLOCATE`.
fn require_success(answer: LineAnswer) -> Result<(), CallerError> {
    match answer.succeeded() {
        true => Ok(()),
        false => Err(CallerError::Refused(answer.last_line)),
    }
}

fn item(number: usize) -> String {
    format!("item{number}")
}
