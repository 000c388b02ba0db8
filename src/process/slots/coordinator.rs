//! The coordinator of a service: queues requests for slots and grants permits.

use std::time::Duration;

use crate::process::slots::messages::PermitId;
use crate::process::slots::messages::SlotMessage;
use crate::process::slots::queue::QueueSettings;
use crate::process::slots::queue::SlotAction;
use crate::process::slots::queue::SlotQueue;
use crate::process::slots::queue::SlotRequest;
use crate::process::slots::rendezvous::RendezvousMember;
use crate::process::slots::rendezvous::spread_order;
use crate::process::timers::MonotonicTime;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;
use crate::version::units::SlotCount;
use crate::version::units::TeamWeight;

/// Maximum number of instances that connect to the endpoints of one service.
pub const MAX_SERVING_INSTANCES: usize = 15;

/// Time during which a new coordinator only records held permits, before it grants any.
pub const TAKEOVER_TIME: Duration = Duration::from_millis(50);

/// Age up to which a permit that its holder does not list counts as granted but not yet received.
const GRANT_DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Returns the instances that connect to a service's endpoints, the coordinator first.
pub fn serving_instances(service: &ServiceId, live: &[RendezvousMember]) -> Vec<InstanceId> {
    let mut order = spread_order(service.as_str(), live);
    order.truncate(MAX_SERVING_INSTANCES);
    order
}

/// The queue of one service, with the messages that its coordinator exchanges.
#[derive(Debug, Clone)]
pub struct SlotCoordinator {
    queue: SlotQueue,
    ready_at: MonotonicTime,
}

impl SlotCoordinator {
    /// Creates the coordinator of a service. It grants permits only after [`TAKEOVER_TIME`], so
    /// that the instances can list the permits that they hold.
    pub fn new(settings: QueueSettings, now: MonotonicTime) -> Self {
        Self {
            queue: SlotQueue::new(settings),
            ready_at: now + TAKEOVER_TIME,
        }
    }

    /// Returns the queue.
    pub fn queue(&self) -> &SlotQueue {
        &self.queue
    }

    /// Sets the endpoints' slots and the teams' weights of the bundle in force.
    pub fn set_service(
        &mut self,
        slots: &[(EndpointId, SlotCount)],
        weights: &[(TeamId, TeamWeight)],
        now: MonotonicTime,
    ) {
        self.queue.set_endpoints(slots);
        for (team, weight) in weights {
            self.queue.set_weight(team, *weight, now);
        }
    }

    /// Handles a message from an instance and returns the messages to send.
    pub fn on_message(
        &mut self,
        from: &InstanceId,
        message: SlotMessage,
        now: MonotonicTime,
    ) -> Vec<(InstanceId, SlotMessage)> {
        let id = |number| PermitId {
            instance: from.clone(),
            number,
        };
        let mut answers = Vec::new();
        let actions = match message {
            SlotMessage::Request { number, query } => {
                let id = id(number);
                if let Some(endpoint) = self.queue.running_endpoint(&id) {
                    let endpoint = endpoint.clone();
                    answers.push((from.clone(), SlotMessage::Grant { number, endpoint }));
                    Vec::new()
                } else if self.queue.is_waiting(&id) {
                    answers.push((from.clone(), SlotMessage::Queued { number }));
                    Vec::new()
                } else {
                    let request = SlotRequest {
                        id: id.clone(),
                        team: query.team,
                        class: query.class,
                        eligible: query.eligible,
                        deadline: now + Duration::from_millis(query.wait_ms),
                    };
                    let actions = if now < self.ready_at {
                        self.queue.enqueue(request, now)
                    } else {
                        self.queue.push(request, now)
                    };
                    if self.queue.is_waiting(&id) {
                        answers.push((from.clone(), SlotMessage::Queued { number }));
                    }
                    actions
                }
            }
            SlotMessage::Release { number, used_us } => {
                let used = Duration::from_micros(used_us);
                self.queue.release(&id(number), Some(used), now)
            }
            SlotMessage::Cancel { number } => {
                self.queue.cancel(&id(number));
                Vec::new()
            }
            SlotMessage::Held { permits } => {
                for permit in &permits {
                    let id = id(permit.number);
                    self.queue
                        .record_running(id, &permit.team, &permit.endpoint, now);
                }
                let mut actions = Vec::new();
                for running in self.queue.permits_of(from, now) {
                    let listed = permits.iter().any(|permit| permit.number == running.number);
                    if !listed && self.queue.age(&running, now) > GRANT_DELIVERY_TIME {
                        actions.extend(self.queue.release(&running, None, now));
                    }
                }
                actions
            }
            SlotMessage::Queued { .. } | SlotMessage::Grant { .. } | SlotMessage::Refuse { .. } => {
                Vec::new()
            }
        };
        answers.extend(to_messages(actions));
        answers
    }

    /// Removes the requests and releases the permits of an instance that is judged dead.
    pub fn remove_instance(
        &mut self,
        instance: &InstanceId,
        now: MonotonicTime,
    ) -> Vec<(InstanceId, SlotMessage)> {
        to_messages(self.queue.remove_instance(instance, now))
    }

    /// Refuses requests past their deadline and grants free slots, once the takeover time is over.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<(InstanceId, SlotMessage)> {
        if now < self.ready_at {
            return Vec::new();
        }
        to_messages(self.queue.tick(now))
    }
}

fn to_messages(actions: Vec<SlotAction>) -> Vec<(InstanceId, SlotMessage)> {
    let message = |action| match action {
        SlotAction::Grant { id, endpoint } => {
            let number = id.number;
            (id.instance, SlotMessage::Grant { number, endpoint })
        }
        SlotAction::Refuse { id, refusal } => {
            let number = id.number;
            (id.instance, SlotMessage::Refuse { number, refusal })
        }
    };
    actions.into_iter().map(message).collect()
}
