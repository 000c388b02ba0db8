//! Configurations that an operator of the stand-in accepts.

use serde_json::Value;
use serde_json::json;

/// A team of a configuration.
#[derive(Debug, Clone)]
pub struct SampleTeam {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rate in operations a second, which is its burst as well.
    pub rate: u32,
}

/// How old reads of the sample routes may be.
pub const STALENESS_MS: u64 = 2_000;

/// How long a statement of the sample routes may take.
pub const STATEMENT_MS: u64 = 1_000;

/// Adds routes to other databases of the service, as a large fleet has.
pub fn add_routes(configuration: &mut Value, service: &str, count: usize) {
    let Some(routes) = configuration["Routes"].as_array_mut() else {
        return;
    };
    routes.extend((0..count).map(|number| {
        json!({
            "Name": format!("r-{number}"), "Host": format!("database-{number}"), "Prefix": "/",
            "Kind": "primary", "TimeoutMs": STATEMENT_MS, "TargetLatencyMs": 400, "Priority": 1,
            "Service": service, "Public": false,
        })
    }));
}

/// Returns a configuration with a route of each kind to one service: `linear`, `bounded`, `own`.
pub fn sample_configuration(version: u64, service: &str, teams: &[SampleTeam]) -> Value {
    let route = |host: &str, kind: &str| {
        json!({
            "Name": host, "Host": host, "Prefix": "/", "Kind": kind, "TimeoutMs": STATEMENT_MS,
            "TargetLatencyMs": 400, "Priority": 1, "Service": service,
            "MaxStalenessMs": STALENESS_MS, "Public": false,
        })
    };
    let team = |team: &SampleTeam| {
        json!({
            "Name": team.name, "ApiKeys": team.keys, "RatePerS": team.rate, "Burst": team.rate,
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("linear", "primary"),
            route("bounded", "bounded_staleness"),
            route("own", "read_your_writes"),
        ],
        "Services": [{"Name": service, "MaxConnections": 40, "SyncReplicas": 1}],
        "Limits": {"TransactionIdleMs": 3_000},
        "Tenants": teams.iter().map(team).collect::<Vec<_>>(),
    })
}
