//! The replication link between the endpoints of a group.
//!
//! Each endpoint pulls from all others. The answer of a primary has the entries after the common
//! prefix of both logs; a replica answers without a primary term. A frame is a length of four bytes
//! and that many bytes of JSON.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::endpoint::log::LogEntry;
use crate::endpoint::log::LogOutline;
use crate::endpoint::shared::EndpointShared;
use crate::endpoint::shared::TrafficDirection;

/// Maximum time that a pull waits for new entries.
const PULL_WAIT: Duration = Duration::from_millis(50);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of entries in an answer.
const ENTRIES_PER_PULL: usize = 512;
const MAX_FRAME_BYTES: u32 = 64 << 20;

#[derive(Debug, Serialize, Deserialize)]
struct PullRequest {
    outline: LogOutline,
    lag_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct PullAnswer {
    primary_term: Option<u64>,
    base: u64,
    entries: Vec<LogEntry>,
}

/// Accepts connections of other endpoints and answers their pulls.
pub async fn serve(shared: Arc<EndpointShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    let _ = serve_peer(&shared, stream).await;
                });
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn serve_peer(shared: &EndpointShared, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let request: PullRequest = read_frame(&mut stream).await?;
        shared.wait_until_open(TrafficDirection::FromPeers).await;
        let answer = wait_for_entries(shared, &request).await;
        shared.wait_until_open(TrafficDirection::ToPeers).await;
        write_frame(&mut stream, &answer).await?;
    }
}

async fn wait_for_entries(shared: &EndpointShared, request: &PullRequest) -> PullAnswer {
    let deadline = Instant::now() + PULL_WAIT;
    let lag = Duration::from_millis(request.lag_ms);
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        let (answer, next_due) = collect_entries(shared, &request.outline, lag);
        if !answer.entries.is_empty() || Instant::now() >= deadline {
            return answer;
        }
        let wake = next_due.map_or(deadline, |due| due.min(deadline));
        tokio::select! {
            _ = changed.changed() => {}
            () = tokio::time::sleep_until(wake.into()) => {}
        }
    }
}

fn collect_entries(
    shared: &EndpointShared,
    outline: &LogOutline,
    lag: Duration,
) -> (PullAnswer, Option<Instant>) {
    let state = shared.state();
    let log = state.log();
    let base = log.outline().common_length(outline);
    if !state.is_primary() {
        let answer = PullAnswer {
            primary_term: None,
            base,
            entries: Vec::new(),
        };
        return (answer, None);
    }
    let now = Instant::now();
    let mut end = base;
    let mut next_due = None;
    while let Some(appended) = log.append_time_after(end) {
        if appended + lag > now {
            next_due = Some(appended + lag);
            break;
        }
        end += 1;
    }
    let range = index(base)..index(end).min(index(base) + ENTRIES_PER_PULL);
    let answer = PullAnswer {
        primary_term: Some(state.point().0),
        base,
        entries: log.entries()[range].to_vec(),
    };
    (answer, next_due)
}

/// Pulls from each of the other endpoints; starts again when their list changes.
pub async fn pull_from_peers(shared: Arc<EndpointShared>) {
    let mut peers = shared.peers.subscribe();
    loop {
        let mut pulls = tokio::task::JoinSet::new();
        for peer in peers.borrow_and_update().clone() {
            pulls.spawn(keep_pulling(Arc::clone(&shared), peer));
        }
        if peers.changed().await.is_err() {
            return;
        }
    }
}

async fn keep_pulling(shared: Arc<EndpointShared>, peer: SocketAddr) {
    loop {
        let _ = pull_from(&shared, peer).await;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn pull_from(shared: &EndpointShared, peer: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    loop {
        let outline = shared.state().log().outline().clone();
        let request = PullRequest {
            outline,
            lag_ms: shared.faults.borrow().lag_ms,
        };
        shared.wait_until_open(TrafficDirection::ToPeers).await;
        write_frame(&mut stream, &request).await?;
        let answer: PullAnswer = read_frame(&mut stream).await?;
        shared.wait_until_open(TrafficDirection::FromPeers).await;
        apply_answer(shared, &request.outline, answer);
    }
}

fn apply_answer(shared: &EndpointShared, requested: &LogOutline, answer: PullAnswer) {
    let Some(term) = answer.primary_term else {
        return;
    };
    let now = Instant::now();
    if answer.entries.is_empty() {
        let mut state = shared.state();
        state.record_primary(term, now);
        return;
    }
    shared.update(|state| {
        // Another peer's answer or a write may have changed the log since the request. The answer
        // then no longer matches and is dropped; the next pull sends the new outline.
        if state.record_primary(term, now) && state.log().outline() == requested {
            state.follow(answer.base, answer.entries, now);
        }
    });
}

fn index(position: u64) -> usize {
    usize::try_from(position).unwrap_or(usize::MAX)
}

async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; index(length.into())];
    stream.read_exact(&mut bytes).await?;
    serde_json::from_slice(&bytes).map_err(io::Error::from)
}

async fn write_frame<T: Serialize>(stream: &mut TcpStream, value: &T) -> io::Result<()> {
    let body = serde_json::to_vec(value)?;
    let length = u32::try_from(body.len()).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    stream.write_all(&frame).await
}
