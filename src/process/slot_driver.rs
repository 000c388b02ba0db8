//! Drives the slot queue of one service in a daemon: the client that requests permits, and the
//! coordinator while this instance has that role.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use futures_util::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::process::slots::client::ClientAction;
use crate::process::slots::client::SlotClient;
use crate::process::slots::coordinator::SlotCoordinator;
use crate::process::slots::coordinator::serving_instances;
use crate::process::slots::messages::PermitQuery;
use crate::process::slots::messages::SlotMessage;
use crate::process::slots::queue::QueueSettings;
use crate::process::slots::rendezvous::RendezvousMember;
use crate::process::timers;
use crate::process::timers::MonotonicTime;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;
use crate::version::units::SlotCount;
use crate::version::units::TeamWeight;

/// A slot message with its service and sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct SlotEnvelope {
    /// The service.
    pub service: ServiceId,
    /// The sender.
    pub from: InstanceId,
    /// The message.
    pub message: SlotMessage,
}

/// Sends a message to an instance and returns the messages in its answer.
pub type SlotSendFn =
    Arc<dyn Fn(InstanceId, SlotEnvelope) -> BoxFuture<'static, Vec<SlotMessage>> + Send + Sync>;

/// The endpoints and team weights that the queue of a service uses.
#[derive(Debug, Clone, Default)]
pub struct SlotPlan {
    /// The slots of each endpoint, shared by all instances.
    pub slots: Vec<(EndpointId, SlotCount)>,
    /// The weight of each team.
    pub weights: Vec<(TeamId, TeamWeight)>,
}

impl SlotPlan {
    fn total(&self) -> SlotCount {
        SlotCount(self.slots.iter().map(|(_, slots)| slots.0).sum())
    }
}

type PermitSender = oneshot::Sender<Result<EndpointId, RequestRefusal>>;

struct SlotState {
    plan: SlotPlan,
    client: SlotClient,
    /// The coordinator, while this instance has that role.
    coordinator: Option<SlotCoordinator>,
    live: BTreeSet<InstanceId>,
    /// The instance that coordinates the service's slots.
    coordinator_id: Option<InstanceId>,
    waiters: HashMap<u64, PermitSender>,
    active: HashMap<EndpointId, usize>,
}

/// The permits of one service on one instance.
pub struct SlotDriver {
    service: ServiceId,
    instance: InstanceId,
    send: SlotSendFn,
    state: Mutex<SlotState>,
}

type Outgoing = Vec<(InstanceId, SlotMessage)>;

impl SlotDriver {
    /// Creates a driver without a coordinator; [`SlotDriver::set_live`] sets it.
    pub fn new(service: ServiceId, instance: InstanceId, plan: SlotPlan, send: SlotSendFn) -> Self {
        let state = SlotState {
            plan,
            client: SlotClient::new(),
            coordinator: None,
            live: BTreeSet::new(),
            coordinator_id: None,
            waiters: HashMap::new(),
            active: HashMap::new(),
        };
        Self {
            service,
            instance,
            send,
            state: Mutex::new(state),
        }
    }

    /// Applies the endpoints and weights of a newer bundle.
    pub fn set_plan(&self, plan: SlotPlan) {
        let mut state = self.lock();
        if let Some(coordinator) = &mut state.coordinator {
            coordinator.set_service(&plan.slots, &plan.weights, timers::now());
        }
        state.plan = plan;
    }

    /// Sets the live instances, which determine the coordinator.
    pub fn set_live(self: &Arc<Self>, live: &[RendezvousMember]) {
        let now = timers::now();
        let serving = serving_instances(&self.service, live);
        let coordinator_id = serving.first().cloned();
        let mut state = self.lock();
        let mut outgoing = Vec::new();
        if coordinator_id.as_ref() == Some(&self.instance) {
            self.start_coordinator(&mut state, now);
        } else {
            state.coordinator = None;
        }
        let live: BTreeSet<InstanceId> =
            live.iter().map(|member| member.instance.clone()).collect();
        let gone: Vec<InstanceId> = state.live.difference(&live).cloned().collect();
        for instance in gone {
            let answers = match &mut state.coordinator {
                Some(coordinator) => coordinator.remove_instance(&instance, now),
                None => Vec::new(),
            };
            outgoing.extend(self.deliver(&mut state, answers, now));
        }
        state.live = live;
        state.coordinator_id = coordinator_id.clone();
        let total = state.plan.total();
        let actions = state
            .client
            .set_coordinator(coordinator_id, total, serving.len(), now);
        outgoing.extend(self.apply_actions(&mut state, actions, now));
        drop(state);
        self.dispatch(outgoing);
    }

    fn start_coordinator(&self, state: &mut SlotState, now: MonotonicTime) {
        if state.coordinator.is_none() {
            let mut coordinator = SlotCoordinator::new(QueueSettings::default(), now);
            coordinator.set_service(&state.plan.slots, &state.plan.weights, now);
            state.coordinator = Some(coordinator);
        }
    }

    /// Returns the instance that coordinates the service's slots.
    pub fn coordinator(&self) -> Option<InstanceId> {
        self.lock().coordinator_id.clone()
    }

    /// Returns the fraction of an endpoint's slots that this instance uses.
    pub fn load_of(&self, endpoint: &EndpointId) -> f64 {
        let state = self.lock();
        let active = state.active.get(endpoint).copied().unwrap_or(0);
        let total = state
            .plan
            .slots
            .iter()
            .find(|(id, _)| id == endpoint)
            .map_or(1, |(_, s)| s.0);
        active as f64 / f64::from(total.max(1))
    }

    /// Requests a slot and waits for its permit.
    ///
    /// Dropping the future cancels the request.
    pub async fn acquire(self: &Arc<Self>, query: PermitQuery) -> Result<HeldSlot, RequestRefusal> {
        let (sender, receiver) = oneshot::channel();
        let now = timers::now();
        let (number, outgoing) = {
            let mut state = self.lock();
            let (number, actions) = state.client.request(query, now);
            state.waiters.insert(number, sender);
            (number, self.apply_actions(&mut state, actions, now))
        };
        // Until the permit arrives, dropping the future cancels the request.
        let pending = PendingSlot {
            driver: self,
            number,
            done: false,
        };
        self.dispatch(outgoing);
        let endpoint = receiver.await.unwrap_or(Err(RequestRefusal::QueueDeadline));
        pending.finish();
        let endpoint = endpoint?;
        *self.lock().active.entry(endpoint.clone()).or_default() += 1;
        Ok(HeldSlot {
            driver: self.clone(),
            number,
            endpoint,
        })
    }

    /// Handles a message of another instance and returns the messages for that instance.
    pub fn on_envelope(self: &Arc<Self>, envelope: SlotEnvelope) -> Vec<SlotMessage> {
        let now = timers::now();
        let from = envelope.from;
        let mut state = self.lock();
        let outgoing = match envelope.message {
            message @ (SlotMessage::Queued { .. }
            | SlotMessage::Grant { .. }
            | SlotMessage::Refuse { .. }) => {
                let actions = state.client.on_message(&from, message, now);
                self.apply_actions(&mut state, actions, now)
            }
            message => {
                let answers = match &mut state.coordinator {
                    Some(coordinator) => coordinator.on_message(&from, message, now),
                    None => Vec::new(),
                };
                self.deliver(&mut state, answers, now)
            }
        };
        drop(state);
        let (answers, others): (Outgoing, Outgoing) =
            outgoing.into_iter().partition(|(to, _)| *to == from);
        self.dispatch(others);
        answers.into_iter().map(|(_, message)| message).collect()
    }

    /// Runs the due work of the client and the coordinator.
    pub fn tick(self: &Arc<Self>) {
        let now = timers::now();
        let mut state = self.lock();
        let answers = match &mut state.coordinator {
            Some(coordinator) => coordinator.tick(now),
            None => Vec::new(),
        };
        let mut outgoing = self.deliver(&mut state, answers, now);
        let actions = state.client.tick(now);
        outgoing.extend(self.apply_actions(&mut state, actions, now));
        drop(state);
        self.dispatch(outgoing);
    }

    fn release(self: &Arc<Self>, number: u64) {
        let now = timers::now();
        let mut state = self.lock();
        let actions = state.client.release(number, now);
        let outgoing = self.apply_actions(&mut state, actions, now);
        drop(state);
        self.dispatch(outgoing);
    }

    fn cancel(self: &Arc<Self>, number: u64) {
        let now = timers::now();
        let mut state = self.lock();
        state.waiters.remove(&number);
        let mut actions = state.client.cancel(number);
        // The permit may have been granted at the same time.
        actions.extend(state.client.release(number, now));
        let outgoing = self.apply_actions(&mut state, actions, now);
        drop(state);
        self.dispatch(outgoing);
    }

    /// Passes the local coordinator's answers to the local client, and returns those for other
    /// instances.
    fn deliver(&self, state: &mut SlotState, answers: Outgoing, now: MonotonicTime) -> Outgoing {
        let (own, mut outgoing): (Outgoing, Outgoing) = answers
            .into_iter()
            .partition(|(to, _)| *to == self.instance);
        for (_, message) in own {
            let actions = state.client.on_message(&self.instance, message, now);
            outgoing.extend(self.apply_actions(state, actions, now));
        }
        outgoing
    }

    /// Performs the client's actions, and returns the messages for other instances.
    fn apply_actions(
        &self,
        state: &mut SlotState,
        actions: Vec<ClientAction>,
        now: MonotonicTime,
    ) -> Outgoing {
        let mut outgoing = Vec::new();
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                ClientAction::Run { number, endpoint } => {
                    let waiter = state.waiters.remove(&number);
                    if waiter.is_none_or(|waiter| waiter.send(Ok(endpoint)).is_err()) {
                        actions.extend(state.client.release(number, now));
                    }
                }
                ClientAction::Refuse { number, refusal } => {
                    if let Some(waiter) = state.waiters.remove(&number) {
                        let _ = waiter.send(Err(refusal));
                    }
                }
                ClientAction::Send { to, message } if to == self.instance => {
                    let answers = match &mut state.coordinator {
                        Some(coordinator) => coordinator.on_message(&to, message, now),
                        None => Vec::new(),
                    };
                    outgoing.extend(self.deliver(state, answers, now));
                }
                ClientAction::Send { to, message } => outgoing.push((to, message)),
            }
        }
        outgoing
    }

    fn dispatch(self: &Arc<Self>, outgoing: Outgoing) {
        for (to, message) in outgoing {
            let envelope = SlotEnvelope {
                service: self.service.clone(),
                from: self.instance.clone(),
                message,
            };
            let driver = self.clone();
            let sending = (self.send)(to.clone(), envelope);
            tokio::spawn(async move {
                for message in sending.await {
                    let envelope = SlotEnvelope {
                        service: driver.service.clone(),
                        from: to.clone(),
                        message,
                    };
                    driver.on_envelope(envelope);
                }
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that waits for a permit; dropping it before `finish` cancels the request.
struct PendingSlot<'a> {
    driver: &'a Arc<SlotDriver>,
    number: u64,
    done: bool,
}

impl PendingSlot<'_> {
    fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for PendingSlot<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.driver.cancel(self.number);
        }
    }
}

/// A slot in use; dropping it releases the slot.
pub struct HeldSlot {
    driver: Arc<SlotDriver>,
    number: u64,
    endpoint: EndpointId,
}

impl HeldSlot {
    /// Returns the endpoint to which the slot belongs.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        if let Some(active) = self.driver.lock().active.get_mut(&self.endpoint) {
            *active = active.saturating_sub(1);
        }
        self.driver.release(self.number);
    }
}
