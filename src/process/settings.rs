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
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
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

/// The settings, checked; `docs/settings.md` describes each field.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// The name of this instance.
    pub instance_id: InstanceId,
    /// The availability zone it runs in.
    pub availability_zone: ZoneId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where operators and the platform ask.
    pub http_address: SocketAddr,
    /// The token that a drain over HTTP requires.
    pub operator_token: Option<SecretText>,
    /// The certificate for callers; without it, TLS is not offered.
    pub caller_tls: Option<TlsFiles>,
    /// Whether callers without TLS are refused.
    pub caller_tls_required: bool,
    /// The certificate for peers.
    pub peer_tls: TlsFiles,
    /// The authority of the peers' certificates, in PEM.
    pub peer_tls_authority: PathBuf,
    /// Peers to ask first at a start while the store is out.
    pub peer_addresses: Vec<SocketAddr>,
    /// The store.
    pub store_addresses: Vec<SocketAddr>,
    /// The longest time a store call takes.
    pub store_timeout: Duration,
    /// A signed envelope for a start without the store.
    pub bundle_file: Option<PathBuf>,
    /// Who may sign bundles.
    pub signers: Vec<SignerKey>,
    /// How many of them must have signed.
    pub required_signatures: usize,
    /// The user name for endpoints.
    pub endpoint_user: String,
    /// The password for endpoints.
    pub endpoint_password: SecretText,
    /// The longest time to open a connection to an endpoint.
    pub connect_timeout: Duration,
    /// The longest time from a caller's connect to its accepted key.
    pub startup_timeout: Duration,
    /// The longest time a request waits for a slot.
    pub queue_timeout: Duration,
    /// The longest time a transaction holds its slot.
    pub transaction_timeout: Duration,
    /// The longest time to wait for a majority to hold the end of a transaction.
    pub confirm_timeout: Duration,
    /// The longest time that open transactions get when the instance stops.
    pub drain_timeout: Duration,
    /// How many callers may be connected at once.
    pub max_caller_connections: usize,
    /// The largest message that a caller may send, in bytes.
    pub max_message_bytes: usize,
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
    /// The file has faults.
    Faults { path: PathBuf, faults: FaultList },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { path, error } => {
                write!(f, "{}: {error}", path.display())
            }
            SettingsError::Faults { path, faults } => {
                write!(f, "{}", faults.in_file(&path.display().to_string()))
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks a file; the files it names must be readable.
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
