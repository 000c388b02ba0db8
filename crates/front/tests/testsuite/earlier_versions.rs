//! Guards against refusals within the rate while instances of two versions run side by side.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::net::UdpSocket;

use crate::fleet::Fleet;

const ATTEMPTS: usize = 100;
const PAUSE: Duration = Duration::from_millis(100);

fn stored(fleet: &Fleet, key: &str) -> Option<Value> {
    let store = fleet.platform.shared.store();
    let item = store.items.get(key)?;
    serde_json::from_slice(&item.value).ok()
}

/// Returns the leader's address if it is not a lender.
fn leader_without_part(fleet: &Fleet) -> Option<SocketAddr> {
    let leader = stored(fleet, "tamaracklb/leader")?["address"].clone();
    let lenders = stored(fleet, "tamaracklb/lenders")?;
    let is_lender = lenders.as_array()?.contains(&leader);
    leader.as_str().filter(|_| !is_lender)?.parse().ok()
}

/// An instance of an earlier version asks only the leader for tokens. It must get some, although the
/// leader is no lender.
#[tokio::test]
async fn earlier_version_gets_tokens() {
    let fleet = Fleet::start(6).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("bind a socket");
    let mut answered = false;
    for number in 1..=ATTEMPTS {
        tokio::time::sleep(PAUSE).await;
        let Some(leader) = leader_without_part(&fleet) else {
            continue;
        };
        // `Ask` with this number for one token of the team, as the former version encodes it.
        let mut ask = vec![0, number as u8, 1, 6];
        ask.extend(b"studio");
        ask.extend([1, 0, 0, 0]);
        socket.send_to(&ask, leader).await.expect("send a request");
        let mut lend = vec![1, number as u8, 1, 6];
        lend.extend(b"studio");
        lend.push(1);
        let mut buffer = [0; 100];
        while let Ok(Ok((size, from))) =
            tokio::time::timeout(PAUSE, socket.recv_from(&mut buffer)).await
        {
            answered |= from != leader && buffer[..size].starts_with(&lend);
        }
        if answered {
            return;
        }
    }
    panic!("no token was lent");
}
