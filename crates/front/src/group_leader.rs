//! Holds the duties on one instance at a time, and watches the primaries of all groups.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use platform::endpoint_codec::EndpointCommand;
use platform::store_client::LeaseId;
use platform::store_client::StoreChange;
use platform::store_error::StoreError;
use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_entry::GroupRole;
use session_core::group_order::OrderPhase;
use session_core::ids::EndpointId;
use session_core::ids::ServiceId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::primary_permit;

use crate::fleet_keys::LEADER_KEY;
use crate::fleet_keys::LeaderValue;
use crate::fleet_keys::MemberValue;
use crate::fleet_view::Revised;
use crate::group_change;
use crate::group_survey::GroupSurvey;
use crate::instance::Instance;
use crate::instance::LeadingTerm;
use crate::instance_limits::CHANGE_PAUSE;
use crate::instance_limits::LEADER_LEASE_TIME;
use crate::instance_limits::LEADER_RENEWAL_TIME;
use crate::instance_limits::PROBE_TIME;
use crate::instance_limits::SETTLE_TIME;
use crate::instance_limits::STORE_PAUSE;
use crate::instance_limits::STORE_TIME;
use crate::instance_limits::TICK_TIME;
use crate::position_probe;
use crate::store_lease;

/// The most steps by which instances differ in when they try to become the leader.
const STAGGER_STEPS: usize = 12;

/// Time between two such steps, several times that of a call to the store.
const STAGGER_TIME: Duration = Duration::from_millis(25);

/// How many times the leader's processor another instance must have to take the lead over.
const LARGER_FACTOR: u32 = 2;

/// How long a leader and its larger successor must have been there before the lead changes, so
/// that instances which come and go do not move it.
const HANDOVER_TIME: Duration = Duration::from_millis(3_000);

/// How long a leader that handed over lets others try first.
const HANDOVER_REST: Duration = Duration::from_millis(1_000);

/// Instances that must report a primary before it is replaced although the leader reaches it.
const REPORT_QUORUM: usize = 2;

/// Why the primary of a group is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// An earlier change was not completed.
    Pending,
    /// The primary is about to leave.
    Draining,
    /// The registry no longer has its entry.
    Gone,
    /// It calls itself a replica and another endpoint leads, as after a lost order.
    Superseded,
    /// It calls itself a replica and no other endpoint leads, as after a change that was given up.
    Demoted,
    /// It fails, as this instance sees it.
    Failed(&'static str),
    /// It fails, as several other instances report.
    Reported,
    /// No order was given yet.
    NoOrder,
}

#[derive(Default)]
struct LeaderState {
    changing: RefCell<HashSet<ServiceId>>,
    probing: RefCell<HashSet<EndpointId>>,
    rests_until: Cell<MonotonicTime>,
}

/// Leads or waits to lead until the process ends.
pub async fn lead_groups(instance: Rc<Instance>) {
    let state = Rc::new(LeaderState::default());
    let mut missing_since: Option<MonotonicTime> = None;
    let mut led_since: Option<MonotonicTime> = None;
    let mut changes = instance.changes.subscribe();
    loop {
        // A tick or a change of the view, whichever comes first.
        if let Ok(Err(_)) = tokio::time::timeout(TICK_TIME, changes.changed()).await {
            return;
        }
        if instance.stopping.borrow().is_some() {
            return;
        }
        if instance.leads() {
            missing_since = None;
            let since = *led_since.get_or_insert_with(now);
            watch_groups(&instance, &state, since);
            if should_hand_over(&instance, &state, since) {
                hand_over(&instance, &state).await;
            }
            continue;
        }
        led_since = None;
        if now() < state.rests_until.get() || !may_try(&instance) {
            missing_since = None;
            continue;
        }
        let since = *missing_since.get_or_insert_with(now);
        if now().saturating_since(since) >= stagger(&instance) {
            try_lead(&instance).await;
            missing_since = None;
        }
    }
}

/// Whether there is no leader, or one that is an earlier life of this instance.
fn may_try(instance: &Instance) -> bool {
    let view = instance.view.borrow();
    let own = |leader: &LeaderValue| leader.instance == instance.settings.instance;
    view.heard_at.is_some()
        && view.rules.is_some()
        && instance.lease.get().is_some()
        && view
            .leader
            .as_ref()
            .is_none_or(|leader| own(&leader.value) && instance.token() != Some(leader.revision))
}

/// Returns how long to let others try first; an earlier life of this instance cannot act any more.
fn stagger(instance: &Instance) -> Duration {
    if instance.view.borrow().leader.is_some() {
        return Duration::ZERO;
    }
    let steps = higher_ranked(instance).min(STAGGER_STEPS);
    STAGGER_TIME * u32::try_from(steps).unwrap_or(0)
}

/// Returns how many other instances come before this one as the leader.
fn higher_ranked(instance: &Instance) -> usize {
    let view = instance.view.borrow();
    let members = view.members.iter();
    let others = members.map(|(name, member)| member.value.ranked(name));
    instance.ranked().outranked_by(&LEADER_KEY, others).len()
}

/// Whether a much larger instance should lead in place of this one, which leads since `since`.
fn should_hand_over(instance: &Instance, state: &LeaderState, since: MonotonicTime) -> bool {
    let at = now();
    let lasted = |from: MonotonicTime| at.saturating_since(from) >= HANDOVER_TIME;
    let least = instance.settings.processor.0.saturating_mul(LARGER_FACTOR);
    let view = instance.view.borrow();
    let is_successor = |member: &Revised<MemberValue>| {
        member.value.processor.0 >= least.max(1) && lasted(member.seen_at)
    };
    lasted(since)
        && state.changing.borrow().is_empty()
        && instance.pending_orders().is_empty()
        && view.members.values().any(is_successor)
}

/// Ends the own lead, so that another instance takes it.
async fn hand_over(instance: &Instance, state: &LeaderState) {
    let Some(lease) = instance.leader_lease.take() else {
        return;
    };
    let token = instance.token();
    instance.leading.set(None);
    state.rests_until.set(now() + HANDOVER_REST);
    // Without an answer, the lease ends by itself.
    let ended = instance.store.end_lease(lease, STORE_TIME).await;
    tracing::info!(
        event = "lead_handed_over",
        token,
        outcome = ended.map_or_else(|error| error.to_string(), |()| "ended".to_owned()),
    );
}

async fn try_lead(instance: &Rc<Instance>) {
    let requested_at = now();
    let granted = instance
        .store
        .grant_lease(LEADER_LEASE_TIME, STORE_TIME)
        .await;
    let lease = match granted {
        Ok(lease) => lease,
        Err(error) => {
            tracing::info!(event = "leader_not_elected", %error);
            tokio::time::sleep(STORE_PAUSE).await;
            return;
        }
    };
    // Another instance may have been elected meanwhile.
    if !may_try(instance) {
        return;
    }
    let former = instance.view.borrow().leader.as_ref().map(|l| l.revision);
    let value = LeaderValue {
        instance: instance.settings.instance.clone(),
        address: instance.settings.peer_address,
    };
    let Ok(value) = store_lease::encode(&value) else {
        return;
    };
    let change = StoreChange {
        conditions: vec![(LEADER_KEY.to_owned(), former.unwrap_or(0))],
        puts: vec![(LEADER_KEY.to_owned(), value.clone(), Some(lease))],
        removals: Vec::new(),
    };
    match instance.store.change(change, STORE_TIME).await {
        Ok(token) => {
            tracing::info!(event = "leader_elected", token, former);
            instance.leading.set(Some(LeadingTerm {
                token,
                renewed_at: requested_at,
            }));
            instance.leader_lease.set(Some(lease));
            instance.view.borrow_mut().learn(LEADER_KEY, value, token);
            instance.view_changed();
            tokio::task::spawn_local(renew_lead(Rc::clone(instance), lease, token));
            let instance = Rc::clone(instance);
            tokio::task::spawn_local(async move { resume_replicas(&instance).await });
        }
        Err(error) => {
            tracing::info!(event = "leader_not_elected", %error);
            tokio::time::sleep(STORE_PAUSE).await;
        }
    }
}

/// Renews the leader's lease until it is lost.
async fn renew_lead(instance: Rc<Instance>, lease: LeaseId, token: u64) {
    loop {
        tokio::time::sleep(LEADER_RENEWAL_TIME).await;
        if instance.token() != Some(token) {
            return;
        }
        let requested_at = now();
        match instance.store.renew_lease(lease, STORE_TIME).await {
            Ok(()) => instance.leading.set(Some(LeadingTerm {
                token,
                renewed_at: requested_at,
            })),
            Err(StoreError::NotFound) => {
                tracing::warn!(event = "lead_lost", token);
                instance.leading.set(None);
                instance.leader_lease.set(None);
                return;
            }
            Err(error) => tracing::info!(event = "lead_not_renewed", token, %error),
        }
    }
}

/// Lets replicas receive again that an earlier leader paused for a change that it never decided.
async fn resume_replicas(instance: &Instance) {
    let entries: Vec<EndpointEntry> = {
        let view = instance.view.borrow();
        let idle = |entry: &EndpointEntry| {
            view.orders
                .get(&entry.service)
                .is_none_or(|order| order.value.phase == OrderPhase::Open)
        };
        view.endpoints
            .values()
            .filter(|entry| entry.role == GroupRole::Replica && idle(entry))
            .cloned()
            .collect()
    };
    let mut survey = GroupSurvey::default();
    for entry in entries {
        if !instance.leads() {
            return;
        }
        survey
            .order(instance, &entry, EndpointCommand::Resume)
            .await;
    }
}

fn watch_groups(instance: &Rc<Instance>, state: &Rc<LeaderState>, led_since: MonotonicTime) {
    let services: Vec<ServiceId> = match &instance.view.borrow().rules {
        Some(rules) => rules.services.keys().cloned().collect(),
        None => return,
    };
    for service in services {
        if state.changing.borrow().contains(&service) {
            continue;
        }
        probe_primary(instance, state, &service);
        let Some(reason) = change_reason(instance, &service, led_since) else {
            continue;
        };
        state.changing.borrow_mut().insert(service.clone());
        let instance = Rc::clone(instance);
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move {
            group_change::change_primary(&instance, &service, reason).await;
            // A change that failed is tried again after a pause.
            tokio::time::sleep(TICK_TIME).await;
            state.changing.borrow_mut().remove(&service);
        });
    }
}

/// Returns why the primary of a group is to be replaced, or `None`.
pub fn change_reason(
    instance: &Instance,
    service: &ServiceId,
    led_since: MonotonicTime,
) -> Option<ChangeReason> {
    let at = now();
    let view = instance.view.borrow();
    view.group(service).next()?;
    let order = view.orders.get(service);
    if order.is_none() {
        return primary_permit::first_primary(view.group(service)).map(|_| ChangeReason::NoOrder);
    }
    if let Some(order) = order {
        if order.value.phase == OrderPhase::Pending {
            return Some(ChangeReason::Pending);
        }
        if at.saturating_since(order.seen_at) < CHANGE_PAUSE {
            return None;
        }
    }
    let settled = at.saturating_since(led_since) >= SETTLE_TIME;
    let primary = view.leading_endpoint(service).ok()?;
    let Some(entry) = view.endpoints.get(&primary) else {
        return settled.then_some(ChangeReason::Gone);
    };
    if entry.draining {
        return Some(ChangeReason::Draining);
    }
    let other_leads = || view.group(service).any(|e| e.role == GroupRole::Primary);
    if entry.role == GroupRole::Replica && settled {
        return Some(match other_leads() {
            true => ChangeReason::Superseded,
            false => ChangeReason::Demoted,
        });
    }
    let verdict = instance.with_detector(&primary, |detector| detector.verdict(at));
    if let Some(reason) = verdict {
        return Some(ChangeReason::Failed(reason.reason()));
    }
    (instance.peer_reports(&primary) >= REPORT_QUORUM).then_some(ChangeReason::Reported)
}

/// Asks a primary that was silent for a while, on a new connection where the old one fails.
fn probe_primary(instance: &Rc<Instance>, state: &Rc<LeaderState>, service: &ServiceId) {
    let entry = {
        let view = instance.view.borrow();
        let Ok(primary) = view.leading_endpoint(service) else {
            return;
        };
        match view.endpoints.get(&primary) {
            Some(entry) => entry.clone(),
            None => return,
        }
    };
    let answered_at = instance.with_detector(&entry.id, |detector| detector.answered_at());
    let quiet = answered_at.is_none_or(|at| now().saturating_since(at) >= PROBE_TIME);
    if !quiet || !state.probing.borrow_mut().insert(entry.id.clone()) {
        return;
    }
    let instance = Rc::clone(instance);
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        position_probe::query_position(&instance, &entry).await;
        state.probing.borrow_mut().remove(&entry.id);
    });
}
