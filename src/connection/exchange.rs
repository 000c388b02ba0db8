//! Runs one request on a leased endpoint connection.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::time::Instant;

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
use crate::connection::wire_frame;
use crate::connection::wire_frame::WireFrame;
use crate::connection::wire_reply::CallerError;
use crate::process::endpoint_status::EndpointRole;
use crate::process::endpoint_status::EndpointStatus;
use crate::process::endpoint_status::STATUS_QUERY;
use crate::request::ports::RequestClass;
use crate::request::statement::StatementKind;

const PREPARED_LIMIT: usize = 256;
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// How a request on an endpoint connection ended.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// The transaction goes on; all was passed on.
    Open,
    /// The transaction ended; what announces it is held back for the confirmation.
    Ended {
        /// The status that the endpoint reported behind the transaction, where it was asked.
        status: Option<EndpointStatus>,
        /// Whether the last statement failed and nothing was committed.
        failed: bool,
    },
    /// The endpoint refused to write before the request had an effect, and nothing was passed on.
    ReadOnly,
}

/// Why a request has no complete answer.
#[derive(Debug)]
pub enum ExchangeFault {
    /// The endpoint connection is of no use any longer.
    Link(LinkError),
    /// The caller's connection is of no use any longer.
    Caller(CallerFault),
    /// The request took too long.
    Deadline,
    /// The key was withdrawn while the request ran.
    Withdrawn,
    /// The caller sent a message that does not fit the request.
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

/// What the endpoint is to answer next.
enum Expect {
    Query,
    Parse {
        /// What the endpoint does not have if this fails.
        hash: Option<StatementHash>,
        name: Option<Vec<u8>>,
        quiet: bool,
    },
    Bind,
    Close {
        quiet: bool,
    },
    Describe,
    Execute(Option<Arc<PreparedStatement>>),
    Sync,
    Status,
    /// An answer that the instance gives itself, in its turn.
    Local(WireFrame),
}

/// Which messages of the caller belong to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InputMode {
    /// None; its last message was sent.
    Closed,
    /// Those up to Sync.
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
    /// What the request needs.
    pub plan: &'a BatchPlan,
    /// The bounds in size and time.
    pub limits: &'a CallerLimits,
    /// Whether the key no longer counts.
    pub withdrawn: &'a dyn Fn() -> bool,
    /// What was not passed on yet.
    pub held: BytesMut,
    /// Whether anything of the answer was passed on.
    pub begun: bool,
    /// Whether the last message of the request was seen.
    pub complete: bool,
    /// Whether a commit was answered that the caller does not know of yet.
    pub commit_held: bool,
    expected: VecDeque<Expect>,
    /// Names that the request changed, with what they stood for before.
    replaced: Vec<(Vec<u8>, Option<Arc<PreparedStatement>>)>,
    input: InputMode,
    /// Whether the end of a statement is held, which may announce the end of its transaction.
    end_held: bool,
    preamble: bool,
    failed: bool,
    read_only: bool,
    completed: usize,
    status: Option<EndpointStatus>,
    end_status: Option<u8>,
}

impl<'a> Exchange<'a> {
    /// Prepares to run a request.
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
            preamble: false,
            lease,
            prepared,
            plan,
            limits,
            withdrawn,
            held: BytesMut::new(),
            begun: false,
            complete: false,
            commit_held: false,
            expected: VecDeque::new(),
            replaced: Vec::new(),
            input: InputMode::Closed,
            end_held: false,
            failed: false,
            read_only: false,
            completed: 0,
            status: None,
            end_status: None,
        }
    }

    /// Runs the request up to ReadyForQuery, and the status query behind a transaction.
    pub async fn run(&mut self, batch: &RequestBatch) -> Result<ExchangeOutcome, ExchangeFault> {
        // A caller that flushes waits for each answer, so nothing may be held back from it.
        self.preamble = batch.complete && !self.lease.in_progress;
        if !self.plan.simple {
            self.input = InputMode::Batch;
        }
        for frame in &batch.frames {
            self.send(frame)?;
        }
        let transaction_end = Instant::from_std(self.lease.arrived) + self.limits.transaction_time;
        let mut answer_end = Instant::now() + self.limits.answer_time;
        loop {
            let mut progress = false;
            self.give_local_answers()?;
            while let Some(frame) = self.lease.link.next_frame()? {
                self.receive(&frame)?;
                progress = true;
            }
            if progress {
                answer_end = Instant::now() + self.limits.answer_time;
            }
            if let Some(end) = self.find_end()? {
                return Ok(end);
            }
            let draining = self.caller.drain();
            match tokio::time::timeout_at(transaction_end, draining).await {
                Ok(drained) => drained?,
                Err(_) => return Err(ExchangeFault::Deadline),
            }
            let now = Instant::now();
            if now >= transaction_end {
                return Err(ExchangeFault::Deadline);
            }
            if self.expected.is_empty() {
                answer_end = now + self.limits.answer_time;
            } else if now >= answer_end && self.input == InputMode::Closed {
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
        let full = self.lease.link.output.len() >= self.limits.unsent_bytes;
        let listens = self.input != InputMode::Closed && !full;
        let caller = self.caller;
        let received = tokio::select! {
            biased;
            pumped = self.lease.link.pump(full) => return Ok(pumped?),
            frame = caller.recv(), if listens => frame?,
            () = tokio::time::sleep_until(until) => return Ok(()),
        };
        self.send(&received)
    }

    /// Adds a message of the caller to what goes to the endpoint.
    fn send(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        match (self.input, frame.kind()) {
            (InputMode::Closed, b'Q') => {
                self.forward(frame);
                self.expected.push_back(Expect::Query);
                self.complete = true;
                if !self.plan.copies {
                    self.ask_status();
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
                    self.ask_status();
                }
            }
            (InputMode::Copy, b'H' | b'S') => {}
            (InputMode::Batch, b'P') => self.send_parse(frame)?,
            (InputMode::Batch, b'B') => self.send_bind(frame)?,
            (InputMode::Batch, b'D') => self.send_describe(frame)?,
            (InputMode::Batch, b'C') => self.send_close(frame)?,
            (InputMode::Batch, b'E') => {
                let (portal, _) = wire_frame::split_text(frame.body())?;
                let statement = self.lease.portals.get(portal).cloned().flatten();
                let info = statement.as_ref().and_then(|found| found.info.as_ref());
                self.lease.pinned |= info.is_some_and(|info| info.pins);
                self.forward(frame);
                self.expected.push_back(Expect::Execute(statement));
            }
            (InputMode::Batch, b'H') => self.forward(frame),
            (InputMode::Batch, b'S') => {
                self.forward(frame);
                self.expected.push_back(Expect::Sync);
                self.input = InputMode::Closed;
                self.complete = true;
                if !self.plan.copies {
                    self.ask_status();
                }
            }
            (InputMode::Batch, b'd' | b'c' | b'f') => {}
            (_, b'X') => return Err(CallerFault::Gone.into()),
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

    /// Asks for the status behind the request where it ends a transaction.
    fn ask_status(&mut self) {
        let ends = if self.lease.in_transaction() {
            self.plan.ends
        } else {
            !self.plan.opens || self.plan.ends
        };
        if ends && self.needs_status() {
            self.lease.link.put_query(STATUS_QUERY);
            self.expected.push_back(Expect::Status);
        }
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
        // An existing name is left to the endpoint, which refuses to prepare a name twice.
        let taken = !name.is_empty() && self.prepared.contains_key(&name);
        let known = self.lease.link.prepared.contains(&hash);
        if !taken {
            let before = self.prepared.insert(name.clone(), statement.clone());
            self.replaced.push((name.clone(), before));
        }
        if known && !taken {
            let answer = WireFrame::new(b'1', &[]);
            self.expected.push_back(Expect::Local(answer));
            return Ok(());
        }
        if taken && !known {
            self.put_parse(&statement, None, true);
        }
        if taken {
            self.forward(&statement.to_parse());
            self.expected.push_back(Expect::Parse {
                hash: None,
                name: None,
                quiet: false,
            });
        } else {
            self.put_parse(&statement, Some(name), false);
        }
        Ok(())
    }

    fn put_parse(&mut self, statement: &PreparedStatement, name: Option<Vec<u8>>, quiet: bool) {
        while let Some(old) = self.lease.link.prepared.evict(PREPARED_LIMIT) {
            let close = prepared_statement::name_statement(b'C', &old.to_string());
            self.forward(&close);
            self.expected.push_back(Expect::Close { quiet: true });
        }
        let hash = statement.hash;
        self.forward(&statement.to_parse());
        self.lease.link.prepared.insert(hash);
        self.expected.push_back(Expect::Parse {
            hash: Some(hash),
            name,
            quiet,
        });
    }

    /// Makes sure the endpoint has a statement and returns its name there.
    fn provide(&mut self, name: &[u8]) -> (String, Option<Arc<PreparedStatement>>) {
        let Some(statement) = self.prepared.get(name).cloned() else {
            return (absent_name(name), None);
        };
        if !self.lease.link.prepared.contains(&statement.hash) {
            self.put_parse(&statement, None, true);
        }
        (statement.hash.to_string(), Some(statement))
    }

    fn send_bind(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        let (portal, rest) = wire_frame::split_text(frame.body())?;
        let (name, _) = wire_frame::split_text(rest)?;
        let (endpoint_name, statement) = self.provide(name);
        let renamed = prepared_statement::rename_bind(frame, &endpoint_name)?;
        self.lease.portals.insert(portal.to_vec(), statement);
        self.forward(&renamed);
        self.expected.push_back(Expect::Bind);
        Ok(())
    }

    fn send_describe(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if let Some((b'S', rest)) = frame.body().split_first() {
            let (name, _) = wire_frame::split_text(rest)?;
            let (endpoint_name, _) = self.provide(name);
            self.forward(&prepared_statement::name_statement(b'D', &endpoint_name));
        } else {
            self.forward(frame);
        }
        self.expected.push_back(Expect::Describe);
        Ok(())
    }

    fn send_close(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if let Some((b'S', rest)) = frame.body().split_first() {
            let (name, _) = wire_frame::split_text(rest)?;
            let before = self.prepared.remove(name);
            self.replaced.push((name.to_vec(), before));
            self.expected
                .push_back(Expect::Local(WireFrame::new(b'3', &[])));
        } else {
            self.forward(frame);
            self.expected.push_back(Expect::Close { quiet: false });
        }
        Ok(())
    }

    /// Takes a message of the endpoint.
    fn receive(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        self.give_local_answers()?;
        if matches!(self.expected.front(), Some(Expect::Status)) {
            return self.receive_status(frame);
        }
        match (frame.kind(), self.expected.front()) {
            // An endpoint may report settings and notices behind the end of a transaction.
            (b'N' | b'S' | b'A', _) if self.end_held => {
                self.held.extend_from_slice(frame.bytes());
                Ok(())
            }
            (b'N' | b'S' | b'A', _) => self.hold(frame),
            (b'E', _) => self.receive_error(frame),
            (b'Z', Some(Expect::Query | Expect::Sync)) => self.receive_ready(frame),
            (b'1', Some(Expect::Parse { .. })) => {
                if let Some(Expect::Parse { quiet: false, .. }) = self.expected.pop_front() {
                    self.hold(frame)?;
                }
                Ok(())
            }
            (b'2', Some(Expect::Bind)) => {
                self.expected.pop_front();
                self.hold(frame)
            }
            (b'3', Some(Expect::Close { .. })) => {
                if let Some(Expect::Close { quiet: false }) = self.expected.pop_front() {
                    self.hold(frame)?;
                }
                Ok(())
            }
            (b't', Some(Expect::Describe)) => self.hold(frame),
            (b'T' | b'n', Some(Expect::Describe)) => {
                self.expected.pop_front();
                self.hold(frame)
            }
            (b'T', Some(Expect::Query)) => self.hold(frame),
            (b'D' | b'd', Some(Expect::Query | Expect::Execute(_))) => self.pass(frame),
            (b'H' | b'c', Some(Expect::Query | Expect::Execute(_))) => self.pass(frame),
            (b'G', Some(Expect::Query | Expect::Execute(_))) => self.receive_copy_in(frame),
            (b'C' | b'I' | b's', Some(Expect::Query)) => self.receive_complete(frame),
            (b'C' | b'I' | b's', Some(Expect::Execute(_))) => self.receive_complete(frame),
            _ => Err(LinkError::Protocol.into()),
        }?;
        self.give_local_answers()
    }

    fn give_local_answers(&mut self) -> Result<(), ExchangeFault> {
        while let Some(Expect::Local(_)) = self.expected.front() {
            if let Some(Expect::Local(answer)) = self.expected.pop_front() {
                self.hold(&answer)?;
            }
        }
        Ok(())
    }

    /// Holds a message back while a retry is possible or a commit is unconfirmed; else passes it.
    fn hold(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if !self.preamble && !self.commit_held {
            return self.pass(frame);
        }
        if self.held.len() + frame.bytes().len() > self.limits.unsent_bytes {
            if self.commit_held {
                return Err(LinkError::Protocol.into());
            }
            return self.pass(frame);
        }
        self.held.extend_from_slice(frame.bytes());
        Ok(())
    }

    fn pass(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if self.commit_held {
            return self.hold(frame);
        }
        self.release()?;
        Ok(self.caller.write(frame.bytes())?)
    }

    /// Returns the prepared names of the session to what they were before the request.
    pub fn restore_names(&mut self) {
        while let Some((name, before)) = self.replaced.pop() {
            match before {
                Some(statement) => self.prepared.insert(name, statement),
                None => self.prepared.remove(&name),
            };
        }
    }

    /// Passes on what was held back.
    pub fn release(&mut self) -> Result<(), ExchangeFault> {
        self.begun = true;
        self.preamble = false;
        self.end_held = false;
        Ok(self.caller.write_all(&mut self.held)?)
    }

    fn receive_error(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        if endpoint_link::is_fatal(frame) {
            return Err(LinkError::from_error(frame).into());
        }
        let read_only = endpoint_link::read_sqlstate(frame) == Some("25006");
        self.read_only = read_only && self.preamble && !self.lease.in_progress && !self.begun;
        self.failed = true;
        if !matches!(self.expected.front(), Some(Expect::Query)) {
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
        self.pass(frame)
    }

    /// Drops what the endpoint will not answer after an error.
    fn skip_to_sync(&mut self) {
        while let Some(expect) = self.expected.front() {
            if matches!(expect, Expect::Sync | Expect::Status) {
                return;
            }
            if let Some(Expect::Parse { hash, name, .. }) = self.expected.pop_front() {
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
        if matches!(self.expected.front(), Some(Expect::Execute(_))) {
            self.expected
                .retain(|expect| !matches!(expect, Expect::Sync));
            self.complete = false;
        }
        self.input = InputMode::Copy;
        self.pass(frame)
    }

    fn receive_complete(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        // Whatever is held belongs before this message; it was no end of a transaction.
        if !self.commit_held {
            self.release()?;
        }
        let info = match self.expected.front() {
            Some(Expect::Execute(statement)) => statement
                .as_ref()
                .and_then(|statement| statement.info.clone()),
            _ => self.plan.statements.get(self.completed).cloned(),
        };
        self.completed += 1;
        if frame.kind() == b'C' {
            if let Some(info) = info {
                self.lease.record_completed(&info.kind, &info.text);
                self.commit_held |= info.kind == StatementKind::Commit;
            }
            self.commit_held |= frame.body().starts_with(b"COMMIT");
        }
        if matches!(self.expected.front(), Some(Expect::Execute(_))) {
            self.expected.pop_front();
        }
        self.end_held = true;
        self.held.extend_from_slice(frame.bytes());
        Ok(())
    }

    fn receive_ready(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        self.expected.pop_front();
        let [status] = *frame.body() else {
            return Err(LinkError::Protocol.into());
        };
        self.lease.status = status;
        self.end_status = Some(status);
        if status == b'I' {
            self.lease.portals.clear();
            if self.needs_status() && self.expected.is_empty() && !self.read_only {
                self.lease.link.put_query(STATUS_QUERY);
                self.expected.push_back(Expect::Status);
            }
        }
        Ok(())
    }

    fn receive_status(&mut self, frame: &WireFrame) -> Result<(), ExchangeFault> {
        match frame.kind() {
            b'D' => {
                let status = endpoint_link::parse_status(frame)?;
                self.status = Some(status);
                Ok(())
            }
            b'Z' => {
                self.expected.pop_front();
                Ok(())
            }
            b'T' | b'C' | b'E' | b'N' | b'S' => Ok(()),
            _ => Err(LinkError::Protocol.into()),
        }
    }

    fn find_end(&mut self) -> Result<Option<ExchangeOutcome>, ExchangeFault> {
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
                // A new transaction is open, so the commit before it cannot be confirmed.
                return Err(LinkError::Protocol.into());
            }
            self.release()?;
            return Ok(Some(ExchangeOutcome::Open));
        }
        Ok(Some(ExchangeOutcome::Ended {
            failed: self.failed && !self.commit_held,
            status: self.status.take(),
        }))
    }
}

/// Whether a status proves that the endpoint stayed the primary of one term.
pub fn proves_primary(status: &EndpointStatus, lease: &EndpointLease) -> bool {
    status.role == EndpointRole::Primary
        && lease.link.term.is_none_or(|term| term == status.point.term)
}

/// Returns a name that no statement has at endpoints, so that they refuse it.
fn absent_name(name: &[u8]) -> String {
    format!("absent {}", String::from_utf8_lossy(name))
}
