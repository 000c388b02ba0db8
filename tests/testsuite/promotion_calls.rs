//! Guards against promotion calls that arrive after they were given up or their leader's lease has ended.

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use platform::call_counts::CallCounts;
use platform::promotion_client::PromotionClient;
use platform::promotion_client::PromotionOrder;
use platform::store_error::StoreError;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;

/// Time after which a call without an answer is given up.
const CALL_TIME: Duration = Duration::from_millis(100);

/// What arrived on a connection, and how it ended.
type ReceivedCall = (Vec<u8>, Option<ErrorKind>);

/// Starts a server that answers nothing, and returns what arrives on its first connection.
async fn silent_server() -> (SocketAddr, JoinHandle<ReceivedCall>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("bind a port");
    let address = listener.local_addr().expect("a bound address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept the call");
        let mut received = Vec::new();
        let ended = stream.read_to_end(&mut received).await;
        (received, ended.err().map(|error| error.kind()))
    });
    (address, server)
}

/// Orders a promotion from a server that answers nothing.
async fn call(
    address: SocketAddr,
    lead_left: impl Fn() -> Duration + 'static,
) -> Result<(), StoreError> {
    let client = PromotionClient::new(address, CallCounts::default());
    let order = PromotionOrder {
        service: &"orders".parse().expect("a service"),
        endpoint: &"db-2".parse().expect("an endpoint"),
        leader: &"front-1".parse().expect("an instance"),
        token: 7.into(),
    };
    let answer = client.promote(order, CALL_TIME, lead_left).await;
    // The connection is closed by its own task.
    tokio::time::sleep(CALL_TIME).await;
    answer
}

/// A call without an answer must be reset, so that a partition that holds it up drops it.
#[tokio::test]
async fn abandoned_call_is_reset() {
    let (address, server) = silent_server().await;
    let answer = LocalSet::new().run_until(call(address, || CALL_TIME)).await;
    assert_eq!(answer, Err(StoreError::NoAnswer));
    let (received, ended) = server.await.expect("the server ends");
    assert!(received.starts_with(b"POST /promotion "), "{received:?}");
    assert_eq!(ended, Some(ErrorKind::ConnectionReset));
}

/// A call must not be sent if its leader's lease ended while the connection was opened, for which the
/// process may have been suspended. It would undo the promotion of the next leader.
#[tokio::test]
async fn call_of_a_former_leader_is_withheld() {
    let (address, server) = silent_server().await;
    let lease_end = Instant::now() + CALL_TIME;
    let lead_left = move || lease_end.saturating_duration_since(Instant::now());
    // Blocks the thread once the connection is being opened.
    let suspension = async { std::thread::sleep(2 * CALL_TIME) };
    let call = async { tokio::join!(biased; call(address, lead_left), suspension).0 };
    let answer = LocalSet::new().run_until(call).await;
    assert_eq!(answer, Err(StoreError::Withheld));
    let (received, _) = server.await.expect("the server ends");
    assert!(received.is_empty(), "{received:?}");
}
