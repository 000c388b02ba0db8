//! Chooses the instance of each availability zone that follows the store for the others.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::ids::InstanceId;
use crate::ids::ZoneId;

/// Returns the instance that follows the store for a zone, by rendezvous hashing: a member that
/// joins or leaves moves the duty only where it has or had the lowest hash.
pub fn zone_watcher<'a>(
    zone: &ZoneId,
    members: impl Iterator<Item = (&'a InstanceId, &'a ZoneId)>,
) -> Option<&'a InstanceId> {
    members
        .filter(|(_, member_zone)| *member_zone == zone)
        .map(|(name, _)| name)
        .min_by_key(|name| {
            let mut hasher = DefaultHasher::new();
            (zone, name).hash(&mut hasher);
            hasher.finish()
        })
}
