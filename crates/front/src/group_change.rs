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
use crate::instance_limits::STORE_TIMEOUT;
use crate::store_lease;

/// Maximum time until an accepted promotion takes effect; after that it is requested again.
const PROMOTION_EFFECT_TIME: Duration = Duration::from_millis(3_000);

/// Time to wait for the registry before the target itself is queried for its role.
const REGISTRY_TIME: Duration = Duration::from_millis(1_200);

/// Timeout of the promotion call to the platform.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_000);

struct GroupChange<'a> {
    instance: &'a Rc<Instance>,
    service: &'a ServiceId,
    former: Option<EndpointId>,
    survey: GroupSurvey,
    paused: Vec<EndpointId>,
    pending: Option<PendingOrder>,
    /// Whether the former primary serves until the promotion takes effect.
    former_serves: bool,
    /// Whether the former primary was sent a demotion, so that the change must be completed.
    former_demoted: bool,
}

struct PendingOrder {
    target: EndpointId,
    revision: u64,
    accepted_at: MonotonicTime,
}

/// Replaces the primary of a group; abandons the change if the reason for it ends first.
pub async fn change_primary(instance: &Rc<Instance>, service: &ServiceId, reason: ChangeReason) {
    if reason == ChangeReason::NoOrder {
        write_first_order(instance, service).await;
        return;
    }
    let former = {
        let view = instance.view.borrow();
        match view.orders.get(service) {
            Some(order) if order.value.phase == OrderPhase::Pending => order.value.former.clone(),
            _ => view.ordered_primary(service).ok(),
        }
    };
    tracing::warn!(
        event = "primary_change_started",
        service = %service,
        former = former.as_ref().map(EndpointId::as_str),
        ?reason,
        token = instance.fencing_token(),
    );
    let mut change = GroupChange {
        instance,
        service,
        former,
        survey: GroupSurvey::default(),
        paused: Vec::new(),
        pending: None,
        former_serves: reason == ChangeReason::Draining,
        former_demoted: false,
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

/// Writes the first order of a group, which names the endpoint that is already its primary.
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
        former_serves: false,
        former_demoted: false,
    };
    let revision = change.write_order(&target, OrderPhase::Open).await;
    tracing::info!(event = "first_order", service = %service, target = %target, revision);
}

impl GroupChange<'_> {
    async fn run(&mut self) -> bool {
        while self.instance.leads() {
            if !self.former_demoted && self.pending.is_none() && !self.is_pending_in_store() {
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
            let must_wait = step == PromotionStep::Wait;
            match step {
                PromotionStep::Pause { endpoints, term } => {
                    for id in endpoints {
                        self.paused.push(id.clone());
                        self.send_command(&id, EndpointCommand::Pause(term)).await;
                    }
                }
                PromotionStep::Demote { endpoint, term } => {
                    self.former_demoted = true;
                    self.send_command(&endpoint, EndpointCommand::Demote(term))
                        .await;
                }
                PromotionStep::Promote(target) => {
                    if self.promote(&target).await {
                        return self.open_order(&target).await;
                    }
                }
                PromotionStep::Leads(target) => {
                    if self.write_pending_order(&target).await {
                        return self.open_order(&target).await;
                    }
                }
                PromotionStep::Wait => {}
            }
            let pause = match must_wait {
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

    async fn send_command(&mut self, id: &EndpointId, command: EndpointCommand) {
        let entry = self.instance.view.borrow().endpoints.get(id).cloned();
        if let Some(entry) = entry {
            self.survey
                .send_command(self.instance, &entry, command)
                .await;
        }
    }

    async fn resume_paused(&mut self) {
        for id in std::mem::take(&mut self.paused) {
            self.send_command(&id, EndpointCommand::Resume).await;
        }
    }

    /// Writes an order on the condition that this instance still leads. Returns its revision.
    async fn write_order(&self, target: &EndpointId, phase: OrderPhase) -> Option<u64> {
        let token = self.instance.fencing_token()?;
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
        match self.instance.store.change(change, STORE_TIMEOUT).await {
            Ok(revision) => {
                self.instance
                    .view
                    .borrow_mut()
                    .apply_written(&key, value, revision);
                self.instance.notify_view_change();
                Some(revision)
            }
            Err(error) => {
                tracing::warn!(event = "order_not_written", service = %self.service, target = %target, ?phase, %error);
                None
            }
        }
    }

    /// Writes the pending order, at which all instances stop using the former primary.
    async fn write_pending_order(&mut self, target: &EndpointId) -> bool {
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

    /// Requests a promotion and waits until it takes effect.
    ///
    /// A former primary that still serves is used until then: every commit that it acknowledges
    /// meanwhile is in the log of the target, and it acknowledges none afterwards. Otherwise the
    /// pending order is written before the promotion.
    async fn promote(&mut self, target: &EndpointId) -> bool {
        if !self.former_serves && !self.write_pending_order(target).await {
            return false;
        }
        let Some(token) = self
            .instance
            .fencing_token()
            .filter(|_| self.instance.leads())
        else {
            return false;
        };
        let leader = &self.instance.settings.instance;
        let ordered = self
            .instance
            .promotion_client
            .promote(self.service, target, leader, token, PROMOTION_TIMEOUT)
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
        self.await_promotion(target).await && self.write_pending_order(target).await
    }

    async fn await_promotion(&mut self, target: &EndpointId) -> bool {
        let started_at = now();
        let mut changes = self.instance.changes.subscribe();
        loop {
            let entry = self.instance.view.borrow().endpoints.get(target).cloned();
            let Some(entry) = entry else {
                return false;
            };
            // If the target is the former primary, the registry may still list its role from before
            // the demotion.
            let is_former = self.former.as_ref() == Some(target);
            if entry.role == GroupRole::Primary && !is_former {
                return true;
            }
            let elapsed = now().saturating_since(started_at);
            if elapsed >= PROMOTION_EFFECT_TIME {
                return false;
            }
            if is_former || elapsed >= REGISTRY_TIME {
                let report = self
                    .survey
                    .send_command(self.instance, &entry, EndpointCommand::Status)
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

    /// Opens the order, so that instances use the new primary, once none can still use the former
    /// one.
    async fn open_order(&mut self, target: &EndpointId) -> bool {
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
        self.reconfigure_replicas(target).await;
        true
    }

    fn missing_acknowledgements(&self, revision: u64) -> Vec<String> {
        let view = self.instance.view.borrow();
        let acknowledged = self.instance.acknowledged.borrow();
        // A member that joined after the order has read it before using any primary.
        let is_missing = |name: &InstanceId, member: &Revised<MemberValue>| {
            let seen = acknowledged.get(&(self.service.clone(), member.value.address));
            *name != self.instance.settings.instance
                && member.revision < revision
                && seen.is_none_or(|seen| *seen < revision)
        };
        view.members
            .iter()
            .filter(|(name, member)| is_missing(name, member))
            .map(|(name, _)| name.to_string())
            .collect()
    }

    /// Resumes the paused replicas and makes the former primary a replica of the new one.
    async fn reconfigure_replicas(&mut self, target: &EndpointId) {
        self.paused.retain(|id| id != target);
        self.resume_paused().await;
        let entries = self.entries();
        let target_entry = entries.iter().find(|entry| entry.id == *target);
        let Some(new_primary) = target_entry else {
            return;
        };
        let report = self
            .survey
            .send_command(self.instance, new_primary, EndpointCommand::Status)
            .await;
        let Some(report) = report.filter(|report| report.role == GroupRole::Primary) else {
            return;
        };
        if let Some(former) = self.former.clone().filter(|former| former != target) {
            self.send_command(&former, EndpointCommand::Demote(report.term))
                .await;
        }
    }
}
