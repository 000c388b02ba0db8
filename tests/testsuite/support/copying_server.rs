//! HTTP server that sends each of its answers twice on the connection of the request.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Time from a request to its answer.
pub const ANSWER_TIME: Duration = Duration::from_millis(40);

/// When the server sends the copy of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyTime {
    /// Together with the answer.
    AtOnce,
    /// A time after the answer.
    After(Duration),
    /// When the next request has arrived on the connection.
    WithNextRequest,
}

/// Status and body of each answer, in the order of the requests.
pub type ScriptedAnswers = Vec<(u16, &'static str)>;

/// A running server. Its threads end with the connections and with the process.
pub struct CopyingServer {
    address: SocketAddr,
}

impl CopyingServer {
    /// Starts a server with a list of answers. Requests beyond the list get no answer.
    pub fn start(copy_time: CopyTime, answers: ScriptedAnswers) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a port");
        let address = listener.local_addr().expect("a bound address");
        let answers = Arc::new(Mutex::new(answers.into_iter()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let answers = Arc::clone(&answers);
                let next = move || answers.lock().expect("an answer").next();
                // An error only means that the client closed its connection.
                thread::spawn(move || serve(stream, copy_time, next).ok());
            }
        });
        Self { address }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn serve(
    mut stream: TcpStream,
    copy_time: CopyTime,
    next: impl Fn() -> Option<(u16, &'static str)>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut former: Option<String> = None;
    while read_request(&mut stream)? {
        if let Some(former) = former.take() {
            stream.write_all(former.as_bytes())?;
        }
        thread::sleep(ANSWER_TIME);
        let Some((status, body)) = next() else {
            continue;
        };
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(answer.as_bytes())?;
        match copy_time {
            CopyTime::AtOnce => stream.write_all(answer.as_bytes())?,
            CopyTime::After(time) => {
                let mut stream = stream.try_clone()?;
                thread::spawn(move || {
                    thread::sleep(time);
                    stream.write_all(answer.as_bytes()).ok()
                });
            }
            CopyTime::WithNextRequest => former = Some(answer),
        }
    }
    Ok(())
}

/// Reads a request. Returns `false` at the end of the stream.
fn read_request(stream: &mut TcpStream) -> io::Result<bool> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(false);
        }
        head.extend_from_slice(&byte);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.map_or(0, |length| length.trim().parse().unwrap_or(0));
    stream.read_exact(&mut vec![0; length])?;
    Ok(true)
}
