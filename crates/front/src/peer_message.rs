//! Datagrams between instances.

use serde::Deserialize;
use serde::Serialize;
use session_core::ids::EndpointId;
use session_core::ids::ServiceId;
use session_core::ids::TeamId;

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
        /// The instance's part of the connections to each endpoint.
        part: f32,
    },
}
