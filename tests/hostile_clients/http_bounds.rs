//! Crowds at the HTTP port.

use std::io::Write;
use std::net::TcpStream;

use crate::bounded_daemon::BoundedDaemon;
use crate::caller_crowd::connect;

fn crowd(daemon: &BoundedDaemon, count: usize, start: &[u8]) -> Vec<TcpStream> {
    let send = |_| {
        let mut stream = connect(daemon.http).ok()?;
        let _ = stream.write_all(start);
        Some(stream)
    };
    (0..count).filter_map(send).collect()
}

/// Connections that send nothing, or a head without an end, must not block health checks.
#[test]
fn heads_without_end() {
    let mut daemon = BoundedDaemon::start();
    let _idle = crowd(&daemon, 150, b"");
    let _begun = crowd(&daemon, 150, b"GET /health HTTP/1.1\r\nHost: i\r\n");
    daemon.check();
}

/// A body that is far larger than any request needs must not be collected in memory.
#[test]
fn huge_bodies() {
    let mut daemon = BoundedDaemon::start();
    let head = b"POST /metrics HTTP/1.1\r\nHost: i\r\nContent-Length: 1000000000\r\n\r\n";
    let mut streams = crowd(&daemon, 20, head);
    let piece = vec![b'x'; 64 * 1_024];
    for stream in &mut streams {
        let timeout = Some(std::time::Duration::from_millis(200));
        stream.set_write_timeout(timeout).expect("set the timeout");
        for _ in 0..160 {
            if stream.write_all(&piece).is_err() {
                break;
            }
        }
    }
    daemon.check();
}

/// Clients that pipeline requests and never read must not collect answers in memory, nor keep
/// the port from answering others.
#[test]
fn pipelined_without_reading() {
    let mut daemon = BoundedDaemon::start();
    let requests = b"GET /metrics HTTP/1.1\r\nHost: i\r\n\r\n".repeat(2_000);
    let mut streams = crowd(&daemon, 300, b"");
    for stream in &mut streams {
        let timeout = Some(std::time::Duration::from_millis(20));
        stream.set_write_timeout(timeout).expect("set the timeout");
        let _ = stream.write_all(&requests);
    }
    daemon.check();
}
