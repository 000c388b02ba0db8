//! Ranks instances for tasks that one of them performs for the others, by processor capacity.
//!
//! Instances are of uneven sizes. A task that serves every instance of a fleet or of a zone would
//! use the whole processor of the smallest ones.

use std::cmp::Reverse;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::ids::InstanceId;
use crate::units::ProcessorShare;

/// An instance and the properties that determine its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankedInstance<'a> {
    /// Its processor capacity.
    pub processor: ProcessorShare,
    /// Its name.
    pub name: &'a InstanceId,
}

impl<'a> RankedInstance<'a> {
    /// Returns the instances that rank higher than this one for a task, highest first. Among
    /// instances of the same size, `task` determines the order, which spreads tasks over them.
    pub fn outranked_by(
        self,
        task: &impl Hash,
        others: impl Iterator<Item = RankedInstance<'a>>,
    ) -> Vec<RankedInstance<'a>> {
        let own = rank(task, self);
        ranked_order(task, others.filter(|other| rank(task, *other) < own))
    }
}

/// Returns the instances by their rank for a task, highest first.
pub fn ranked_order<'a>(
    task: &impl Hash,
    instances: impl Iterator<Item = RankedInstance<'a>>,
) -> Vec<RankedInstance<'a>> {
    let mut ranked: Vec<_> = instances
        .map(|instance| (rank(task, instance), instance))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, instance)| instance).collect()
}

fn rank<'a>(
    task: &impl Hash,
    instance: RankedInstance<'a>,
) -> (Reverse<ProcessorShare>, u64, &'a InstanceId) {
    let mut hasher = DefaultHasher::new();
    (task, instance.name).hash(&mut hasher);
    (Reverse(instance.processor), hasher.finish(), instance.name)
}
