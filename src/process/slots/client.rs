//! An instance's side of the permits of one service, with the fallback without a coordinator.

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

/// How long an answer may take, the wait in the queue not counted.
const ANSWER_TIME: Duration = Duration::from_millis(30);
/// How often a queued request asks whether the coordinator still has it.
const REPEAT_TIME: Duration = Duration::from_millis(100);
/// How long a silent coordinator is not asked again.
const RETRY_TIME: Duration = Duration::from_millis(250);
/// How often the held permits are listed; a slot whose release was lost is free again after that.
const LIST_TIME: Duration = Duration::from_millis(200);

/// What the instance has to do.
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
    remote: bool,
}

#[derive(Debug, Clone)]
struct RunningHere {
    permit: HeldPermit,
    since: MonotonicTime,
    local: bool,
}

/// The permits and waiting requests of one instance at one service.
#[derive(Debug, Clone)]
pub struct SlotClient {
    coordinator: Option<InstanceId>,
    /// The slots that it uses on its own where no coordinator answers.
    local_slots: usize,
    pending: BTreeMap<u64, PendingPermit>,
    running: BTreeMap<u64, RunningHere>,
    last_number: u64,
    silent_until: MonotonicTime,
    next_list: MonotonicTime,
}

impl SlotClient {
    /// Creates a client that knows no coordinator.
    pub fn new() -> Self {
        Self {
            coordinator: None,
            local_slots: 1,
            pending: BTreeMap::new(),
            running: BTreeMap::new(),
            last_number: 0,
            silent_until: MonotonicTime::default(),
            next_list: MonotonicTime::default(),
        }
    }

    /// Returns how many permits it holds that no coordinator granted.
    pub fn local_running(&self) -> usize {
        self.running
            .values()
            .filter(|running| running.local)
            .count()
    }

    /// Sets the coordinator, and the part of the slots for the time without one.
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
            self.list(now, &mut actions);
            for number in self.pending.keys().copied().collect::<Vec<_>>() {
                self.ask(number, now, &mut actions);
            }
        }
        actions
    }

    /// Asks for a permit; returns its number.
    pub fn request(&mut self, query: PermitQuery, now: MonotonicTime) -> (u64, Vec<ClientAction>) {
        self.last_number += 1;
        let number = self.last_number;
        let pending = PendingPermit {
            deadline: now + Duration::from_millis(query.wait_ms),
            query,
            requested_at: now,
            answered: false,
            remote: false,
        };
        self.pending.insert(number, pending);
        let mut actions = Vec::new();
        self.ask(number, now, &mut actions);
        self.start_local(now, &mut actions);
        (number, actions)
    }

    /// Gives up a request that waits.
    pub fn cancel(&mut self, number: u64) -> Vec<ClientAction> {
        let remote = self
            .pending
            .remove(&number)
            .is_some_and(|pending| pending.remote);
        let message = SlotMessage::Cancel { number };
        self.coordinator
            .iter()
            .filter(|_| remote)
            .map(|to| send(to, message.clone()))
            .collect()
    }

    /// Ends a permit.
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

    /// Takes a message of the coordinator.
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
                    // The request ended or ran elsewhere, so that the slot is free again.
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

    /// Refuses what waited too long, notices a silent coordinator, and lists the held permits.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<ClientAction> {
        let mut actions = Vec::new();
        for (number, pending) in self.pending.clone() {
            let waited = now.saturating_since(pending.requested_at);
            if now >= pending.deadline {
                actions.extend(self.cancel(number));
                let refusal = RequestRefusal::QueueDeadline;
                actions.push(ClientAction::Refuse { number, refusal });
            } else if pending.remote && !pending.answered && waited >= ANSWER_TIME {
                self.silent_until = now + RETRY_TIME;
            } else if now >= self.silent_until && (!pending.remote || waited >= REPEAT_TIME) {
                self.ask(number, now, &mut actions);
            }
        }
        self.start_local(now, &mut actions);
        if now >= self.next_list {
            self.list(now, &mut actions);
        }
        actions
    }

    fn ask(&mut self, number: u64, now: MonotonicTime, actions: &mut Vec<ClientAction>) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        pending.remote = false;
        let Some(to) = self
            .coordinator
            .as_ref()
            .filter(|_| now >= self.silent_until)
        else {
            return;
        };
        pending.remote = true;
        pending.answered = false;
        pending.requested_at = now;
        let left = pending.deadline.saturating_since(now).as_millis();
        let query = PermitQuery {
            wait_ms: u64::try_from(left).unwrap_or(u64::MAX),
            ..pending.query.clone()
        };
        actions.push(send(to, SlotMessage::Request { number, query }));
    }

    /// Starts requests on this instance's own part while the coordinator is silent or unknown.
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
            // Spreads over the eligible endpoints, as no queue knows which of them are busy.
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
        let running = RunningHere {
            permit,
            since: now,
            local,
        };
        self.running.insert(number, running);
        actions.push(ClientAction::Run { number, endpoint });
    }

    fn list(&mut self, now: MonotonicTime, actions: &mut Vec<ClientAction>) {
        self.next_list = now + LIST_TIME;
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
