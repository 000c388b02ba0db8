//! Transaction state of a session.

use serde::Deserialize;
use serde::Serialize;

/// The transaction state of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction failed and has not been ended yet.
    Failed,
}
