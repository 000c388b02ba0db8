//! Chooses the endpoint of a request from the view, the loads and the floors.

use std::rc::Rc;
use std::time::Duration;

use session_core::caller_statement::AccessMode;
use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_pace::PacedCandidate;
use session_core::floor_history::FloorSample;
use session_core::ids::EndpointId;
use session_core::ids::TeamId;
use session_core::log_point::LogPoint;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::pace_sample::EndpointTag;
use session_core::primary_permit::PermitRefusal;
use session_core::serving_rules::DatabaseRoute;
use session_core::serving_rules::ReadPolicy;

use crate::cold_endpoints;
use crate::fleet_view::FleetView;
use crate::instance::Instance;
use crate::instance_limits::DRAIN_FRACTION;
use crate::instance_limits::FLOOR_MARGIN;
use crate::position_probe;

/// Requirements of a request for its endpoint.
#[derive(Debug)]
pub struct RouteQuery<'a> {
    /// Route of its session.
    pub route: &'a DatabaseRoute,
    /// Team of its session.
    pub team: Option<&'a TeamId>,
    /// Whether it or its transaction may write.
    pub mode: AccessMode,
    /// Position of the session's newest commit.
    pub floor: Option<LogPoint>,
    /// When it or its transaction arrived.
    pub arrived: MonotonicTime,
    /// Endpoints on which the request has already failed.
    pub excluded: &'a [EndpointId],
}

/// The endpoint chosen for a request.
#[derive(Debug, Clone)]
pub struct ChosenEndpoint {
    /// Registry entry of the endpoint.
    pub entry: EndpointEntry,
    /// Floor that a replica must have reached; `None` for the primary.
    pub floor: Option<LogPoint>,
    /// Age of the floor when the request arrived.
    pub floor_age: Option<Duration>,
    /// Whether a read may wait there until the floor is reached, so that its time says nothing
    /// about the endpoint's pace.
    pub may_wait: bool,
    /// Whether it is the primary.
    pub primary: bool,
}

/// An endpoint that may run a read now.
struct ReadCandidate<'a> {
    entry: &'a EndpointEntry,
    is_primary: bool,
    is_cold: bool,
    may_wait: bool,
    cost_ms: f64,
}

/// Reasons why no endpoint can serve a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteRefusal {
    /// The primary may not be used.
    Primary(PermitRefusal),
    /// The primary is not in the registry, or the request has already failed on every candidate.
    NoEndpoint,
    /// Only cold endpoints can serve the request, and this instance may send nothing to them now.
    Cold,
    /// The primary's drain time is nearly over and it has not been replaced.
    Leaving,
    /// The primary's availability zone is evacuated and it has not been replaced in time.
    Evacuated,
}

impl RouteRefusal {
    /// Returns the reason as written to the log.
    pub fn reason(self) -> &'static str {
        match self {
            RouteRefusal::Primary(refusal) => refusal.reason(),
            RouteRefusal::NoEndpoint => "no_endpoint",
            RouteRefusal::Cold => "endpoint_cold",
            RouteRefusal::Leaving => "primary_is_leaving",
            RouteRefusal::Evacuated => "zone_evacuated",
        }
    }

    /// Returns whether the request cannot be served for as long as it may wait: a primary that cannot
    /// be replaced in the whole time of an evacuation cannot be replaced a moment later.
    pub fn is_final(self) -> bool {
        self == RouteRefusal::Evacuated
    }
}

/// Returns the endpoint with the least cost on which a request may run.
///
/// # Errors
///
/// Returns the reason why there is none now.
pub fn choose_endpoint(
    instance: &Rc<Instance>,
    query: &RouteQuery<'_>,
) -> Result<ChosenEndpoint, RouteRefusal> {
    let at = now();
    let view = instance.view.borrow();
    let leaving_time = instance.settings.drain_time.mul_f64(DRAIN_FRACTION);
    let primary = match view.usable_primary(&query.route.service, at) {
        Ok(id) if view.is_drain_overdue(&id, leaving_time, at) => Err(RouteRefusal::Leaving),
        Ok(id) if instance.is_evacuation_overdue(&id) => Err(RouteRefusal::Evacuated),
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
            Some(entry) if cold_endpoints::may_send(instance, &view, entry) => {
                Ok(primary_choice(entry))
            }
            Some(_) => Err(RouteRefusal::Cold),
            None => Err(RouteRefusal::NoEndpoint),
        };
    };
    let floor = read_floor(instance, query, limit);
    let paced = instance.paces.is_current(at);
    let mut candidates = Vec::new();
    let mut any_cold = false;
    for entry in view.group(&query.route.service) {
        let is_primary = primary.as_ref() == Ok(&entry.id);
        let leaves = entry.draining || instance.is_evacuated(entry);
        let is_cold = cold_endpoints::is_bounded(instance, &view, entry);
        any_cold |= is_cold;
        let may_send = !is_cold || cold_endpoints::may_send(instance, &view, entry);
        if query.excluded.contains(&entry.id) || (leaves && !is_primary) || !may_send {
            continue;
        }
        let same_zone = entry.zone == instance.settings.zone;
        let connected = instance.is_connected(entry, query.team);
        let (failing, has_reached, may_wait, cost_ms) =
            instance.pool.with_load(&entry.id, |load| {
                (
                    load.is_failing(at),
                    floor.is_some_and(|floor| load.has_reached(&floor, at)),
                    !floor.is_some_and(|floor| load.has_passed(&floor, at)),
                    match paced {
                        true => load.paced_cost_ms(same_zone, connected, at),
                        false => load.cost_ms(same_zone, connected, at),
                    },
                )
            });
        if !is_primary && !has_reached && !failing {
            position_probe::probe_replica(instance, entry);
        }
        if failing || (!is_primary && !has_reached) {
            continue;
        }
        candidates.push(ReadCandidate {
            entry,
            is_primary,
            is_cold,
            may_wait,
            cost_ms,
        });
    }
    // A cold endpoint is slower than all others.
    if candidates.iter().any(|candidate| !candidate.is_cold) {
        candidates.retain(|candidate| !candidate.is_cold);
    }
    let only_cold = any_cold && !has_warm(instance, &view, query, &primary);
    let best = match paced {
        true => drawn_candidate(instance, &candidates),
        false => cheapest_candidate(&candidates),
    };
    match (best, primary) {
        (Some(best), _) if best.is_primary => Ok(primary_choice(best.entry)),
        (Some(best), _) => Ok(ChosenEndpoint {
            entry: best.entry.clone(),
            floor: floor.map(|floor| floor.point),
            floor_age: floor.map(|f| query.arrived.saturating_since(f.requested_at)),
            may_wait: best.may_wait,
            primary: false,
        }),
        (None, _) if only_cold => Err(RouteRefusal::Cold),
        (None, Err(refusal)) => Err(refusal),
        (None, Ok(_)) => Err(RouteRefusal::NoEndpoint),
    }
}

/// Returns whether the group has an endpoint that is not cold, although it cannot run the request now.
fn has_warm(
    instance: &Instance,
    view: &FleetView,
    query: &RouteQuery<'_>,
    primary: &Result<EndpointId, RouteRefusal>,
) -> bool {
    view.group(&query.route.service).any(|entry| {
        let is_primary = primary.as_ref() == Ok(&entry.id);
        !cold_endpoints::is_bounded(instance, view, entry) && (!entry.draining || is_primary)
    })
}

/// Returns the first candidate of the least cost.
fn cheapest_candidate<'a>(candidates: &'a [ReadCandidate<'a>]) -> Option<&'a ReadCandidate<'a>> {
    candidates
        .iter()
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}

/// Returns the candidate that is drawn by the zone's picture of the endpoints.
fn drawn_candidate<'a>(
    instance: &Instance,
    candidates: &'a [ReadCandidate<'a>],
) -> Option<&'a ReadCandidate<'a>> {
    let paced: Vec<PacedCandidate> = candidates
        .iter()
        .map(|candidate| PacedCandidate {
            endpoint: EndpointTag::of(candidate.entry),
            cost_ms: candidate.cost_ms,
        })
        .collect();
    let index = instance.paces.choose(&paced)?;
    candidates.get(index)
}

fn primary_choice(entry: &EndpointEntry) -> ChosenEndpoint {
    ChosenEndpoint {
        entry: entry.clone(),
        floor: None,
        floor_age: None,
        may_wait: false,
        primary: true,
    }
}

/// Returns the oldest floor at which a read on a replica is within the staleness limit and sees the
/// session's own writes, if the route requires that.
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
