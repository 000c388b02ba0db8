//! Requests, writes and answers of a run, as its callers observed them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Outcome of a write, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was committed.
    Acknowledged,
    /// The write had no effect.
    NotApplied,
    /// The write may or may not have been applied.
    Unknown,
}

/// A write; no two writes of a run have the same item and value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedWrite {
    /// Item that was written.
    pub item: String,
    /// Value that was written.
    pub value: u64,
    /// Outcome that was reported to the caller.
    pub outcome: WriteOutcome,
}

/// The transaction in which a request must run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionScope {
    /// None.
    Outside,
    /// The one that the request with this id began.
    Inside(String),
    /// Not known, as the answer to an earlier request is missing.
    Unknown,
}

/// A request that was sent, and the state of its session at that time.
#[derive(Debug, Clone)]
pub struct ObservedRequest {
    /// Team whose key was sent.
    pub team: String,
    /// When the request was sent.
    pub sent_at: Instant,
    /// The statement.
    pub text: String,
    /// Mode and text of the definition that the session last prepared under the name that the
    /// statement executes; `None` if it executes none or the name is not prepared.
    pub definition: Option<String>,
    /// Values that the session had set.
    pub values: BTreeMap<String, String>,
    /// Transaction in which the request must run.
    pub scope: TransactionScope,
}

impl ObservedRequest {
    /// Creates a request that is about to be sent by a session without values, prepared names and
    /// transaction.
    pub fn new(team: &str, text: &str) -> Self {
        Self {
            team: team.to_owned(),
            sent_at: Instant::now(),
            text: text.to_owned(),
            definition: None,
            values: BTreeMap::new(),
            scope: TransactionScope::Outside,
        }
    }
}

/// A successful answer to a read, write or commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedAnswer {
    /// Id of the request.
    pub id: String,
    /// The rows, in order.
    pub rows: Vec<String>,
    /// The line with the receipt.
    pub last_line: String,
}

/// A period in which the key of a team was withdrawn.
#[derive(Debug, Clone)]
pub struct KeyGap {
    /// Team whose key was withdrawn.
    pub team: String,
    /// When the withdrawal was accepted.
    pub from: Instant,
    /// When a configuration with the key was about to be submitted again; `None` until then.
    pub to: Option<Instant>,
}

/// A period in which an availability zone was evacuated.
#[derive(Debug, Clone)]
pub struct ZoneEvacuation {
    /// The zone.
    pub zone: String,
    /// When the store had accepted the key.
    pub from: Instant,
    /// When the key was about to be removed; `None` until then.
    pub to: Option<Instant>,
}

/// A period in which an endpoint was cold and every instance that may use it knew that.
#[derive(Debug, Clone)]
pub struct ColdSpell {
    /// The endpoint.
    pub endpoint: String,
    /// Time after which no instance takes the endpoint for warm.
    pub from: Instant,
    /// When the endpoint became warm.
    pub to: Instant,
}

/// Everything that the callers of a run observed.
#[derive(Debug, Default)]
pub struct ObservedHistory {
    /// Requests by id.
    pub requests: HashMap<String, ObservedRequest>,
    /// Successful answers of reads, writes and commits.
    pub answers: Vec<ObservedAnswer>,
    /// Writes with their reported outcomes.
    pub writes: Vec<ObservedWrite>,
    /// Periods in which keys were withdrawn.
    pub key_gaps: Vec<KeyGap>,
    /// Periods in which availability zones were evacuated.
    pub evacuations: Vec<ZoneEvacuation>,
    /// Periods in which endpoints were cold.
    pub cold_spells: Vec<ColdSpell>,
    /// Ids of requests whose connections ended during planned work, with the time from sending the
    /// request to the end of its connection.
    pub unanswered: Vec<(String, Duration)>,
    /// Violations that were detected during the run.
    pub violations: Vec<String>,
    /// Number of requests that succeeded.
    pub served: u64,
    /// Number of requests that were refused or not answered.
    pub failed: u64,
    acknowledged: HashMap<String, Vec<(Instant, u64)>>,
}

impl ObservedHistory {
    /// Records a request that is about to be sent.
    pub fn record_request(&mut self, id: String, request: ObservedRequest) {
        self.requests.insert(id, request);
    }

    /// Changes the transaction in which a request must run, once earlier answers have told it.
    pub fn set_scope(&mut self, id: &str, scope: TransactionScope) {
        if let Some(request) = self.requests.get_mut(id) {
            request.scope = scope;
        }
    }

    /// Records a write and its reported outcome.
    pub fn record_write(&mut self, item: &str, value: u64, outcome: WriteOutcome) {
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

    /// Returns the highest value of an item that was acknowledged at least `age` ago, or 0 if there
    /// is none. Values of an item rise with each write.
    pub fn newest_acknowledged(&self, item: &str, age: Duration) -> u64 {
        let known = self.acknowledged.get(item).into_iter().flatten();
        known
            .filter(|(at, _)| at.elapsed() >= age)
            .map(|(_, value)| *value)
            .max()
            .unwrap_or(0)
    }

    /// Records a request whose connection ended without an answer during planned work.
    pub fn record_unanswered(&mut self, id: String) {
        if let Some(request) = self.requests.get(&id) {
            self.unanswered.push((id, request.sent_at.elapsed()));
        }
    }

    /// Returns whether reading `value` after `acknowledged` had been acknowledged is a stale read.
    /// The value of a write with an unknown outcome is allowed: its bytes may have been delayed in
    /// a link, so that it takes effect after later writes.
    pub fn is_stale(&self, item: &str, value: u64, acknowledged: u64) -> bool {
        let may_apply_late = |write: &ObservedWrite| {
            write.outcome == WriteOutcome::Unknown && write.value == value && write.item == item
        };
        value < acknowledged && !self.writes.iter().any(may_apply_late)
    }

    /// Records a violation.
    pub fn record_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }
}
