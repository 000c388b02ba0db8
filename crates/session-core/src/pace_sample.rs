//! Observations of single reads, as instances report them to the first instance of their zone.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint_entry::EndpointEntry;

/// One run of an endpoint, as a hash of its id and its start time. A restarted endpoint has a new
/// tag, so that nothing observed before the restart applies to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointTag(pub u32);

impl EndpointTag {
    /// Returns the tag of an endpoint.
    pub fn of(entry: &EndpointEntry) -> Self {
        Self(short_hash(&(entry.id.as_str(), entry.born)))
    }
}

/// A kind of work whose statements take about the same time: the hash of a database name, because
/// the routes of a service differ in the length of their statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkKind(pub u32);

impl WorkKind {
    /// Returns the kind of a database's statements.
    pub fn of(database: &str) -> Self {
        Self(short_hash(&database))
    }
}

fn short_hash(value: &impl Hash) -> u32 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish() as u32
}

/// Time that an endpoint took for a statement, in tenths of a millisecond, at most 6.5 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StatementTime(pub u16);

impl StatementTime {
    /// Returns the time in milliseconds.
    pub fn as_millis(self) -> f32 {
        f32::from(self.0) / 10.0
    }
}

impl From<Duration> for StatementTime {
    fn from(time: Duration) -> Self {
        Self(u16::try_from(time.as_micros() / 100).unwrap_or(u16::MAX))
    }
}

/// The outcome of one read at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PaceSample {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// The kind of the read.
    pub kind: WorkKind,
    /// The time from sending the statement to its answer, or `None` if the endpoint refused, broke
    /// or failed it.
    pub took: Option<StatementTime>,
}
