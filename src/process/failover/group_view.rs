//! One instance's view of a database group.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::process::endpoint_status::EndpointRole;
use crate::process::endpoint_status::EndpointStatus;
use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogPoint;
use crate::request::log_point::LogTerm;
use crate::version::ids::EndpointId;
use crate::version::ids::ZoneId;

/// Number of primary positions that are stored for staleness estimates.
const MAX_SAMPLES: usize = 512;

/// Minimum time between two reports of upstream silence that are counted separately.
const MIN_SILENCE_REPORT_SPACING: Duration = Duration::from_millis(50);

/// An endpoint of the group as the bundle lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMember {
    /// The name of the endpoint.
    pub endpoint: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it accepts no new work; it still counts towards majorities.
    pub leaving: bool,
}

/// The primary of the highest term that was observed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermPrimary {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The term it was promoted for.
    pub term: LogTerm,
    /// When this instance first observed it as the primary of that term.
    pub first_seen: MonotonicTime,
}

/// A period in which no new connection to an endpoint could be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FailureSpan {
    first: MonotonicTime,
    last: MonotonicTime,
}

/// The latest status of one endpoint and its recent failures.
#[derive(Debug, Clone)]
pub struct EndpointView {
    /// Its entry in the bundle.
    pub member: GroupMember,
    /// The latest status it reported.
    pub status: Option<EndpointStatus>,
    /// When that status was requested; the status is no older than this.
    pub requested_at: MonotonicTime,
    answered_at: MonotonicTime,
    /// Consecutive reports of an upstream silence over the limit.
    silent_reports: u32,
    silence_counted_at: MonotonicTime,
    connect_failure: Option<FailureSpan>,
}

impl EndpointView {
    fn new(member: GroupMember) -> Self {
        Self {
            member,
            status: None,
            requested_at: MonotonicTime::default(),
            answered_at: MonotonicTime::default(),
            silent_reports: 0,
            silence_counted_at: MonotonicTime::default(),
            connect_failure: None,
        }
    }

    /// Returns the status if it was requested no longer than `age` ago.
    pub fn fresh_status(&self, age: Duration, now: MonotonicTime) -> Option<&EndpointStatus> {
        let fresh = now.saturating_since(self.requested_at) <= age;
        self.status.as_ref().filter(|_| fresh)
    }

    /// Returns the number of consecutive reports of an upstream silence over the limit.
    pub fn silent_reports(&self) -> u32 {
        self.silent_reports
    }

    fn count_silence(&mut self, requested_at: MonotonicTime, limit: Duration, max_gap: Duration) {
        let silent = self
            .status
            .as_ref()
            .and_then(|status| status.upstream_silence)
            .is_some_and(|silence| silence >= limit);
        let since = requested_at.saturating_since(self.silence_counted_at);
        if !silent {
            self.silent_reports = 0;
        } else if self.silent_reports == 0 || since > max_gap {
            self.silent_reports = 1;
            self.silence_counted_at = requested_at;
        } else if since >= MIN_SILENCE_REPORT_SPACING {
            self.silent_reports += 1;
            self.silence_counted_at = requested_at;
        }
    }
}

/// The latest status of each endpoint, the current primary and its term, and staleness estimates.
#[derive(Debug, Clone)]
pub struct GroupView {
    endpoints: BTreeMap<EndpointId, EndpointView>,
    primary: Option<TermPrimary>,
    /// Points that the current primary reported, each with the time of its request.
    samples: VecDeque<(MonotonicTime, LogPoint)>,
    silence_limit: Duration,
    report_age: Duration,
}

impl GroupView {
    /// Creates a view without any status.
    ///
    /// Reports of an upstream silence of at least `silence_limit` are counted; reports and connect
    /// failures further apart than `report_age` are not counted as consecutive.
    pub fn new(members: Vec<GroupMember>, silence_limit: Duration, report_age: Duration) -> Self {
        let endpoints = members
            .into_iter()
            .map(|member| (member.endpoint.clone(), EndpointView::new(member)))
            .collect();
        Self {
            endpoints,
            primary: None,
            samples: VecDeque::new(),
            silence_limit,
            report_age,
        }
    }

    /// Replaces the members, and keeps the statuses of those that remain.
    pub fn set_members(&mut self, members: Vec<GroupMember>) {
        let mut known = std::mem::take(&mut self.endpoints);
        for member in members {
            let mut view = known
                .remove(&member.endpoint)
                .unwrap_or_else(|| EndpointView::new(member.clone()));
            view.member = member;
            self.endpoints.insert(view.member.endpoint.clone(), view);
        }
    }

    /// Returns the endpoints, sorted by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointView> {
        self.endpoints.values()
    }

    /// Returns the view of one endpoint.
    pub fn endpoint(&self, endpoint: &EndpointId) -> Option<&EndpointView> {
        self.endpoints.get(endpoint)
    }

    /// Returns the number of endpoints of the group.
    pub fn size(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the number of endpoints that form a majority of the group.
    pub fn majority(&self) -> usize {
        self.endpoints.len() / 2 + 1
    }

    /// Records a status that was requested at `requested_at`.
    ///
    /// Answers may arrive out of order. An answer to an earlier request is used only if it reports
    /// a later point, as the answer to a long await call does.
    pub fn record_status(
        &mut self,
        endpoint: &EndpointId,
        status: EndpointStatus,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(view) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        view.connect_failure = None;
        view.answered_at = now;
        let point = status.point;
        let is_primary = status.role == EndpointRole::Primary;
        let newer = view.status.is_none() || requested_at >= view.requested_at;
        if newer {
            view.status = Some(status);
            view.requested_at = requested_at;
            view.count_silence(requested_at, self.silence_limit, self.report_age);
        } else if let Some(known) = &mut view.status
            && point > known.point
            && status.fenced_term >= known.fenced_term
        {
            *known = status;
        }
        if is_primary {
            self.record_primary(endpoint, point, requested_at, now);
        }
    }

    fn record_primary(
        &mut self,
        endpoint: &EndpointId,
        point: LogPoint,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let known_term = self.primary.as_ref().map(|primary| primary.term);
        if known_term.is_none_or(|term| point.term > term) {
            self.samples.clear();
            self.primary = Some(TermPrimary {
                endpoint: endpoint.clone(),
                term: point.term,
                first_seen: now,
            });
        } else if known_term != Some(point.term) {
            return;
        }
        if self
            .samples
            .back()
            .is_none_or(|&(time, _)| requested_at > time)
        {
            self.samples.push_back((requested_at, point));
        }
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Records that an attempt to open a new connection, which began at `requested_at`, failed.
    ///
    /// The period of failure includes the whole attempt, but nothing before the endpoint's last
    /// answer. Attempts further apart than the report age start a new period.
    pub fn record_connect_failure(
        &mut self,
        endpoint: &EndpointId,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let age = self.report_age;
        let Some(view) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let began = requested_at.max(view.answered_at);
        let first = match view.connect_failure {
            Some(span) if began.saturating_since(span.last) <= age => span.first.min(began),
            _ => began,
        };
        view.connect_failure = Some(FailureSpan { first, last: now });
    }

    /// Clears all connect failures, for example after a pause of this process.
    pub fn clear_connect_failures(&mut self) {
        for view in self.endpoints.values_mut() {
            view.connect_failure = None;
        }
    }

    /// Returns the time for which no new connection could be opened, up to the last attempt.
    pub fn unreachable_for(&self, endpoint: &EndpointId, now: MonotonicTime) -> Duration {
        self.endpoints
            .get(endpoint)
            .and_then(|view| view.connect_failure)
            .filter(|span| now.saturating_since(span.last) <= self.report_age)
            .map_or(Duration::ZERO, |span| {
                span.last.saturating_since(span.first)
            })
    }

    /// Returns the primary of the highest term, unless a later term is known to exist.
    pub fn primary(&self) -> Option<&TermPrimary> {
        let highest = self.highest_log_term();
        self.primary.as_ref().filter(|primary| {
            primary.term >= highest && self.endpoints.contains_key(&primary.endpoint)
        })
    }

    /// Returns the primary unless its latest status shows a fence above its term or another role.
    pub fn writable_primary(&self) -> Option<&TermPrimary> {
        let primary = self.primary()?;
        let status = self.endpoints[&primary.endpoint].status.as_ref()?;
        (status.fenced_term <= primary.term && status.role == EndpointRole::Primary)
            .then_some(primary)
    }

    /// Returns the highest term of any log.
    pub fn highest_log_term(&self) -> LogTerm {
        self.statuses()
            .map(|status| status.point.term)
            .max()
            .unwrap_or_default()
    }

    /// Returns the highest term of any log or fence.
    pub fn highest_term(&self) -> LogTerm {
        let fenced = self.statuses().map(|status| status.fenced_term).max();
        self.highest_log_term().max(fenced.unwrap_or_default())
    }

    /// Returns an upper bound of the age of an endpoint's data, if one is known.
    ///
    /// The bound is the age of the newest sample that the endpoint has reached: it holds all that
    /// the primary held when that sample was requested. A sample counts only if a majority of the
    /// group, in answers to requests sent no earlier, was not fenced above the primary's term: until
    /// then no later primary had accepted writes.
    pub fn staleness(&self, endpoint: &EndpointId, now: MonotonicTime) -> Option<Duration> {
        let point = self.endpoints.get(endpoint)?.status.as_ref()?.point;
        let unfenced = self.unfenced_until()?;
        self.samples
            .iter()
            .rev()
            .find(|&&(time, sample)| sample <= point && time <= unfenced)
            .map(|&(time, _)| now.saturating_since(time))
    }

    /// Returns the latest time at which a majority was not fenced above the primary's term.
    fn unfenced_until(&self) -> Option<MonotonicTime> {
        let term = self.primary()?.term;
        let mut times: Vec<_> = self
            .endpoints
            .values()
            .filter(|view| {
                view.status
                    .as_ref()
                    .is_some_and(|status| status.fenced_term <= term)
            })
            .map(|view| view.requested_at)
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.majority() - 1).copied()
    }

    fn statuses(&self) -> impl Iterator<Item = &EndpointStatus> {
        self.endpoints
            .values()
            .filter_map(|view| view.status.as_ref())
    }
}
