//! Chooses the endpoint that serves a request.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::request::log_point::LogPoint;
use crate::request::ports::RequestClass;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;
use crate::version::ids::ZoneId;

/// The known state of an endpoint when a request is routed.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteCandidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The availability zone of the endpoint.
    pub zone: ZoneId,
    /// Whether it is the primary of the highest known term and accepts writes.
    pub primary: bool,
    /// The last point it reported.
    pub point: LogPoint,
    /// An upper bound on the age of its data, if known.
    pub staleness: Option<Duration>,
    /// The fraction of its slots in use; 0 or more.
    pub load: f64,
    /// Whether it answered recently and is not leaving.
    pub available: bool,
}

/// A request to be routed.
#[derive(Debug, Clone)]
pub struct RouteQuery<'a> {
    /// How the request uses the service.
    pub class: RequestClass,
    /// The floor of its session.
    pub floor: LogPoint,
    /// Maximum age of the data, for stale reads.
    pub staleness_limit: Option<Duration>,
    /// The zone of this instance.
    pub zone: &'a ZoneId,
    /// Endpoints on which earlier attempts of the request failed.
    pub excluded: &'a [EndpointId],
    /// Seed of the random choice between replicas.
    pub seed: u64,
}

/// Returns the index of the endpoint to use.
///
/// Reads prefer replicas to the primary, replicas of the same zone to others, and of two random
/// replicas the less loaded one. A primary of the floor's term or a later term holds every
/// confirmed point, so its last reported position is not compared.
///
/// Fails with [`RequestRefusal::NoPrimary`] for writes and [`RequestRefusal::NoEndpoint`] for
/// reads.
pub fn choose_endpoint(
    candidates: &[RouteCandidate],
    query: &RouteQuery<'_>,
) -> Result<usize, RequestRefusal> {
    if query.class != RequestClass::Write {
        let eligible = eligible_replicas(candidates, query);
        if let Some(index) = pick_replica(candidates, &eligible, query) {
            return Ok(index);
        }
    }
    candidates
        .iter()
        .position(|candidate| {
            candidate.primary
                && candidate.point.term >= query.floor.term
                && !query.excluded.contains(&candidate.endpoint)
        })
        .ok_or(match query.class {
            RequestClass::Write => RequestRefusal::NoPrimary,
            RequestClass::Read | RequestClass::StaleRead => RequestRefusal::NoEndpoint,
        })
}

fn eligible_replicas(candidates: &[RouteCandidate], query: &RouteQuery<'_>) -> Vec<usize> {
    let allowed = |candidate: &RouteCandidate| match query.class {
        RequestClass::Write => false,
        RequestClass::Read => candidate.point >= query.floor,
        // A stale read must still see the writes of its own session.
        RequestClass::StaleRead => {
            let fresh_enough = query
                .staleness_limit
                .zip(candidate.staleness)
                .is_some_and(|(limit, staleness)| staleness <= limit);
            candidate.point >= query.floor && fresh_enough
        }
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| {
            !candidate.primary
                && candidate.available
                && !query.excluded.contains(&candidate.endpoint)
                && allowed(candidate)
        })
        .map(|(index, _)| index)
        .collect()
}

fn pick_replica(
    candidates: &[RouteCandidate],
    eligible: &[usize],
    query: &RouteQuery<'_>,
) -> Option<usize> {
    let local: Vec<usize> = eligible
        .iter()
        .copied()
        .filter(|&index| candidates[index].zone == *query.zone)
        .collect();
    let pool = if local.is_empty() { eligible } else { &local };
    if pool.len() <= 1 {
        return pool.first().copied();
    }
    let mut rng = ChaCha8Rng::seed_from_u64(query.seed);
    let first = rng.random_range(0..pool.len());
    let second = (first + rng.random_range(1..pool.len())) % pool.len();
    let (first, second) = (pool[first], pool[second]);
    let lighter = candidates[second].load < candidates[first].load;
    Some(if lighter { second } else { first })
}
