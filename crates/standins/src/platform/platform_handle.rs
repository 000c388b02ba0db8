//! Starts the stand-in of the platform and controls it while it runs.

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
use crate::platform::store_copy::StoreCopy;
use crate::platform::store_server;
use crate::platform::store_state::StoreFault;
use crate::platform::store_state::StoreState;

/// Prefix of the keys with which operators evacuate availability zones.
const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Eras in which tests let the store begin, since the platform's pages set none: before the first copy,
/// after one, and near the last era whose packed revisions are exact in JSON.
pub const FIRST_ERAS: [u64; 3] = [0, 1, 8_000];

/// The state that the servers of the stand-in share.
#[derive(Debug)]
pub struct PlatformShared {
    store: Mutex<StoreState>,
    group: Mutex<GroupState>,
}

impl PlatformShared {
    /// Locks the state of the store.
    pub fn store(&self) -> MutexGuard<'_, StoreState> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state of the group.
    pub fn group(&self) -> MutexGuard<'_, GroupState> {
        self.group.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the registry entry of each endpoint that answers, and removes those of the others.
    pub fn publish(&self) {
        let entries: Vec<(String, Option<Vec<u8>>)> = {
            let group = self.group();
            let ids = group.endpoints.iter();
            ids.map(|(id, endpoint)| {
                let entry = group
                    .entry(id)
                    .filter(|_| endpoint.alive && endpoint.registered);
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

/// A running stand-in of the platform.
#[derive(Debug)]
pub struct PlatformHandle {
    /// State of the store and of the group.
    pub shared: Arc<PlatformShared>,
    /// Address of the HTTP server of the store and the promotion service.
    pub address: SocketAddr,
}

impl PlatformHandle {
    /// Starts the store, the promotion service and a group of three endpoints on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(service: &str) -> io::Result<Self> {
        Self::start_in_era(service, FIRST_ERAS[0]).await
    }

    /// Starts the same with a store that begins in an era.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_in_era(service: &str, era: u64) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let mut endpoints = HashMap::new();
        let mut listeners = Vec::new();
        for (index, id) in ["db-1", "db-2", "db-3"].into_iter().enumerate() {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let state = EndpointState {
                primary: index == 0,
                term: 1,
                ..EndpointState::new(listener.local_addr()?)
            };
            endpoints.insert(id.to_owned(), state);
            listeners.push((id.to_owned(), listener));
        }
        let store = StoreState {
            era,
            ..StoreState::default()
        };
        let shared = Arc::new(PlatformShared {
            store: Mutex::new(store),
            group: Mutex::new(GroupState::new(service, endpoints)),
        });
        for (id, listener) in listeners {
            let shared = Arc::clone(&shared);
            tokio::spawn(line_server::serve_endpoint(listener, shared, id));
        }
        shared.publish();
        let server = store_server::serve_platform(listener, Arc::clone(&shared));
        tokio::spawn(server);
        Ok(Self { shared, address })
    }

    /// Writes the operators' configuration to the store.
    pub fn configure(&self, configuration: &serde_json::Value) {
        let value = configuration.to_string().into_bytes();
        self.shared.store().put("op/config", value, 0);
    }

    /// Copies the content of the store for a later drill.
    pub fn copy_store(&self) -> StoreCopy {
        StoreCopy::of(&self.shared.store())
    }

    /// Lets the store be away for some time and come back from a copy. Then the operators and the
    /// endpoints write their keys again.
    pub async fn drill(&self, copy: &StoreCopy, away: Duration) {
        self.come_back(copy, away, true).await;
    }

    /// Does the same, but the operators and the endpoints do not write their keys again yet.
    pub async fn drill_unwritten(&self, copy: &StoreCopy, away: Duration) {
        self.come_back(copy, away, false).await;
    }

    async fn come_back(&self, copy: &StoreCopy, away: Duration, rewrites: bool) {
        self.shared.store().fault = StoreFault::Silent;
        tokio::time::sleep(away).await;
        let mut store = self.shared.store();
        copy.restore(&mut store, rewrites);
        store.fault = StoreFault::None;
    }

    /// Puts the key with which operators evacuate an availability zone.
    pub fn evacuate_zone(&self, zone: &str) {
        let key = format!("{EVACUATION_PREFIX}{zone}");
        self.shared.store().put(&key, b"{}".to_vec(), 0);
    }

    /// Removes the key that evacuates an availability zone.
    pub fn end_evacuation(&self, zone: &str) {
        let key = format!("{EVACUATION_PREFIX}{zone}");
        self.shared.store().remove(&key);
    }

    /// Moves endpoints to availability zones, in the order of their ids and of the zones.
    pub fn spread_over_zones(&self, zones: &[&str]) {
        self.change_group(|group| {
            let mut ids: Vec<String> = group.endpoints.keys().cloned().collect();
            ids.sort();
            for (id, zone) in ids.iter().zip(zones.iter().cycle()) {
                if let Some(endpoint) = group.endpoints.get_mut(id) {
                    endpoint.zone = (*zone).to_owned();
                }
            }
        });
    }

    /// Returns the number of the instance that leads, from its name `front-NUMBER` in the store.
    pub fn leader(&self) -> Option<usize> {
        let store = self.shared.store();
        let item = store.items.get("tamaracklb/leader")?;
        let value: serde_json::Value = serde_json::from_slice(&item.value).ok()?;
        let name = value["instance"].as_str()?;
        name.strip_prefix("front-")?.parse().ok()
    }

    /// Changes the group and updates the registry entries of its endpoints.
    pub fn change_group(&self, change: impl FnOnce(&mut GroupState)) {
        change(&mut self.shared.group());
        self.shared.publish();
    }

    /// Starts an endpoint, which joins the group as a replica.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn add_endpoint(&self, id: &str) -> io::Result<()> {
        let address = self.serve_endpoint(id).await?;
        self.change_group(|group| group.join(id, address));
        Ok(())
    }

    /// Starts the server of an endpoint that is not in the group yet, and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn serve_endpoint(&self, id: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::clone(&self.shared);
        tokio::spawn(line_server::serve_endpoint(listener, shared, id.to_owned()));
        Ok(address)
    }

    /// Ends an endpoint and removes its registry entry. Another one takes over its address and its
    /// log, and is registered by [`Self::register`].
    pub fn replace_in_place(&self, id: &str, successor: &str) {
        if self.shared.group().succeed(id, successor) {
            self.shared.store().remove(&format!("servers/{id}"));
        }
    }

    /// Registers an endpoint that has replaced another one in place.
    pub fn register(&self, id: &str) {
        self.change_group(|group| {
            if let Some(endpoint) = group.endpoints.get_mut(id) {
                endpoint.registered = true;
            }
        });
    }

    /// Ends an endpoint, whose log is lost, and removes its registry entry.
    pub fn remove_endpoint(&self, id: &str) {
        self.shared.group().endpoints.remove(id);
        self.shared.store().remove(&format!("servers/{id}"));
    }
}
