//! Counts the use of each objective's error budget, by team and service.
//!
//! Refusals within the team's rate, unknown outcomes and time without a primary use up the budget.
//! Refusals above the rate do not, and neither do those that a caller causes: a withdrawn key, a
//! team without access to the service, an unknown service, a transaction held open too long.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::process::burn_page::BurnPage;
use crate::process::burn_page::BurnRow;
use crate::process::burn_page::BurnSpan;
use crate::process::burn_window::BurnCounts;
use crate::process::burn_window::BurnWindow;
use crate::process::timers::MonotonicTime;
use crate::request::ports::RequestRecord;
use crate::request::refusal::RequestRefusal;
use crate::version::bundle::BundleConfig;
use crate::version::bundle::ObjectiveConfig;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;

/// The windows reported for every objective besides its own, in seconds.
pub const BURN_SPANS_S: [u64; 4] = [300, 3600, 6 * 3600, 72 * 3600];

const SHARDS: usize = 16;

/// Time after the start that does not count as time without a primary, because the instance has not
/// queried the endpoints yet.
const START_GRACE: Duration = Duration::from_secs(10);

/// How a request counts against the objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// It was answered.
    Good,
    /// It burns the budget.
    Bad,
    /// It does not count.
    Excluded,
}

/// Returns how a request counts, by its refusal; `None` is an answered request.
pub fn classify_request(refusal: Option<RequestRefusal>) -> RequestVerdict {
    match refusal {
        None => RequestVerdict::Good,
        Some(
            RequestRefusal::AboveRate
            | RequestRefusal::KeyWithdrawn
            | RequestRefusal::TeamNotAllowed
            | RequestRefusal::UnknownService
            | RequestRefusal::TransactionDeadline,
        ) => RequestVerdict::Excluded,
        Some(
            RequestRefusal::QueueFull
            | RequestRefusal::QueueDeadline
            | RequestRefusal::NoPrimary
            | RequestRefusal::NoEndpoint
            | RequestRefusal::Isolated
            | RequestRefusal::Draining
            | RequestRefusal::OutcomeUnknown,
        ) => RequestVerdict::Bad,
    }
}

#[derive(Debug, Default)]
struct ServiceState {
    window: BurnWindow,
    absent_since: Option<MonotonicTime>,
    /// Whether time without a primary counts: a primary has been found or the grace has passed.
    counts_absence: bool,
}

type TeamShard = Mutex<HashMap<(TeamId, ServiceId), BurnWindow>>;

/// The counts of one instance since its start.
#[derive(Debug)]
pub struct BurnReport {
    instance: InstanceId,
    started: MonotonicTime,
    teams: Vec<TeamShard>,
    services: Mutex<HashMap<ServiceId, ServiceState>>,
}

impl BurnReport {
    /// Creates empty counts.
    pub fn new(instance: InstanceId, started: MonotonicTime) -> Self {
        Self {
            instance,
            started,
            teams: (0..SHARDS).map(|_| Mutex::default()).collect(),
            services: Mutex::default(),
        }
    }

    /// Counts a request that ended.
    pub fn record_request(&self, record: &RequestRecord, now: MonotonicTime) {
        let mut counts = BurnCounts::default();
        match classify_request(record.refusal) {
            RequestVerdict::Good => counts.good = 1,
            RequestVerdict::Bad => counts.bad = 1,
            RequestVerdict::Excluded => counts.excluded = 1,
        }
        let key = (record.team.clone(), record.service.clone());
        let mut shard = lock(&self.teams[shard_index(&key)]);
        shard.entry(key).or_default().add(counts, now);
    }

    /// Records whether a service has a primary; call it at each change and at least once a minute.
    ///
    /// Before the first primary is found, time without one counts only once it exceeds
    /// `START_GRACE`.
    pub fn record_primary(&self, service: &ServiceId, present: bool, now: MonotonicTime) {
        let mut services = lock(&self.services);
        let state = services.entry(service.clone()).or_default();
        let since = *state.absent_since.get_or_insert(now);
        let absent = now.saturating_since(since);
        if !state.counts_absence && absent < START_GRACE {
            state.counts_absence = present;
            state.absent_since = (!present).then_some(since);
            return;
        }
        state.counts_absence = true;
        let counts = BurnCounts {
            absent_ms: whole_ms(absent),
            ..BurnCounts::default()
        };
        state.window.add(counts, now);
        state.absent_since = (!present).then_some(now);
    }

    /// Returns the counts over the windows of every objective, with the burn rates.
    pub fn page(&self, bundle: &BundleConfig, now: MonotonicTime) -> BurnPage {
        let mut rows = Vec::new();
        for objective in &bundle.objectives {
            let absent = self.absent_spans(objective, now);
            let teams = self.team_spans(objective, now);
            let mut total = absent.clone();
            for spans in teams.values() {
                for (sum, span) in total.iter_mut().zip(spans) {
                    sum.add(*span);
                }
            }
            rows.push(self.row(objective, None, &total, now));
            for (team, mut spans) in teams {
                for (span, absent) in spans.iter_mut().zip(&absent) {
                    span.absent_ms = absent.absent_ms;
                }
                rows.push(self.row(objective, Some(team), &spans, now));
            }
        }
        BurnPage {
            instances: vec![self.instance.clone()],
            rows,
        }
    }

    fn row(
        &self,
        objective: &ObjectiveConfig,
        team: Option<TeamId>,
        spans: &[BurnCounts],
        now: MonotonicTime,
    ) -> BurnRow {
        let age = now.saturating_since(self.started);
        let spans = objective_spans(objective)
            .iter()
            .zip(spans)
            .map(|(&span, &counts)| BurnSpan {
                span_s: span.as_secs(),
                covered_ms: whole_ms(age.min(span)),
                counts,
            })
            .collect();
        BurnRow {
            service: objective.service.clone(),
            team,
            target: objective.target,
            window_hours: objective.window_hours,
            spans,
        }
    }

    fn absent_spans(&self, objective: &ObjectiveConfig, now: MonotonicTime) -> Vec<BurnCounts> {
        let services = lock(&self.services);
        let state = services.get(&objective.service);
        let sum = |span: Duration| {
            let mut counts =
                state.map_or(BurnCounts::default(), |state| state.window.sum(span, now));
            // An outage that is still going on is not in the window yet.
            let since = state
                .filter(|state| state.counts_absence)
                .and_then(|state| state.absent_since);
            let open = since.map_or(Duration::ZERO, |since| now.saturating_since(since));
            counts.absent_ms += whole_ms(open);
            counts.absent_ms = counts.absent_ms.min(whole_ms(span));
            counts
        };
        objective_spans(objective).into_iter().map(sum).collect()
    }

    fn team_spans(
        &self,
        objective: &ObjectiveConfig,
        now: MonotonicTime,
    ) -> BTreeMap<TeamId, Vec<BurnCounts>> {
        let spans = objective_spans(objective);
        let mut teams = BTreeMap::new();
        for shard in &self.teams {
            for ((team, service), window) in lock(shard).iter() {
                if *service == objective.service {
                    let sums = spans.iter().map(|&span| window.sum(span, now)).collect();
                    teams.insert(team.clone(), sums);
                }
            }
        }
        teams
    }
}

/// Returns the fixed windows and, if it differs, the objective's own.
fn objective_spans(objective: &ObjectiveConfig) -> Vec<Duration> {
    let own = u64::from(objective.window_hours) * 3600;
    let mut spans: Vec<u64> = BURN_SPANS_S.to_vec();
    if !spans.contains(&own) {
        spans.push(own);
    }
    spans.into_iter().map(Duration::from_secs).collect()
}

fn shard_index(key: &(TeamId, ServiceId)) -> usize {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    usize::try_from(hasher.finish() % SHARDS as u64).unwrap_or(0)
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

// Each update is a plain addition, so the counts stay valid if a holder of the lock panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
