//! Failures of the links between instances.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::version::ids::InstanceId;

/// Why a peer link or a message on it failed.
#[derive(Debug)]
pub enum PeerError {
    /// A certificate, key or root file could not be read.
    ReadFile { path: PathBuf, error: io::Error },
    /// A file contains no certificate or no key.
    EmptyFile { path: PathBuf },
    /// The TLS library rejected the certificates.
    Tls { error: rustls::Error },
    /// The trusted roots cannot verify clients.
    Verifier,
    /// The UDP socket could not be opened.
    Bind {
        address: SocketAddr,
        error: io::Error,
    },
    /// No connection to the peer could be made.
    Connect { address: SocketAddr },
    /// The connection was lost during a request.
    Broken { address: SocketAddr },
    /// The peer did not answer in time.
    Timeout {
        address: SocketAddr,
        after: Duration,
    },
    /// The peer is not known.
    UnknownPeer { peer: InstanceId },
    /// The peer cannot answer the request at present.
    Unavailable { address: SocketAddr },
    /// The message is larger than a peer accepts.
    TooLarge { bytes: usize },
    /// The message has a version that this build does not know.
    UnknownVersion { version: u8 },
    /// The message cannot be decoded.
    Malformed,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::ReadFile { path, error } => {
                write!(f, "cannot read {}: {error}", path.display())
            }
            PeerError::EmptyFile { path } => {
                write!(f, "{} contains no certificate or key", path.display())
            }
            PeerError::Tls { error } => write!(f, "TLS library rejected the certificates: {error}"),
            PeerError::Verifier => write!(f, "the trusted roots cannot verify peers"),
            PeerError::Bind { address, error } => write!(f, "cannot bind {address}: {error}"),
            PeerError::Connect { address } => write!(f, "cannot connect to peer {address}"),
            PeerError::Broken { address } => write!(f, "connection to peer {address} was lost"),
            PeerError::Timeout { address, after } => {
                write!(
                    f,
                    "peer {address} did not answer within {} ms",
                    after.as_millis()
                )
            }
            PeerError::UnknownPeer { peer } => write!(f, "peer {peer} has no known address"),
            PeerError::Unavailable { address } => {
                write!(
                    f,
                    "the requested component of peer {address} is unavailable"
                )
            }
            PeerError::TooLarge { bytes } => {
                write!(f, "peer message of {bytes} bytes is too large")
            }
            PeerError::UnknownVersion { version } => {
                write!(f, "peer message has unknown version {version}")
            }
            PeerError::Malformed => write!(f, "peer message cannot be decoded"),
        }
    }
}

impl std::error::Error for PeerError {}
