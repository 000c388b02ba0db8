//! The settings of one daemon.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use crate::process::settings_parser::parse_settings;
use crate::version::fault_list::FaultList;
use crate::version::ids::InstanceId;
use crate::version::ids::ZoneId;
use crate::version::secret_text::SecretText;
use crate::version::signer_key::SignerKey;

/// A certificate chain and its private key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate chain, in PEM.
    pub certificate: PathBuf,
    /// The private key, in PEM.
    pub key: PathBuf,
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(()),
        }
    }
}

/// The validated settings; `docs/settings.md` describes each field.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// The name of this instance.
    pub instance_id: InstanceId,
    /// The availability zone of this instance.
    pub availability_zone: ZoneId,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The address of the HTTP port, for operators and the platform.
    pub http_address: SocketAddr,
    /// The token that a drain over HTTP requires.
    pub operator_token: Option<SecretText>,
    /// The certificate for callers; without it, TLS is not offered.
    pub caller_tls: Option<TlsFiles>,
    /// Whether callers without TLS are refused.
    pub caller_tls_required: bool,
    /// The certificate for peers.
    pub peer_tls: TlsFiles,
    /// The certificate authority of the peers, in PEM.
    pub peer_tls_authority: PathBuf,
    /// Peers to contact first when the instance starts during an outage of the store.
    pub peer_addresses: Vec<SocketAddr>,
    /// The addresses of the store.
    pub store_addresses: Vec<SocketAddr>,
    /// Timeout of a store call.
    pub store_timeout: Duration,
    /// A file with a signed envelope, for a start without the store.
    pub bundle_file: Option<PathBuf>,
    /// The keys that may sign bundles.
    pub signers: Vec<SignerKey>,
    /// Number of different signers that a bundle requires.
    pub required_signatures: usize,
    /// The user name for endpoints.
    pub endpoint_user: String,
    /// The password for endpoints.
    pub endpoint_password: SecretText,
    /// Maximum time to open a connection to an endpoint.
    pub connect_timeout: Duration,
    /// Maximum time from a caller's connect until its key is accepted.
    pub startup_timeout: Duration,
    /// Maximum time that a request waits for a slot.
    pub queue_timeout: Duration,
    /// Maximum time that a transaction holds its slot.
    pub transaction_timeout: Duration,
    /// Maximum wait until a majority has logged the end of a transaction.
    pub confirm_timeout: Duration,
    /// Maximum time for open transactions to end when the instance stops.
    pub drain_timeout: Duration,
    /// Maximum number of connected callers.
    pub max_caller_connections: usize,
    /// Maximum size of a caller's message, in bytes.
    pub max_message_bytes: usize,
    /// Maximum time for the rest of a message that a caller has begun.
    pub message_timeout: Duration,
    /// Maximum memory of all callers together beyond their allowances, in bytes.
    pub caller_memory_bytes: Option<usize>,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: tracing::Level,
}

/// Why the settings of a file cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        path: PathBuf,
        error: std::io::Error,
    },
    /// The contents of the file are invalid.
    Faults { path: PathBuf, faults: FaultList },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { path, error } => {
                write!(f, "{}: {error}", path.display())
            }
            SettingsError::Faults { path, faults } => {
                write!(f, "{}", faults.format_for_file(&path.display().to_string()))
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and validates a settings file; the files that it refers to must be readable.
pub fn load_settings(path: &Path) -> Result<DaemonSettings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: path.to_owned(),
        error,
    })?;
    let read_file = |path: &Path| std::fs::read_to_string(path);
    parse_settings(&text, &read_file).map_err(|faults| SettingsError::Faults {
        path: path.to_owned(),
        faults,
    })
}
