//! Runs the requests of a session and retries them if that is safe.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Instant;

use session_core::memory_account::MemoryPart;

use crate::connection::answer_reporter::report_unexpected;
use crate::connection::caller_session::CallerSession;
use crate::connection::caller_stream::CallerFault;
use crate::connection::endpoint_lease::EndpointLease;
use crate::connection::endpoint_link::LinkError;
use crate::connection::exchange::Exchange;
use crate::connection::exchange::ExchangeFault;
use crate::connection::exchange::ExchangeOutcome;
use crate::connection::request_batch::BatchPlan;
use crate::connection::request_batch::RequestBatch;
use crate::connection::session_admission::LeaseOutcome;
use crate::connection::session_admission::RequestAttempt;
use crate::connection::wire_reply::CallerError;
use crate::connection::withdrawal_monitor::WithdrawalMonitor;
use crate::request::ports::RequestClass;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;

const MAX_ATTEMPTS: usize = 4;

/// How one attempt to run a request ended.
pub(super) enum AttemptOutcome {
    /// The request was answered.
    Finished,
    /// The endpoint refused to write; the request had no effect and may be retried.
    ReadOnly(EndpointId),
    /// The connection failed and the request may be retried.
    Broken {
        /// The endpoint to avoid; `None` if it sent a copy of an earlier answer, which only this
        /// connection has.
        excluded: Option<EndpointId>,
        /// Whether any of the request was sent.
        started: bool,
    },
}

impl CallerSession {
    /// Classifies a request, then answers it locally or runs it on an endpoint.
    pub(super) async fn serve_request(&mut self, batch: RequestBatch) -> Result<(), CallerFault> {
        let arrived = Instant::now();
        let bundle = (self.state.ports.bundle)();
        // The identity was checked against the view's bundle when the request was read.
        let newer = !Arc::ptr_eq(&bundle, &self.view.borrow().bundle);
        if newer && let Err(refusal) = self.identity.check(&bundle) {
            return Err(self.send_fatal(&refusal.into()));
        }
        self.rules.update(&bundle, &self.identity.service);
        let plan = batch.plan(&self.prepared, &self.rules.once_only)?;
        if let Some(what) = plan.unsupported {
            let error = CallerError::not_supported(what);
            return self.answer_error(&error, batch.complete).await;
        }
        if plan.local {
            self.answer_local(&batch, &plan).await?;
            return self.check_prepared_size();
        }
        self.run_attempts(&batch, &plan, arrived).await?;
        self.check_prepared_size()
    }

    fn check_prepared_size(&self) -> Result<(), CallerFault> {
        let sizes = self.prepared.iter();
        let size: usize = sizes.map(|(name, found)| name.len() + found.size()).sum();
        self.caller.memory().set(MemoryPart::State, size);
        if size > self.state.config.limits.max_prepared_bytes {
            let error = CallerError::new("54000", "the session keeps too many prepared statements");
            return Err(self.send_fatal(&error));
        }
        Ok(())
    }

    fn request_class(&self, plan: &BatchPlan) -> RequestClass {
        let pinned = self.lease.as_ref().is_some_and(|lease| lease.pinned);
        if !plan.read || pinned {
            RequestClass::Write
        } else if self.stale && self.rules.allows_stale && !self.wrote {
            RequestClass::StaleRead
        } else {
            RequestClass::Read
        }
    }

    async fn run_attempts(
        &mut self,
        batch: &RequestBatch,
        plan: &BatchPlan,
        arrived: Instant,
    ) -> Result<(), CallerFault> {
        let mut attempt = RequestAttempt {
            class: self.request_class(plan),
            excluded: Vec::new(),
            // Only requests that execute something are charged to the rate.
            charged: !plan.executes,
            arrived,
            queued: arrived,
            started: false,
        };
        for count in 1..=MAX_ATTEMPTS {
            let lease = match self.lease.take() {
                Some(lease) if lease.in_transaction() => lease,
                pinned => match self.obtain_lease(pinned, &mut attempt).await? {
                    LeaseOutcome::Lease(lease) => lease,
                    LeaseOutcome::Unreachable(endpoint) => {
                        attempt.charged = true;
                        attempt.excluded.push(endpoint);
                        continue;
                    }
                    LeaseOutcome::Discarded => {
                        attempt.charged = true;
                        continue;
                    }
                    LeaseOutcome::Refused(refusal) => {
                        return self.refuse(refusal, &attempt, batch.complete).await;
                    }
                    LeaseOutcome::Invalid(error) => {
                        return self.answer_error(&error, batch.complete).await;
                    }
                },
            };
            attempt.charged = true;
            // The key may have been withdrawn while the request waited for a slot.
            if let Err(refusal) = self.identity.check(&(self.state.ports.bundle)()) {
                return Err(self.send_fatal(&refusal.into()));
            }
            let may_retry = !lease.in_transaction()
                && !lease.pinned
                && !plan.pins
                && !plan.once_only
                && batch.complete
                && count < MAX_ATTEMPTS;
            match self.run_attempt(batch, plan, lease, may_retry).await? {
                AttemptOutcome::Finished => return Ok(()),
                AttemptOutcome::ReadOnly(endpoint) => {
                    if attempt.class == RequestClass::Write {
                        attempt.excluded.push(endpoint);
                    }
                    attempt.class = RequestClass::Write;
                }
                AttemptOutcome::Broken { excluded, started } => {
                    attempt.excluded.extend(excluded);
                    attempt.queued = Instant::now();
                    attempt.started |= started;
                }
            }
        }
        let refusal = RequestRefusal::NoEndpoint;
        self.refuse(refusal, &attempt, batch.complete).await
    }

    async fn run_attempt(
        &mut self,
        batch: &RequestBatch,
        plan: &BatchPlan,
        mut lease: Box<EndpointLease>,
        may_retry: bool,
    ) -> Result<AttemptOutcome, CallerFault> {
        lease.pinned |= plan.pins;
        self.cancel.set_target(Some(lease.link.cancel.clone()));
        let sent_bytes = lease.link.sent_bytes;
        let monitor = WithdrawalMonitor {
            identity: self.identity.clone(),
            view: self.view.clone(),
            grace: self.state.config.limits.withdrawal_grace,
            checked: RefCell::new(self.view.borrow().bundle.clone()),
            withdrawn_since: Cell::new(None),
        };
        let withdrawn = || monitor.is_grace_over();
        let limits = &self.state.config.limits;
        let mut exchange = Exchange::new(
            &self.caller,
            &mut lease,
            &mut self.prepared,
            plan,
            limits,
            &withdrawn,
        );
        let result = exchange.run(batch).await;
        if may_retry
            && matches!(
                result,
                Ok(ExchangeOutcome::ReadOnly) | Err(ExchangeFault::Link(_))
            )
        {
            exchange.restore_names();
        }
        let (held, answer_started, complete) =
            (exchange.held, exchange.answer_started, exchange.complete);
        self.cancel.set_target(None);
        if let Err(ExchangeFault::Link(error)) = &result {
            report_unexpected(&self.state.ports, &lease.endpoint, lease.link.number, error);
        }
        match result {
            Ok(ExchangeOutcome::Open) => {
                lease.in_progress = true;
                let status = lease.status;
                self.lease = Some(lease);
                self.send_ready(status)?;
                Ok(AttemptOutcome::Finished)
            }
            Ok(ExchangeOutcome::ReadOnly) if may_retry => {
                let endpoint = lease.endpoint.clone();
                if !self.cancel.take_forwarded() {
                    lease.link.give_back();
                }
                Ok(AttemptOutcome::ReadOnly(endpoint))
            }
            Ok(ExchangeOutcome::ReadOnly) => self.finish(lease, held, None, true).await,
            Ok(ExchangeOutcome::Ended { status, failed }) => {
                self.finish(lease, held, status, failed).await
            }
            Err(fault) => {
                let started = lease.link.sent_bytes != sent_bytes || lease.in_progress;
                let repeatable = !started || (plan.pure && !answer_started);
                if may_retry
                    && repeatable
                    && let ExchangeFault::Link(error) = &fault
                {
                    let is_copy = matches!(error, LinkError::Unexpected { .. });
                    return Ok(AttemptOutcome::Broken {
                        excluded: (!is_copy).then(|| lease.endpoint.clone()),
                        started,
                    });
                }
                self.fail(*lease, fault, complete).await?;
                Ok(AttemptOutcome::Finished)
            }
        }
    }
}
