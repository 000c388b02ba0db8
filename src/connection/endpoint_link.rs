//! One connection to an endpoint.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::BytesMut;
use pgwire::messages::startup::SASLInitialResponse;
use pgwire::messages::startup::SASLResponse;
use pgwire::messages::startup::Startup;
use session_core::answer_check::AnswerFault;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

use crate::connection::answer_marker::AnswerMarker;
use crate::connection::answer_marker::MarkerKind;
use crate::connection::answer_marker::MarkerOutcome;
use crate::connection::listener_config::ListenerConfig;
use crate::connection::prepared_statement::StatementHash;
use crate::connection::scram;
use crate::connection::scram::ScramClient;
use crate::connection::wire_frame;
use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;
use crate::connection::wire_reply;
use crate::process::endpoint_status::EndpointStatus;
use crate::request::log_point::LogTerm;

/// Number of connections opened so far.
static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

const READ_CHUNK_BYTES: usize = 8 * 1024;
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;

/// Why an endpoint connection can no longer be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The endpoint cannot be reached, or the connection failed.
    Io {
        /// The kind of the I/O error.
        kind: io::ErrorKind,
    },
    /// The endpoint did not answer in time.
    Deadline,
    /// The endpoint rejected the credentials of the instance.
    Credentials,
    /// The endpoint answered with an error.
    Refused {
        /// The SQLSTATE of the error.
        sqlstate: String,
    },
    /// A message of the endpoint violates the protocol.
    Protocol,
    /// A message of the endpoint does not belong to the awaited answer.
    Unexpected {
        /// How that was recognized.
        fault: AnswerFault,
    },
    /// The endpoint may no longer serve the request, for example after a promotion.
    Superseded,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Io { kind } => write!(f, "endpoint connection failed: {kind}"),
            LinkError::Deadline => f.write_str("endpoint did not answer in time"),
            LinkError::Credentials => f.write_str("endpoint rejected the credentials"),
            LinkError::Refused { sqlstate } => {
                write!(f, "endpoint answered with SQLSTATE {sqlstate}")
            }
            LinkError::Protocol => f.write_str("endpoint message violates the protocol"),
            LinkError::Unexpected { fault } => write!(f, "unexpected answer of endpoint: {fault}"),
            LinkError::Superseded => f.write_str("endpoint may no longer serve the request"),
        }
    }
}

impl std::error::Error for LinkError {}

impl LinkError {
    /// Returns the error for an ErrorResponse; the SQLSTATE is XX000 if the response has none.
    pub fn from_error(frame: &WireFrame) -> Self {
        LinkError::Refused {
            sqlstate: read_sqlstate(frame).unwrap_or("XX000").to_owned(),
        }
    }
}

impl From<io::Error> for LinkError {
    fn from(error: io::Error) -> Self {
        LinkError::Io { kind: error.kind() }
    }
}

impl From<FrameError> for LinkError {
    fn from(_: FrameError) -> Self {
        LinkError::Protocol
    }
}

/// The address and key for a cancel request to an endpoint connection.
#[derive(Clone, PartialEq, Eq)]
pub struct CancelTarget {
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The process number and secret, as in the body of BackendKeyData.
    pub key: Vec<u8>,
}

impl fmt::Debug for CancelTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CancelTarget")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// One connection to an endpoint, with the session state that the endpoint holds for it.
pub struct EndpointLink {
    /// Number of the connection in log lines.
    pub number: u64,
    stream: TcpStream,
    input: BytesMut,
    /// Bytes that are not written yet.
    pub output: BytesMut,
    /// Statements that are prepared on this connection.
    pub prepared: PreparedNames,
    /// Session settings in force on this connection: the statements that set them, by name.
    pub settings: BTreeMap<String, String>,
    /// Parameters that the endpoint reported at start-up.
    pub parameters: BTreeMap<String, String>,
    /// The address and key for cancel requests.
    pub cancel: CancelTarget,
    /// The term that the endpoint last reported on this connection.
    pub term: Option<LogTerm>,
    /// Number of bytes written to the endpoint so far.
    pub sent_bytes: u64,
    /// When the connection was last returned to its pool, or opened.
    pub last_used: Instant,
    max_message_bytes: usize,
}

/// The names of the prepared statements on one connection, in order of preparation.
#[derive(Debug, Default)]
pub struct PreparedNames {
    names: HashSet<StatementHash>,
    order: VecDeque<StatementHash>,
}

impl PreparedNames {
    /// Returns whether the statement is prepared.
    pub fn contains(&self, name: &StatementHash) -> bool {
        self.names.contains(name)
    }

    /// Adds a statement.
    pub fn insert(&mut self, name: StatementHash) {
        if self.names.insert(name) {
            self.order.push_back(name);
        }
    }

    /// Removes a statement whose preparation failed.
    pub fn remove(&mut self, name: &StatementHash) {
        if self.names.remove(name) {
            self.order.retain(|found| found != name);
        }
    }

    /// Removes and returns the oldest statement if there are at least `limit`.
    pub fn evict(&mut self, limit: usize) -> Option<StatementHash> {
        if self.order.len() < limit {
            return None;
        }
        let name = self.order.pop_front()?;
        self.names.remove(&name);
        Some(name)
    }
}

impl EndpointLink {
    /// Connects and authenticates with the credentials of the instance.
    ///
    /// Fails with [`LinkError::Deadline`] after the configured connect time.
    pub async fn connect(
        config: &ListenerConfig,
        address: SocketAddr,
        database: &str,
    ) -> Result<Self, LinkError> {
        let connecting = Self::connect_without_timeout(config, address, database);
        tokio::time::timeout(config.limits.connect_timeout, connecting)
            .await
            .map_err(|_| LinkError::Deadline)?
    }

    async fn connect_without_timeout(
        config: &ListenerConfig,
        address: SocketAddr,
        database: &str,
    ) -> Result<Self, LinkError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut link = Self {
            number: CONNECTIONS.fetch_add(1, Ordering::Relaxed) + 1,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            prepared: PreparedNames::default(),
            settings: BTreeMap::new(),
            parameters: BTreeMap::new(),
            cancel: CancelTarget {
                address,
                key: Vec::new(),
            },
            term: None,
            sent_bytes: 0,
            last_used: Instant::now(),
            max_message_bytes: config.limits.max_message_bytes,
        };
        link.start_up(config, database).await?;
        Ok(link)
    }

    async fn start_up(&mut self, config: &ListenerConfig, database: &str) -> Result<(), LinkError> {
        let mut startup = Startup::new();
        startup.protocol_number_major = 3;
        startup.protocol_number_minor = 0;
        startup
            .parameters
            .insert("user".to_owned(), config.endpoint_user.clone());
        startup
            .parameters
            .insert("database".to_owned(), database.to_owned());
        wire_reply::put(&startup, &mut self.output);
        let mut scram = None;
        loop {
            let frame = self.read_frame().await?;
            match frame.kind() {
                b'R' => self.answer_authentication(config, &frame, &mut scram)?,
                b'S' => {
                    let (name, rest) = wire_frame::split_text(frame.body())?;
                    let (value, _) = wire_frame::split_text(rest)?;
                    self.parameters.insert(
                        String::from_utf8_lossy(name).into_owned(),
                        String::from_utf8_lossy(value).into_owned(),
                    );
                }
                b'K' => self.cancel.key = frame.body().to_vec(),
                b'N' | b'v' => {}
                b'Z' => return Ok(()),
                b'E' => return Err(LinkError::from_error(&frame)),
                _ => return Err(LinkError::Protocol),
            }
        }
    }

    fn answer_authentication(
        &mut self,
        config: &ListenerConfig,
        frame: &WireFrame,
        scram: &mut Option<ScramClient>,
    ) -> Result<(), LinkError> {
        let (code, data) = frame
            .body()
            .split_first_chunk::<4>()
            .ok_or(LinkError::Protocol)?;
        let password = config.endpoint_password.expose();
        match (i32::from_be_bytes(*code), scram) {
            (0, _) => {}
            (3, _) => {
                let mut body = password.as_bytes().to_vec();
                body.push(0);
                self.output
                    .extend_from_slice(WireFrame::new(b'p', &body).bytes());
            }
            (10, scram) => {
                let (client, first) = ScramClient::start(password, scram::random_nonce());
                *scram = Some(client);
                let message = SASLInitialResponse::new(
                    scram::SCRAM_MECHANISM.to_owned(),
                    Some(first.into_bytes().into()),
                );
                wire_reply::put(&message, &mut self.output);
            }
            (11, Some(client)) => {
                let last = client.answer(data).map_err(|_| LinkError::Credentials)?;
                wire_reply::put(&SASLResponse::new(last.into()), &mut self.output);
            }
            (12, Some(client)) => client.check(data).map_err(|_| LinkError::Credentials)?,
            _ => return Err(LinkError::Credentials),
        }
        Ok(())
    }

    /// Waits for the next message.
    pub async fn read_frame(&mut self) -> Result<WireFrame, LinkError> {
        loop {
            if let Some(frame) = self.next_frame()? {
                return Ok(frame);
            }
            self.pump(false).await?;
        }
    }

    /// Returns the next message that was already received.
    pub fn next_frame(&mut self) -> Result<Option<WireFrame>, LinkError> {
        Ok(WireFrame::split_first(
            &mut self.input,
            self.max_message_bytes,
        )?)
    }

    /// Writes pending output and waits until input arrives.
    ///
    /// With `wake_on_write`, also returns when some output was written. Reads and writes
    /// concurrently, because an endpoint stops reading while its answers are not read.
    pub async fn pump(&mut self, wake_on_write: bool) -> Result<(), LinkError> {
        poll_fn(|context| {
            let wrote = self.poll_write(context)?;
            self.input.reserve(READ_CHUNK_BYTES);
            let reading = pin!(self.stream.read_buf(&mut self.input));
            match reading.poll(context)? {
                Poll::Ready(0) => {
                    Poll::Ready(Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()))
                }
                Poll::Ready(_) => Poll::Ready(Ok(())),
                Poll::Pending if wrote && wake_on_write => Poll::Ready(Ok(())),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Writes as much as the connection accepts; returns whether any byte was written.
    fn poll_write(&mut self, context: &mut Context<'_>) -> Result<bool, LinkError> {
        let mut wrote = false;
        while !self.output.is_empty() {
            match Pin::new(&mut self.stream).poll_write(context, &self.output)? {
                Poll::Ready(0) => return Err(io::Error::from(io::ErrorKind::WriteZero).into()),
                Poll::Ready(written) => {
                    self.output.advance(written);
                    self.sent_bytes += written as u64;
                    wrote = true;
                }
                Poll::Pending => break,
            }
        }
        Ok(wrote)
    }

    /// Checks that an idle connection of the pool is open and has neither input nor output.
    pub fn check_idle(&mut self) -> Result<(), LinkError> {
        self.check_requested()?;
        if self.input.is_empty() && self.output.is_empty() {
            Ok(())
        } else {
            Err(LinkError::Protocol)
        }
    }

    /// Checks that no answer arrived since the last statement was answered.
    ///
    /// An endpoint may send notices, parameters and notifications at any time, and a fatal error
    /// before it closes the connection.
    pub fn check_requested(&mut self) -> Result<(), LinkError> {
        let mut context = Context::from_waker(Waker::noop());
        loop {
            self.input.reserve(READ_CHUNK_BYTES);
            let reading = pin!(self.stream.read_buf(&mut self.input));
            match reading.poll(&mut context)? {
                Poll::Ready(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Poll::Ready(_) => {}
                Poll::Pending => break,
            }
        }
        let mut rest = &self.input[..];
        while let Some(kind) = rest.first() {
            let frame = WireFrame::copy_first(rest, self.max_message_bytes)?;
            if let Some((frame, _)) = frame.filter(|(frame, _)| is_fatal(frame)) {
                return Err(LinkError::from_error(&frame));
            }
            if !matches!(kind, b'N' | b'S' | b'A') {
                let fault = AnswerFault::Unrequested;
                return Err(LinkError::Unexpected { fault });
            }
            let size = WireFrame::peek_size(rest, self.max_message_bytes)?;
            rest = size.and_then(|size| rest.get(size..)).unwrap_or_default();
        }
        Ok(())
    }

    /// Registers the connection with the reactor of the calling thread.
    pub fn move_to_reactor(mut self) -> Result<Self, LinkError> {
        self.stream = TcpStream::from_std(self.stream.into_std()?)?;
        Ok(self)
    }

    /// Frees large buffers, which an idle connection does not need.
    pub fn shrink(&mut self) {
        for buffer in [&mut self.input, &mut self.output] {
            if buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
                *buffer = BytesMut::new();
            }
        }
    }

    /// Runs SQL text of the instance without rows, and waits for completion within `limit`.
    pub async fn run_text(&mut self, text: &str, limit: Duration) -> Result<(), LinkError> {
        self.check_requested()?;
        self.put_query(text);
        let mut marker = AnswerMarker::new(MarkerKind::Setting);
        marker.put(&mut self.output);
        let running = async {
            let mut refusal = None;
            loop {
                let frame = self.read_frame().await?;
                match frame.kind() {
                    b'N' | b'S' | b'A' => {}
                    b'C' if refusal.is_none() => {}
                    b'E' if refusal.is_none() => refusal = Some(LinkError::from_error(&frame)),
                    b'Z' => break,
                    _ => {
                        let fault = AnswerFault::MessageOrder;
                        return Err(LinkError::Unexpected { fault });
                    }
                }
            }
            self.await_marker(&mut marker).await?;
            refusal.map_or(Ok(()), Err)
        };
        tokio::time::timeout(limit, running)
            .await
            .map_err(|_| LinkError::Deadline)?
    }

    /// Queries the status of the endpoint and records its term; fails after the time `limit`.
    pub async fn read_status(&mut self, limit: Duration) -> Result<EndpointStatus, LinkError> {
        self.check_requested()?;
        let mut marker = AnswerMarker::new(MarkerKind::Status);
        marker.put(&mut self.output);
        let status = tokio::time::timeout(limit, self.await_marker(&mut marker))
            .await
            .map_err(|_| LinkError::Deadline)??
            .ok_or(LinkError::Protocol)?;
        self.term = Some(status.point.term);
        Ok(status)
    }

    async fn await_marker(
        &mut self,
        marker: &mut AnswerMarker,
    ) -> Result<Option<EndpointStatus>, LinkError> {
        loop {
            let frame = self.read_frame().await?;
            match marker.receive(&frame)? {
                Some(MarkerOutcome::Matched(status)) => return Ok(status),
                Some(MarkerOutcome::Refused) => return Err(LinkError::Protocol),
                None => {}
            }
        }
    }

    /// Adds a simple query to the output.
    pub fn put_query(&mut self, text: &str) {
        let mut body = Vec::with_capacity(text.len() + 1);
        body.extend_from_slice(text.as_bytes());
        body.push(0);
        self.output
            .extend_from_slice(WireFrame::new(b'Q', &body).bytes());
    }
}

/// Returns the SQLSTATE of an ErrorResponse, if it has one.
pub fn read_sqlstate(frame: &WireFrame) -> Option<&str> {
    read_field(frame, b'C')
}

/// Returns whether an ErrorResponse ends its connection.
pub fn is_fatal(frame: &WireFrame) -> bool {
    if frame.kind() != b'E' {
        return false;
    }
    let severity = read_field(frame, b'V').or_else(|| read_field(frame, b'S'));
    matches!(severity, Some("FATAL" | "PANIC"))
}

fn read_field(frame: &WireFrame, wanted: u8) -> Option<&str> {
    let mut rest = frame.body();
    while let [field, text @ ..] = rest {
        if *field == 0 {
            return None;
        }
        let (value, remaining) = wire_frame::split_text(text).ok()?;
        if *field == wanted {
            return std::str::from_utf8(value).ok();
        }
        rest = remaining;
    }
    None
}
