//! Elects one instance as the leader, which monitors the primaries of all groups and replaces them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use platform::store_client::LeaseId;
use platform::store_client::StoreChange;
use platform::store_error::StoreError;
use session_core::endpoint_entry::GroupRole;
use session_core::group_order::OrderPhase;
use session_core::ids::EndpointId;
use session_core::ids::ServiceId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::primary_permit;
use session_core::primary_permit::REVOKE_WAIT;
use session_core::store_era::StoreEra;
use session_core::store_revision::StoreRevision;

use crate::fleet_keys::LEADER_KEY;
use crate::fleet_keys::LeaderValue;
use crate::fleet_keys::MemberValue;
use crate::fleet_view::FleetView;
use crate::fleet_view::Revised;
use crate::group_change;
use crate::instance::Instance;
use crate::instance::LeaderTerm;
use crate::instance_limits::CHANGE_PAUSE;
use crate::instance_limits::LEADER_LEASE_TIME;
use crate::instance_limits::LEADER_RENEWAL_PERIOD;
use crate::instance_limits::PROBE_AGE;
use crate::instance_limits::SETTLE_TIME;
use crate::instance_limits::STORE_PAUSE;
use crate::instance_limits::STORE_TIMEOUT;
use crate::instance_limits::TICK_PERIOD;
use crate::position_probe;
use crate::store_lease;

/// Maximum number of steps by which an instance delays its candidacy.
const MAX_DELAY_STEPS: usize = 12;

/// Length of such a step: several times the duration of a call to the store.
const DELAY_STEP: Duration = Duration::from_millis(25);

/// Minimum ratio of a successor's processor to the leader's for a handover.
const HANDOVER_SIZE_FACTOR: u32 = 2;

/// Minimum time as leader, and minimum membership of the successor, before a handover. Without it,
/// instances that join and leave in quick succession would cause handovers.
const HANDOVER_TIME: Duration = Duration::from_millis(3_000);

/// Time after a handover for which the former leader is not a candidate.
const HANDOVER_PAUSE: Duration = Duration::from_millis(1_000);

/// Number of instances that must report a primary as failed before a leader that still reaches it
/// replaces it.
const REPORT_QUORUM: usize = 2;

/// Reason for a change of a group's primary or for its first order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeReason {
    /// An earlier change has not been completed.
    Pending,
    /// The primary is draining.
    Draining,
    /// The primary's availability zone is evacuated and the group has an endpoint elsewhere.
    Evacuated,
    /// The primary's entry is no longer in the registry.
    Gone,
    /// The primary reports to be a replica and another endpoint to be the primary, for example
    /// after a lost order.
    Superseded,
    /// The primary reports to be a replica and no endpoint to be the primary, for example after an
    /// abandoned change.
    Demoted,
    /// This instance's failure detector reports a failure.
    Failed(&'static str),
    /// Several other instances report a failure.
    Reported,
    /// The group has no order yet.
    NoOrder,
    /// The order was written before the store came back from an older copy. A later order may be lost.
    Restored,
}

#[derive(Default)]
struct LeaderState {
    changing: RefCell<HashSet<ServiceId>>,
    probing: RefCell<HashSet<EndpointId>>,
    campaign_after: Cell<MonotonicTime>,
}

/// Runs the leader's tasks while this instance leads, and its candidacy otherwise, until the
/// process stops.
pub async fn lead_groups(instance: Rc<Instance>) {
    let state = Rc::new(LeaderState::default());
    let mut missing_since: Option<MonotonicTime> = None;
    let mut led_since: Option<MonotonicTime> = None;
    let mut changes = instance.changes.subscribe();
    loop {
        // Runs at each tick and at each change of the view.
        if let Ok(Err(_)) = tokio::time::timeout(TICK_PERIOD, changes.changed()).await {
            return;
        }
        if instance.stopping.borrow().is_some() {
            return;
        }
        if instance.leads() {
            missing_since = None;
            let since = *led_since.get_or_insert_with(now);
            monitor_groups(&instance, &state, since);
            if should_hand_over(&instance, &state, since) {
                hand_over(&instance, &state).await;
            }
            continue;
        }
        led_since = None;
        if now() < state.campaign_after.get() || !may_campaign(&instance) {
            missing_since = None;
            continue;
        }
        let since = *missing_since.get_or_insert_with(now);
        if now().saturating_since(since) >= election_delay(&instance) {
            campaign(&instance).await;
            missing_since = None;
        }
    }
}

/// Returns whether this instance may become a candidate: there is no leader, or the leader is an
/// earlier incarnation of this instance.
fn may_campaign(instance: &Instance) -> bool {
    let view = instance.view.borrow();
    let own = |leader: &LeaderValue| leader.instance == instance.settings.instance;
    view.synced_at.is_some()
        && view.revision.era() == instance.store.era().era
        && view.rules.is_some()
        && instance.lease.get().is_some()
        && view.leader.as_ref().is_none_or(|leader| {
            own(&leader.value) && instance.fencing_token() != Some(leader.revision)
        })
}

/// Returns the delay of this instance's candidacy, which grows with the number of instances that
/// rank higher. The delay is zero if the leader is an earlier incarnation of this instance, which
/// can no longer act.
fn election_delay(instance: &Instance) -> Duration {
    if instance.view.borrow().leader.is_some() {
        return Duration::ZERO;
    }
    let steps = higher_ranked(instance).min(MAX_DELAY_STEPS);
    DELAY_STEP * u32::try_from(steps).unwrap_or(0)
}

/// Returns the number of other instances that rank higher than this one for the leadership.
fn higher_ranked(instance: &Instance) -> usize {
    let view = instance.view.borrow();
    let members = view.members.iter();
    let others = members.map(|(name, member)| member.value.ranked(name));
    instance.ranked().outranked_by(&LEADER_KEY, others).len()
}

/// Returns whether a much larger instance should replace this one, which has led since `since`.
fn should_hand_over(instance: &Instance, state: &LeaderState, since: MonotonicTime) -> bool {
    let at = now();
    let lasted = |from: MonotonicTime| at.saturating_since(from) >= HANDOVER_TIME;
    let least = instance
        .settings
        .processor
        .0
        .saturating_mul(HANDOVER_SIZE_FACTOR);
    let view = instance.view.borrow();
    let is_successor = |member: &Revised<MemberValue>| {
        member.value.processor.0 >= least.max(1) && lasted(member.seen_at)
    };
    lasted(since)
        && state.changing.borrow().is_empty()
        && instance.pending_orders().is_empty()
        && view.members.values().any(is_successor)
}

/// Ends this instance's leadership and leader lease, so that another instance can be elected.
async fn hand_over(instance: &Instance, state: &LeaderState) {
    let Some(lease) = instance.leader_lease.take() else {
        return;
    };
    let token = instance.fencing_token().map(|token| token.to_string());
    instance.leader_term.set(None);
    state.campaign_after.set(now() + HANDOVER_PAUSE);
    // If the call fails, the lease expires.
    let ended = instance.store.end_lease(lease, STORE_TIMEOUT).await;
    tracing::info!(
        event = "lead_handed_over",
        token,
        outcome = ended.map_or_else(|error| error.to_string(), |()| "ended".to_owned()),
    );
}

async fn campaign(instance: &Rc<Instance>) {
    let requested_at = now();
    let granted = instance
        .store
        .grant_lease(LEADER_LEASE_TIME, STORE_TIMEOUT)
        .await;
    let lease = match granted {
        Ok(lease) => lease,
        Err(error) => {
            tracing::info!(event = "leader_not_elected", %error);
            tokio::time::sleep(STORE_PAUSE).await;
            return;
        }
    };
    // Another instance may have been elected during the call.
    if !may_campaign(instance) {
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
        conditions: vec![(LEADER_KEY.to_owned(), former.unwrap_or_default())],
        puts: vec![(LEADER_KEY.to_owned(), value.clone(), Some(lease))],
        removals: Vec::new(),
    };
    match instance.store.change(change, STORE_TIMEOUT).await {
        Ok(token) => {
            let former = former.map(|former| former.to_string());
            tracing::info!(event = "leader_elected", %token, former);
            instance.leader_term.set(Some(LeaderTerm {
                token,
                renewed_at: requested_at,
            }));
            instance.leader_lease.set(Some(lease));
            instance
                .view
                .borrow_mut()
                .apply_written(LEADER_KEY, value, token);
            instance.notify_view_change();
            tokio::task::spawn_local(renew_lead(Rc::clone(instance), lease, token));
        }
        Err(error) => {
            tracing::info!(event = "leader_not_elected", %error);
            tokio::time::sleep(STORE_PAUSE).await;
        }
    }
}

/// Renews the leader lease until it is lost or the leadership ends.
async fn renew_lead(instance: Rc<Instance>, lease: LeaseId, token: StoreRevision) {
    loop {
        tokio::time::sleep(LEADER_RENEWAL_PERIOD).await;
        if instance.fencing_token() != Some(token) {
            return;
        }
        let requested_at = now();
        let renewed = instance.store.renew_lease(lease, STORE_TIMEOUT).await;
        // The copy may hold the lease without the leader key, so that another instance can be elected.
        if instance.store.era().era != token.era() {
            tracing::warn!(event = "lead_lost", %token, reason = "store_era_ended");
            instance.leader_term.set(None);
            instance.leader_lease.set(None);
            return;
        }
        match renewed {
            Ok(()) => instance.leader_term.set(Some(LeaderTerm {
                token,
                renewed_at: requested_at,
            })),
            Err(StoreError::NotFound) => {
                tracing::warn!(event = "lead_lost", %token);
                instance.leader_term.set(None);
                instance.leader_lease.set(None);
                return;
            }
            Err(error) => tracing::info!(event = "lead_not_renewed", %token, %error),
        }
    }
}

fn monitor_groups(instance: &Rc<Instance>, state: &Rc<LeaderState>, led_since: MonotonicTime) {
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
            // Pauses before a failed change is retried.
            tokio::time::sleep(TICK_PERIOD).await;
            state.changing.borrow_mut().remove(&service);
        });
    }
}

/// Returns the reason to change the order of a group, or `None`.
pub fn change_reason(
    instance: &Instance,
    service: &ServiceId,
    led_since: MonotonicTime,
) -> Option<ChangeReason> {
    let at = now();
    let view = instance.view.borrow();
    view.group(service).next()?;
    let order = view.orders.get(service);
    let lasts = |since: MonotonicTime, time: Duration| at.saturating_since(since) >= time;
    // The store may have lost orders when the era began. Until then, instances may use primaries by
    // those, and entries of endpoints may be as old as its copy.
    let era = instance.store.era();
    let is_era_settled = era.era == StoreEra::default() || lasts(era.since, REVOKE_WAIT);
    if view.must_confirm(service) {
        return is_era_settled.then_some(ChangeReason::Restored);
    }
    if order.is_none() {
        if !is_era_settled {
            return None;
        }
        return primary_permit::first_primary(view.group(service)).map(|_| ChangeReason::NoOrder);
    }
    if let Some(order) = order {
        if order.value.phase == OrderPhase::Pending {
            return Some(ChangeReason::Pending);
        }
        // An evacuation has a time limit, which the pause would use up if it follows another change.
        if is_evacuated(instance, &view, service, &order.value.target) {
            return Some(ChangeReason::Evacuated);
        }
        if at.saturating_since(order.seen_at) < CHANGE_PAUSE {
            return None;
        }
    }
    let settled = at.saturating_since(led_since) >= SETTLE_TIME;
    let primary = view.ordered_primary(service).ok()?;
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

/// Returns whether a primary's availability zone is evacuated and another endpoint of its group could
/// replace it.
fn is_evacuated(
    instance: &Instance,
    view: &FleetView,
    service: &ServiceId,
    primary: &EndpointId,
) -> bool {
    let entry = view.endpoints.get(primary);
    entry.is_some_and(|entry| instance.is_evacuated(entry))
        && view
            .group(service)
            .any(|entry| !entry.draining && !instance.is_evacuated(entry))
}

/// Queries the position of a primary that has not answered for [`PROBE_AGE`], so that its failure
/// detector is up to date without traffic.
fn probe_primary(instance: &Rc<Instance>, state: &Rc<LeaderState>, service: &ServiceId) {
    let entry = {
        let view = instance.view.borrow();
        let Ok(primary) = view.ordered_primary(service) else {
            return;
        };
        match view.endpoints.get(&primary) {
            Some(entry) if !instance.is_evacuation_overdue(&primary) => entry.clone(),
            _ => return,
        }
    };
    let answered_at = instance.with_detector(&entry.id, |detector| detector.answered_at());
    let quiet = answered_at.is_none_or(|at| now().saturating_since(at) >= PROBE_AGE);
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
