//! Chooses the instances that keep the connections to an endpoint for all other instances, and
//! divides the connections that the endpoint accepts.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::ids::EndpointId;
use crate::ids::InstanceId;
use crate::instance_rank;
use crate::instance_rank::RankedInstance;
use crate::units::ConnectionCount;

/// Maximum number of instances that are tried as the host of an endpoint.
pub const MAX_CANDIDATES: usize = 3;

/// One of this many members of a zone is eligible, the largest ones first. A host forwards the
/// statements of every instance, which the smallest instances have no processor time for. A fixed
/// share spreads the endpoints of a zone over several instances at any size of the zone.
const ELIGIBLE_DIVISOR: usize = 3;

/// Divisor of the accepted connections for the first host of an endpoint. The other half is free
/// for the next process after a loss of power, while the endpoint still counts the closed ones.
const FIRST_DIVISOR: u32 = 2;

/// Divisor of the accepted connections for any other host, which serves while the endpoint may
/// still count those of the first one.
const NEXT_DIVISOR: u32 = 4;

/// Fraction of the accepted connections that all instances together open without a host.
pub const DIRECT_FRACTION: f64 = 0.25;

/// Returns the hosts of an endpoint among the members of its zone, first choice first, at most
/// [`MAX_CANDIDATES`].
pub fn connection_hosts<'a>(
    endpoint: &EndpointId,
    members: impl Iterator<Item = RankedInstance<'a>>,
) -> Vec<&'a InstanceId> {
    let mut eligible = instance_rank::ranked_order(&"connection_host", members);
    let count = eligible.len().div_ceil(ELIGIBLE_DIVISOR);
    eligible.truncate(count.max(MAX_CANDIDATES));
    let mut hosts: Vec<_> = eligible.into_iter().map(|member| member.name).collect();
    hosts.sort_unstable_by_key(|name| (rendezvous_hash(endpoint, name), *name));
    hosts.truncate(MAX_CANDIDATES);
    hosts
}

fn rendezvous_hash(endpoint: &EndpointId, name: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (endpoint, name).hash(&mut hasher);
    hasher.finish()
}

/// Number of connections that a team may use at a host for each one that is free.
const USES_PER_FREE: usize = 2;

/// Returns whether a team that uses `used` connections of a host may use another one while `free`
/// are not in use. A team alone gets two thirds of them, and with more teams that hold all they may,
/// some are still free for another team.
pub fn may_use_another(used: usize, free: usize) -> bool {
    used < USES_PER_FREE * free
}

/// Returns the number of connections that a host of this rank may keep open to an endpoint; rank 0
/// is the first choice.
pub fn host_connections(accepted: ConnectionCount, rank: usize) -> usize {
    let divisor = match rank {
        0 => FIRST_DIVISOR,
        _ => NEXT_DIVISOR,
    };
    (accepted.0 / divisor).max(1) as usize
}
