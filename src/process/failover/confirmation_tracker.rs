//! Tracks which log points a majority of a group holds, and completes the waits for them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::process::endpoint_status::EndpointRole;
use crate::process::endpoint_status::EndpointStatus;
use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogPoint;
use crate::request::log_point::LogPosition;
use crate::request::log_point::LogTerm;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;

/// Number of terms for which reports are stored; waits for older terms end at their deadline.
const MAX_TERMS: usize = 16;

/// Identifies one waiter of a [`ConfirmationTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfirmationId(pub u64);

/// A waiter and the outcome of its wait.
pub type ConfirmationOutcome = (ConfirmationId, Result<(), RequestRefusal>);

/// A wait for a point that `primary` reported.
#[derive(Debug, Clone)]
struct ConfirmationWaiter {
    primary: EndpointId,
    deadline: MonotonicTime,
}

/// What one endpoint has reported so far.
#[derive(Debug, Clone, Default)]
struct EndpointEvidence {
    /// The highest position in each of the last terms, reported while not fenced above that term.
    held: BTreeMap<LogTerm, LogPosition>,
    /// The highest term that it follows or is fenced at; it accepts no entries of lower terms.
    min_term: LogTerm,
}

impl EndpointEvidence {
    fn held_in(&self, term: LogTerm) -> Option<LogPoint> {
        let position = *self.held.get(&term)?;
        Some(LogPoint { term, position })
    }
}

/// Records the reports of endpoints and ends the waits that they decide.
///
/// Reports do not expire: an endpoint that held a point before it was fenced at a later term
/// reports that point, or a higher one, to the proposer of the fence.
#[derive(Debug, Clone)]
pub struct ConfirmationTracker {
    evidence: BTreeMap<EndpointId, EndpointEvidence>,
    primaries: BTreeMap<LogTerm, EndpointId>,
    waiters: BTreeMap<(LogPoint, ConfirmationId), ConfirmationWaiter>,
    deadlines: BTreeSet<(MonotonicTime, LogPoint, ConfirmationId)>,
    next_id: u64,
}

impl ConfirmationTracker {
    /// Creates a tracker for a group of these endpoints.
    pub fn new(members: &[EndpointId]) -> Self {
        let evidence = members
            .iter()
            .map(|member| (member.clone(), EndpointEvidence::default()))
            .collect();
        Self {
            evidence,
            primaries: BTreeMap::new(),
            waiters: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            next_id: 0,
        }
    }

    /// Replaces the members, and keeps the reports of those that remain.
    pub fn set_members(&mut self, members: &[EndpointId]) {
        let mut known = std::mem::take(&mut self.evidence);
        for member in members {
            let evidence = known.remove(member).unwrap_or_default();
            self.evidence.insert(member.clone(), evidence);
        }
    }

    /// Returns the number of open waits.
    pub fn waiter_count(&self) -> usize {
        self.waiters.len()
    }

    /// Registers a wait for a point that the primary reported at the end of a transaction.
    ///
    /// The caller must have checked that this report had the role primary and a fenced term no
    /// higher than the term of the point.
    pub fn register(
        &mut self,
        primary: EndpointId,
        point: LogPoint,
        deadline: MonotonicTime,
    ) -> ConfirmationId {
        self.next_id += 1;
        let id = ConfirmationId(self.next_id);
        self.waiters
            .insert((point, id), ConfirmationWaiter { primary, deadline });
        self.deadlines.insert((deadline, point, id));
        id
    }

    /// Removes a wait whose caller has gone away.
    pub fn cancel(&mut self, id: ConfirmationId) {
        let key = self
            .waiters
            .keys()
            .find(|&&(_, other)| other == id)
            .copied();
        if let Some((point, id)) = key {
            self.remove(point, id);
        }
    }

    /// Records a status of an endpoint.
    pub fn record(&mut self, endpoint: &EndpointId, status: &EndpointStatus) {
        let term = status.point.term;
        if status.role == EndpointRole::Primary {
            self.primaries
                .entry(term)
                .or_insert_with(|| endpoint.clone());
            while self.primaries.len() > MAX_TERMS {
                self.primaries.pop_first();
            }
        }
        let Some(evidence) = self.evidence.get_mut(endpoint) else {
            return;
        };
        evidence.min_term = evidence.min_term.max(term).max(status.fenced_term);
        if status.fenced_term <= term {
            let held = evidence.held.entry(term).or_default();
            *held = (*held).max(status.point.position);
            while evidence.held.len() > MAX_TERMS {
                evidence.held.pop_first();
            }
        }
    }

    /// Returns whether the primary of a term is known.
    pub fn has_primary(&self, term: LogTerm) -> bool {
        self.primaries.contains_key(&term)
    }

    /// Ends the waits that are confirmed, can no longer be confirmed, or are past their deadline.
    pub fn complete_waits(&mut self, now: MonotonicTime) -> Vec<ConfirmationOutcome> {
        let mut ended = Vec::new();
        let terms: BTreeSet<LogTerm> = self.waiters.keys().map(|(point, _)| point.term).collect();
        for term in terms {
            self.complete_term(term, &mut ended);
        }
        while let Some(&(deadline, point, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.remove(point, id);
            ended.push((id, Err(RequestRefusal::OutcomeUnknown)));
        }
        ended
    }

    fn complete_term(&mut self, term: LogTerm, ended: &mut Vec<ConfirmationOutcome>) {
        let Some(primary) = self.primaries.get(&term).cloned() else {
            return;
        };
        let confirmed = self.confirmed_point(term, &primary);
        let lost = self.is_lost(term, &primary);
        let range = (
            LogPoint {
                term,
                ..LogPoint::default()
            },
            ConfirmationId(0),
        )..(LogPoint::new(term.0 + 1, 0), ConfirmationId(0));
        let decided: Vec<_> = self
            .waiters
            .range(range)
            .filter_map(|(&(point, id), waiter)| {
                // The transaction ran on an endpoint that is not the primary of this term, so it ran
                // before that endpoint lost its role. The point does not cover its writes.
                if waiter.primary != primary {
                    Some((point, id, Err(RequestRefusal::OutcomeUnknown)))
                } else if confirmed.is_some_and(|confirmed| point <= confirmed) {
                    Some((point, id, Ok(())))
                } else {
                    lost.then_some((point, id, Err(RequestRefusal::OutcomeUnknown)))
                }
            })
            .collect();
        for (point, id, result) in decided {
            self.remove(point, id);
            ended.push((id, result));
        }
    }

    /// Returns the highest point of a term that is held by a majority including the primary.
    fn confirmed_point(&self, term: LogTerm, primary: &EndpointId) -> Option<LogPoint> {
        let majority = self.evidence.len() / 2 + 1;
        if majority == 1 {
            return Some(LogPoint::new(term.0, u64::MAX));
        }
        let mut held: Vec<LogPoint> = self
            .evidence
            .iter()
            .filter(|&(endpoint, _)| endpoint != primary)
            .filter_map(|(_, evidence)| evidence.held_in(term))
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        held.get(majority - 2).copied()
    }

    /// Returns whether no further point of a term can be confirmed, because its primary or too many
    /// endpoints have moved to a later term.
    fn is_lost(&self, term: LogTerm, primary: &EndpointId) -> bool {
        let majority = self.evidence.len() / 2 + 1;
        let has_left = |endpoint: &EndpointId| {
            self.evidence
                .get(endpoint)
                .is_some_and(|evidence| evidence.min_term > term)
        };
        let left = self
            .evidence
            .keys()
            .filter(|endpoint| has_left(endpoint))
            .count();
        has_left(primary) || self.evidence.len() - left < majority
    }

    /// Returns the lowest awaited point of the newest term that this endpoint has not reported yet.
    ///
    /// The answer reports the endpoint's current position, so it serves all waits up to there.
    pub fn next_await(&self, endpoint: &EndpointId) -> Option<LogPoint> {
        let evidence = self.evidence.get(endpoint)?;
        let term = self.waiters.last_key_value()?.0.0.term;
        if evidence.min_term > term {
            return None;
        }
        let held = evidence.held_in(term);
        let from = held.unwrap_or(LogPoint {
            term,
            ..LogPoint::default()
        });
        self.waiters
            .range((from, ConfirmationId(0))..)
            .find(|&(&(point, _), waiter)| Some(point) > held && waiter.primary != *endpoint)
            .map(|(&(point, _), _)| point)
    }

    fn remove(&mut self, point: LogPoint, id: ConfirmationId) {
        if let Some(waiter) = self.waiters.remove(&(point, id)) {
            self.deadlines.remove(&(waiter.deadline, point, id));
        }
    }
}
