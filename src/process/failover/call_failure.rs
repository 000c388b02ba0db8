//! Why a call to an endpoint gave no status.

use std::fmt;

/// The failure of a status, await, fence or promote call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallFailure {
    /// No new connection could be opened: refused, unreachable or no answer to the TCP handshake.
    ConnectFailed,
    /// The connection was open and no answer came in time, or it ended.
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
