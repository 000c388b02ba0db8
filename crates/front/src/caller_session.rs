//! A caller's session: reads its requests and keeps the state between them.

use std::rc::Rc;
use std::time::Duration;

use platform::caller_codec::CallerCodec;
use platform::caller_codec::CallerMessage;
use platform::caller_codec::CallerReply;
use platform::caller_limits::CONNECTION_ALLOWANCE;
use platform::caller_limits::CallerLimits;
use platform::endpoint_codec;
use platform::line_frame::FrameError;
use session_core::caller_statement::AccessMode;
use session_core::caller_statement::CallerStatement;
use session_core::ids::TeamId;
use session_core::log_point::LogPoint;
use session_core::memory_account::MemoryPart;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::request_outcome::CallerVerdict;
use session_core::secret_text::SecretText;
use session_core::serving_rules::AccessRefusal;
use session_core::serving_rules::DatabaseRoute;
use session_core::session_state::SessionState;
use session_core::session_values::SessionValues;
use tokio::net::TcpStream;

use crate::caller_memory::CloseCause;
use crate::caller_memory::ConnectionMemory;
use crate::endpoint_pool::BusyEndpoint;
use crate::endpoint_pool::PooledConnection;
use crate::instance::Instance;
use crate::line_channel::LineChannel;
use crate::line_channel::MAX_INPUT_BYTES;

/// Time within which the start-up message must arrive after a connection is accepted.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that a start-up waits for the first configuration; callers give up after 2 s.
const FIRST_RULES_WAIT: Duration = Duration::from_millis(1_500);

/// Fraction of the grace time in which an open transaction may still end.
const TRANSACTION_GRACE_FRACTION: f64 = 0.5;

/// Timeout of a rollback on an endpoint.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of bytes that are read for a start-up message: a caller without an accepted key gets
/// the allowance of a connection and nothing beyond it.
const MAX_STARTUP_BYTES: usize = CONNECTION_ALLOWANCE.0 as usize;

/// Copies of a message that exist until it has been sent to an endpoint: the statement and the bytes
/// to send.
const REQUEST_COPIES: usize = 2;

/// What a message beyond the allowance reserves before it is read, as its length is not known.
const MESSAGE_RESERVATION_BYTES: usize = REQUEST_COPIES * MAX_INPUT_BYTES;

/// Copies of a session's values and names: the session's, that of the endpoint connection which
/// serves it, and the bytes that replay them.
const STATE_COPIES: usize = 3;

/// Memory of a value or a prepared name in addition to its text.
const STATE_ENTRY_BYTES: usize = 128;

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
    /// Team for which that connection was opened.
    pub team: Option<TeamId>,
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

impl SessionRefusal {
    /// The key of the session belongs to another team than the one for which a request began.
    pub(crate) const MOVED_KEY: Self = Self {
        verdict: CallerVerdict::Denied,
        reason: "key_moved_to_another_team",
    };
}

/// Why no message was received.
enum ReceiveEnd {
    /// The caller closed the connection.
    Left,
    /// The bytes are no message, or the connection failed.
    Frame(FrameError),
    /// A message was not complete in time.
    Overdue,
}

/// Session of one connected caller.
pub struct CallerSession {
    pub(crate) instance: Rc<Instance>,
    pub(crate) channel: LineChannel<CallerCodec>,
    pub(crate) memory: ConnectionMemory,
    pub(crate) database: String,
    pub(crate) key: SecretText,
    pub(crate) values: SessionValues,
    /// Position of the session's newest commit.
    pub(crate) floor: Option<LogPoint>,
    pub(crate) transaction: Option<OpenTransaction>,
    /// Size of the values and prepared names.
    state_bytes: usize,
    /// Size of the last answer of an endpoint, which the next one is expected to have.
    pub(crate) answer_bytes: usize,
    /// When the first byte of the message arrived that is being received.
    message_begun_at: Option<MonotonicTime>,
    /// The endpoint that was too busy for the present request.
    pub(crate) busy: Option<BusyEndpoint>,
    /// Number of requests refused by busy endpoints since the last one that was served.
    pub(crate) busy_refusals: u32,
    served: u64,
}

impl CallerSession {
    /// Creates the session of a new connection.
    pub fn new(instance: Rc<Instance>, stream: TcpStream, memory: ConnectionMemory) -> Self {
        Self {
            instance,
            channel: LineChannel::new(stream, CallerCodec::default()),
            memory,
            database: String::new(),
            key: SecretText::default(),
            values: SessionValues::default(),
            floor: None,
            transaction: None,
            state_bytes: 0,
            answer_bytes: 0,
            message_begun_at: None,
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
        if let Err(error) = self.channel.shutdown().await {
            tracing::debug!(event = "caller_lost", %error);
        }
    }

    async fn start(&mut self) -> Result<(), EndReason> {
        let close = self.memory.close_signal();
        let first = tokio::select! {
            biased;
            first = tokio::time::timeout(STARTUP_TIMEOUT, self.receive(MAX_STARTUP_BYTES)) => first,
            cause = close.raised() => return Err(self.report_close(cause)),
        };
        match first {
            Ok(Ok(CallerMessage::Startup { database, key })) => {
                self.database = database;
                self.key = key;
            }
            Ok(Ok(_)) => return Err("no_startup"),
            Ok(Err(end)) => return Err(self.report_receive_end(end).await),
            Err(_) => return Err("startup_overdue"),
        }
        tokio::select! {
            biased;
            () = self.await_rules() => {}
            cause = close.raised() => return Err(self.report_close(cause)),
        }
        if let Err(refusal) = self.access() {
            tracing::info!(
                event = "session_refused",
                database = log_excerpt(&self.database),
                reason = refusal.reason,
                version = self.version(),
            );
            self.refuse(&refusal);
            self.flush().await?;
            return Err(refusal.reason);
        }
        self.memory.record_start();
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
            let (id, statement) = match message {
                CallerMessage::Terminate => return "terminated",
                CallerMessage::Startup { .. } => return "second_startup",
                CallerMessage::Request { id, statement } => (id, statement),
            };
            self.memory.set_busy(true);
            let served = self.serve_request(id, statement).await;
            self.memory.set(MemoryPart::Request, 0);
            self.memory.set_busy(false);
            self.served += 1;
            if let Err(end) = served {
                return end;
            }
            if let Err(end) = self.flush().await {
                return end;
            }
        }
    }

    /// Waits for the next message. Meanwhile, ends a transaction that is idle for too long or whose
    /// endpoint's zone is evacuated, and the session when the instance stops.
    async fn next_message(&mut self) -> Result<CallerMessage, EndReason> {
        let mut stopping = self.instance.stopping.subscribe();
        let mut changes = self.instance.changes.subscribe();
        let close = self.memory.close_signal();
        let idle_since = now();
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
                .map(|idle| idle_since + idle);
            let use_end = self.transaction_use_end();
            let deadline = [stop_end, idle_end, use_end].into_iter().flatten().min();
            let runs = self
                .transaction
                .as_ref()
                .is_some_and(|t| t.connection.is_some());
            let remaining = deadline.map(|at| at.saturating_since(now()));
            tokio::select! {
                biased;
                message = self.receive(usize::MAX) => return match message {
                    Ok(message) => Ok(message),
                    Err(end) => Err(self.report_receive_end(end).await),
                },
                cause = close.raised() => return Err(self.report_close(cause)),
                changed = stopping.changed() => {
                    if changed.is_err() {
                        return Err("process_ends");
                    }
                }
                // An evacuation may have begun.
                changed = changes.changed(), if runs => {
                    if changed.is_err() {
                        return Err("process_ends");
                    }
                }
                () = tokio::time::sleep(remaining.unwrap_or_default()), if remaining.is_some() => {
                    if stop_end.is_some_and(|end| now() >= end) {
                        return Err("stopping");
                    }
                    match use_end.is_some_and(|end| now() >= end) {
                        true => self.leave_evacuated_endpoint(),
                        false => self.end_idle_transaction().await,
                    }
                }
            }
        }
    }

    /// Receives a message; reads at most `max_bytes` for it, and no further than one step beyond its
    /// end, so that a caller which sends without waiting for answers is held up. No bytes are lost
    /// if the future is dropped.
    async fn receive(&mut self, max_bytes: usize) -> Result<CallerMessage, ReceiveEnd> {
        let limit = self.instance.settings.callers.message_time;
        let mut unreported = 0;
        loop {
            // Statements that are answered without an endpoint would otherwise keep the only thread
            // from other tasks while there are complete messages.
            tokio::task::consume_budget().await;
            let before = self.channel.input_bytes();
            if let Some(message) = self.channel.decode().map_err(ReceiveEnd::Frame)? {
                let left = self.channel.input_bytes();
                self.message_begun_at = None;
                self.memory
                    .set(MemoryPart::Request, REQUEST_COPIES * (before - left));
                self.memory.set(MemoryPart::Input, left);
                return Ok(message);
            }
            if self.channel.input_bytes_ahead() > max_bytes {
                return Err(ReceiveEnd::Frame(FrameError::TooLarge));
            }
            let deadline = match before {
                0 => None,
                _ => Some(*self.message_begun_at.get_or_insert_with(now) + limit),
            };
            let read = match deadline {
                None => self.channel.read_some().await,
                Some(end) => {
                    let time = end.saturating_since(now());
                    match tokio::time::timeout(time, self.read_more()).await {
                        Ok(read) => read,
                        Err(_) => return Err(ReceiveEnd::Overdue),
                    }
                }
            };
            match read {
                Ok(0) => return Err(ReceiveEnd::Left),
                Ok(size) => unreported += size,
                Err(error) => return Err(ReceiveEnd::Frame(FrameError::Io(error))),
            }
            if unreported >= CallerLimits::PROGRESS_BYTES {
                unreported = 0;
                self.memory.record_progress();
            }
        }
    }

    /// Reads more of a message that has begun, as soon as there is memory for it.
    async fn read_more(&mut self) -> std::io::Result<usize> {
        let ahead = self.channel.input_bytes_ahead();
        let bytes = match ahead as u64 <= CONNECTION_ALLOWANCE.0 {
            true => ahead,
            false => MESSAGE_RESERVATION_BYTES,
        };
        self.memory.wait_set(MemoryPart::Input, bytes).await;
        self.channel.read_some().await
    }

    fn transaction_idle(&self) -> Option<Duration> {
        let view = self.instance.view.borrow();
        view.rules.as_ref().and_then(|rules| rules.transaction_idle)
    }

    /// Returns when the open transaction ends because its endpoint's zone is evacuated.
    fn transaction_use_end(&self) -> Option<MonotonicTime> {
        let connection = self.transaction.as_ref()?.connection.as_ref()?;
        self.instance.evacuation_end(&connection.endpoint)
    }

    /// Ends the transaction by closing its connection, since nothing more may be sent to its endpoint.
    fn leave_evacuated_endpoint(&mut self) {
        let Some(transaction) = &mut self.transaction else {
            return;
        };
        if let Some(connection) = transaction.connection.take() {
            tracing::info!(event = "transaction_ended", reason = "zone_evacuated", endpoint = %connection.endpoint);
        }
        transaction.failed = true;
        transaction.ended_by = Some("zone_evacuated");
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
                let former = self.values.values.get(&name);
                let former = former.map_or(0, |former| entry_bytes(&name, former));
                if let Err(error) = endpoint_codec::check_value(&name, &value) {
                    self.refuse_unsendable(&id, &error, arrived);
                } else if self.grow_state(&id, former, entry_bytes(&name, &value), arrived) {
                    self.values.values.insert(name, value);
                    self.answer_local();
                }
            }
            CallerStatement::Prepare { name, definition } => {
                let former = self.values.prepared.get(&name);
                let former = former.map_or(0, |former| entry_bytes(&name, &former.text));
                let added = entry_bytes(&name, &definition.text);
                if let Err(error) = endpoint_codec::check_definition(&definition) {
                    self.refuse_unsendable(&id, &error, arrived);
                } else if self.grow_state(&id, former, added, arrived) {
                    self.values.prepared.insert(name, definition);
                    self.answer_local();
                }
            }
            CallerStatement::Deallocate { name } => {
                if let Some(former) = self.values.prepared.remove(&name) {
                    self.state_bytes -= entry_bytes(&name, &former.text);
                    self.memory
                        .set(MemoryPart::State, STATE_COPIES * self.state_bytes);
                }
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
                    team: None,
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

    /// Refuses a request whose text can never be sent to an endpoint.
    pub(crate) fn refuse_unsendable(
        &mut self,
        id: &str,
        error: &FrameError,
        arrived: MonotonicTime,
    ) {
        let (verdict, reason) = match error {
            FrameError::TooLarge => (CallerVerdict::TooLarge, "statement_too_large"),
            _ => (CallerVerdict::Malformed, "malformed_statement"),
        };
        self.refuse_request(id, verdict, reason, arrived);
    }

    /// Accounts for a value or a prepared name that replaces one of `former` bytes. If it exceeds
    /// the limit or there is no memory for it, refuses the request and returns `false`.
    fn grow_state(
        &mut self,
        id: &str,
        former: usize,
        added: usize,
        arrived: MonotonicTime,
    ) -> bool {
        let bytes = self.state_bytes - former + added;
        if bytes as u64 > self.instance.settings.callers.session_state.0 && added > former {
            self.refuse_request(
                id,
                CallerVerdict::TooLarge,
                "session_state_too_large",
                arrived,
            );
            return false;
        }
        if !self.memory.try_set(MemoryPart::State, STATE_COPIES * bytes) {
            self.refuse_request(id, CallerVerdict::Busy, "memory_short", arrived);
            return false;
        }
        self.state_bytes = bytes;
        true
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

    /// Returns the route and the team of the session if it may go on with its open transaction. The
    /// transaction runs for the team of its first statement, and its key may have been withdrawn or
    /// moved to another team since.
    pub(crate) fn transaction_access(
        &self,
    ) -> Result<(DatabaseRoute, Option<TeamId>), SessionRefusal> {
        let (route, team) = self.access()?;
        let running = self.transaction.as_ref().filter(|t| t.connection.is_some());
        match running.is_none_or(|transaction| transaction.team == team) {
            true => Ok((route, team)),
            false => Err(SessionRefusal::MOVED_KEY),
        }
    }

    /// Rolls the transaction back at the endpoint. A connection that does not confirm is closed, which
    /// also rolls back; so is one for whose team nothing more may run.
    async fn roll_back(&mut self, id: &str) {
        let may_run = self.transaction_access().is_ok();
        let Some(transaction) = self.transaction.take() else {
            return;
        };
        let Some(mut connection) = transaction.connection.filter(|_| may_run) else {
            return;
        };
        let rollback = platform::endpoint_codec::EndpointCommand::Pass {
            id: id.to_owned(),
            floor: None,
            statement: platform::endpoint_codec::ForwardedStatement::Rollback,
        };
        if let Err(fault) = connection.run(rollback, ROLLBACK_TIMEOUT).await {
            tracing::info!(event = "rollback_by_close", request = log_excerpt(id), endpoint = %connection.endpoint, ?fault);
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
        if !self.instance.evacuations_are_current() {
            return Err(SessionRefusal {
                verdict: CallerVerdict::Busy,
                reason: "evacuations_may_be_outdated",
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
            request = log_excerpt(id),
            ?verdict,
            reason,
            database = log_excerpt(&self.database),
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
        // The channel then writes nothing more, so that the caller never gets a part of an answer.
        if let Err(error) = self.channel.queue(reply) {
            tracing::warn!(event = "reply_not_encoded", %error);
        }
    }

    /// Writes what is queued. A caller that takes too little of it for too long loses the connection
    /// of its open transaction, then its own.
    pub(crate) async fn flush(&mut self) -> Result<(), EndReason> {
        self.channel.try_write().map_err(|_| "caller_lost")?;
        self.memory
            .set(MemoryPart::Output, self.channel.output_held_bytes());
        let reader_time = self.instance.settings.callers.reader_time;
        let close = self.memory.close_signal();
        let mut begun_at = now();
        let mut taken = 0;
        while self.channel.output_bytes() > 0 {
            let holds_connection = self.transaction.as_ref();
            let holds_connection = holds_connection.is_some_and(|t| t.connection.is_some());
            let time = match holds_connection {
                true => self
                    .transaction_idle()
                    .unwrap_or(reader_time)
                    .min(reader_time),
                false => reader_time,
            };
            let remaining = (begun_at + time).saturating_since(now());
            tokio::select! {
                biased;
                written = self.channel.write_some() => {
                    taken += written.map_err(|_| "caller_lost")?;
                    self.memory.set(MemoryPart::Output, self.channel.output_held_bytes());
                }
                cause = close.raised() => return Err(self.report_close(cause)),
                () = tokio::time::sleep(remaining) => {
                    if !holds_connection {
                        return Err(self.report_limit("reader_overdue"));
                    }
                    self.end_idle_transaction().await;
                }
            }
            if taken >= CallerLimits::PROGRESS_BYTES {
                taken = 0;
                begun_at = now();
                self.memory.record_progress();
            }
        }
        Ok(())
    }

    async fn report_receive_end(&mut self, end: ReceiveEnd) -> EndReason {
        match end {
            ReceiveEnd::Left => "caller_left",
            ReceiveEnd::Frame(error) => self.report_frame_error(&error).await,
            ReceiveEnd::Overdue => self.report_limit("message_overdue"),
        }
    }

    /// Counts and logs that a limit ends the session.
    fn report_limit(&self, reason: EndReason) -> EndReason {
        self.instance.report_closed_caller(reason);
        reason
    }

    fn report_close(&self, cause: CloseCause) -> EndReason {
        self.report_limit(cause.reason())
    }

    async fn report_frame_error(&mut self, error: &FrameError) -> EndReason {
        let (verdict, reason) = match error {
            FrameError::TooLarge => {
                let reason = self.report_limit("message_too_large");
                (CallerVerdict::TooLarge, reason)
            }
            FrameError::NotText
            | FrameError::BareFeed
            | FrameError::BadField { .. }
            | FrameError::Unexpected(_) => {
                tracing::info!(event = "session_refused", reason = "malformed_message", %error);
                (CallerVerdict::Malformed, "malformed_message")
            }
            FrameError::Io(_) => return "caller_lost",
        };
        self.refuse(&SessionRefusal { verdict, reason });
        match self.flush().await {
            Ok(()) => reason,
            Err(end) => end,
        }
    }
}

/// Returns what a value or a prepared name takes.
fn entry_bytes(name: &str, text: &str) -> usize {
    STATE_ENTRY_BYTES + name.len() + text.len()
}

/// Returns the beginning of a text of a caller, which may be as long as a message, for log lines.
pub(crate) fn log_excerpt(text: &str) -> &str {
    const MAX_BYTES: usize = 128;
    &text[..text.floor_char_boundary(MAX_BYTES)]
}
