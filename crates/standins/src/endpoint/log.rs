//! The replicated log of a group.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// The new value, or `None` if the key is removed.
    pub value: Option<String>,
}

/// A statement as the client sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientStatement {
    /// The text.
    pub text: String,
    /// The parameters, as text.
    pub parameters: Vec<Option<String>>,
}

/// One committed transaction, or the empty first entry of a term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the primary that wrote it.
    pub term: u64,
    /// Changes of the transaction.
    pub changes: Vec<KeyChange>,
    /// Write statements of the transaction.
    pub statements: Vec<ClientStatement>,
}

/// Start of a term in a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStart {
    /// The term.
    pub term: u64,
    /// Position of its first entry.
    pub position: u64,
}

/// Terms and length of a log, from which the point where two logs diverge can be computed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogOutline {
    /// The start of each term, in order.
    pub starts: Vec<TermStart>,
    /// The position of the last entry; 0 for an empty log.
    pub length: u64,
}

impl LogOutline {
    /// Returns the start of the term that a position belongs to.
    fn start_at(&self, position: u64) -> TermStart {
        let after = self.starts.partition_point(|s| s.position <= position);
        match after.checked_sub(1) {
            Some(index) => self.starts[index],
            None => TermStart {
                term: 0,
                position: 0,
            },
        }
    }

    /// Returns the last position up to which two logs are equal.
    ///
    /// A term has one primary, so entries with the same term and position are equal.
    pub fn common_length(&self, other: &LogOutline) -> u64 {
        let mut position = self.length.min(other.length);
        while position > 0 {
            let ours = self.start_at(position);
            let theirs = other.start_at(position);
            if ours.term == theirs.term {
                return position;
            }
            position = ours.position.max(theirs.position).saturating_sub(1);
        }
        0
    }
}

/// The log of one endpoint. Positions start at 1.
#[derive(Debug, Default)]
pub struct GroupLog {
    entries: Vec<LogEntry>,
    append_times: Vec<Instant>,
    outline: LogOutline,
}

impl GroupLog {
    /// Returns the outline of the log.
    pub fn outline(&self) -> &LogOutline {
        &self.outline
    }

    /// Returns the entries; the first has position 1.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Returns the position of the last entry.
    pub fn position(&self) -> u64 {
        self.outline.length
    }

    /// Returns the start of the term of the last entry.
    pub fn last_start(&self) -> TermStart {
        self.outline.start_at(self.outline.length)
    }

    /// Returns the time at which the entry after a position was appended, or `None` if there is none.
    pub fn append_time_after(&self, position: u64) -> Option<Instant> {
        self.append_times
            .get(usize::try_from(position).unwrap_or(usize::MAX))
            .copied()
    }

    /// Appends an entry and returns its position.
    pub fn append(&mut self, entry: LogEntry, time: Instant) -> u64 {
        let position = self.outline.length + 1;
        if self.outline.starts.last().map(|s| s.term) != Some(entry.term) {
            self.outline.starts.push(TermStart {
                term: entry.term,
                position,
            });
        }
        self.entries.push(entry);
        self.append_times.push(time);
        self.outline.length = position;
        position
    }

    /// Removes all entries after a position.
    pub fn truncate(&mut self, position: u64) {
        let length = usize::try_from(position).unwrap_or(usize::MAX);
        self.entries.truncate(length);
        self.append_times.truncate(length);
        self.outline.length = self.outline.length.min(position);
        self.outline.starts.retain(|s| s.position <= position);
    }
}
