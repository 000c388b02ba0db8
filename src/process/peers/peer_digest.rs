//! The summary of its state that an instance sends to its peers with each heartbeat.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::request::log_point::LogPoint;
use crate::version::ids::BundleVersion;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::ids::ZoneId;

/// A summary of the state of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerDigest {
    /// The instance that sends the digest.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The address at which it answers peers.
    pub address: SocketAddr,
    /// A random number that its process chose at its start.
    pub incarnation: u64,
    /// Its incarnation number in each shard of team rates.
    pub share_incarnations: Vec<u64>,
    /// The version of the bundle that it has in force.
    pub bundle: BundleVersion,
    /// How long ago it last read the store, in milliseconds; `None` if it never did.
    pub store_age_ms: Option<u64>,
    /// Whether it is stopping.
    pub draining: bool,
    /// The services that it watches.
    pub services: Vec<ServiceDigest>,
}

/// An instance's view of one service that it watches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ServiceDigest {
    /// The service.
    pub service: ServiceId,
    /// The endpoint that the instance considers the primary.
    pub primary: Option<EndpointId>,
    /// The highest point that an endpoint reported to it.
    pub point: LogPoint,
    /// Time for which new connections to the primary have failed, in milliseconds; 0 if they succeed.
    pub unreachable_ms: u64,
}
