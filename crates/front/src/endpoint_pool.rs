//! Connections of this instance to endpoints, kept within the endpoints' bounds.

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

/// How long a pair of endpoint and team counts as used.
const DEMAND_TIME: Duration = Duration::from_secs(3);

/// How many connections an instance may hold to one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimit {
    /// With idle ones, which is the instance's even part.
    pub kept: usize,
    /// In use at once, which may be more than the even part since load is uneven.
    pub used: usize,
}

#[derive(Default)]
struct EndpointSlot {
    idle: Vec<(MonotonicTime, EndpointConnection)>,
    in_use: usize,
    load: EndpointLoad,
    released: Rc<Notify>,
    /// When connections of a team were last asked for.
    used_at: HashMap<Option<TeamId>, MonotonicTime>,
    limiter: Option<StatementLimiter>,
    limiter_changes: Rc<Notify>,
}

/// The pool.
#[derive(Default)]
pub struct EndpointPool {
    slots: RefCell<HashMap<EndpointId, EndpointSlot>>,
    opened: Cell<u64>,
}

/// Why no connection was obtained.
#[derive(Debug)]
pub enum PoolError {
    /// All connections stayed in use.
    Exhausted,
    /// A new one could not be opened.
    Connect(ConnectError),
}

/// A connection that belongs to one transaction until it is dropped.
pub struct PooledConnection {
    pool: Rc<EndpointPool>,
    connection: Option<EndpointConnection>,
    endpoint: EndpointId,
    limit: ConnectionLimit,
}

impl Deref for PooledConnection {
    type Target = EndpointConnection;

    fn deref(&self) -> &EndpointConnection {
        self.connection.as_ref().expect("taken only by drop")
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut EndpointConnection {
        self.connection.as_mut().expect("taken only by drop")
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

/// The right to run one statement on an endpoint, until it is dropped.
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
    /// Waits until a first statement may go to an endpoint; returns `None` where that takes longer
    /// than `wait`.
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
            // A pause that ends is as good as a change.
            let _ = tokio::time::timeout(pause, changes.notified()).await;
        }
    }

    /// Lets a statement inside a transaction run at once.
    pub fn acquire_unqueued(self: &Rc<Self>, endpoint: &EndpointId) -> StatementPermit {
        self.with_limiter(endpoint, StatementLimiter::acquire_unqueued);
        self.permit_for(endpoint)
    }

    /// Takes the latency of a statement, for the bound of the limiter.
    pub fn record_latency(&self, endpoint: &EndpointId, latency: Duration, target: Duration) {
        self.with_limiter(endpoint, |limiter| {
            limiter.record_latency(latency, target, now())
        });
    }

    /// Takes the answer that the endpoint's queue is full.
    pub fn back_off(&self, endpoint: &EndpointId) {
        self.with_limiter(endpoint, |limiter| limiter.back_off(now()));
    }

    fn create_limiter(&self, entry: &EndpointEntry, instances: usize) {
        let mut slots = self.slots.borrow_mut();
        let slot = slots.entry(entry.id.clone()).or_default();
        slot.limiter
            .get_or_insert_with(|| StatementLimiter::new(entry.slots.0, instances));
    }

    fn permit_for(self: &Rc<Self>, endpoint: &EndpointId) -> StatementPermit {
        StatementPermit {
            pool: Rc::clone(self),
            endpoint: endpoint.clone(),
        }
    }

    fn limiter_changes(&self, endpoint: &EndpointId) -> Rc<Notify> {
        let mut slots = self.slots.borrow_mut();
        Rc::clone(&slots.entry(endpoint.clone()).or_default().limiter_changes)
    }

    /// Reads or changes the limiter of an endpoint, where a statement was sent there before.
    fn with_limiter<T>(
        &self,
        endpoint: &EndpointId,
        action: impl FnOnce(&mut StatementLimiter) -> T,
    ) -> Option<T> {
        let mut slots = self.slots.borrow_mut();
        let slot = slots.get_mut(endpoint)?;
        let limiter = slot.limiter.as_mut()?;
        let result = action(limiter);
        if limiter.has_capacity(now()) {
            slot.limiter_changes.notify_waiters();
        }
        Some(result)
    }

    /// Reads or changes what was seen of an endpoint.
    pub fn with_load<T>(
        &self,
        endpoint: &EndpointId,
        action: impl FnOnce(&mut EndpointLoad) -> T,
    ) -> T {
        let mut slots = self.slots.borrow_mut();
        action(&mut slots.entry(endpoint.clone()).or_default().load)
    }

    /// Whether a connection of the team is idle.
    pub fn has_idle(&self, endpoint: &EndpointId, team: Option<&TeamId>) -> bool {
        self.slots.borrow().get(endpoint).is_some_and(|slot| {
            slot.idle
                .iter()
                .any(|(_, connection)| connection.team.as_ref() == team)
        })
    }

    /// Counts a request that goes to an endpoint.
    pub fn count_outstanding(self: &Rc<Self>, endpoint: &EndpointId) -> OutstandingGuard {
        self.with_load(endpoint, |load| load.outstanding += 1);
        OutstandingGuard {
            pool: Rc::clone(self),
            endpoint: endpoint.clone(),
        }
    }

    /// Takes an answer into what is known of the endpoint.
    pub fn record_answer(
        &self,
        endpoint: &EndpointId,
        answer: &EndpointAnswer,
        history: &FloorHistory,
    ) {
        let at = now();
        let latency = at.saturating_since(answer.sent_at);
        self.with_load(endpoint, |load| {
            load.record_answer(latency, answer.point(), history, at);
        });
    }

    /// Closes connections that were idle for longer than a time.
    pub fn close_idle(&self, time: Duration) {
        let at = now();
        for slot in self.slots.borrow_mut().values_mut() {
            slot.idle
                .retain(|(since, _)| at.saturating_since(*since) < time);
        }
    }

    /// Closes the idle connections of endpoints that are gone.
    pub fn retain(&self, known: impl Fn(&EndpointId) -> bool) {
        for (id, slot) in self.slots.borrow_mut().iter_mut() {
            if !known(id) {
                slot.idle.clear();
            }
        }
    }

    fn record_use(&self, endpoint: &EndpointId, team: Option<&TeamId>) {
        let mut slots = self.slots.borrow_mut();
        let slot = slots.entry(endpoint.clone()).or_default();
        slot.used_at.insert(team.cloned(), now());
    }

    /// Returns how many pairs of endpoint and team were used lately.
    pub fn demand(&self, at: MonotonicTime) -> u32 {
        let mut pairs = 0;
        for slot in self.slots.borrow_mut().values_mut() {
            slot.used_at
                .retain(|_, used_at| at.saturating_since(*used_at) < DEMAND_TIME);
            pairs += slot.used_at.len();
        }
        u32::try_from(pairs).unwrap_or(u32::MAX)
    }

    /// Returns how many connections were opened so far.
    pub fn opened_connections(&self) -> u64 {
        self.opened.get()
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        let slots = self.slots.borrow();
        slots
            .values()
            .map(|slot| slot.in_use + slot.idle.len())
            .sum()
    }

    /// Obtains a connection of the team, an idle one with the session's values first.
    ///
    /// # Errors
    ///
    /// See [`PoolError`].
    pub async fn obtain(
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

    /// Takes any idle connection, to ask the endpoint for its log position.
    pub fn obtain_idle(
        self: &Rc<Self>,
        endpoint: &EndpointId,
        limit: ConnectionLimit,
    ) -> Option<PooledConnection> {
        let mut slots = self.slots.borrow_mut();
        let slot = slots.get_mut(endpoint)?;
        let (_, connection) = slot.idle.pop()?;
        slot.in_use += 1;
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
                let mut slots = self.slots.borrow_mut();
                let slot = slots.entry(endpoint.clone()).or_default();
                if slot.in_use < limit.used {
                    slot.in_use += 1;
                    return;
                }
                Rc::clone(&slot.released)
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
        let mut slots = self.slots.borrow_mut();
        let slot = slots.get_mut(endpoint)?;
        loop {
            let index = {
                let mine = |connection: &EndpointConnection| connection.team.as_ref() == team;
                let same = slot
                    .idle
                    .iter()
                    .rposition(|(_, c)| mine(c) && c.values.matches(session));
                same.or_else(|| slot.idle.iter().rposition(|(_, c)| mine(c)))?
            };
            let (_, connection) = slot.idle.remove(index);
            if !connection.is_stale() {
                return Some(connection);
            }
        }
    }

    /// Closes idle connections so that one more fits.
    fn evict(&self, endpoint: &EndpointId, limit: ConnectionLimit) {
        let mut slots = self.slots.borrow_mut();
        if let Some(slot) = slots.get_mut(endpoint) {
            while !slot.idle.is_empty() && slot.in_use + slot.idle.len() > limit.kept {
                slot.idle.remove(0);
            }
        }
    }

    fn release(
        &self,
        endpoint: &EndpointId,
        connection: Option<EndpointConnection>,
        limit: ConnectionLimit,
    ) {
        let mut slots = self.slots.borrow_mut();
        let Some(slot) = slots.get_mut(endpoint) else {
            return;
        };
        slot.in_use -= 1;
        if let Some(connection) = connection
            && !connection.is_broken()
            && connection.state == SessionState::Idle
            && slot.in_use + slot.idle.len() < limit.kept
        {
            slot.idle.push((now(), connection));
        }
        slot.released.notify_one();
    }
}
