//! Requests and holds an instance's permits for one service.
//!
//! While no coordinator answers, the instance runs requests on its own fraction of the slots.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::slots::messages::HeldPermit;
use crate::process::slots::messages::PermitQuery;
use crate::process::slots::messages::SlotMessage;
use crate::process::timers::MonotonicTime;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;
use crate::version::units::SlotCount;

/// Time after which a coordinator that has not granted, queued or refused a request is silent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Interval at which a queued request is repeated, in case the coordinator lost it.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before a silent coordinator is sent another request.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which the held permits are listed, which frees slots whose release was lost.
const LIST_INTERVAL: Duration = Duration::from_millis(200);

/// An action that the instance carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientAction {
    /// Send a message to the coordinator.
    Send {
        to: InstanceId,
        message: SlotMessage,
    },
    /// Run the request on the endpoint.
    Run { number: u64, endpoint: EndpointId },
    /// Tell the caller that the request did not run.
    Refuse {
        number: u64,
        refusal: RequestRefusal,
    },
}

#[derive(Debug, Clone)]
struct PendingPermit {
    query: PermitQuery,
    deadline: MonotonicTime,
    requested_at: MonotonicTime,
    answered: bool,
    /// Whether the request was sent to the current coordinator.
    sent: bool,
}

#[derive(Debug, Clone)]
struct ActivePermit {
    permit: HeldPermit,
    since: MonotonicTime,
    /// Whether it was started without a coordinator's grant.
    local: bool,
}

/// The permits and waiting requests of one instance at one service.
#[derive(Debug, Clone)]
pub struct SlotClient {
    coordinator: Option<InstanceId>,
    /// Number of requests that may run while no coordinator answers.
    local_slots: usize,
    pending: BTreeMap<u64, PendingPermit>,
    running: BTreeMap<u64, ActivePermit>,
    last_number: u64,
    silent_until: MonotonicTime,
    next_listing: MonotonicTime,
}

impl SlotClient {
    /// Creates a client without a coordinator.
    pub fn new() -> Self {
        Self {
            coordinator: None,
            local_slots: 1,
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            last_number: 0,
            silent_until: MonotonicTime::default(),
            next_listing: MonotonicTime::default(),
        }
    }

    /// Returns the number of held permits that no coordinator granted.
    pub fn local_running(&self) -> usize {
        self.running
            .values()
            .filter(|running| running.local)
            .count()
    }

    /// Sets the coordinator, and the number of local slots: `slots` divided evenly among `serving`
    /// instances, and at least one.
    ///
    /// Lists the held permits and repeats all pending requests to a new coordinator.
    pub fn set_coordinator(
        &mut self,
        coordinator: Option<InstanceId>,
        slots: SlotCount,
        serving: usize,
        now: MonotonicTime,
    ) -> Vec<ClientAction> {
        let slots = usize::try_from(slots.0).unwrap_or(usize::MAX);
        self.local_slots = (slots / serving.max(1)).max(1);
        let mut actions = Vec::new();
        if self.coordinator != coordinator {
            self.coordinator = coordinator;
            self.silent_until = now;
            self.send_held(now, &mut actions);
            for number in self.pending.keys().copied().collect::<Vec<_>>() {
                self.send_request(number, now, &mut actions);
            }
        }
        actions
    }

    /// Requests a permit and returns its number.
    pub fn request(&mut self, query: PermitQuery, now: MonotonicTime) -> (u64, Vec<ClientAction>) {
        self.last_number += 1;
        let number = self.last_number;
        let pending = PendingPermit {
            deadline: now + Duration::from_millis(query.wait_ms),
            query,
            requested_at: now,
            answered: false,
            sent: false,
        };
        self.pending.insert(number, pending);
        let mut actions = Vec::new();
        self.send_request(number, now, &mut actions);
        self.start_local(now, &mut actions);
        (number, actions)
    }

    /// Cancels a pending request.
    pub fn cancel(&mut self, number: u64) -> Vec<ClientAction> {
        let sent = self
            .pending
            .remove(&number)
            .is_some_and(|pending| pending.sent);
        let message = SlotMessage::Cancel { number };
        self.coordinator
            .iter()
            .filter(|_| sent)
            .map(|to| send(to, message.clone()))
            .collect()
    }

    /// Releases a permit and reports its slot time to the coordinator.
    pub fn release(&mut self, number: u64, now: MonotonicTime) -> Vec<ClientAction> {
        let mut actions = Vec::new();
        if let Some(running) = self.running.remove(&number) {
            let used = now.saturating_since(running.since).as_micros();
            let used_us = u64::try_from(used).unwrap_or(u64::MAX);
            if let Some(to) = &self.coordinator {
                actions.push(send(to, SlotMessage::Release { number, used_us }));
            }
        }
        self.start_local(now, &mut actions);
        actions
    }

    /// Handles a message from the coordinator.
    pub fn on_message(
        &mut self,
        from: &InstanceId,
        message: SlotMessage,
        now: MonotonicTime,
    ) -> Vec<ClientAction> {
        let mut actions = Vec::new();
        match message {
            SlotMessage::Queued { number } => {
                if let Some(pending) = self.pending.get_mut(&number) {
                    pending.answered = true;
                }
            }
            SlotMessage::Grant { number, endpoint } => {
                if let Some(pending) = self.pending.remove(&number) {
                    self.start(number, pending, endpoint, false, now, &mut actions);
                } else if !self.running.contains_key(&number) {
                    // The request is no longer pending here: release the slot.
                    actions.push(send(from, SlotMessage::Release { number, used_us: 0 }));
                }
            }
            SlotMessage::Refuse { number, refusal } => {
                let known = self.pending.remove(&number);
                actions.extend(known.map(|_| ClientAction::Refuse { number, refusal }));
            }
            _ => {}
        }
        actions
    }

    /// Refuses requests past their deadline, detects a silent coordinator, repeats requests and
    /// lists the held permits.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ClientAction> {
        let mut actions = Vec::new();
        for (number, pending) in self.pending.clone() {
            let waited = now.saturating_since(pending.requested_at);
            if now >= pending.deadline {
                actions.extend(self.cancel(number));
                let refusal = RequestRefusal::QueueDeadline;
                actions.push(ClientAction::Refuse { number, refusal });
            } else if pending.sent && !pending.answered && waited >= ANSWER_TIMEOUT {
                self.silent_until = now + RETRY_PAUSE;
            } else if now >= self.silent_until && (!pending.sent || waited >= REPEAT_INTERVAL) {
                self.send_request(number, now, &mut actions);
            }
        }
        self.start_local(now, &mut actions);
        if now >= self.next_listing {
            self.send_held(now, &mut actions);
        }
        actions
    }

    fn send_request(&mut self, number: u64, now: MonotonicTime, actions: &mut Vec<ClientAction>) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        pending.sent = false;
        let Some(to) = self
            .coordinator
            .as_ref()
            .filter(|_| now >= self.silent_until)
        else {
            return;
        };
        pending.sent = true;
        pending.answered = false;
        pending.requested_at = now;
        let left = pending.deadline.saturating_since(now).as_millis();
        let query = PermitQuery {
            wait_ms: u64::try_from(left).unwrap_or(u64::MAX),
            ..pending.query.clone()
        };
        actions.push(send(to, SlotMessage::Request { number, query }));
    }

    /// Starts requests on the local slots while the coordinator is silent or unknown.
    fn start_local(&mut self, now: MonotonicTime, actions: &mut Vec<ClientAction>) {
        if self.coordinator.is_some() && now >= self.silent_until {
            return;
        }
        for number in self.pending.keys().copied().collect::<Vec<_>>() {
            if self.running.len() >= self.local_slots {
                return;
            }
            let Some(pending) = self.pending.remove(&number) else {
                continue;
            };
            // Spread over the eligible endpoints: without a coordinator, their load is unknown.
            let count = u64::try_from(pending.query.eligible.len().max(1)).unwrap_or(1);
            let index = usize::try_from(number % count).unwrap_or(0);
            match pending.query.eligible.get(index).cloned() {
                Some(endpoint) => self.start(number, pending, endpoint, true, now, actions),
                None => {
                    let refusal = RequestRefusal::NoEndpoint;
                    actions.push(ClientAction::Refuse { number, refusal });
                }
            }
        }
    }

    fn start(
        &mut self,
        number: u64,
        pending: PendingPermit,
        endpoint: EndpointId,
        local: bool,
        now: MonotonicTime,
        actions: &mut Vec<ClientAction>,
    ) {
        let permit = HeldPermit {
            number,
            team: pending.query.team,
            endpoint: endpoint.clone(),
        };
        let running = ActivePermit {
            permit,
            since: now,
            local,
        };
        self.running.insert(number, running);
        actions.push(ClientAction::Run { number, endpoint });
    }

    fn send_held(&mut self, now: MonotonicTime, actions: &mut Vec<ClientAction>) {
        self.next_listing = now + LIST_INTERVAL;
        if let Some(to) = &self.coordinator {
            let permits = self
                .running
                .values()
                .map(|running| running.permit.clone())
                .collect();
            actions.push(send(to, SlotMessage::Held { permits }));
        }
    }
}

impl Default for SlotClient {
    fn default() -> Self {
        Self::new()
    }
}

fn send(to: &InstanceId, message: SlotMessage) -> ClientAction {
    ClientAction::Send {
        to: to.clone(),
        message,
    }
}
