//! A caller that speaks the line protocol.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longer than any answer may take.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// The answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The rows.
    pub rows: Vec<String>,
    /// The last line before the session is ready, such as `COMPLETE -` or `ERROR BUSY ...`.
    pub end: String,
    /// The transaction state.
    pub state: String,
}

impl Answer {
    /// Whether the request succeeded.
    pub fn succeeded(&self) -> bool {
        self.end.starts_with("COMPLETE")
    }

    /// Returns the code of a refusal.
    pub fn code(&self) -> &str {
        self.end.split(' ').nth(1).unwrap_or_default()
    }
}

/// One session.
pub struct Caller {
    stream: BufReader<TcpStream>,
    requests: u64,
    name: String,
}

impl Caller {
    /// Opens a session, and panics where it is refused.
    pub async fn open(address: SocketAddr, database: &str, key: &str) -> Self {
        match Self::try_open(address, database, key).await {
            Ok(caller) => caller,
            Err(line) => panic!("session refused: {line}"),
        }
    }

    /// Opens a session, or returns the line that refused it.
    pub async fn try_open(address: SocketAddr, database: &str, key: &str) -> Result<Self, String> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| error.to_string())?;
        let mut caller = Self {
            name: format!("{}-{database}", stream.local_addr().map_or(0, |a| a.port())),
            stream: BufReader::new(stream),
            requests: 0,
        };
        caller.send(&format!("STARTUP {database} {key}")).await;
        let line = caller.line().await;
        match line.starts_with("READY") {
            true => Ok(caller),
            false => Err(line),
        }
    }

    /// Sends a request and waits for its answer.
    pub async fn ask(&mut self, text: &str) -> Answer {
        self.requests += 1;
        let line = format!("QUERY {}-{} {text}", self.name, self.requests);
        self.send(&line).await;
        let mut rows = Vec::new();
        let mut end = String::new();
        loop {
            let line = self.line().await;
            match line.split_once(' ') {
                Some(("DATAROW", row)) => rows.push(row.to_owned()),
                Some(("READY", state)) => {
                    let state = state.split(' ').next().unwrap_or_default().to_owned();
                    return Answer { rows, end, state };
                }
                Some(("COMPLETE" | "ERROR", _)) => end = line,
                _ => panic!("unexpected line {line:?}"),
            }
        }
    }

    /// Sends requests until one succeeds, and returns its answer.
    pub async fn ask_until_served(&mut self, text: &str) -> Answer {
        let mut last = self.ask(text).await;
        for _ in 0..200 {
            if last.succeeded() {
                return last;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            last = self.ask(text).await;
        }
        panic!("never served: {last:?}");
    }

    /// Waits until the other side closes the connection.
    pub async fn closed(&mut self) -> bool {
        let mut line = String::new();
        let read = timeout(ANSWER_TIME, self.stream.read_line(&mut line)).await;
        matches!(read, Ok(Ok(0)))
    }

    async fn send(&mut self, line: &str) {
        let bytes = format!("{line}\r\n");
        self.stream
            .get_mut()
            .write_all(bytes.as_bytes())
            .await
            .expect("the session is open");
    }

    async fn line(&mut self) -> String {
        let mut line = String::new();
        let read = timeout(ANSWER_TIME, self.stream.read_line(&mut line)).await;
        match read {
            Ok(Ok(_)) => line.trim_end().to_owned(),
            Ok(Err(error)) => panic!("the session broke: {error}"),
            Err(_) => panic!("no answer in {ANSWER_TIME:?}"),
        }
    }
}
