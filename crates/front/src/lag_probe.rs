//! Asks a replica for its log position without running a statement on it.

use std::rc::Rc;
use std::time::Duration;

use platform::endpoint_codec::EndpointCommand;
use session_core::endpoint_entry::EndpointEntry;
use session_core::monotonic_time::now;
use session_core::session_values::ConnectionValues;
use session_core::session_values::ReplayStep;

use crate::instance::Instance;

/// The longest time to the answer; a reset takes no slot and is answered at once.
const PROBE_TIME: Duration = Duration::from_millis(300);

/// Asks a replica that lagged behind, where that was not done a moment ago.
///
/// Every answer of an endpoint ends with its position, and a reset is answered without a slot.
pub fn probe_replica(instance: &Rc<Instance>, entry: &EndpointEntry) {
    let wanted = instance
        .pool
        .with_load(&entry.id, |load| load.wants_probe(now()));
    if !wanted {
        return;
    }
    let limit = instance.connection_limit(&entry.service);
    let Some(mut connection) = instance.pool.obtain_idle(&entry.id, limit) else {
        return;
    };
    let instance = Rc::clone(instance);
    tokio::task::spawn_local(async move {
        let reset = EndpointCommand::Replay(ReplayStep::Reset);
        match connection.run(reset, PROBE_TIME).await {
            Ok(answer) => {
                connection.values = ConnectionValues::default();
                instance.note_position(&connection.endpoint, &answer);
            }
            Err(fault) => {
                tracing::debug!(event = "lag_probe_failed", endpoint = %connection.endpoint, ?fault);
            }
        }
    });
}
