//! Decides the next step of a promotion from the reports of the group's endpoints.
//!
//! A commit is acknowledged once one replica has received it. While every replica but the target is
//! paused, each later acknowledgement needs the target. The target therefore has all acknowledged
//! commits as soon as its log reaches as far as the logs of the paused replicas.

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
}

/// The next step of a promotion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionStep {
    /// Pause replication to these replicas, then survey again.
    Pause {
        /// The replicas.
        endpoints: Vec<EndpointId>,
        /// A term higher than any reported one.
        term: LogTerm,
    },
    /// Make the former primary a replica, then survey again.
    Demote {
        /// The former primary.
        endpoint: EndpointId,
        /// A term higher than any reported one.
        term: LogTerm,
    },
    /// Promote this endpoint, which has every acknowledged commit.
    Promote(EndpointId),
    /// This endpoint is already the new primary: an earlier promotion took effect.
    Leads(EndpointId),
    /// Wait, since an endpoint that may be the only one with some acknowledged commits does not
    /// answer.
    Wait,
}

/// Returns the next step; `former` is the primary to be replaced.
///
/// The target's report must have been taken after the pauses that the other reports show.
pub fn next_step(members: &[SurveyedEndpoint], former: Option<&EndpointId>) -> PromotionStep {
    let reports = || members.iter().filter_map(|m| m.report.map(|r| (m, r)));
    let newest = reports().map(|(_, report)| report.term).max();
    let Some(newest) = newest else {
        return PromotionStep::Wait;
    };
    let leader = reports().find(|(member, report)| {
        report.role == GroupRole::Primary
            && report.term == newest
            && former.is_some_and(|id| *id != member.id)
    });
    if let Some((member, _)) = leader {
        return PromotionStep::Leads(member.id.clone());
    }
    let next_term = LogTerm(newest.0 + 1);
    let is_former = |member: &SurveyedEndpoint| former == Some(&member.id);
    let silent = members
        .iter()
        .any(|member| !is_former(member) && member.report.is_none());
    let former_report = reports().find(|(member, _)| is_former(member));
    if silent {
        return match former_report {
            Some((member, report)) if report.role == GroupRole::Primary => PromotionStep::Demote {
                endpoint: member.id.clone(),
                term: next_term,
            },
            Some((_, demoted)) => promote_caught_up(members, demoted.received),
            None => PromotionStep::Wait,
        };
    }
    let replicas: Vec<_> = reports()
        .filter(|(member, report)| !is_former(member) || report.role == GroupRole::Replica)
        .collect();
    let furthest = replicas.iter().map(|(_, report)| report.received).max();
    let paused = |report: &EndpointReport| report.paused_term > newest;
    let all_paused = replicas.iter().all(|(_, report)| paused(report));
    let not_draining = replicas.iter().filter(|(member, _)| !member.draining);
    let target = match not_draining.max_by_key(|(_, report)| report.received) {
        Some((member, report)) if !all_paused || Some(report.received) == furthest => Some(member),
        _ => replicas
            .iter()
            .max_by_key(|(_, report)| report.received)
            .map(|(member, _)| member),
    };
    let Some(target) = target else {
        return PromotionStep::Wait;
    };
    let target_received = target.report.map(|report| report.received);
    let receiving: Vec<EndpointId> = replicas
        .iter()
        .filter(|(member, report)| member.id != target.id && !paused(report))
        .map(|(member, _)| member.id.clone())
        .collect();
    if !receiving.is_empty() {
        return PromotionStep::Pause {
            endpoints: receiving,
            term: next_term,
        };
    }
    if target_received == furthest {
        return PromotionStep::Promote(target.id.clone());
    }
    PromotionStep::Pause {
        endpoints: vec![target.id.clone()],
        term: next_term,
    }
}

/// Returns the promotion of a replica that has received all entries up to `needed`, preferably one
/// that is not draining, or `Wait` if there is none.
fn promote_caught_up(members: &[SurveyedEndpoint], needed: LogPoint) -> PromotionStep {
    members
        .iter()
        .filter(|member| member.report.is_some_and(|r| r.received >= needed))
        .min_by_key(|member| member.draining)
        .map_or(PromotionStep::Wait, |member| {
            PromotionStep::Promote(member.id.clone())
        })
}
