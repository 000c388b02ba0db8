//! Keeps this instance's statements to cold endpoints within its part of their bound.

use session_core::cold_limit::ColdQuery;
use session_core::cold_limit::MemberStanding;
use session_core::endpoint_entry::EndpointEntry;
use session_core::ids::EndpointId;
use session_core::ids::InstanceId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;

use crate::fleet_view::FleetView;
use crate::instance::Instance;

/// Returns whether a service has a bound for its cold endpoints and this one is cold.
pub fn is_bounded(instance: &Instance, view: &FleetView, entry: &EndpointEntry) -> bool {
    bounded_slots(instance, view, entry, now()).is_some()
}

/// Returns whether a statement may be sent to an endpoint now. It is not counted.
pub fn may_send(instance: &Instance, view: &FleetView, entry: &EndpointEntry) -> bool {
    let at = now();
    let Some(slots) = bounded_slots(instance, view, entry, at) else {
        return true;
    };
    let query = cold_query(instance, view, &entry.id, slots, at);
    instance.cold_limit.borrow_mut().has_slot(query, at)
}

/// Counts a statement that is sent to an endpoint directly afterwards. Returns `false` if it must
/// not be sent.
///
/// The endpoint may have become cold since it was chosen, and other sessions of this instance may
/// have used its part of the bound.
pub fn admit_statement(instance: &Instance, id: &EndpointId) -> bool {
    let at = now();
    let view = instance.view.borrow();
    let Some(entry) = view.known_entry(id) else {
        return true;
    };
    let Some(slots) = bounded_slots(instance, &view, entry, at) else {
        return true;
    };
    let query = cold_query(instance, &view, id, slots, at);
    let slot = instance.cold_limit.borrow_mut().take_slot(query, at);
    let admitted = slot.is_some();
    if !admitted {
        tracing::info!(event = "cold_share_used", endpoint = %id, slots);
    }
    let outcome = match admitted {
        true => "sent",
        false => "refused",
    };
    let counter = &instance.metrics.cold_statements;
    counter.with_label_values(&[outcome]).inc();
    admitted
}

/// Drops the state of endpoints that are not cold any more.
pub fn forget_warm(instance: &Instance) {
    let at = now();
    let view = instance.view.borrow();
    let mut limit = instance.cold_limit.borrow_mut();
    limit.retain(at, |id| view.is_cold(id, at));
}

fn bounded_slots(
    instance: &Instance,
    view: &FleetView,
    entry: &EndpointEntry,
    at: MonotonicTime,
) -> Option<u32> {
    let rules = view
        .rules
        .as_ref()
        .filter(|_| view.is_cold(&entry.id, at))?;
    let rate = rules.services.get(&entry.service)?.cold_rate;
    instance.settings.cold_allowance.slots(rate)
}

fn cold_query<'a>(
    instance: &'a Instance,
    view: &'a FleetView,
    endpoint: &'a EndpointId,
    slots: u32,
    at: MonotonicTime,
) -> ColdQuery<'a, impl Iterator<Item = &'a InstanceId>> {
    let own = &instance.settings.instance;
    ColdQuery {
        endpoint,
        slots,
        own,
        standing: member_standing(view, own, at),
        members: view.members.keys().chain(view.departed_members.held(at)),
    }
}

/// Returns the standing of this process, or `None` if it is not registered or another process has
/// registered under its name since.
fn member_standing(
    view: &FleetView,
    own: &InstanceId,
    at: MonotonicTime,
) -> Option<MemberStanding> {
    let synced_at = view.evidence(at)?;
    let member = view.members.get(own)?;
    if member.revision != view.registered_at {
        return None;
    }
    Some(MemberStanding {
        synced_at,
        registered_at: view.registered_since?,
        replaced_at: view.replaced_at?,
    })
}
