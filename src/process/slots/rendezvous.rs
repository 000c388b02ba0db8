//! Rendezvous hashing with spread over availability zones.
//!
//! Selects coordinators, watchers, witnesses and peer subsets. Every instance computes the same
//! order from the same members, and a member that joins or leaves affects only the selections that
//! it belongs to.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::version::ids::InstanceId;
use crate::version::ids::ZoneId;

/// An instance and its availability zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RendezvousMember {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Returns the weight of a member for a key; members are ordered by decreasing weight.
pub fn member_weight(key: &str, instance: &InstanceId) -> u64 {
    let mut hash = Sha256::new();
    hash.update(key.as_bytes());
    hash.update([0]);
    hash.update(instance.as_str().as_bytes());
    let digest = hash.finalize();
    digest[..8]
        .iter()
        .fold(0, |weight, &byte| weight << 8 | u64::from(byte))
}

/// Returns all members by decreasing weight for a key.
pub fn rendezvous_order(key: &str, members: &[RendezvousMember]) -> Vec<InstanceId> {
    let mut order = members
        .iter()
        .map(|member| (member_weight(key, &member.instance), &member.instance))
        .collect::<Vec<_>>();
    order.sort_by(|a, b| b.cmp(a));
    order
        .into_iter()
        .map(|(_, instance)| instance.clone())
        .collect()
}

/// Returns all members, ordered so that any prefix is spread over the zones as evenly as possible.
///
/// Members are ordered by their rank within their zone, then by weight.
pub fn spread_order(key: &str, members: &[RendezvousMember]) -> Vec<InstanceId> {
    let mut zones: BTreeMap<&ZoneId, Vec<(u64, &InstanceId)>> = BTreeMap::new();
    for member in members {
        let weight = member_weight(key, &member.instance);
        zones
            .entry(&member.zone)
            .or_default()
            .push((weight, &member.instance));
    }
    let mut order = Vec::with_capacity(members.len());
    for ranked in zones.values_mut() {
        ranked.sort_by(|a, b| b.cmp(a));
        for (rank, (weight, instance)) in ranked.iter().enumerate() {
            order.push((rank, std::cmp::Reverse(*weight), *instance));
        }
    }
    order.sort();
    order
        .into_iter()
        .map(|(_, _, instance)| instance.clone())
        .collect()
}
