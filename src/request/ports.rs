//! The boundary between a caller's connection and the rest of the process.
//!
//! A connection calls the process only through [`RequestPorts`], so that tests can put closures
//! of their own in place of the daemon's.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

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
    /// It may write, so it needs the primary.
    Write,
    /// It only reads and must see all up to the floor of its session.
    Read,
    /// It only reads and accepts data up to the staleness limit of its service.
    StaleRead,
}

/// A request that asks to be admitted and routed.
#[derive(Debug, Clone)]
pub struct AdmitQuery {
    /// The team the request counts for.
    pub team: TeamId,
    /// The service it is for.
    pub service: ServiceId,
    /// How it uses the service.
    pub class: RequestClass,
    /// The floor of its session.
    pub floor: LogPoint,
    /// How long the caller waits for a slot.
    pub wait: Duration,
    /// Endpoints that this request already tried in vain.
    pub excluded: Vec<EndpointId>,
    /// Whether the team's rate was already charged, as for a retry.
    pub charged: bool,
}

/// The right to run one transaction on one endpoint; it ends when it is dropped.
pub struct SlotPermit {
    /// The endpoint to run on.
    pub endpoint: EndpointId,
    /// Where the endpoint speaks the PostgreSQL protocol.
    pub address: SocketAddr,
    /// Whether the endpoint is believed to be the primary.
    pub primary: bool,
    /// The point the endpoint is known to hold.
    pub known_point: LogPoint,
    /// Whether the endpoint may no longer serve the request, as after a promotion elsewhere.
    ///
    /// It is asked a few times a second while the request waits for the endpoint; once it returns
    /// true the connection is closed and the outcome counts as unknown. `None` means never.
    pub superseded: Option<Box<dyn Fn() -> bool + Send>>,
    /// Called once when the permit ends.
    pub on_release: Option<Box<dyn FnOnce() + Send>>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(release) = self.on_release.take() {
            release();
        }
    }
}

/// What became of a request, for counters and the report.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The team it counted for.
    pub team: TeamId,
    /// The service it was for.
    pub service: ServiceId,
    /// How it used the service.
    pub class: RequestClass,
    /// Whether a replica served it.
    pub replica: bool,
    /// Time from arrival to the permit.
    pub wait: Duration,
    /// Time from arrival to the end.
    pub total: Duration,
    /// How it ended: `None` where the endpoint's answer was passed on.
    pub refusal: Option<RequestRefusal>,
}

type AdmitPort =
    Box<dyn Fn(AdmitQuery) -> BoxFuture<'static, Result<SlotPermit, RequestRefusal>> + Send + Sync>;
type ConfirmPort = Box<
    dyn Fn(ServiceId, EndpointId, LogPoint) -> BoxFuture<'static, Result<(), RequestRefusal>>
        + Send
        + Sync,
>;
type FloorPort =
    Box<dyn Fn(ServiceId) -> BoxFuture<'static, Result<LogPoint, RequestRefusal>> + Send + Sync>;
type LimitPort = Box<dyn Fn(&ServiceId, &EndpointId) -> ConnectionCount + Send + Sync>;

/// What a caller's connection needs of the process.
pub struct RequestPorts {
    /// Returns the bundle in force.
    pub bundle: Box<dyn Fn() -> Arc<BundleConfig> + Send + Sync>,
    /// Charges the rate, waits for a slot and chooses the endpoint.
    pub admit: AdmitPort,
    /// Waits until a majority of the group holds a point that the named primary reported.
    pub confirm: ConfirmPort,
    /// Returns a floor for a session that starts without one.
    pub floor: FloorPort,
    /// Returns how many connections this instance may hold to an endpoint.
    pub connection_limit: LimitPort,
    /// Takes the record of a request that ended.
    pub record: Box<dyn Fn(RequestRecord) + Send + Sync>,
    /// Whether the process is stopping.
    pub draining: Box<dyn Fn() -> bool + Send + Sync>,
}
