//! Reasons why a request was refused or ended without an answer.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why a request was not served; each reason is reported to the caller with an SQLSTATE.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestRefusal {
    /// The team is above its rate and burst.
    AboveRate,
    /// The queue for the service's slots is full.
    QueueFull,
    /// The request's deadline passes before a slot becomes free.
    QueueDeadline,
    /// The service has no primary at present.
    NoPrimary,
    /// No endpoint can serve the request at present.
    NoEndpoint,
    /// The instance reaches neither the store nor enough peers.
    Isolated,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The team may not use the service.
    TeamNotAllowed,
    /// The service does not exist in the bundle in force.
    UnknownService,
    /// The instance is stopping.
    Draining,
    /// The transaction exceeded its time limit and was rolled back.
    TransactionDeadline,
    /// The request may have run; its outcome is unknown.
    OutcomeUnknown,
}

impl RequestRefusal {
    /// Returns the SQLSTATE that is sent to the caller.
    pub fn sqlstate(self) -> &'static str {
        match self {
            RequestRefusal::AboveRate => "53400",
            RequestRefusal::QueueFull | RequestRefusal::QueueDeadline => "53300",
            RequestRefusal::NoPrimary | RequestRefusal::NoEndpoint | RequestRefusal::Isolated => {
                "57P03"
            }
            RequestRefusal::KeyWithdrawn | RequestRefusal::TeamNotAllowed => "28000",
            RequestRefusal::UnknownService => "3D000",
            RequestRefusal::Draining => "57P01",
            RequestRefusal::TransactionDeadline => "25P03",
            RequestRefusal::OutcomeUnknown => "40003",
        }
    }

    /// Returns whether the request certainly did not start on an endpoint.
    pub fn is_not_run(self) -> bool {
        !matches!(
            self,
            RequestRefusal::OutcomeUnknown | RequestRefusal::TransactionDeadline
        )
    }
}

impl fmt::Display for RequestRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            RequestRefusal::AboveRate => "the team is above its rate",
            RequestRefusal::QueueFull => "the queue for the service is full",
            RequestRefusal::QueueDeadline => "no slot becomes free before the deadline",
            RequestRefusal::NoPrimary => "the service has no primary at present",
            RequestRefusal::NoEndpoint => "no endpoint may take the request at present",
            RequestRefusal::Isolated => "the instance sees neither the store nor enough peers",
            RequestRefusal::KeyWithdrawn => "the key was withdrawn",
            RequestRefusal::TeamNotAllowed => "the team may not use the service",
            RequestRefusal::UnknownService => "the service does not exist",
            RequestRefusal::Draining => "the instance is stopping",
            RequestRefusal::TransactionDeadline => {
                "the transaction was open for too long and was rolled back"
            }
            RequestRefusal::OutcomeUnknown => "the outcome of the request is unknown",
        };
        f.write_str(text)
    }
}

impl std::error::Error for RequestRefusal {}
