//! Decides for one group when to poll, confirm and promote.
//!
//! The controller is given the answers of endpoints and the time, and returns the calls to make.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::process::endpoint_status::EndpointStatus;
use crate::process::failover::call_failure::CallFailure;
use crate::process::failover::confirmation_tracker::ConfirmationId;
use crate::process::failover::confirmation_tracker::ConfirmationOutcome;
use crate::process::failover::confirmation_tracker::ConfirmationTracker;
use crate::process::failover::failover_limits::FailoverLimits;
use crate::process::failover::failure_detector::FailureDetector;
use crate::process::failover::failure_evidence::FailureEvidence;
use crate::process::failover::failure_evidence::WatcherReport;
use crate::process::failover::group_event::GroupEvent;
use crate::process::failover::group_view::GroupMember;
use crate::process::failover::group_view::GroupView;
use crate::process::failover::promotion_plan::PlanRequest;
use crate::process::failover::promotion_plan::PromotionAction;
use crate::process::failover::promotion_plan::PromotionOutcome;
use crate::process::failover::promotion_plan::PromotionPlan;
use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogPoint;
use crate::request::log_point::LogTerm;
use crate::request::read_route::RouteCandidate;
use crate::request::session_floor::FloorId;
use crate::request::session_floor::FloorOutcome;
use crate::request::session_floor::FloorWaiters;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;

/// Pause before the next await call to an endpoint that did not reach the requested point.
const AWAIT_RETRY: Duration = Duration::from_millis(20);

/// The instances that watch a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchSettings {
    /// This instance.
    pub instance: InstanceId,
    /// All instances that watch the group; only these start promotions.
    pub watchers: Vec<InstanceId>,
    /// Whether this instance starts a promotion without the random delay of the others.
    pub proposes_first: bool,
}

/// An action that the controller's driver carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GroupAction {
    /// Query the status of the endpoint.
    Status { endpoint: EndpointId },
    /// Query the status of the endpoint once its log reaches the point, or at the timeout.
    Await {
        endpoint: EndpointId,
        point: LogPoint,
        timeout: Duration,
    },
    /// Fence or promote an endpoint.
    Promotion(PromotionAction),
    /// Deliver the outcome of a confirmation to its waiter.
    Confirmed(ConfirmationOutcome),
    /// Deliver a session's floor to its waiter.
    FloorReady(FloorOutcome),
    /// Log the event and record it in the journal.
    Event(GroupEvent),
}

/// The polls and await calls to one endpoint.
#[derive(Debug, Clone, Default)]
struct CallState {
    polled_at: Option<MonotonicTime>,
    poll_open: bool,
    poll_due: bool,
    await_open: bool,
    await_after: MonotonicTime,
}

/// Decides on polls, confirmations and promotions for one group on one instance.
#[derive(Debug, Clone)]
pub struct GroupController {
    settings: WatchSettings,
    limits: FailoverLimits,
    view: GroupView,
    detector: FailureDetector,
    plan: Option<PromotionPlan>,
    /// Whether the plan in progress was started without evidence.
    forced: bool,
    tracker: ConfirmationTracker,
    floors: FloorWaiters,
    reports: BTreeMap<InstanceId, WatcherReport>,
    calls: BTreeMap<EndpointId, CallState>,
    /// The highest term for which a change of primary was reported.
    last_term: Option<LogTerm>,
    last_time: MonotonicTime,
    /// When this process last resumed after a pause.
    resumed_at: MonotonicTime,
    rng: ChaCha8Rng,
}

impl GroupController {
    /// Creates a controller without any status of its group; `seed` sets its random delays.
    pub fn new(
        members: Vec<GroupMember>,
        settings: WatchSettings,
        limits: FailoverLimits,
        seed: u64,
    ) -> Self {
        let ids = member_ids(&members);
        let calls = ids.iter().map(|id| (id.clone(), CallState::default()));
        Self {
            settings,
            view: GroupView::new(members, limits.upstream_silence, limits.report_age),
            detector: FailureDetector::new(limits.clone()),
            plan: None,
            forced: false,
            tracker: ConfirmationTracker::new(&ids),
            floors: FloorWaiters::default(),
            reports: BTreeMap::new(),
            calls: calls.collect(),
            last_term: None,
            last_time: MonotonicTime::default(),
            resumed_at: MonotonicTime::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            limits,
        }
    }

    /// Returns the view of the group that requests are routed by.
    pub fn view(&self) -> &GroupView {
        &self.view
    }

    /// Returns the promotion plan in progress, if any.
    pub fn plan(&self) -> Option<&PromotionPlan> {
        self.plan.as_ref()
    }

    /// Returns the number of open confirmations.
    pub fn confirmations(&self) -> usize {
        self.tracker.waiter_count()
    }

    /// Replaces the endpoints of the group, and drops the promotion plan if the set has changed.
    pub fn set_members(&mut self, members: Vec<GroupMember>) {
        let ids = member_ids(&members);
        if !self.calls.keys().eq(ids.iter().collect::<BTreeSet<_>>()) {
            self.plan = None;
        }
        self.tracker.set_members(&ids);
        self.view.set_members(members);
        self.calls.retain(|endpoint, _| ids.contains(endpoint));
        for id in ids {
            self.calls.entry(id).or_default();
        }
    }

    /// Replaces the watchers of the group and drops the reports of instances no longer among them.
    pub fn set_watchers(&mut self, settings: WatchSettings) {
        self.reports
            .retain(|instance, _| settings.watchers.contains(instance));
        self.settings = settings;
    }

    /// Records another watcher's report on a primary.
    pub fn on_report(&mut self, report: WatcherReport) {
        self.reports.insert(report.instance.clone(), report);
    }

    /// Returns the primary and the time for which this instance has failed to connect to it.
    pub fn primary_report(&self, now: MonotonicTime) -> Option<(EndpointId, Duration)> {
        let endpoint = self.view.primary()?.endpoint.clone();
        let failing = self.view.unreachable_for(&endpoint, now);
        Some((endpoint, failing))
    }

    /// Records a status that another instance requested at `requested_at` on this instance's clock.
    pub fn on_peer_status(
        &mut self,
        endpoint: &EndpointId,
        status: &EndpointStatus,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Vec<GroupAction> {
        let mut actions = Vec::new();
        self.record_status(endpoint, status, requested_at, now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    /// Starts waiting until a majority holds a point that the primary reported.
    ///
    /// The caller must have checked that the report had the role primary and a fenced term no
    /// higher than the term of the point.
    pub fn confirm(
        &mut self,
        primary: EndpointId,
        point: LogPoint,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ) -> (ConfirmationId, Vec<GroupAction>) {
        if !self.tracker.has_primary(point.term)
            && let Some(call) = self.calls.get_mut(&primary)
        {
            call.poll_due = true;
        }
        let id = self.tracker.register(primary, point, deadline);
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        (id, actions)
    }

    /// Cancels a confirmation whose caller has gone away.
    pub fn cancel_confirmation(&mut self, id: ConfirmationId) {
        self.tracker.cancel(id);
    }

    /// Starts waiting for the floor of a session that starts at `now`.
    pub fn floor(
        &mut self,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ) -> (FloorId, Vec<GroupAction>) {
        let id = self.floors.join(now, deadline);
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        (id, actions)
    }

    /// Cancels the wait for a floor whose session has ended.
    pub fn cancel_floor(&mut self, id: FloorId) {
        self.floors.cancel(id);
    }

    /// Records the result of a status call that was sent at `requested_at`.
    pub fn on_status(
        &mut self,
        endpoint: &EndpointId,
        requested_at: MonotonicTime,
        answer: Result<EndpointStatus, CallFailure>,
        now: MonotonicTime,
    ) -> Vec<GroupAction> {
        if let Some(call) = self.calls.get_mut(endpoint)
            && call
                .polled_at
                .is_none_or(|polled_at| polled_at <= requested_at)
        {
            call.poll_open = false;
        }
        self.on_answer(endpoint, requested_at, answer, now)
    }

    /// Records the result of an await call that was sent at `requested_at`.
    pub fn on_await(
        &mut self,
        endpoint: &EndpointId,
        point: LogPoint,
        requested_at: MonotonicTime,
        answer: Result<EndpointStatus, CallFailure>,
        now: MonotonicTime,
    ) -> Vec<GroupAction> {
        let reached = answer.as_ref().is_ok_and(|status| status.point >= point);
        if let Some(call) = self.calls.get_mut(endpoint) {
            call.await_open = false;
            call.await_after = if reached { now } else { now + AWAIT_RETRY };
        }
        self.on_answer(endpoint, requested_at, answer, now)
    }

    /// Records the result of a fence or promote call that was sent at `requested_at`.
    pub fn on_answer(
        &mut self,
        endpoint: &EndpointId,
        requested_at: MonotonicTime,
        answer: Result<EndpointStatus, CallFailure>,
        now: MonotonicTime,
    ) -> Vec<GroupAction> {
        self.record_time(now);
        let mut actions = Vec::new();
        match answer {
            Ok(status) => self.record_status(endpoint, &status, requested_at, now, &mut actions),
            Err(CallFailure::ConnectFailed) if requested_at >= self.resumed_at => {
                self.view
                    .record_connect_failure(endpoint, requested_at, now);
            }
            Err(CallFailure::ConnectFailed) => {}
            Err(CallFailure::NoAnswer | CallFailure::Refused) => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Evaluates the evidence and starts what is due; must be called at least every 50 ms.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<GroupAction> {
        self.record_time(now);
        let mut actions = Vec::new();
        self.check_for_failure(now, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the endpoints as candidates for a request; `load` returns the fraction of an
    /// endpoint's slots that is in use.
    pub fn candidates(
        &self,
        now: MonotonicTime,
        load: impl Fn(&EndpointId) -> f64,
    ) -> Vec<RouteCandidate> {
        let primary = self.view.writable_primary();
        let age = self.limits.report_age;
        self.view
            .endpoints()
            .map(|view| {
                let endpoint = view.member.endpoint.clone();
                let fresh = view.fresh_status(age, now).is_some();
                RouteCandidate {
                    zone: view.member.zone.clone(),
                    primary: primary.is_some_and(|primary| primary.endpoint == endpoint),
                    point: view.status.as_ref().map(|s| s.point).unwrap_or_default(),
                    staleness: self.view.staleness(&endpoint, now),
                    load: load(&endpoint),
                    available: fresh && !view.member.leaving,
                    endpoint,
                }
            })
            .collect()
    }

    /// Detects pauses of this process.
    ///
    /// Connect attempts that a pause interrupted are no evidence against an endpoint.
    fn record_time(&mut self, now: MonotonicTime) {
        if now.saturating_since(self.last_time) > self.limits.report_age {
            self.resumed_at = now;
            self.view.clear_connect_failures();
        }
        self.last_time = now;
    }

    fn record_status(
        &mut self,
        endpoint: &EndpointId,
        status: &EndpointStatus,
        requested_at: MonotonicTime,
        now: MonotonicTime,
        actions: &mut Vec<GroupAction>,
    ) {
        self.view
            .record_status(endpoint, status.clone(), requested_at, now);
        self.tracker.record(endpoint, status);
        if let Some(plan) = &mut self.plan {
            plan.record_status(endpoint, status, now);
        }
        let primary = self.view.primary();
        if let Some(primary) = primary.filter(|p| self.last_term.is_none_or(|last| p.term > last)) {
            self.last_term = Some(primary.term);
            actions.push(GroupAction::Event(GroupEvent::PrimaryChanged {
                endpoint: primary.endpoint.clone(),
                term: primary.term,
            }));
        }
    }

    /// Starts a plan when there is evidence of a failure, and drops a waiting plan without it.
    fn check_for_failure(&mut self, now: MonotonicTime, actions: &mut Vec<GroupAction>) {
        let watched = self.settings.watchers.contains(&self.settings.instance);
        let open = self.plan.as_ref().is_none_or(PromotionPlan::is_waiting);
        if !watched || !open || (self.forced && self.plan.is_some()) {
            return;
        }
        let reports: Vec<_> = self.reports.values().cloned().collect();
        let settings = &self.settings;
        let evidence = self.detector.detect(
            &self.view,
            &settings.instance,
            &settings.watchers,
            &reports,
            now,
        );
        match (evidence, self.plan.is_some()) {
            (None, true) => {
                self.plan = None;
                actions.push(GroupAction::Event(GroupEvent::PromotionDropped));
            }
            (Some(evidence), false) => {
                let suspect = self.suspect_of(&evidence);
                self.start_plan(suspect, now);
                self.forced = false;
                actions.push(GroupAction::Event(GroupEvent::PromotionPlanned {
                    evidence,
                }));
            }
            _ => {}
        }
    }

    /// Starts a promotion that needs no evidence.
    pub fn force_promotion(&mut self, now: MonotonicTime) -> Vec<GroupAction> {
        self.start_plan(None, now);
        self.forced = true;
        let mut actions = Vec::new();
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the primary if the evidence is a failure of the primary itself, not a fence.
    fn suspect_of(&self, evidence: &FailureEvidence) -> Option<EndpointId> {
        match evidence {
            FailureEvidence::UpstreamSilence { .. } | FailureEvidence::ConnectFailure { .. } => {
                let primary = self.view.primary();
                primary.map(|primary| primary.endpoint.clone())
            }
            FailureEvidence::PrimaryFenced { .. } | FailureEvidence::ReplicaStranded { .. } => None,
        }
    }

    fn start_plan(&mut self, suspect: Option<EndpointId>, now: MonotonicTime) {
        let delay = if self.settings.proposes_first {
            Duration::ZERO
        } else {
            let factor = self.rng.random_range(0.5..1.5);
            self.limits.proposal_delay.mul_f64(factor)
        };
        let primary = self.view.primary().map(|primary| primary.term);
        let term = primary
            .unwrap_or_default()
            .max(self.view.highest_log_term());
        let request = PlanRequest {
            members: self.calls.keys().cloned().collect(),
            suspect,
            instance: self.settings.instance.clone(),
            log_term: term,
            delay,
            seed: self.rng.random(),
        };
        let mut plan = PromotionPlan::new(request, self.limits.clone(), now);
        for view in self.view.endpoints() {
            if let Some(status) = &view.status {
                plan.record_status(&view.member.endpoint, status, now);
            }
        }
        self.plan = Some(plan);
    }

    /// Advances the plan, ends decided waits and starts the calls that are due.
    fn advance(&mut self, now: MonotonicTime, actions: &mut Vec<GroupAction>) {
        self.step_plan(now, actions);
        let confirmed = self.tracker.complete_waits(now);
        actions.extend(confirmed.into_iter().map(GroupAction::Confirmed));
        self.complete_floor_waits(now, actions);
        self.start_polls(now, actions);
        self.start_awaits(now, actions);
    }

    fn step_plan(&mut self, now: MonotonicTime, actions: &mut Vec<GroupAction>) {
        let Some(plan) = &mut self.plan else {
            return;
        };
        let calls = plan.step(now);
        actions.extend(calls.into_iter().map(GroupAction::Promotion));
        let event = match plan.outcome() {
            None => return,
            Some(PromotionOutcome::Promoted { endpoint, term }) => GroupEvent::Promoted {
                endpoint: endpoint.clone(),
                term: *term,
            },
            Some(PromotionOutcome::Superseded { term }) => {
                GroupEvent::PromotionSuperseded { term: *term }
            }
            Some(PromotionOutcome::Paused) => GroupEvent::PromotionPaused,
        };
        self.plan = None;
        actions.push(GroupAction::Event(event));
    }

    fn complete_floor_waits(&mut self, now: MonotonicTime, actions: &mut Vec<GroupAction>) {
        if self.floors.last_joined_at().is_none() {
            return;
        }
        let reports: Vec<_> = self
            .view
            .endpoints()
            .filter_map(|view| Some((view.requested_at, view.status.as_ref()?.point)))
            .collect();
        let ready = self
            .floors
            .complete_waits(&reports, self.view.majority(), now);
        actions.extend(ready.into_iter().map(GroupAction::FloorReady));
    }

    fn poll_period(&self) -> Duration {
        let watchers = &self.settings.watchers;
        if watchers.contains(&self.settings.instance) {
            FailoverLimits::poll_period_for(watchers.len())
        } else {
            self.limits.poll_period
        }
    }

    fn start_polls(&mut self, now: MonotonicTime, actions: &mut Vec<GroupAction>) {
        let wanted = self.floors.last_joined_at();
        let (period, age) = (self.poll_period(), self.limits.report_age);
        for (endpoint, call) in &mut self.calls {
            let since = |at: MonotonicTime| now.saturating_since(at);
            let open = call.poll_open && call.polled_at.is_some_and(|at| since(at) < age);
            let due = call.poll_due
                || call.polled_at.is_none_or(|at| since(at) >= period)
                || wanted.is_some_and(|wanted| call.polled_at.is_none_or(|at| at < wanted));
            if due && !open {
                call.poll_due = false;
                call.poll_open = true;
                call.polled_at = Some(now);
                actions.push(GroupAction::Status {
                    endpoint: endpoint.clone(),
                });
            }
        }
    }

    fn start_awaits(&mut self, now: MonotonicTime, actions: &mut Vec<GroupAction>) {
        if self.tracker.waiter_count() == 0 {
            return;
        }
        for (endpoint, call) in &mut self.calls {
            if call.await_open || now < call.await_after {
                continue;
            }
            if let Some(point) = self.tracker.next_await(endpoint) {
                call.await_open = true;
                actions.push(GroupAction::Await {
                    endpoint: endpoint.clone(),
                    point,
                    timeout: self.limits.await_timeout,
                });
            }
        }
    }
}

fn member_ids(members: &[GroupMember]) -> Vec<EndpointId> {
    members
        .iter()
        .map(|member| member.endpoint.clone())
        .collect()
}
