//! The settings of a stand-in endpoint.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::faults::EndpointFaults;

/// The settings of a stand-in endpoint. Port 0 selects a free port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct EndpointConfig {
    /// Name of the endpoint, in the line printed at start and as the value of unknown SQL functions.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address from which the other endpoints of the group pull the log.
    pub link: SocketAddr,
    /// Listen address of the admin HTTP port; `None` for no admin port.
    pub admin: Option<SocketAddr>,
    /// The link addresses of the other endpoints of the group.
    pub peers: Vec<SocketAddr>,
    /// Whether it starts as the primary of term 1.
    pub primary: bool,
    /// The only user that may log in.
    pub user: String,
    /// The password of that user.
    pub password: String,
    /// Maximum number of concurrent statements; further ones are queued.
    pub slots: usize,
    /// Maximum number of connections; further ones are refused with SQLSTATE 53300.
    pub connections: usize,
    /// Delay before a new connection is authenticated or refused, in milliseconds.
    pub connect_ms: u64,
    /// Duration of a statement that takes a slot, in milliseconds.
    pub statement_ms: u64,
    /// Number of worker threads of its runtime.
    pub threads: usize,
    /// Initial faults.
    pub faults: EndpointFaults,
}

impl Default for EndpointConfig {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: "endpoint".to_owned(),
            listen: any,
            link: any,
            admin: None,
            peers: Vec::new(),
            primary: false,
            user: "instance".to_owned(),
            password: "instance-password".to_owned(),
            slots: 3,
            connections: 50,
            connect_ms: 10,
            statement_ms: 0,
            threads: 2,
            faults: EndpointFaults::default(),
        }
    }
}
