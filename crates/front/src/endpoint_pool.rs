//! Pool of connections to endpoints, within this instance's share of what they accept.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::rc::Rc;
use std::time::Duration;

use platform::caller_codec::SessionState;
use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_load::EndpointLoad;
use session_core::floor_history::FloorHistory;
use session_core::ids::EndpointId;
use session_core::ids::TeamId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::session_values::SessionValues;
use session_core::statement_limiter::StatementLimiter;
use tokio::sync::Notify;

use crate::endpoint_connection::ConnectError;
use crate::endpoint_connection::EndpointAnswer;
use crate::endpoint_connection::EndpointConnection;

/// Time after its last use for which a pair of endpoint and team counts towards the demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(3);

/// Maximum size of the values and prepared names on a connection that is kept for later statements.
/// They accumulate over the sessions that use it.
const MAX_KEPT_VALUES_BYTES: usize = 64 * 1024;

/// Limits on an instance's connections to one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimit {
    /// Maximum number of open connections, idle ones included: the instance's even share.
    pub max_open: usize,
    /// Maximum number in use at once. May exceed the even share, since load is uneven.
    pub max_in_use: usize,
}

#[derive(Default)]
struct EndpointState {
    idle: Vec<(MonotonicTime, EndpointConnection)>,
    in_use: usize,
    load: EndpointLoad,
    released: Rc<Notify>,
    /// When a connection was last requested, by team.
    used_at: HashMap<Option<TeamId>, MonotonicTime>,
    limiter: Option<StatementLimiter>,
    limiter_changes: Rc<Notify>,
}

/// Connections, load and statement limiter of each endpoint.
#[derive(Default)]
pub struct EndpointPool {
    endpoints: RefCell<HashMap<EndpointId, EndpointState>>,
    opened: Cell<u64>,
}

/// Errors of acquiring a connection.
#[derive(Debug)]
pub enum PoolError {
    /// All connections stayed in use for the whole wait.
    Exhausted,
    /// A new one could not be opened.
    Connect(ConnectError),
}

/// A connection taken from the pool, returned to it on drop.
pub struct PooledConnection {
    pool: Rc<EndpointPool>,
    connection: Option<EndpointConnection>,
    endpoint: EndpointId,
    limit: ConnectionLimit,
}

impl Deref for PooledConnection {
    type Target = EndpointConnection;

    fn deref(&self) -> &EndpointConnection {
        self.connection
            .as_ref()
            .expect("the connection is present until drop")
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut EndpointConnection {
        self.connection
            .as_mut()
            .expect("the connection is present until drop")
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let connection = self.connection.take();
        self.pool.release(&self.endpoint, connection, self.limit);
    }
}

/// Counts a request as outstanding at an endpoint until it is dropped.
pub struct OutstandingGuard {
    pool: Rc<EndpointPool>,
    endpoint: EndpointId,
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.pool
            .with_load(&self.endpoint, |load| load.outstanding -= 1);
    }
}

/// Permit to run one statement on an endpoint, released on drop.
pub struct StatementPermit {
    pool: Rc<EndpointPool>,
    endpoint: EndpointId,
}

impl Drop for StatementPermit {
    fn drop(&mut self) {
        self.pool
            .with_limiter(&self.endpoint, |limiter| limiter.release(now()));
    }
}

impl EndpointPool {
    /// Waits in the endpoint's queue for a permit to run a first statement. Returns `None` if that
    /// takes longer than `wait`.
    pub async fn acquire_permit(
        self: &Rc<Self>,
        entry: &EndpointEntry,
        instances: usize,
        priority: u8,
        wait: Duration,
    ) -> Option<StatementPermit> {
        let endpoint = &entry.id;
        self.create_limiter(entry, instances);
        let ticket = self.with_limiter(endpoint, |limiter| limiter.enqueue(priority))?;
        let end = now() + wait;
        loop {
            if self.with_limiter(endpoint, |limiter| limiter.try_acquire(ticket, now()))? {
                return Some(self.permit_for(endpoint));
            }
            let changes = self.limiter_changes(endpoint);
            let remaining = end.saturating_since(now());
            if remaining.is_zero() {
                self.with_limiter(endpoint, |limiter| limiter.cancel(ticket));
                return None;
            }
            let pause = self.with_limiter(endpoint, |limiter| limiter.pause(now()))?;
            let pause = match pause.is_zero() {
                true => remaining,
                false => pause.min(remaining),
            };
            // Retries both when the limiter changed and when the pause is over.
            let _ = tokio::time::timeout(pause, changes.notified()).await;
        }
    }

    /// Returns a permit without queueing, for a statement inside a transaction.
    pub fn acquire_unqueued(self: &Rc<Self>, endpoint: &EndpointId) -> StatementPermit {
        self.with_limiter(endpoint, StatementLimiter::acquire_unqueued);
        self.permit_for(endpoint)
    }

    /// Records the latency of a statement, from which the limiter adapts its limit.
    pub fn record_latency(&self, endpoint: &EndpointId, latency: Duration, target: Duration) {
        self.with_limiter(endpoint, |limiter| {
            limiter.record_latency(latency, target, now())
        });
    }

    /// Lowers the limit, after the endpoint's queue was full or it could not be reached.
    pub fn back_off(&self, endpoint: &EndpointId) {
        self.with_limiter(endpoint, |limiter| limiter.back_off(now()));
    }

    fn create_limiter(&self, entry: &EndpointEntry, instances: usize) {
        let mut endpoints = self.endpoints.borrow_mut();
        let state = endpoints.entry(entry.id.clone()).or_default();
        state
            .limiter
            .get_or_insert_with(|| StatementLimiter::new(entry.slots.0, instances));
    }

    fn permit_for(self: &Rc<Self>, endpoint: &EndpointId) -> StatementPermit {
        StatementPermit {
            pool: Rc::clone(self),
            endpoint: endpoint.clone(),
        }
    }

    fn limiter_changes(&self, endpoint: &EndpointId) -> Rc<Notify> {
        let mut endpoints = self.endpoints.borrow_mut();
        Rc::clone(
            &endpoints
                .entry(endpoint.clone())
                .or_default()
                .limiter_changes,
        )
    }

    /// Runs an action on the limiter of an endpoint. Returns `None` if it has no limiter yet.
    fn with_limiter<T>(
        &self,
        endpoint: &EndpointId,
        action: impl FnOnce(&mut StatementLimiter) -> T,
    ) -> Option<T> {
        let mut endpoints = self.endpoints.borrow_mut();
        let state = endpoints.get_mut(endpoint)?;
        let limiter = state.limiter.as_mut()?;
        let result = action(limiter);
        if limiter.has_capacity(now()) {
            state.limiter_changes.notify_waiters();
        }
        Some(result)
    }

    /// Runs an action on the load of an endpoint.
    pub fn with_load<T>(
        &self,
        endpoint: &EndpointId,
        action: impl FnOnce(&mut EndpointLoad) -> T,
    ) -> T {
        let mut endpoints = self.endpoints.borrow_mut();
        action(&mut endpoints.entry(endpoint.clone()).or_default().load)
    }

    /// Returns whether an idle connection of the team is open.
    pub fn has_idle(&self, endpoint: &EndpointId, team: Option<&TeamId>) -> bool {
        self.endpoints.borrow().get(endpoint).is_some_and(|state| {
            state
                .idle
                .iter()
                .any(|(_, connection)| connection.team.as_ref() == team)
        })
    }

    /// Counts a request as outstanding at an endpoint until the guard is dropped.
    pub fn count_outstanding(self: &Rc<Self>, endpoint: &EndpointId) -> OutstandingGuard {
        self.with_load(endpoint, |load| load.outstanding += 1);
        OutstandingGuard {
            pool: Rc::clone(self),
            endpoint: endpoint.clone(),
        }
    }

    /// Records the latency and the position of an answer in the endpoint's load.
    pub fn record_answer(
        &self,
        endpoint: &EndpointId,
        answer: &EndpointAnswer,
        history: &FloorHistory,
    ) {
        let at = now();
        let latency = answer.latency(at);
        self.with_load(endpoint, |load| {
            load.record_answer(latency, answer.point(), history, at);
        });
    }

    /// Closes connections that have been idle for at least `time`.
    pub fn close_idle(&self, time: Duration) {
        let at = now();
        for state in self.endpoints.borrow_mut().values_mut() {
            state
                .idle
                .retain(|(since, _)| at.saturating_since(*since) < time);
        }
    }

    /// Closes the idle connections of endpoints for which `known` returns false.
    pub fn retain(&self, known: impl Fn(&EndpointId) -> bool) {
        for (id, state) in self.endpoints.borrow_mut().iter_mut() {
            if !known(id) {
                state.idle.clear();
            }
        }
    }

    fn record_use(&self, endpoint: &EndpointId, team: Option<&TeamId>) {
        let mut endpoints = self.endpoints.borrow_mut();
        let state = endpoints.entry(endpoint.clone()).or_default();
        state.used_at.insert(team.cloned(), now());
    }

    /// Returns the number of pairs of endpoint and team used within [`DEMAND_WINDOW`].
    pub fn demand(&self, at: MonotonicTime) -> u32 {
        let mut pairs = 0;
        for state in self.endpoints.borrow_mut().values_mut() {
            state
                .used_at
                .retain(|_, used_at| at.saturating_since(*used_at) < DEMAND_WINDOW);
            pairs += state.used_at.len();
        }
        u32::try_from(pairs).unwrap_or(u32::MAX)
    }

    /// Returns the number of connections opened since the start.
    pub fn opened_connections(&self) -> u64 {
        self.opened.get()
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open_connections(&self) -> usize {
        let endpoints = self.endpoints.borrow();
        endpoints
            .values()
            .map(|state| state.in_use + state.idle.len())
            .sum()
    }

    /// Acquires a connection of the team: an idle one with the session's values, else any idle one,
    /// else a new one.
    ///
    /// # Errors
    ///
    /// See [`PoolError`].
    pub async fn acquire_connection(
        self: &Rc<Self>,
        entry: &EndpointEntry,
        team: Option<&TeamId>,
        session: &SessionValues,
        limit: ConnectionLimit,
        wait: Duration,
    ) -> Result<PooledConnection, PoolError> {
        self.record_use(&entry.id, team);
        let reserved = tokio::time::timeout(wait, self.reserve(&entry.id, limit)).await;
        reserved.map_err(|_| PoolError::Exhausted)?;
        let mut pooled = PooledConnection {
            pool: Rc::clone(self),
            connection: self.take_idle(&entry.id, team, session),
            endpoint: entry.id.clone(),
            limit,
        };
        if pooled.connection.is_none() {
            self.evict(&entry.id, limit);
            match EndpointConnection::open(entry, team.cloned()).await {
                Ok(connection) => {
                    self.opened.set(self.opened.get() + 1);
                    pooled.connection = Some(connection);
                }
                Err(error) => return Err(PoolError::Connect(error)),
            }
        }
        Ok(pooled)
    }

    /// Acquires any idle connection, for a query of the endpoint's log position.
    pub fn acquire_idle(
        self: &Rc<Self>,
        endpoint: &EndpointId,
        limit: ConnectionLimit,
    ) -> Option<PooledConnection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let state = endpoints.get_mut(endpoint)?;
        let (_, connection) = state.idle.pop()?;
        state.in_use += 1;
        Some(PooledConnection {
            pool: Rc::clone(self),
            connection: Some(connection),
            endpoint: endpoint.clone(),
            limit,
        })
    }

    async fn reserve(&self, endpoint: &EndpointId, limit: ConnectionLimit) {
        loop {
            let released = {
                let mut endpoints = self.endpoints.borrow_mut();
                let state = endpoints.entry(endpoint.clone()).or_default();
                if state.in_use < limit.max_in_use {
                    state.in_use += 1;
                    return;
                }
                Rc::clone(&state.released)
            };
            released.notified().await;
        }
    }

    fn take_idle(
        &self,
        endpoint: &EndpointId,
        team: Option<&TeamId>,
        session: &SessionValues,
    ) -> Option<EndpointConnection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let state = endpoints.get_mut(endpoint)?;
        loop {
            let index = {
                let is_of_team = |connection: &EndpointConnection| connection.team.as_ref() == team;
                let same = state
                    .idle
                    .iter()
                    .rposition(|(_, c)| is_of_team(c) && c.values.matches(session));
                same.or_else(|| state.idle.iter().rposition(|(_, c)| is_of_team(c)))?
            };
            let (_, connection) = state.idle.remove(index);
            if !connection.is_stale() {
                return Some(connection);
            }
        }
    }

    /// Closes idle connections to make room for one more within the limit.
    fn evict(&self, endpoint: &EndpointId, limit: ConnectionLimit) {
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(state) = endpoints.get_mut(endpoint) {
            while !state.idle.is_empty() && state.in_use + state.idle.len() > limit.max_open {
                state.idle.remove(0);
            }
        }
    }

    fn release(
        &self,
        endpoint: &EndpointId,
        connection: Option<EndpointConnection>,
        limit: ConnectionLimit,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(state) = endpoints.get_mut(endpoint) else {
            return;
        };
        state.in_use -= 1;
        if let Some(connection) = connection
            && !connection.is_broken()
            && connection.state == SessionState::Idle
            && connection.values.bytes() <= MAX_KEPT_VALUES_BYTES
            && state.in_use + state.idle.len() < limit.max_open
        {
            state.idle.push((now(), connection));
        }
        state.released.notify_one();
    }
}
