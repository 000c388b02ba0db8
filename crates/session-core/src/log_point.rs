//! Positions in the log of a database group.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// The term of a database group; each promotion starts a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogTerm(pub u64);

impl fmt::Display for LogTerm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A position in the log within a term.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A point in the log of a group, ordered by term first and position second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPoint {
    /// The term of the last entry.
    pub term: LogTerm,
    /// The position of the last entry.
    pub position: LogPosition,
}

impl LogPoint {
    /// Creates a point from plain numbers.
    pub const fn new(term: u64, position: u64) -> Self {
        Self {
            term: LogTerm(term),
            position: LogPosition(position),
        }
    }
}

impl fmt::Display for LogPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.position)
    }
}

/// Why a text could not be parsed as a log point.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogPointError {
    /// The text has no `/` between term and position.
    MissingSlash,
    /// Term or position is not a number.
    BadNumber,
}

impl fmt::Display for LogPointError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogPointError::MissingSlash => write!(f, "log point has no '/'"),
            LogPointError::BadNumber => write!(f, "term or position is not a number"),
        }
    }
}

impl std::error::Error for LogPointError {}

impl FromStr for LogPoint {
    type Err = LogPointError;

    fn from_str(text: &str) -> Result<Self, LogPointError> {
        let (term, position) = text.split_once('/').ok_or(LogPointError::MissingSlash)?;
        let term = term.parse().map_err(|_| LogPointError::BadNumber)?;
        let position = position.parse().map_err(|_| LogPointError::BadNumber)?;
        Ok(Self::new(term, position))
    }
}
