//! Runs the requests of a session, and repeats them where that is safe.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Instant;

use crate::connection::caller_session::CallerSession;
use crate::connection::caller_stream::CallerFault;
use crate::connection::endpoint_lease::EndpointLease;
use crate::connection::exchange::Exchange;
use crate::connection::exchange::ExchangeFault;
use crate::connection::exchange::ExchangeOutcome;
use crate::connection::request_batch::BatchPlan;
use crate::connection::request_batch::RequestBatch;
use crate::connection::session_admission::Obtained;
use crate::connection::session_admission::RequestAttempt;
use crate::connection::wire_reply::CallerError;
use crate::connection::withdrawal_watcher::WithdrawalWatcher;
use crate::request::ports::RequestClass;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;

const ATTEMPT_LIMIT: usize = 4;

pub(super) enum AttemptOutcome {
    Finished,
    /// The endpoint refused to write; the request had no effect.
    ReadOnly(EndpointId),
    /// The connection broke and the request may be repeated.
    Broken(EndpointId),
}

impl CallerSession {
    pub(super) async fn serve_request(&mut self, batch: RequestBatch) -> Result<(), CallerFault> {
        let arrived = Instant::now();
        let bundle = (self.state.ports.bundle)();
        // The bundle of the view was checked when the request was read.
        let newer = !Arc::ptr_eq(&bundle, &self.view.borrow().bundle);
        if newer && let Err(refusal) = self.identity.check(&bundle) {
            return Err(self.tell_end(&refusal.into()));
        }
        self.rules.update(&bundle, &self.identity.service);
        let plan = batch.plan(&self.prepared, &self.rules.once_only)?;
        if let Some(what) = plan.unsupported {
            let error = CallerError::not_supported(what);
            return self.answer_error(&error, batch.complete).await;
        }
        if plan.local {
            return self.answer_local(&batch, &plan).await;
        }
        self.run_attempts(&batch, &plan, arrived).await?;
        self.bound_prepared()
    }

    fn bound_prepared(&self) -> Result<(), CallerFault> {
        let size: usize = self.prepared.values().map(|found| found.size()).sum();
        if size > self.state.config.limits.prepared_bytes {
            let error = CallerError::new("54000", "the session keeps too many prepared statements");
            return Err(self.tell_end(&error));
        }
        Ok(())
    }

    fn class_of(&self, plan: &BatchPlan) -> RequestClass {
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
            class: self.class_of(plan),
            excluded: Vec::new(),
            // Preparing runs nothing, so only what is executed counts against the rate.
            charged: !plan.executes,
            arrived,
            queued: arrived,
            started: false,
        };
        for count in 1..=ATTEMPT_LIMIT {
            let lease = match self.lease.take() {
                Some(lease) if lease.in_transaction() => lease,
                pinned => match self.obtain(pinned, &mut attempt).await? {
                    Obtained::Lease(lease) => lease,
                    Obtained::Unreachable(endpoint) => {
                        attempt.charged = true;
                        attempt.excluded.push(endpoint);
                        continue;
                    }
                    Obtained::Refused(refusal) => {
                        return self.refuse(refusal, &attempt, batch.complete).await;
                    }
                    Obtained::Invalid(error) => {
                        return self.answer_error(&error, batch.complete).await;
                    }
                },
            };
            attempt.charged = true;
            // The key may have been withdrawn while the request waited for its slot.
            if let Err(refusal) = self.identity.check(&(self.state.ports.bundle)()) {
                return Err(self.tell_end(&refusal.into()));
            }
            let may_retry = !lease.in_transaction()
                && !lease.pinned
                && !plan.pins
                && !plan.once_only
                && batch.complete
                && count < ATTEMPT_LIMIT;
            match self.run_once(batch, plan, lease, may_retry).await? {
                AttemptOutcome::Finished => return Ok(()),
                AttemptOutcome::ReadOnly(endpoint) => {
                    if attempt.class == RequestClass::Write {
                        attempt.excluded.push(endpoint);
                    }
                    attempt.class = RequestClass::Write;
                }
                AttemptOutcome::Broken(endpoint) => {
                    attempt.excluded.push(endpoint);
                    attempt.queued = Instant::now();
                    attempt.started = true;
                }
            }
        }
        let refusal = RequestRefusal::NoEndpoint;
        self.refuse(refusal, &attempt, batch.complete).await
    }

    async fn run_once(
        &mut self,
        batch: &RequestBatch,
        plan: &BatchPlan,
        mut lease: Box<EndpointLease>,
        may_retry: bool,
    ) -> Result<AttemptOutcome, CallerFault> {
        lease.pinned |= plan.pins;
        self.cancel.point_to(Some(lease.link.cancel.clone()));
        let sent = lease.link.sent;
        let watcher = WithdrawalWatcher {
            identity: self.identity.clone(),
            view: self.view.clone(),
            grace: self.state.config.limits.withdrawn_time,
            checked: RefCell::new(self.view.borrow().bundle.clone()),
            seen: Cell::new(None),
        };
        let withdrawn = || watcher.is_over();
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
        let (held, begun, complete) = (exchange.held, exchange.begun, exchange.complete);
        self.cancel.point_to(None);
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
                if !self.cancel.take_sent() {
                    lease.link.give_back();
                }
                Ok(AttemptOutcome::ReadOnly(endpoint))
            }
            Ok(ExchangeOutcome::ReadOnly) => self.finish(lease, held, None, true).await,
            Ok(ExchangeOutcome::Ended { status, failed }) => {
                self.finish(lease, held, status, failed).await
            }
            Err(fault) => {
                let started = lease.link.sent != sent || lease.in_progress;
                let repeatable = !started || (plan.pure && !begun);
                if may_retry && repeatable && matches!(fault, ExchangeFault::Link(_)) {
                    return Ok(AttemptOutcome::Broken(lease.endpoint.clone()));
                }
                self.fail(*lease, fault, complete).await?;
                Ok(AttemptOutcome::Finished)
            }
        }
    }
}
