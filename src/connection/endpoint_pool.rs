//! The endpoint connections of one instance.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::connection::endpoint_link::EndpointLink;
use crate::connection::endpoint_link::LinkError;
use crate::connection::listener_config::ListenerConfig;
use crate::version::ids::EndpointId;
use crate::version::ids::ServiceId;

const SHARD_COUNT: usize = 16;

type PoolKey = (ServiceId, EndpointId, SocketAddr);

/// The endpoint connections of one instance, bounded for each endpoint.
pub struct EndpointPool {
    shards: Vec<Mutex<HashMap<PoolKey, Arc<EndpointShelf>>>>,
    hasher: RandomState,
    config: Arc<ListenerConfig>,
}

/// The connections to one endpoint.
struct EndpointShelf {
    state: Mutex<ShelfState>,
    freed: Notify,
}

#[derive(Default)]
struct ShelfState {
    idle: Vec<(std::thread::ThreadId, EndpointLink)>,
    open: usize,
    parameters: BTreeMap<String, String>,
}

/// A connection that one session uses; dropping it closes the connection.
pub struct PooledLink {
    link: Option<EndpointLink>,
    shelf: Arc<EndpointShelf>,
    counted: bool,
}

/// Why no connection was obtained; the request did not start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolError {
    /// All connections stayed in use up to the deadline.
    Exhausted,
    /// The endpoint cannot be reached.
    Link(LinkError),
}

impl std::fmt::Display for PoolError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PoolError::Exhausted => f.write_str("all connections to the endpoint are in use"),
            PoolError::Link(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for PoolError {}

impl EndpointPool {
    /// Creates an empty pool.
    pub fn new(config: Arc<ListenerConfig>) -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            hasher: RandomState::new(),
            config,
        }
    }

    /// Takes an idle connection or opens one; waits up to `wait` while `limit` are open.
    ///
    /// Connections with the wanted settings come first, and those of the calling thread, because
    /// others have to be moved to its reactor.
    pub async fn take(
        &self,
        key: PoolKey,
        settings: &BTreeMap<String, String>,
        limit: usize,
        wait: Duration,
    ) -> Result<PooledLink, PoolError> {
        let shelf = self.shelf(&key);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let freed = shelf.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            while let Some(mut link) = shelf.take_idle(settings) {
                if link.is_clean() {
                    return Ok(link);
                }
            }
            if let Some(vacant) = shelf.reserve(limit.max(1)) {
                return self.open(vacant, &key).await;
            }
            if tokio::time::timeout_at(deadline, freed).await.is_err() {
                return Err(PoolError::Exhausted);
            }
        }
    }

    async fn open(&self, mut vacant: PooledLink, key: &PoolKey) -> Result<PooledLink, PoolError> {
        let link = EndpointLink::connect(&self.config, key.2, key.0.as_str())
            .await
            .map_err(PoolError::Link)?;
        lock(&vacant.shelf.state).parameters = link.parameters.clone();
        vacant.link = Some(link);
        Ok(vacant)
    }

    /// Returns what the endpoints of a service last reported of their settings.
    pub fn parameters(&self, service: &ServiceId) -> BTreeMap<String, String> {
        for shard in &self.shards {
            for (key, shelf) in lock(shard).iter() {
                let state = lock(&shelf.state);
                if key.0 == *service && !state.parameters.is_empty() {
                    return state.parameters.clone();
                }
            }
        }
        BTreeMap::new()
    }

    /// Closes connections that were not used for the configured time.
    pub fn close_unused(&self) {
        let limit = self.config.limits.idle_time;
        for shard in &self.shards {
            lock(shard).retain(|_, shelf| {
                let mut state = lock(&shelf.state);
                let before = state.idle.len();
                state.idle.retain(|(_, link)| link.used.elapsed() < limit);
                state.open -= before - state.idle.len();
                state.open > 0 || Arc::strong_count(shelf) > 1
            });
        }
    }

    /// Returns how many connections are open.
    pub fn open_count(&self) -> usize {
        let count = |shard: &Mutex<HashMap<PoolKey, Arc<EndpointShelf>>>| -> usize {
            lock(shard)
                .values()
                .map(|shelf| lock(&shelf.state).open)
                .sum()
        };
        self.shards.iter().map(count).sum()
    }

    fn shelf(&self, key: &PoolKey) -> Arc<EndpointShelf> {
        let index = usize::try_from(self.hasher.hash_one(key) % SHARD_COUNT as u64).unwrap_or(0);
        let mut shard = lock(&self.shards[index]);
        if let Some(shelf) = shard.get(key) {
            return shelf.clone();
        }
        let shelf = Arc::new(EndpointShelf {
            state: Mutex::default(),
            freed: Notify::new(),
        });
        shard.insert(key.clone(), shelf.clone());
        shelf
    }
}

impl EndpointShelf {
    fn take_idle(self: &Arc<Self>, settings: &BTreeMap<String, String>) -> Option<PooledLink> {
        let thread = std::thread::current().id();
        let mut state = lock(&self.state);
        let rank = |entry: &(std::thread::ThreadId, EndpointLink)| {
            (entry.1.settings == *settings, entry.0 == thread)
        };
        let (index, _) = state
            .idle
            .iter()
            .enumerate()
            .max_by_key(|(_, entry)| rank(entry))?;
        let (home, link) = state.idle.swap_remove(index);
        drop(state);
        let mut taken = PooledLink {
            link: None,
            shelf: self.clone(),
            counted: true,
        };
        taken.link = if home == thread {
            Some(link)
        } else {
            link.adopt().ok()
        };
        taken.link.is_some().then_some(taken)
    }

    fn reserve(self: &Arc<Self>, limit: usize) -> Option<PooledLink> {
        let mut state = lock(&self.state);
        if state.open >= limit {
            return None;
        }
        state.open += 1;
        Some(PooledLink {
            link: None,
            shelf: self.clone(),
            counted: true,
        })
    }
}

impl PooledLink {
    /// Gives the connection back for other sessions.
    pub fn give_back(mut self) {
        let Some(mut link) = self.link.take() else {
            return;
        };
        link.shrink();
        link.used = Instant::now();
        let home = std::thread::current().id();
        lock(&self.shelf.state).idle.push((home, link));
        self.counted = false;
    }
}

impl std::ops::Deref for PooledLink {
    type Target = EndpointLink;

    fn deref(&self) -> &EndpointLink {
        match &self.link {
            Some(link) => link,
            None => unreachable!("a pooled connection is only handed out once it is open"),
        }
    }
}

impl std::ops::DerefMut for PooledLink {
    fn deref_mut(&mut self) -> &mut EndpointLink {
        match &mut self.link {
            Some(link) => link,
            None => unreachable!("a pooled connection is only handed out once it is open"),
        }
    }
}

impl Drop for PooledLink {
    fn drop(&mut self) {
        if self.counted {
            lock(&self.shelf.state).open -= 1;
        }
        self.shelf.freed.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
