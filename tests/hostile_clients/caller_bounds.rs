//! Crowds at the caller port.

use std::io::Write;
use std::net::TcpStream;
use std::thread;

use crate::bounded_daemon::BoundedDaemon;
use crate::caller_crowd::connect;
use crate::caller_crowd::message;
use crate::caller_crowd::message_head;
use crate::caller_crowd::open_session;

/// Size of a legal message of the crowds; the settings allow 8 MiB.
const LARGE_BYTES: usize = 7 * 1_024 * 1_024;

/// Size of one write of a crowd.
const PIECE_BYTES: usize = 64 * 1_024;

/// Callers that send most of a legal message and stop must not hold more memory together than the
/// process has.
#[test]
fn half_sent_messages() {
    let mut daemon = BoundedDaemon::start();
    let address = daemon.callers;
    let crowd: Vec<_> = (0..24)
        .map(|_| {
            thread::spawn(move || {
                let mut stream = open_session(address)?;
                let _ = stream.write_all(&message_head(b'Q', LARGE_BYTES));
                let _ = write_pieces(&mut stream, LARGE_BYTES - PIECE_BYTES);
                Ok::<_, std::io::Error>(stream)
            })
        })
        .collect();
    let _streams: Vec<_> = crowd.into_iter().map(thread::JoinHandle::join).collect();
    daemon.check();
}

/// A session that defines prepared statements without end must not grow without end, even if
/// no endpoint is involved.
#[test]
fn prepared_without_end() {
    let mut daemon = BoundedDaemon::start();
    let mut stream = open_session(daemon.callers).expect("open a session");
    for number in 0..4_000 {
        let mut body = format!("{number:0>30000}").into_bytes();
        body.extend_from_slice(b"\0SHOW tamaracklb.staleness\0\0\0");
        let mut bytes = message(b'P', &body);
        bytes.extend_from_slice(&message(b'S', b""));
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    daemon.check();
}

/// A caller that pipelines requests and never reads must not collect answers in memory.
#[test]
fn pipelined_without_reading() {
    let mut daemon = BoundedDaemon::start();
    let mut streams = Vec::new();
    let bytes = message(b'Q', b"SHOW tamaracklb.staleness\0").repeat(20_000);
    for _ in 0..8 {
        let mut stream = open_session(daemon.callers).expect("open a session");
        let timeout = Some(std::time::Duration::from_millis(500));
        stream.set_write_timeout(timeout).expect("set the timeout");
        for _ in 0..4 {
            let _ = stream.write_all(&bytes);
        }
        streams.push(stream);
    }
    daemon.check();
}

/// Start-ups that are too large, stop halfway or never begin must end, and resets must not
/// leave descriptors behind.
#[test]
fn broken_startups() {
    let mut daemon = BoundedDaemon::start();
    let mut streams = Vec::new();
    for start in [
        &b""[..],
        &[0, 0, 32, 0, 0, 3],
        &[0x7f, 0xff, 0xff, 0xff, 0, 3],
    ] {
        for _ in 0..80 {
            let mut stream = connect(daemon.callers).expect("connect");
            let _ = stream.write_all(start);
            streams.push(stream);
        }
    }
    for _ in 0..500 {
        let _ = connect(daemon.callers);
    }
    daemon.check();
}

fn write_pieces(stream: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
    let piece = vec![b' '; PIECE_BYTES];
    for _ in 0..bytes / PIECE_BYTES {
        stream.write_all(&piece)?;
    }
    Ok(())
}
