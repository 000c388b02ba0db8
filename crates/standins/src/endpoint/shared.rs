//! What all parts of a stand-in endpoint share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::endpoint::config::EndpointConfig;
use crate::endpoint::faults::EndpointFaults;
use crate::endpoint::state::EndpointState;

/// A user name and password that the endpoint was shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShownCredential {
    /// The user name.
    pub user: String,
    /// The password.
    pub password: String,
}

/// Counters of a stand-in endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EndpointCounters {
    /// Connections open now.
    pub connections: u64,
    /// The most connections open at once.
    pub peak_connections: u64,
    /// Connections refused with 53300.
    pub refused_connections: u64,
    /// Statements running now.
    pub running: u64,
    /// The most statements running at once.
    pub peak_running: u64,
    /// Statements on the table that ran.
    pub statements: u64,
}

/// The other side of a traffic direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficGate {
    /// Bytes from clients.
    FromClients,
    /// Bytes to clients.
    ToClients,
    /// Bytes from other endpoints.
    FromPeers,
    /// Bytes to other endpoints.
    ToPeers,
}

impl TrafficGate {
    fn is_open(self, faults: &EndpointFaults) -> bool {
        let cut = match self {
            TrafficGate::FromClients => faults.cut_from_clients,
            TrafficGate::ToClients => faults.cut_to_clients,
            TrafficGate::FromPeers => faults.cut_from_peers,
            TrafficGate::ToPeers => faults.cut_to_peers,
        };
        !cut && !faults.freeze
    }
}

/// What all parts of a stand-in endpoint share.
#[derive(Debug)]
pub struct EndpointShared {
    /// The settings.
    pub config: EndpointConfig,
    /// The faults in force.
    pub faults: watch::Sender<EndpointFaults>,
    /// The link addresses of the other endpoints.
    pub peers: watch::Sender<Vec<SocketAddr>>,
    /// Changes whenever the state does.
    pub changed: watch::Sender<u64>,
    /// Changes when all open connections are to be closed.
    pub closed: watch::Sender<u64>,
    /// One permit for each slot.
    pub slots: Semaphore,
    /// The secret and the cancel signal of each connection by its process id.
    pub cancels: Mutex<HashMap<i32, (i32, Arc<Notify>)>>,
    /// The counters.
    pub counters: Mutex<EndpointCounters>,
    /// The credentials the endpoint was shown.
    pub shown: Mutex<Vec<ShownCredential>>,
    /// Connections with a lower number are silent for good.
    pub silent_below: AtomicU64,
    /// The number of the next connection.
    pub next_connection: AtomicU64,
    /// The number of the next transaction.
    pub next_transaction: AtomicU64,
    state: Mutex<EndpointState>,
}

impl EndpointShared {
    /// Creates the shared part of an endpoint.
    pub fn new(config: EndpointConfig) -> Self {
        Self {
            faults: watch::Sender::new(config.faults),
            peers: watch::Sender::new(config.peers.clone()),
            changed: watch::Sender::new(0),
            closed: watch::Sender::new(0),
            slots: Semaphore::new(config.slots),
            cancels: Mutex::default(),
            counters: Mutex::default(),
            shown: Mutex::default(),
            silent_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(1),
            next_transaction: AtomicU64::new(1),
            state: Mutex::new(EndpointState::new(config.primary, Instant::now())),
            config,
        }
    }

    /// Locks the state for reading.
    pub fn state(&self) -> MutexGuard<'_, EndpointState> {
        lock(&self.state)
    }

    /// Changes the state and wakes everybody who waits for a change.
    pub fn update<T>(&self, change: impl FnOnce(&mut EndpointState) -> T) -> T {
        let result = change(&mut self.state());
        self.changed.send_modify(|version| *version += 1);
        result
    }

    /// Puts faults in force.
    pub fn set_faults(&self, faults: EndpointFaults) {
        if faults.silence_existing && !self.faults.borrow().silence_existing {
            let next = self.next_connection.load(Ordering::SeqCst);
            self.silent_below.store(next, Ordering::SeqCst);
        }
        self.faults.send_replace(faults);
    }

    /// Closes all open client connections.
    pub fn close_connections(&self) {
        self.closed.send_modify(|version| *version += 1);
    }

    /// Waits until traffic in a direction passes.
    pub async fn pass(&self, gate: TrafficGate) {
        if gate.is_open(&self.faults.borrow()) {
            return;
        }
        let mut faults = self.faults.subscribe();
        // The sender lives in `self`, so that the wait cannot fail.
        let _ = faults.wait_for(|f| gate.is_open(f)).await;
    }

    /// Returns whether a connection has gone silent for good.
    pub fn is_silent(&self, connection: u64) -> bool {
        connection < self.silent_below.load(Ordering::SeqCst)
    }

    /// Uses up one lost answer; returns whether one was due.
    pub fn take_lost_answer(&self) -> bool {
        let mut taken = false;
        self.faults.send_if_modified(|faults| {
            taken = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            taken
        });
        taken
    }
}

/// Locks a mutex; a panic elsewhere leaves the plain data of the stand-ins usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
