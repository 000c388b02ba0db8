//! Builds the tree in which the instances of an availability zone relay the store's view.
//!
//! The instances of a zone are ordered by rank. The first one watches the store, and each other one
//! follows an instance of higher rank. Since this also holds for an instance that skips parents,
//! the tree has no cycles.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::ids::ZoneId;
use crate::instance_rank::RankedInstance;
use crate::instance_rank::ranked_order;

/// Maximum number of instances that follow the same parent, which bounds the traffic of one change
/// on the parent's link.
pub const MAX_FOLLOWERS: usize = 6;

/// Returns the instance that `own` follows among the members of its zone, or `None` if it watches
/// the store itself.
pub fn relay_parent<'a>(
    own: RankedInstance<'a>,
    zone: &ZoneId,
    members: impl Iterator<Item = RankedInstance<'a>>,
) -> Option<&'a InstanceId> {
    let before = own.outranked_by(zone, members);
    let index = before.len().checked_sub(1)? / MAX_FOLLOWERS;
    before.get(index).map(|parent| parent.name)
}

/// Returns the instance that `own`, the first one of its zone, follows while the store answers others
/// but not itself: the first of the other members of its zone, else the first one of another zone.
///
/// An instance with a substitute serves no followers, so that two instances never wait for each other.
pub fn relay_substitute<'a>(
    zone: &ZoneId,
    others: impl Iterator<Item = (&'a ZoneId, RankedInstance<'a>)>,
) -> Option<&'a InstanceId> {
    let mut zones: BTreeMap<&ZoneId, Vec<RankedInstance<'a>>> = BTreeMap::new();
    for (zone, member) in others {
        zones.entry(zone).or_default().push(member);
    }
    let members = zones
        .remove(zone)
        .or_else(|| zones.pop_first().map(|(_, m)| m))?;
    let ranked = ranked_order(zone, members.into_iter());
    ranked.first().map(|member| member.name)
}

/// Age of the evidence above which an instance is no good relay: two watches.
pub const MAX_RELAY_AGE: Duration = Duration::from_millis(1_800);

/// Returns whether an instance queries the positions of primaries for the others of its zone.
///
/// `is_root` tells whether the tree of all members has no relay for it, and `evidence_age` is the
/// age of its view. While the store answers nobody, every instance tries to watch it; if each of
/// them also queried every primary, they would use up the connections that endpoints accept.
pub fn queries_positions(
    watches_store: bool,
    is_root: bool,
    evidence_age: Option<Duration>,
) -> bool {
    watches_store && (is_root || evidence_age.is_some_and(|age| age <= MAX_RELAY_AGE))
}
