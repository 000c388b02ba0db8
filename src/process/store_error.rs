//! Errors of calls to the store.

use std::fmt;

/// Why a call to the store failed.
///
/// [`StoreError::is_not_applied`] distinguishes calls that certainly had no effect from calls whose
/// outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// No connection could be opened; the call was not sent.
    ConnectFailed,
    /// The store refused the call with an error code.
    Refused { status: u16, code: String },
    /// The lease does not exist or has lapsed.
    LeaseNotFound,
    /// The value exceeds the store's limit; the call was not sent.
    ValueTooLarge { bytes: usize },
    /// The call was sent, but no complete answer arrived in time, or the store failed internally.
    NoAnswer,
    /// A compare-and-swap got no answer, and another writer has changed the key since.
    Overtaken { revision: u64 },
    /// The answer does not follow the protocol.
    BadAnswer,
    /// The client has stopped.
    Stopped,
}

impl StoreError {
    /// Returns whether the call certainly had no effect.
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
            StoreError::ConnectFailed => write!(f, "store: cannot connect"),
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
                    "store: outcome unknown, another writer changed the key at revision {revision}"
                )
            }
            StoreError::BadAnswer => write!(f, "store: invalid answer"),
            StoreError::Stopped => write!(f, "store: the client has stopped"),
        }
    }
}

impl std::error::Error for StoreError {}
