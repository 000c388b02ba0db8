//! Decides the next step of a promotion from the reports of the group's endpoints.
//!
//! A primary acknowledges a commit once a replica has received it, so its own log has every commit
//! that it ever acknowledged. The promoted endpoint has them all for one of these reasons:
//!
//! - The former primary answers. It is made a replica first and acknowledges nothing afterwards, so
//!   an endpoint whose log reaches as far as its log lacks nothing. Endpoints that join, leave, are
//!   resumed or restart meanwhile do not matter, since the former primary's log alone counts.
//! - The former primary does not answer, or no endpoint can catch up with it. Once no instance passes
//!   its acknowledgements on, the endpoint with the furthest log is promoted, provided that every
//!   endpoint that may hold an acknowledged commit has reported since. A replica that left may have
//!   been the only one with a commit, until a commit is acknowledged by another one.
//!
//! An acknowledged commit is lost with its holders only if the former primary and a replica have
//! both gone from the registry.

use crate::endpoint_entry::GroupRole;
use crate::ids::EndpointId;
use crate::log_point::LogPoint;
use crate::log_point::LogTerm;

/// The role and log state that an endpoint reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointReport {
    /// The role that it reports for itself.
    pub role: GroupRole,
    /// Its current term.
    pub term: LogTerm,
    /// The point of the last log entry that it has received.
    pub received: LogPoint,
    /// The term up to which it refuses log entries; zero if it is not paused.
    pub paused_term: LogTerm,
}

/// One endpoint of a group during a promotion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SurveyedEndpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its report, or `None` if it did not answer.
    pub report: Option<EndpointReport>,
    /// Whether it is about to leave the group.
    pub draining: bool,
    /// Whether the registry lists it. An endpoint whose entry is gone may still replicate; it counts
    /// if it answers, but cannot be promoted.
    pub listed: bool,
}

/// The endpoints of a group and what is known of those that are not among them.
#[derive(Debug, Clone, Copy)]
pub struct SurveyedGroup<'a> {
    /// The endpoints, surveyed at the same time.
    pub members: &'a [SurveyedEndpoint],
    /// The primary to be replaced.
    pub former: Option<&'a EndpointId>,
    /// Whether each acknowledged commit is held by an endpoint of the survey besides the former
    /// primary: a commit was acknowledged after the last replica had left.
    pub holders_known: bool,
    /// An earlier position of the former primary. A replica that has reached it is following.
    pub earlier_point: Option<LogPoint>,
}

/// The next step of a promotion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionStep {
    /// Make the former primary a replica, then survey again.
    Demote {
        /// The former primary.
        endpoint: EndpointId,
        /// A term higher than any reported one.
        term: LogTerm,
    },
    /// Promote this endpoint, which has every acknowledged commit.
    Promote {
        /// The endpoint.
        target: EndpointId,
        /// Whether the former primary can still acknowledge commits. The survey must then have been
        /// taken after all instances stopped passing its acknowledgements on.
        former_may_acknowledge: bool,
    },
    /// This endpoint is already the new primary: an earlier promotion took effect.
    Leads(EndpointId),
    /// Wait, since an endpoint that may be the only one with some acknowledged commits does not
    /// answer, or no endpoint can take over.
    Wait,
}

impl SurveyedGroup<'_> {
    /// Returns the next step.
    pub fn next_step(&self) -> PromotionStep {
        let Some(newest) = self.reports().map(|(_, report)| report.term).max() else {
            return PromotionStep::Wait;
        };
        let leader = self.reports().find(|(member, report)| {
            report.role == GroupRole::Primary
                && report.term == newest
                && self.former.is_some_and(|id| *id != member.id)
        });
        if let Some((member, _)) = leader {
            return PromotionStep::Leads(member.id.clone());
        }
        let former = self.members.iter().find(|member| self.is_former(member));
        let Some(former) = former.filter(|former| former.listed || former.report.is_some()) else {
            return self.promote_furthest(!self.has_silent());
        };
        let Some(report) = former.report else {
            return self.promote_furthest(!self.has_silent() && self.holders_known);
        };
        if report.role == GroupRole::Primary {
            return match self.can_be_replaced() {
                true => PromotionStep::Demote {
                    endpoint: former.id.clone(),
                    term: LogTerm(newest.0 + 1),
                },
                false => PromotionStep::Wait,
            };
        }
        if self.replica_reports().any(|r| r.received > report.received) {
            // The former primary restarted without its log.
            return self.promote_furthest(!self.has_silent());
        }
        self.promote_after_demotion(former, report.received)
    }

    fn reports(&self) -> impl Iterator<Item = (&SurveyedEndpoint, EndpointReport)> {
        self.members.iter().filter_map(|m| m.report.map(|r| (m, r)))
    }

    fn is_former(&self, member: &SurveyedEndpoint) -> bool {
        self.former == Some(&member.id)
    }

    /// Returns the reports of the endpoints other than the former primary.
    fn replica_reports(&self) -> impl Iterator<Item = EndpointReport> {
        let replicas = self.reports().filter(|(member, _)| !self.is_former(member));
        replicas.map(|(_, report)| report)
    }

    /// Returns the endpoints other than the former primary that can be promoted.
    fn candidates(&self) -> impl Iterator<Item = (&SurveyedEndpoint, EndpointReport)> {
        let replicas = self.reports().filter(|(member, _)| !self.is_former(member));
        replicas.filter(|(member, _)| member.listed)
    }

    /// Returns whether a listed endpoint other than the former primary does not answer.
    fn has_silent(&self) -> bool {
        let mut others = self.members.iter().filter(|m| !self.is_former(m));
        others.any(|member| member.listed && member.report.is_none())
    }

    /// Returns whether another endpoint could be promoted if the former primary were demoted now.
    fn can_be_replaced(&self) -> bool {
        let follows = |report: EndpointReport| {
            self.earlier_point
                .is_some_and(|point| report.received >= point)
        };
        let complete = !self.has_silent() && self.holders_known;
        self.candidates()
            .any(|(_, report)| complete || follows(report))
    }

    /// Promotes an endpoint that has the whole log of the demoted primary, preferably one that is not
    /// draining. If there is none, promotes the one with the furthest log if no other endpoint can
    /// have more acknowledged commits, and otherwise the demoted primary itself if it is listed.
    fn promote_after_demotion(&self, former: &SurveyedEndpoint, needed: LogPoint) -> PromotionStep {
        let caught_up = self.candidates().filter(|(_, r)| r.received >= needed);
        let target = caught_up
            .map(|(member, _)| member)
            .min_by_key(|m| m.draining);
        let complete = !self.has_silent() && self.holders_known;
        let target = target
            .or_else(|| self.furthest().filter(|_| complete))
            .or_else(|| former.listed.then_some(former));
        match target {
            Some(member) => PromotionStep::Promote {
                target: member.id.clone(),
                former_may_acknowledge: false,
            },
            None => PromotionStep::Wait,
        }
    }

    /// Promotes the endpoint with the furthest log, or waits unless `complete`.
    fn promote_furthest(&self, complete: bool) -> PromotionStep {
        match self.furthest().filter(|_| complete) {
            Some(member) => PromotionStep::Promote {
                target: member.id.clone(),
                former_may_acknowledge: true,
            },
            None => PromotionStep::Wait,
        }
    }

    /// Returns the endpoint with the furthest log, preferably one that is not draining. Returns
    /// `None` if that endpoint cannot be promoted.
    fn furthest(&self) -> Option<&SurveyedEndpoint> {
        let furthest = self.replica_reports().map(|report| report.received).max()?;
        self.candidates()
            .filter(|(_, report)| report.received == furthest)
            .map(|(member, _)| member)
            .min_by_key(|member| member.draining)
    }
}
