//! The replicated state of a stand-in endpoint: role, log, table and fence.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::log::ClientStatement;
use crate::endpoint::log::GroupLog;
use crate::endpoint::log::KeyChange;
use crate::endpoint::log::LogEntry;
use crate::endpoint::status::EndpointReport;

/// A write transaction that this endpoint committed as the primary.
///
/// The record remains if the log entry is later truncated because the log had diverged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedWrite {
    /// Term of the primary that wrote it.
    pub term: u64,
    /// Position of its log entry.
    pub position: u64,
    /// The statements of the transaction as the client sent them.
    pub statements: Vec<ClientStatement>,
}

/// The state of a stand-in endpoint.
#[derive(Debug)]
pub struct EndpointState {
    primary: bool,
    log: GroupLog,
    table: BTreeMap<String, String>,
    fenced_term: u64,
    fenced_by: String,
    followed_term: u64,
    last_contact: Instant,
    executed: Vec<ExecutedWrite>,
    /// Number of the transaction that holds the lock, by key.
    pub row_locks: HashMap<String, u64>,
}

impl EndpointState {
    /// Creates the state of a replica with an empty log, or of the primary of term 1.
    pub fn new(primary: bool, time: Instant) -> Self {
        let mut state = Self {
            primary,
            log: GroupLog::default(),
            table: BTreeMap::new(),
            fenced_term: 0,
            fenced_by: String::new(),
            followed_term: 0,
            last_contact: time,
            executed: Vec::new(),
            row_locks: HashMap::new(),
        };
        if primary {
            state.start_term(1, time);
        }
        state
    }

    /// Returns whether the endpoint is the primary.
    pub fn is_primary(&self) -> bool {
        self.primary
    }

    /// Returns the log.
    pub fn log(&self) -> &GroupLog {
        &self.log
    }

    /// Returns the committed table.
    pub fn table(&self) -> &BTreeMap<String, String> {
        &self.table
    }

    /// Returns the write transactions that this endpoint committed as the primary.
    pub fn executed(&self) -> &[ExecutedWrite] {
        &self.executed
    }

    /// Returns the term and the position of the last log entry.
    pub fn point(&self) -> (u64, u64) {
        (self.log.last_start().term, self.log.position())
    }

    /// Returns the report of the platform functions.
    pub fn report(&self, time: Instant) -> EndpointReport {
        let start = self.log.last_start();
        let silence = time
            .saturating_duration_since(self.last_contact)
            .as_millis();
        EndpointReport {
            role: if self.primary { "primary" } else { "replica" }.to_owned(),
            term: start.term,
            position: self.log.position(),
            start: start.position,
            fenced_term: self.fenced_term,
            fenced_by: self.fenced_by.clone(),
            upstream_silence_ms: (!self.primary)
                .then_some(u64::try_from(silence).unwrap_or(u64::MAX)),
        }
    }

    /// Fences the endpoint at a term if the term is higher than that of the last fence; a primary of a
    /// lower term steps down.
    pub fn fence(&mut self, term: u64, proposer: &str, time: Instant) {
        if term > self.fenced_term {
            self.fenced_term = term;
            self.fenced_by = proposer.to_owned();
            if self.primary && term > self.point().0 {
                self.step_down(time);
            }
        }
    }

    /// Promotes the endpoint if it is fenced at exactly this term by this proposer, and the term is
    /// later than that of its log and not earlier than that of the primary that it follows.
    pub fn promote(&mut self, term: u64, proposer: &str, time: Instant) {
        let fenced = self.fenced_term == term && self.fenced_by == proposer;
        if fenced && term > self.point().0 && term >= self.followed_term {
            self.primary = true;
            self.start_term(term, time);
        }
    }

    /// Appends a transaction to the log if the endpoint is the primary; returns whether it is.
    pub fn commit(
        &mut self,
        changes: Vec<KeyChange>,
        statements: Vec<ClientStatement>,
        time: Instant,
    ) -> bool {
        if !self.primary {
            return false;
        }
        let term = self.point().0;
        let position = self.append(
            LogEntry {
                term,
                changes,
                statements: statements.clone(),
            },
            time,
        );
        self.executed.push(ExecutedWrite {
            term,
            position,
            statements,
        });
        true
    }

    /// Records an answer of the primary of a term; returns whether the endpoint follows this primary.
    pub fn record_primary(&mut self, term: u64, time: Instant) -> bool {
        let lowest = self.fenced_term.max(self.followed_term).max(self.point().0);
        if term < lowest || (self.primary && term <= self.point().0) {
            return false;
        }
        if self.primary {
            self.step_down(time);
        }
        self.followed_term = term;
        self.last_contact = time;
        true
    }

    /// Replaces all entries after position `base` by those received from the primary.
    pub fn follow(&mut self, base: u64, entries: Vec<LogEntry>, time: Instant) {
        if base < self.log.position() {
            self.log.truncate(base);
            self.table.clear();
            for entry in self.log.entries() {
                apply(&mut self.table, &entry.changes);
            }
        }
        for entry in entries {
            self.append(entry, time);
        }
    }

    fn append(&mut self, entry: LogEntry, time: Instant) -> u64 {
        apply(&mut self.table, &entry.changes);
        self.log.append(entry, time)
    }

    fn start_term(&mut self, term: u64, time: Instant) {
        let entry = LogEntry {
            term,
            changes: Vec::new(),
            statements: Vec::new(),
        };
        self.append(entry, time);
    }

    fn step_down(&mut self, time: Instant) {
        self.primary = false;
        self.last_contact = time;
    }
}

fn apply(table: &mut BTreeMap<String, String>, changes: &[KeyChange]) {
    for change in changes {
        match &change.value {
            Some(value) => table.insert(change.key.clone(), value.clone()),
            None => table.remove(&change.key),
        };
    }
}
