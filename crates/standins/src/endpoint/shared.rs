//! State shared by the sessions, the replication link and the handle of a stand-in endpoint.

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

/// User name and password of a login attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedCredential {
    /// The user name.
    pub user: String,
    /// The password.
    pub password: String,
}

/// Counters of a stand-in endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EndpointCounters {
    /// Number of open connections.
    pub connections: u64,
    /// Highest number of connections open at the same time.
    pub peak_connections: u64,
    /// Number of connections refused with SQLSTATE 53300.
    pub refused_connections: u64,
    /// Number of running statements that hold a slot.
    pub running: u64,
    /// Highest number of statements running at the same time.
    pub peak_running: u64,
    /// Number of statements that have taken a slot.
    pub statements: u64,
}

/// Direction of traffic that a fault can cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficDirection {
    /// Bytes from clients.
    FromClients,
    /// Bytes to clients.
    ToClients,
    /// Bytes from other endpoints.
    FromPeers,
    /// Bytes to other endpoints.
    ToPeers,
}

impl TrafficDirection {
    fn is_open(self, faults: &EndpointFaults) -> bool {
        let cut = match self {
            TrafficDirection::FromClients => faults.cut_from_clients,
            TrafficDirection::ToClients => faults.cut_to_clients,
            TrafficDirection::FromPeers => faults.cut_from_peers,
            TrafficDirection::ToPeers => faults.cut_to_peers,
        };
        !cut && !faults.freeze
    }
}

/// State shared by the sessions, the replication link and the handle of a stand-in endpoint.
#[derive(Debug)]
pub struct EndpointShared {
    /// The settings.
    pub config: EndpointConfig,
    /// The faults in force.
    pub faults: watch::Sender<EndpointFaults>,
    /// The link addresses of the other endpoints.
    pub peers: watch::Sender<Vec<SocketAddr>>,
    /// Version of the state; wakes those that wait for a change.
    pub changed: watch::Sender<u64>,
    /// Changes when all open connections are to be closed.
    pub close_signal: watch::Sender<u64>,
    /// One permit for each slot.
    pub slots: Semaphore,
    /// Secret and cancel signal of each connection, by process id.
    pub cancels: Mutex<HashMap<i32, (i32, Arc<Notify>)>>,
    /// The counters.
    pub counters: Mutex<EndpointCounters>,
    /// Credentials of all login attempts.
    pub received_credentials: Mutex<Vec<ReceivedCredential>>,
    /// Connections with a lower number are silent permanently.
    pub silent_below: AtomicU64,
    /// The number of the next connection.
    pub next_connection: AtomicU64,
    /// The number of the next transaction.
    pub next_transaction: AtomicU64,
    state: Mutex<EndpointState>,
}

impl EndpointShared {
    /// Creates the state of an endpoint with an empty table.
    pub fn new(config: EndpointConfig) -> Self {
        Self {
            faults: watch::Sender::new(config.faults),
            peers: watch::Sender::new(config.peers.clone()),
            changed: watch::Sender::new(0),
            close_signal: watch::Sender::new(0),
            slots: Semaphore::new(config.slots),
            cancels: Mutex::default(),
            counters: Mutex::default(),
            received_credentials: Mutex::default(),
            silent_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(1),
            next_transaction: AtomicU64::new(1),
            state: Mutex::new(EndpointState::new(config.primary, Instant::now())),
            config,
        }
    }

    /// Locks the state; changes to it that others wait for are made with [`Self::update`].
    pub fn state(&self) -> MutexGuard<'_, EndpointState> {
        lock(&self.state)
    }

    /// Changes the state and wakes the tasks that wait for a change.
    pub fn update<T>(&self, change: impl FnOnce(&mut EndpointState) -> T) -> T {
        let result = change(&mut self.state());
        self.changed.send_modify(|version| *version += 1);
        result
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: EndpointFaults) {
        if faults.silence_existing && !self.faults.borrow().silence_existing {
            let next = self.next_connection.load(Ordering::SeqCst);
            self.silent_below.store(next, Ordering::SeqCst);
        }
        self.faults.send_replace(faults);
    }

    /// Closes all open client connections.
    pub fn close_connections(&self) {
        self.close_signal.send_modify(|version| *version += 1);
    }

    /// Waits until traffic in a direction is not cut.
    pub async fn wait_until_open(&self, direction: TrafficDirection) {
        if direction.is_open(&self.faults.borrow()) {
            return;
        }
        let mut faults = self.faults.subscribe();
        // The wait cannot fail, because the sender is a field of `self`.
        let _ = faults.wait_for(|f| direction.is_open(f)).await;
    }

    /// Returns whether a connection is permanently silent.
    pub fn is_silent(&self, connection: u64) -> bool {
        connection < self.silent_below.load(Ordering::SeqCst)
    }

    /// Returns whether the answer to the current commit is to be lost; if so, decrements
    /// `lose_answers`.
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

/// Locks a mutex even if it is poisoned: the plain data of the stand-ins remains usable after a panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
