//! What a promotion took from the group at the time of its effect.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::SystemTime;

use crate::platform::group_state::GroupState;
use crate::platform::group_state::LoggedCommit;

/// A promotion that took effect.
#[derive(Debug, Clone)]
pub struct PromotionEffect {
    /// The new primary.
    pub target: String,
    /// When it became the primary.
    pub at: SystemTime,
    /// Items and values that it lacks, each with descriptions of the endpoints that hold them.
    pub lacking: BTreeMap<(String, String), Vec<String>>,
}

impl PromotionEffect {
    /// Compares the log of a target with the logs of all others, immediately before the effect.
    pub fn new(group: &GroupState, target: &str) -> Self {
        let writes = |log: &[LoggedCommit]| -> HashSet<(String, String)> {
            log.iter()
                .flat_map(|commit| commit.writes.clone())
                .collect()
        };
        let held = group
            .endpoints
            .get(target)
            .map(|endpoint| writes(&endpoint.log));
        let held = held.unwrap_or_default();
        let mut lacking: BTreeMap<(String, String), Vec<String>> = BTreeMap::new();
        for (id, holder) in &group.endpoints {
            let description = format!(
                "{id} ({}, {}, {})",
                if holder.primary { "primary" } else { "replica" },
                if holder.alive { "answers" } else { "silent" },
                if holder.registered {
                    "registered"
                } else {
                    "not registered yet"
                },
            );
            for write in writes(&holder.log).difference(&held) {
                let holders = lacking.entry(write.clone()).or_default();
                holders.push(description.clone());
            }
        }
        Self {
            target: target.to_owned(),
            at: SystemTime::now(),
            lacking,
        }
    }
}
