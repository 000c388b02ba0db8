//! A caller's statement, independent of the protocol in which it arrived.

use serde::Deserialize;
use serde::Serialize;

/// Whether a statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AccessMode {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// The access mode and text of a prepared statement.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StatementDefinition {
    /// Whether it reads or writes.
    pub mode: AccessMode,
    /// The text as the caller wrote it.
    pub text: String,
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerStatement {
    /// Opens a transaction.
    Begin(AccessMode),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// A single read or write, whose text is sent to the endpoint unchanged.
    Direct {
        /// Whether it reads or writes.
        mode: AccessMode,
        /// The statement as the caller wrote it.
        text: String,
    },
    /// Sets a value of the session.
    Set {
        /// The name of the value.
        name: String,
        /// The value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The caller's name for it.
        name: String,
        /// The statement to prepare.
        definition: StatementDefinition,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: String,
        /// The text after the name, as the caller wrote it.
        arguments: String,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: String,
    },
}
