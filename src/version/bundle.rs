//! The content of a bundle: teams with their keys and rates, services with their endpoints.

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
    /// The version number; a bundle replaces the one in force only if its version is higher.
    pub version: BundleVersion,
    /// The teams that may send requests.
    pub teams: Vec<TeamConfig>,
    /// The services that requests are routed to.
    pub services: Vec<ServiceConfig>,
    /// The service-level objectives for which burn rates are computed.
    #[serde(default)]
    pub objectives: Vec<ObjectiveConfig>,
}

/// A team with its keys and its rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct TeamConfig {
    /// The team's name, which callers send as the user name.
    pub id: TeamId,
    /// The SCRAM salt of all keys of this team, in base64.
    #[serde(default)]
    pub salt: String,
    /// The SCRAM iteration count of all keys of this team.
    #[serde(default = "default_iterations")]
    pub iterations: u32,
    /// The accepted keys.
    #[serde(default)]
    pub keys: Vec<KeyConfig>,
    /// The rate limit for the whole fleet, in requests per second.
    pub rate: RequestRate,
    /// The burst limit for the whole fleet, in requests.
    pub burst: RequestBurst,
    /// The weight that divides an endpoint's slots between competing teams.
    #[serde(default = "default_weight")]
    pub weight: TeamWeight,
}

/// The SCRAM-SHA-256 verifier of a team's key; it does not contain the key itself.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct KeyConfig {
    /// The name by which operators identify the key.
    pub id: KeyId,
    /// The StoredKey of RFC 5802, in base64.
    pub stored_key: String,
    /// The ServerKey of RFC 5802, in base64.
    pub server_key: String,
}

impl std::fmt::Debug for KeyConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyConfig")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A service: a group of endpoints, one primary and its replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ServiceConfig {
    /// The service's name, which callers send as the database name.
    pub id: ServiceId,
    /// The endpoints of the group.
    pub endpoints: Vec<EndpointConfig>,
    /// The teams that may use the service.
    #[serde(default)]
    pub teams: Vec<TeamId>,
    /// The team to which requests without a key are charged; `None` if the service requires a key.
    #[serde(default)]
    pub open_as: Option<TeamId>,
    /// Maximum staleness in ms of a read that does not follow a write of its session.
    #[serde(default)]
    pub staleness_limit_ms: Option<StalenessLimit>,
    /// Prefixes of statements that must run at most once and are therefore never retried.
    #[serde(default)]
    pub once_only: Vec<String>,
}

/// One endpoint of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EndpointConfig {
    /// The name of the endpoint.
    pub id: EndpointId,
    /// The IP address and port of its PostgreSQL listener.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Maximum number of concurrent statements, over all instances.
    pub slots: SlotCount,
    /// Maximum number of connections, over all instances.
    pub connections: ConnectionCount,
    /// Whether it is being removed and receives no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A service-level objective for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ObjectiveConfig {
    /// The service it applies to.
    pub service: ServiceId,
    /// The required fraction of good requests, such as 0.999.
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
