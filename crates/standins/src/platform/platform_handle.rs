//! Starts the stand-in and steers it.

use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::platform::group_state::EndpointState;
use crate::platform::group_state::GroupState;
use crate::platform::line_server;
use crate::platform::store_server;
use crate::platform::store_state::StoreState;

/// The state that the servers of the stand-in share.
#[derive(Debug)]
pub struct PlatformShared {
    store: Mutex<StoreState>,
    group: Mutex<GroupState>,
}

impl PlatformShared {
    /// Returns the store.
    pub fn store(&self) -> MutexGuard<'_, StoreState> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the group.
    pub fn group(&self) -> MutexGuard<'_, GroupState> {
        self.group.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the registry entries of the endpoints that answer, and removes the others.
    pub fn publish(&self) {
        let entries: Vec<(String, Option<Vec<u8>>)> = {
            let group = self.group();
            let ids = group.endpoints.iter();
            ids.map(|(id, endpoint)| {
                let entry = group.entry(id).filter(|_| endpoint.alive);
                (
                    id.clone(),
                    entry.map(|entry| entry.to_string().into_bytes()),
                )
            })
            .collect()
        };
        let mut store = self.store();
        for (id, entry) in entries {
            let key = format!("servers/{id}");
            match entry {
                Some(value) => store.put(&key, value, 0),
                None => store.remove(&key),
            }
        }
    }
}

/// A running stand-in.
#[derive(Debug)]
pub struct PlatformHandle {
    /// Its state.
    pub shared: Arc<PlatformShared>,
    /// Where the store and the duties are called.
    pub address: SocketAddr,
}

impl PlatformHandle {
    /// Starts the store, the duties and a group of three endpoints on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails where no address can be listened on.
    pub async fn start(service: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let mut endpoints = HashMap::new();
        let mut listeners = Vec::new();
        for (index, id) in ["db-1", "db-2", "db-3"].into_iter().enumerate() {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let state = EndpointState {
                address: listener.local_addr()?,
                primary: index == 0,
                term: 1,
                log: Vec::new(),
                shown: 0,
                paused: 0,
                alive: true,
                draining: false,
            };
            endpoints.insert(id.to_owned(), state);
            listeners.push((id.to_owned(), listener));
        }
        let shared = Arc::new(PlatformShared {
            store: Mutex::default(),
            group: Mutex::new(GroupState {
                service: service.to_owned(),
                endpoints,
                lag: Duration::from_millis(20),
                refuse_promotions: false,
                lose_answers: 0,
                runs: Vec::new(),
                promotions: Vec::new(),
            }),
        });
        for (id, listener) in listeners {
            let shared = Arc::clone(&shared);
            tokio::spawn(line_server::serve_endpoint(listener, shared, id));
        }
        shared.publish();
        let serving = store_server::serve_platform(listener, Arc::clone(&shared));
        tokio::spawn(serving);
        Ok(Self { shared, address })
    }

    /// Writes the operators' configuration.
    pub fn configure(&self, configuration: &serde_json::Value) {
        let value = configuration.to_string().into_bytes();
        self.shared.store().put("op/config", value, 0);
    }

    /// Changes the group and publishes it.
    pub fn change_group(&self, change: impl FnOnce(&mut GroupState)) {
        change(&mut self.shared.group());
        self.shared.publish();
    }
}
