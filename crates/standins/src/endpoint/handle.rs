//! Starts a stand-in endpoint and controls it while it runs.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Instant;

use tokio::runtime::Runtime;

use crate::endpoint::admin;
use crate::endpoint::config::EndpointConfig;
use crate::endpoint::faults::EndpointFaults;
use crate::endpoint::link;
use crate::endpoint::listener;
use crate::endpoint::log::LogEntry;
use crate::endpoint::shared::EndpointCounters;
use crate::endpoint::shared::EndpointShared;
use crate::endpoint::shared::ReceivedCredential;
use crate::endpoint::shared::lock;
use crate::endpoint::state::ExecutedWrite;
use crate::endpoint::status::EndpointReport;
use crate::http;
use crate::http::HttpHandle;

/// A running stand-in endpoint, which stops when the handle is dropped.
#[derive(Debug)]
pub struct EndpointHandle {
    shared: Arc<EndpointShared>,
    address: SocketAddr,
    link: SocketAddr,
    admin: Option<SocketAddr>,
    runtime: Option<Runtime>,
    _http: Option<HttpHandle>,
}

/// Starts a stand-in endpoint on its own threads.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or the threads cannot be started.
pub fn start(config: EndpointConfig) -> io::Result<EndpointHandle> {
    let clients = bind(config.listen)?;
    let peers = bind(config.link)?;
    let address = clients.local_addr()?;
    let link = peers.local_addr()?;
    let admin_listener = config.admin.map(TcpListener::bind).transpose()?;
    let admin = admin_listener
        .as_ref()
        .map(TcpListener::local_addr)
        .transpose()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.threads.max(1))
        .thread_name("standin-endpoint")
        .enable_all()
        .build()?;
    let shared = Arc::new(EndpointShared::new(config));
    {
        let _entered = runtime.enter();
        let clients = tokio::net::TcpListener::from_std(clients)?;
        let peers = tokio::net::TcpListener::from_std(peers)?;
        runtime.spawn(listener::serve(Arc::clone(&shared), clients, address));
        runtime.spawn(link::serve(Arc::clone(&shared), peers));
        runtime.spawn(link::pull_from_peers(Arc::clone(&shared)));
    }
    let http = admin_listener
        .map(|listener| {
            let routes = admin::configure(Arc::clone(&shared));
            http::serve("standin-admin", listener, routes)
        })
        .transpose()?;
    Ok(EndpointHandle {
        shared,
        address,
        link,
        admin,
        _http: http,
        runtime: Some(runtime),
    })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl EndpointHandle {
    /// Returns the listen address for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the listen address from which the other endpoints pull the log.
    pub fn link(&self) -> SocketAddr {
        self.link
    }

    /// Returns the listen address of the admin HTTP port, or `None` if there is no admin port.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// Sets the link addresses of the other endpoints of the group.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.shared.peers.send_replace(peers);
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> EndpointFaults {
        *self.shared.faults.borrow()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: EndpointFaults) {
        self.shared.set_faults(faults);
    }

    /// Closes all open client connections.
    pub fn close_connections(&self) {
        self.shared.close_connections();
    }

    /// Returns the report of the platform functions.
    pub fn report(&self) -> EndpointReport {
        self.shared.state().report(Instant::now())
    }

    /// Returns the entries of the log.
    pub fn log(&self) -> Vec<LogEntry> {
        self.shared.state().log().entries().to_vec()
    }

    /// Returns the write transactions that this endpoint committed as the primary.
    pub fn executed(&self) -> Vec<ExecutedWrite> {
        self.shared.state().executed().to_vec()
    }

    /// Returns the user names and passwords received in login attempts.
    pub fn received_credentials(&self) -> Vec<ReceivedCredential> {
        lock(&self.shared.received_credentials).clone()
    }

    /// Returns the counters.
    pub fn counters(&self) -> EndpointCounters {
        *lock(&self.shared.counters)
    }
}

impl Drop for EndpointHandle {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
