//! Orders instances for duties that one of them has for others, those with most processor first.
//!
//! Instances are of uneven sizes. A duty that every instance of a fleet or of a zone calls on
//! would take the whole processor of the smallest ones.

use std::cmp::Reverse;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::ids::InstanceId;
use crate::units::ProcessorShare;

/// An instance with what decides its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankedInstance<'a> {
    /// Its processor.
    pub processor: ProcessorShare,
    /// Its name.
    pub name: &'a InstanceId,
}

impl<'a> RankedInstance<'a> {
    /// Returns the instances of higher rank than this one, highest first; `duty` lets duties fall
    /// on different instances of one size.
    pub fn outranked_by(
        self,
        duty: &impl Hash,
        others: impl Iterator<Item = RankedInstance<'a>>,
    ) -> Vec<RankedInstance<'a>> {
        let own = rank(duty, self);
        ranked_order(duty, others.filter(|other| rank(duty, *other) < own))
    }
}

/// Returns instances by their rank for a duty, highest first.
pub fn ranked_order<'a>(
    duty: &impl Hash,
    instances: impl Iterator<Item = RankedInstance<'a>>,
) -> Vec<RankedInstance<'a>> {
    let mut ranked: Vec<_> = instances
        .map(|instance| (rank(duty, instance), instance))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

fn rank<'a>(
    duty: &impl Hash,
    instance: RankedInstance<'a>,
) -> (Reverse<ProcessorShare>, u64, &'a InstanceId) {
    let mut hasher = DefaultHasher::new();
    (duty, instance.name).hash(&mut hasher);
    (Reverse(instance.processor), hasher.finish(), instance.name)
}
