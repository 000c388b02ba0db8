//! A caller's session: reads its requests and keeps the state between them.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::Sink;
use futures_util::SinkExt;
use futures_util::StreamExt;
use platform::caller_codec::CallerCodec;
use platform::caller_codec::CallerMessage;
use platform::caller_codec::CallerReply;
use platform::caller_codec::SessionState;
use platform::line_frame::FrameError;
use session_core::caller_statement::AccessMode;
use session_core::caller_statement::CallerStatement;
use session_core::ids::TeamId;
use session_core::log_point::LogPoint;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::request_outcome::CallerVerdict;
use session_core::secret_text::SecretText;
use session_core::serving_rules::AccessRefusal;
use session_core::serving_rules::DatabaseRoute;
use session_core::session_values::SessionValues;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::endpoint_pool::BusyEndpoint;
use crate::endpoint_pool::PooledConnection;
use crate::instance::Instance;

/// Time within which the start-up message must arrive after a connection is accepted.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that a start-up waits for the first configuration; callers give up after 2 s.
const FIRST_RULES_WAIT: Duration = Duration::from_millis(1_500);

/// Fraction of the grace time in which an open transaction may still end.
const TRANSACTION_GRACE_FRACTION: f64 = 0.5;

/// Timeout of a rollback on an endpoint.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason of a refusal because an endpoint is busy.
pub(crate) const BUSY_REASON: &str = "endpoint_busy";

/// Reason why a session ended, for log lines.
pub type EndReason = &'static str;

/// A transaction that the caller has begun and not ended.
pub(crate) struct OpenTransaction {
    pub mode: AccessMode,
    pub arrived: MonotonicTime,
    /// Connection that it runs on, set by its first statement.
    pub connection: Option<PooledConnection>,
    pub statement_time: Duration,
    pub wrote: bool,
    pub failed: bool,
    /// Reason why the instance ended it, until the caller has been informed.
    pub ended_by: Option<&'static str>,
}

/// A refusal to send to the caller.
pub(crate) struct SessionRefusal {
    pub verdict: CallerVerdict,
    pub reason: &'static str,
}

/// Session of one connected caller.
pub struct CallerSession {
    pub(crate) instance: Rc<Instance>,
    pub(crate) framed: Framed<TcpStream, CallerCodec>,
    pub(crate) database: String,
    pub(crate) key: SecretText,
    pub(crate) values: SessionValues,
    /// Position of the session's newest commit.
    pub(crate) floor: Option<LogPoint>,
    pub(crate) transaction: Option<OpenTransaction>,
    /// The endpoint that was too busy for the present request.
    pub(crate) busy: Option<BusyEndpoint>,
    /// Number of requests refused by busy endpoints since the last one that was served.
    pub(crate) busy_refusals: u32,
    served: u64,
}

impl CallerSession {
    /// Creates the session of a new connection.
    pub fn new(instance: Rc<Instance>, stream: TcpStream) -> Self {
        Self {
            instance,
            framed: Framed::new(stream, CallerCodec::default()),
            database: String::new(),
            key: SecretText::default(),
            values: SessionValues::default(),
            floor: None,
            transaction: None,
            busy: None,
            busy_refusals: 0,
            served: 0,
        }
    }

    /// Serves the session until it ends.
    pub async fn run(mut self) {
        let end = match self.start().await {
            Ok(()) => self.serve().await,
            Err(end) => end,
        };
        self.transaction = None;
        tracing::debug!(event = "session_ended", reason = end);
        if let Err(error) = self.framed.close().await {
            tracing::debug!(event = "caller_lost", %error);
        }
    }

    async fn start(&mut self) -> Result<(), EndReason> {
        let first = tokio::time::timeout(STARTUP_TIMEOUT, self.framed.next()).await;
        match first {
            Ok(Some(Ok(CallerMessage::Startup { database, key }))) => {
                self.database = database;
                self.key = key;
            }
            Ok(Some(Ok(_))) => return Err("no_startup"),
            Ok(Some(Err(error))) => return Err(self.report_frame_error(&error).await),
            Ok(None) => return Err("caller_left"),
            Err(_) => return Err("startup_overdue"),
        }
        self.await_rules().await;
        if let Err(refusal) = self.access() {
            tracing::info!(
                event = "session_refused",
                database = self.database,
                reason = refusal.reason,
                version = self.version(),
            );
            self.refuse(&refusal);
            self.flush().await?;
            return Err(refusal.reason);
        }
        self.queue_ready("-");
        self.flush().await
    }

    /// Waits until a process that has just started has read the configuration.
    async fn await_rules(&self) {
        let mut changes = self.instance.changes.subscribe();
        let first = async {
            while self.instance.view.borrow().rules.is_none() || !self.instance.keys_are_current() {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(FIRST_RULES_WAIT, first).await.is_err() {
            tracing::debug!(event = "no_configuration_yet");
        }
    }

    async fn serve(&mut self) -> EndReason {
        loop {
            let message = match self.next_message().await {
                Ok(message) => message,
                Err(end) => return end,
            };
            let served = match message {
                CallerMessage::Terminate => return "terminated",
                CallerMessage::Startup { .. } => return "second_startup",
                CallerMessage::Request { id, statement } => self.serve_request(id, statement).await,
            };
            self.served += 1;
            if let Err(end) = served {
                return end;
            }
            if let Err(end) = self.flush().await {
                return end;
            }
        }
    }

    /// Waits for the next message. Meanwhile, ends a transaction that is idle for too long, and the
    /// session when the instance stops.
    async fn next_message(&mut self) -> Result<CallerMessage, EndReason> {
        let mut stopping = self.instance.stopping.subscribe();
        loop {
            let stop_at = *stopping.borrow_and_update();
            let open = self.transaction.is_some();
            let grace = self
                .instance
                .settings
                .grace_time
                .mul_f64(TRANSACTION_GRACE_FRACTION);
            let stop_end = stop_at.map(|at| at + grace);
            if stop_at.is_some() && !open && self.served > 0 {
                return Err("stopping");
            }
            let idle_end = self
                .transaction
                .as_ref()
                .filter(|transaction| transaction.connection.is_some())
                .and_then(|_| self.transaction_idle())
                .map(|idle| now() + idle);
            let deadline = match (stop_end, idle_end) {
                (Some(stop), Some(rest)) => Some(stop.min(rest)),
                (stop, rest) => stop.or(rest),
            };
            let remaining = deadline.map(|at| at.saturating_since(now()));
            tokio::select! {
                biased;
                message = self.framed.next() => return match message {
                    Some(Ok(message)) => Ok(message),
                    Some(Err(error)) => Err(self.report_frame_error(&error).await),
                    None => Err("caller_left"),
                },
                changed = stopping.changed() => {
                    if changed.is_err() {
                        return Err("process_ends");
                    }
                }
                () = tokio::time::sleep(remaining.unwrap_or_default()), if remaining.is_some() => {
                    if stop_end.is_some_and(|end| now() >= end) {
                        return Err("stopping");
                    }
                    self.end_idle_transaction().await;
                }
            }
        }
    }

    fn transaction_idle(&self) -> Option<Duration> {
        let view = self.instance.view.borrow();
        view.rules.as_ref().and_then(|rules| rules.transaction_idle)
    }

    async fn end_idle_transaction(&mut self) {
        let Some(transaction) = &mut self.transaction else {
            return;
        };
        let Some(mut connection) = transaction.connection.take() else {
            return;
        };
        tracing::info!(event = "transaction_ended", reason = "idle_too_long", endpoint = %connection.endpoint);
        transaction.failed = true;
        transaction.ended_by = Some("idle_too_long");
        let rollback = platform::endpoint_codec::EndpointCommand::Rollback;
        if let Err(fault) = connection.run(rollback, ROLLBACK_TIMEOUT).await {
            tracing::debug!(event = "rollback_failed", ?fault);
        }
    }

    async fn serve_request(
        &mut self,
        id: String,
        statement: Option<CallerStatement>,
    ) -> Result<(), EndReason> {
        let arrived = now();
        let Some(statement) = statement else {
            self.refuse_request(&id, CallerVerdict::Malformed, "unknown_statement", arrived);
            return Ok(());
        };
        if let Some(ended_by) = self.transaction.as_mut().and_then(|t| t.ended_by.take())
            && statement != CallerStatement::Rollback
        {
            self.refuse_request(&id, CallerVerdict::Aborted, ended_by, arrived);
            return Ok(());
        }
        if self.transaction.as_ref().is_some_and(|t| t.failed) {
            return self.serve_failed(&id, &statement, arrived).await;
        }
        match statement {
            CallerStatement::Set { name, value } => {
                self.values.values.insert(name, value);
                self.answer_local();
            }
            CallerStatement::Prepare { name, definition } => {
                self.values.prepared.insert(name, definition);
                self.answer_local();
            }
            CallerStatement::Deallocate { name } => {
                self.values.prepared.remove(&name);
                self.answer_local();
            }
            CallerStatement::Begin(mode) => {
                if self.transaction.is_some() {
                    self.refuse_request(&id, CallerVerdict::Malformed, "nested_begin", arrived);
                    return Ok(());
                }
                self.transaction = Some(OpenTransaction {
                    mode,
                    arrived,
                    connection: None,
                    statement_time: Duration::ZERO,
                    wrote: false,
                    failed: false,
                    ended_by: None,
                });
                self.answer_local();
            }
            CallerStatement::Rollback => self.serve_rollback(&id).await,
            CallerStatement::Commit if self.transaction.is_none() => {
                self.refuse_request(&id, CallerVerdict::Malformed, "no_transaction", arrived);
            }
            statement => return self.serve_statement(&id, statement, arrived).await,
        }
        Ok(())
    }

    /// Serves a request inside a failed transaction, which accepts only COMMIT and ROLLBACK.
    async fn serve_failed(
        &mut self,
        id: &str,
        statement: &CallerStatement,
        arrived: MonotonicTime,
    ) -> Result<(), EndReason> {
        match statement {
            CallerStatement::Rollback => self.serve_rollback(id).await,
            CallerStatement::Commit => {
                self.roll_back(id).await;
                self.refuse_request(id, CallerVerdict::Aborted, "transaction_failed", arrived);
            }
            _ => self.refuse_request(id, CallerVerdict::Malformed, "transaction_failed", arrived),
        }
        Ok(())
    }

    async fn serve_rollback(&mut self, id: &str) {
        self.roll_back(id).await;
        self.answer_local();
    }

    /// Rolls the transaction back at the endpoint. A connection that does not confirm is closed,
    /// which also rolls back.
    async fn roll_back(&mut self, id: &str) {
        let Some(transaction) = self.transaction.take() else {
            return;
        };
        let Some(mut connection) = transaction.connection else {
            return;
        };
        let rollback = platform::endpoint_codec::EndpointCommand::Pass {
            id: id.to_owned(),
            floor: None,
            statement: platform::endpoint_codec::ForwardedStatement::Rollback,
        };
        if let Err(fault) = connection.run(rollback, ROLLBACK_TIMEOUT).await {
            tracing::info!(event = "rollback_by_close", request = id, endpoint = %connection.endpoint, ?fault);
        }
    }

    /// Returns the route and the team of the session under the current configuration.
    pub(crate) fn access(&self) -> Result<(DatabaseRoute, Option<TeamId>), SessionRefusal> {
        let rules = self.instance.view.borrow().rules.clone();
        let current = self.instance.keys_are_current();
        let Some(rules) = rules else {
            return Err(SessionRefusal {
                verdict: CallerVerdict::Busy,
                reason: "no_configuration",
            });
        };
        let (route, team) =
            rules
                .access(&self.database, &self.key)
                .map_err(|refusal| match refusal {
                    AccessRefusal::UnknownDatabase => SessionRefusal {
                        verdict: CallerVerdict::UnknownDatabase,
                        reason: "unknown_database",
                    },
                    AccessRefusal::UnknownKey => SessionRefusal {
                        verdict: CallerVerdict::Denied,
                        reason: "key_not_accepted",
                    },
                })?;
        if !current && !route.public {
            return Err(SessionRefusal {
                verdict: CallerVerdict::Busy,
                reason: "keys_may_be_outdated",
            });
        }
        Ok((route.clone(), team.cloned()))
    }

    /// Returns the version of the current configuration, for log lines.
    pub(crate) fn version(&self) -> Option<u64> {
        let view = self.instance.view.borrow();
        view.rules.as_ref().map(|rules| rules.version.0)
    }

    pub(crate) fn state(&self) -> SessionState {
        match &self.transaction {
            None => SessionState::Idle,
            Some(transaction) if transaction.failed => SessionState::Failed,
            Some(_) => SessionState::Open,
        }
    }

    fn answer_local(&mut self) {
        self.queue_reply(CallerReply::Done("-".to_owned()));
        self.queue_ready("-");
    }

    /// Sends the caller a refusal of its request, logs it and counts it by reason.
    pub(crate) fn refuse_request(
        &mut self,
        id: &str,
        verdict: CallerVerdict,
        reason: &'static str,
        arrived: MonotonicTime,
    ) {
        let busy = self.busy.take().filter(|_| reason == BUSY_REASON);
        self.busy_refusals += u32::from(busy.is_some());
        tracing::info!(
            event = "request_refused",
            request = id,
            ?verdict,
            reason,
            database = self.database,
            version = self.version(),
            held_ms = now().saturating_since(arrived).as_millis() as u64,
            endpoint = busy.as_ref().map(|busy| busy.endpoint.as_str()),
            limit = busy.as_ref().map(|busy| busy.limit),
            queue = busy.as_ref().map(|busy| busy.queue),
        );
        self.instance
            .metrics
            .statements
            .with_label_values(&[reason])
            .inc();
        self.refuse(&SessionRefusal { verdict, reason });
        self.queue_ready("-");
    }

    fn refuse(&mut self, refusal: &SessionRefusal) {
        self.queue_reply(CallerReply::Refused {
            verdict: refusal.verdict,
            text: refusal.reason.to_owned(),
        });
    }

    pub(crate) fn queue_ready(&mut self, position: &str) {
        let state = self.state();
        self.queue_reply(CallerReply::Ready {
            state,
            position: position.to_owned(),
        });
    }

    pub(crate) fn queue_reply(&mut self, reply: CallerReply) {
        if let Err(error) = Pin::new(&mut self.framed).start_send(reply) {
            tracing::debug!(event = "caller_lost", %error);
        }
    }

    async fn flush(&mut self) -> Result<(), EndReason> {
        self.framed.flush().await.map_err(|_| "caller_lost")
    }

    async fn report_frame_error(&mut self, error: &FrameError) -> EndReason {
        let (verdict, reason) = match error {
            FrameError::TooLarge => (CallerVerdict::TooLarge, "message_too_large"),
            FrameError::NotText | FrameError::Unexpected(_) => {
                (CallerVerdict::Malformed, "malformed_message")
            }
            FrameError::Io(_) => return "caller_lost",
        };
        tracing::info!(event = "session_refused", reason, %error);
        self.refuse(&SessionRefusal { verdict, reason });
        match self.flush().await {
            Ok(()) => reason,
            Err(end) => end,
        }
    }
}
