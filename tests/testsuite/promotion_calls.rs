//! Guards against promotion calls that arrive after they were given up.

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::time::Duration;

use platform::call_counts::CallCounts;
use platform::promotion_client::PromotionClient;
use platform::store_error::StoreError;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// A call without an answer must be reset, so that a partition that holds it up drops it.
#[tokio::test]
async fn abandoned_call_is_reset() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("bind a port");
    let address = listener.local_addr().expect("a bound address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept the call");
        let mut chunk = [0; 4_096];
        loop {
            match stream.read(&mut chunk).await {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(error.kind()),
            }
        }
    });
    let call = async {
        let client = PromotionClient::new(address, CallCounts::default());
        let time = Duration::from_millis(100);
        let service = "orders".parse().expect("a service");
        let endpoint = "db-2".parse().expect("an endpoint");
        let leader = "front-1".parse().expect("an instance");
        let answer = client
            .promote(&service, &endpoint, &leader, 7.into(), time)
            .await;
        assert_eq!(answer, Err(StoreError::NoAnswer));
        // The connection is closed by its own task.
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    LocalSet::new().run_until(call).await;
    let ended = server.await.expect("the server ends");
    assert_eq!(ended, Some(ErrorKind::ConnectionReset));
}
