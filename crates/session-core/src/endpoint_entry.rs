//! The entry of an endpoint in the registry.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::ids::ServiceId;
use crate::ids::ZoneId;
use crate::units::SlotCount;

/// The role that an endpoint reports for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupRole {
    /// The endpoint accepts writes.
    Primary,
    /// The endpoint replicates from a primary.
    Replica,
}

/// One endpoint as it registered itself.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Its id, which is sent when a connection is opened.
    pub id: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The number of statements that it runs at once.
    pub slots: SlotCount,
    /// Whether it is about to leave the group.
    pub draining: bool,
    /// The role that it reports.
    pub role: GroupRole,
    /// When its process started, in Unix milliseconds; differs after each restart.
    pub born: u64,
    /// How long it stays cold after this entry was written; zero if it is not cold.
    pub cold_time: Duration,
}

impl EndpointEntry {
    /// Returns whether the endpoint was cold when it wrote the entry.
    pub fn is_cold(&self) -> bool {
        !self.cold_time.is_zero()
    }
}
