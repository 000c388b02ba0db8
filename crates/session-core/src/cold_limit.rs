//! Bounds the statements that all instances together send to an endpoint that started recently.
//!
//! The bound is split into slots of one statement in each [`SLOT_WINDOW`]. A slot belongs to the
//! member of the fleet with the highest rank for it by rendezvous hashing; other instances send
//! nothing on it. Views of the members differ between instances, so that two of them may take
//! themselves for the owner. The slot is not used by both within [`SLOT_WINDOW`], since
//!
//! - an instance that has registered uses no slot for [`SETTLE_TIME`]. By then, the view of each
//!   instance that may use a slot has its registration, since it is at most [`PERMIT_TIME`] old;
//! - an instance that has left keeps its slots for [`DEPARTURE_HOLD`] in the views of the others. It
//!   used them last before its lease ended;
//! - an instance that has received a complete view, which does not show who has left, uses no slot
//!   for [`DEPARTURE_HOLD`].

use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use crate::ids::EndpointId;
use crate::ids::InstanceId;
use crate::monotonic_time::MonotonicTime;
use crate::primary_permit::PERMIT_TIME;
use crate::units::RequestRate;

/// Time between two uses of a slot. It is longer than the second of the bound, since the statements
/// may take different times to arrive.
pub const SLOT_WINDOW: Duration = Duration::from_millis(1_250);

/// Time for which the slots of an instance that has left stay unused.
pub const DEPARTURE_HOLD: Duration = Duration::from_millis(1_500);

/// Time after its registration for which an instance uses no slot: [`PERMIT_TIME`], [`SLOT_WINDOW`]
/// and the 0.1 s for which it keeps its owned slots, with a margin.
pub const SETTLE_TIME: Duration = Duration::from_millis(5_500);

/// Time for which an instance relies on the owned slots that it determined from its view.
const OWNERSHIP_TIME: Duration = Duration::from_millis(100);

/// Maximum number of slots. Bounds above it do not matter: endpoints in use run fewer statements.
const MAX_SLOTS: f64 = 256.0;

/// Allowance over a service's rate for cold endpoints, from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdAllowance {
    /// Factor of the rate.
    pub overage: f64,
    /// Statements in any second in addition.
    pub slack: f64,
}

impl ColdAllowance {
    /// Returns the number of slots of a cold endpoint, or `None` if the rate sets no bound.
    pub fn slots(self, rate: RequestRate) -> Option<u32> {
        let bound = rate.0 * self.overage + self.slack;
        (rate.0 > 0.0).then_some(bound.clamp(0.0, MAX_SLOTS) as u32)
    }
}

/// State of an instance's membership, which decides whether it may use slots at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStanding {
    /// Time up to which its view holds every change of the store.
    pub synced_at: MonotonicTime,
    /// When the store had acknowledged its registration.
    pub registered_at: MonotonicTime,
    /// When it last received a complete view.
    pub replaced_at: MonotonicTime,
}

impl MemberStanding {
    fn is_settled(&self, now: MonotonicTime) -> bool {
        now.saturating_since(self.synced_at) < PERMIT_TIME
            && now.saturating_since(self.registered_at) >= SETTLE_TIME
            && now.saturating_since(self.replaced_at) >= DEPARTURE_HOLD
    }
}

/// Members that have left, whose slots stay unused for [`DEPARTURE_HOLD`].
#[derive(Debug, Clone, Default)]
pub struct DepartedMembers(HashMap<InstanceId, MonotonicTime>);

impl DepartedMembers {
    /// Records that this instance learned at `now` that a member has left.
    pub fn record(&mut self, name: InstanceId, now: MonotonicTime) {
        self.0
            .retain(|_, since| now.saturating_since(*since) < DEPARTURE_HOLD);
        self.0.insert(name, now);
    }

    /// Returns the members that left within [`DEPARTURE_HOLD`].
    pub fn held(&self, now: MonotonicTime) -> impl Iterator<Item = &InstanceId> {
        self.0
            .iter()
            .filter(move |(_, since)| now.saturating_since(**since) < DEPARTURE_HOLD)
            .map(|(name, _)| name)
    }
}

/// A cold endpoint, as an instance that wants to use it sees it.
#[derive(Debug)]
pub struct ColdQuery<'a, M> {
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// Its number of slots.
    pub slots: u32,
    /// The instance.
    pub own: &'a InstanceId,
    /// State of its membership; `None` if it is not a member.
    pub standing: Option<MemberStanding>,
    /// All members in its view, with [`DepartedMembers::held`].
    pub members: M,
}

/// Slots of one endpoint, as one instance uses them.
#[derive(Debug, Clone, Default)]
struct EndpointSlots {
    slots: u32,
    /// Slots that this instance owns, and when it determined them.
    owned: Option<(MonotonicTime, Vec<u32>)>,
    used_at: HashMap<u32, MonotonicTime>,
}

/// The slots of cold endpoints that one instance uses.
#[derive(Debug, Clone, Default)]
pub struct ColdLimit(HashMap<EndpointId, EndpointSlots>);

impl ColdLimit {
    /// Returns whether a statement may be sent now.
    pub fn has_slot<'a, M>(&mut self, query: ColdQuery<'a, M>, now: MonotonicTime) -> bool
    where
        M: Iterator<Item = &'a InstanceId>,
    {
        self.free_slot(query, now).is_some()
    }

    /// Uses a slot for a statement that is sent now. Returns its number, or `None` if no slot is
    /// free.
    pub fn take_slot<'a, M>(&mut self, query: ColdQuery<'a, M>, now: MonotonicTime) -> Option<u32>
    where
        M: Iterator<Item = &'a InstanceId>,
    {
        let endpoint = query.endpoint;
        let slot = self.free_slot(query, now)?;
        let state = self.0.entry(endpoint.clone()).or_default();
        state.used_at.insert(slot, now);
        Some(slot)
    }

    /// Drops the state of endpoints that are not cold any more. Slots that were used within
    /// [`SLOT_WINDOW`] are kept.
    pub fn retain(&mut self, now: MonotonicTime, is_cold: impl Fn(&EndpointId) -> bool) {
        self.0.retain(|endpoint, state| {
            let is_recent = |at: &MonotonicTime| now.saturating_since(*at) < SLOT_WINDOW;
            is_cold(endpoint) || state.used_at.values().any(is_recent)
        });
    }

    fn free_slot<'a, M>(&mut self, query: ColdQuery<'a, M>, now: MonotonicTime) -> Option<u32>
    where
        M: Iterator<Item = &'a InstanceId>,
    {
        query.standing.filter(|standing| standing.is_settled(now))?;
        let state = self.0.entry(query.endpoint.clone()).or_default();
        let is_valid = state.slots == query.slots
            && state
                .owned
                .as_ref()
                .is_some_and(|(since, _)| now.saturating_since(*since) < OWNERSHIP_TIME);
        if !is_valid {
            state.slots = query.slots;
            state.owned = Some((now, owned_slots(query)));
        }
        let (_, owned) = state.owned.as_ref()?;
        let is_free = |slot: &u32| {
            let used_at = state.used_at.get(slot);
            used_at.is_none_or(|at| now.saturating_since(*at) >= SLOT_WINDOW)
        };
        owned.iter().copied().find(is_free)
    }
}

/// Returns the slots for which no member ranks before the instance.
fn owned_slots<'a, M>(query: ColdQuery<'a, M>) -> Vec<u32>
where
    M: Iterator<Item = &'a InstanceId>,
{
    let rank = |slot: u32, name: &'a InstanceId| {
        let mut hasher = DefaultHasher::new();
        (query.endpoint, slot, name).hash(&mut hasher);
        Reverse((hasher.finish(), name))
    };
    let mut owned: Vec<u32> = (0..query.slots).collect();
    for member in query.members {
        if owned.is_empty() {
            break;
        }
        owned.retain(|slot| rank(*slot, query.own) <= rank(*slot, member));
    }
    owned
}
