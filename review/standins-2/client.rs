//! A client of the fronts.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::record::note;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// The answer to a statement.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub id: String,
    pub rows: Vec<String>,
    /// The receipt of a success.
    pub receipt: Option<String>,
    /// The code and the text of an error.
    pub error: String,
    pub state: String,
    pub sent_at: Option<Instant>,
}

impl Answer {
    pub fn succeeded(&self) -> bool {
        self.receipt.is_some()
    }
}

pub struct Client {
    name: String,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(name: &str, address: SocketAddr, database: &str, key: &str) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut client = Client {
            name: name.to_owned(),
            reader: BufReader::new(stream),
        };
        client.send(&format!("STARTUP {database} {key}"))?;
        let line = client.line()?;
        match line.starts_with("READY") {
            true => Ok(client),
            false => Err(io::Error::other(line)),
        }
    }

    /// Opens a session as soon as the front accepts it.
    pub fn open_soon(name: &str, address: SocketAddr, database: &str, key: &str) -> Client {
        let end = Instant::now() + Duration::from_secs(15);
        loop {
            match Client::open(name, address, database, key) {
                Ok(client) => return client,
                Err(error) if Instant::now() >= end => {
                    crate::record::give_up(&format!("{name}: no session: {error}"))
                }
                Err(_) => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    fn send(&mut self, line: &str) -> io::Result<()> {
        self.reader
            .get_mut()
            .write_all(format!("{line}\r\n").as_bytes())
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(line.trim_end().to_owned()),
        }
    }

    /// Sends a statement and waits for its answer.
    pub fn request(&mut self, statement: &str) -> io::Result<Answer> {
        let number = LAST_ID.fetch_add(1, Ordering::Relaxed) + 1;
        let mut answer = Answer {
            id: format!("{number:016x}"),
            ..Answer::default()
        };
        note(&format!("client {}: {} {statement}", self.name, answer.id));
        answer.sent_at = Some(Instant::now());
        self.send(&format!("QUERY {} {statement}", answer.id))?;
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => answer.rows.push(rest.to_owned()),
                "COMPLETE" => answer.receipt = Some(rest.to_owned()),
                "ERROR" => answer.error = rest.to_owned(),
                _ => {
                    answer.state = rest.split(' ').next().unwrap_or_default().to_owned();
                    break;
                }
            }
        }
        note(&format!(
            "client {}: {} answered {:?} rows {:?} error {:?} state {}",
            self.name, answer.id, answer.receipt, answer.rows, answer.error, answer.state
        ));
        Ok(answer)
    }

    /// Repeats a statement until it succeeds.
    pub fn request_until_served(&mut self, statement: &str) -> Answer {
        let end = Instant::now() + Duration::from_secs(15);
        loop {
            match self.request(statement) {
                Ok(answer) if answer.succeeded() => return answer,
                Ok(_) if Instant::now() < end => std::thread::sleep(Duration::from_millis(50)),
                other => crate::record::give_up(&format!("{statement} is not served: {other:?}")),
            }
        }
    }
}
