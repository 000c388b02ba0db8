//! Detects from the reports of endpoints and watchers that a group needs a promotion.

use std::time::Duration;

use crate::process::endpoint_status::EndpointRole;
use crate::process::endpoint_status::EndpointStatus;
use crate::process::failover::failover_limits::FailoverLimits;
use crate::process::failover::failure_evidence::FailureEvidence;
use crate::process::failover::failure_evidence::WatcherReport;
use crate::process::failover::group_view::EndpointView;
use crate::process::failover::group_view::GroupView;
use crate::process::failover::group_view::TermPrimary;
use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogTerm;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;

/// Number of consecutive reports of upstream silence that count as evidence.
///
/// A replica that was itself frozen reports a long silence once, right after it resumes.
const MIN_SILENT_REPORTS: u32 = 2;

/// Applies the rules of failure detection to a view of the group.
///
/// Missing, late and refused answers are never evidence, and neither is the state of the store.
#[derive(Debug, Clone)]
pub struct FailureDetector {
    limits: FailoverLimits,
    fenced_since: Option<(LogTerm, MonotonicTime)>,
    stranded_since: Option<(EndpointId, MonotonicTime)>,
    last_checked_at: MonotonicTime,
    /// The largest number of watchers that was ever known.
    max_watchers: usize,
}

impl FailureDetector {
    /// Creates a detector with the given limits.
    pub fn new(limits: FailoverLimits) -> Self {
        Self {
            limits,
            fenced_since: None,
            stranded_since: None,
            last_checked_at: MonotonicTime::default(),
            max_watchers: 0,
        }
    }

    /// Returns the evidence for a promotion, if there is enough.
    ///
    /// `watchers` are all instances that watch the group, including `own`. An instance that is cut
    /// off may know fewer watchers than there are, so a majority is always one of the largest
    /// number it has known.
    pub fn detect(
        &mut self,
        view: &GroupView,
        own: &InstanceId,
        watchers: &[InstanceId],
        reports: &[WatcherReport],
        now: MonotonicTime,
    ) -> Option<FailureEvidence> {
        let pause = now.saturating_since(self.last_checked_at) > self.limits.report_age;
        self.last_checked_at = now;
        if pause {
            self.fenced_since = None;
            self.stranded_since = None;
        }
        self.max_watchers = self.max_watchers.max(watchers.len());
        let fenced = self.check_fenced_primary(view, now);
        let stranded = self.check_stranded_replica(view, now);
        self.check_silence(view, now)
            .or_else(|| self.check_connections(view, own, watchers, reports, now))
            .or(fenced)
            .or(stranded)
    }

    fn check_silence(&self, view: &GroupView, now: MonotonicTime) -> Option<FailureEvidence> {
        let primary = view.primary();
        if let Some(primary) = primary {
            let grace = self.limits.upstream_silence + self.limits.attach_grace;
            if now.saturating_since(primary.first_seen) < grace {
                return None;
            }
        }
        let others = view.size() - usize::from(primary.is_some());
        let reporters: Vec<EndpointId> = view
            .endpoints()
            .filter(|endpoint| primary.is_none_or(|p| p.endpoint != endpoint.member.endpoint))
            .filter(|endpoint| self.is_silent(endpoint, now))
            .map(|endpoint| endpoint.member.endpoint.clone())
            .collect();
        (reporters.len() > others / 2).then_some(FailureEvidence::UpstreamSilence { reporters })
    }

    fn is_silent(&self, endpoint: &EndpointView, now: MonotonicTime) -> bool {
        let is_replica = |status: &EndpointStatus| status.role == EndpointRole::Replica;
        endpoint.silent_reports() >= MIN_SILENT_REPORTS
            && endpoint
                .fresh_status(self.limits.report_age, now)
                .is_some_and(is_replica)
    }

    fn check_connections(
        &self,
        view: &GroupView,
        own: &InstanceId,
        watchers: &[InstanceId],
        reports: &[WatcherReport],
        now: MonotonicTime,
    ) -> Option<FailureEvidence> {
        let primary = view.primary()?;
        let limit = self.limits.connect_failure;
        let failing: Vec<InstanceId> = watchers
            .iter()
            .filter(|&watcher| {
                if watcher == own {
                    view.unreachable_for(&primary.endpoint, now) >= limit
                } else {
                    reports.iter().any(|report| {
                        report.instance == *watcher && self.confirms_failure(report, primary, now)
                    })
                }
            })
            .cloned()
            .collect();
        (failing.len() > self.max_watchers / 2)
            .then_some(FailureEvidence::ConnectFailure { watchers: failing })
    }

    fn confirms_failure(
        &self,
        report: &WatcherReport,
        primary: &TermPrimary,
        now: MonotonicTime,
    ) -> bool {
        report.primary == primary.endpoint
            && report.unreachable_for >= self.limits.connect_failure
            && now.saturating_since(report.received_at) <= self.limits.report_age
    }

    fn check_fenced_primary(
        &mut self,
        view: &GroupView,
        now: MonotonicTime,
    ) -> Option<FailureEvidence> {
        let primary = view.primary()?;
        let fences = self.fences_above(view, primary.term, now);
        let on_primary = fences.iter().any(|(id, _)| *id == primary.endpoint);
        let term = fences.iter().map(|&(_, term)| term).max();
        let Some(term) = term.filter(|_| on_primary || fences.len() >= view.majority()) else {
            self.fenced_since = None;
            return None;
        };
        let since = match self.fenced_since {
            Some((known, since)) if known == term => since,
            _ => now,
        };
        self.fenced_since = Some((term, since));
        has_lasted(since, self.limits.upstream_silence, now)
            .then_some(FailureEvidence::PrimaryFenced { term })
    }

    fn check_stranded_replica(
        &mut self,
        view: &GroupView,
        now: MonotonicTime,
    ) -> Option<FailureEvidence> {
        let primary = view.primary()?;
        let fences = self.fences_above(view, primary.term, now);
        let Some((endpoint, term)) = fences.into_iter().max_by_key(|&(_, term)| term) else {
            self.stranded_since = None;
            return None;
        };
        let since = match &self.stranded_since {
            Some((known, since)) if *known == endpoint => *since,
            _ => now,
        };
        self.stranded_since = Some((endpoint.clone(), since));
        has_lasted(since, self.limits.stranded_replica, now)
            .then_some(FailureEvidence::ReplicaStranded { endpoint, term })
    }

    fn fences_above(
        &self,
        view: &GroupView,
        term: LogTerm,
        now: MonotonicTime,
    ) -> Vec<(EndpointId, LogTerm)> {
        view.endpoints()
            .filter_map(|endpoint| {
                let status = endpoint.fresh_status(self.limits.report_age, now)?;
                (status.fenced_term > term)
                    .then(|| (endpoint.member.endpoint.clone(), status.fenced_term))
            })
            .collect()
    }
}

fn has_lasted(since: MonotonicTime, limit: Duration, now: MonotonicTime) -> bool {
    now.saturating_since(since) >= limit
}
