//! A bounded journal of the decisions of one instance, and the merging of several journals.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

use crate::process::journal_decision::DecisionEvidence;
use crate::process::journal_decision::JournalDecision;
use crate::process::wall_time::WallTime;
use crate::request::ports::RequestRecord;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;

/// Maximum number of entries in the journal of an instance.
pub const MAX_JOURNAL_ENTRIES: usize = 4096;

/// Maximum number of distinct refusal sums within one period.
const MAX_REFUSAL_SUMS: usize = 1024;

/// An entry of the journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct JournalEntry {
    /// The sequence number on its instance, without gaps.
    pub sequence: u64,
    /// The time of the decision.
    pub time: WallTime,
    /// The decision.
    pub decision: JournalDecision,
    /// The evidence on which it is based.
    #[serde(default)]
    pub evidence: Vec<DecisionEvidence>,
}

/// Consecutive entries from the journal of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct JournalPage {
    /// The instance.
    pub instance: InstanceId,
    /// A number that differs for each start of the instance.
    pub incarnation: u64,
    /// Number of entries evicted from the full journal since the start.
    pub dropped: u64,
    /// The entries in the order of their sequence numbers.
    pub entries: Vec<JournalEntry>,
}

/// An entry of a merged journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MergedEntry {
    /// The instance that made the decision.
    pub instance: InstanceId,
    /// The entry.
    #[serde(flatten)]
    pub entry: JournalEntry,
}

impl fmt::Display for MergedEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = &self.entry;
        write!(f, "{} {} {}", entry.time, self.instance, entry.decision)?;
        for evidence in &entry.evidence {
            write!(f, "\n    because {evidence}")?;
        }
        Ok(())
    }
}

type RefusalKey = (TeamId, ServiceId, RequestRefusal);

#[derive(Debug, Default)]
struct JournalState {
    entries: VecDeque<JournalEntry>,
    next_sequence: u64,
    refusals: HashMap<RefusalKey, u64>,
    counts: BTreeMap<(&'static str, Option<ServiceId>), u64>,
}

/// The journal of one instance.
#[derive(Debug)]
pub struct DecisionJournal {
    instance: InstanceId,
    incarnation: u64,
    capacity: usize,
    state: Mutex<JournalState>,
}

impl DecisionJournal {
    /// Creates an empty journal that keeps at most `capacity` entries.
    pub fn new(instance: InstanceId, incarnation: u64, capacity: usize) -> Self {
        Self {
            instance,
            incarnation,
            capacity: capacity.max(1),
            state: Mutex::default(),
        }
    }

    /// Appends a decision; a full journal evicts its oldest entry.
    pub fn append(
        &self,
        time: WallTime,
        decision: JournalDecision,
        evidence: Vec<DecisionEvidence>,
    ) {
        let mut state = self.lock();
        push_entry(&mut state, self.capacity, time, decision, evidence);
    }

    /// Counts a refused request towards the next sum; ignores answered requests.
    pub fn record_request(&self, record: &RequestRecord) {
        let Some(refusal) = record.refusal else {
            return;
        };
        let key = (record.team.clone(), record.service.clone(), refusal);
        let mut state = self.lock();
        if state.refusals.len() < MAX_REFUSAL_SUMS || state.refusals.contains_key(&key) {
            *state.refusals.entry(key).or_default() += 1;
        }
    }

    /// Appends one entry for each team, service and refusal counted since the last call.
    pub fn sum_refusals(&self, time: WallTime) {
        let mut state = self.lock();
        let sums: BTreeMap<String, (RefusalKey, u64)> = std::mem::take(&mut state.refusals)
            .into_iter()
            .map(|(key, count)| (format!("{} {} {:?}", key.0, key.1, key.2), (key, count)))
            .collect();
        for ((team, service, refusal), count) in sums.into_values() {
            let decision = JournalDecision::Refused {
                team,
                service,
                refusal,
                count,
            };
            push_entry(&mut state, self.capacity, time, decision, Vec::new());
        }
    }

    /// Returns the entries after a sequence number, or all entries.
    pub fn page(&self, after: Option<u64>) -> JournalPage {
        let state = self.lock();
        let is_later = |entry: &&JournalEntry| after.is_none_or(|after| entry.sequence > after);
        JournalPage {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            dropped: state.next_sequence - state.entries.len() as u64,
            entries: state.entries.iter().filter(is_later).cloned().collect(),
        }
    }

    /// Returns the number of appended decisions by kind and service, evicted ones included.
    pub fn counts(&self) -> BTreeMap<(&'static str, Option<ServiceId>), u64> {
        self.lock().counts.clone()
    }

    // A panic while the lock is held leaves complete entries, so the journal stays valid.
    fn lock(&self) -> MutexGuard<'_, JournalState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn push_entry(
    state: &mut JournalState,
    capacity: usize,
    time: WallTime,
    decision: JournalDecision,
    evidence: Vec<DecisionEvidence>,
) {
    if state.entries.len() == capacity {
        state.entries.pop_front();
    }
    let kind = (decision.kind(), decision.service().cloned());
    *state.counts.entry(kind).or_default() += 1;
    let sequence = state.next_sequence;
    state.next_sequence += 1;
    state.entries.push_back(JournalEntry {
        sequence,
        time,
        decision,
        evidence,
    });
}

/// Merges the journals of several instances by time; duplicate entries are merged into one.
///
/// Entries of one instance keep their order even if its clock was set back.
pub fn merge_journals(pages: Vec<JournalPage>) -> Vec<MergedEntry> {
    let mut merged = BTreeMap::new();
    for page in pages {
        let mut latest = WallTime::default();
        for entry in page.entries {
            latest = latest.max(entry.time);
            let key = (
                latest,
                page.instance.clone(),
                page.incarnation,
                entry.sequence,
            );
            let instance = page.instance.clone();
            merged.insert(key, MergedEntry { instance, entry });
        }
    }
    merged.into_values().collect()
}
