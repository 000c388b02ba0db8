//! Runs one request on a leased endpoint connection.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use session_core::answer_check::AnswerFault;
use tokio::time::Instant;

use crate::connection::answer_marker::AnswerMarker;
use crate::connection::answer_marker::MarkerKind;
use crate::connection::answer_marker::MarkerOutcome;
use crate::connection::caller_stream::CallerFault;
use crate::connection::caller_stream::CallerStream;
use crate::connection::endpoint_lease::EndpointLease;
use crate::connection::endpoint_link;
use crate::connection::endpoint_link::LinkError;
use crate::connection::listener_config::CallerLimits;
use crate::connection::prepared_statement;
use crate::connection::prepared_statement::PreparedStatement;
use crate::connection::prepared_statement::StatementHash;
use crate::connection::request_batch::BatchPlan;
use crate::connection::request_batch::PreparedMap;
use crate::connection::request_batch::RequestBatch;
use crate::connection::statement_answer::StatementAnswer;
use crate::connection::wire_frame;
use crate::connection::wire_frame::WireFrame;
use crate::connection::wire_reply::CallerError;
use crate::process::endpoint_status::EndpointRole;
use crate::process::endpoint_status::EndpointStatus;
use crate::request::ports::RequestClass;
use crate::request::statement::StatementKind;

/// Maximum number of prepared statements on one endpoint connection.
const MAX_PREPARED_STATEMENTS: usize = 256;
/// Interval at which a waiting request checks its deadlines, its key and its permit.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of markers that an endpoint may refuse, for example in a failed transaction or because
/// a cancel request of the caller arrived late.
const MAX_REFUSED_MARKERS: usize = 2;

/// How a request on an endpoint connection ended.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// The transaction is still open; the whole answer was sent to the caller.
    Open,
    /// The transaction ended; the messages that report its end are held until it is confirmed.
    Ended {
        /// The status that the endpoint reported after the transaction, if it was queried.
        status: Option<EndpointStatus>,
        /// Whether the last statement failed and nothing was committed.
        failed: bool,
    },
    /// The endpoint refused to write before the request had any effect, and nothing was sent to the
    /// caller.
    ReadOnly,
}

/// Why a request did not get a complete answer.
#[derive(Debug)]
pub enum ExchangeFault {
    /// The endpoint connection failed.
    Link(LinkError),
    /// The caller's connection must be closed.
    Caller(CallerFault),
    /// The transaction exceeded its time limit.
    Deadline,
    /// The key was withdrawn while the request ran.
    Withdrawn,
    /// The caller sent a message or statement that the request cannot contain.
    Refused(CallerError),
}

impl From<LinkError> for ExchangeFault {
    fn from(error: LinkError) -> Self {
        ExchangeFault::Link(error)
    }
}

impl From<CallerFault> for ExchangeFault {
    fn from(fault: CallerFault) -> Self {
        ExchangeFault::Caller(fault)
    }
}

impl From<wire_frame::FrameError> for ExchangeFault {
    fn from(error: wire_frame::FrameError) -> Self {
        ExchangeFault::Caller(CallerFault::Frame(error))
    }
}

/// An answer that is still due for a message of the request, in order.
enum ExpectedAnswer {
    Query,
    Parse {
        /// The statement to remove from the connection's prepared statements if this message fails.
        hash: Option<StatementHash>,
        /// The caller's name to remove if this message fails.
        name: Option<Vec<u8>>,
        /// Whether the instance added the message, so that its answer is not sent to the caller.
        internal: bool,
    },
    Bind,
    Close {
        /// Whether the instance added the message, so that its answer is not sent to the caller.
        internal: bool,
    },
    Describe,
    Execute {
        statement: Option<Arc<PreparedStatement>>,
        /// Number of rows after which the endpoint suspends the portal; 0 means none.
        limit: u64,
    },
    Sync,
    Marker(AnswerMarker),
    /// An answer that the instance gives itself, sent in order with those of the endpoint.
    Local(WireFrame),
}

/// Which messages the request still accepts from the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InputMode {
    /// None; the last message of the request was sent.
    Closed,
    /// Messages of the extended protocol up to Sync.
    Batch,
    /// Rows of a copy.
    Copy,
}

/// One request on an endpoint connection.
pub struct Exchange<'a> {
    /// The caller.
    pub caller: &'a CallerStream,
    /// The endpoint connection.
    pub lease: &'a mut EndpointLease,
    /// The prepared statements of the session.
    pub prepared: &'a mut PreparedMap,
    /// The classification of the request.
    pub plan: &'a BatchPlan,
    /// Limits on size and time.
    pub limits: &'a CallerLimits,
    /// Returns whether the caller's key was withdrawn and the grace time has passed.
    pub withdrawn: &'a dyn Fn() -> bool,
    /// Answer messages that are held back from the caller.
    pub held: BytesMut,
    /// Whether any part of the answer was sent to the caller.
    pub answer_started: bool,
    /// Whether the last message of the request was received from the caller.
    pub complete: bool,
    /// Whether the endpoint has answered a commit whose answer is still held back.
    pub commit_held: bool,
    expected: VecDeque<ExpectedAnswer>,
    /// The answer to the present statement.
    answer: StatementAnswer,
    refused_markers: usize,
    /// Prepared names that the request changed, with their previous statements.
    replaced: Vec<(Vec<u8>, Option<Arc<PreparedStatement>>)>,
    input: InputMode,
    /// Whether the completion of a statement that may end its transaction is held back.
    completion_held: bool,
    /// Whether the answer is held back until its marker is answered.
    buffering: bool,
    failed: bool,
    /// Whether the endpoint refused to write before the request had any effect.
    read_only: bool,
    /// Number of statements that the endpoint completed.
    completed: usize,
    status: Option<EndpointStatus>,
    end_status: Option<u8>,
}

impl<'a> Exchange<'a> {
    /// Creates the exchange for one request.
    pub fn new(
        caller: &'a CallerStream,
        lease: &'a mut EndpointLease,
        prepared: &'a mut PreparedMap,
        plan: &'a BatchPlan,
        limits: &'a CallerLimits,
        withdrawn: &'a dyn Fn() -> bool,
    ) -> Self {
        Self {
            caller,
            buffering: false,
            answer: StatementAnswer::default(),
            refused_markers: 0,
            lease,
            prepared,
            plan,
            limits,
            withdrawn,
            held: BytesMut::new(),
            answer_started: false,
            complete: false,
            commit_held: false,
            expected: VecDeque::new(),
            replaced: Vec::new(),
            input: InputMode::Closed,
            completion_held: false,
            failed: false,
            read_only: false,
            completed: 0,
            status: None,
            end_status: None,
        }
    }

    /// Runs the request up to ReadyForQuery, and the status query after a transaction.
    pub async fn run(&mut self, batch: &RequestBatch) -> Result<ExchangeOutcome, ExchangeFault> {
        // A caller that sends Flush waits for the answer, so it must not be held back.
        self.buffering = batch.complete;
        self.lease.link.check_requested()?;
        if !self.plan.simple {
            self.input = InputMode::Batch;
        }
        for frame in &batch.frames {
            self.send(frame)?;
        }
        let transaction_deadline =
            Instant::from_std(self.lease.arrived) + self.limits.transaction_timeout;
        let mut answer_deadline = Instant::now() + self.limits.answer_timeout;
        loop {
            let mut progress = false;
            self.deliver_local_answers()?;
            while let Some(frame) = self.lease.link.next_frame()? {
                self.receive(&frame)?;
                progress = true;
            }
            if progress {
                answer_deadline = Instant::now() + self.limits.answer_timeout;
            }
            if let Some(outcome) = self.find_outcome()? {
                return Ok(outcome);
            }
            let draining = self.caller.drain();
            match tokio::time::timeout_at(transaction_deadline, draining).await {
                Ok(drained) => drained?,
                Err(_) => return Err(ExchangeFault::Deadline),
            }
            let now = Instant::now();
            if now >= transaction_deadline {
                return Err(ExchangeFault::Deadline);
            }
            if self.expected.is_empty() {
                answer_deadline = now + self.limits.answer_timeout;
            } else if now >= answer_deadline && self.input == InputMode::Closed {
                return Err(LinkError::Deadline.into());
            }
            if (self.withdrawn)() {
                return Err(ExchangeFault::Withdrawn);
            }
            if self.is_superseded() {
                return Err(LinkError::Superseded.into());
            }
            self.wait(now + CHECK_PERIOD).await?;
        }
    }

    fn is_superseded(&self) -> bool {
        let permit = self.lease.permit.as_ref();
        let superseded = permit.and_then(|permit| permit.superseded.as_ref());
        superseded.is_some_and(|superseded| superseded())
    }

    async fn wait(&mut self, until: Instant) -> Result<(), ExchangeFault> {
        let full = self.lease.link.output.len() >= self.limits.max_unsent_bytes;
        let reads_caller = self.input != InputMode::Closed && !full;
        let caller = self.caller;
        let received = tokio::select! {
            biased;
            pumped = self.lease.link.pump(full) => return Ok(pumped?),
            frame = caller.recv(), if reads_caller => frame?,
            () = tokio::time::sleep_until(until) => return Ok(()),
        };
        self.send(&received)
    }

    /// Adds a message of the caller to the output for the endpoint.
    fn send(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        match (self.input, frame.kind()) {
            (InputMode::Closed, b'Q') => {
                self.forward(frame);
                self.expected.push_back(ExpectedAnswer::Query);
                self.complete = true;
                if !self.plan.copies {
                    self.put_marker();
                }
            }
            (InputMode::Copy, b'd') => self.forward(frame),
            (InputMode::Copy, b'c' | b'f') => {
                self.forward(frame);
                self.input = if self.plan.simple {
                    InputMode::Closed
                } else {
                    InputMode::Batch
                };
                if self.plan.simple && self.plan.statements.len() == 1 {
                    self.put_marker();
                }
            }
            (InputMode::Copy, b'H' | b'S') => {}
            (InputMode::Batch, b'P') => self.send_parse(frame)?,
            (InputMode::Batch, b'B') => self.send_bind(frame)?,
            (InputMode::Batch, b'D') => self.send_describe(frame)?,
            (InputMode::Batch, b'C') => self.send_close(frame)?,
            (InputMode::Batch, b'E') => {
                let (portal, rest) = wire_frame::split_text(frame.body())?;
                let limit = rest
                    .first_chunk()
                    .map_or(0, |limit| i32::from_be_bytes(*limit));
                let statement = self.lease.portals.get(portal).cloned().flatten();
                let info = statement.as_ref().and_then(|found| found.info.as_ref());
                self.lease.pinned |= info.is_some_and(|info| info.pins);
                self.forward(frame);
                self.expected.push_back(ExpectedAnswer::Execute {
                    statement,
                    limit: u64::try_from(limit).unwrap_or(0),
                });
            }
            (InputMode::Batch, b'H') => self.forward(frame),
            (InputMode::Batch, b'S') => {
                self.forward(frame);
                self.expected.push_back(ExpectedAnswer::Sync);
                self.input = InputMode::Closed;
                self.complete = true;
                if !self.plan.copies {
                    self.put_marker();
                }
            }
            (InputMode::Batch, b'd' | b'c' | b'f') => {}
            (_, b'X') => return Err(CallerFault::Disconnected.into()),
            _ => {
                let error = CallerError::new("08P01", "message does not fit the request");
                return Err(ExchangeFault::Refused(error));
            }
        }
        Ok(())
    }

    fn forward(&mut self, frame: &WireFrame) {
        self.lease.link.output.extend_from_slice(frame.bytes());
    }

    /// Adds a marker after the request: a status query if the request ends a transaction.
    fn put_marker(&mut self) {
        let ends = if self.lease.in_transaction() {
            self.plan.ends
        } else {
            !self.plan.opens || self.plan.ends
        };
        self.put_marker_of(if ends && self.needs_status() {
            MarkerKind::Status
        } else {
            MarkerKind::Setting
        });
    }

    fn put_marker_of(&mut self, kind: MarkerKind) {
        let marker = AnswerMarker::new(kind);
        marker.put(&mut self.lease.link.output);
        self.expected.push_back(ExpectedAnswer::Marker(marker));
    }

    fn needs_status(&self) -> bool {
        self.lease.primary || self.lease.class == RequestClass::Write
    }

    fn send_parse(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        let (name, statement) = PreparedStatement::from_parse(frame)?;
        if let Some(info) = &statement.info {
            if let Some(what) = info.unsupported {
                return Err(ExchangeFault::Refused(CallerError::not_supported(what)));
            }
            if info.is_local() {
                let what = "mixing settings of tamaracklb with other statements";
                return Err(ExchangeFault::Refused(CallerError::not_supported(what)));
            }
        }
        let statement = Arc::new(statement);
        let hash = statement.hash;
        // A Parse with an existing name is forwarded so that the endpoint refuses it.
        let name_exists = !name.is_empty() && self.prepared.contains_key(&name);
        let is_prepared = self.lease.link.prepared.contains(&hash);
        if !name_exists {
            let before = self.prepared.insert(name.clone(), statement.clone());
            self.replaced.push((name.clone(), before));
        }
        if is_prepared && !name_exists {
            let answer = WireFrame::new(b'1', &[]);
            self.expected.push_back(ExpectedAnswer::Local(answer));
            return Ok(());
        }
        if name_exists && !is_prepared {
            self.put_parse(&statement, None, true);
        }
        if name_exists {
            self.forward(&statement.to_parse());
            self.expected.push_back(ExpectedAnswer::Parse {
                hash: None,
                name: None,
                internal: false,
            });
        } else {
            self.put_parse(&statement, Some(name), false);
        }
        Ok(())
    }

    fn put_parse(&mut self, statement: &PreparedStatement, name: Option<Vec<u8>>, internal: bool) {
        while let Some(old) = self.lease.link.prepared.evict(MAX_PREPARED_STATEMENTS) {
            let close = prepared_statement::statement_message(b'C', &old.to_string());
            self.forward(&close);
            self.expected
                .push_back(ExpectedAnswer::Close { internal: true });
        }
        let hash = statement.hash;
        self.forward(&statement.to_parse());
        self.lease.link.prepared.insert(hash);
        self.expected.push_back(ExpectedAnswer::Parse {
            hash: Some(hash),
            name,
            internal,
        });
    }

    /// Prepares a statement on the endpoint, unless it already is prepared, and returns its name
    /// there.
    fn ensure_prepared(&mut self, name: &[u8]) -> (String, Option<Arc<PreparedStatement>>) {
        let Some(statement) = self.prepared.get(name).cloned() else {
            return (unknown_name(name), None);
        };
        if !self.lease.link.prepared.contains(&statement.hash) {
            self.put_parse(&statement, None, true);
        }
        (statement.hash.to_string(), Some(statement))
    }

    fn send_bind(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        let (portal, rest) = wire_frame::split_text(frame.body())?;
        let (name, _) = wire_frame::split_text(rest)?;
        let (endpoint_name, statement) = self.ensure_prepared(name);
        let renamed = prepared_statement::rename_bind(frame, &endpoint_name)?;
        self.lease.portals.insert(portal.to_vec(), statement);
        self.forward(&renamed);
        self.expected.push_back(ExpectedAnswer::Bind);
        Ok(())
    }

    fn send_describe(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if let Some((b'S', rest)) = frame.body().split_first() {
            let (name, _) = wire_frame::split_text(rest)?;
            let (endpoint_name, _) = self.ensure_prepared(name);
            self.forward(&prepared_statement::statement_message(b'D', &endpoint_name));
        } else {
            self.forward(frame);
        }
        self.expected.push_back(ExpectedAnswer::Describe);
        Ok(())
    }

    fn send_close(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if let Some((b'S', rest)) = frame.body().split_first() {
            let (name, _) = wire_frame::split_text(rest)?;
            let before = self.prepared.remove(name);
            self.replaced.push((name.to_vec(), before));
            self.expected
                .push_back(ExpectedAnswer::Local(WireFrame::new(b'3', &[])));
        } else {
            self.forward(frame);
            self.expected
                .push_back(ExpectedAnswer::Close { internal: false });
        }
        Ok(())
    }

    /// Handles a message from the endpoint.
    fn receive(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        self.deliver_local_answers()?;
        if matches!(self.expected.front(), Some(ExpectedAnswer::Marker(_))) {
            return self.receive_marker(frame);
        }
        if self.failed && !matches!(frame.kind(), b'N' | b'S' | b'A' | b'Z') {
            return Err(unexpected(AnswerFault::MessageOrder));
        }
        match (frame.kind(), self.expected.front()) {
            (b'N' | b'S' | b'A', _) => self.receive_notice(frame),
            (b'E', _) => self.receive_error(frame),
            (b'Z', Some(ExpectedAnswer::Query | ExpectedAnswer::Sync)) => self.receive_ready(frame),
            (b'1', Some(ExpectedAnswer::Parse { .. })) => {
                if let Some(ExpectedAnswer::Parse {
                    internal: false, ..
                }) = self.expected.pop_front()
                {
                    self.hold_or_deliver(frame)?;
                }
                Ok(())
            }
            (b'2', Some(ExpectedAnswer::Bind)) => {
                self.expected.pop_front();
                self.hold_or_deliver(frame)
            }
            (b'3', Some(ExpectedAnswer::Close { .. })) => {
                if let Some(ExpectedAnswer::Close { internal: false }) = self.expected.pop_front() {
                    self.hold_or_deliver(frame)?;
                }
                Ok(())
            }
            (b't', Some(ExpectedAnswer::Describe)) => self.hold_or_deliver(frame),
            (b'T' | b'n', Some(ExpectedAnswer::Describe)) => {
                self.expected.pop_front();
                self.hold_or_deliver(frame)
            }
            (
                b'T' | b'D' | b'd' | b'H' | b'c' | b'G',
                Some(ExpectedAnswer::Query | ExpectedAnswer::Execute { .. }),
            ) => self.receive_part(frame),
            (b'C' | b'I' | b's', Some(ExpectedAnswer::Query | ExpectedAnswer::Execute { .. })) => {
                self.receive_complete(frame)
            }
            _ => Err(unexpected(AnswerFault::MessageOrder)),
        }?;
        self.deliver_local_answers()
    }

    /// Forwards a notice, a parameter or a notification, which are part of no answer.
    fn receive_notice(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        // An endpoint may send them after the completion of a transaction.
        if self.completion_held {
            self.held.extend_from_slice(frame.bytes());
            return Ok(());
        }
        self.hold_or_deliver(frame)
    }

    /// Handles a message that precedes the completion of a statement.
    fn receive_part(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        let is_simple = matches!(self.expected.front(), Some(ExpectedAnswer::Query));
        if is_simple && self.completed >= self.max_completions() {
            return Err(unexpected(AnswerFault::MessageOrder));
        }
        let checked = self.answer.receive(frame.kind(), !is_simple);
        checked.map_err(unexpected)?;
        if frame.kind() == b'G' {
            return self.receive_copy_in(frame);
        }
        self.hold_or_deliver(frame)
    }

    /// Returns the maximum number of statements that a simple query can complete.
    fn max_completions(&self) -> usize {
        self.plan.statements.len().max(1)
    }

    fn deliver_local_answers(&mut self) -> Result<(), ExchangeFault> {
        while let Some(ExpectedAnswer::Local(_)) = self.expected.front() {
            if let Some(ExpectedAnswer::Local(answer)) = self.expected.pop_front() {
                self.hold_or_deliver(&answer)?;
            }
        }
        Ok(())
    }

    /// Holds a message back while a retry is possible or a commit is unconfirmed; otherwise sends
    /// it to the caller.
    fn hold_or_deliver(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if !self.buffering && !self.commit_held {
            return self.deliver(frame);
        }
        if self.held.len() + frame.bytes().len() > self.limits.max_unsent_bytes {
            if self.commit_held {
                return Err(LinkError::Protocol.into());
            }
            return self.deliver(frame);
        }
        self.held.extend_from_slice(frame.bytes());
        Ok(())
    }

    fn deliver(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if self.commit_held {
            return self.hold_or_deliver(frame);
        }
        self.deliver_held()?;
        Ok(self.caller.write(frame.bytes())?)
    }

    /// Restores the prepared names of the session as they were before the request.
    pub fn restore_names(&mut self) {
        while let Some((name, before)) = self.replaced.pop() {
            match before {
                Some(statement) => self.prepared.insert(name, statement),
                None => self.prepared.remove(&name),
            };
        }
    }

    /// Sends the messages that were held back to the caller.
    pub fn deliver_held(&mut self) -> Result<(), ExchangeFault> {
        self.answer_started = true;
        self.buffering = false;
        self.completion_held = false;
        Ok(self.caller.write_all(&mut self.held)?)
    }

    fn receive_error(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if endpoint_link::is_fatal(frame) {
            return Err(LinkError::from_error(frame).into());
        }
        // An error can follow the completion of every statement only at a Sync that commits. A copy of an
        // earlier error cannot be told from it, and the commit may have succeeded.
        let may_fail = match self.expected.front() {
            Some(ExpectedAnswer::Query) => self.completed < self.max_completions(),
            Some(ExpectedAnswer::Sync) => false,
            front => front.is_some(),
        };
        if !may_fail {
            return Err(unexpected(AnswerFault::UnexpectedRefusal));
        }
        self.answer = StatementAnswer::default();
        let read_only = endpoint_link::read_sqlstate(frame) == Some("25006");
        self.read_only =
            read_only && self.buffering && !self.lease.in_progress && !self.answer_started;
        self.failed = true;
        if !matches!(self.expected.front(), Some(ExpectedAnswer::Query)) {
            self.skip_to_sync();
        }
        if self.input == InputMode::Copy {
            self.input = if self.plan.simple {
                InputMode::Closed
            } else {
                InputMode::Batch
            };
        }
        if self.read_only {
            self.held.extend_from_slice(frame.bytes());
            return Ok(());
        }
        self.hold_or_deliver(frame)
    }

    /// Drops the expected answers up to Sync, which the endpoint does not send after an error, and
    /// the statements that it therefore did not prepare.
    fn skip_to_sync(&mut self) {
        while let Some(answer) = self.expected.front() {
            if matches!(answer, ExpectedAnswer::Sync | ExpectedAnswer::Marker(_)) {
                return;
            }
            if let Some(ExpectedAnswer::Parse { hash, name, .. }) = self.expected.pop_front() {
                if let Some(hash) = hash {
                    self.lease.link.prepared.remove(&hash);
                }
                if let Some(name) = name {
                    self.prepared.remove(&name);
                }
            }
        }
    }

    fn receive_copy_in(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        // An endpoint ignores a Sync that it reads in copy mode, so another one ends the request.
        if self.has_marker() {
            // The endpoint reads the marker in copy mode, in which it is no statement.
            return Err(unexpected(AnswerFault::MessageOrder));
        }
        if matches!(self.expected.front(), Some(ExpectedAnswer::Execute { .. })) {
            self.expected
                .retain(|answer| !matches!(answer, ExpectedAnswer::Sync));
            self.complete = false;
        }
        self.input = InputMode::Copy;
        self.deliver(frame)
    }

    fn receive_complete(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        let (info, limit) = match self.expected.front() {
            Some(ExpectedAnswer::Execute { statement, limit }) => {
                let statement = statement.as_ref();
                (statement.and_then(|found| found.info.clone()), *limit)
            }
            _ if self.completed >= self.max_completions() => {
                return Err(unexpected(AnswerFault::MessageOrder));
            }
            _ => (self.plan.statements.get(self.completed).cloned(), 0),
        };
        let text = info.as_ref().map(|info| info.text.as_str());
        let checked = self.answer.complete(frame, text, limit);
        checked.map_err(unexpected)?;
        // Held messages precede this one and did not end the transaction.
        let is_full = self.held.len() + frame.bytes().len() > self.limits.max_unsent_bytes;
        if !self.commit_held && (!self.buffering || is_full) {
            self.deliver_held()?;
        }
        self.completed += 1;
        if frame.kind() == b'C' {
            if let Some(info) = info {
                self.lease.record_completed(&info.kind, &info.text);
                self.commit_held |= info.kind == StatementKind::Commit;
            }
            self.commit_held |= frame.body().starts_with(b"COMMIT");
        }
        if matches!(self.expected.front(), Some(ExpectedAnswer::Execute { .. })) {
            self.expected.pop_front();
        }
        self.completion_held = true;
        self.held.extend_from_slice(frame.bytes());
        Ok(())
    }

    fn receive_ready(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if !self.answer.is_at_start() || (self.completed == 0 && !self.failed && self.plan.simple) {
            return Err(unexpected(AnswerFault::MessageOrder));
        }
        self.expected.pop_front();
        self.set_state(frame)?;
        if self.expected.is_empty() {
            self.put_state_marker();
        }
        Ok(())
    }

    /// Records the transaction state of a ReadyForQuery message.
    fn set_state(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        let [state] = *frame.body() else {
            return Err(LinkError::Protocol.into());
        };
        self.lease.status = state;
        self.end_status = Some(state);
        if state == b'I' {
            self.lease.portals.clear();
        }
        Ok(())
    }

    /// Adds a marker that the endpoint answers in the present transaction state.
    fn put_state_marker(&mut self) {
        self.put_marker_of(match self.lease.status {
            b'E' => MarkerKind::Name,
            b'I' if self.needs_status() && !self.read_only => MarkerKind::Status,
            _ => MarkerKind::Setting,
        });
    }

    fn has_marker(&self) -> bool {
        let mut expected = self.expected.iter();
        expected.any(|answer| matches!(answer, ExpectedAnswer::Marker(_)))
    }

    fn receive_marker(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if matches!(frame.kind(), b'S' | b'A') {
            return self.receive_notice(frame);
        }
        let Some(ExpectedAnswer::Marker(marker)) = self.expected.front_mut() else {
            return Err(unexpected(AnswerFault::WrongMarker));
        };
        let Some(outcome) = marker.receive(frame)? else {
            return Ok(());
        };
        let kind = marker.kind();
        self.expected.pop_front();
        let state_before = self.lease.status;
        self.set_state(frame)?;
        match outcome {
            MarkerOutcome::Matched(_) if self.lease.status != state_before => {
                return Err(unexpected(AnswerFault::UnexpectedState));
            }
            MarkerOutcome::Matched(Some(status)) => self.status = Some(status),
            MarkerOutcome::Matched(None) => {
                // The transaction ended although the request did not show it.
                let ended = self.lease.status == b'I' && self.needs_status();
                if kind == MarkerKind::Setting && ended && !self.read_only {
                    self.put_marker_of(MarkerKind::Status);
                }
            }
            MarkerOutcome::Refused if self.refused_markers == MAX_REFUSED_MARKERS => {
                return Err(unexpected(AnswerFault::UnexpectedRefusal));
            }
            MarkerOutcome::Refused => {
                self.refused_markers += 1;
                self.put_state_marker();
            }
        }
        Ok(())
    }

    fn find_outcome(&mut self) -> Result<Option<ExchangeOutcome>, ExchangeFault> {
        let Some(status) = self.end_status else {
            return Ok(None);
        };
        if !self.expected.is_empty() {
            return Ok(None);
        }
        if self.read_only {
            return Ok(Some(ExchangeOutcome::ReadOnly));
        }
        if status != b'I' {
            if self.commit_held {
                // A new transaction is already open, so the earlier commit cannot be confirmed.
                return Err(LinkError::Protocol.into());
            }
            self.deliver_held()?;
            return Ok(Some(ExchangeOutcome::Open));
        }
        Ok(Some(ExchangeOutcome::Ended {
            failed: self.failed && !self.commit_held,
            status: self.status.take(),
        }))
    }
}

/// Returns whether a status proves that the endpoint remained the primary of one term throughout.
pub fn proves_primary(status: &EndpointStatus, lease: &EndpointLease) -> bool {
    status.role == EndpointRole::Primary
        && lease.link.term.is_none_or(|term| term == status.point.term)
}

fn unexpected(fault: AnswerFault) -> ExchangeFault {
    LinkError::Unexpected { fault }.into()
}

/// Returns a name that no statement has on an endpoint, so that the endpoint refuses it.
fn unknown_name(name: &[u8]) -> String {
    format!("absent {}", String::from_utf8_lossy(name))
}
