//! A client's session over the wire protocol.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::record;

pub struct Client {
    stream: BufReader<TcpStream>,
    name: String,
    requests: u64,
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub request: String,
    pub rows: Vec<String>,
    /// The receipt, or the error code.
    pub result: Result<String, String>,
    pub state: String,
}

impl Answer {
    pub fn succeeded(&self) -> bool {
        self.result.is_ok()
    }
}

impl Client {
    /// Opens a session.
    pub fn open(port: u16, name: &str, database: &str, key: &str) -> Result<Self, String> {
        let stream = TcpStream::connect(("127.0.0.1", port)).map_err(|e| e.to_string())?;
        let timeout = Some(Duration::from_secs(4));
        stream.set_read_timeout(timeout).map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let mut client = Client {
            stream: BufReader::new(stream),
            name: name.to_owned(),
            requests: 0,
        };
        client.send(&format!("STARTUP {database} {key}"))?;
        let line = client.line()?;
        match line.starts_with("READY") {
            true => Ok(client),
            false => Err(line),
        }
    }

    /// Sends a statement and waits for its answer. After an error the session is of no more use.
    pub fn query(&mut self, text: &str) -> Result<Answer, String> {
        self.requests += 1;
        let request = format!("{}-{}", self.name, self.requests);
        let answer = self.exchange(&request, text);
        match &answer {
            Ok(answer) => record!(
                "client {request}: {text} -> {:?} {:?} {}",
                answer.result,
                answer.rows,
                answer.state
            ),
            Err(error) => record!("client {request}: {text} -> broken, {error}"),
        }
        answer
    }

    fn exchange(&mut self, request: &str, text: &str) -> Result<Answer, String> {
        self.send(&format!("QUERY {request} {text}"))?;
        let mut rows = Vec::new();
        let mut result = Err("no result".to_owned());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => result = Err(rest.to_owned()),
                "READY" => {
                    return Ok(Answer {
                        request: request.to_owned(),
                        rows,
                        result,
                        state: rest.chars().next().map(String::from).unwrap_or_default(),
                    });
                }
                _ => return Err(format!("unexpected line {line:?}")),
            }
        }
    }

    fn send(&mut self, line: &str) -> Result<(), String> {
        let bytes = format!("{line}\r\n");
        let written = self.stream.get_mut().write_all(bytes.as_bytes());
        written.map_err(|error| error.to_string())
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) => Err("closed".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }
}
