//! Callers that speak the protocol up to a point and then misbehave.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Timeout of one socket operation, after which a caller gives up.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(5);

const PROTOCOL_VERSION: i32 = 196_608;

/// Connects without sending anything.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(SOCKET_TIMEOUT))?;
    stream.set_write_timeout(Some(SOCKET_TIMEOUT))?;
    Ok(stream)
}

/// Opens a session with the service that requires no key.
pub fn open_session(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = connect(address)?;
    let body = b"user\0archive\0database\0studio-db\0\0";
    let length = i32::try_from(body.len() + 8).expect("the packet is short");
    stream.write_all(&length.to_be_bytes())?;
    stream.write_all(&PROTOCOL_VERSION.to_be_bytes())?;
    stream.write_all(body)?;
    read_until_ready(&mut stream)?;
    Ok(stream)
}

/// Returns a message with its header.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = message_head(kind, body.len());
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the header of a message that has a body of the given size.
pub fn message_head(kind: u8, body_bytes: usize) -> Vec<u8> {
    let length = u32::try_from(body_bytes + 4).expect("the message has a legal size");
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes
}

/// Sends a query and waits for the end of its answer.
pub fn query(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    stream.write_all(&message(b'Q', &body))?;
    read_until_ready(stream)
}

fn read_until_ready(stream: &mut TcpStream) -> io::Result<()> {
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        stream.read_exact(&mut body)?;
        match head[0] {
            b'Z' => return Ok(()),
            b'E' => {
                return Err(io::Error::other(
                    String::from_utf8_lossy(&body).into_owned(),
                ));
            }
            _ => {}
        }
    }
}

/// Requests the health of the process, and fails unless it is answered.
pub fn get_health(address: SocketAddr) -> io::Result<()> {
    let mut stream = connect(address)?;
    stream.write_all(b"GET /health HTTP/1.1\r\nHost: i\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    match text.starts_with("HTTP/1.1 200") {
        true => Ok(()),
        false => Err(io::Error::other(text)),
    }
}
