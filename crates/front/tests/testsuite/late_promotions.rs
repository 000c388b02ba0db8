//! Guards against promotions that a former leader sends after its lease has ended.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::time::timeout;

use crate::fleet::Fleet;
use crate::fleet::KEY;
use crate::promotion_gate::PromotionGate;

/// Time within which another instance replaces the primary.
const CHANGE_TIME: Duration = Duration::from_secs(10);

/// Time within which a resumed leader ends its connection.
const CLOSE_TIME: Duration = Duration::from_secs(4);

/// A leader that is suspended while it connects to the promotion service must not send its promotion
/// once it resumes (review cases 13 and 14). The promotion would undo that of the next leader.
#[tokio::test]
async fn resumed_leader_sends_no_promotion() {
    let gate = PromotionGate::closed().await;
    let fleet = Fleet::start_gated(3, gate.address).await;
    // An order is not changed in its first 3 s.
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    let leader = fleet.leader().expect("an instance leads");
    let leader = &fleet.instances[leader];
    occupy(leader.process.callers);
    let former = fleet.release_primary();
    leader.await_log("\"event\":\"promotion_called\"").await;
    leader.signal("STOP");
    let mut held = gate.open(fleet.platform.address).await;
    let replaced = fleet.await_successor(&former, CHANGE_TIME).await;
    assert!(replaced, "the primary was not replaced");
    leader.signal("CONT");
    let mut sent = Vec::new();
    let ended = timeout(CLOSE_TIME, held.read_to_end(&mut sent)).await;
    assert!(sent.is_empty(), "{:?}", String::from_utf8_lossy(&sent));
    assert!(ended.is_ok(), "the connection was not closed");
    let group = fleet.platform.shared.group();
    let tokens = group.promotions.iter().map(|(_, _, token)| *token);
    assert!(tokens.is_sorted(), "{:?}", group.promotions);
}

/// Sends statements to an instance without a pause, so that it is always about to run when it is suspended.
fn occupy(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).expect("connect to the instance");
    let mut answers = stream.try_clone().expect("share the connection");
    thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
    let startup = format!("STARTUP linear {KEY}\r\n");
    stream
        .write_all(startup.as_bytes())
        .expect("start a session");
    let statements = b"QUERY 1 SET locale yo\r\n".repeat(100);
    // A write fails once the instance has ended.
    thread::spawn(move || while stream.write_all(&statements).is_ok() {});
}
