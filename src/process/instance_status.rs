//! The status that an instance reports to operators.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::process::endpoint_status::EndpointRole;
use crate::process::wall_time::WallTime;
use crate::request::log_point::LogPoint;
use crate::version::ids::BundleVersion;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::ids::ZoneId;

/// An instance's view of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EndpointSummary {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The role that it last reported.
    pub role: Option<EndpointRole>,
    /// The log point that it last reported.
    pub point: Option<LogPoint>,
    /// Whether it answers.
    pub live: bool,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// Number of connections from this instance to it.
    pub connections: u32,
}

/// An instance's view of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSummary {
    /// The service.
    pub service: ServiceId,
    /// The endpoint that is primary, if known.
    pub primary: Option<EndpointId>,
    /// The instance that coordinates its slots, if known.
    pub coordinator: Option<InstanceId>,
    /// The endpoints.
    pub endpoints: Vec<EndpointSummary>,
}

/// The status of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The version of its program.
    pub program_version: String,
    /// The time of the report.
    pub time: WallTime,
    /// Time since it started, in milliseconds.
    pub uptime_ms: u64,
    /// The version of the bundle in force; 0 if there is none.
    pub bundle: BundleVersion,
    /// Time since the last answer of the store, in milliseconds; `None` if there was none.
    pub store_silence_ms: Option<u64>,
    /// Number of peers that answer.
    pub live_peers: u32,
    /// Number of known peers.
    pub known_peers: u32,
    /// Whether it refuses requests because it is isolated.
    pub isolated: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Number of open connections of callers.
    pub caller_connections: u64,
    /// Number of open transactions.
    pub open_transactions: u64,
    /// The services.
    pub services: Vec<ServiceSummary>,
}

/// Why an instance should receive no new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnreadyReason {
    /// No bundle is in force.
    NoBundle,
    /// It reaches neither the store nor enough peers.
    Isolated,
    /// It is stopping.
    Draining,
}

impl InstanceStatus {
    /// Returns why the instance should receive no new callers; empty if it is ready.
    ///
    /// A service without a primary is not a reason, because no other instance could serve it.
    pub fn unready_reasons(&self) -> Vec<UnreadyReason> {
        let reasons = [
            (self.bundle == BundleVersion(0), UnreadyReason::NoBundle),
            (self.isolated, UnreadyReason::Isolated),
            (self.draining, UnreadyReason::Draining),
        ];
        let applicable = |(applies, reason)| if applies { Some(reason) } else { None };
        reasons.into_iter().filter_map(applicable).collect()
    }
}

impl fmt::Display for UnreadyReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnreadyReason::NoBundle => "no bundle",
            UnreadyReason::Isolated => "isolated",
            UnreadyReason::Draining => "draining",
        })
    }
}

impl fmt::Display for InstanceStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reasons: Vec<String> = self
            .unready_reasons()
            .iter()
            .map(ToString::to_string)
            .collect();
        let state = if reasons.is_empty() {
            "ready".to_owned()
        } else {
            reasons.join(", ")
        };
        let silence = self
            .store_silence_ms
            .map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
        writeln!(
            f,
            "{} ({}): {state}; bundle {}, store heard {silence}, peers {}/{}, callers {}, \
             transactions {}",
            self.instance,
            self.zone,
            self.bundle,
            self.live_peers,
            self.known_peers,
            self.caller_connections,
            self.open_transactions
        )?;
        for service in &self.services {
            write_service(f, service)?;
        }
        Ok(())
    }
}

fn write_service(f: &mut fmt::Formatter<'_>, service: &ServiceSummary) -> fmt::Result {
    let primary = service.primary.as_ref().map_or("none", EndpointId::as_str);
    let coordinator = service
        .coordinator
        .as_ref()
        .map_or("none", InstanceId::as_str);
    writeln!(
        f,
        "  {}: primary {primary}, slot coordinator {coordinator}",
        service.service
    )?;
    for endpoint in &service.endpoints {
        let role = match endpoint.role {
            Some(EndpointRole::Primary) => "primary",
            Some(EndpointRole::Replica) => "replica",
            None => "unknown",
        };
        let point = endpoint
            .point
            .map_or("?".to_owned(), |point| point.to_string());
        let live = if endpoint.live { "live" } else { "dead" };
        let leaving = if endpoint.leaving { ", leaving" } else { "" };
        writeln!(
            f,
            "    {}: {role} at {point}, {live}{leaving}, {} connections",
            endpoint.endpoint, endpoint.connections
        )?;
    }
    Ok(())
}
