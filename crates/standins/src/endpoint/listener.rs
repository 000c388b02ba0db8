//! Accepts client connections to a stand-in endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::endpoint::session::ClientSession;
use crate::endpoint::shared::EndpointShared;

const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts client connections. While the fault `refuse_connections` is in force, the port is closed.
pub async fn serve(shared: Arc<EndpointShared>, listener: TcpListener, address: SocketAddr) {
    let mut faults = shared.faults.subscribe();
    let mut listener = Some(listener);
    loop {
        if faults.borrow_and_update().refuse_connections {
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => match accepted {
                Ok((stream, _)) => start_session(&shared, stream),
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            },
            _ = faults.changed() => {}
        }
    }
}

fn start_session(shared: &Arc<EndpointShared>, stream: TcpStream) {
    let id = shared.next_connection.fetch_add(1, Ordering::SeqCst);
    let _ = stream.set_nodelay(true);
    let session = ClientSession::new(Arc::clone(shared), stream, id);
    let mut close_signal = shared.close_signal.subscribe();
    tokio::spawn(async move {
        tokio::select! {
            _ = session.run() => {}
            _ = close_signal.changed() => {}
        }
    });
}
