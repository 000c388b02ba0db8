//! Why a call to the store failed.

use std::fmt;

/// Why a call to the store failed.
///
/// [`StoreError::is_not_applied`] tells a call that surely had no effect from one whose effect is
/// unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No connection could be opened; the call was not sent.
    ConnectFailed,
    /// The store refused the call with an error of the protocol.
    Refused { status: u16, code: String },
    /// The lease does not exist or has lapsed.
    LeaseNotFound,
    /// The value is larger than the store takes; the call was not sent.
    ValueTooLarge { bytes: usize },
    /// The call was sent and no complete answer came in time, or the store failed while it worked.
    NoAnswer,
    /// A compare-and-swap got no answer, and the key has since been changed by another writer.
    Overtaken { revision: u64 },
    /// The answer does not follow the protocol.
    BadAnswer,
    /// The client has stopped.
    Stopped,
}

impl StoreError {
    /// Returns whether the call surely had no effect.
    pub fn is_not_applied(&self) -> bool {
        match self {
            StoreError::ConnectFailed
            | StoreError::Refused { .. }
            | StoreError::LeaseNotFound
            | StoreError::ValueTooLarge { .. } => true,
            StoreError::NoAnswer
            | StoreError::Overtaken { .. }
            | StoreError::BadAnswer
            | StoreError::Stopped => false,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::ConnectFailed => write!(f, "store: connect failed"),
            StoreError::Refused { status, code } => {
                write!(f, "store: refused with status {status}, {code}")
            }
            StoreError::LeaseNotFound => write!(f, "store: lease not found"),
            StoreError::ValueTooLarge { bytes } => {
                write!(f, "store: a value of {bytes} bytes is too large")
            }
            StoreError::NoAnswer => write!(f, "store: no answer, outcome unknown"),
            StoreError::Overtaken { revision } => {
                write!(
                    f,
                    "store: outcome unknown, the key is at revision {revision} of another writer"
                )
            }
            StoreError::BadAnswer => write!(f, "store: invalid answer"),
            StoreError::Stopped => write!(f, "store: client stopped"),
        }
    }
}

impl std::error::Error for StoreError {}
