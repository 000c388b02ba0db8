//! Datagrams between instances.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use session_core::commit_evidence::CommitReport;
use session_core::commit_evidence::ProcessLives;
use session_core::ids::EndpointId;
use session_core::ids::ServiceId;
use session_core::ids::TeamId;
use session_core::monotonic_time::MonotonicTime;
use session_core::pace_digest::PaceDigest;
use session_core::pace_sample::PaceSample;
use session_core::store_revision::StoreRevision;

/// Maximum length of a datagram in bytes, which fits a packet without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Datagram between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Requests tokens of the lender and reports failing primaries.
    Ask {
        /// Number of the request, repeated in the answer.
        number: u64,
        /// Number of tokens by team.
        wanted: Vec<(TeamId, u32)>,
        /// Primaries that do not answer or do not acknowledge writes.
        failing: Vec<EndpointId>,
        /// Number of pairs of endpoint and team that the instance used recently.
        demand: u32,
        /// Revisions of the pending orders that the instance has applied.
        seen: Vec<(ServiceId, StoreRevision)>,
    },
    /// Answers a request with a loan.
    Lend {
        /// Number of the request.
        number: u64,
        /// Number of tokens by team.
        lent: Vec<(TeamId, u32)>,
        /// The instance's fraction of the connections to each endpoint, if the leader answers.
        part: Option<f32>,
        /// Address of the deputy, which lends while the leader is silent.
        deputy: Option<SocketAddr>,
    },
    /// Grants or renews the deputy lease.
    Watch {
        /// Fencing token of the leader.
        token: StoreRevision,
        /// When the message was sent, on the leader's clock.
        sent: MonotonicTime,
        /// Newest time on the deputy's clock in its answers so far.
        confirmed: Option<MonotonicTime>,
    },
    /// Confirms a deputy lease.
    Watched {
        /// Time in the message that is answered.
        sent: MonotonicTime,
        /// Time of the answer, on the deputy's clock.
        stamp: MonotonicTime,
    },
    /// Reports which acknowledgements an instance passed on before it stopped using primaries.
    Passed {
        /// Registrations of the instance's process.
        process: ProcessLives,
        /// One report for each pending order.
        reports: Vec<CommitReport>,
    },
    /// Reports the outcomes of reads to the first instance of the zone.
    Observed {
        /// When the message was sent, on the sender's clock.
        sent: MonotonicTime,
        /// The outcomes since the last report.
        samples: Vec<PaceSample>,
    },
    /// Answers a report with the zone's picture of its endpoints.
    Paces {
        /// Time in the message that is answered.
        sent: MonotonicTime,
        /// The slow and failing endpoints.
        digest: PaceDigest,
    },
}
