//! Chooses the endpoint of a request from what the instance knows.

use std::rc::Rc;
use std::time::Duration;

use session_core::caller_statement::AccessMode;
use session_core::endpoint_entry::EndpointEntry;
use session_core::floor_history::FloorSample;
use session_core::ids::EndpointId;
use session_core::ids::TeamId;
use session_core::log_point::LogPoint;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::primary_permit::PermitRefusal;
use session_core::serving_rules::DatabaseRoute;
use session_core::serving_rules::ReadPolicy;

use crate::instance::Instance;
use crate::instance_limits::DRAIN_FRACTION;
use crate::instance_limits::FLOOR_MARGIN;
use crate::position_probe;

/// What a request needs of its endpoint.
#[derive(Debug)]
pub struct RouteQuery<'a> {
    /// The route of its session.
    pub route: &'a DatabaseRoute,
    /// For whom it runs.
    pub team: Option<&'a TeamId>,
    /// Whether it or its transaction may write.
    pub mode: AccessMode,
    /// The newest commit of its session.
    pub floor: Option<LogPoint>,
    /// When it or its transaction arrived.
    pub arrived: MonotonicTime,
    /// Endpoints that were tried in vain.
    pub excluded: &'a [EndpointId],
}

/// Where a request runs.
#[derive(Debug, Clone)]
pub struct ChosenEndpoint {
    /// The endpoint.
    pub entry: EndpointEntry,
    /// The floor that it must hold; none at a primary that this instance may use.
    pub floor: Option<LogPoint>,
    /// The age of the floor when the request arrived.
    pub floor_age: Option<Duration>,
    /// Whether it is the primary.
    pub primary: bool,
}

/// Why a request has no endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRefusal {
    /// The primary may not be used.
    Primary(PermitRefusal),
    /// The registry does not know the primary, or it was tried in vain.
    NoEndpoint,
    /// The primary is about to leave, and nobody has taken its place in time.
    Leaving,
}

impl RouteRefusal {
    /// Returns the reason for log lines.
    pub fn reason(self) -> &'static str {
        match self {
            RouteRefusal::Primary(refusal) => refusal.reason(),
            RouteRefusal::NoEndpoint => "no_endpoint",
            RouteRefusal::Leaving => "primary_is_leaving",
        }
    }
}

/// Returns the endpoint that a request runs on.
///
/// # Errors
///
/// Says why there is none now.
pub fn choose_endpoint(
    instance: &Rc<Instance>,
    query: &RouteQuery<'_>,
) -> Result<ChosenEndpoint, RouteRefusal> {
    let at = now();
    let view = instance.view.borrow();
    let leaving_time = instance.settings.drain_time.mul_f64(DRAIN_FRACTION);
    let primary = match view.usable_primary(&query.route.service, at) {
        Ok(id) if view.must_be_left(&id, leaving_time, at) => Err(RouteRefusal::Leaving),
        usable => usable.map_err(RouteRefusal::Primary),
    };
    let limit = match (query.mode, query.route.policy) {
        (AccessMode::Write, _) | (_, ReadPolicy::Primary) => None,
        (AccessMode::Read, ReadPolicy::Bounded(limit) | ReadPolicy::OwnWrites(limit)) => {
            Some(limit)
        }
    };
    let Some(limit) = limit else {
        let id = primary?;
        return match view.endpoints.get(&id) {
            Some(entry) => Ok(at_primary(entry)),
            None => Err(RouteRefusal::NoEndpoint),
        };
    };
    let floor = read_floor(instance, query, limit);
    let mut best: Option<(f64, ChosenEndpoint)> = None;
    for entry in view.group(&query.route.service) {
        let is_primary = primary.as_ref() == Ok(&entry.id);
        if query.excluded.contains(&entry.id) || (entry.draining && !is_primary) {
            continue;
        }
        let same_zone = entry.zone == instance.settings.zone;
        let connected = instance.pool.has_idle(&entry.id, query.team);
        let (failing, holds, cost) = instance.pool.with_load(&entry.id, |load| {
            (
                load.is_failing(at),
                floor.is_some_and(|floor| load.holds(&floor, at)),
                load.cost_ms(same_zone, connected, at),
            )
        });
        if !is_primary && !holds && !failing {
            position_probe::probe_replica(instance, entry);
        }
        if failing || (!is_primary && !holds) {
            continue;
        }
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let chosen = if is_primary {
                at_primary(entry)
            } else {
                ChosenEndpoint {
                    entry: entry.clone(),
                    floor: floor.map(|floor| floor.point),
                    floor_age: floor.map(|f| query.arrived.saturating_since(f.requested_at)),
                    primary: false,
                }
            };
            best = Some((cost, chosen));
        }
    }
    match (best, primary) {
        (Some((_, chosen)), _) => Ok(chosen),
        (None, Err(refusal)) => Err(refusal),
        (None, Ok(_)) => Err(RouteRefusal::NoEndpoint),
    }
}

fn at_primary(entry: &EndpointEntry) -> ChosenEndpoint {
    ChosenEndpoint {
        entry: entry.clone(),
        floor: None,
        floor_age: None,
        primary: true,
    }
}

/// Returns the oldest floor with which a read at a replica is fresh enough.
fn read_floor(instance: &Instance, query: &RouteQuery<'_>, limit: Duration) -> Option<FloorSample> {
    let floors = instance.floors.borrow();
    let history = floors.get(&query.route.service)?;
    let since = query.arrived - limit.saturating_sub(FLOOR_MARGIN);
    let sample = history.floor_since(since)?;
    let own = match query.route.policy {
        ReadPolicy::OwnWrites(_) => query.floor,
        ReadPolicy::Primary | ReadPolicy::Bounded(_) => None,
    };
    match own {
        Some(point) if point > sample.point => Some(FloorSample {
            requested_at: history.reached_at(point).unwrap_or(query.arrived),
            point,
        }),
        _ => Some(sample),
    }
}
