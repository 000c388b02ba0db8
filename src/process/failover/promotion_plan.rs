//! The steps of one promotion: fencing a majority, then promoting one of its endpoints.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::process::endpoint_status::EndpointRole;
use crate::process::endpoint_status::EndpointStatus;
use crate::process::failover::failover_limits::FailoverLimits;
use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogPoint;
use crate::request::log_point::LogTerm;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;

/// A call that the plan needs; calls are idempotent and may be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionAction {
    /// Fence the endpoint at the term.
    Fence {
        endpoint: EndpointId,
        term: LogTerm,
        proposer: String,
    },
    /// Promote the endpoint for the term.
    Promote {
        endpoint: EndpointId,
        term: LogTerm,
        proposer: String,
    },
}

/// How a plan ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The endpoint is the primary of the term.
    Promoted { endpoint: EndpointId, term: LogTerm },
    /// Another proposer's primary has the term of this plan or a higher one.
    Superseded { term: LogTerm },
    /// The process was paused, so the plan's state may be out of date.
    Paused,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum PlanPhase {
    /// Waits for the initial delay or for a back-off.
    Waiting {
        until: MonotonicTime,
    },
    /// Fences endpoints until one can be chosen for promotion.
    Fencing {
        since: MonotonicTime,
    },
    /// Promotes the chosen endpoint.
    Promoting {
        endpoint: EndpointId,
        since: MonotonicTime,
    },
    /// Fences the remaining endpoints after the promotion succeeded.
    FencingRemaining {
        endpoint: EndpointId,
        since: MonotonicTime,
    },
    Ended(PromotionOutcome),
}

/// The input of a promotion plan.
#[derive(Debug, Clone)]
pub struct PlanRequest {
    /// The endpoints of the group.
    pub members: Vec<EndpointId>,
    /// The primary, if the evidence shows that it has failed.
    pub suspect: Option<EndpointId>,
    /// The instance that proposes the promotion.
    pub instance: InstanceId,
    /// The highest term of any endpoint's log.
    pub log_term: LogTerm,
    /// Delay before the first fence call.
    pub delay: Duration,
    /// Seed of the random back-offs and proposer names.
    pub seed: u64,
}

/// Fences a majority at a new term, and promotes the endpoint with the highest point among it.
///
/// Success is read from statuses alone. If an answer is lost, the call is repeated, which changes
/// nothing the second time. The plan promotes at most one endpoint per term. Each term gets its
/// own proposer name, so that the plan does not mistake the fences of another plan for its own,
/// even one of an earlier process of this instance.
#[derive(Debug, Clone)]
pub struct PromotionPlan {
    request: PlanRequest,
    limits: FailoverLimits,
    rng: ChaCha8Rng,
    phase: PlanPhase,
    term: LogTerm,
    proposer: String,
    highest_term: LogTerm,
    /// The points of the endpoints that this plan fenced at its term.
    fenced: BTreeMap<EndpointId, LogPoint>,
    /// Endpoints that are fenced by another proposer at the plan's term or a higher one.
    refused: BTreeSet<EndpointId>,
    /// When the last call of the current phase was sent to each endpoint.
    sent_at: BTreeMap<EndpointId, MonotonicTime>,
    attempts: u32,
    last_step_at: MonotonicTime,
}

impl PromotionPlan {
    /// Creates a plan that starts fencing after the delay of the request.
    pub fn new(request: PlanRequest, limits: FailoverLimits, now: MonotonicTime) -> Self {
        Self {
            limits,
            rng: ChaCha8Rng::seed_from_u64(request.seed),
            phase: PlanPhase::Waiting {
                until: now + request.delay,
            },
            term: LogTerm::default(),
            proposer: String::new(),
            highest_term: request.log_term,
            fenced: BTreeMap::new(),
            refused: BTreeSet::new(),
            sent_at: BTreeMap::new(),
            attempts: 0,
            last_step_at: now,
            request,
        }
    }

    /// Returns the outcome of the plan, if it has ended.
    pub fn outcome(&self) -> Option<&PromotionOutcome> {
        match &self.phase {
            PlanPhase::Ended(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Returns the promoted endpoint and its term, if the promotion has succeeded.
    pub fn promoted(&self) -> Option<(&EndpointId, LogTerm)> {
        match &self.phase {
            PlanPhase::FencingRemaining { endpoint, .. } => Some((endpoint, self.term)),
            PlanPhase::Ended(PromotionOutcome::Promoted { endpoint, term }) => {
                Some((endpoint, *term))
            }
            _ => None,
        }
    }

    /// Returns whether the plan has not sent a fence call yet.
    pub fn is_waiting(&self) -> bool {
        self.attempts == 0 && matches!(self.phase, PlanPhase::Waiting { .. })
    }

    /// Returns the current term and proposer name.
    pub fn proposal(&self) -> (LogTerm, &str) {
        (self.term, &self.proposer)
    }

    /// Records a status of an endpoint, whether it answers a fence call, a promote call or a poll.
    pub fn record_status(
        &mut self,
        endpoint: &EndpointId,
        status: &EndpointStatus,
        now: MonotonicTime,
    ) {
        self.highest_term = self
            .highest_term
            .max(status.fenced_term)
            .max(status.point.term);
        self.record_other_primary(endpoint, status);
        let ours = status.fenced_term == self.term && status.fenced_by == self.proposer;
        match self.phase.clone() {
            // A log has already reached this plan's term, so the plan needs a higher one.
            PlanPhase::Fencing { .. } if status.point.term >= self.term => self.back_off(now),
            PlanPhase::Fencing { .. } if ours => {
                self.fenced.insert(endpoint.clone(), status.point);
            }
            PlanPhase::Fencing { .. } if status.fenced_term >= self.term => {
                self.refused.insert(endpoint.clone());
            }
            PlanPhase::Promoting {
                endpoint: chosen, ..
            } if chosen == *endpoint => {
                let primary =
                    status.role == EndpointRole::Primary && status.point.term == self.term;
                if primary {
                    self.sent_at.clear();
                    self.phase = PlanPhase::FencingRemaining {
                        endpoint: chosen,
                        since: now,
                    };
                } else if !ours && status.fenced_term >= self.term {
                    self.back_off(now);
                }
            }
            PlanPhase::FencingRemaining { .. } if ours => {
                self.fenced.insert(endpoint.clone(), status.point);
            }
            _ => {}
        }
    }

    fn record_other_primary(&mut self, endpoint: &EndpointId, status: &EndpointStatus) {
        let term = status.point.term;
        let later = status.role == EndpointRole::Primary
            && term > self.request.log_term
            && term >= self.term
            && status.fenced_term <= term;
        let own = term == self.term && self.is_chosen(endpoint);
        if later && !own && self.outcome().is_none() {
            self.phase = PlanPhase::Ended(PromotionOutcome::Superseded { term });
        }
    }

    fn is_chosen(&self, endpoint: &EndpointId) -> bool {
        match &self.phase {
            PlanPhase::Promoting {
                endpoint: chosen, ..
            }
            | PlanPhase::FencingRemaining {
                endpoint: chosen, ..
            } => chosen == endpoint,
            _ => false,
        }
    }

    /// Advances the plan to the time `now` and returns the calls to make.
    ///
    /// The plan ends as paused if the last call was longer ago than the report age.
    pub fn step(&mut self, now: MonotonicTime) -> Vec<PromotionAction> {
        let paused = now.saturating_since(self.last_step_at) > self.limits.report_age;
        self.last_step_at = now;
        if self.outcome().is_some() {
            return Vec::new();
        }
        if paused {
            self.phase = PlanPhase::Ended(PromotionOutcome::Paused);
            return Vec::new();
        }
        self.advance(now);
        match self.phase.clone() {
            PlanPhase::Waiting { .. } | PlanPhase::Ended(_) => Vec::new(),
            PlanPhase::Fencing { .. } | PlanPhase::FencingRemaining { .. } => self.fence_calls(now),
            PlanPhase::Promoting { endpoint, .. } => {
                if !self.is_due(&endpoint, now) {
                    return Vec::new();
                }
                vec![PromotionAction::Promote {
                    endpoint,
                    term: self.term,
                    proposer: self.proposer.clone(),
                }]
            }
        }
    }

    fn advance(&mut self, now: MonotonicTime) {
        let majority = self.request.members.len() / 2 + 1;
        match self.phase.clone() {
            PlanPhase::Waiting { until } if now >= until => self.start_term(now),
            PlanPhase::Fencing { since } if self.fenced.len() >= majority => {
                let answered = self.fenced.len() + self.refused.len();
                let complete = answered == self.request.members.len()
                    || now.saturating_since(since) >= self.limits.fence_grace;
                if let Some(endpoint) = self.choose(complete) {
                    self.sent_at.clear();
                    self.phase = PlanPhase::Promoting {
                        endpoint,
                        since: now,
                    };
                }
            }
            PlanPhase::Fencing { .. }
                if self.request.members.len() - self.refused.len() < majority =>
            {
                self.back_off(now);
            }
            PlanPhase::Promoting { since, .. }
                if now.saturating_since(since) >= self.limits.promote_timeout =>
            {
                self.back_off(now);
            }
            PlanPhase::FencingRemaining { endpoint, since } => {
                let all = self.fenced.len() == self.request.members.len();
                if all || now.saturating_since(since) >= self.limits.remaining_fence_timeout {
                    let term = self.term;
                    self.phase = PlanPhase::Ended(PromotionOutcome::Promoted { endpoint, term });
                }
            }
            _ => {}
        }
    }

    /// Chooses the endpoint to promote among the fenced ones.
    ///
    /// An endpoint may be promoted if its point is at least that of every endpoint in some fenced
    /// majority, because each confirmed point is held by one of that majority. Of these endpoints,
    /// the one with the highest point is chosen; the suspect is chosen only if there is no other
    /// and `complete` is set, that is, the plan waits for no further answers. A primary that is cut
    /// off from its replicas often has the highest point, with entries that no replica
    /// acknowledged, and would still be cut off in the new term.
    fn choose(&self, complete: bool) -> Option<EndpointId> {
        let majority = self.request.members.len() / 2 + 1;
        let is_safe = |point: &LogPoint| {
            let covered = self.fenced.values().filter(|other| *other <= point);
            covered.count() >= majority
        };
        self.fenced
            .iter()
            .filter(|(_, point)| is_safe(point))
            .filter(|(endpoint, _)| complete || self.request.suspect.as_ref() != Some(endpoint))
            .max_by_key(|&(endpoint, point)| {
                let suspected = self.request.suspect.as_ref() == Some(endpoint);
                (!suspected, point, Reverse(endpoint))
            })
            .map(|(endpoint, _)| endpoint.clone())
    }

    fn start_term(&mut self, now: MonotonicTime) {
        self.attempts += 1;
        self.term = LogTerm(self.highest_term.0 + 1);
        self.highest_term = self.term;
        self.proposer = format!(
            "{}-{:016x}",
            self.request.instance,
            self.rng.random::<u64>()
        );
        self.fenced.clear();
        self.refused.clear();
        self.sent_at.clear();
        self.phase = PlanPhase::Fencing { since: now };
    }

    fn back_off(&mut self, now: MonotonicTime) {
        let doublings = self.attempts.saturating_sub(1).min(3);
        let factor = self.rng.random_range(0.5..1.5) * f64::from(1u32 << doublings);
        let until = now + self.limits.backoff.mul_f64(factor);
        self.phase = PlanPhase::Waiting { until };
    }

    fn fence_calls(&mut self, now: MonotonicTime) -> Vec<PromotionAction> {
        let mut calls = Vec::new();
        for endpoint in self.request.members.clone() {
            let known = self.fenced.contains_key(&endpoint) || self.refused.contains(&endpoint);
            if !known && self.is_due(&endpoint, now) {
                calls.push(PromotionAction::Fence {
                    endpoint,
                    term: self.term,
                    proposer: self.proposer.clone(),
                });
            }
        }
        calls
    }

    fn is_due(&mut self, endpoint: &EndpointId, now: MonotonicTime) -> bool {
        let due = self
            .sent_at
            .get(endpoint)
            .is_none_or(|&sent_at| now.saturating_since(sent_at) >= self.limits.call_retry);
        if due {
            self.sent_at.insert(endpoint.clone(), now);
        }
        due
    }
}
