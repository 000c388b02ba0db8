//! A caller that speaks the line protocol.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::platform::line_reader::read_line;

/// Time limit for an answer, longer than any answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of times that a request is repeated until it succeeds, and the pause between
/// attempts.
const SERVE_ATTEMPTS: usize = 200;
const SERVE_PAUSE: Duration = Duration::from_millis(50);

/// The answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineAnswer {
    /// The rows, in order.
    pub rows: Vec<String>,
    /// The last line before the session is ready, such as `COMPLETE -` or `ERROR BUSY ...`.
    pub last_line: String,
    /// The transaction state: `I` (none), `T` (open) or `E` (failed).
    pub state: String,
}

impl LineAnswer {
    /// Returns whether the request succeeded.
    pub fn succeeded(&self) -> bool {
        self.last_line.starts_with("COMPLETE")
    }

    /// Returns the second word of the last line: for an error, its code.
    pub fn code(&self) -> &str {
        self.last_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns whether the answer has an error code that guarantees that the request was not applied.
    pub fn reports_not_applied(&self) -> bool {
        const NOT_APPLIED_CODES: [&str; 6] = [
            "BUSY",
            "ABORTED",
            "LAGGING",
            "READONLY",
            "WRONGNODE",
            "CONNLIMIT",
        ];
        !self.succeeded() && NOT_APPLIED_CODES.contains(&self.code())
    }
}

/// Why a request has no answer.
#[derive(Debug)]
pub enum CallerError {
    /// The session was refused at its start with this line.
    Refused(String),
    /// The connection failed.
    Io(io::Error),
    /// No answer arrived in time.
    Silent,
    /// The answer has this line, which the protocol does not allow here.
    Unexpected(String),
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallerError::Refused(line) => write!(f, "refused: {line}"),
            CallerError::Io(error) => write!(f, "{error}"),
            CallerError::Silent => write!(f, "no answer in {ANSWER_TIMEOUT:?}"),
            CallerError::Unexpected(line) => write!(f, "unexpected line {line:?}"),
        }
    }
}

impl std::error::Error for CallerError {}

impl From<io::Error> for CallerError {
    fn from(error: io::Error) -> Self {
        CallerError::Io(error)
    }
}

/// One session with the daemon or an endpoint.
#[derive(Debug)]
pub struct LineCaller {
    stream: BufReader<TcpStream>,
    requests: u64,
    name: String,
}

impl LineCaller {
    /// Opens a session; panics if that fails.
    pub async fn open(address: SocketAddr, database: &str, key: &str) -> Self {
        match Self::try_open(address, database, key).await {
            Ok(caller) => caller,
            Err(error) => panic!("no session: {error}"),
        }
    }

    /// Connects and starts a session for a database, with an API key.
    ///
    /// # Errors
    ///
    /// See [`CallerError`].
    pub async fn try_open(
        address: SocketAddr,
        database: &str,
        key: &str,
    ) -> Result<Self, CallerError> {
        let stream = TcpStream::connect(address).await?;
        let mut caller = Self {
            name: format!("{}-{database}", stream.local_addr()?.port()),
            stream: BufReader::new(stream),
            requests: 0,
        };
        caller.send(&format!("STARTUP {database} {key}")).await?;
        let line = caller.line().await?;
        match line.starts_with("READY") {
            true => Ok(caller),
            false => Err(CallerError::Refused(line)),
        }
    }

    /// Sets the name of the session, which is the prefix of its request ids.
    pub fn set_name(&mut self, name: String) {
        self.name = name;
    }

    /// Returns the id of the next request.
    pub fn next_id(&self) -> String {
        format!("{}-{}", self.name, self.requests + 1)
    }

    /// Sends a request and waits for its answer; panics if there is none.
    pub async fn request(&mut self, text: &str) -> LineAnswer {
        match self.try_request(text).await {
            Ok(answer) => answer,
            Err(error) => panic!("no answer to {text:?}: {error}"),
        }
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// See [`CallerError`].
    pub async fn try_request(&mut self, text: &str) -> Result<LineAnswer, CallerError> {
        let message = self.next_message(text);
        self.send_bytes(&message).await?;
        self.receive_answer().await
    }

    /// Counts a request and returns the bytes of its message, for [`Self::send_bytes`].
    pub fn next_message(&mut self, text: &str) -> Vec<u8> {
        let line = format!("QUERY {} {text}\r\n", self.next_id());
        self.requests += 1;
        line.into_bytes()
    }

    /// Sends bytes of one or more messages, or of a part of one.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> Result<(), CallerError> {
        self.stream.get_mut().write_all(bytes).await?;
        Ok(())
    }

    /// Waits for the answer to the first request that has none yet.
    ///
    /// # Errors
    ///
    /// See [`CallerError`].
    pub async fn receive_answer(&mut self) -> Result<LineAnswer, CallerError> {
        let mut rows = Vec::new();
        let mut last_line = String::new();
        loop {
            let line = self.line().await?;
            match line.split_once(' ') {
                Some(("DATAROW", row)) if last_line.is_empty() => rows.push(row.to_owned()),
                Some(("READY", state)) if !last_line.is_empty() => {
                    let state = state.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(LineAnswer {
                        rows,
                        last_line,
                        state,
                    });
                }
                Some(("COMPLETE" | "ERROR", _)) if last_line.is_empty() => last_line = line,
                _ => return Err(CallerError::Unexpected(line)),
            }
        }
    }

    /// Repeats a request until it succeeds, and returns its answer; panics if it never succeeds.
    pub async fn request_until_served(&mut self, text: &str) -> LineAnswer {
        let mut last = self.request(text).await;
        for _ in 0..SERVE_ATTEMPTS {
            if last.succeeded() {
                return last;
            }
            tokio::time::sleep(SERVE_PAUSE).await;
            last = self.request(text).await;
        }
        panic!("never served: {last:?}");
    }

    /// Returns whether the other side closes the connection within the time limit and without sending
    /// another line.
    pub async fn closed(&mut self) -> bool {
        let mut line = String::new();
        let read = timeout(ANSWER_TIMEOUT, self.stream.read_line(&mut line)).await;
        matches!(read, Ok(Ok(0)))
    }

    async fn send(&mut self, line: &str) -> Result<(), CallerError> {
        self.send_bytes(format!("{line}\r\n").as_bytes()).await
    }

    async fn line(&mut self) -> Result<String, CallerError> {
        match timeout(ANSWER_TIMEOUT, read_line(&mut self.stream)).await {
            Ok(Ok(None)) => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            Ok(Ok(Some(line))) => Ok(line),
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(CallerError::Silent),
        }
    }
}
