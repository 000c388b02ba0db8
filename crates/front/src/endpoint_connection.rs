//! One connection to an endpoint, on which one statement runs at a time.

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

use crate::instance_limits::CONNECT_TIME;
use crate::instance_limits::UNACKNOWLEDGED_TIME;

/// The answer of an endpoint to one statement.
#[derive(Debug, Clone)]
pub struct EndpointAnswer {
    /// The rows, as sent.
    pub rows: Vec<String>,
    /// The receipt, or why there is none.
    pub end: Result<String, (EndpointRefusal, String)>,
    /// The transaction state behind it.
    pub state: SessionState,
    /// The log position as sent.
    pub position: String,
    /// When the statement was sent.
    pub sent_at: MonotonicTime,
}

impl EndpointAnswer {
    /// Returns the log position, where the endpoint gave one.
    pub fn point(&self) -> Option<LogPoint> {
        endpoint_codec::parse_position(&self.position)
    }
}

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum ConnectError {
    /// The endpoint refused the start-up.
    Refused(EndpointRefusal),
    /// The connection failed.
    Io(io::Error),
    /// Nothing came within the time.
    Overdue,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Refused(refusal) => write!(f, "refused: {refusal:?}"),
            ConnectError::Io(error) => write!(f, "{error}"),
            ConnectError::Overdue => write!(f, "no answer"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// A connection that an endpoint accepted.
#[derive(Debug)]
pub struct EndpointConnection {
    framed: Framed<TcpStream, EndpointCodec>,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// For whom it runs statements.
    pub team: Option<TeamId>,
    /// What the endpoint holds of the sessions that used it.
    pub values: ConnectionValues,
    /// The transaction state.
    pub state: SessionState,
    broken: bool,
}

impl EndpointConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// See [`ConnectError`].
    pub async fn open(entry: &EndpointEntry, team: Option<TeamId>) -> Result<Self, ConnectError> {
        match timeout(CONNECT_TIME, Self::start(entry, team)).await {
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
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))
            .map_err(ConnectError::Io)?;
        let mut connection = Self {
            framed: Framed::new(stream, EndpointCodec::default()),
            endpoint: entry.id.clone(),
            team: team.clone(),
            values: ConnectionValues::default(),
            state: SessionState::Idle,
            broken: false,
        };
        let startup = EndpointCommand::Startup {
            service: entry.service.clone(),
            team,
            endpoint: entry.id.clone(),
        };
        let io = |error: platform::line_frame::FrameError| {
            ConnectError::Io(io::Error::other(error.to_string()))
        };
        connection.framed.send(startup).await.map_err(io)?;
        loop {
            match connection.framed.next().await {
                Some(Ok(EndpointMessage::Ready { .. })) => return Ok(connection),
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
    }

    /// Whether no further statement may run on it.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Lets no further statement run on it, as when its values are in doubt.
    pub fn give_up(&mut self) {
        self.broken = true;
    }

    /// Whether the endpoint closed it or sent something while it was idle.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        let read = self.framed.get_ref().try_read(&mut byte);
        !matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Runs one statement.
    ///
    /// # Errors
    ///
    /// Says how far the statement may have come; the connection is then broken.
    pub async fn run(
        &mut self,
        command: EndpointCommand,
        time: Duration,
    ) -> Result<EndpointAnswer, StatementFault> {
        let mut answers = self.run_all(vec![command], time).await?;
        answers.pop().ok_or(StatementFault::Broken)
    }

    /// Runs statements that were sent together, in their order.
    ///
    /// # Errors
    ///
    /// Says how far the last statement may have come; the connection is then broken.
    pub async fn run_all(
        &mut self,
        commands: Vec<EndpointCommand>,
        time: Duration,
    ) -> Result<Vec<EndpointAnswer>, StatementFault> {
        self.broken = true;
        let answered = timeout(time, self.exchange(commands)).await;
        let answers = answered.unwrap_or(Err(StatementFault::Overdue))?;
        self.broken = false;
        if let Some(last) = answers.last() {
            self.state = last.state;
        }
        Ok(answers)
    }

    async fn exchange(
        &mut self,
        commands: Vec<EndpointCommand>,
    ) -> Result<Vec<EndpointAnswer>, StatementFault> {
        let sent_at = now();
        let count = commands.len();
        for command in commands {
            self.framed
                .feed(command)
                .await
                .map_err(|_| StatementFault::Broken)?;
        }
        self.framed
            .flush()
            .await
            .map_err(|_| StatementFault::Broken)?;
        let mut answers = Vec::with_capacity(count);
        for _ in 0..count {
            answers.push(self.answer(sent_at).await?);
        }
        Ok(answers)
    }

    async fn answer(&mut self, sent_at: MonotonicTime) -> Result<EndpointAnswer, StatementFault> {
        let mut rows = Vec::new();
        let mut end = None;
        loop {
            match self.framed.next().await {
                Some(Ok(EndpointMessage::Row(row))) => rows.push(row),
                Some(Ok(EndpointMessage::Done(receipt))) => end = Some(Ok(receipt)),
                Some(Ok(EndpointMessage::Refused { refusal, text })) => {
                    end = Some(Err((refusal, text)));
                }
                Some(Ok(EndpointMessage::Ready { state, position })) => {
                    let end = end.ok_or(StatementFault::Broken)?;
                    return Ok(EndpointAnswer {
                        rows,
                        end,
                        state,
                        position,
                        sent_at,
                    });
                }
                Some(Err(_)) | None => return Err(StatementFault::Broken),
            }
        }
    }
}
