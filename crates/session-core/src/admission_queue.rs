//! Orders the requests that wait for an endpoint, and refuses those that would wait too long.
//!
//! Teams share the endpoint by start-time fair queueing: each team has a virtual time that advances
//! by the expected duration of its requests, and the team that is least far goes first. Priorities
//! come before that, and a lower one gets a small part of the work so that it does not starve.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::TeamId;
use crate::monotonic_time::MonotonicTime;
use crate::pace_sample::WorkKind;
use crate::work_pace::WorkPace;

/// Fraction of the work of more urgent requests that a waiting lower priority gets in addition.
const LOWER_FRACTION: f64 = 0.1;

/// Maximum work in milliseconds that a lower priority may be owed: one long statement.
const MAX_OWED_MS: f64 = 100.0;

/// Maximum number of waiting requests. More than these are not served within a quarter of any
/// target latency.
const MAX_WAITING: usize = 128;

/// A request for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Team of its session, `None` on a public route.
    pub team: Option<TeamId>,
    /// Its kind of work.
    pub kind: WorkKind,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Number of requests of its session that were refused since the last one that was served.
    pub refusals: u32,
    /// The time that it may wait.
    pub wait: Duration,
}

/// What the limiter may run at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionPace {
    /// Number of statements that may run at once; below one, the fraction of the time.
    pub limit: f64,
    /// Whether a statement may start now.
    pub has_capacity: bool,
    /// Remaining pause until the next statement may start.
    pub pause: Duration,
}

#[derive(Debug, Clone)]
struct WaitingRequest {
    team: Option<TeamId>,
    priority: u8,
    refusals: u32,
    work_ms: f64,
    wait: Duration,
    end: MonotonicTime,
}

/// The requests that wait for one endpoint.
#[derive(Debug, Clone, Default)]
pub struct AdmissionQueue {
    /// Waiting requests by their number, which is in order of arrival.
    waiting: BTreeMap<u64, WaitingRequest>,
    next_number: u64,
    /// Virtual time of the request that started last, in milliseconds of work.
    started_ms: f64,
    /// Virtual time at which the next request of a team may start, where that is later.
    next_start_ms: BTreeMap<Option<TeamId>, f64>,
    /// Work that is owed to the requests of a priority while more urgent ones start.
    owed_ms: BTreeMap<u8, f64>,
    pace: WorkPace,
}

impl AdmissionQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records the time for which a statement occupied the limiter.
    pub fn record_work(&mut self, kind: WorkKind, held: Duration, now: MonotonicTime) {
        self.pace.record(kind, held, now);
    }

    /// Adds a request. Returns its number, or `None` if it cannot be expected to start within its
    /// waiting time.
    pub fn enqueue(
        &mut self,
        request: &AdmissionRequest,
        pace: AdmissionPace,
        now: MonotonicTime,
    ) -> Option<u64> {
        if self.waiting.len() >= MAX_WAITING {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let waiting = WaitingRequest {
            team: request.team.clone(),
            priority: request.priority,
            refusals: request.refusals,
            work_ms: self.pace.expected_ms(request.kind),
            wait: request.wait,
            end: now + request.wait,
        };
        self.waiting.insert(number, waiting);
        if self.is_late(number, Duration::ZERO, pace, now) {
            self.waiting.remove(&number);
            return None;
        }
        Some(number)
    }

    /// Returns the number of the request that starts next.
    pub fn first(&self) -> Option<u64> {
        let owed = self.owed_ms.iter().rev();
        let mut due = owed.filter_map(|(priority, owed_ms)| {
            let number = self.first_of(*priority)?;
            let work_ms = self.waiting.get(&number)?.work_ms.min(MAX_OWED_MS);
            (*owed_ms >= work_ms).then_some(number)
        });
        due.next().or_else(|| {
            let priorities = self.waiting.values().map(|request| request.priority);
            self.first_of(priorities.min()?)
        })
    }

    /// Removes a request that starts.
    pub fn start(&mut self, number: u64) {
        let Some(request) = self.waiting.remove(&number) else {
            return;
        };
        self.started_ms = self.start_ms(&request.team).max(self.started_ms);
        self.next_start_ms
            .insert(request.team, self.started_ms + request.work_ms);
        let started_ms = self.started_ms;
        self.next_start_ms.retain(|_, next| *next > started_ms);
        if let Some(owed_ms) = self.owed_ms.get_mut(&request.priority) {
            *owed_ms = (*owed_ms - request.work_ms).max(0.0);
        }
        self.owe_lower(request.priority, request.work_ms);
    }

    /// Removes a request that does not wait any more.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    /// Returns whether a waiting request cannot be expected to start in time any more. Half of its
    /// waiting time is allowed in addition, since the estimate varies with each statement.
    pub fn is_hopeless(&mut self, number: u64, pace: AdmissionPace, now: MonotonicTime) -> bool {
        let slack = self.waiting.get(&number).map(|request| request.wait / 2);
        slack.is_some_and(|slack| self.is_late(number, slack, pace, now))
    }

    fn owe_lower(&mut self, priority: u8, work_ms: f64) {
        let mut waiting: Vec<u8> = self.waiting.values().map(|r| r.priority).collect();
        waiting.sort_unstable();
        waiting.dedup();
        self.owed_ms.retain(|other, _| waiting.contains(other));
        for other in waiting.into_iter().filter(|other| *other > priority) {
            let owed_ms = self.owed_ms.entry(other).or_default();
            *owed_ms = (*owed_ms + LOWER_FRACTION * work_ms).min(MAX_OWED_MS);
        }
    }

    fn first_of(&self, priority: u8) -> Option<u64> {
        let requests = self.waiting.iter();
        let of_priority = requests.filter(|(_, request)| request.priority == priority);
        let first = of_priority.min_by(|a, b| self.order(*a, *b));
        first.map(|(number, _)| *number)
    }

    /// Orders requests of one priority: by the virtual time of their teams, then by the refusals of
    /// their sessions, most first, then by arrival.
    fn order(&self, a: (&u64, &WaitingRequest), b: (&u64, &WaitingRequest)) -> Ordering {
        let starts = (self.start_ms(&a.1.team), self.start_ms(&b.1.team));
        starts
            .0
            .total_cmp(&starts.1)
            .then(b.1.refusals.cmp(&a.1.refusals))
            .then(a.0.cmp(b.0))
    }

    fn start_ms(&self, team: &Option<TeamId>) -> f64 {
        let next_ms = self.next_start_ms.get(team).copied();
        next_ms.map_or(self.started_ms, |next_ms| next_ms.max(self.started_ms))
    }

    fn is_late(
        &mut self,
        number: u64,
        slack: Duration,
        pace: AdmissionPace,
        now: MonotonicTime,
    ) -> bool {
        let Some(request) = self.waiting.get(&number) else {
            return false;
        };
        let remaining = request.end.saturating_since(now) + slack;
        if pace.pause > remaining {
            return true;
        }
        // Without a statement in the last second the pace is not known.
        let Some(observed) = self.pace.parallel(now) else {
            return false;
        };
        let parallel = pace.limit.max(observed).max(0.01);
        let ahead_ms = self.work_ahead_ms(number);
        if pace.has_capacity && ahead_ms == 0.0 {
            return false;
        }
        let expected_ms = pace.pause.as_secs_f64() * 1_000.0 + ahead_ms / parallel;
        expected_ms > remaining.as_secs_f64() * 1_000.0
    }

    /// Returns the work that starts before a request, in milliseconds.
    fn work_ahead_ms(&self, number: u64) -> f64 {
        let Some(own) = self.waiting.get(&number) else {
            return 0.0;
        };
        let mut urgent_ms = 0.0;
        let mut own_ms = 0.0;
        let mut others: BTreeMap<&Option<TeamId>, (f64, f64)> = BTreeMap::new();
        for (other, request) in &self.waiting {
            let goes_first = (request.refusals, number) > (own.refusals, *other);
            if request.priority < own.priority {
                urgent_ms += request.work_ms;
            } else if request.priority > own.priority || *other == number {
                continue;
            } else if request.team != own.team {
                let (total_ms, longest_ms) = others.entry(&request.team).or_default();
                *total_ms += request.work_ms;
                *longest_ms = longest_ms.max(request.work_ms);
            } else if goes_first {
                own_ms += request.work_ms;
            }
        }
        // Each other team runs what its virtual time allows until that of this request is reached.
        let start_ms = self.start_ms(&own.team) + own_ms;
        let others_ms = others.iter().map(|(team, (total_ms, longest_ms))| {
            let until_ms = (start_ms - self.start_ms(team)).max(0.0) + longest_ms;
            until_ms.min(*total_ms)
        });
        let equal_ms = own_ms + others_ms.sum::<f64>();
        let guaranteed_ms = (equal_ms + own.work_ms) / LOWER_FRACTION;
        (urgent_ms + equal_ms).min(guaranteed_ms)
    }
}
