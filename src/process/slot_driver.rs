//! Runs the slot queue of one service in a daemon: permits, messages and the coordinator's part.

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

/// A slot message with the service it is about and the instance that sent it.
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

/// Sends a message to an instance and returns the messages that it answers with.
pub type SlotSendFn =
    Arc<dyn Fn(InstanceId, SlotEnvelope) -> BoxFuture<'static, Vec<SlotMessage>> + Send + Sync>;

/// The endpoints and weights that the queue of a service goes by.
#[derive(Debug, Clone, Default)]
pub struct SlotPlan {
    /// The slots of each endpoint, for all instances together.
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
    coordinator: Option<SlotCoordinator>,
    live: BTreeSet<InstanceId>,
    first: Option<InstanceId>,
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
    /// Creates a driver that knows no coordinator.
    pub fn new(service: ServiceId, instance: InstanceId, plan: SlotPlan, send: SlotSendFn) -> Self {
        let state = SlotState {
            plan,
            client: SlotClient::new(),
            coordinator: None,
            live: BTreeSet::new(),
            first: None,
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

    /// Takes endpoints and weights of a newer bundle.
    pub fn set_plan(&self, plan: SlotPlan) {
        let mut state = self.lock();
        if let Some(coordinator) = &mut state.coordinator {
            coordinator.set_service(&plan.slots, &plan.weights, timers::now());
        }
        state.plan = plan;
    }

    /// Takes the live instances, on which the coordinator depends.
    pub fn set_live(self: &Arc<Self>, live: &[RendezvousMember]) {
        let now = timers::now();
        let serving = serving_instances(&self.service, live);
        let first = serving.first().cloned();
        let mut state = self.lock();
        let mut outgoing = Vec::new();
        if first.as_ref() == Some(&self.instance) {
            self.take_over(&mut state, now);
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
        state.first = first.clone();
        let total = state.plan.total();
        let actions = state
            .client
            .set_coordinator(first, total, serving.len(), now);
        outgoing.extend(self.settle(&mut state, actions, now));
        drop(state);
        self.dispatch(outgoing);
    }

    fn take_over(&self, state: &mut SlotState, now: MonotonicTime) {
        if state.coordinator.is_none() {
            let mut coordinator = SlotCoordinator::new(QueueSettings::default(), now);
            coordinator.set_service(&state.plan.slots, &state.plan.weights, now);
            state.coordinator = Some(coordinator);
        }
    }

    /// Returns the instance that coordinates the service's slots.
    pub fn coordinator(&self) -> Option<InstanceId> {
        self.lock().first.clone()
    }

    /// Returns the share of an endpoint's slots that this instance uses.
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

    /// Waits for a permit.
    pub async fn take(self: &Arc<Self>, query: PermitQuery) -> Result<HeldSlot, RequestRefusal> {
        let (sender, receiver) = oneshot::channel();
        let now = timers::now();
        let (number, outgoing) = {
            let mut state = self.lock();
            let (number, actions) = state.client.request(query, now);
            state.waiters.insert(number, sender);
            (number, self.settle(&mut state, actions, now))
        };
        // Until the permit is here, dropping the future gives up the request.
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

    /// Takes a message of another instance and returns the answers for it.
    pub fn on_envelope(self: &Arc<Self>, envelope: SlotEnvelope) -> Vec<SlotMessage> {
        let now = timers::now();
        let from = envelope.from;
        let mut state = self.lock();
        let outgoing = match envelope.message {
            message @ (SlotMessage::Queued { .. }
            | SlotMessage::Grant { .. }
            | SlotMessage::Refuse { .. }) => {
                let actions = state.client.on_message(&from, message, now);
                self.settle(&mut state, actions, now)
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

    /// Does what is due.
    pub fn tick(self: &Arc<Self>) {
        let now = timers::now();
        let mut state = self.lock();
        let answers = match &mut state.coordinator {
            Some(coordinator) => coordinator.tick(now),
            None => Vec::new(),
        };
        let mut outgoing = self.deliver(&mut state, answers, now);
        let actions = state.client.tick(now);
        outgoing.extend(self.settle(&mut state, actions, now));
        drop(state);
        self.dispatch(outgoing);
    }

    fn release(self: &Arc<Self>, number: u64) {
        let now = timers::now();
        let mut state = self.lock();
        let actions = state.client.release(number, now);
        let outgoing = self.settle(&mut state, actions, now);
        drop(state);
        self.dispatch(outgoing);
    }

    fn cancel(self: &Arc<Self>, number: u64) {
        let now = timers::now();
        let mut state = self.lock();
        state.waiters.remove(&number);
        let mut actions = state.client.cancel(number);
        // The permit may have been granted while the request gave up.
        actions.extend(state.client.release(number, now));
        let outgoing = self.settle(&mut state, actions, now);
        drop(state);
        self.dispatch(outgoing);
    }

    /// Hands answers of the own coordinator to the own client, and returns those for others.
    fn deliver(&self, state: &mut SlotState, answers: Outgoing, now: MonotonicTime) -> Outgoing {
        let (own, mut outgoing): (Outgoing, Outgoing) = answers
            .into_iter()
            .partition(|(to, _)| *to == self.instance);
        for (_, message) in own {
            let actions = state.client.on_message(&self.instance, message, now);
            outgoing.extend(self.settle(state, actions, now));
        }
        outgoing
    }

    /// Carries out what the client decided, and returns the messages for other instances.
    fn settle(
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

/// A request that waits for a permit; it is given up when this is dropped.
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

/// A slot in use; it is free again when this is dropped.
pub struct HeldSlot {
    driver: Arc<SlotDriver>,
    number: u64,
    endpoint: EndpointId,
}

impl HeldSlot {
    /// Returns the endpoint whose slot it is.
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
