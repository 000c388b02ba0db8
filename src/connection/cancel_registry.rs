//! Cancel keys of the callers that are connected to this instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::connection::endpoint_link::CancelTarget;

const SHARD_COUNT: usize = 16;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;

type SharedState = Arc<Mutex<CancelState>>;

#[derive(Default)]
struct CancelState {
    target: Option<CancelTarget>,
    /// Whether a cancel request was forwarded since the flag was last read.
    forwarded: bool,
}

/// The cancel keys that this instance issued; they are valid on this instance only.
#[derive(Default)]
pub struct CancelRegistry {
    shards: [Mutex<HashMap<(i32, i32), SharedState>>; SHARD_COUNT],
}

/// A caller's entry in the registry; removed on drop.
pub struct CancelEntry {
    registry: Arc<CancelRegistry>,
    /// The process number sent to the caller.
    pub process: i32,
    /// The secret sent to the caller.
    pub secret: i32,
    shared: SharedState,
}

impl CancelRegistry {
    /// Issues a random cancel key for a caller.
    pub fn register(self: &Arc<Self>) -> CancelEntry {
        let shared = SharedState::default();
        loop {
            let (process, secret) = (rand::random::<i32>() & i32::MAX, rand::random());
            let mut shard = lock(self.shard(process));
            if shard.contains_key(&(process, secret)) {
                continue;
            }
            shard.insert((process, secret), shared.clone());
            drop(shard);
            return CancelEntry {
                registry: self.clone(),
                process,
                secret,
                shared,
            };
        }
    }

    /// Returns the endpoint connection that currently runs a caller's request, and records that a
    /// cancel request is about to be forwarded to it.
    pub fn find(&self, process: i32, secret: i32) -> Option<CancelTarget> {
        let shared = lock(self.shard(process)).get(&(process, secret)).cloned()?;
        let mut state = lock(&shared);
        state.forwarded |= state.target.is_some();
        state.target.clone()
    }

    fn shard(&self, process: i32) -> &Mutex<HashMap<(i32, i32), SharedState>> {
        &self.shards[process.unsigned_abs() as usize % SHARD_COUNT]
    }
}

impl CancelEntry {
    /// Sets the endpoint connection that runs the caller's request; `None` if none does.
    pub fn set_target(&self, target: Option<CancelTarget>) {
        lock(&self.shared).target = target;
    }

    /// Returns whether a cancel request was forwarded since the last call, and clears the flag.
    ///
    /// The cancel request may still be in transit, so the endpoint connection must not serve
    /// another session.
    pub fn take_forwarded(&self) -> bool {
        std::mem::take(&mut lock(&self.shared).forwarded)
    }
}

impl Drop for CancelEntry {
    fn drop(&mut self) {
        lock(self.registry.shard(self.process)).remove(&(self.process, self.secret));
    }
}

/// Sends a cancel request to an endpoint within the time `limit`; failures are only logged.
pub async fn send_cancel(target: &CancelTarget, limit: Duration) {
    let length = u32::try_from(target.key.len() + 8).unwrap_or(0);
    let mut request = length.to_be_bytes().to_vec();
    request.extend_from_slice(&CANCEL_REQUEST_CODE.to_be_bytes());
    request.extend_from_slice(&target.key);
    let sending = async {
        let mut stream = TcpStream::connect(target.address).await?;
        stream.write_all(&request).await?;
        stream.shutdown().await
    };
    if let Ok(Err(error)) | Err(error) = tokio::time::timeout(limit, sending)
        .await
        .map_err(std::io::Error::from)
    {
        tracing::debug!("caller: cancel request was not sent: {}", error.kind());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
