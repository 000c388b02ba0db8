//! Obtains a permit and an endpoint connection for a request.

use std::time::Duration;
use std::time::Instant;

use crate::connection::answer_reporter::report_unexpected;
use crate::connection::caller_session::CallerSession;
use crate::connection::caller_stream::CallerFault;
use crate::connection::endpoint_lease::EndpointLease;
use crate::connection::endpoint_link::LinkError;
use crate::connection::endpoint_pool::PoolError;
use crate::connection::endpoint_pool::PooledLink;
use crate::connection::wire_reply::CallerError;
use crate::process::endpoint_status::EndpointRole;
use crate::request::log_point::LogPoint;
use crate::request::ports::AdmissionRequest;
use crate::request::ports::RequestClass;
use crate::request::ports::SlotPermit;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;

/// The state of one request across its attempts.
pub(super) struct RequestAttempt {
    pub(super) class: RequestClass,
    pub(super) excluded: Vec<EndpointId>,
    pub(super) charged: bool,
    pub(super) arrived: Instant,
    /// When it last started to wait for a slot.
    pub(super) queued: Instant,
    /// Whether an earlier attempt may have run, so that a refusal must not report "not run".
    pub(super) started: bool,
}

/// The outcome of obtaining an endpoint connection.
pub(super) enum LeaseOutcome {
    Lease(Box<EndpointLease>),
    /// The endpoint cannot run the request, which did not start on it.
    Unreachable(EndpointId),
    /// The connection had a copy of an earlier answer; the request did not start.
    Discarded,
    Refused(RequestRefusal),
    Invalid(CallerError),
}

impl CallerSession {
    /// Obtains a permit, and an endpoint connection with the session's settings.
    pub(super) async fn obtain_lease(
        &mut self,
        pinned: Option<Box<EndpointLease>>,
        attempt: &mut RequestAttempt,
    ) -> Result<LeaseOutcome, CallerFault> {
        let permit = match self.admit(attempt).await {
            Ok(permit) => permit,
            Err(refusal) => {
                self.lease = pinned;
                return Ok(LeaseOutcome::Refused(refusal));
            }
        };
        if let Some(mut lease) = pinned {
            if lease.endpoint != permit.endpoint {
                let message = "the endpoint that holds the state of the session was superseded";
                return Err(self.send_fatal(&CallerError::new("57P03", message)));
            }
            lease.open(permit, attempt.class, attempt.arrived);
            return Ok(LeaseOutcome::Lease(lease));
        }
        let endpoint = permit.endpoint.clone();
        let service = &self.identity.service;
        let limit = (self.state.ports.connection_limit)(service, &endpoint).0;
        let wait = self.state.config.limits.queue_timeout;
        let wait = wait.saturating_sub(attempt.queued.elapsed());
        let key = (service.clone(), endpoint.clone(), permit.address);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let acquired = self
            .state
            .pool
            .acquire(key, &self.settings, limit, wait)
            .await;
        let mut link = match acquired {
            Ok(link) => link,
            Err(PoolError::Exhausted) => {
                return Ok(LeaseOutcome::Refused(RequestRefusal::QueueDeadline));
            }
            Err(PoolError::Link(error)) => {
                tracing::debug!("pool: cannot connect to endpoint {endpoint}: {error}");
                return Ok(LeaseOutcome::Unreachable(endpoint));
            }
        };
        match self.prepare_link(&mut link, &permit, attempt.class).await {
            Ok(true) => {}
            Ok(false) => {
                link.give_back();
                return Ok(LeaseOutcome::Unreachable(endpoint));
            }
            Err(LinkError::Refused { sqlstate }) => {
                tracing::debug!(
                    "pool: endpoint {endpoint} refused session settings: SQLSTATE {sqlstate}"
                );
                let message = "the endpoint does not accept a setting of the session";
                let mut error = CallerError::new("22023", message);
                error.detail = Some("not run");
                return Ok(LeaseOutcome::Invalid(error));
            }
            Err(error) => {
                report_unexpected(&self.state.ports, &endpoint, link.number, &error);
                if matches!(error, LinkError::Unexpected { .. }) {
                    return Ok(LeaseOutcome::Discarded);
                }
                tracing::debug!(
                    "pool: cannot prepare a connection to endpoint {endpoint}: {error}"
                );
                return Ok(LeaseOutcome::Unreachable(endpoint));
            }
        }
        let mut lease = Box::new(EndpointLease::new(link, endpoint));
        lease.open(permit, attempt.class, attempt.arrived);
        Ok(LeaseOutcome::Lease(lease))
    }

    async fn admit(&mut self, attempt: &RequestAttempt) -> Result<SlotPermit, RequestRefusal> {
        let limit = self.state.config.limits.queue_timeout;
        let wait = limit.saturating_sub(attempt.queued.elapsed());
        if attempt.class == RequestClass::Read {
            self.load_floor(wait).await?;
        }
        let wait = limit.saturating_sub(attempt.queued.elapsed());
        let admitting = (self.state.ports.admit)(AdmissionRequest {
            team: self.identity.team.clone(),
            service: self.identity.service.clone(),
            class: attempt.class,
            floor: self.floor.unwrap_or_default(),
            wait,
            excluded: attempt.excluded.clone(),
            charged: attempt.charged,
        });
        match tokio::time::timeout(wait, admitting).await {
            Ok(permit) => permit,
            Err(_) => Err(RequestRefusal::QueueDeadline),
        }
    }

    /// Returns the floor of the session; queries the group for it if the session has none yet.
    pub(super) async fn load_floor(&mut self, wait: Duration) -> Result<LogPoint, RequestRefusal> {
        if let Some(floor) = self.floor {
            return Ok(floor);
        }
        let loading = (self.state.ports.floor)(self.identity.service.clone());
        let floor = match tokio::time::timeout(wait, loading).await {
            Ok(floor) => floor?,
            Err(_) => return Err(RequestRefusal::NoEndpoint),
        };
        self.floor = Some(floor);
        Ok(floor)
    }

    /// Applies the session's settings and checks the endpoint's role; returns whether the endpoint
    /// may run the request.
    async fn prepare_link(
        &self,
        link: &mut PooledLink,
        permit: &SlotPermit,
        class: RequestClass,
    ) -> Result<bool, LinkError> {
        let limit = self.state.config.limits.connect_timeout;
        if link.settings != self.settings {
            let mut text = String::new();
            if !link.settings.is_empty() {
                text.push_str("RESET ALL;");
            }
            for statement in self.settings.values() {
                text.push_str(statement);
                text.push(';');
            }
            link.run_text(&text, limit).await?;
            link.settings = self.settings.clone();
        }
        let on_primary = permit.primary || class == RequestClass::Write;
        if on_primary && link.term.is_none_or(|term| term < permit.known_point.term) {
            let status = link.read_status(limit).await?;
            return Ok(
                status.role == EndpointRole::Primary && status.fenced_term <= status.point.term
            );
        }
        Ok(true)
    }
}
