//! Keys of the product in the platform's store, and their values.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use session_core::ids::InstanceId;
use session_core::ids::ServiceId;
use session_core::ids::ZoneId;
use session_core::instance_rank::RankedInstance;
use session_core::units::ProcessorShare;

/// The key of the instance that holds the duties and lends the rates.
pub const LEADER_KEY: &str = "tamaracklb/leader";

const MEMBER_PREFIX: &str = "tamaracklb/member/";
const ORDER_PREFIX: &str = "tamaracklb/order/";

/// An instance that may use primaries; its key ends with its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberValue {
    /// Where it takes datagrams and connections of other instances.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its processor.
    #[serde(default)]
    pub processor: ProcessorShare,
}

impl MemberValue {
    /// Returns what decides the rank of the instance with this name.
    pub fn ranked<'a>(&self, name: &'a InstanceId) -> RankedInstance<'a> {
        RankedInstance {
            processor: self.processor,
            name,
        }
    }
}

/// The instance that holds the duties; its key ends with its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaderValue {
    /// Its name.
    pub instance: InstanceId,
    /// Where it takes datagrams of other instances.
    pub address: SocketAddr,
}

/// What a key stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetKey {
    /// The holder of the duties.
    Leader,
    /// An instance.
    Member(InstanceId),
    /// The order about the primary of a group.
    Order(ServiceId),
}

/// Returns the key of an instance.
pub fn member_key(instance: &InstanceId) -> String {
    format!("{MEMBER_PREFIX}{instance}")
}

/// Returns the key of the order about a group.
pub fn order_key(service: &ServiceId) -> String {
    format!("{ORDER_PREFIX}{service}")
}

/// Returns what a key stands for, or `None` where it is not one of ours.
pub fn parse_key(key: &str) -> Option<FleetKey> {
    if key == LEADER_KEY {
        return Some(FleetKey::Leader);
    }
    if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
        return name.parse().ok().map(FleetKey::Member);
    }
    let name = key.strip_prefix(ORDER_PREFIX)?;
    name.parse().ok().map(FleetKey::Order)
}
