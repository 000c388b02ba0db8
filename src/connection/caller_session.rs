//! The session of an authenticated caller: its state and its request loop.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use session_core::answer_check::AnswerFault;
use session_core::memory_account::MemoryPart;
use tokio::sync::watch;

use crate::connection::answer_reporter::report_unexpected;
use crate::connection::caller_identity::CallerIdentity;
use crate::connection::caller_stream::CallerFault;
use crate::connection::caller_stream::CallerStream;
use crate::connection::cancel_registry::CancelEntry;
use crate::connection::endpoint_lease::EndpointLease;
use crate::connection::endpoint_link;
use crate::connection::endpoint_link::LinkError;
use crate::connection::listener::ListenerState;
use crate::connection::listener::ListenerView;
use crate::connection::request_batch::PreparedMap;
use crate::connection::request_batch::RequestBatch;
use crate::connection::service_rules::ServiceRules;
use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;
use crate::connection::wire_reply;
use crate::connection::wire_reply::CallerError;
use crate::connection::wire_reply::ErrorScope;
use crate::request::log_point::LogPoint;
use crate::request::refusal::RequestRefusal;

/// The session of an authenticated caller.
pub struct CallerSession {
    pub(super) state: Arc<ListenerState>,
    pub(super) caller: CallerStream,
    pub(super) identity: CallerIdentity,
    pub(super) floor: Option<LogPoint>,
    /// Whether the session has written or received a floor, after which it gets no stale reads.
    pub(super) wrote: bool,
    /// Whether the session accepts stale reads.
    pub(super) stale: bool,
    pub(super) settings: BTreeMap<String, String>,
    pub(super) prepared: PreparedMap,
    pub(super) cancel: CancelEntry,
    pub(super) view: watch::Receiver<ListenerView>,
    pub(super) rules: ServiceRules,
    pub(super) lease: Option<Box<EndpointLease>>,
}

/// The initial state of a session.
pub struct SessionStart {
    /// The identity of the caller.
    pub identity: CallerIdentity,
    /// The floor from the startup message, if any.
    pub floor: Option<LogPoint>,
    /// Settings from the startup message, by name, as the statements that set them.
    pub settings: BTreeMap<String, String>,
    /// The cancel key of the caller.
    pub cancel: CancelEntry,
}

impl CallerSession {
    /// Creates the session of an authenticated caller.
    pub fn new(state: Arc<ListenerState>, caller: CallerStream, start: SessionStart) -> Self {
        Self {
            view: state.view.subscribe(),
            state,
            caller,
            identity: start.identity,
            wrote: start.floor.is_some(),
            floor: start.floor,
            stale: false,
            settings: start.settings,
            prepared: PreparedMap::new(),
            cancel: start.cancel,
            rules: ServiceRules::default(),
            lease: None,
        }
    }

    /// Serves requests until the caller disconnects or the connection must be closed.
    pub async fn run(mut self) {
        let fault = loop {
            if let Err(fault) = self.serve_next().await {
                break fault;
            }
        };
        self.cancel.set_target(None);
        self.lease = None;
        match &fault {
            CallerFault::Frame(error) => self.send_frame_error(error),
            CallerFault::Overdue => {
                let _ = self.send_fatal(&CallerError::new("57P05", fault.to_string()));
            }
            CallerFault::MemoryShort => {
                let _ = self.send_fatal(&CallerError::new("53200", fault.to_string()));
            }
            CallerFault::Disconnected | CallerFault::Reported => {}
        }
        if fault != CallerFault::Disconnected {
            let closing = self.caller.close();
            let _ = tokio::time::timeout(Duration::from_secs(1), closing).await;
        }
    }

    fn send_frame_error(&self, error: &FrameError) {
        let sqlstate = match error {
            FrameError::TooLarge { .. } => "54000",
            FrameError::BadLength | FrameError::BadBody => "08P01",
        };
        let _ = self.send_fatal(&CallerError::new(sqlstate, error.to_string()));
    }

    /// Sends an error that ends the connection and returns the fault that closes it.
    pub(super) fn send_fatal(&self, error: &CallerError) -> CallerFault {
        let mut out = BytesMut::new();
        error.encode(ErrorScope::Connection, &mut out);
        let _ = self.caller.write(&out);
        CallerFault::Reported
    }

    async fn serve_next(&mut self) -> Result<(), CallerFault> {
        let frame = self.next_frame().await?;
        match frame.kind() {
            b'Q' => {
                let batch = RequestBatch {
                    frames: vec![frame],
                    complete: true,
                };
                self.serve_batch(batch).await
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' => {
                let batch = self.read_batch(frame).await?;
                self.serve_batch(batch).await
            }
            b'X' => Err(CallerFault::Disconnected),
            // After a failed copy the caller may still send rows; they are ignored.
            b'd' | b'c' | b'f' => Ok(()),
            b'F' => {
                let error = CallerError::not_supported("the function call protocol");
                self.answer_error(&error, true).await
            }
            _ => Err(self.send_fatal(&CallerError::new("08P01", "unknown message type"))),
        }
    }

    async fn serve_batch(&mut self, batch: RequestBatch) -> Result<(), CallerFault> {
        self.caller.memory().set_busy(true);
        let served = Box::pin(self.serve_request(batch)).await;
        let memory = self.caller.memory();
        memory.set_busy(false);
        memory.set(MemoryPart::Request, 0);
        served
    }

    /// Waits for the next message of the caller while no request is running.
    async fn next_frame(&mut self) -> Result<WireFrame, CallerFault> {
        loop {
            let deadline = self.check_idle()?;
            let lease = self.lease.as_mut();
            let has_lease = lease.is_some();
            tokio::select! {
                biased;
                frame = self.caller.recv() => return frame,
                changed = self.view.changed() => {
                    if changed.is_err() {
                        return Err(CallerFault::Disconnected);
                    }
                }
                () = sleep_until(deadline), if deadline.is_some() => {}
                pumped = pump_lease(lease), if has_lease => self.deliver_idle(pumped)?,
            }
        }
    }

    /// Checks the key, the drain and the transaction deadline of an idle connection.
    ///
    /// Fails if the connection must be closed. Otherwise returns when to check again, or
    /// `None` if no transaction is open.
    fn check_idle(&mut self) -> Result<Option<Instant>, CallerFault> {
        let view = self.view.borrow_and_update().clone();
        if let Err(refusal) = self.identity.check(&view.bundle) {
            return Err(self.send_fatal(&refusal.into()));
        }
        let open = self.lease.as_ref().filter(|lease| lease.in_transaction());
        let Some(lease) = open else {
            return match view.drain_start {
                Some(_) => Err(self.send_fatal(&RequestRefusal::Draining.into())),
                None => Ok(None),
            };
        };
        let limits = &self.state.config.limits;
        let transaction_deadline = lease.arrived + limits.transaction_timeout;
        let now = Instant::now();
        if now >= transaction_deadline {
            let refusal = RequestRefusal::TransactionDeadline;
            self.record_lease(Some(refusal));
            return Err(self.send_fatal(&refusal.into()));
        }
        let drain_deadline = view.drain_start.map(|start| start + limits.drain_timeout);
        if drain_deadline.is_some_and(|end| now >= end) {
            self.record_lease(Some(RequestRefusal::Draining));
            let message = "the instance is stopping; the transaction was rolled back";
            return Err(self.send_fatal(&CallerError::new("57P01", message)));
        }
        Ok(Some(drain_deadline.map_or(transaction_deadline, |end| {
            end.min(transaction_deadline)
        })))
    }

    fn record_lease(&self, refusal: Option<RequestRefusal>) {
        if let Some(lease) = &self.lease {
            self.record(lease, refusal);
        }
    }

    /// Forwards to the caller what an endpoint sends unprompted to a pinned session or within a
    /// transaction.
    fn deliver_idle(&mut self, pumped: Result<(), LinkError>) -> Result<(), CallerFault> {
        let Some(lease) = self.lease.as_mut() else {
            return Ok(());
        };
        let mut read = || {
            pumped.clone()?;
            while let Some(frame) = lease.link.next_frame()? {
                if !matches!(frame.kind(), b'N' | b'S' | b'A') {
                    if endpoint_link::is_fatal(&frame) {
                        return Err(LinkError::from_error(&frame));
                    }
                    let fault = AnswerFault::Unrequested;
                    return Err(LinkError::Unexpected { fault });
                }
                self.caller
                    .write(frame.bytes())
                    .map_err(|_| LinkError::Protocol)?;
            }
            Ok(())
        };
        let received = read();
        if let Err(error) = received {
            let (endpoint, connection) = (&lease.endpoint, lease.link.number);
            report_unexpected(&self.state.ports, endpoint, connection, &error);
            tracing::debug!("caller: endpoint connection of an open session ended: {error}");
            let message = "the endpoint connection of the session was lost";
            return Err(self.send_fatal(&CallerError::new("40003", message)));
        }
        Ok(())
    }

    /// Reads messages up to Sync, Flush or the size limit of a batch.
    async fn read_batch(&mut self, first: WireFrame) -> Result<RequestBatch, CallerFault> {
        let mut bytes = 0;
        let mut frames = Vec::new();
        let mut frame = first;
        loop {
            let kind = frame.kind();
            bytes += frame.bytes().len();
            frames.push(frame);
            self.caller.memory().hand_over(bytes);
            let complete = kind == b'S';
            if complete || kind == b'H' || bytes >= self.state.config.limits.batch_bytes {
                return Ok(RequestBatch { frames, complete });
            }
            frame = self.next_frame().await?;
            if !matches!(
                frame.kind(),
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' | b'd' | b'c' | b'f'
            ) {
                let error = CallerError::new("08P01", "message within an extended request");
                return Err(self.send_fatal(&error));
            }
        }
    }

    /// Answers a request with an error and skips its remaining messages up to Sync.
    pub(super) async fn answer_error(
        &mut self,
        error: &CallerError,
        complete: bool,
    ) -> Result<(), CallerFault> {
        let mut out = BytesMut::new();
        error.encode(ErrorScope::Request, &mut out);
        self.caller.write_all(&mut out)?;
        if !complete {
            // Nothing runs any more whose outcome must reach the caller.
            self.caller.memory().set_busy(false);
            while self.next_frame().await?.kind() != b'S' {}
        }
        self.send_ready(self.status())
    }

    /// Returns the transaction status byte for ReadyForQuery.
    pub(super) fn status(&self) -> u8 {
        self.lease.as_ref().map_or(b'I', |lease| lease.status)
    }

    pub(super) fn send_ready(&self, status: u8) -> Result<(), CallerFault> {
        let mut out = BytesMut::new();
        wire_reply::put_ready(status, &mut out);
        self.caller.write(&out)
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    if let Some(deadline) = deadline {
        tokio::time::sleep_until(deadline.into()).await;
    }
}

async fn pump_lease(lease: Option<&mut Box<EndpointLease>>) -> Result<(), LinkError> {
    match lease {
        Some(lease) => lease.link.pump(false).await,
        None => std::future::pending().await,
    }
}
