//! Sample operators' configurations for tests.

use serde_json::Value;
use serde_json::json;

/// A team of a sample configuration.
#[derive(Debug, Clone)]
pub struct SampleTeam {
    /// Its name.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<String>,
    /// Rate in operations per second, and burst in operations.
    pub rate: u32,
}

/// Maximum staleness of reads on the sample routes, in milliseconds.
pub const STALENESS_MS: u64 = 2_000;

/// Timeout of statements on the sample routes, in milliseconds.
pub const STATEMENT_MS: u64 = 1_000;

/// Adds `count` routes to other databases of the service, for a configuration as large as that of a
/// large fleet.
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

/// Sets the bound of requests per second to cold endpoints of all services.
pub fn set_cold_rate(configuration: &mut Value, per_second: u32) {
    let services = configuration["Services"].as_array_mut();
    for service in services.into_iter().flatten() {
        service["ColdPerS"] = per_second.into();
    }
}

/// Returns a configuration with one service and a route of each kind to it: `linear` reads from the
/// primary, `bounded` with bounded staleness, `own` with read-your-writes, and `open` from the primary
/// without a key.
pub fn sample_configuration(version: u64, service: &str, teams: &[SampleTeam]) -> Value {
    let route = |host: &str, kind: &str| {
        json!({
            "Name": host, "Host": host, "Prefix": "/", "Kind": kind, "TimeoutMs": STATEMENT_MS,
            "TargetLatencyMs": 400, "Priority": 1, "Service": service,
            "MaxStalenessMs": STALENESS_MS, "Public": host == "open",
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
            route("open", "primary"),
        ],
        "Services": [{"Name": service, "MaxConnections": 40, "SyncReplicas": 1}],
        "Limits": {"TransactionIdleMs": 3_000},
        "Tenants": teams.iter().map(team).collect::<Vec<_>>(),
    })
}
