//! The evidence on which a promotion is started.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogTerm;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;

/// Another watcher's report on its connections to a primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherReport {
    /// The watcher that sent the report.
    pub instance: InstanceId,
    /// The endpoint that the watcher considers the primary.
    pub primary: EndpointId,
    /// Time for which the watcher has failed to open a new connection to the primary.
    pub unreachable_for: Duration,
    /// When this instance received the report.
    pub received_at: MonotonicTime,
}

/// The reason for a promotion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureEvidence {
    /// A majority of the other endpoints receive nothing from the primary.
    UpstreamSilence { reporters: Vec<EndpointId> },
    /// A majority of the watchers can open no new connection to the primary.
    ConnectFailure { watchers: Vec<InstanceId> },
    /// The primary or a majority of the group is fenced above the primary's term, and no endpoint
    /// was promoted.
    PrimaryFenced { term: LogTerm },
    /// A replica is fenced above the current term and can follow no primary.
    ReplicaStranded { endpoint: EndpointId, term: LogTerm },
}

impl fmt::Display for FailureEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FailureEvidence::UpstreamSilence { reporters } => {
                write!(
                    f,
                    "{} endpoints receive nothing from the primary",
                    reporters.len()
                )
            }
            FailureEvidence::ConnectFailure { watchers } => {
                write!(
                    f,
                    "{} watchers cannot connect to the primary",
                    watchers.len()
                )
            }
            FailureEvidence::PrimaryFenced { term } => {
                write!(f, "fenced at term {term} and no endpoint was promoted")
            }
            FailureEvidence::ReplicaStranded { endpoint, term } => {
                write!(
                    f,
                    "replica {endpoint} is fenced at term {term} and follows no primary"
                )
            }
        }
    }
}
