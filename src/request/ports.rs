//! The boundary between a caller's connection and the rest of the process.
//!
//! A connection calls the process only through [`RequestPorts`], so that tests can replace the
//! daemon's closures with their own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use session_core::answer_check::AnswerFault;

use crate::request::log_point::LogPoint;
use crate::request::refusal::RequestRefusal;
use crate::version::bundle::BundleConfig;
use crate::version::ids::EndpointId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;
use crate::version::units::ConnectionCount;

/// How a transaction uses the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestClass {
    /// May write, so it needs the primary.
    Write,
    /// Only reads, and must see everything up to the floor of its session.
    Read,
    /// Only reads, and accepts data no older than the staleness limit of its service.
    StaleRead,
}

/// A request to be admitted and routed.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// The team whose rate the request is charged to.
    pub team: TeamId,
    /// The service that the request uses.
    pub service: ServiceId,
    /// How the request uses the service.
    pub class: RequestClass,
    /// The floor of its session.
    pub floor: LogPoint,
    /// Maximum time to wait for a slot.
    pub wait: Duration,
    /// Endpoints on which earlier attempts of this request failed.
    pub excluded: Vec<EndpointId>,
    /// Whether the team's rate was already charged, as on a retry.
    pub charged: bool,
}

/// The right to run one transaction on one endpoint; released on drop.
pub struct SlotPermit {
    /// The endpoint to run on.
    pub endpoint: EndpointId,
    /// The endpoint's address for the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Whether the endpoint is the primary as far as this instance knows.
    pub primary: bool,
    /// The latest point that the endpoint is known to hold.
    pub known_point: LogPoint,
    /// Returns whether the endpoint may no longer serve the request, for example because another
    /// endpoint was promoted.
    ///
    /// Called a few times a second while the request waits for the endpoint. Once it returns true,
    /// the connection is closed and the outcome is reported as unknown. `None` means never.
    pub superseded: Option<Box<dyn Fn() -> bool + Send>>,
    /// Called once when the permit is released.
    pub on_release: Option<Box<dyn FnOnce() + Send>>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(release) = self.on_release.take() {
            release();
        }
    }
}

/// The outcome of a request, for metrics and the burn report.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The team of the caller.
    pub team: TeamId,
    /// The service that the request used.
    pub service: ServiceId,
    /// How the request used the service.
    pub class: RequestClass,
    /// Whether a replica served it.
    pub replica: bool,
    /// Time from arrival to the permit.
    pub wait: Duration,
    /// Time from arrival to the outcome.
    pub total: Duration,
    /// Why the request was not served; `None` if the endpoint's answer was sent to the caller.
    pub refusal: Option<RequestRefusal>,
}

type AdmitPort = Box<
    dyn Fn(AdmissionRequest) -> BoxFuture<'static, Result<SlotPermit, RequestRefusal>>
        + Send
        + Sync,
>;
type ConfirmPort = Box<
    dyn Fn(ServiceId, EndpointId, LogPoint) -> BoxFuture<'static, Result<(), RequestRefusal>>
        + Send
        + Sync,
>;
type FloorPort =
    Box<dyn Fn(ServiceId) -> BoxFuture<'static, Result<LogPoint, RequestRefusal>> + Send + Sync>;
type LimitPort = Box<dyn Fn(&ServiceId, &EndpointId) -> ConnectionCount + Send + Sync>;

/// The functions of the process that a caller's connection uses.
pub struct RequestPorts {
    /// Returns the bundle in force.
    pub bundle: Box<dyn Fn() -> Arc<BundleConfig> + Send + Sync>,
    /// Charges the rate, waits for a slot and chooses the endpoint.
    pub admit: AdmitPort,
    /// Waits until a majority of the group holds a point that the given primary reported.
    pub confirm: ConfirmPort,
    /// Returns a floor for a session that starts without one.
    pub floor: FloorPort,
    /// Returns the maximum number of connections that this instance may open to an endpoint.
    pub connection_limit: LimitPort,
    /// Records the outcome of a request.
    pub record: Box<dyn Fn(RequestRecord) + Send + Sync>,
    /// Counts an answer of an endpoint that did not belong to the awaited statement.
    pub unexpected_answer: Box<dyn Fn(AnswerFault) + Send + Sync>,
    /// Returns whether the process is stopping.
    pub draining: Box<dyn Fn() -> bool + Send + Sync>,
}
