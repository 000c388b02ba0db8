//! What the registry says of an endpoint.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::units::SlotCount;

/// How an endpoint sees itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupRole {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// One endpoint as it registered itself.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Its id, which a connection names.
    pub id: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How many statements it runs at once.
    pub slots: SlotCount,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Its own view of its role.
    pub role: GroupRole,
    /// When its process started, in Unix milliseconds; it changes with each restart.
    pub born: u64,
}
