//! The instance that holds the queue of a service.

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

/// The most instances that serve one service.
pub const SERVING_INSTANCES: usize = 15;

/// How long a new coordinator learns of permits before it grants.
pub const TAKEOVER_TIME: Duration = Duration::from_millis(50);

/// How long a permit may be missing from its holder's list before it counts as ended.
const GRANT_IN_FLIGHT: Duration = Duration::from_millis(100);

/// Returns the instances that connect to a service's endpoints, the coordinator first.
pub fn serving_instances(service: &ServiceId, live: &[RendezvousMember]) -> Vec<InstanceId> {
    let mut order = spread_order(service.as_str(), live);
    order.truncate(SERVING_INSTANCES);
    order
}

/// The queue of one service with the protocol around it.
#[derive(Debug, Clone)]
pub struct SlotCoordinator {
    queue: SlotQueue,
    ready_at: MonotonicTime,
}

impl SlotCoordinator {
    /// Takes over a service; it grants once the instances had time to list their permits.
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

    /// Takes endpoints and weights of the bundle in force.
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

    /// Takes a message of an instance and returns the answers.
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
                        self.queue.push_held(request, now)
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
                for running in self.queue.running_of(from, now) {
                    let listed = permits.iter().any(|permit| permit.number == running.number);
                    if !listed && self.queue.age(&running, now) > GRANT_IN_FLIGHT {
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

    /// Ends everything of an instance that is judged dead.
    pub fn remove_instance(
        &mut self,
        instance: &InstanceId,
        now: MonotonicTime,
    ) -> Vec<(InstanceId, SlotMessage)> {
        to_messages(self.queue.remove_instance(instance, now))
    }

    /// Refuses what waited too long, and starts to grant after a takeover.
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
