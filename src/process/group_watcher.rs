//! Monitors one database group and carries out the actions of its controller.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::sync::oneshot;
use tracing::debug;

use crate::process::control_error::ControlError;
use crate::process::endpoint_control::EndpointControl;
use crate::process::endpoint_status::EndpointStatus;
use crate::process::failover::call_failure::CallFailure;
use crate::process::failover::confirmation_tracker::ConfirmationId;
use crate::process::failover::failover_limits::FailoverLimits;
use crate::process::failover::failure_evidence::WatcherReport;
use crate::process::failover::group_controller::GroupAction;
use crate::process::failover::group_controller::GroupController;
use crate::process::failover::group_controller::WatchSettings;
use crate::process::failover::group_event::GroupEvent;
use crate::process::failover::group_view::EndpointView;
use crate::process::failover::group_view::GroupMember;
use crate::process::failover::promotion_plan::PromotionAction;
use crate::process::timers;
use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogPoint;
use crate::request::read_route::RouteCandidate;
use crate::request::refusal::RequestRefusal;
use crate::request::session_floor::FloorId;
use crate::version::ids::EndpointId;

/// Period of the controller's ticks; the controller requires one at least every 50 ms.
pub const WATCHER_TICK_PERIOD: Duration = Duration::from_millis(20);

/// Timeout of status, fence and promote calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum age of the last status of an endpoint that counts as live.
const LIVE_STATUS_AGE: Duration = Duration::from_secs(1);

/// Time that the answer to an await call may take beyond the call's own timeout.
const AWAIT_MARGIN: Duration = Duration::from_millis(500);

type ControlAnswer = Result<EndpointStatus, ControlError>;

/// Handles the events of a group.
pub type EventFn = Box<dyn Fn(GroupEvent) + Send + Sync>;

/// An endpoint of a group and its control adapter.
#[derive(Debug)]
pub struct WatchedEndpoint {
    /// The endpoint as a member of its group.
    pub member: GroupMember,
    /// The adapter for control calls to the endpoint.
    pub control: Arc<EndpointControl>,
}

/// The state of one endpoint at the time of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSnapshot {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its last status.
    pub status: Option<EndpointStatus>,
    /// Whether its last status is recent.
    pub live: bool,
    /// Whether it accepts no new work.
    pub leaving: bool,
}

/// The controller, the adapters of its endpoints and the senders that complete open waits.
struct WatcherState {
    controller: GroupController,
    controls: BTreeMap<EndpointId, Arc<EndpointControl>>,
    confirmations: HashMap<ConfirmationId, oneshot::Sender<Result<(), RequestRefusal>>>,
    floors: HashMap<FloorId, oneshot::Sender<Result<LogPoint, RequestRefusal>>>,
}

/// Monitors one group: makes the calls to its endpoints and completes waits for confirmations and
/// floors.
pub struct GroupWatcher {
    state: Mutex<WatcherState>,
    on_event: EventFn,
}

impl GroupWatcher {
    /// Creates a watcher without any status of its group; `seed` sets its random delays.
    pub fn new(
        endpoints: Vec<WatchedEndpoint>,
        settings: WatchSettings,
        limits: FailoverLimits,
        seed: u64,
        on_event: EventFn,
    ) -> Self {
        let members = endpoints
            .iter()
            .map(|endpoint| endpoint.member.clone())
            .collect();
        let state = WatcherState {
            controller: GroupController::new(members, settings, limits, seed),
            controls: controls_of(endpoints),
            confirmations: HashMap::new(),
            floors: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
            on_event,
        }
    }

    /// Replaces the endpoints of the group.
    pub fn set_endpoints(&self, endpoints: Vec<WatchedEndpoint>) {
        let members = endpoints
            .iter()
            .map(|endpoint| endpoint.member.clone())
            .collect();
        let mut state = self.lock();
        state.controller.set_members(members);
        state.controls = controls_of(endpoints);
    }

    /// Replaces the watchers of the group.
    pub fn set_watchers(&self, settings: WatchSettings) {
        self.lock().controller.set_watchers(settings);
    }

    /// Records another watcher's report on a primary.
    pub fn on_report(&self, report: WatcherReport) {
        self.lock().controller.on_report(report);
    }

    /// Returns the primary and the time for which this instance has failed to connect to it.
    pub fn primary_report(&self, now: MonotonicTime) -> Option<(EndpointId, Duration)> {
        self.lock().controller.primary_report(now)
    }

    /// Returns the primary that accepts writes, if one is known.
    pub fn primary(&self) -> Option<EndpointId> {
        let state = self.lock();
        state
            .controller
            .view()
            .writable_primary()
            .map(|primary| primary.endpoint.clone())
    }

    /// Returns the highest point that an endpoint of the group reported.
    pub fn highest_point(&self) -> LogPoint {
        let state = self.lock();
        let points = state
            .controller
            .view()
            .endpoints()
            .filter_map(|view| view.status.as_ref());
        points.map(|status| status.point).max().unwrap_or_default()
    }

    /// Returns the state of each endpoint.
    pub fn snapshots(&self) -> Vec<EndpointSnapshot> {
        let now = timers::now();
        let state = self.lock();
        let snapshot = |view: &EndpointView| EndpointSnapshot {
            endpoint: view.member.endpoint.clone(),
            status: view.status.clone(),
            live: view.fresh_status(LIVE_STATUS_AGE, now).is_some(),
            leaving: view.member.leaving,
        };
        state.controller.view().endpoints().map(snapshot).collect()
    }

    /// Returns the endpoints as candidates for a request; `load` returns the fraction of an
    /// endpoint's slots that is in use.
    pub fn candidates(&self, load: impl Fn(&EndpointId) -> f64) -> Vec<RouteCandidate> {
        self.lock().controller.candidates(timers::now(), load)
    }

    /// Waits until a majority holds a point that the given primary reported.
    ///
    /// Fails with [`RequestRefusal::OutcomeUnknown`] if that can no longer be confirmed, or after
    /// `timeout`.
    pub async fn confirm(
        self: &Arc<Self>,
        primary: EndpointId,
        point: LogPoint,
        timeout: Duration,
    ) -> Result<(), RequestRefusal> {
        let (sender, receiver) = oneshot::channel();
        let now = timers::now();
        let (id, actions) = {
            let mut state = self.lock();
            let (id, actions) = state.controller.confirm(primary, point, now + timeout, now);
            state.confirmations.insert(id, sender);
            (id, actions)
        };
        let _cancel = CancelGuard {
            watcher: self,
            wait: WaitId::Confirm(id),
        };
        self.perform(actions);
        receiver
            .await
            .unwrap_or(Err(RequestRefusal::OutcomeUnknown))
    }

    /// Waits for the floor of a session that starts now.
    ///
    /// Fails with [`RequestRefusal::NoEndpoint`] after `timeout`.
    pub async fn floor(self: &Arc<Self>, timeout: Duration) -> Result<LogPoint, RequestRefusal> {
        let (sender, receiver) = oneshot::channel();
        let now = timers::now();
        let (id, actions) = {
            let mut state = self.lock();
            let (id, actions) = state.controller.floor(now + timeout, now);
            state.floors.insert(id, sender);
            (id, actions)
        };
        let _cancel = CancelGuard {
            watcher: self,
            wait: WaitId::Floor(id),
        };
        self.perform(actions);
        receiver.await.unwrap_or(Err(RequestRefusal::NoEndpoint))
    }

    /// Runs the controller's periodic work and carries out the resulting actions.
    pub fn tick(self: &Arc<Self>) {
        let actions = self.lock().controller.tick(timers::now());
        self.perform(actions);
    }

    fn perform(self: &Arc<Self>, actions: Vec<GroupAction>) {
        for action in actions {
            match action {
                GroupAction::Status { endpoint } => self.query_status(endpoint),
                GroupAction::Await {
                    endpoint,
                    point,
                    timeout,
                } => {
                    self.start_await(endpoint, point, timeout);
                }
                GroupAction::Promotion(action) => self.start_promotion_call(action),
                GroupAction::Confirmed((id, outcome)) => {
                    if let Some(sender) = self.lock().confirmations.remove(&id) {
                        let _ = sender.send(outcome);
                    }
                }
                GroupAction::FloorReady((id, outcome)) => {
                    if let Some(sender) = self.lock().floors.remove(&id) {
                        let _ = sender.send(outcome);
                    }
                }
                GroupAction::Event(event) => (self.on_event)(event),
            }
        }
    }

    fn query_status(self: &Arc<Self>, endpoint: EndpointId) {
        self.spawn_call(
            endpoint,
            |control| Box::pin(async move { control.status(CALL_TIMEOUT).await }),
            |controller, endpoint, requested_at, answer| {
                controller.on_status(endpoint, requested_at, answer, timers::now())
            },
        );
    }

    fn start_await(self: &Arc<Self>, endpoint: EndpointId, point: LogPoint, wait: Duration) {
        self.spawn_call(
            endpoint,
            move |control| {
                Box::pin(async move { control.await_point(point, wait, AWAIT_MARGIN).await })
            },
            move |controller, endpoint, requested_at, answer| {
                controller.on_await(endpoint, point, requested_at, answer, timers::now())
            },
        );
    }

    fn start_promotion_call(self: &Arc<Self>, action: PromotionAction) {
        let (PromotionAction::Fence { endpoint, .. } | PromotionAction::Promote { endpoint, .. }) =
            &action;
        self.spawn_call(
            endpoint.clone(),
            move |control| Box::pin(async move { send_promotion(&control, &action).await }),
            |controller, endpoint, requested_at, answer| {
                controller.on_answer(endpoint, requested_at, answer, timers::now())
            },
        );
    }

    /// Calls an endpoint in a new task, and passes its answer to `record` with the controller.
    fn spawn_call(
        self: &Arc<Self>,
        endpoint: EndpointId,
        call: impl FnOnce(Arc<EndpointControl>) -> BoxFuture<'static, ControlAnswer> + Send + 'static,
        record: impl FnOnce(
            &mut GroupController,
            &EndpointId,
            MonotonicTime,
            Result<EndpointStatus, CallFailure>,
        ) -> Vec<GroupAction>
        + Send
        + 'static,
    ) {
        let Some(control) = self.control_of(&endpoint) else {
            return;
        };
        let watcher = self.clone();
        tokio::spawn(async move {
            let requested_at = timers::now();
            let answer = call(control).await;
            let answer = watcher.convert_failure(&endpoint, answer);
            let actions = record(
                &mut watcher.lock().controller,
                &endpoint,
                requested_at,
                answer,
            );
            watcher.perform(actions);
        });
    }

    fn convert_failure(
        &self,
        endpoint: &EndpointId,
        answer: ControlAnswer,
    ) -> Result<EndpointStatus, CallFailure> {
        answer.map_err(|error| {
            debug!("group: call to {endpoint} failed: {error}");
            error.call_failure()
        })
    }

    fn control_of(&self, endpoint: &EndpointId) -> Option<Arc<EndpointControl>> {
        self.lock().controls.get(endpoint).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, WatcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send_promotion(control: &EndpointControl, action: &PromotionAction) -> ControlAnswer {
    match action {
        PromotionAction::Fence { term, proposer, .. } => {
            control.fence(*term, proposer, CALL_TIMEOUT).await
        }
        PromotionAction::Promote { term, proposer, .. } => {
            control.promote(*term, proposer, CALL_TIMEOUT).await
        }
    }
}

/// Identifies a wait for a confirmation or a floor.
enum WaitId {
    Confirm(ConfirmationId),
    Floor(FloorId),
}

/// Cancels a wait in the controller when the waiting future is dropped.
struct CancelGuard<'a> {
    watcher: &'a GroupWatcher,
    wait: WaitId,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.watcher.lock();
        match self.wait {
            WaitId::Confirm(id) => {
                if state.confirmations.remove(&id).is_some() {
                    state.controller.cancel_confirmation(id);
                }
            }
            WaitId::Floor(id) => {
                if state.floors.remove(&id).is_some() {
                    state.controller.cancel_floor(id);
                }
            }
        }
    }
}

fn controls_of(endpoints: Vec<WatchedEndpoint>) -> BTreeMap<EndpointId, Arc<EndpointControl>> {
    let to_entry = |endpoint: WatchedEndpoint| (endpoint.member.endpoint, endpoint.control);
    endpoints.into_iter().map(to_entry).collect()
}
