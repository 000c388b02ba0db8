//! Chooses from whom each instance of an availability zone learns what the store says.
//!
//! The instances of a zone form a tree by their ranks: the first one follows the store, and each
//! other one follows an instance before it. An instance that passes others over still follows one
//! before it, so that no two ever follow each other.

use crate::ids::InstanceId;
use crate::ids::ZoneId;
use crate::instance_rank::RankedInstance;

/// How many instances follow the same one, which bounds what a change costs on its link.
pub const FOLLOWER_COUNT: usize = 6;

/// Returns the instance that `own` follows among the members of its zone; `None` where it follows
/// the store itself.
pub fn relay_parent<'a>(
    own: RankedInstance<'a>,
    zone: &ZoneId,
    members: impl Iterator<Item = RankedInstance<'a>>,
) -> Option<&'a InstanceId> {
    let before = own.outranked_by(zone, members);
    let index = before.len().checked_sub(1)? / FOLLOWER_COUNT;
    before.get(index).map(|parent| parent.name)
}
