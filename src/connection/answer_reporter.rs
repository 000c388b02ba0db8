//! Reports answers of endpoints that do not belong to the awaited statement.

use crate::connection::endpoint_link::LinkError;
use crate::request::ports::RequestPorts;
use crate::version::ids::EndpointId;

/// Counts and logs an unexpected answer on a connection; ignores other errors.
pub fn report_unexpected(
    ports: &RequestPorts,
    endpoint: &EndpointId,
    connection: u64,
    error: &LinkError,
) {
    if let LinkError::Unexpected { fault } = error {
        (ports.unexpected_answer)(*fault);
        tracing::warn!("pool: connection {connection} to endpoint {endpoint}: {error}");
    }
}
