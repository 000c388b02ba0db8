//! Replaces the primary of a group without losing an acknowledged commit.
//!
//! A change writes a pending order first. An instance that knows it, or that has no recent evidence
//! from the store, neither uses the former primary nor passes on its acknowledgements of commits; it
//! reports what it has passed on. [`SurveyedGroup`] decides from the reports of instances and
//! endpoints which endpoint may be promoted; instances use the new primary once the order is open.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::endpoint_codec::EndpointCommand;
use platform::promotion_client::PromotionOrder;
use platform::registry;
use platform::store_client::ReadFreshness;
use platform::store_client::StoreChange;
use platform::store_error::StoreError;
use session_core::commit_evidence::AcknowledgedPoint;
use session_core::commit_evidence::DepartureLog;
use session_core::commit_evidence::InstanceLife;
use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_entry::GroupRole;
use session_core::floor_history::FloorSample;
use session_core::group_order::GroupOrder;
use session_core::group_order::OrderPhase;
use session_core::ids::EndpointId;
use session_core::ids::InstanceId;
use session_core::ids::ServiceId;
use session_core::log_point::LogPoint;
use session_core::log_point::LogTerm;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::primary_permit;
use session_core::primary_permit::REVOKE_WAIT;
use session_core::promotion_step;
use session_core::promotion_step::PromotionStep;
use session_core::promotion_step::SurveyedEndpoint;
use session_core::promotion_step::SurveyedGroup;
use session_core::store_revision::StoreRevision;

use crate::fleet_keys;
use crate::fleet_keys::LEADER_KEY;
use crate::fleet_keys::MemberValue;
use crate::fleet_view::Revised;
use crate::group_leader;
use crate::group_leader::ChangeReason;
use crate::group_survey;
use crate::instance::Instance;
use crate::instance_limits::LEADER_LEASE_TIME;
use crate::instance_limits::STEP_PAUSE;
use crate::instance_limits::STORE_TIMEOUT;
use crate::relay_message::ViewItems;
use crate::store_lease;

/// Maximum time until an accepted promotion takes effect; after that it is requested again.
const PROMOTION_EFFECT_TIME: Duration = Duration::from_millis(3_000);

/// Time to wait for the registry before the target itself is queried for its role.
const REGISTRY_TIME: Duration = Duration::from_millis(1_200);

/// Timeout of the promotion call to the platform.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum time for which a demotion waits for acknowledgements of the pending order, so that
/// statements that are under way at the former primary can end.
const DEMOTION_WAIT: Duration = Duration::from_millis(300);

/// Maximum pause between two surveys while an evacuated primary cannot be replaced.
const MAX_STEP_PAUSE: Duration = Duration::from_millis(1_000);

/// Time after a demotion, or after a primary is reached again, in which replicas may still receive its
/// last entries.
const CATCH_UP_TIME: Duration = Duration::from_millis(300);

struct GroupChange<'a> {
    instance: &'a Rc<Instance>,
    service: &'a ServiceId,
    former: Option<EndpointId>,
    /// Address of the former primary, where another endpoint may have taken over its log.
    former_address: Option<SocketAddr>,
    pending: Option<PendingOrder>,
    /// Whether no instance uses the former primary or passes on its acknowledgements any more.
    former_unused: bool,
    /// When the former primary was first sent a demotion.
    demoted_at: Option<MonotonicTime>,
    /// Position of the former primary in the previous survey.
    earlier_point: Option<LogPoint>,
    /// Since when the former primary has answered as a primary in each survey.
    leading_since: Option<MonotonicTime>,
    /// Whether the former primary was dropped and did not answer. It is not queried again, as that
    /// takes a timeout.
    former_silent: bool,
    /// The last log point that the target reported before its promotion.
    target_point: Option<LogPoint>,
    /// Target of a promotion call that may still take effect, and when the call was sent.
    called: Option<(EndpointId, MonotonicTime)>,
    /// Token of the leadership in which the change began. It does not go on in a later one, since the
    /// store may have lost its pending order and members meanwhile.
    token: Option<StoreRevision>,
}

struct PendingOrder {
    revision: StoreRevision,
    accepted_at: MonotonicTime,
    /// The members, read from the store after it had accepted the order.
    members: Option<OrderMembers>,
}

/// The instances that may have used the former primary until the pending order.
struct OrderMembers {
    /// Revision up to which the store was read.
    revision: StoreRevision,
    lives: HashSet<InstanceLife>,
    /// Instances that had left by then, once the view has reached the revision.
    departures: Option<DepartureLog>,
}

/// Replaces the primary of a group; abandons the change if the reason for it ends first.
pub async fn change_primary(instance: &Rc<Instance>, service: &ServiceId, reason: ChangeReason) {
    if reason == ChangeReason::NoOrder {
        write_first_order(instance, service).await;
        return;
    }
    let order = {
        let view = instance.view.borrow();
        view.orders.get(service).map(|order| order.value.clone())
    };
    if reason == ChangeReason::Restored
        && let Some(order) = &order
        && confirm_order(instance, service, order).await
    {
        return;
    }
    let (former, former_address) = match order {
        Some(order) if order.phase == OrderPhase::Pending => (order.former, order.former_address),
        Some(order) => (Some(order.target), order.target_address),
        None => (None, None),
    };
    tracing::warn!(
        event = "primary_change_started",
        service = %service,
        former = former.as_ref().map(EndpointId::as_str),
        ?reason,
        token = instance.fencing_token().map(|token| token.to_string()),
    );
    let mut change = GroupChange::new(instance, service, former, former_address);
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
    let change = GroupChange::new(instance, service, None, None);
    let revision = change.write_order(&target, OrderPhase::Open).await;
    let revision = revision.map(|revision| revision.to_string());
    tracing::info!(event = "first_order", service = %service, target = %target, revision);
}

/// Writes an open order of an earlier era of the store again if its target still leads. Returns whether
/// it was written.
///
/// The order permits nothing meanwhile: the evidence of the earlier era is older than [`REVOKE_WAIT`].
/// An order that was lost may have promoted another endpoint, which has a higher term. An endpoint that
/// does not answer could be that one.
async fn confirm_order(instance: &Rc<Instance>, service: &ServiceId, order: &GroupOrder) -> bool {
    if order.phase != OrderPhase::Open {
        return false;
    }
    let target = &order.target;
    let change = GroupChange::new(instance, service, None, None);
    let members = group_survey::survey_group(instance, &change.entries(), &[]).await;
    let leads = promotion_step::is_sole_leader(&members, target);
    tracing::info!(event = "order_surveyed", service = %service, target = %target, leads, ?members);
    leads && change.leads() && change.write_order(target, OrderPhase::Open).await.is_some()
}

impl<'a> GroupChange<'a> {
    fn new(
        instance: &'a Rc<Instance>,
        service: &'a ServiceId,
        former: Option<EndpointId>,
        former_address: Option<SocketAddr>,
    ) -> Self {
        let address = |former: &EndpointId| {
            let view = instance.view.borrow();
            view.known_entry(former).map(|entry| entry.address)
        };
        Self {
            instance,
            service,
            former_address: former_address.or_else(|| former.as_ref().and_then(address)),
            former,
            pending: None,
            former_unused: false,
            demoted_at: None,
            earlier_point: None,
            leading_since: None,
            former_silent: false,
            target_point: None,
            called: None,
            token: instance.fencing_token(),
        }
    }

    /// Returns whether this instance leads as it did when the change began.
    fn leads(&self) -> bool {
        self.token
            .is_some_and(|token| self.instance.leads_with(token))
    }

    async fn run(&mut self) -> bool {
        let started_at = now();
        while self.leads() {
            if self.pending.is_none() && !self.is_pending_in_store() {
                let reason = group_leader::change_reason(
                    self.instance,
                    self.service,
                    MonotonicTime::default(),
                );
                if reason.is_none() {
                    return false;
                }
            }
            self.read_members().await;
            let listed = self.entries();
            let step = self.survey_group(&listed).await;
            if self.must_wait(&step) {
                tokio::time::sleep(self.wait_pause(started_at)).await;
                continue;
            }
            match step {
                PromotionStep::Demote { endpoint, term } => {
                    self.demote(&endpoint, term).await;
                }
                PromotionStep::StopUse(target) => self.stop_use_of_former(&target).await,
                PromotionStep::Promote(target) if self.may_still_lead(&target) => {}
                PromotionStep::Promote(target) => {
                    let entry = listed.iter().find(|entry| entry.id == target);
                    if let Some(entry) = entry
                        && self.write_pending_order(&target).await
                        && self.promote(entry).await
                    {
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
            tokio::time::sleep(STEP_PAUSE / 10).await;
        }
        false
    }

    /// Queries the endpoints of the group and returns the next step.
    async fn survey_group(&mut self, listed: &[EndpointEntry]) -> PromotionStep {
        // An endpoint that has reached this point once keeps it.
        let acknowledged = self.acknowledged_point();
        let dropped = self.dropped_former();
        let queried = dropped.as_ref().filter(|_| !self.former_silent);
        let queried: Vec<EndpointEntry> = queried.into_iter().cloned().collect();
        let members = group_survey::survey_group(self.instance, listed, &queried).await;
        let former = members.iter().find(|m| self.former.as_ref() == Some(&m.id));
        self.former_silent |= former.is_some_and(|m| !m.listed && m.report.is_none());
        let former_lost = {
            let view = self.instance.view.borrow();
            let former = self.former.as_ref();
            former.is_none_or(|former| view.is_lost(former, now()))
        };
        let successor = listed.iter().find(|entry| {
            self.former.as_ref() != Some(&entry.id) && self.former_address == Some(entry.address)
        });
        let group = SurveyedGroup {
            members: &members,
            former: self.former.as_ref(),
            successor: successor.map(|entry| &entry.id),
            former_lost,
            former_unused: self.former_unused,
            former_may_return: self.may_former_return(),
            acknowledged,
            earlier_point: self.earlier_point,
        };
        let step = group.next_step();
        tracing::info!(
            event = "promotion_step",
            service = %self.service,
            ?step,
            ?acknowledged,
            successor = successor.map(|entry| entry.id.as_str()),
            former_lost,
            former_unused = self.former_unused,
            ?members,
        );
        let point = |id: &EndpointId| {
            let member = members.iter().find(|member| member.id == *id);
            member.and_then(|member| member.report.map(|report| report.received))
        };
        self.earlier_point = self.former.as_ref().and_then(point);
        let leads = |member: &SurveyedEndpoint| {
            let role = member.report.map(|report| report.role);
            self.former.as_ref() == Some(&member.id) && role == Some(GroupRole::Primary)
        };
        let since = self.leading_since.unwrap_or_else(now);
        self.leading_since = members.iter().any(leads).then_some(since);
        if let PromotionStep::Promote(target) | PromotionStep::Leads(target) = &step {
            self.target_point = point(target);
        }
        step
    }

    /// Returns whether the former primary may lead again. Its replicas may have lost it for longer than
    /// this instance, and callers wait meanwhile.
    fn may_former_return(&self) -> bool {
        let lasts = |since| now().saturating_since(since) >= CATCH_UP_TIME;
        self.is_pending_in_store() && self.leading_since.is_some_and(lasts)
    }

    /// Returns the entry of the former primary if it was dropped a short time ago.
    fn dropped_former(&self) -> Option<EndpointEntry> {
        let view = self.instance.view.borrow();
        let former = self.former.as_ref()?;
        let is_listed = view.endpoints.contains_key(former);
        view.known_entry(former).filter(|_| !is_listed).cloned()
    }

    /// Returns what covers the acknowledged commits of the former primary.
    fn acknowledged_point(&mut self) -> AcknowledgedPoint {
        let view = self.instance.view.borrow();
        let mut commits = self.instance.commits.borrow_mut();
        let evidence = commits.entry(self.service.clone()).or_default();
        if let Some(pending) = &mut self.pending
            && let Some(members) = &mut pending.members
        {
            if members.departures.is_none() && view.revision >= members.revision {
                members.departures = Some(view.departures.clone());
            }
            if let Some(departures) = &members.departures {
                let own = evidence.report(self.service, pending.revision);
                let address = self.instance.settings.peer_address;
                evidence.record_report(address, view.process_lives(), &own);
                return evidence.acknowledged(Some(pending.revision), &members.lives, departures);
            }
        }
        let members = view.members.values().map(Revised::life).collect();
        evidence.acknowledged(None, &members, &view.departures)
    }

    /// Makes the former primary a replica, after which it acknowledges no commit.
    async fn demote(&mut self, former: &EndpointId, term: LogTerm) {
        if self.write_pending_order(former).await && self.await_former_unused(DEMOTION_WAIT).await {
            self.demoted_at.get_or_insert_with(now);
            self.send_command(former, EndpointCommand::Demote(term))
                .await;
        }
    }

    /// Stops the use of a former primary that does not answer.
    async fn stop_use_of_former(&mut self, target: &EndpointId) {
        self.former_unused =
            self.write_pending_order(target).await && self.await_former_unused(REVOKE_WAIT).await;
    }

    /// Returns whether to survey again after a pause instead of taking the step: there is none, or the
    /// target is the demoted primary or of an evacuated zone although another endpoint may still receive
    /// the last entries.
    fn must_wait(&self, step: &PromotionStep) -> bool {
        let recent = |at: MonotonicTime| now().saturating_since(at) < CATCH_UP_TIME;
        let is_evacuated = |target| self.instance.evacuation_end(target).is_some();
        match step {
            PromotionStep::Wait => true,
            PromotionStep::Promote(target) => {
                let is_poor = self.former.as_ref() == Some(target) || is_evacuated(target);
                is_poor && self.demoted_at.is_some_and(recent)
            }
            PromotionStep::Demote { .. } | PromotionStep::StopUse(_) | PromotionStep::Leads(_) => {
                false
            }
        }
    }

    /// Returns the pause before the next survey. It grows while an evacuated primary cannot be replaced:
    /// each survey takes a slot of every endpoint, and the evacuation may last.
    fn wait_pause(&self, started_at: MonotonicTime) -> Duration {
        let former = self.former.as_ref();
        let is_evacuated = former.is_some_and(|id| self.instance.evacuation_end(id).is_some());
        match self.pending.is_none() && is_evacuated {
            true => (now().saturating_since(started_at) / 4).clamp(STEP_PAUSE, MAX_STEP_PAUSE),
            false => STEP_PAUSE,
        }
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

    /// Sends a command to an endpoint, unless this instance no longer leads by then.
    async fn send_command(&self, id: &EndpointId, command: EndpointCommand) {
        let entry = self.instance.view.borrow().known_entry(id).cloned();
        if let Some(entry) = entry {
            group_survey::send_command(self.instance, &entry, command, || self.leads()).await;
        }
    }

    /// Writes an order on the condition that this instance still leads. Returns its revision.
    async fn write_order(&self, target: &EndpointId, phase: OrderPhase) -> Option<StoreRevision> {
        let token = self
            .token
            .filter(|_| self.token == self.instance.fencing_token())?;
        let key = fleet_keys::order_key(self.service);
        let former_revision = self.instance.view.borrow().key_revision(&key);
        let entry = self.instance.view.borrow().endpoints.get(target).cloned();
        let order = GroupOrder {
            target: target.clone(),
            target_address: entry.map(|entry| entry.address),
            former: self.former.clone(),
            former_address: self.former_address,
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

    /// Writes the pending order, unless this change has written it.
    async fn write_pending_order(&mut self, target: &EndpointId) -> bool {
        if self.pending.is_some() {
            return true;
        }
        let Some(revision) = self.write_order(target, OrderPhase::Pending).await else {
            return false;
        };
        self.pending = Some(PendingOrder {
            revision,
            accepted_at: now(),
            members: None,
        });
        true
    }

    /// Reads the members from the store, unless this was done since the pending order. The view may
    /// lack some of them.
    async fn read_members(&mut self) {
        let Some(order) = self.pending.as_ref().filter(|p| p.members.is_none()) else {
            return;
        };
        let order = order.revision;
        let Some(revision) = self.read_items(fleet_keys::MEMBER_PREFIX).await else {
            return;
        };
        let view = self.instance.view.borrow();
        // A member that joined after the order has read it before using any primary.
        let members = view.members.values();
        let members = members.filter(|member| member.revision < order);
        let lives = members.map(Revised::life).collect();
        if let Some(pending) = &mut self.pending {
            pending.members = Some(OrderMembers {
                revision,
                lives,
                departures: None,
            });
        }
    }

    /// Reads the items of the store whose keys begin with a prefix. Returns the revision up to which
    /// it was read, or `None` if it did not answer.
    async fn read_items(&self, prefix: &str) -> Option<StoreRevision> {
        let store = &self.instance.store;
        let read = store.range(prefix, ReadFreshness::Current, STORE_TIMEOUT);
        match read.await {
            Ok(view) => {
                let view = ViewItems::from(view);
                self.instance.view.borrow_mut().add_items(view.items);
                Some(view.revision)
            }
            Err(error) => {
                tracing::info!(event = "store_not_read", service = %self.service, prefix, %error);
                None
            }
        }
    }

    /// Requests a promotion and waits until it takes effect. `surveyed` is the entry of the target
    /// at the survey before it.
    async fn promote(&mut self, surveyed: &EndpointEntry) -> bool {
        let target = &surveyed.id;
        if !self.has_not_restarted(surveyed).await {
            return false;
        }
        let Some(token) = self.token.filter(|_| self.leads()) else {
            return false;
        };
        // A leader of the former era of the store may act until its lease would have ended.
        if now().saturating_since(self.instance.store.era().since) < LEADER_LEASE_TIME {
            return false;
        }
        // The call may take effect although this instance ends before its answer.
        tracing::warn!(event = "promotion_called", service = %self.service, target = %target, %token);
        self.called = Some((target.clone(), now()));
        let order = PromotionOrder {
            service: self.service,
            endpoint: target,
            leader: &self.instance.settings.instance,
            token,
        };
        // This instance may be suspended, or lose its lead, while the connection is opened.
        let instance = Rc::clone(self.instance);
        let lead_left = move || match instance.leads_with(token) {
            true => instance.lead_left(token),
            false => Duration::ZERO,
        };
        let client = &self.instance.promotion_client;
        let ordered = tokio::select! {
            biased;
            ordered = client.promote(order, PROMOTION_TIMEOUT, lead_left) => ordered,
            // The call must not arrive after that of the next leader.
            () = self.instance.lead_ended(token) => Err(StoreError::NoAnswer),
        };
        tracing::warn!(
            event = "promotion_ordered",
            service = %self.service,
            target = %target,
            %token,
            outcome = ordered.as_ref().map_or_else(|error| error.to_string(), |()| "accepted".to_owned()),
        );
        let is_without_effect = matches!(
            ordered,
            Err(StoreError::NotSent | StoreError::Withheld | StoreError::Refused(_))
        );
        if is_without_effect {
            self.called = None;
        }
        ordered.is_ok() && self.await_promotion(target).await
    }

    /// Returns whether an endpoint other than `target` may still become the primary by an earlier
    /// call. It would undo the promotion of the target.
    fn may_still_lead(&self, target: &EndpointId) -> bool {
        self.called.as_ref().is_some_and(|(called, at)| {
            called != target && now().saturating_since(*at) < PROMOTION_EFFECT_TIME
        })
    }

    /// Reads the registry and returns whether an endpoint is still the one of the survey. One that
    /// has restarted may have lost its log.
    async fn has_not_restarted(&self, surveyed: &EndpointEntry) -> bool {
        let read = self.read_items(registry::ENDPOINT_PREFIX).await;
        if read.is_none() {
            return false;
        }
        let view = self.instance.view.borrow();
        let entry = view.endpoints.get(&surveyed.id);
        entry.is_some_and(|entry| entry.born == surveyed.born)
    }

    async fn await_promotion(&mut self, target: &EndpointId) -> bool {
        let started_at = now();
        let mut queried_at: Option<MonotonicTime> = None;
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
            // The view changes with each report of an instance; a status query takes a slot.
            let is_due = queried_at.is_none_or(|at| now().saturating_since(at) >= STEP_PAUSE);
            if is_due && (is_former || elapsed >= REGISTRY_TIME) {
                queried_at = Some(now());
                let report = group_survey::query_report(self.instance, &entry).await;
                if report.is_some_and(|report| report.role == GroupRole::Primary) {
                    return true;
                }
            }
            let changed = tokio::time::timeout(STEP_PAUSE, changes.changed()).await;
            if matches!(changed, Ok(Err(_))) || !self.leads() {
                return false;
            }
        }
    }

    /// Opens the order, so that instances use the new primary, once none can still use the former
    /// one.
    async fn open_order(&mut self, target: &EndpointId) -> bool {
        if !self.await_former_unused(REVOKE_WAIT).await {
            return false;
        }
        let requested_at = now();
        let Some(opened) = self.write_order(target, OrderPhase::Open).await else {
            // The order may be opened later. A new pending order prevents that.
            self.pending = None;
            self.former_unused = false;
            return false;
        };
        if let Some(point) = self.target_point {
            let sample = FloorSample {
                requested_at,
                point,
            };
            let view = self.instance.view.borrow();
            let mut commits = self.instance.commits.borrow_mut();
            let evidence = commits.entry(self.service.clone()).or_default();
            evidence.record_sample(opened, sample, &view.departures);
        }
        self.demote_former(target).await;
        true
    }

    /// Waits until no instance uses the former primary or passes on its acknowledgements, or until
    /// `limit` after the pending order. Returns whether this instance still leads.
    ///
    /// Each instance acknowledges the pending order or stops by itself within [`REVOKE_WAIT`]. The
    /// list of members is complete once they have been read after the order: an instance that
    /// registers later reads the order before it uses a primary.
    async fn await_former_unused(&mut self, limit: Duration) -> bool {
        let mut changes = self.instance.changes.subscribe();
        loop {
            let waited = |pending: &PendingOrder| now().saturating_since(pending.accepted_at);
            let left = self
                .pending
                .as_ref()
                .map(|p| limit.saturating_sub(waited(p)));
            // A call to the store may take longer than the limit.
            let _ = tokio::time::timeout(left.unwrap_or_default(), self.read_members()).await;
            let Some(pending) = &self.pending else {
                return false;
            };
            let complete = pending.members.is_some();
            let missing = self.missing_acknowledgements(pending.revision);
            let waited = waited(pending);
            if complete && missing.is_empty() || waited >= limit {
                tracing::info!(
                    event = "former_primary_unused",
                    service = %self.service,
                    complete,
                    missing = ?missing,
                    waited_ms = waited.as_millis() as u64,
                );
                return self.leads();
            }
            let left = limit.saturating_sub(waited).min(STEP_PAUSE);
            let changed = tokio::time::timeout(left, changes.changed()).await;
            if matches!(changed, Ok(Err(_))) || !self.leads() {
                return false;
            }
        }
    }

    fn missing_acknowledgements(&self, revision: StoreRevision) -> Vec<String> {
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

    /// Makes a former primary that was not demoted before the promotion a replica of the new one.
    async fn demote_former(&mut self, target: &EndpointId) {
        let former = self.former.clone().filter(|former| former != target);
        let (Some(former), None) = (former, self.demoted_at) else {
            return;
        };
        let entry = self.instance.view.borrow().endpoints.get(target).cloned();
        let Some(new_primary) = entry else {
            return;
        };
        let report = group_survey::query_report(self.instance, &new_primary).await;
        if let Some(report) = report.filter(|report| report.role == GroupRole::Primary) {
            self.send_command(&former, EndpointCommand::Demote(report.term))
                .await;
        }
    }
}
