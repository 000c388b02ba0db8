//! Starts a stand-in store and controls it while it runs.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use store_wire::InstanceEntry;
use store_wire::InstanceList;
use store_wire::KeyEntry;

use crate::endpoint::shared::lock;
use crate::http;
use crate::http::HttpHandle;
use crate::store::calls::CallCounts;
use crate::store::config::StoreConfig;
use crate::store::faults::StoreFaults;
use crate::store::routes;
use crate::store::shared::StoreShared;

/// A running stand-in store, which stops when the handle is dropped.
#[derive(Debug)]
pub struct StoreHandle {
    shared: Arc<StoreShared>,
    address: SocketAddr,
    _http: HttpHandle,
}

/// Starts a stand-in store on its own thread.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the server cannot be started.
pub fn start(config: &StoreConfig) -> io::Result<StoreHandle> {
    let listener = TcpListener::bind(config.listen)?;
    let address = listener.local_addr()?;
    let shared = Arc::new(StoreShared::new(config));
    let routes = routes::configure(Arc::clone(&shared));
    let http = http::serve("standin-store", listener, routes)?;
    Ok(StoreHandle {
        shared,
        address,
        _http: http,
    })
}

impl StoreHandle {
    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> StoreFaults {
        *self.shared.faults.borrow()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Ends the lease with this id now, or all leases for `None`.
    pub fn expire_leases(&self, only: Option<&str>) {
        self.shared.expire_leases(only);
    }

    /// Sets the instance list.
    pub fn set_instances(&self, instances: Vec<InstanceEntry>) {
        *lock(&self.shared.instances) = InstanceList { instances };
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> CallCounts {
        *lock(&self.shared.calls)
    }

    /// Reads a key without counting a call; returns `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<KeyEntry> {
        self.shared.update(|state| state.get(key))
    }
}
