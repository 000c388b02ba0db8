//! What the callers of a run sent and heard.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// What a caller was told of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is kept.
    Acknowledged,
    /// Nothing of it is kept.
    NotApplied,
    /// Neither.
    Unknown,
}

/// A write with a value that is written once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedWrite {
    /// The item.
    pub item: String,
    /// The value.
    pub value: u64,
    /// What the caller was told.
    pub outcome: WriteOutcome,
}

/// A request that was sent.
#[derive(Debug, Clone)]
pub struct ObservedRequest {
    /// The team whose key was sent.
    pub team: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// The value that its session set.
    pub set_value: String,
}

/// A time during which a team had no key; it ends where the key is given back.
#[derive(Debug, Clone)]
pub struct KeyGap {
    /// The team.
    pub team: String,
    /// When the withdrawal was accepted.
    pub from: Instant,
    /// When another configuration with the key was sent.
    pub to: Option<Instant>,
}

/// What the callers of a run sent and heard.
#[derive(Debug, Default)]
pub struct ObservedHistory {
    /// Requests by their ids.
    pub requests: HashMap<String, ObservedRequest>,
    /// Writes.
    pub writes: Vec<ObservedWrite>,
    /// Times without keys.
    pub key_gaps: Vec<KeyGap>,
    /// Requests whose connections ended during planned work, with the time since they were sent.
    pub unanswered: Vec<(String, Duration)>,
    /// What callers found wrong themselves.
    pub complaints: Vec<String>,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were refused or got no answer.
    pub failed: u64,
    acknowledged: HashMap<String, Vec<(Instant, u64)>>,
}

impl ObservedHistory {
    /// Takes a request that is about to be sent.
    pub fn sends(&mut self, id: String, team: &str, set_value: &str) {
        let request = ObservedRequest {
            team: team.to_owned(),
            sent_at: Instant::now(),
            set_value: set_value.to_owned(),
        };
        self.requests.insert(id, request);
    }

    /// Takes what a caller was told of a write.
    pub fn wrote(&mut self, item: &str, value: u64, outcome: WriteOutcome) {
        if outcome == WriteOutcome::Acknowledged {
            let known = self.acknowledged.entry(item.to_owned()).or_default();
            known.push((Instant::now(), value));
        }
        self.writes.push(ObservedWrite {
            item: item.to_owned(),
            value,
            outcome,
        });
    }

    /// Returns the newest value of an item that was acknowledged at least `age` ago.
    pub fn acknowledged(&self, item: &str, age: Duration) -> u64 {
        let known = self.acknowledged.get(item).into_iter().flatten();
        known
            .filter(|(at, _)| at.elapsed() >= age)
            .map(|(_, value)| *value)
            .max()
            .unwrap_or(0)
    }

    /// Takes a request whose connection ended without an answer during planned work.
    pub fn unanswered(&mut self, id: String) {
        if let Some(request) = self.requests.get(&id) {
            self.unanswered.push((id, request.sent_at.elapsed()));
        }
    }

    /// Whether a read of an item must not give `seen` after `least` was acknowledged. A write with an
    /// unknown outcome may take effect after later ones, as its bytes may have been held up.
    pub fn is_stale(&self, item: &str, seen: u64, least: u64) -> bool {
        let comes_late = |write: &ObservedWrite| {
            write.outcome == WriteOutcome::Unknown && write.value == seen && write.item == item
        };
        seen < least && !self.writes.iter().any(comes_late)
    }

    /// Takes what a caller found wrong.
    pub fn complains(&mut self, complaint: String) {
        self.complaints.push(complaint);
    }
}
