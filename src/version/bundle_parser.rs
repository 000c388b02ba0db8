//! Parses a bundle from YAML and validates it, reporting every fault with its position.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::version::bundle::BundleConfig;
use crate::version::bundle::EndpointConfig;
use crate::version::bundle::KeyConfig;
use crate::version::bundle::ObjectiveConfig;
use crate::version::bundle::ServiceConfig;
use crate::version::bundle::TeamConfig;
use crate::version::config_fault::ConfigFault;
use crate::version::fault_list::FaultList;
use crate::version::fault_list::TextPosition;
use crate::version::ids::BundleVersion;
use crate::version::ids::KeyId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;
use crate::version::units::ConnectionCount;
use crate::version::units::RequestBurst;
use crate::version::units::RequestRate;
use crate::version::units::SlotCount;
use crate::version::units::StalenessLimit;
use crate::version::units::TeamWeight;
use crate::version::yaml_node::YamlNode;
use crate::version::yaml_node::YamlValue;
use crate::version::yaml_node::parse_yaml;
use crate::version::yaml_reader::Located;
use crate::version::yaml_reader::MapReader;

/// Maximum size of a bundle text in bytes, below the 1,000,000 of an envelope, whose JSON escapes
/// line breaks.
pub const MAX_BUNDLE_BYTES: usize = 960_000;
/// The SCRAM iteration count of a team that specifies none.
pub const DEFAULT_ITERATIONS: u32 = 4096;
/// Accepted SCRAM iteration counts, inclusive; RFC 7677 requires at least 4096.
pub const ITERATION_RANGE: (u64, u64) = (4096, 1_000_000);
/// Accepted lengths of a salt in bytes, inclusive.
pub const SALT_BYTES_RANGE: (usize, usize) = (12, 64);

const MAX_WINDOW_HOURS: u64 = 24 * 92;
const MAX_STALENESS_MS: u64 = 24 * 3600 * 1000;
const MAX_COUNT: u64 = 1_000_000;

/// The line on which each name first occurs.
type FirstLines = HashMap<String, u32>;

/// Parses and validates a bundle; the error lists every fault with its line and column.
pub fn parse_bundle(text: &str) -> Result<BundleConfig, FaultList> {
    if text.len() > MAX_BUNDLE_BYTES {
        let mut faults = FaultList::default();
        let (bytes, limit) = (text.len(), MAX_BUNDLE_BYTES);
        let start = TextPosition { line: 1, column: 1 };
        faults.push(start, "", ConfigFault::TooLarge { bytes, limit });
        return Err(faults);
    }
    let root = parse_yaml(text)?;
    let mut parser = BundleParser::default();
    let config = parser.read_bundle(&root);
    parser.faults.into_result(config)
}

#[derive(Default)]
struct BundleParser {
    faults: FaultList,
    teams: FirstLines,
    services: FirstLines,
    endpoints: FirstLines,
    addresses: FirstLines,
}

impl BundleParser {
    fn read_bundle(&mut self, root: &YamlNode) -> Option<BundleConfig> {
        let known = ["version", "teams", "services", "objectives"];
        let map = MapReader::read_map(root, "", &known, &mut self.faults)?;
        let version = map
            .required("version", &mut self.faults)
            .and_then(|node| node.integer(1, u64::MAX, "", &mut self.faults));
        let teams = self.read_list(&map, "teams", "team", Self::read_team);
        let services = self.read_list(&map, "services", "service", Self::read_service);
        let objectives = self.read_objectives(&map);
        Some(BundleConfig {
            version: BundleVersion(version?),
            teams: teams?,
            services: services?,
            objectives: objectives?,
        })
    }

    /// Reads a required list with at least one element; returns `None` if any element is invalid.
    fn read_list<T>(
        &mut self,
        map: &MapReader<'_>,
        name: &'static str,
        what: &'static str,
        read: fn(&mut Self, &Located<&YamlNode>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let node = map.required(name, &mut self.faults)?;
        let elements = node.non_empty_list(what, &mut self.faults)?;
        // Read every element before collecting, so that the faults of all of them are reported.
        let values: Vec<Option<T>> = elements.iter().map(|node| read(self, node)).collect();
        values.into_iter().collect()
    }

    fn read_team(&mut self, node: &Located<&YamlNode>) -> Option<TeamConfig> {
        let known = [
            "id",
            "salt",
            "iterations",
            "keys",
            "rate",
            "burst",
            "weight",
        ];
        let map = node.read_map(&known, &mut self.faults)?;
        let faults = &mut self.faults;
        let id = map
            .required("id", faults)
            .and_then(|node| node.id::<TeamId>(faults));
        if let Some(id) = &id {
            record_unique(&mut self.teams, "team", id.as_text(), faults);
        }
        let salt = map.optional("salt").map(|node| {
            let (low, high) = SALT_BYTES_RANGE;
            node.bytes("12 to 64 bytes", |n| n >= low && n <= high, faults)
        });
        let iterations = map.optional("iterations").map(|node| {
            let (low, high) = ITERATION_RANGE;
            node.integer(low, high, "iterations", faults)
        });
        let keys = read_keys(&map, faults);
        if has_keys(&map) && salt.is_none() {
            let (name, pair) = ("keys", "salt");
            faults.push(
                map.position(),
                map.path(),
                ConfigFault::MissingPair { name, pair },
            );
        }
        let rate = map
            .required("rate", faults)
            .and_then(|node| node.positive(faults));
        let burst = map
            .required("burst", faults)
            .and_then(|node| read_burst(&node, faults));
        let weight = map.optional("weight").map(|node| node.positive(faults));
        Some(TeamConfig {
            id: id?.value,
            salt: salt.map_or(Some(String::new()), |salt| Some(salt?.value.to_owned()))?,
            iterations: iterations
                .map_or(Some(DEFAULT_ITERATIONS), |count| u32::try_from(count?).ok())?,
            keys: keys?,
            rate: RequestRate(rate?),
            burst: RequestBurst(burst?),
            weight: TeamWeight(weight.unwrap_or(Some(1.0))?),
        })
    }

    fn read_service(&mut self, node: &Located<&YamlNode>) -> Option<ServiceConfig> {
        let known = [
            "id",
            "endpoints",
            "teams",
            "open_as",
            "staleness_limit_ms",
            "once_only",
        ];
        let map = node.read_map(&known, &mut self.faults)?;
        let id = map
            .required("id", &mut self.faults)
            .and_then(|node| node.id(&mut self.faults));
        if let Some(id) = &id {
            record_unique(
                &mut self.services,
                "service",
                id.as_text(),
                &mut self.faults,
            );
        }
        let endpoints = self.read_list(&map, "endpoints", "endpoint", Self::read_endpoint);
        let teams = self.read_service_teams(&map);
        let open_as = map
            .nullable("open_as")
            .map(|node| self.read_team_reference(&node));
        let faults = &mut self.faults;
        let staleness = map
            .nullable("staleness_limit_ms")
            .map(|node| node.integer(1, MAX_STALENESS_MS, "ms", faults));
        let once_only = map
            .optional("once_only")
            .map_or(Some(Vec::new()), |node| read_prefixes(&node, faults));
        Some(ServiceConfig {
            id: id?.value,
            endpoints: endpoints?,
            teams: teams?,
            open_as: open_as.map_or(Some(None), |team| team.map(Some))?,
            staleness_limit_ms: staleness
                .map_or(Some(None), |limit| Some(Some(StalenessLimit(limit?))))?,
            once_only: once_only?,
        })
    }

    fn read_service_teams(&mut self, map: &MapReader<'_>) -> Option<Vec<TeamId>> {
        let Some(node) = map.optional("teams") else {
            return Some(Vec::new());
        };
        let mut first_lines = FirstLines::new();
        let mut teams = Vec::new();
        let mut complete = true;
        for element in node.list(&mut self.faults)? {
            match self.read_team_reference(&element) {
                Some(team) => {
                    let located = element.clone().map(|_| team.as_str());
                    record_unique(&mut first_lines, "team", located, &mut self.faults);
                    teams.push(team);
                }
                None => complete = false,
            }
        }
        complete.then_some(teams)
    }

    fn read_team_reference(&mut self, node: &Located<&YamlNode>) -> Option<TeamId> {
        let team = node.id::<TeamId>(&mut self.faults)?;
        if !self.teams.contains_key(team.value.as_str()) {
            let (what, name) = ("team", team.value.to_string());
            node.reject(
                ConfigFault::UnknownReference { what, name },
                &mut self.faults,
            );
        }
        Some(team.value)
    }

    fn read_endpoint(&mut self, node: &Located<&YamlNode>) -> Option<EndpointConfig> {
        let known = ["id", "address", "zone", "slots", "connections", "leaving"];
        let map = node.read_map(&known, &mut self.faults)?;
        let faults = &mut self.faults;
        let id = map.required("id", faults).and_then(|node| node.id(faults));
        if let Some(id) = &id {
            record_unique(&mut self.endpoints, "endpoint", id.as_text(), faults);
        }
        let address = map
            .required("address", faults)
            .and_then(|node| read_endpoint_address(&node, faults));
        if let Some(address) = &address {
            let text = address.value.to_string();
            let located = address.clone().map(|_| text.as_str());
            record_unique(&mut self.addresses, "address", located, faults);
        }
        let zone = map
            .required("zone", faults)
            .and_then(|node| node.id(faults));
        let slots = map
            .required("slots", faults)
            .and_then(|node| node.integer(1, MAX_COUNT, "slots", faults));
        // Each slot uses one connection, so slots beyond the connection limit could never be used.
        let connections = map
            .required("connections", faults)
            .and_then(|node| node.integer(slots.unwrap_or(1), MAX_COUNT, "connections", faults));
        let leaving = map.optional("leaving").map(|node| node.boolean(faults));
        Some(EndpointConfig {
            id: id?.value,
            address: address?.value,
            zone: zone?.value,
            slots: SlotCount(u32::try_from(slots?).ok()?),
            connections: ConnectionCount(u32::try_from(connections?).ok()?),
            leaving: leaving.unwrap_or(Some(false))?,
        })
    }

    fn read_objectives(&mut self, map: &MapReader<'_>) -> Option<Vec<ObjectiveConfig>> {
        let Some(node) = map.optional("objectives") else {
            return Some(Vec::new());
        };
        let mut first_lines = FirstLines::new();
        let elements = node.list(&mut self.faults)?;
        let values: Vec<Option<ObjectiveConfig>> = elements
            .iter()
            .map(|element| self.read_objective(element, &mut first_lines))
            .collect();
        values.into_iter().collect()
    }

    fn read_objective(
        &mut self,
        node: &Located<&YamlNode>,
        first_lines: &mut FirstLines,
    ) -> Option<ObjectiveConfig> {
        let map = node.read_map(&["service", "target", "window_hours"], &mut self.faults)?;
        let faults = &mut self.faults;
        let service = map
            .required("service", faults)
            .and_then(|node| node.id::<ServiceId>(faults));
        if let Some(service) = &service
            && !self.services.contains_key(service.value.as_str())
        {
            let (what, name) = ("service", service.value.to_string());
            service.reject(ConfigFault::UnknownReference { what, name }, faults);
        }
        let target = map
            .required("target", faults)
            .and_then(|node| read_target(&node, faults));
        let hours = map
            .required("window_hours", faults)
            .and_then(|node| node.integer(1, MAX_WINDOW_HOURS, "hours", faults));
        if let (Some(service), Some(hours)) = (&service, hours) {
            let name = format!("{} over {hours} hours", service.value);
            let located = service.clone().map(|_| name.as_str());
            record_unique(first_lines, "objective", located, faults);
        }
        Some(ObjectiveConfig {
            service: service?.value,
            target: target?,
            window_hours: u32::try_from(hours?).ok()?,
        })
    }
}

fn read_keys(map: &MapReader<'_>, faults: &mut FaultList) -> Option<Vec<KeyConfig>> {
    let Some(node) = map.optional("keys") else {
        return Some(Vec::new());
    };
    let (mut ids, mut verifiers) = (FirstLines::new(), FirstLines::new());
    let elements = node.list(faults)?;
    let values: Vec<Option<KeyConfig>> = elements
        .iter()
        .map(|element| read_key(element, &mut ids, &mut verifiers, faults))
        .collect();
    values.into_iter().collect()
}

fn has_keys(map: &MapReader<'_>) -> bool {
    let is_filled = |value: &YamlValue| matches!(value, YamlValue::List(list) if !list.is_empty());
    map.optional("keys")
        .is_some_and(|node| is_filled(&node.value.value))
}

fn read_key(
    node: &Located<&YamlNode>,
    ids: &mut FirstLines,
    verifiers: &mut FirstLines,
    faults: &mut FaultList,
) -> Option<KeyConfig> {
    let map = node.read_map(&["id", "stored_key", "server_key"], faults)?;
    let id = map
        .required("id", faults)
        .and_then(|node| node.id::<KeyId>(faults));
    if let Some(id) = &id {
        record_unique(ids, "key", id.as_text(), faults);
    }
    let stored = map
        .required("stored_key", faults)
        .and_then(|node| node.bytes("32 bytes", |n| n == 32, faults));
    if let (Some(stored), Some(id)) = (&stored, &id) {
        // A key listed under two names would remain valid after one of them is withdrawn.
        let line = stored.position.line;
        if let Some(first_line) = verifiers.insert(stored.value.to_owned(), line) {
            let (what, name) = ("verifier of key", id.value.to_string());
            stored.reject(
                ConfigFault::Duplicate {
                    what,
                    name,
                    first_line,
                },
                faults,
            );
        }
    }
    let server = map
        .required("server_key", faults)
        .and_then(|node| node.bytes("32 bytes", |n| n == 32, faults));
    Some(KeyConfig {
        id: id?.value,
        stored_key: stored?.value.to_owned(),
        server_key: server?.value.to_owned(),
    })
}

fn read_burst(node: &Located<&YamlNode>, faults: &mut FaultList) -> Option<f64> {
    let value = node.positive(faults)?;
    // A bucket that cannot hold one whole token admits no request.
    if value < 1.0 {
        let (low, unit) = (1.0, "requests");
        node.reject(ConfigFault::BelowMinimum { value, low, unit }, faults);
        return None;
    }
    Some(value)
}

fn read_target(node: &Located<&YamlNode>, faults: &mut FaultList) -> Option<f64> {
    let value = node.number(faults)?;
    // A target of 1 leaves no error budget, so its burn rate would be undefined.
    if !(value > 0.0 && value < 1.0) {
        let (low, high, unit) = (0.0, 1.0, "(both excluded)");
        node.reject(
            ConfigFault::OutOfRange {
                value,
                low,
                high,
                unit,
            },
            faults,
        );
        return None;
    }
    Some(value)
}

fn read_endpoint_address(
    node: &Located<&YamlNode>,
    faults: &mut FaultList,
) -> Option<Located<SocketAddr>> {
    let address = node.address(faults)?;
    if address.value.ip().is_unspecified() || address.value.ip().is_multicast() {
        let text = address.value.to_string();
        node.reject(ConfigFault::BadAddress { text }, faults);
        return None;
    }
    Some(address)
}

fn read_prefixes(node: &Located<&YamlNode>, faults: &mut FaultList) -> Option<Vec<String>> {
    let elements = node.list(faults)?;
    let values: Vec<Option<String>> = elements
        .iter()
        .map(|element| Some(element.non_blank_text(faults)?.value.to_owned()))
        .collect();
    values.into_iter().collect()
}

/// Records the line of a name, or reports a duplicate if the name already occurred.
fn record_unique(
    names: &mut FirstLines,
    what: &'static str,
    name: Located<&str>,
    faults: &mut FaultList,
) {
    match names.get(name.value) {
        Some(&first_line) => {
            let duplicate = name.value.to_owned();
            name.reject(
                ConfigFault::Duplicate {
                    what,
                    name: duplicate,
                    first_line,
                },
                faults,
            );
        }
        None => {
            names.insert(name.value.to_owned(), name.position.line);
        }
    }
}
