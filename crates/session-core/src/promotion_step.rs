//! Decides the next step of a promotion from the reports of the group's endpoints.
//!
//! The promoted endpoint must have every commit whose acknowledgement reached a caller. Its own log
//! is compared with a point that covers them all; which endpoints received a commit, and which of
//! them have joined, left or restarted since, does not matter. There are two such points:
//!
//! - the end of the former primary's log, if it answers. It is made a replica first and acknowledges
//!   nothing afterwards. If it has ended, the endpoint that took over its address has its log.
//! - the highest point that instances passed on, once all have stopped using the former primary; see
//!   [`crate::commit_evidence`].
//!
//! An endpoint that has reached neither is promoted only if the former primary and its log are lost.

use crate::commit_evidence::AcknowledgedPoint;
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
    /// Whether its availability zone is evacuated. It is promoted only if no other endpoint has every
    /// acknowledged commit, since it cannot be used.
    pub evacuated: bool,
}

/// The endpoints of a group and what is known of its acknowledged commits.
#[derive(Debug, Clone, Copy)]
pub struct SurveyedGroup<'a> {
    /// The endpoints, surveyed at the same time.
    pub members: &'a [SurveyedEndpoint],
    /// The primary to be replaced.
    pub former: Option<&'a EndpointId>,
    /// The endpoint that is listed at the former primary's address now, and took over its log.
    pub successor: Option<&'a EndpointId>,
    /// Whether the former primary has been gone for so long that its log counts as lost.
    pub former_lost: bool,
    /// Whether no instance uses the former primary or passes on its acknowledgements any more.
    pub former_unused: bool,
    /// Whether the former primary may lead again because callers already wait: the order is pending,
    /// and the former primary has answered for some time without any endpoint that follows it.
    pub former_may_return: bool,
    /// What covers the acknowledged commits, as known before the survey.
    pub acknowledged: AcknowledgedPoint,
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
    /// Stop the use of the former primary, then survey again. This endpoint is likely to replace it.
    StopUse(EndpointId),
    /// Promote this endpoint, which has every acknowledged commit.
    Promote(EndpointId),
    /// This endpoint is already the new primary: an earlier promotion took effect.
    Leads(EndpointId),
    /// Wait, since no endpoint is known to have every acknowledged commit, or none can take over.
    Wait,
}

/// Returns whether an endpoint leads its group according to all of its endpoints: each of them answers,
/// and none has a higher term.
pub fn is_sole_leader(members: &[SurveyedEndpoint], id: &EndpointId) -> bool {
    let reports = members.iter().map(|member| (&member.id, member.report));
    let leader = reports.clone().find(|(member, _)| *member == id);
    let Some((_, Some(leader))) = leader else {
        return false;
    };
    let mut others = reports.filter(|(member, _)| *member != id);
    leader.role == GroupRole::Primary
        && others.all(|(_, report)| {
            report.is_some_and(|report| {
                report.term < leader.term
                    || report.term == leader.term && report.role == GroupRole::Replica
            })
        })
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
                // A primary of an earlier term may answer while all later ones are silent.
                && self.acknowledged.known.is_none_or(|p| report.term > p.term)
        });
        if let Some((member, _)) = leader {
            return PromotionStep::Leads(member.id.clone());
        }
        match self.former_log() {
            Some((former, report)) if report.role == GroupRole::Primary => {
                let returns = self.former_may_return && !self.is_former_evacuated();
                match self.can_be_replaced() || returns {
                    true => PromotionStep::Demote {
                        endpoint: former.id.clone(),
                        term: LogTerm(newest.0 + 1),
                    },
                    false => PromotionStep::Wait,
                }
            }
            Some((former, report)) if !self.has_lost_log(report) => {
                self.promote_after_demotion(former, report.received)
            }
            Some(_) => self.promote_acknowledged(),
            None if self.former_lost => self.promote_furthest(),
            None => self.promote_acknowledged(),
        }
    }

    /// Returns the endpoint that has the former primary's log, if it answers.
    fn former_log(&self) -> Option<(&SurveyedEndpoint, EndpointReport)> {
        let former = self.reports().find(|(member, _)| self.is_former(member));
        former.or_else(|| {
            let mut reports = self.reports();
            reports.find(|(member, _)| self.successor == Some(&member.id))
        })
    }

    fn reports(&self) -> impl Iterator<Item = (&SurveyedEndpoint, EndpointReport)> {
        self.members.iter().filter_map(|m| m.report.map(|r| (m, r)))
    }

    fn is_former(&self, member: &SurveyedEndpoint) -> bool {
        self.former == Some(&member.id)
    }

    fn is_former_evacuated(&self) -> bool {
        let mut members = self.members.iter();
        members.any(|member| self.is_former(member) && member.evacuated)
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
    ///
    /// While callers use the primary, a demotion after which only the primary itself could lead would
    /// interrupt them for nothing.
    fn can_be_replaced(&self) -> bool {
        let points = [self.earlier_point, self.acknowledged.known];
        // The demotion of an evacuated primary is useless if its successor is evacuated as well.
        let former_evacuated = self.is_former_evacuated();
        self.candidates()
            .filter(|(member, _)| !(former_evacuated && member.evacuated))
            .any(|(_, report)| points.iter().flatten().any(|p| report.received >= *p))
    }

    /// Returns whether the former primary, which is a replica now, has restarted without its log.
    fn has_lost_log(&self, report: EndpointReport) -> bool {
        self.replica_reports().any(|r| r.received > report.received)
            || self.acknowledged.known > Some(report.received)
    }

    /// Promotes an endpoint that has the whole log of the demoted primary or at least its
    /// acknowledged commits, and otherwise the demoted primary itself if it is listed.
    fn promote_after_demotion(&self, former: &SurveyedEndpoint, end: LogPoint) -> PromotionStep {
        let covered = self
            .acknowledged
            .known
            .filter(|_| self.acknowledged.complete);
        let needed = covered.map_or(end, |covered| covered.min(end));
        let target = self.best_candidate(needed);
        match target.or_else(|| former.listed.then_some(former)) {
            Some(member) => PromotionStep::Promote(member.id.clone()),
            None => PromotionStep::Wait,
        }
    }

    /// Promotes an endpoint that has all acknowledged commits although the former primary does not
    /// show its log. Its use is stopped first, if an endpoint may turn out to have them.
    fn promote_acknowledged(&self) -> PromotionStep {
        let target = self.acknowledged.known.and_then(|p| self.best_candidate(p));
        match target {
            Some(member) if self.acknowledged.complete => PromotionStep::Promote(member.id.clone()),
            Some(member) if !self.former_unused && self.acknowledged.sampled => {
                PromotionStep::StopUse(member.id.clone())
            }
            _ => PromotionStep::Wait,
        }
    }

    /// Promotes the endpoint with the furthest log of all that may still have one.
    fn promote_furthest(&self) -> PromotionStep {
        let furthest = self.replica_reports().map(|report| report.received).max();
        let target = furthest.and_then(|point| self.best_candidate(point));
        match target.filter(|_| !self.has_silent()) {
            Some(member) if self.former_unused => PromotionStep::Promote(member.id.clone()),
            Some(member) => PromotionStep::StopUse(member.id.clone()),
            None => PromotionStep::Wait,
        }
    }

    /// Returns the candidate to be promoted among those whose logs reach `needed`: preferably one
    /// whose zone is not evacuated and that is not draining, with the furthest log. The choice does not
    /// depend on the leader.
    fn best_candidate(&self, needed: LogPoint) -> Option<&SurveyedEndpoint> {
        self.candidates()
            .filter(|(_, report)| report.received >= needed)
            .max_by_key(|(member, report)| {
                let usable = (!member.evacuated, !member.draining);
                (usable, report.received, &member.id)
            })
            .map(|(member, _)| member)
    }
}
