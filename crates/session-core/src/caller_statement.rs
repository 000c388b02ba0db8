//! A caller's statement in the terms of the session, whatever protocol it arrived in.

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

/// What a prepared statement runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatementShape {
    /// Whether it reads or writes.
    pub mode: AccessMode,
    /// The shape as the caller wrote it.
    pub text: String,
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerStatement {
    /// Opens a transaction.
    Begin(AccessMode),
    /// Ends a transaction and keeps its effects.
    Commit,
    /// Ends a transaction and drops its effects.
    Rollback,
    /// Reads or writes in one statement; the text goes to the endpoint unchanged.
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
    /// Gives a shape a name for the session.
    Prepare {
        /// The caller's name for it.
        name: String,
        /// What it runs.
        shape: StatementShape,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: String,
        /// What follows the name, as the caller wrote it.
        arguments: String,
    },
    /// Drops a prepared name.
    Deallocate {
        /// The caller's name for it.
        name: String,
    },
}
