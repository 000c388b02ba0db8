//! Evidence that a group needs a promotion.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogTerm;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;

/// What another watcher says of a primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherReport {
    /// The watcher.
    pub instance: InstanceId,
    /// The primary it speaks of.
    pub primary: EndpointId,
    /// For how long it could open no new connection to it.
    pub connect_failing_for: Duration,
    /// When the report arrived here.
    pub received_at: MonotonicTime,
}

/// Why a promotion is started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureEvidence {
    /// A majority of the other endpoints hear nothing from the primary.
    UpstreamSilence { reporters: Vec<EndpointId> },
    /// A majority of the watchers can open no new connection to the primary.
    ConnectFailure { watchers: Vec<InstanceId> },
    /// The primary, or a majority of the group, is fenced above its term and nobody was promoted.
    PrimaryFenced { term: LogTerm },
    /// A replica is fenced above the present term and can follow no primary.
    ReplicaStranded { endpoint: EndpointId, term: LogTerm },
}

impl fmt::Display for FailureEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FailureEvidence::UpstreamSilence { reporters } => {
                write!(
                    f,
                    "{} endpoints hear nothing from the primary",
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
                write!(f, "fenced at term {term} and nobody was promoted")
            }
            FailureEvidence::ReplicaStranded { endpoint, term } => {
                write!(
                    f,
                    "replica {endpoint} is fenced at term {term} and follows nobody"
                )
            }
        }
    }
}
