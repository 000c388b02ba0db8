//! Builds the tree in which the instances of an availability zone relay the store's view.
//!
//! The instances of a zone are ordered by rank. The first one watches the store, and each other one
//! follows an instance of higher rank. Since this also holds for an instance that skips parents,
//! the tree has no cycles.

use crate::ids::InstanceId;
use crate::ids::ZoneId;
use crate::instance_rank::RankedInstance;

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
