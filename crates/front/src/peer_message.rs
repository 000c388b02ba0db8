//! Datagrams between instances.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use session_core::commit_evidence::CommitReport;
use session_core::commit_evidence::ProcessLives;
use session_core::ids::EndpointId;
use session_core::ids::ServiceId;
use session_core::ids::TeamId;
use session_core::lending_right::RightAnswer;
use session_core::lending_right::RightRenewal;
use session_core::monotonic_time::MonotonicTime;
use session_core::pace_digest::PaceDigest;
use session_core::pace_sample::PaceSample;

/// Maximum length of a datagram in bytes, which fits a packet without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Datagram between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// Requests tokens of a lender, or reports to the leader.
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
        seen: Vec<(ServiceId, u64)>,
    },
    /// Answers a request with a loan.
    Lend {
        /// Number of the request.
        number: u64,
        /// Number of tokens by team.
        lent: Vec<(TeamId, u32)>,
        /// The instance's fraction of the connections to each endpoint, if the leader answers.
        part: Option<f32>,
        /// Unused; earlier versions sent the address of their second lender.
        deputy: Option<SocketAddr>,
    },
    /// Sent by the leader of earlier versions to its second lender, and ignored.
    Watch {
        /// Fencing token of the leader.
        token: u64,
        /// When the message was sent, on the leader's clock.
        sent: MonotonicTime,
        /// Newest time on the deputy's clock in its answers so far.
        confirmed: Option<MonotonicTime>,
    },
    /// Answer of earlier versions to `Watch`, and ignored.
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
    /// Forwards a request for tokens of an instance of an earlier version, which knows no lender but
    /// the leader. The answer goes to that instance.
    AskFor {
        /// Address of the instance.
        borrower: SocketAddr,
        /// Number of the request.
        number: u64,
        /// Number of tokens by team.
        wanted: Vec<(TeamId, u32)>,
    },
    /// Renews the right of a lender.
    RenewRight(RightRenewal),
    /// Answers a renewal.
    RightRenewed {
        /// Fencing token in the renewal.
        token: u64,
        /// The answer.
        answer: RightAnswer,
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
