//! Guards against a log that stops the daemon, or that grows without bound.

use std::io::Read;

use crate::fleet::Fleet;

/// Requests whose lines take several times what the daemon keeps for a slow reader.
const REQUESTS: usize = 2_500;

/// What the daemon keeps for a slow reader, and what the system keeps in a pipe.
const KEPT_BYTES: usize = 256 * 1024 + 64 * 1024;

/// While nobody reads its log, an instance must serve as before, drop lines and say how many.
#[tokio::test]
async fn unread_log_stops_nothing() {
    let mut fleet = Fleet::start(1).await;
    let pipe = fleet.instances[0].process.restart_piped();
    let mut pipe = pipe.expect("the daemon can be started").expect("a pipe");
    fleet.await_service().await;
    let mut caller = fleet.caller(0, "linear").await;
    let mut served = 0;
    for _ in 0..REQUESTS {
        served += usize::from(caller.request("READ page").await.succeeded());
    }
    assert!(served > REQUESTS / 2, "{served}");
    // The rest is written as soon as there is room, and the count of dropped lines behind it.
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
    let log = reader.join().expect("the reader ends");
    assert!(String::from_utf8_lossy(&log).contains("log_lines_dropped"));
    assert!(log.len() <= KEPT_BYTES, "{} bytes", log.len());
}
