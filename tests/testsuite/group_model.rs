//! In-memory model of an endpoint: a log, a fence and the calls of the endpoint interface.

use std::collections::HashMap;
use std::time::Duration;

use tamaracklb::process::endpoint_status::EndpointRole;
use tamaracklb::process::endpoint_status::EndpointStatus;
use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::log_point::LogPosition;
use tamaracklb::request::log_point::LogTerm;

/// A log entry; value 0 marks the first entry that a promotion writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelEntry {
    pub term: u64,
    pub value: u64,
}

/// Logs that replication reads, by term and by index of the term's primary.
pub type TermLogs = HashMap<(u64, usize), Vec<ModelEntry>>;

/// Rules of the endpoint interface that a test can switch off.
#[derive(Debug, Clone, Copy)]
pub struct ModelRules {
    /// A fenced endpoint rejects entries and writes of lower terms.
    pub fence_holds: bool,
    /// A primary that is fenced at a higher term immediately becomes a replica.
    pub fence_demotes: bool,
    /// A promotion fails if the log already has entries of a higher term.
    pub promote_checks_log: bool,
}

impl Default for ModelRules {
    fn default() -> Self {
        Self {
            fence_holds: true,
            fence_demotes: true,
            promote_checks_log: true,
        }
    }
}

#[derive(Debug, Clone)]
pub struct ModelEndpoint {
    pub index: usize,
    pub log: Vec<ModelEntry>,
    pub role: EndpointRole,
    pub fenced_term: u64,
    pub fenced_by: String,
    pub last_contact_at: u64,
    pub rules: ModelRules,
}

impl ModelEndpoint {
    pub fn new(index: usize, rules: ModelRules) -> Self {
        Self {
            index,
            log: vec![ModelEntry { term: 1, value: 0 }],
            role: if index == 0 {
                EndpointRole::Primary
            } else {
                EndpointRole::Replica
            },
            fenced_term: 0,
            fenced_by: String::new(),
            last_contact_at: 0,
            rules,
        }
    }

    pub fn is_primary(&self) -> bool {
        self.role == EndpointRole::Primary
    }

    pub fn term(&self) -> u64 {
        self.log.last().map_or(0, |entry| entry.term)
    }

    pub fn point(&self) -> LogPoint {
        LogPoint::new(self.term(), self.log.len() as u64)
    }

    pub fn status(&self, now: u64) -> EndpointStatus {
        let term = self.term();
        let start = self.log.partition_point(|entry| entry.term < term);
        EndpointStatus {
            role: self.role,
            point: self.point(),
            start: LogPosition(start as u64),
            fenced_term: LogTerm(self.fenced_term),
            fenced_by: self.fenced_by.clone(),
            upstream_silence: (!self.is_primary())
                .then(|| Duration::from_millis(now - self.last_contact_at)),
        }
    }

    pub fn write(&mut self, value: u64, logs: &mut TermLogs) -> bool {
        let term = self.term();
        let fenced = self.rules.fence_holds && self.fenced_term > term;
        if !self.is_primary() || fenced {
            return false;
        }
        self.log.push(ModelEntry { term, value });
        let entry = ModelEntry { term, value };
        logs.entry((term, self.index)).or_default().push(entry);
        true
    }

    pub fn fence(&mut self, term: u64, proposer: &str, now: u64) {
        if term > self.fenced_term {
            if self.rules.fence_demotes && self.is_primary() && term > self.term() {
                self.role = EndpointRole::Replica;
                self.last_contact_at = now;
            }
            self.fenced_term = term;
            self.fenced_by = proposer.to_owned();
        }
    }

    /// Promotes the endpoint if `proposer` has fenced it at `term`; returns whether this call did
    /// so.
    pub fn promote(&mut self, term: u64, proposer: &str, logs: &mut TermLogs) -> bool {
        let fenced = self.fenced_term == term && self.fenced_by == proposer;
        let is_promoted = self.is_primary() && self.term() == term;
        let is_superseded = self.rules.promote_checks_log && self.term() > term;
        if is_promoted || is_superseded || !fenced {
            return false;
        }
        self.role = EndpointRole::Primary;
        self.log.push(ModelEntry { term, value: 0 });
        logs.insert((term, self.index), self.log.clone());
        true
    }

    /// Replicates the first `len` entries of the log of the primary `from` in `term`.
    pub fn append(&mut self, term: u64, from: usize, len: usize, logs: &TermLogs, now: u64) {
        let fenced = self.rules.fence_holds && term < self.fenced_term;
        if fenced || term < self.term() || (self.is_primary() && term == self.term()) {
            return;
        }
        self.role = EndpointRole::Replica;
        self.last_contact_at = now;
        let source = &logs[&(term, from)];
        // All entries of a term come from one primary, so only a tail of an older term can differ.
        let common = if self.term() == term {
            self.log.len()
        } else {
            let pairs = self.log.iter().zip(source);
            pairs.take_while(|(a, b)| a == b).count()
        };
        self.log.truncate(common);
        if len > common {
            self.log.extend_from_slice(&source[common..len]);
        }
    }
}
