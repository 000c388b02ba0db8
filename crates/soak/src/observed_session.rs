//! A session that records its requests and answers in the history of the run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use standins::platform::line_caller::CallerError;
use standins::platform::line_caller::LineAnswer;
use standins::platform::line_caller::LineCaller;

use crate::observed_history::ObservedAnswer;
use crate::observed_history::ObservedHistory;
use crate::observed_history::ObservedRequest;
use crate::observed_history::TransactionScope;
use crate::soak_callers::lock;

/// Longest pause between two pieces of a message.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 0..4;

/// A request that was sent and has no answer yet.
pub struct SentRequest {
    /// Its id.
    pub id: String,
    /// Its statement.
    pub text: String,
}

/// A session and the state that its answers have told.
pub struct ObservedSession {
    caller: LineCaller,
    history: Arc<Mutex<ObservedHistory>>,
    /// Database of the session.
    pub database: &'static str,
    /// Team for which the session's statements run.
    team: String,
    /// Whether a request that the daemon leaves unanswered is recorded.
    planned: bool,
    values: BTreeMap<String, String>,
    definitions: BTreeMap<String, String>,
    /// Id of the request that began the open transaction.
    transaction: Option<String>,
    /// Newest value whose write was acknowledged to this session; 0 if there is none.
    pub last_written: u64,
}

impl ObservedSession {
    /// Creates the record of a session that has just been opened.
    pub fn new(
        caller: LineCaller,
        history: Arc<Mutex<ObservedHistory>>,
        database: &'static str,
        team: &str,
        planned: bool,
    ) -> Self {
        Self {
            caller,
            history,
            database,
            team: team.to_owned(),
            planned,
            values: BTreeMap::new(),
            definitions: BTreeMap::new(),
            transaction: None,
            last_written: 0,
        }
    }

    /// Returns the mode of a prepared statement, if the name is prepared.
    pub fn mode(&self, name: &str) -> Option<&str> {
        self.definitions.get(name)?.split(' ').next()
    }

    fn scope(&self) -> TransactionScope {
        match &self.transaction {
            Some(id) => TransactionScope::Inside(id.clone()),
            None => TransactionScope::Outside,
        }
    }

    /// Records a request and returns the bytes of its message.
    fn prepare_request(&mut self, text: &str) -> (SentRequest, Vec<u8>) {
        let id = self.caller.next_id();
        let name = text.strip_prefix("EXECUTE ");
        let name = name.and_then(|rest| rest.split(' ').next());
        let request = ObservedRequest {
            definition: name.and_then(|name| self.definitions.get(name).cloned()),
            values: self.values.clone(),
            scope: self.scope(),
            ..ObservedRequest::new(&self.team, text)
        };
        lock(&self.history).record_request(id.clone(), request);
        let sent = SentRequest {
            id,
            text: text.to_owned(),
        };
        (sent, self.caller.next_message(text))
    }

    /// Sends requests at once, without waiting for answers in between; with `pieces`, in pieces that
    /// end anywhere.
    pub async fn send(
        &mut self,
        texts: &[String],
        pieces: Option<&mut ChaCha8Rng>,
    ) -> Result<Vec<SentRequest>, CallerError> {
        let mut requests = Vec::new();
        let mut bytes = Vec::new();
        for text in texts {
            let (sent, message) = self.prepare_request(text);
            requests.push(sent);
            bytes.extend(message);
        }
        let mut rest = bytes.as_slice();
        if let Some(random) = pieces {
            for _ in 0..random.random_range(1..4) {
                let (piece, after) = rest.split_at(random.random_range(0..=rest.len()));
                self.caller.send_bytes(piece).await?;
                let pause = random.random_range(PIECE_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
                rest = after;
            }
        }
        self.caller.send_bytes(rest).await?;
        Ok(requests)
    }

    /// Receives the answers to requests that were sent at once. There are fewer than requests only if
    /// the last one is an error, after which the session must not be used.
    pub async fn receive(&mut self, sent: &[SentRequest]) -> Vec<Result<LineAnswer, CallerError>> {
        let mut answers = Vec::new();
        for (number, request) in sent.iter().enumerate() {
            lock(&self.history).set_scope(&request.id, self.scope());
            let answer = self.caller.receive_answer().await;
            let is_lost = answer.is_err();
            // Later requests of a connection that ended may not have been read.
            self.record_answer(request, &answer, number == 0);
            answers.push(answer);
            if is_lost {
                for later in &sent[number + 1..] {
                    lock(&self.history).set_scope(&later.id, TransactionScope::Unknown);
                }
                break;
            }
        }
        answers
    }

    /// Sends a request and waits for its answer. An error means that the session must not be used.
    pub async fn request(&mut self, text: &str) -> Result<LineAnswer, CallerError> {
        let sent = self.send(&[text.to_owned()], None).await?;
        let answer = self.receive(&sent).await.pop();
        answer.unwrap_or(Err(CallerError::Silent))
    }

    fn record_answer(
        &mut self,
        request: &SentRequest,
        answer: &Result<LineAnswer, CallerError>,
        is_first: bool,
    ) {
        let SentRequest { id, text } = request;
        let mut history = lock(&self.history);
        match answer {
            Ok(answer) if answer.succeeded() => {
                history.served += 1;
                let word = text.split(' ').next().unwrap_or_default();
                if matches!(word, "READ" | "WRITE" | "EXECUTE" | "COMMIT") {
                    history.answers.push(ObservedAnswer {
                        id: id.clone(),
                        rows: answer.rows.clone(),
                        last_line: answer.last_line.clone(),
                    });
                } else if answer.last_line != "COMPLETE -" || !answer.rows.is_empty() {
                    history
                        .record_violation(format!("{text:?} of {id} was answered with {answer:?}"));
                }
                drop(history);
                self.apply(request);
                if answer.state == "I" {
                    self.transaction = None;
                }
            }
            Ok(answer) => {
                history.failed += 1;
                if answer.state == "I" {
                    self.transaction = None;
                }
            }
            Err(error) => {
                history.failed += 1;
                let silent = matches!(error, CallerError::Silent);
                let unexpected = matches!(error, CallerError::Unexpected(_));
                if silent || unexpected {
                    history.record_violation(format!("{text:?} of {id} was not answered: {error}"));
                } else if self.planned && is_first {
                    history.record_unanswered(id.clone());
                }
            }
        }
    }

    /// Changes the state of the session as a successful request does.
    fn apply(&mut self, request: &SentRequest) {
        let (word, rest) = request.text.split_once(' ').unwrap_or((&request.text, ""));
        let named = rest.split_once(' ');
        match (word, named) {
            ("SET", Some((name, value))) => {
                self.values.insert(name.to_owned(), value.to_owned());
            }
            ("PREPARE", Some((name, definition))) => {
                self.definitions
                    .insert(name.to_owned(), definition.to_owned());
            }
            ("DEALLOCATE", _) => {
                self.definitions.remove(rest);
            }
            ("BEGIN", _) => self.transaction = Some(request.id.clone()),
            _ => {}
        }
    }
}
