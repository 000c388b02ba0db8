//! What a group controller tells the journal.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::process::failover::failure_evidence::FailureEvidence;
use crate::request::log_point::LogTerm;
use crate::version::ids::EndpointId;

/// A decision or a change of a group that is worth a journal entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupEvent {
    /// There is enough evidence for a promotion, and this instance prepares one.
    PromotionPlanned { evidence: FailureEvidence },
    /// The evidence went away before anything was fenced.
    PromotionDropped,
    /// This instance promoted the endpoint.
    Promoted { endpoint: EndpointId, term: LogTerm },
    /// Another proposer's primary made the plan of this instance needless.
    PromotionSuperseded { term: LogTerm },
    /// The process was paused; its plan was given up.
    PromotionPaused,
    /// An endpoint was first seen as primary of a term.
    PrimaryChanged { endpoint: EndpointId, term: LogTerm },
}

impl fmt::Display for GroupEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupEvent::PromotionPlanned { evidence } => {
                write!(f, "a promotion is planned: {evidence}")
            }
            GroupEvent::PromotionDropped => write!(f, "the planned promotion is not needed"),
            GroupEvent::Promoted { endpoint, term } => {
                write!(f, "{endpoint} was promoted for term {term}")
            }
            GroupEvent::PromotionSuperseded { term } => {
                write!(f, "another proposer's primary has term {term}")
            }
            GroupEvent::PromotionPaused => write!(f, "the plan is given up after a pause"),
            GroupEvent::PrimaryChanged { endpoint, term } => {
                write!(f, "{endpoint} is the primary of term {term}")
            }
        }
    }
}
