//! Configuration of the caller listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::version::secret_text::SecretText;

/// Limits on callers' connections, in number, size and time.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Maximum number of connected callers.
    pub callers: usize,
    /// Whether callers without TLS are refused.
    pub tls_required: bool,
    /// Maximum length of a startup or authentication message, in bytes.
    pub startup_bytes: usize,
    /// Maximum time for start-up and authentication together.
    pub startup_time: Duration,
    /// Maximum length of a message from a caller or endpoint, in bytes.
    pub message_bytes: usize,
    /// Bytes of a batch that are buffered before an endpoint is chosen even if the batch is
    /// incomplete.
    pub batch_bytes: usize,
    /// Maximum size of a session's prepared statements, in bytes.
    pub prepared_bytes: usize,
    /// Unsent bytes to a caller or endpoint beyond which the other side is not read from.
    pub unsent_bytes: usize,
    /// Maximum time that a request waits for a slot and an endpoint connection.
    pub queue_wait: Duration,
    /// Maximum time to connect to an endpoint.
    pub connect_time: Duration,
    /// Maximum time without a message from an endpoint while an answer is due.
    pub answer_time: Duration,
    /// Maximum time for the confirmation of a transaction.
    pub confirm_time: Duration,
    /// Maximum duration of a transaction.
    pub transaction_time: Duration,
    /// Maximum time that open transactions may go on after a drain starts.
    pub drain_time: Duration,
    /// Maximum time that a running request may go on after its key was withdrawn.
    pub withdrawn_time: Duration,
    /// Time after which an idle endpoint connection is closed.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            callers: 10_000,
            tls_required: false,
            startup_bytes: 10_000,
            startup_time: Duration::from_secs(10),
            message_bytes: 64 * 1024 * 1024,
            batch_bytes: 256 * 1024,
            prepared_bytes: 4 * 1024 * 1024,
            unsent_bytes: 256 * 1024,
            queue_wait: Duration::from_secs(5),
            connect_time: Duration::from_secs(2),
            answer_time: Duration::from_secs(30),
            confirm_time: Duration::from_secs(5),
            transaction_time: Duration::from_secs(60),
            drain_time: Duration::from_secs(30),
            withdrawn_time: Duration::from_secs(2),
            idle_time: Duration::from_secs(60),
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
