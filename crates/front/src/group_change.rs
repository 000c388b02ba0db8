//! Replaces the primary of a group without losing an acknowledged commit.

use std::rc::Rc;
use std::time::Duration;

use platform::endpoint_codec::EndpointCommand;
use platform::store_client::StoreChange;
use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_entry::GroupRole;
use session_core::group_order::GroupOrder;
use session_core::group_order::OrderPhase;
use session_core::ids::EndpointId;
use session_core::ids::InstanceId;
use session_core::ids::ServiceId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::primary_permit;
use session_core::primary_permit::REVOKE_WAIT;
use session_core::promotion_step;
use session_core::promotion_step::PromotionStep;

use crate::fleet_keys;
use crate::fleet_keys::LEADER_KEY;
use crate::fleet_keys::MemberValue;
use crate::fleet_view::Revised;
use crate::group_leader;
use crate::group_leader::ChangeReason;
use crate::group_survey::GroupSurvey;
use crate::instance::Instance;
use crate::instance_limits::STEP_PAUSE;
use crate::instance_limits::STORE_TIME;
use crate::store_lease;

/// How long a promotion may take to show before it is ordered again.
const EFFECT_TIME: Duration = Duration::from_millis(3_000);

/// How long the registry is awaited before the target itself is asked whether it leads.
const REGISTRY_TIME: Duration = Duration::from_millis(1_200);

/// The longest time to the answer of the platform to a promotion.
const DUTY_TIME: Duration = Duration::from_millis(1_000);

struct GroupChange<'a> {
    instance: &'a Rc<Instance>,
    service: &'a ServiceId,
    former: Option<EndpointId>,
    survey: GroupSurvey,
    paused: Vec<EndpointId>,
    pending: Option<PendingOrder>,
    /// Whether the former primary serves until it is replaced.
    serving: bool,
    /// Whether the former primary was told to be a replica, so that another one must lead.
    demoted: bool,
}

struct PendingOrder {
    target: EndpointId,
    revision: u64,
    accepted_at: MonotonicTime,
}

/// Replaces the primary of a group, or gives up where it recovers first.
pub async fn change_primary(instance: &Rc<Instance>, service: &ServiceId, reason: ChangeReason) {
    if reason == ChangeReason::NoOrder {
        write_first_order(instance, service).await;
        return;
    }
    let former = {
        let view = instance.view.borrow();
        match view.orders.get(service) {
            Some(order) if order.value.phase == OrderPhase::Pending => order.value.former.clone(),
            _ => view.leading_endpoint(service).ok(),
        }
    };
    tracing::warn!(
        event = "primary_change_started",
        service = %service,
        former = former.as_ref().map(EndpointId::as_str),
        ?reason,
        token = instance.token(),
    );
    let mut change = GroupChange {
        instance,
        service,
        former,
        survey: GroupSurvey::default(),
        paused: Vec::new(),
        pending: None,
        serving: reason == ChangeReason::Draining,
        demoted: false,
    };
    let started_at = now();
    let done = change.run().await;
    tracing::warn!(
        event = "primary_change_ended",
        service = %service,
        done,
        took_ms = now().saturating_since(started_at).as_millis() as u64,
    );
}

/// Orders that the endpoint leads which did so before any order was given.
async fn write_first_order(instance: &Rc<Instance>, service: &ServiceId) {
    let target = {
        let view = instance.view.borrow();
        primary_permit::first_primary(view.group(service))
    };
    let Some(target) = target else {
        return;
    };
    let change = GroupChange {
        instance,
        service,
        former: None,
        survey: GroupSurvey::default(),
        paused: Vec::new(),
        pending: None,
        serving: false,
        demoted: false,
    };
    let revision = change.write_order(&target, OrderPhase::Open).await;
    tracing::info!(event = "first_order", service = %service, target = %target, revision);
}

impl GroupChange<'_> {
    async fn run(&mut self) -> bool {
        while self.instance.leads() {
            if !self.demoted && self.pending.is_none() && !self.is_pending_in_store() {
                let reason = group_leader::change_reason(
                    self.instance,
                    self.service,
                    MonotonicTime::default(),
                );
                if reason.is_none() {
                    self.resume_paused().await;
                    return false;
                }
            }
            let entries = self.entries();
            let members = self.survey.survey(self.instance, &entries).await;
            let step = promotion_step::next_step(&members, self.former.as_ref());
            tracing::info!(event = "promotion_step", service = %self.service, ?step, ?members);
            let waits = step == PromotionStep::Wait;
            match step {
                PromotionStep::Pause { endpoints, term } => {
                    for id in endpoints {
                        self.paused.push(id.clone());
                        self.order(&id, EndpointCommand::Pause(term)).await;
                    }
                }
                PromotionStep::Demote { endpoint, term } => {
                    self.demoted = true;
                    self.order(&endpoint, EndpointCommand::Demote(term)).await;
                }
                PromotionStep::Promote(target) => {
                    if self.promote(&target).await {
                        return self.open(&target).await;
                    }
                }
                PromotionStep::Leads(target) => {
                    if self.announce(&target).await {
                        return self.open(&target).await;
                    }
                }
                PromotionStep::Wait => {}
            }
            let pause = match waits {
                true => STEP_PAUSE,
                false => STEP_PAUSE / 10,
            };
            tokio::time::sleep(pause).await;
        }
        false
    }

    fn is_pending_in_store(&self) -> bool {
        let view = self.instance.view.borrow();
        view.orders
            .get(self.service)
            .is_some_and(|order| order.value.phase == OrderPhase::Pending)
    }

    fn entries(&self) -> Vec<EndpointEntry> {
        let view = self.instance.view.borrow();
        view.group(self.service).cloned().collect()
    }

    async fn order(&mut self, id: &EndpointId, command: EndpointCommand) {
        let entry = self.instance.view.borrow().endpoints.get(id).cloned();
        if let Some(entry) = entry {
            self.survey.order(self.instance, &entry, command).await;
        }
    }

    async fn resume_paused(&mut self) {
        for id in std::mem::take(&mut self.paused) {
            self.order(&id, EndpointCommand::Resume).await;
        }
    }

    /// Writes an order under the condition that this instance still leads.
    async fn write_order(&self, target: &EndpointId, phase: OrderPhase) -> Option<u64> {
        let token = self.instance.token()?;
        let key = fleet_keys::order_key(self.service);
        let former_revision = {
            let view = self.instance.view.borrow();
            let known = view.orders.get(self.service).map_or(0, |o| o.revision);
            known.max(self.pending.as_ref().map_or(0, |pending| pending.revision))
        };
        let order = GroupOrder {
            target: target.clone(),
            former: self.former.clone(),
            phase,
            token,
        };
        let value = store_lease::encode(&order).ok()?;
        let change = StoreChange {
            conditions: vec![
                (LEADER_KEY.to_owned(), token),
                (key.clone(), former_revision),
            ],
            puts: vec![(key.clone(), value.clone(), None)],
            removals: Vec::new(),
        };
        match self.instance.store.change(change, STORE_TIME).await {
            Ok(revision) => {
                self.instance.view.borrow_mut().learn(&key, value, revision);
                self.instance.view_changed();
                Some(revision)
            }
            Err(error) => {
                tracing::warn!(event = "order_not_written", service = %self.service, target = %target, ?phase, %error);
                None
            }
        }
    }

    /// Lets all instances stop to use the former primary.
    async fn announce(&mut self, target: &EndpointId) -> bool {
        if self.pending.as_ref().is_some_and(|p| p.target == *target) {
            return true;
        }
        let Some(revision) = self.write_order(target, OrderPhase::Pending).await else {
            return false;
        };
        self.pending = Some(PendingOrder {
            target: target.clone(),
            revision,
            accepted_at: now(),
        });
        true
    }

    /// Announces and orders a promotion, and waits until it shows.
    ///
    /// A former primary that still serves is used until the promotion shows: every commit that it
    /// acknowledges meanwhile is in the log of the target, and none is acknowledged afterwards.
    async fn promote(&mut self, target: &EndpointId) -> bool {
        if !self.serving && !self.announce(target).await {
            return false;
        }
        let Some(token) = self.instance.token().filter(|_| self.instance.leads()) else {
            return false;
        };
        let holder = &self.instance.settings.instance;
        let ordered = self
            .instance
            .duty
            .promote(self.service, target, holder, token, DUTY_TIME)
            .await;
        tracing::warn!(
            event = "promotion_ordered",
            service = %self.service,
            target = %target,
            token,
            outcome = ordered.as_ref().map_or_else(|error| error.to_string(), |()| "accepted".to_owned()),
        );
        if ordered.is_err() {
            return false;
        }
        self.await_effect(target).await && self.announce(target).await
    }

    async fn await_effect(&mut self, target: &EndpointId) -> bool {
        let started_at = now();
        let mut changes = self.instance.changes.subscribe();
        loop {
            let entry = self.instance.view.borrow().endpoints.get(target).cloned();
            let Some(entry) = entry else {
                return false;
            };
            // Of the former primary, the registry may still say what it was before it was demoted.
            let again = self.former.as_ref() == Some(target);
            if entry.role == GroupRole::Primary && !again {
                return true;
            }
            let elapsed = now().saturating_since(started_at);
            if elapsed >= EFFECT_TIME {
                return false;
            }
            if again || elapsed >= REGISTRY_TIME {
                let report = self
                    .survey
                    .order(self.instance, &entry, EndpointCommand::Status)
                    .await;
                if report.is_some_and(|report| report.role == GroupRole::Primary) {
                    return true;
                }
            }
            let changed = tokio::time::timeout(STEP_PAUSE, changes.changed()).await;
            if matches!(changed, Ok(Err(_))) || !self.instance.leads() {
                return false;
            }
        }
    }

    /// Lets instances use the new primary, once none can use the former one.
    async fn open(&mut self, target: &EndpointId) -> bool {
        let mut changes = self.instance.changes.subscribe();
        loop {
            let Some(pending) = &self.pending else {
                return false;
            };
            let missing = self.missing_acknowledgements(pending.revision);
            let waited = now().saturating_since(pending.accepted_at);
            if missing.is_empty() || waited >= REVOKE_WAIT {
                tracing::info!(
                    event = "former_primary_unused",
                    service = %self.service,
                    missing = ?missing,
                    waited_ms = waited.as_millis() as u64,
                );
                break;
            }
            let changed = tokio::time::timeout(STEP_PAUSE, changes.changed()).await;
            if matches!(changed, Ok(Err(_))) || !self.instance.leads() {
                return false;
            }
        }
        if self.write_order(target, OrderPhase::Open).await.is_none() {
            return false;
        }
        self.settle(target).await;
        true
    }

    fn missing_acknowledgements(&self, revision: u64) -> Vec<String> {
        let view = self.instance.view.borrow();
        let acknowledged = self.instance.acknowledged.borrow();
        // A member that joined after the order read it before it used any primary.
        let misses = |name: &InstanceId, member: &Revised<MemberValue>| {
            let seen = acknowledged.get(&(self.service.clone(), member.value.address));
            *name != self.instance.settings.instance
                && member.revision < revision
                && seen.is_none_or(|seen| *seen < revision)
        };
        view.members
            .iter()
            .filter(|(name, member)| misses(name, member))
            .map(|(name, _)| name.to_string())
            .collect()
    }

    /// Lets replicas receive from the new primary and the former one follow it.
    async fn settle(&mut self, target: &EndpointId) {
        self.paused.retain(|id| id != target);
        self.resume_paused().await;
        let entries = self.entries();
        let new_term = entries.iter().find(|entry| entry.id == *target);
        let Some(new_primary) = new_term else {
            return;
        };
        let report = self
            .survey
            .order(self.instance, new_primary, EndpointCommand::Status)
            .await;
        let Some(report) = report.filter(|report| report.role == GroupRole::Primary) else {
            return;
        };
        if let Some(former) = self.former.clone().filter(|former| former != target) {
            self.order(&former, EndpointCommand::Demote(report.term))
                .await;
        }
    }
}
