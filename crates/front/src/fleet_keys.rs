//! Keys that the daemon writes to the platform's store, and their values.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use session_core::ids::InstanceId;
use session_core::ids::ServiceId;
use session_core::ids::ZoneId;
use session_core::instance_rank::RankedInstance;
use session_core::units::ProcessorShare;

/// Key of the leader, which changes primaries and lends rates.
pub const LEADER_KEY: &str = "tamaracklb/leader";

/// Prefix of the keys of all instances.
pub const MEMBER_PREFIX: &str = "tamaracklb/member/";
const ORDER_PREFIX: &str = "tamaracklb/order/";

/// Value of a member key: an instance that may use primaries. The key is removed when the
/// instance's lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberValue {
    /// Address for datagrams and connections of other instances.
    pub address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Processor share of the instance, which decides its rank.
    #[serde(default)]
    pub processor: ProcessorShare,
}

impl MemberValue {
    /// Returns the properties that decide the rank of the instance with this name.
    pub fn ranked<'a>(&self, name: &'a InstanceId) -> RankedInstance<'a> {
        RankedInstance {
            processor: self.processor,
            name,
        }
    }
}

/// Value of the leader key. The key is removed when the leader lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaderValue {
    /// Name of the leader.
    pub instance: InstanceId,
    /// Address for datagrams of other instances.
    pub address: SocketAddr,
}

/// A parsed key of the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetKey {
    /// The leader's key.
    Leader,
    /// Key of an instance.
    Member(InstanceId),
    /// Key of the order that names a group's primary.
    Order(ServiceId),
}

/// Returns the key of an instance.
pub fn member_key(zone: &ZoneId, instance: &InstanceId) -> String {
    format!("{}{instance}", zone_prefix(zone))
}

/// Returns the prefix of the keys of an availability zone's instances.
pub fn zone_prefix(zone: &ZoneId) -> String {
    format!("{MEMBER_PREFIX}{zone}/")
}

/// Returns the key of the order that names a group's primary.
pub fn order_key(service: &ServiceId) -> String {
    format!("{ORDER_PREFIX}{service}")
}

/// Parses a key. Returns `None` if it is not one of the daemon's.
pub fn parse_key(key: &str) -> Option<FleetKey> {
    if key == LEADER_KEY {
        return Some(FleetKey::Leader);
    }
    if let Some(path) = key.strip_prefix(MEMBER_PREFIX) {
        // Earlier versions wrote the name without its zone.
        let name = path.rsplit('/').next()?;
        return name.parse().ok().map(FleetKey::Member);
    }
    let name = key.strip_prefix(ORDER_PREFIX)?;
    name.parse().ok().map(FleetKey::Order)
}
