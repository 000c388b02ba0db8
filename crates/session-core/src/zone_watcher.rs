//! Chooses from whom each instance of an availability zone learns what the store says.
//!
//! The instances of a zone form a tree by the order of their hashes: the first one follows the
//! store, and each other one follows an instance before it. An instance that passes others over
//! still follows one before it, so that no two ever follow each other.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::ids::InstanceId;
use crate::ids::ZoneId;

/// How many instances follow the same one, which bounds what a change costs on its link.
pub const FOLLOWER_COUNT: usize = 6;

/// Returns the instance that `own` follows among the members of its zone; `None` where it follows
/// the store itself.
pub fn relay_parent<'a>(
    own: &InstanceId,
    zone: &ZoneId,
    members: impl Iterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    let own_rank = (rank(zone, own), own);
    let mut before: Vec<_> = members
        .map(|name| (rank(zone, name), name))
        .filter(|member| *member < own_rank)
        .collect();
    before.sort_unstable();
    let index = before.len().checked_sub(1)? / FOLLOWER_COUNT;
    before.get(index).map(|(_, name)| *name)
}

fn rank(zone: &ZoneId, name: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (zone, name).hash(&mut hasher);
    hasher.finish()
}
