//! The content of a bundle: teams, their keys and rates, services and their endpoints.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::version::ids::BundleVersion;
use crate::version::ids::EndpointId;
use crate::version::ids::KeyId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;
use crate::version::ids::ZoneId;
use crate::version::units::ConnectionCount;
use crate::version::units::RequestBurst;
use crate::version::units::RequestRate;
use crate::version::units::SlotCount;
use crate::version::units::StalenessLimit;
use crate::version::units::TeamWeight;

/// One version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BundleConfig {
    /// The version number; it must be higher than that of the bundle in force.
    pub version: BundleVersion,
    /// The teams that may send requests.
    pub teams: Vec<TeamConfig>,
    /// The services that requests are routed to.
    pub services: Vec<ServiceConfig>,
    /// The service-level objectives that burn is measured against.
    #[serde(default)]
    pub objectives: Vec<ObjectiveConfig>,
}

/// A team with its keys and its rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TeamConfig {
    /// The name that callers present as user name.
    pub id: TeamId,
    /// The SCRAM salt of all keys of this team, in base64.
    #[serde(default)]
    pub salt: String,
    /// The SCRAM iteration count of all keys of this team.
    #[serde(default = "default_iterations")]
    pub iterations: u32,
    /// The keys that are accepted.
    #[serde(default)]
    pub keys: Vec<KeyConfig>,
    /// The rate for the whole fleet, in requests per second.
    pub rate: RequestRate,
    /// The burst for the whole fleet, in requests.
    pub burst: RequestBurst,
    /// The weight where teams compete for slots.
    #[serde(default = "default_weight")]
    pub weight: TeamWeight,
}

/// A key of a team, as the verifier that SCRAM-SHA-256 needs; the key itself is not in it.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct KeyConfig {
    /// The name of the key, for operators.
    pub id: KeyId,
    /// StoredKey of RFC 5802, in base64.
    pub stored_key: String,
    /// ServerKey of RFC 5802, in base64.
    pub server_key: String,
}

impl std::fmt::Debug for KeyConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyConfig")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A service: a database group of one primary and its replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ServiceConfig {
    /// The name that callers present as database name.
    pub id: ServiceId,
    /// The endpoints of the group.
    pub endpoints: Vec<EndpointConfig>,
    /// The teams that may use the service.
    #[serde(default)]
    pub teams: Vec<TeamId>,
    /// The team that requests without a key count for; set where the service is open to all.
    #[serde(default)]
    pub open_as: Option<TeamId>,
    /// The age up to which a read that does not follow a write of its session may be stale, in ms.
    #[serde(default)]
    pub staleness_limit_ms: Option<StalenessLimit>,
    /// Prefixes of statements that run at most once; they are never retried.
    #[serde(default)]
    pub once_only: Vec<String>,
}

/// One endpoint of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EndpointConfig {
    /// The name of the endpoint.
    pub id: EndpointId,
    /// The IP address and port where it speaks the PostgreSQL protocol.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// The statements it runs at once, for all instances together.
    pub slots: SlotCount,
    /// The connections it accepts, for all instances together.
    pub connections: ConnectionCount,
    /// Whether it is being removed and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A service-level objective for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ObjectiveConfig {
    /// The service it applies to.
    pub service: ServiceId,
    /// The share of good requests, such as 0.999.
    pub target: f64,
    /// The window of the objective, in hours.
    pub window_hours: u32,
}

fn default_iterations() -> u32 {
    4096
}

fn default_weight() -> TeamWeight {
    TeamWeight(1.0)
}
