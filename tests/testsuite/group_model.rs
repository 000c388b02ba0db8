//! An endpoint in memory: a log, a fence and the four calls of the endpoint interface.

use std::collections::HashMap;
use std::time::Duration;

use tamaracklb::process::endpoint_status::EndpointRole;
use tamaracklb::process::endpoint_status::EndpointStatus;
use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::log_point::LogPosition;
use tamaracklb::request::log_point::LogTerm;

/// A log entry; value 0 is the first entry that a promotion writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelEntry {
    pub term: u64,
    pub value: u64,
}

/// The log of each primary of each term, which replication reads from.
pub type TermLogs = HashMap<(u64, usize), Vec<ModelEntry>>;

/// Rules of the endpoint interface that a test can switch off.
#[derive(Debug, Clone, Copy)]
pub struct ModelRules {
    /// A fenced endpoint takes no entries and no writes of lower terms.
    pub fence_holds: bool,
    /// A primary that is fenced at a higher term becomes a replica at once.
    pub fence_demotes: bool,
    /// A promotion fails where the log already has entries of a higher term.
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
    pub heard_at: u64,
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
            heard_at: 0,
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
                .then(|| Duration::from_millis(now - self.heard_at)),
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
                self.heard_at = now;
            }
            self.fenced_term = term;
            self.fenced_by = proposer.to_owned();
        }
    }

    /// Returns whether this call made the endpoint the primary of the term.
    pub fn promote(&mut self, term: u64, proposer: &str, logs: &mut TermLogs) -> bool {
        let fenced = self.fenced_term == term && self.fenced_by == proposer;
        let done = self.is_primary() && self.term() == term;
        let late = self.rules.promote_checks_log && self.term() > term;
        if done || late || !fenced {
            return false;
        }
        self.role = EndpointRole::Primary;
        self.log.push(ModelEntry { term, value: 0 });
        logs.insert((term, self.index), self.log.clone());
        true
    }

    /// Takes the first `len` entries of the log of a primary.
    pub fn append(&mut self, term: u64, from: usize, len: usize, logs: &TermLogs, now: u64) {
        let fenced = self.rules.fence_holds && term < self.fenced_term;
        if fenced || term < self.term() || (self.is_primary() && term == self.term()) {
            return;
        }
        self.role = EndpointRole::Replica;
        self.heard_at = now;
        let source = &logs[&(term, from)];
        // Entries of one term come from one primary, so that only an older tail can differ.
        let same = if self.term() == term {
            self.log.len()
        } else {
            let pairs = self.log.iter().zip(source);
            pairs.take_while(|(a, b)| a == b).count()
        };
        self.log.truncate(same);
        if len > same {
            self.log.extend_from_slice(&source[same..len]);
        }
    }
}
