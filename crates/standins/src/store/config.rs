//! The settings of a stand-in store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use store_wire::InstanceEntry;

use crate::store::faults::StoreFaults;

/// The settings of a stand-in store. Port 0 selects a free port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct StoreConfig {
    /// Listen address; the admin paths are on the same port under `/admin`.
    pub listen: SocketAddr,
    /// Initial instance list.
    pub instances: Vec<InstanceEntry>,
    /// Initial faults.
    pub faults: StoreFaults,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            instances: Vec::new(),
            faults: StoreFaults::default(),
        }
    }
}
