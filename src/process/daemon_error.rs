//! Errors that prevent a daemon from starting.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::connection::listener::ListenerError;
use crate::process::metrics::MetricsError;
use crate::process::peers::peer_error::PeerError;

/// Why a daemon did not start.
#[derive(Debug)]
pub enum DaemonError {
    /// A file given in the settings cannot be read.
    ReadFile { path: PathBuf, error: io::Error },
    /// The certificate for callers cannot be used.
    CallerTls { error: rustls::Error },
    /// A file contains no certificate or no key.
    EmptyFile { path: PathBuf },
    /// The store client's thread did not start.
    StoreClient { error: io::Error },
    /// The settings contain no store address.
    NoStore,
    /// The links to peers did not start.
    Peers(PeerError),
    /// The HTTP port cannot be opened.
    Http {
        address: SocketAddr,
        error: io::Error,
    },
    /// The metrics cannot be registered.
    Metrics(MetricsError),
    /// The caller listener did not start.
    Listener(ListenerError),
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::ReadFile { path, error } => {
                write!(f, "cannot read {}: {error}", path.display())
            }
            DaemonError::CallerTls { error } => {
                write!(f, "the certificate for callers cannot be used: {error}")
            }
            DaemonError::EmptyFile { path } => {
                write!(f, "{} contains no certificate or key", path.display())
            }
            DaemonError::StoreClient { error } => {
                write!(f, "cannot start the store client: {error}")
            }
            DaemonError::NoStore => write!(f, "the settings contain no store address"),
            DaemonError::Peers(error) => write!(f, "cannot start the peer links: {error}"),
            DaemonError::Http { address, error } => {
                write!(f, "cannot open the HTTP port {address}: {error}")
            }
            DaemonError::Metrics(error) => write!(f, "{error}"),
            DaemonError::Listener(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for DaemonError {}

impl From<PeerError> for DaemonError {
    fn from(error: PeerError) -> Self {
        DaemonError::Peers(error)
    }
}

impl From<MetricsError> for DaemonError {
    fn from(error: MetricsError) -> Self {
        DaemonError::Metrics(error)
    }
}

impl From<ListenerError> for DaemonError {
    fn from(error: ListenerError) -> Self {
        DaemonError::Listener(error)
    }
}
