//! The settings of a stand-in endpoint.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::faults::EndpointFaults;

/// The settings of a stand-in endpoint. Port 0 takes any free port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct EndpointConfig {
    /// The name in logs.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the other endpoints of the group pull the log from.
    pub link: SocketAddr,
    /// Where the admin HTTP port listens; none without it.
    pub admin: Option<SocketAddr>,
    /// The link addresses of the other endpoints of the group.
    pub peers: Vec<SocketAddr>,
    /// Whether it starts as the primary of term 1.
    pub primary: bool,
    /// The only user that is let in.
    pub user: String,
    /// The password of that user.
    pub password: String,
    /// How many statements run at once; the rest queue.
    pub slots: usize,
    /// How many connections are accepted; above that clients get 53300.
    pub connections: usize,
    /// The cost of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// The duration of a statement on the table, in milliseconds.
    pub statement_ms: u64,
    /// The worker threads of its runtime.
    pub threads: usize,
    /// The faults it starts with.
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
