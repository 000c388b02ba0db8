//! Guards against a log that blocks the daemon or grows without bound.

use std::io::Read;

use crate::fleet::Fleet;

/// Number of requests, whose log lines are several times as long as the daemon's buffer.
const REQUESTS: usize = 2_500;

/// Size of the daemon's log buffer and of the system's pipe buffer, in bytes.
const KEPT_BYTES: usize = 256 * 1024 + 64 * 1024;

/// While its log is not read, an instance must keep serving, drop log lines and log their count.
#[tokio::test]
async fn unread_log_stops_nothing() {
    let mut fleet = Fleet::start(1).await;
    let pipe = fleet.instances[0].process.restart_piped();
    let mut pipe = pipe
        .expect("start the daemon")
        .expect("standard output is a pipe");
    fleet.await_service().await;
    let mut caller = fleet.caller(0, "linear").await;
    let mut served = 0;
    for _ in 0..REQUESTS {
        served += usize::from(caller.request("READ page").await.succeeded());
    }
    assert!(served > REQUESTS / 2, "{served}");
    // The buffered lines are written once the pipe is read, followed by the count of dropped lines.
    let reader = std::thread::spawn(move || {
        let mut log = Vec::new();
        let mut part = [0; 8_192];
        while !String::from_utf8_lossy(&log).contains("log_lines_dropped") {
            match pipe.read(&mut part) {
                Ok(0) | Err(_) => break,
                Ok(size) => log.extend_from_slice(&part[..size]),
            }
        }
        log
    });
    let log = reader.join().expect("join the reader thread");
    assert!(String::from_utf8_lossy(&log).contains("log_lines_dropped"));
    assert!(log.len() <= KEPT_BYTES, "{} bytes", log.len());
}
