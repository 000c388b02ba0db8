//! Pool of connections to endpoints, within this instance's share of what they accept.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::rc::Rc;
use std::time::Duration;

use prometheus::IntCounterVec;
use session_core::admission_queue::AdmissionRequest;
use session_core::connection_host;
use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_load::EndpointLoad;
use session_core::floor_history::FloorHistory;
use session_core::ids::EndpointId;
use session_core::ids::TeamId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::pace_sample::WorkKind;
use session_core::request_outcome::EndpointRefusal;
use session_core::session_values::ConnectionValues;
use session_core::statement_limiter::StatementLimiter;
use tokio::sync::Notify;

use crate::endpoint_connection::ConnectError;
use crate::endpoint_connection::EndpointAnswer;
use crate::endpoint_connection::EndpointConnection;

/// Time after its last use for which a pair of endpoint and team counts towards the demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(3);

/// Time for which no more connections are opened than were open when the endpoint refused one
/// because of its limit. Each attempt costs the endpoint a start-up.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

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
    /// Whether the connections are for all instances, so that no team may take all of them.
    pub is_host: bool,
}

#[derive(Default)]
struct EndpointState {
    idle: Vec<(MonotonicTime, EndpointConnection)>,
    in_use: usize,
    /// Number of connections in use by team.
    used: HashMap<Option<TeamId>, usize>,
    load: EndpointLoad,
    released: Rc<Notify>,
    /// Number of connections that were open when the endpoint refused one because of its limit, and
    /// until when it applies.
    refused: Option<(MonotonicTime, usize)>,
    /// When a connection was last requested, by team.
    used_at: HashMap<Option<TeamId>, MonotonicTime>,
    limiter: Option<StatementLimiter>,
    limiter_changes: Rc<Notify>,
}

impl EndpointState {
    fn open(&self) -> usize {
        self.in_use + self.idle.len()
    }

    /// Returns the limits, lowered for some time after the endpoint refused a connection.
    fn limit_now(&self, limit: ConnectionLimit) -> ConnectionLimit {
        match self.refused {
            Some((until, open)) if now() < until => ConnectionLimit {
                max_open: limit.max_open.min(open),
                max_in_use: limit.max_in_use.min(open),
                is_host: limit.is_host,
            },
            _ => limit,
        }
    }

    /// Counts a connection of the team as in use if the limit allows it.
    fn try_use(&mut self, team: Option<&TeamId>, limit: ConnectionLimit) -> bool {
        let max_in_use = self.limit_now(limit).max_in_use;
        let free = max_in_use.saturating_sub(self.in_use);
        let used = self.used.get(&team.cloned()).copied().unwrap_or(0);
        let may_use = match limit.is_host {
            true => connection_host::may_use_another(used, free),
            false => free > 0,
        };
        if may_use {
            self.count_use(team);
        }
        may_use
    }

    fn count_use(&mut self, team: Option<&TeamId>) {
        self.in_use += 1;
        *self.used.entry(team.cloned()).or_default() += 1;
    }

    fn end_use(&mut self, team: Option<&TeamId>) {
        self.in_use -= 1;
        let team = team.cloned();
        if let Some(used) = self.used.get_mut(&team) {
            *used -= 1;
            if *used == 0 {
                self.used.remove(&team);
            }
        }
    }
}

/// Connections, load and statement limiter of each endpoint.
pub struct EndpointPool {
    endpoints: RefCell<HashMap<EndpointId, EndpointState>>,
    opened: Cell<u64>,
    /// Whether new limiters queue fairly between teams and refuse early.
    admits_fairly: bool,
    /// Number of unexpected answers by fault.
    unexpected_answers: IntCounterVec,
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
    team: Option<TeamId>,
    limit: ConnectionLimit,
    /// Whether it was opened for this use.
    pub opened: bool,
    /// Whether the endpoint's host keeps the connection, so that it does not count here.
    shared: bool,
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
        match (self.shared, connection) {
            (true, Some(connection)) => connection.finish(),
            (true, None) => {}
            (false, connection) => {
                let team = self.team.as_ref();
                self.pool
                    .release(&self.endpoint, team, connection, self.limit);
            }
        }
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
    /// Kind of the statement and when it was permitted, if it was queued.
    work: Option<(WorkKind, MonotonicTime)>,
}

/// Why a request got no permit.
#[derive(Debug, Clone, PartialEq)]
pub struct BusyEndpoint {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Number of statements that this instance may run there at once.
    pub limit: f64,
    /// Number of requests that wait for it here.
    pub queue: usize,
}

impl Drop for StatementPermit {
    fn drop(&mut self) {
        let at = now();
        self.pool.with_limiter(&self.endpoint, |limiter| {
            if let Some((kind, since)) = self.work {
                limiter.record_work(kind, at.saturating_since(since), at);
            }
            limiter.release(at);
        });
    }
}

impl EndpointPool {
    /// Creates an empty pool. With `admits_fairly`, requests queue fairly between teams and are
    /// refused at once if they would wait too long. Unexpected answers of endpoints are counted by
    /// fault in `unexpected_answers`.
    pub fn new(admits_fairly: bool, unexpected_answers: IntCounterVec) -> Self {
        Self {
            endpoints: RefCell::default(),
            opened: Cell::default(),
            admits_fairly,
            unexpected_answers,
        }
    }

    /// Waits in the endpoint's queue for a permit to run a first statement.
    ///
    /// # Errors
    ///
    /// Returns the state of the queue if the request waited for its time, or would have to.
    pub async fn acquire_permit(
        self: &Rc<Self>,
        entry: &EndpointEntry,
        instances: usize,
        request: &AdmissionRequest,
    ) -> Result<StatementPermit, BusyEndpoint> {
        let endpoint = &entry.id;
        self.create_limiter(entry, instances);
        let offered = self.with_limiter(endpoint, |limiter| limiter.offer(request, now()));
        let Some(ticket) = offered.flatten() else {
            return Err(self.busy_endpoint(endpoint));
        };
        let end = now() + request.wait;
        loop {
            let acquired =
                self.with_limiter(endpoint, |limiter| limiter.try_acquire(ticket, now()));
            if acquired == Some(true) {
                let mut permit = self.permit_for(endpoint);
                permit.work = Some((request.kind, now()));
                return Ok(permit);
            }
            let changes = self.limiter_changes(endpoint);
            let remaining = end.saturating_since(now());
            let hopeless =
                self.with_limiter(endpoint, |limiter| limiter.is_hopeless(ticket, now()));
            if remaining.is_zero() || hopeless != Some(false) {
                let busy = self.busy_endpoint(endpoint);
                self.with_limiter(endpoint, |limiter| limiter.cancel(ticket));
                return Err(busy);
            }
            let pause = self.with_limiter(endpoint, |limiter| limiter.pause(now()));
            let pause = pause.unwrap_or_default();
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
        state.limiter.get_or_insert_with(|| {
            let limiter = StatementLimiter::new(entry.slots.0, instances);
            match self.admits_fairly {
                true => limiter.with_admission(),
                false => limiter,
            }
        });
    }

    fn busy_endpoint(&self, endpoint: &EndpointId) -> BusyEndpoint {
        let state = self.with_limiter(endpoint, |limiter| (limiter.limit(), limiter.waiting()));
        let (limit, queue) = state.unwrap_or_default();
        BusyEndpoint {
            endpoint: endpoint.clone(),
            limit,
            queue,
        }
    }

    fn permit_for(self: &Rc<Self>, endpoint: &EndpointId) -> StatementPermit {
        StatementPermit {
            pool: Rc::clone(self),
            endpoint: endpoint.clone(),
            work: None,
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
        let latency = answer.took;
        self.with_load(endpoint, |load| {
            load.record_answer(latency, answer.point(), history, at);
        });
    }

    /// Closes connections that have been idle for at least the time that `limit` returns for their
    /// endpoint.
    pub fn close_idle(&self, limit: impl Fn(&EndpointId) -> Duration) {
        let at = now();
        for (id, state) in self.endpoints.borrow_mut().iter_mut() {
            let time = limit(id);
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

    /// Returns the endpoints for which requests wait here, with their number.
    pub fn waiting_requests(&self) -> Vec<(EndpointId, usize)> {
        let endpoints = self.endpoints.borrow();
        let waiting = endpoints.iter().filter_map(|(id, state)| {
            let waiting = state.limiter.as_ref()?.waiting();
            (waiting > 0).then(|| (id.clone(), waiting))
        });
        waiting.collect()
    }

    /// Returns the number of connections opened since the start.
    pub fn opened_connections(&self) -> u64 {
        self.opened.get()
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open_connections(&self) -> usize {
        let endpoints = self.endpoints.borrow();
        endpoints.values().map(EndpointState::open).sum()
    }

    /// Returns the number of open connections to an endpoint, idle ones included.
    pub fn open_connections_of(&self, endpoint: &EndpointId) -> usize {
        let endpoints = self.endpoints.borrow();
        endpoints.get(endpoint).map_or(0, EndpointState::open)
    }

    /// Acquires a connection of the team: the idle one for whose values `preference` returns the
    /// highest number, else a new one.
    ///
    /// # Errors
    ///
    /// See [`PoolError`].
    pub async fn acquire_connection(
        self: &Rc<Self>,
        entry: &EndpointEntry,
        team: Option<&TeamId>,
        preference: impl Fn(&ConnectionValues) -> u8,
        limit: ConnectionLimit,
        wait: Duration,
    ) -> Result<PooledConnection, PoolError> {
        self.record_use(&entry.id, team);
        let reserved = tokio::time::timeout(wait, self.reserve(&entry.id, team, limit)).await;
        reserved.map_err(|_| PoolError::Exhausted)?;
        let mut pooled = PooledConnection {
            pool: Rc::clone(self),
            connection: self.take_idle(&entry.id, team, preference),
            endpoint: entry.id.clone(),
            team: team.cloned(),
            limit,
            shared: false,
            opened: false,
        };
        if pooled.connection.is_none() {
            self.evict(&entry.id, limit);
            match EndpointConnection::open(entry, team.cloned(), &self.unexpected_answers).await {
                Ok(connection) => {
                    self.opened.set(self.opened.get() + 1);
                    pooled.connection = Some(connection);
                    pooled.opened = true;
                }
                Err(error) => {
                    self.record_refusal(&entry.id, &error);
                    return Err(PoolError::Connect(error));
                }
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
        let team = connection.team.clone();
        state.count_use(team.as_ref());
        Some(PooledConnection {
            pool: Rc::clone(self),
            connection: Some(connection),
            endpoint: endpoint.clone(),
            team,
            limit,
            shared: false,
            opened: false,
        })
    }

    /// Wraps a connection that the endpoint's host keeps.
    pub fn shared_connection(self: &Rc<Self>, connection: EndpointConnection) -> PooledConnection {
        PooledConnection {
            pool: Rc::clone(self),
            endpoint: connection.endpoint.clone(),
            team: connection.team.clone(),
            connection: Some(connection),
            limit: ConnectionLimit {
                max_open: 0,
                max_in_use: 0,
                is_host: false,
            },
            shared: true,
            opened: false,
        }
    }

    fn record_refusal(&self, endpoint: &EndpointId, error: &ConnectError) {
        if !matches!(
            error,
            ConnectError::Refused(EndpointRefusal::ConnectionLimit)
        ) {
            return;
        }
        let mut endpoints = self.endpoints.borrow_mut();
        let state = endpoints.entry(endpoint.clone()).or_default();
        // The refused connection still counts as in use.
        let open = state.in_use + state.idle.len() - 1;
        state.refused = Some((now() + REFUSAL_PAUSE, open.max(1)));
    }

    async fn reserve(&self, endpoint: &EndpointId, team: Option<&TeamId>, limit: ConnectionLimit) {
        loop {
            let released = {
                let mut endpoints = self.endpoints.borrow_mut();
                let state = endpoints.entry(endpoint.clone()).or_default();
                if state.try_use(team, limit) {
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
        preference: impl Fn(&ConnectionValues) -> u8,
    ) -> Option<EndpointConnection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let state = endpoints.get_mut(endpoint)?;
        loop {
            let idle = state.idle.iter().enumerate();
            let of_team = idle.filter(|(_, (_, connection))| connection.team.as_ref() == team);
            // Of equal ones, the last is the one that was used most recently.
            let (index, _) =
                of_team.max_by_key(|(_, (_, connection))| preference(connection.values()))?;
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
            let limit = state.limit_now(limit);
            while !state.idle.is_empty() && state.in_use + state.idle.len() > limit.max_open {
                state.idle.remove(0);
            }
        }
    }

    fn release(
        &self,
        endpoint: &EndpointId,
        team: Option<&TeamId>,
        connection: Option<EndpointConnection>,
        limit: ConnectionLimit,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        let Some(state) = endpoints.get_mut(endpoint) else {
            return;
        };
        state.end_use(team);
        if let Some(connection) = connection
            && connection.is_reusable()
            && connection.values().bytes() <= MAX_KEPT_VALUES_BYTES
            && state.in_use + state.idle.len() < limit.max_open
        {
            state.idle.push((now(), connection));
        }
        // The first that waits may be of a team that may not use another one yet.
        state.released.notify_waiters();
    }
}
