//! The QUIC endpoint of an instance, which sends requests to peers and answers theirs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::task::JoinHandle;
use tracing::debug;

use crate::process::peers::peer_error::PeerError;
use crate::process::peers::peer_identity::PEER_NAME;
use crate::process::peers::peer_identity::PeerIdentity;
use crate::process::peers::peer_message::MAX_MESSAGE_BYTES;
use crate::process::peers::peer_message::PeerReply;
use crate::process::peers::peer_message::PeerRequest;
use crate::process::peers::peer_message::decode_message;
use crate::process::peers::peer_message::encode_message;

/// Number of locks over which the open links are spread.
const LINK_SHARDS: usize = 8;

/// Answers a request from a peer.
pub type AnswerFn = Box<dyn Fn(PeerRequest) -> BoxFuture<'static, PeerReply> + Send + Sync>;

type LinkShard = Mutex<HashMap<SocketAddr, quinn::Connection>>;

/// Links to other instances, opened on demand and reused by later requests.
pub struct PeerMesh {
    endpoint: quinn::Endpoint,
    links: [LinkShard; LINK_SHARDS],
    sent_bytes: AtomicU64,
    accept_task: JoinHandle<()>,
}

impl PeerMesh {
    /// Binds the UDP socket and starts answering peers.
    pub fn start(
        address: SocketAddr,
        identity: &PeerIdentity,
        answer: AnswerFn,
    ) -> Result<Self, PeerError> {
        let mut endpoint = quinn::Endpoint::server(identity.server_config()?, address)
            .map_err(|error| PeerError::Bind { address, error })?;
        endpoint.set_default_client_config(identity.client_config()?);
        let accept_task = tokio::spawn(accept_links(endpoint.clone(), Arc::new(answer)));
        Ok(Self {
            endpoint,
            links: Default::default(),
            sent_bytes: AtomicU64::new(0),
            accept_task,
        })
    }

    /// Returns the local address of the UDP socket.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.endpoint.local_addr().ok()
    }

    /// Returns the total size of the requests sent so far, in bytes, without transport overhead.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Sends a request and waits up to `timeout` for its reply.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let bytes = encode_message(request)?;
        self.sent_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        match tokio::time::timeout(timeout, self.exchange(address, &bytes)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => {
                self.remove_link(address);
                Err(error)
            }
            Err(_) => {
                // The link may have failed without notice, so the next request opens a new one.
                self.remove_link(address);
                Err(PeerError::Timeout {
                    address,
                    after: timeout,
                })
            }
        }
    }

    async fn exchange(&self, address: SocketAddr, bytes: &[u8]) -> Result<PeerReply, PeerError> {
        let broken = || PeerError::Broken { address };
        let link = self.open_link(address).await?;
        let (mut send, mut receive) = link.open_bi().await.map_err(|_| broken())?;
        send.write_all(bytes).await.map_err(|_| broken())?;
        send.finish().map_err(|_| broken())?;
        let reply = receive
            .read_to_end(MAX_MESSAGE_BYTES)
            .await
            .map_err(|_| broken())?;
        decode_message(&reply)
    }

    async fn open_link(&self, address: SocketAddr) -> Result<quinn::Connection, PeerError> {
        if let Some(link) = self.lock_shard(address).get(&address)
            && link.close_reason().is_none()
        {
            return Ok(link.clone());
        }
        let refused = || PeerError::Connect { address };
        let connecting = self
            .endpoint
            .connect(address, PEER_NAME)
            .map_err(|_| refused())?;
        let link = connecting.await.map_err(|_| refused())?;
        self.lock_shard(address).insert(address, link.clone());
        Ok(link)
    }

    fn remove_link(&self, address: SocketAddr) {
        // Other requests may still use the link; it closes when the last of them ends.
        self.lock_shard(address).remove(&address);
    }

    fn lock_shard(
        &self,
        address: SocketAddr,
    ) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, quinn::Connection>> {
        let shard = usize::from(address.port()) % LINK_SHARDS;
        self.links[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PeerMesh {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.endpoint.close(0_u32.into(), b"");
    }
}

async fn accept_links(endpoint: quinn::Endpoint, answer: Arc<AnswerFn>) {
    while let Some(incoming) = endpoint.accept().await {
        let answer = answer.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(link) => serve_link(link, answer).await,
                Err(error) => debug!("peers: an incoming connection could not be set up: {error}"),
            }
        });
    }
}

async fn serve_link(link: quinn::Connection, answer: Arc<AnswerFn>) {
    while let Ok((send, receive)) = link.accept_bi().await {
        let answer = answer.clone();
        tokio::spawn(async move {
            if let Err(error) = serve_request(send, receive, &answer).await {
                debug!("peers: a peer's request was not answered: {error}");
            }
        });
    }
}

async fn serve_request(
    mut send: quinn::SendStream,
    mut receive: quinn::RecvStream,
    answer: &AnswerFn,
) -> Result<(), PeerError> {
    let bytes = receive
        .read_to_end(MAX_MESSAGE_BYTES)
        .await
        .map_err(|_| PeerError::Malformed)?;
    let request: PeerRequest = decode_message(&bytes)?;
    let reply = encode_message(&answer(request).await)?;
    send.write_all(&reply)
        .await
        .map_err(|_| PeerError::Malformed)?;
    send.finish().map_err(|_| PeerError::Malformed)
}
