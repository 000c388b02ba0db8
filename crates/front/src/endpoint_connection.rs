//! A connection to an endpoint. Statements on it run one after another.

use std::fmt;
use std::io;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use platform::caller_codec::SessionState;
use platform::endpoint_codec;
use platform::endpoint_codec::EndpointCodec;
use platform::endpoint_codec::EndpointCommand;
use platform::endpoint_codec::EndpointMessage;
use session_core::endpoint_entry::EndpointEntry;
use session_core::ids::EndpointId;
use session_core::ids::TeamId;
use session_core::log_point::LogPoint;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::request_outcome::EndpointRefusal;
use session_core::request_outcome::StatementFault;
use session_core::session_values::ConnectionValues;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::host_channel::HostChannel;
use crate::instance_limits::CONNECT_TIMEOUT;
use crate::instance_limits::UNACKNOWLEDGED_TIMEOUT;

/// The answer of an endpoint to one statement.
#[derive(Debug, Clone)]
pub struct EndpointAnswer {
    /// Rows, as the endpoint sent them.
    pub rows: Vec<String>,
    /// The receipt, or the endpoint's refusal with its text.
    pub result: Result<String, (EndpointRefusal, String)>,
    /// Transaction state after the statement.
    pub state: SessionState,
    /// Log position, as the endpoint sent it.
    pub position: String,
    /// When the statement was sent.
    pub sent_at: MonotonicTime,
    /// Time that the endpoint took, as measured by the instance that is connected to it.
    pub took: Duration,
}

impl EndpointAnswer {
    /// Returns the log position, if the endpoint sent one.
    pub fn point(&self) -> Option<LogPoint> {
        endpoint_codec::parse_position(&self.position)
    }
}

/// Errors of opening a connection.
#[derive(Debug)]
pub enum ConnectError {
    /// The endpoint refused the start-up.
    Refused(EndpointRefusal),
    /// The connection failed.
    Io(io::Error),
    /// The endpoint did not answer in time.
    Overdue,
    /// The endpoint's host could not connect to it.
    AtHost,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Refused(refusal) => write!(f, "refused: {refusal:?}"),
            ConnectError::Io(error) => write!(f, "{error}"),
            ConnectError::Overdue => write!(f, "no answer"),
            ConnectError::AtHost => write!(f, "host is not connected"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// How commands reach the endpoint.
#[derive(Debug)]
enum ConnectionTransport {
    /// A connection of this instance.
    Direct(Box<Framed<TcpStream, EndpointCodec>>),
    /// A connection that the endpoint's host keeps.
    Shared(HostChannel),
}

/// An open connection whose start-up the endpoint accepted.
#[derive(Debug)]
pub struct EndpointConnection {
    transport: ConnectionTransport,
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Team whose statements run on it.
    pub team: Option<TeamId>,
    /// Session values and prepared names that the endpoint holds for this connection.
    pub values: ConnectionValues,
    /// Transaction state after the last answer.
    pub state: SessionState,
    broken: bool,
    /// Whether the values are uncertain, so that the connection must not be used for another
    /// session.
    uncertain: bool,
}

impl EndpointConnection {
    /// Opens a connection to an endpoint for a team.
    ///
    /// # Errors
    ///
    /// See [`ConnectError`].
    pub async fn open(entry: &EndpointEntry, team: Option<TeamId>) -> Result<Self, ConnectError> {
        match timeout(CONNECT_TIMEOUT, Self::start(entry, team)).await {
            Ok(opened) => opened,
            Err(_) => Err(ConnectError::Overdue),
        }
    }

    async fn start(entry: &EndpointEntry, team: Option<TeamId>) -> Result<Self, ConnectError> {
        let stream = TcpStream::connect(entry.address)
            .await
            .map_err(ConnectError::Io)?;
        stream.set_nodelay(true).map_err(ConnectError::Io)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
            .map_err(ConnectError::Io)?;
        let mut framed = Framed::new(stream, EndpointCodec::default());
        let startup = EndpointCommand::Startup {
            service: entry.service.clone(),
            team: team.clone(),
            endpoint: entry.id.clone(),
        };
        let io = |error: platform::line_frame::FrameError| {
            ConnectError::Io(io::Error::other(error.to_string()))
        };
        framed.send(startup).await.map_err(io)?;
        loop {
            match framed.next().await {
                Some(Ok(EndpointMessage::Ready { .. })) => break,
                Some(Ok(EndpointMessage::Refused { refusal, .. })) => {
                    return Err(ConnectError::Refused(refusal));
                }
                Some(Ok(_)) => {}
                Some(Err(error)) => return Err(io(error)),
                None => {
                    return Err(ConnectError::Io(io::ErrorKind::UnexpectedEof.into()));
                }
            }
        }
        Ok(Self {
            transport: ConnectionTransport::Direct(Box::new(framed)),
            endpoint: entry.id.clone(),
            team,
            values: ConnectionValues::default(),
            state: SessionState::Idle,
            broken: false,
            uncertain: false,
        })
    }

    /// Creates a connection from a channel of the endpoint's host.
    pub fn shared(
        channel: HostChannel,
        endpoint: EndpointId,
        team: Option<TeamId>,
        values: ConnectionValues,
    ) -> Self {
        Self {
            transport: ConnectionTransport::Shared(channel),
            endpoint,
            team,
            values,
            state: SessionState::Idle,
            broken: false,
            uncertain: false,
        }
    }

    /// Returns whether another session may use the connection.
    pub fn is_reusable(&self) -> bool {
        !self.broken && !self.uncertain && self.state == SessionState::Idle
    }

    /// Returns whether the last fault says nothing about the endpoint, because the way to the host
    /// or the host itself caused it.
    pub fn has_host_fault(&self) -> bool {
        match &self.transport {
            ConnectionTransport::Direct(_) => false,
            ConnectionTransport::Shared(channel) => channel.has_host_fault(),
        }
    }

    /// Marks the values as uncertain. The current session may end its transaction.
    pub fn set_uncertain(&mut self) {
        self.uncertain = true;
    }

    /// Returns a connection of a host to it, and closes one of this instance.
    pub fn finish(mut self) {
        let is_reusable = self.is_reusable();
        if let ConnectionTransport::Shared(channel) = &mut self.transport
            && is_reusable
        {
            channel.set_reusable();
        }
    }

    /// Returns whether the connection must not be used again.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Marks the connection as unusable, for example when its session values are uncertain.
    pub fn mark_broken(&mut self) {
        self.broken = true;
    }

    /// Returns whether the endpoint closed the connection or sent data while it was idle.
    pub fn is_stale(&self) -> bool {
        let framed = match &self.transport {
            ConnectionTransport::Direct(framed) => framed,
            ConnectionTransport::Shared(channel) => return channel.is_lost(),
        };
        let mut byte = [0];
        let read = framed.get_ref().try_read(&mut byte);
        !matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Runs one statement.
    ///
    /// # Errors
    ///
    /// Returns how far the statement may have got; the connection is then broken.
    pub async fn run(
        &mut self,
        command: EndpointCommand,
        time: Duration,
    ) -> Result<EndpointAnswer, StatementFault> {
        let mut answers = self.run_all(vec![command], time).await?;
        answers.pop().ok_or(StatementFault::Broken)
    }

    /// Sends several statements at once and returns their answers in order.
    ///
    /// # Errors
    ///
    /// Returns how far the last statement may have got; the connection is then broken.
    pub async fn run_all(
        &mut self,
        commands: Vec<EndpointCommand>,
        time: Duration,
    ) -> Result<Vec<EndpointAnswer>, StatementFault> {
        self.broken = true;
        let answers = match &mut self.transport {
            ConnectionTransport::Direct(framed) => {
                let answered = timeout(time, exchange(framed, commands)).await;
                answered.unwrap_or(Err(StatementFault::Overdue))?
            }
            ConnectionTransport::Shared(channel) => channel.run(commands, time).await?,
        };
        self.broken = false;
        if let Some(last) = answers.last() {
            self.state = last.state;
        }
        Ok(answers)
    }
}

async fn exchange(
    framed: &mut Framed<TcpStream, EndpointCodec>,
    commands: Vec<EndpointCommand>,
) -> Result<Vec<EndpointAnswer>, StatementFault> {
    let sent_at = now();
    let count = commands.len();
    for command in commands {
        framed
            .feed(command)
            .await
            .map_err(|_| StatementFault::Broken)?;
    }
    framed.flush().await.map_err(|_| StatementFault::Broken)?;
    let mut answers = Vec::with_capacity(count);
    for _ in 0..count {
        answers.push(read_answer(framed, sent_at).await?);
    }
    Ok(answers)
}

async fn read_answer(
    framed: &mut Framed<TcpStream, EndpointCodec>,
    sent_at: MonotonicTime,
) -> Result<EndpointAnswer, StatementFault> {
    let mut rows = Vec::new();
    let mut result = None;
    loop {
        match framed.next().await {
            Some(Ok(EndpointMessage::Row(row))) => rows.push(row),
            Some(Ok(EndpointMessage::Done(receipt))) => result = Some(Ok(receipt)),
            Some(Ok(EndpointMessage::Refused { refusal, text })) => {
                result = Some(Err((refusal, text)));
            }
            Some(Ok(EndpointMessage::Ready { state, position })) => {
                let result = result.ok_or(StatementFault::Broken)?;
                return Ok(EndpointAnswer {
                    rows,
                    result,
                    state,
                    position,
                    sent_at,
                    took: now().saturating_since(sent_at),
                });
            }
            Some(Err(_)) | None => return Err(StatementFault::Broken),
        }
    }
}
