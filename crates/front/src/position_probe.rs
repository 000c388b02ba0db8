//! Queries endpoints for their log positions without running a statement on them.
//!
//! Every answer of an endpoint ends with its position, and the beginning of a transaction needs no slot.

use std::rc::Rc;
use std::time::Duration;

use session_core::endpoint_entry::EndpointEntry;
use session_core::floor_history::FloorHistory;
use session_core::ids::ServiceId;
use session_core::monotonic_time::now;
use session_core::relay_tree;
use session_core::session_values::ConnectionValues;

use crate::endpoint_pool::PoolError;
use crate::instance::Instance;
use crate::instance_limits::FLOOR_PERIOD;
use crate::instance_limits::PROBE_TIMEOUT;
use crate::view_follower;
use crate::view_follower::RelayExclusions;

/// Timeout of a replica's answer, which comes at once as the query needs no slot.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(300);

/// Queries the position of a lagging replica on an idle connection, unless it was probed a moment
/// ago.
pub fn probe_replica(instance: &Rc<Instance>, entry: &EndpointEntry) {
    let wanted = instance
        .pool
        .with_load(&entry.id, |load| load.is_probe_due(now()));
    if !wanted {
        return;
    }
    let limit = instance.connection_limit(entry);
    let Some(mut connection) = instance.pool.acquire_idle(&entry.id, limit) else {
        return;
    };
    let instance = Rc::clone(instance);
    tokio::task::spawn_local(async move {
        match connection.query_position(REPLICA_TIMEOUT).await {
            Ok(answer) => {
                instance.record_position(&connection.endpoint, &answer);
            }
            Err(fault) => {
                tracing::debug!(event = "lag_probe_failed", endpoint = %connection.endpoint, ?fault);
            }
        }
    });
}

/// Queries primaries for their positions, for the instances that follow this one.
pub async fn query_primaries(instance: Rc<Instance>) {
    let mut changes = instance.changes.subscribe();
    let mut queried = false;
    loop {
        if serves_followers(&instance) {
            for entry in stale_primaries(&instance) {
                queried = true;
                let instance = Rc::clone(&instance);
                tokio::task::spawn_local(
                    async move { query_for_followers(&instance, &entry).await },
                );
            }
        }
        if queried {
            tokio::time::sleep(FLOOR_PERIOD).await;
        } else if let Ok(Err(_)) = tokio::time::timeout(FLOOR_PERIOD, changes.changed()).await {
            return;
        }
    }
}

fn serves_followers(instance: &Instance) -> bool {
    let is_root = view_follower::relay_address(instance, &RelayExclusions::default()).is_none();
    let synced_at = instance.view.borrow().synced_at;
    let age = synced_at.map(|at| now().saturating_since(at));
    relay_tree::queries_positions(instance.follows_store(), is_root, age)
}

/// Queries the position of a primary. The first one of a service is relayed at once: without it,
/// followers send all reads of the service to its primary.
async fn query_for_followers(instance: &Rc<Instance>, entry: &EndpointEntry) {
    let is_known = || instance.floors.borrow().contains_key(&entry.service);
    let was_known = is_known();
    query_position(instance, entry).await;
    if !was_known && is_known() {
        instance.notify_store_answer();
    }
}

/// Returns the usable primaries whose newest position is older than [`FLOOR_PERIOD`].
fn stale_primaries(instance: &Instance) -> Vec<EndpointEntry> {
    let at = now();
    let view = instance.view.borrow();
    let Some(rules) = &view.rules else {
        return Vec::new();
    };
    let floors = instance.floors.borrow();
    let is_stale = |service: &ServiceId| {
        let newest = floors.get(service).and_then(FloorHistory::newest);
        newest.is_none_or(|sample| at.saturating_since(sample.requested_at) >= FLOOR_PERIOD)
    };
    rules
        .services
        .keys()
        .filter(|service| is_stale(service))
        .filter_map(|service| view.usable_primary(service, at).ok())
        .filter(|id| !instance.is_evacuation_overdue(id))
        .filter_map(|id| view.endpoints.get(&id).cloned())
        .collect()
}

/// Queries an endpoint for its position, on a new connection if no idle one is left, and records
/// the answer or the failure.
pub async fn query_position(instance: &Rc<Instance>, entry: &EndpointEntry) {
    let tried_at = now();
    let limit = instance.connection_limit(entry);
    // The query leaves the values of the connection as they are.
    let preference = |_: &ConnectionValues| 0;
    let acquired = instance
        .pool
        .acquire_connection(entry, None, preference, limit, PROBE_TIMEOUT)
        .await;
    let mut connection = match acquired {
        Ok(connection) => connection,
        Err(PoolError::Connect(error)) => {
            tracing::info!(event = "probe_failed", endpoint = %entry.id, %error);
            instance.record_connect_failure(&entry.id, &error);
            return;
        }
        Err(PoolError::Exhausted) => return,
    };
    match connection.query_position(PROBE_TIMEOUT).await {
        Ok(answer) => instance.record_answer(&entry.id, &answer, false),
        Err(fault) => {
            tracing::info!(event = "probe_failed", endpoint = %entry.id, ?fault);
            instance.with_detector(&entry.id, |detector| {
                detector.record_connect_failure(tried_at)
            });
        }
    }
}
