//! Sends HTTP requests to the store from a dedicated thread.
//!
//! ntex's HTTP client is bound to the thread that created it, so other threads send their requests
//! to that thread over a channel.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::Connector;
use ntex::client::error::ClientError;
use ntex::client::error::ConnectError;
use ntex::http::Method;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::process::store_calls::StoreCallKind;
use crate::process::store_calls::StoreCalls;
use crate::process::store_error::StoreError;

const MAX_CONNECTIONS: usize = 64;
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A request to the store.
#[derive(Debug)]
pub struct StoreRequest {
    /// The kind of call, for the counters.
    pub kind: StoreCallKind,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The body, as JSON.
    pub body: Option<Vec<u8>>,
    /// Maximum time until the answer is complete.
    pub timeout: Duration,
}

/// A complete answer of the store.
#[derive(Debug)]
pub struct StoreReply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

type ReplySender = oneshot::Sender<Result<StoreReply, StoreError>>;

/// A handle of the transport; its thread ends when all handles are dropped.
#[derive(Debug, Clone)]
pub struct StoreTransport {
    requests: mpsc::UnboundedSender<(StoreRequest, ReplySender)>,
    calls: Arc<StoreCalls>,
}

impl StoreTransport {
    /// Starts the transport's thread.
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let (requests, receiver) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name("store-client".to_owned())
            .spawn(move || {
                System::new("store-client", DefaultRuntime).block_on(serve(address, receiver));
            })?;
        Ok(Self {
            requests,
            calls: Arc::default(),
        })
    }

    /// Returns the counters of calls.
    pub fn calls(&self) -> &Arc<StoreCalls> {
        &self.calls
    }

    /// Sends a request and waits for the complete answer.
    pub async fn send(&self, request: StoreRequest) -> Result<StoreReply, StoreError> {
        self.calls.count(request.kind);
        let (sender, reply) = oneshot::channel();
        self.requests
            .send((request, sender))
            .map_err(|_| StoreError::Stopped)?;
        reply.await.map_err(|_| StoreError::Stopped)?
    }
}

async fn serve(
    address: SocketAddr,
    mut requests: mpsc::UnboundedReceiver<(StoreRequest, ReplySender)>,
) {
    let client = Client::builder()
        .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(MAX_ANSWER_BYTES)
        .build(SharedCfg::default())
        .await;
    let Ok(client) = client else {
        return;
    };
    while let Some((request, sender)) = requests.recv().await {
        let client = client.clone();
        ntex::rt::spawn(async move {
            let timeout = request.timeout;
            let answer = ntex::time::timeout(timeout, exchange(&client, address, request)).await;
            let _ = sender.send(answer.unwrap_or(Err(StoreError::NoAnswer)));
        });
    }
}

async fn exchange(
    client: &Client,
    address: SocketAddr,
    request: StoreRequest,
) -> Result<StoreReply, StoreError> {
    let url = format!("http://{address}{}", request.path);
    // Answers are matched to requests by their order on a connection alone. On one that is kept, a
    // late copy of an answer would be taken for that of the next request.
    let outgoing = client.request(request.method, url).force_close();
    let response = match request.body {
        Some(body) => {
            let outgoing = outgoing.content_type("application/json");
            outgoing.send_body(body).await
        }
        None => outgoing.send().await,
    };
    let response = response.map_err(|error| classify_error(&error))?;
    let body = response.body().await.map_err(|_| StoreError::NoAnswer)?;
    Ok(StoreReply {
        status: response.status().as_u16(),
        body: body.to_vec(),
    })
}

/// Distinguishes a request that was never sent from one that may have arrived.
fn classify_error(error: &ClientError) -> StoreError {
    match error {
        // ntex reports a connection that closes before the answer as `Disconnected` without an
        // operating system error; the request may have arrived.
        ClientError::Connect(ConnectError::Disconnected(None)) => StoreError::NoAnswer,
        ClientError::Connect(_) => StoreError::ConnectFailed,
        _ => StoreError::NoAnswer,
    }
}
