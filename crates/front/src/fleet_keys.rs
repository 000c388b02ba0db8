//! Keys of the product in the platform's store, and their values.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use session_core::ids::InstanceId;
use session_core::ids::ServiceId;

/// The key of the instance that holds the duties and lends the rates.
pub const LEADER_KEY: &str = "tamaracklb/leader";

const MEMBER_PREFIX: &str = "tamaracklb/member/";
const ORDER_PREFIX: &str = "tamaracklb/order/";
const SEEN_PREFIX: &str = "tamaracklb/seen/";

/// An instance that may use primaries; its key ends with its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberValue {
    /// Where it takes datagrams of other instances.
    pub address: SocketAddr,
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

/// The newest order of a group that an instance follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SeenValue {
    /// The revision of the order.
    pub revision: u64,
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
    /// What an instance acknowledged of a group.
    Seen(ServiceId, InstanceId),
}

/// Returns the key of an instance.
pub fn member_key(instance: &InstanceId) -> String {
    format!("{MEMBER_PREFIX}{instance}")
}

/// Returns the key of the order about a group.
pub fn order_key(service: &ServiceId) -> String {
    format!("{ORDER_PREFIX}{service}")
}

/// Returns the key of an instance's acknowledgement for a group.
pub fn seen_key(service: &ServiceId, instance: &InstanceId) -> String {
    format!("{SEEN_PREFIX}{service}/{instance}")
}

/// Returns what a key stands for, or `None` where it is not one of ours.
pub fn parse_key(key: &str) -> Option<FleetKey> {
    if key == LEADER_KEY {
        return Some(FleetKey::Leader);
    }
    if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
        return name.parse().ok().map(FleetKey::Member);
    }
    if let Some(name) = key.strip_prefix(ORDER_PREFIX) {
        return name.parse().ok().map(FleetKey::Order);
    }
    let (service, instance) = key.strip_prefix(SEEN_PREFIX)?.split_once('/')?;
    Some(FleetKey::Seen(
        service.parse().ok()?,
        instance.parse().ok()?,
    ))
}
