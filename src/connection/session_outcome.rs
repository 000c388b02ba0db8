//! Confirms transactions that ended and reports their outcome to callers.

use bytes::BytesMut;

use crate::connection::caller_session::CallerSession;
use crate::connection::caller_stream::CallerFault;
use crate::connection::cancel_registry;
use crate::connection::endpoint_lease::EndpointLease;
use crate::connection::endpoint_lease::SettingChange;
use crate::connection::exchange;
use crate::connection::exchange::ExchangeFault;
use crate::connection::session_admission::RequestAttempt;
use crate::connection::session_request::AttemptOutcome;
use crate::connection::wire_reply::CallerError;
use crate::connection::wire_reply::ErrorScope;
use crate::process::endpoint_status::EndpointStatus;
use crate::request::log_point::LogPoint;
use crate::request::ports::RequestClass;
use crate::request::ports::RequestRecord;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;

impl CallerSession {
    /// Confirms a transaction that ended on its endpoint and sends the held answer, or an error if
    /// the outcome is unknown, to the caller.
    pub(super) async fn finish(
        &mut self,
        mut lease: Box<EndpointLease>,
        mut held: BytesMut,
        status: Option<EndpointStatus>,
        failed: bool,
    ) -> Result<AttemptOutcome, CallerFault> {
        let needs_confirmation = lease.primary || lease.class == RequestClass::Write;
        let proof = status.filter(|status| exchange::proves_primary(status, &lease));
        let unproven = needs_confirmation && !failed && proof.is_none();
        if !failed && !unproven {
            self.apply_changes(&mut lease);
        }
        lease.changes.clear();
        let (class, endpoint) = (lease.class, lease.endpoint.clone());
        let mut record = self.make_record(&lease, None);
        let pinned = lease.pinned;
        lease.permit = None;
        if unproven {
            drop(lease);
        } else if pinned {
            lease.in_progress = false;
            self.lease = Some(lease);
        } else if !self.cancel.take_forwarded() {
            lease.link.give_back();
        }
        let mut confirmed = !unproven;
        if let Some(proof) = proof.filter(|_| needs_confirmation && !failed) {
            confirmed = self.confirm(endpoint, proof.point).await;
            if confirmed {
                self.floor = Some(
                    self.floor
                        .map_or(proof.point, |floor| floor.max(proof.point)),
                );
                self.wrote |= class == RequestClass::Write;
            }
        }
        if !confirmed {
            record.refusal = Some(RequestRefusal::OutcomeUnknown);
            held.clear();
            let error = CallerError::from(RequestRefusal::OutcomeUnknown);
            if unproven && pinned {
                (self.state.ports.record)(record);
                return Err(self.send_fatal(&error));
            }
            error.encode(ErrorScope::Request, &mut held);
        }
        record.total = record.total.max(record.wait);
        (self.state.ports.record)(record);
        self.caller.write_all(&mut held)?;
        self.send_ready(b'I')?;
        Ok(AttemptOutcome::Finished)
    }

    async fn confirm(&self, endpoint: EndpointId, point: LogPoint) -> bool {
        let service = self.identity.service.clone();
        let confirming = (self.state.ports.confirm)(service, endpoint, point);
        let limit = self.state.config.limits.confirm_timeout;
        matches!(tokio::time::timeout(limit, confirming).await, Ok(Ok(())))
    }

    fn apply_changes(&mut self, lease: &mut EndpointLease) {
        for change in lease.changes.drain(..) {
            for settings in [&mut self.settings, &mut lease.link.settings] {
                match &change {
                    SettingChange::Set { setting, text } => {
                        settings.insert(setting.clone(), text.clone());
                    }
                    SettingChange::Reset {
                        setting: Some(setting),
                    } => {
                        settings.remove(setting);
                    }
                    SettingChange::Reset { setting: None } => settings.clear(),
                    SettingChange::Savepoint { .. } => {}
                }
            }
        }
    }

    /// Closes the endpoint connection, cancels what it runs, and reports to the caller that the
    /// request has no complete answer.
    pub(super) async fn fail(
        &mut self,
        lease: EndpointLease,
        fault: ExchangeFault,
        complete: bool,
    ) -> Result<(), CallerFault> {
        let unknown = RequestRefusal::OutcomeUnknown;
        self.record(&lease, Some(unknown));
        let target = lease.link.cancel.clone();
        let pinned = lease.pinned;
        let endpoint = lease.endpoint.clone();
        drop(lease);
        let limit = self.state.config.limits.connect_timeout;
        tokio::spawn(async move { cancel_registry::send_cancel(&target, limit).await });
        let mut error = CallerError::from(unknown);
        match fault {
            ExchangeFault::Caller(fault) => return Err(fault),
            ExchangeFault::Refused(refused) => error = refused,
            ExchangeFault::Withdrawn => {
                error.message = "the key was withdrawn while the request ran".to_owned();
                return Err(self.send_fatal(&error));
            }
            ExchangeFault::Deadline => {
                tracing::debug!(
                    "caller: request on {endpoint} exceeded the transaction time limit"
                );
            }
            ExchangeFault::Link(fault) => {
                tracing::debug!("caller: request on {endpoint} has no answer: {fault}");
            }
        }
        if pinned {
            return Err(self.send_fatal(&error));
        }
        self.answer_error(&error, complete).await
    }

    /// Records the outcome of a request on a lease.
    pub(super) fn record(&self, lease: &EndpointLease, refusal: Option<RequestRefusal>) {
        (self.state.ports.record)(self.make_record(lease, refusal));
    }

    fn make_record(&self, lease: &EndpointLease, refusal: Option<RequestRefusal>) -> RequestRecord {
        RequestRecord {
            team: self.identity.team.clone(),
            service: self.identity.service.clone(),
            class: lease.class,
            replica: !lease.primary,
            wait: lease.admitted.saturating_duration_since(lease.arrived),
            total: lease.arrived.elapsed(),
            refusal,
        }
    }

    /// Records and reports the refusal of a request; as an unknown outcome if an attempt may have
    /// run.
    pub(super) async fn refuse(
        &mut self,
        refusal: RequestRefusal,
        attempt: &RequestAttempt,
        complete: bool,
    ) -> Result<(), CallerFault> {
        let refusal = if attempt.started {
            RequestRefusal::OutcomeUnknown
        } else {
            refusal
        };
        (self.state.ports.record)(RequestRecord {
            team: self.identity.team.clone(),
            service: self.identity.service.clone(),
            class: attempt.class,
            replica: false,
            wait: attempt.arrived.elapsed(),
            total: attempt.arrived.elapsed(),
            refusal: Some(refusal),
        });
        self.answer_error(&refusal.into(), complete).await
    }
}
