//! The status that an endpoint reports.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::request::log_point::LogPoint;
use crate::request::log_point::LogPosition;
use crate::request::log_point::LogTerm;

/// Returns the statement that calls a platform function and returns a nonce as the last column.
pub fn marked_query(call: &str, nonce: &str) -> String {
    format!("SELECT *, '{nonce}' AS marker FROM {call}")
}

/// The columns of a status row, in order.
pub const STATUS_COLUMNS: [&str; 7] = [
    "role",
    "term",
    "position",
    "start",
    "fenced_term",
    "fenced_by",
    "upstream_silence_ms",
];

/// The role of an endpoint in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRole {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary.
    Replica,
}

/// The answer to a status, await, fence or promote statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EndpointStatus {
    /// The endpoint's role.
    pub role: EndpointRole,
    /// The point of the last log entry that the endpoint holds.
    pub point: LogPoint,
    /// The position at which its current term began.
    pub start: LogPosition,
    /// The highest term at which it was fenced; it accepts no entries of lower terms.
    pub fenced_term: LogTerm,
    /// The proposer that fenced it at that term; empty if it was never fenced.
    pub fenced_by: String,
    /// On a replica, the time since it last received anything from its primary.
    pub upstream_silence: Option<Duration>,
}

/// Why a status row could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatusError {
    /// The row does not have the columns of [`STATUS_COLUMNS`].
    ColumnCount { columns: usize },
    /// A column has no value or an invalid one.
    BadColumn { column: &'static str },
}

impl fmt::Display for StatusError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StatusError::ColumnCount { columns } => {
                write!(
                    f,
                    "status row has {columns} columns, not {}",
                    STATUS_COLUMNS.len()
                )
            }
            StatusError::BadColumn { column } => write!(f, "status column {column} is invalid"),
        }
    }
}

impl std::error::Error for StatusError {}

impl EndpointStatus {
    /// Reads a status from the text values of a row in the order of [`STATUS_COLUMNS`].
    pub fn from_text_row(row: &[Option<&str>]) -> Result<Self, StatusError> {
        let &[role, term, position, start, fenced_term, fenced_by, silence] = row else {
            return Err(StatusError::ColumnCount { columns: row.len() });
        };
        let role = match role {
            Some("primary") => EndpointRole::Primary,
            Some("replica") => EndpointRole::Replica,
            _ => return Err(StatusError::BadColumn { column: "role" }),
        };
        let upstream_silence = match silence {
            None | Some("") => None,
            some => Some(Duration::from_millis(parse_number(
                some,
                "upstream_silence_ms",
            )?)),
        };
        Ok(Self {
            role,
            point: LogPoint::new(
                parse_number(term, "term")?,
                parse_number(position, "position")?,
            ),
            start: LogPosition(parse_number(start, "start")?),
            fenced_term: LogTerm(parse_number(fenced_term, "fenced_term")?),
            fenced_by: fenced_by.unwrap_or_default().to_owned(),
            upstream_silence,
        })
    }
}

fn parse_number(value: Option<&str>, column: &'static str) -> Result<u64, StatusError> {
    value
        .and_then(|text| text.parse().ok())
        .ok_or(StatusError::BadColumn { column })
}
