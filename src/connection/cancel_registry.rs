//! Cancel keys of the callers of one instance.

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

type TargetSlot = Arc<Mutex<CancelState>>;

#[derive(Default)]
struct CancelState {
    target: Option<CancelTarget>,
    /// Whether a cancel request was sent on since the flag was last read.
    sent: bool,
}

/// The cancel keys that this instance gave out; no other instance knows them.
#[derive(Default)]
pub struct CancelRegistry {
    shards: [Mutex<HashMap<(i32, i32), TargetSlot>>; SHARD_COUNT],
}

/// A caller's entry in the registry; it ends when it is dropped.
pub struct CancelEntry {
    registry: Arc<CancelRegistry>,
    /// The process number that the caller is told.
    pub process: i32,
    /// The secret that the caller is told.
    pub secret: i32,
    slot: TargetSlot,
}

impl CancelRegistry {
    /// Draws a cancel key for a caller.
    pub fn register(self: &Arc<Self>) -> CancelEntry {
        let slot = TargetSlot::default();
        loop {
            let (process, secret) = (rand::random::<i32>() & i32::MAX, rand::random());
            let mut shard = lock(self.shard(process));
            if shard.contains_key(&(process, secret)) {
                continue;
            }
            shard.insert((process, secret), slot.clone());
            drop(shard);
            return CancelEntry {
                registry: self.clone(),
                process,
                secret,
                slot,
            };
        }
    }

    /// Returns the endpoint connection that runs a caller's request at present.
    pub fn find(&self, process: i32, secret: i32) -> Option<CancelTarget> {
        let slot = lock(self.shard(process)).get(&(process, secret)).cloned()?;
        let mut state = lock(&slot);
        state.sent |= state.target.is_some();
        state.target.clone()
    }

    fn shard(&self, process: i32) -> &Mutex<HashMap<(i32, i32), TargetSlot>> {
        &self.shards[process.unsigned_abs() as usize % SHARD_COUNT]
    }
}

impl CancelEntry {
    /// Notes the endpoint connection that the caller's request runs on.
    pub fn point_to(&self, target: Option<CancelTarget>) {
        lock(&self.slot).target = target;
    }

    /// Whether a cancel request was sent on since the last call.
    ///
    /// It may still be on its way, so the endpoint connection must not serve another session.
    pub fn take_sent(&self) -> bool {
        std::mem::take(&mut lock(&self.slot).sent)
    }
}

impl Drop for CancelEntry {
    fn drop(&mut self) {
        lock(self.registry.shard(self.process)).remove(&(self.process, self.secret));
    }
}

/// Sends a cancel request to an endpoint.
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
