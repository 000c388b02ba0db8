//! Failures of calls to an endpoint, as the failover decisions distinguish them.

use std::fmt;

/// The failure of a status, await, fence or promote call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallFailure {
    /// No new connection could be opened: it was refused or timed out, or the host is unreachable.
    ConnectFailed,
    /// No answer arrived in time on an open connection, or the connection ended.
    NoAnswer,
    /// The endpoint answered with an error.
    Refused,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            CallFailure::ConnectFailed => "no new connection could be opened",
            CallFailure::NoAnswer => "no answer in time",
            CallFailure::Refused => "the endpoint refused the call",
        };
        f.write_str(text)
    }
}

impl std::error::Error for CallFailure {}
