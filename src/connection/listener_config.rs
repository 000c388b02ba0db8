//! Configuration of the caller listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::version::secret_text::SecretText;

/// Limits on callers' connections, in number, size and time.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Maximum number of connected callers.
    pub max_callers: usize,
    /// Whether callers without TLS are refused.
    pub tls_required: bool,
    /// Maximum length of a startup or authentication message, in bytes.
    pub max_startup_bytes: usize,
    /// Maximum time for start-up and authentication together.
    pub startup_timeout: Duration,
    /// Maximum length of a message from a caller or endpoint, in bytes.
    pub max_message_bytes: usize,
    /// Maximum time for the rest of a message that has begun, while no request runs.
    pub message_timeout: Duration,
    /// Maximum memory of all callers together beyond a small allowance each, in bytes; `None`
    /// for no limit.
    pub memory_bytes: Option<usize>,
    /// Bytes of a batch that are buffered before an endpoint is chosen even if the batch is
    /// incomplete.
    pub batch_bytes: usize,
    /// Maximum size of a session's prepared statements, in bytes.
    pub max_prepared_bytes: usize,
    /// Maximum number of unsent bytes to a caller or endpoint; above it, reading from the other
    /// side pauses.
    pub max_unsent_bytes: usize,
    /// Maximum time that a request waits for a slot and an endpoint connection.
    pub queue_timeout: Duration,
    /// Maximum time to connect to an endpoint.
    pub connect_timeout: Duration,
    /// Maximum time without a message from an endpoint while an answer is due.
    pub answer_timeout: Duration,
    /// Maximum time for the confirmation of a transaction.
    pub confirm_timeout: Duration,
    /// Maximum duration of a transaction.
    pub transaction_timeout: Duration,
    /// Maximum time that open transactions may go on after a drain starts.
    pub drain_timeout: Duration,
    /// Maximum time that a running request may go on after its key was withdrawn.
    pub withdrawal_grace: Duration,
    /// Time after which an idle endpoint connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_callers: 10_000,
            tls_required: false,
            max_startup_bytes: 10_000,
            startup_timeout: Duration::from_secs(10),
            max_message_bytes: 64 * 1024 * 1024,
            message_timeout: Duration::from_secs(30),
            memory_bytes: None,
            batch_bytes: 256 * 1024,
            max_prepared_bytes: 4 * 1024 * 1024,
            max_unsent_bytes: 256 * 1024,
            queue_timeout: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(2),
            answer_timeout: Duration::from_secs(30),
            confirm_timeout: Duration::from_secs(5),
            transaction_timeout: Duration::from_secs(60),
            drain_timeout: Duration::from_secs(30),
            withdrawal_grace: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Configuration of the caller listener.
#[derive(Debug, Clone)]
pub struct ListenerConfig {
    /// The address that callers connect to; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Number of worker threads that serve callers.
    pub workers: usize,
    /// TLS configuration with the certificate; `None` if callers cannot use TLS.
    pub tls: Option<Arc<rustls::ServerConfig>>,
    /// The user name with which the instance connects to endpoints.
    pub endpoint_user: String,
    /// The password with which the instance connects to endpoints.
    pub endpoint_password: SecretText,
    /// Secret from which the SCRAM salts of unknown teams are derived; the same on all instances.
    pub salt_secret: SecretText,
    /// Limits on callers' connections.
    pub limits: CallerLimits,
}
