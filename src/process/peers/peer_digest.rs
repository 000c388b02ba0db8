//! What an instance tells its peers of itself with each heartbeat.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::request::log_point::LogPoint;
use crate::version::ids::BundleVersion;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::ids::ZoneId;

/// The state of an instance in short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerDigest {
    /// The sender.
    pub instance: InstanceId,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// Where it answers peers.
    pub address: SocketAddr,
    /// A random number drawn when its process started.
    pub incarnation: u64,
    /// Its incarnation number in each shard of team rates.
    pub share_incarnations: Vec<u64>,
    /// The version of the bundle in force there.
    pub bundle: BundleVersion,
    /// How long ago it last read the store, in milliseconds; `None` if it never did.
    pub store_age_ms: Option<u64>,
    /// Whether it is stopping.
    pub draining: bool,
    /// The services it watches, in short.
    pub services: Vec<ServiceDigest>,
}

/// What an instance sees of one service that it watches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ServiceDigest {
    /// The service.
    pub service: ServiceId,
    /// The endpoint it takes for the primary.
    pub primary: Option<EndpointId>,
    /// The highest point it saw.
    pub point: LogPoint,
    /// How long new connections to the primary have failed, in milliseconds; 0 while they work.
    pub unreachable_ms: u64,
}
