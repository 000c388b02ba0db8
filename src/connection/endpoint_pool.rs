//! The pool of endpoint connections of one instance.

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

use crate::connection::answer_reporter::report_unexpected;
use crate::connection::endpoint_link::EndpointLink;
use crate::connection::endpoint_link::LinkError;
use crate::connection::listener_config::ListenerConfig;
use crate::request::ports::RequestPorts;
use crate::version::ids::EndpointId;
use crate::version::ids::ServiceId;

const SHARD_COUNT: usize = 16;

type PoolKey = (ServiceId, EndpointId, SocketAddr);

/// The pool of endpoint connections of one instance, with a limit for each endpoint.
pub struct EndpointPool {
    shards: Vec<Mutex<HashMap<PoolKey, Arc<LinkPool>>>>,
    hasher: RandomState,
    config: Arc<ListenerConfig>,
    ports: Arc<RequestPorts>,
}

/// The pooled connections to one endpoint.
struct LinkPool {
    state: Mutex<LinkPoolState>,
    freed: Notify,
}

#[derive(Default)]
struct LinkPoolState {
    /// Idle connections, each with the thread that used it last.
    idle: Vec<(std::thread::ThreadId, EndpointLink)>,
    /// Number of connections that are idle, in use or being opened.
    open: usize,
    /// Parameters that the endpoint reported on the latest new connection.
    parameters: BTreeMap<String, String>,
}

/// A connection in use by one session; dropping it closes the connection.
pub struct PooledLink {
    link: Option<EndpointLink>,
    pool: Arc<LinkPool>,
    /// Whether dropping this value reduces the number of open connections.
    counted: bool,
}

/// Why no connection was obtained; the request did not start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolError {
    /// All connections remained in use until the deadline.
    Exhausted,
    /// Connecting to the endpoint failed.
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
    pub fn new(config: Arc<ListenerConfig>, ports: Arc<RequestPorts>) -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            hasher: RandomState::new(),
            config,
            ports,
        }
    }

    /// Acquires an idle connection or opens one; waits up to `wait` while `limit` are in use.
    ///
    /// Prefers connections with the requested settings, then those last used by the calling thread,
    /// because others must be registered with its reactor first.
    pub async fn acquire(
        &self,
        key: PoolKey,
        settings: &BTreeMap<String, String>,
        limit: usize,
        wait: Duration,
    ) -> Result<PooledLink, PoolError> {
        let pool = self.link_pool(&key);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let freed = pool.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            while let Some(mut link) = pool.take_idle(settings) {
                match link.check_idle() {
                    Ok(()) => return Ok(link),
                    Err(error) => report_unexpected(&self.ports, &key.1, link.number, &error),
                }
            }
            if let Some(reserved) = pool.reserve(limit.max(1)) {
                return self.open(reserved, &key).await;
            }
            if tokio::time::timeout_at(deadline, freed).await.is_err() {
                return Err(PoolError::Exhausted);
            }
        }
    }

    async fn open(&self, mut reserved: PooledLink, key: &PoolKey) -> Result<PooledLink, PoolError> {
        let link = EndpointLink::connect(&self.config, key.2, key.0.as_str())
            .await
            .map_err(PoolError::Link)?;
        lock(&reserved.pool.state).parameters = link.parameters.clone();
        reserved.link = Some(link);
        Ok(reserved)
    }

    /// Returns the parameters that an endpoint of a service last reported; empty if none has.
    pub fn parameters(&self, service: &ServiceId) -> BTreeMap<String, String> {
        for shard in &self.shards {
            for (key, pool) in lock(shard).iter() {
                let state = lock(&pool.state);
                if key.0 == *service && !state.parameters.is_empty() {
                    return state.parameters.clone();
                }
            }
        }
        BTreeMap::new()
    }

    /// Closes connections that have been idle for the configured time.
    pub fn close_unused(&self) {
        let limit = self.config.limits.idle_timeout;
        for shard in &self.shards {
            lock(shard).retain(|_, pool| {
                let mut state = lock(&pool.state);
                let before = state.idle.len();
                state
                    .idle
                    .retain(|(_, link)| link.last_used.elapsed() < limit);
                state.open -= before - state.idle.len();
                state.open > 0 || Arc::strong_count(pool) > 1
            });
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        let count = |shard: &Mutex<HashMap<PoolKey, Arc<LinkPool>>>| -> usize {
            lock(shard)
                .values()
                .map(|pool| lock(&pool.state).open)
                .sum()
        };
        self.shards.iter().map(count).sum()
    }

    fn link_pool(&self, key: &PoolKey) -> Arc<LinkPool> {
        let index = usize::try_from(self.hasher.hash_one(key) % SHARD_COUNT as u64).unwrap_or(0);
        let mut shard = lock(&self.shards[index]);
        if let Some(pool) = shard.get(key) {
            return pool.clone();
        }
        let pool = Arc::new(LinkPool {
            state: Mutex::default(),
            freed: Notify::new(),
        });
        shard.insert(key.clone(), pool.clone());
        pool
    }
}

impl LinkPool {
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
        let (last_thread, link) = state.idle.swap_remove(index);
        drop(state);
        let mut taken = PooledLink {
            link: None,
            pool: self.clone(),
            counted: true,
        };
        taken.link = if last_thread == thread {
            Some(link)
        } else {
            link.move_to_reactor().ok()
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
            pool: self.clone(),
            counted: true,
        })
    }
}

impl PooledLink {
    /// Returns the connection to the pool for use by other sessions.
    pub fn give_back(mut self) {
        let Some(mut link) = self.link.take() else {
            return;
        };
        link.shrink();
        link.last_used = Instant::now();
        let last_thread = std::thread::current().id();
        lock(&self.pool.state).idle.push((last_thread, link));
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
            lock(&self.pool.state).open -= 1;
        }
        self.pool.freed.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
