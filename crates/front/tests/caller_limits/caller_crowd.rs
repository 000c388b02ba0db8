//! Crowds of callers that do not behave.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::limited_daemon::KEY;

/// Size of a crowd whose members each use about as much memory as one message may.
pub const CROWD_SIZE: usize = 96;

/// Receive buffer of members that do not read, so that answers wait in the daemon and not here.
const SMALL_BUFFER_BYTES: u32 = 4_096;

/// Time after which a member gives up what the daemon does not take or answer.
const MEMBER_TIME: Duration = Duration::from_secs(6);

/// Members of a crowd, whose connections stay open until this is dropped.
pub struct CallerCrowd {
    members: JoinSet<()>,
    done: tokio::sync::mpsc::Receiver<()>,
}

impl CallerCrowd {
    /// Starts `count` members. A member ends with an error when the daemon closes its connection.
    pub fn start<F>(count: usize, member: impl Fn(usize) -> F) -> Self
    where
        F: Future<Output = io::Result<TcpStream>> + Send + 'static,
    {
        let mut members = JoinSet::new();
        let (sender, done) = tokio::sync::mpsc::channel(1);
        for number in 0..count {
            let member = member(number);
            let sender = sender.clone();
            members.spawn(async move {
                let ended = timeout(MEMBER_TIME, member).await;
                drop(sender);
                // The connection stays open; one that the daemon has closed is no fault.
                if let Ok(Ok(_stream)) = ended {
                    std::future::pending::<()>().await;
                }
            });
        }
        Self { members, done }
    }

    /// Waits until each member has sent all, has given up, or lost its connection.
    pub async fn settled(&mut self) {
        let ended = self.done.recv().await;
        assert!(ended.is_none() && !self.members.is_empty());
    }
}

/// Opens a connection without starting a session.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// Opens a connection and starts a session.
pub async fn start_session(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = connect(address).await?;
    let line = format!("STARTUP linear {KEY}\r\n");
    stream.write_all(line.as_bytes()).await?;
    read_until(&mut stream, b"READY").await?;
    Ok(stream)
}

/// Reads until the end of a line that begins with a word. Returns whether no line was an error.
pub async fn read_until(stream: &mut TcpStream, word: &[u8]) -> io::Result<bool> {
    let mut line = Vec::new();
    let mut succeeded = true;
    let mut part = [0; 4_096];
    loop {
        let size = stream.read(&mut part).await?;
        if size == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        for byte in &part[..size] {
            if *byte != b'\n' {
                line.push(*byte);
            } else if line.starts_with(word) {
                return Ok(succeeded);
            } else {
                succeeded &= !line.starts_with(b"ERROR");
                line.clear();
            }
        }
    }
}

/// Returns a request to read an item whose name has this many bytes.
pub fn long_request(bytes: usize) -> Vec<u8> {
    let mut request = b"QUERY c-1 READ ".to_vec();
    request.resize(request.len() + bytes, b'x');
    request.extend(b"\r\n");
    request
}
