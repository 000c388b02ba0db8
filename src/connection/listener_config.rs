//! What the caller listener is started with.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::version::secret_text::SecretText;

/// What a caller's connection may be, in kind, size and time.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// How many callers may be connected at once.
    pub callers: usize,
    /// Whether callers without TLS are refused.
    pub tls_required: bool,
    /// The longest startup or authentication message, in bytes.
    pub startup_bytes: usize,
    /// How long start-up and authentication may take together.
    pub startup_time: Duration,
    /// The longest message of a caller or endpoint, in bytes.
    pub message_bytes: usize,
    /// Bytes of a batch that are gathered before an endpoint is chosen without seeing its end.
    pub batch_bytes: usize,
    /// Bytes of prepared statements that a session may keep.
    pub prepared_bytes: usize,
    /// Unsent bytes for a caller or endpoint beyond which the other side is not read.
    pub unsent_bytes: usize,
    /// How long a request waits for a slot and an endpoint connection.
    pub queue_wait: Duration,
    /// How long connecting to an endpoint may take.
    pub connect_time: Duration,
    /// How long an endpoint may stay silent while an answer is due.
    pub answer_time: Duration,
    /// How long a confirmation may take.
    pub confirm_time: Duration,
    /// How long a transaction may take.
    pub transaction_time: Duration,
    /// How long open transactions may go on once the process drains.
    pub drain_time: Duration,
    /// How long a running request may go on after its key was withdrawn.
    pub withdrawn_time: Duration,
    /// How long an unused endpoint connection is kept.
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

/// What the caller listener is started with.
#[derive(Debug, Clone)]
pub struct ListenerConfig {
    /// The address that callers connect to; port 0 lets the system choose.
    pub address: SocketAddr,
    /// How many worker threads serve callers.
    pub workers: usize,
    /// The certificate, where callers may use TLS.
    pub tls: Option<Arc<rustls::ServerConfig>>,
    /// The user name of the instance at endpoints.
    pub endpoint_user: String,
    /// The password of the instance at endpoints.
    pub endpoint_password: SecretText,
    /// What made-up salts for unknown teams are derived from; the same on all instances.
    pub salt_secret: SecretText,
    /// The bounds in size and time.
    pub limits: CallerLimits,
}
