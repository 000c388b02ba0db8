//! Errors of control calls to an endpoint.

use std::fmt;

use crate::process::endpoint_status::StatusError;
use crate::process::failover::call_failure::CallFailure;

/// Why a call to an endpoint failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlError {
    /// The endpoint's host refuses or resets new connections, or has no route.
    ConnectRefused,
    /// A new connection was not open within the deadline.
    ConnectTimeout,
    /// No answer arrived within the deadline on an open connection, or the connection ended.
    NoAnswer,
    /// The endpoint answered with an error.
    Refused { sqlstate: String },
    /// The answer is that of another call.
    WrongAnswer,
    /// The answer is not a valid status.
    BadAnswer(StatusError),
}

impl ControlError {
    /// Returns the kind of failure that the failover decisions distinguish.
    pub fn call_failure(&self) -> CallFailure {
        match self {
            ControlError::ConnectRefused | ControlError::ConnectTimeout => {
                CallFailure::ConnectFailed
            }
            // The answer to this call is not known, as when none arrives.
            ControlError::NoAnswer | ControlError::WrongAnswer => CallFailure::NoAnswer,
            ControlError::Refused { .. } | ControlError::BadAnswer(_) => CallFailure::Refused,
        }
    }
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::ConnectRefused => write!(f, "endpoint: connection refused"),
            ControlError::ConnectTimeout => write!(f, "endpoint: connect timed out"),
            ControlError::NoAnswer => write!(f, "endpoint: no answer on an open connection"),
            ControlError::Refused { sqlstate } => write!(f, "endpoint: refused with {sqlstate}"),
            ControlError::WrongAnswer => write!(f, "endpoint: answer of another call"),
            ControlError::BadAnswer(error) => write!(f, "endpoint: invalid answer, {error}"),
        }
    }
}

impl std::error::Error for ControlError {}
