//! Datagrams between instances.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use session_core::ids::EndpointId;
use session_core::ids::ServiceId;
use session_core::ids::TeamId;
use session_core::monotonic_time::MonotonicTime;

/// The largest datagram, which fits a packet without fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Asks the leader for tokens and reports primaries that fail.
    Ask {
        /// The number of the question, which the answer repeats.
        number: u64,
        /// Tokens by team.
        wanted: Vec<(TeamId, u32)>,
        /// Primaries that do not answer or do not acknowledge.
        failing: Vec<EndpointId>,
        /// How many pairs of endpoint and team the instance used lately.
        demand: u32,
        /// Revisions of pending orders that the instance follows.
        seen: Vec<(ServiceId, u64)>,
    },
    /// Lends tokens.
    Lend {
        /// The number of the question.
        number: u64,
        /// Tokens by team.
        lent: Vec<(TeamId, u32)>,
        /// The instance's part of the connections to each endpoint, where the leader answers.
        part: Option<f32>,
        /// Whom to ask while the leader is silent.
        deputy: Option<SocketAddr>,
    },
    /// Tells the deputy that the leader lends.
    Watch {
        /// The fencing token of the leader.
        token: u64,
        /// When it was sent, on the leader's clock.
        sent: MonotonicTime,
        /// The newest time of the deputy's own clock that it answered with.
        confirmed: Option<MonotonicTime>,
    },
    /// The deputy's answer.
    Watched {
        /// The time in the message.
        sent: MonotonicTime,
        /// The time of the answer, on the deputy's clock.
        stamp: MonotonicTime,
    },
}
