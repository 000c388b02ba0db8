//! The routes, keys and limits of one accepted version of the configuration.

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::BundleVersion;
use crate::ids::ServiceId;
use crate::ids::TeamId;
use crate::secret_text::SecretText;
use crate::units::ConnectionCount;
use crate::units::RequestBurst;
use crate::units::RequestRate;

/// How fresh the reads of a route must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPolicy {
    /// Linearizable: every read runs at the primary.
    Primary,
    /// A read may miss commits that were acknowledged within this time before it.
    Bounded(Duration),
    /// As `Bounded`, and it also sees all commits of its own session.
    OwnWrites(Duration),
}

/// The service that serves one database name, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatabaseRoute {
    /// The service that runs the statements.
    pub service: ServiceId,
    /// How fresh its reads must be.
    pub policy: ReadPolicy,
    /// Maximum duration of one statement.
    pub statement_time: Duration,
    /// The latency that callers expect of an operation, waiting included.
    pub target_latency: Duration,
    /// Priority among waiting requests; 0 is served first.
    pub priority: u8,
    /// Whether callers may connect without a key.
    pub public: bool,
}

/// The rate limit of a team over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    /// Operations per second.
    pub rate: RequestRate,
    /// Operations that may exceed the rate at once.
    pub burst: RequestBurst,
}

/// The limits of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLimit {
    /// Maximum number of connections from the whole fleet to each endpoint.
    pub connections: ConnectionCount,
    /// Number of replicas that hold a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Statements per second from the whole fleet to each endpoint that is cold; 0 for no bound.
    pub cold_rate: RequestRate,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct ServingRules {
    /// The version.
    pub version: BundleVersion,
    /// Routes by database name.
    pub routes: HashMap<String, DatabaseRoute>,
    /// Teams by their keys.
    pub keys: HashMap<String, TeamId>,
    /// Limits of the teams.
    pub teams: HashMap<TeamId, TeamLimit>,
    /// Limits of the services.
    pub services: HashMap<ServiceId, ServiceLimit>,
    /// Maximum idle time between the statements of a transaction; `None` for no limit.
    pub transaction_idle: Option<Duration>,
}

/// Why a session may not start or continue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessRefusal {
    /// No route has the database name.
    UnknownDatabase,
    /// No team has the key.
    UnknownKey,
}

impl ServingRules {
    /// Returns the route and, if the key names one, the team of a session.
    ///
    /// # Errors
    ///
    /// `UnknownDatabase` if no route has the name; `UnknownKey` if the route is not public and no
    /// team has the key.
    pub fn access(
        &self,
        database: &str,
        key: &SecretText,
    ) -> Result<(&DatabaseRoute, Option<&TeamId>), AccessRefusal> {
        let route = self
            .routes
            .get(database)
            .ok_or(AccessRefusal::UnknownDatabase)?;
        match self.keys.get(key.expose()) {
            Some(team) => Ok((route, Some(team))),
            None if route.public => Ok((route, None)),
            None => Err(AccessRefusal::UnknownKey),
        }
    }
}
