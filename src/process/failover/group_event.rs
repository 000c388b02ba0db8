//! Events that a group controller reports for the log and the journal.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::process::failover::failure_evidence::FailureEvidence;
use crate::request::log_point::LogTerm;
use crate::version::ids::EndpointId;

/// A decision of the group controller, or a change that it observed in the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupEvent {
    /// This instance has enough evidence for a promotion and plans one.
    PromotionPlanned { evidence: FailureEvidence },
    /// The evidence disappeared before an endpoint was fenced.
    PromotionDropped,
    /// This instance promoted the endpoint.
    Promoted { endpoint: EndpointId, term: LogTerm },
    /// Another proposer promoted a primary, so this instance dropped its plan.
    PromotionSuperseded { term: LogTerm },
    /// This instance dropped its plan after a pause of its process.
    PromotionPaused,
    /// An endpoint was first observed as the primary of a term.
    PrimaryChanged { endpoint: EndpointId, term: LogTerm },
}

impl fmt::Display for GroupEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupEvent::PromotionPlanned { evidence } => {
                write!(f, "a promotion is planned: {evidence}")
            }
            GroupEvent::PromotionDropped => {
                write!(f, "promotion dropped: its evidence disappeared")
            }
            GroupEvent::Promoted { endpoint, term } => {
                write!(f, "{endpoint} was promoted for term {term}")
            }
            GroupEvent::PromotionSuperseded { term } => {
                write!(
                    f,
                    "promotion dropped: another proposer promoted a primary of term {term}"
                )
            }
            GroupEvent::PromotionPaused => write!(f, "promotion dropped: this process was paused"),
            GroupEvent::PrimaryChanged { endpoint, term } => {
                write!(f, "{endpoint} is the primary of term {term}")
            }
        }
    }
}
