//! One caller after authentication: its state and the loop over its requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use tokio::sync::watch;

use crate::connection::caller_stream::CallerFault;
use crate::connection::caller_stream::CallerStream;
use crate::connection::cancel_registry;
use crate::connection::cancel_registry::CancelEntry;
use crate::connection::endpoint_lease::EndpointLease;
use crate::connection::endpoint_lease::SettingChange;
use crate::connection::endpoint_link::LinkError;
use crate::connection::endpoint_pool::PoolError;
use crate::connection::endpoint_pool::PooledLink;
use crate::connection::exchange;
use crate::connection::exchange::Exchange;
use crate::connection::exchange::ExchangeEnd;
use crate::connection::exchange::ExchangeFault;
use crate::connection::listener::ListenerState;
use crate::connection::listener::ListenerView;
use crate::connection::local_answer;
use crate::connection::local_answer::LocalEffect;
use crate::connection::prepared_statement::PreparedStatement;
use crate::connection::request_batch::BatchPlan;
use crate::connection::request_batch::PreparedMap;
use crate::connection::request_batch::RequestBatch;
use crate::connection::wire_frame;
use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;
use crate::connection::wire_reply;
use crate::connection::wire_reply::CallerError;
use crate::connection::wire_reply::ErrorReach;
use crate::process::endpoint_status::EndpointRole;
use crate::process::endpoint_status::EndpointStatus;
use crate::request::log_point::LogPoint;
use crate::request::ports::AdmitQuery;
use crate::request::ports::RequestClass;
use crate::request::ports::RequestRecord;
use crate::request::ports::SlotPermit;
use crate::request::refusal::RequestRefusal;
use crate::request::sql_token;
use crate::request::statement::StatementInfo;
use crate::request::statement::StatementKind;
use crate::version::bundle::BundleConfig;
use crate::version::ids::EndpointId;
use crate::version::ids::KeyId;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;

const ATTEMPT_LIMIT: usize = 4;

/// Who a caller is and what it was let in by.
#[derive(Clone)]
pub struct CallerIdentity {
    /// The team its requests count for.
    pub team: TeamId,
    /// The service it uses.
    pub service: ServiceId,
    /// The key that it proved to hold, with its StoredKey; `None` on a service open to all.
    pub key: Option<(KeyId, String)>,
}

impl CallerIdentity {
    /// Whether a bundle still lets the caller in; the error says why not.
    pub fn check(&self, bundle: &BundleConfig) -> Result<(), RequestRefusal> {
        let service = bundle
            .services
            .iter()
            .find(|service| service.id == self.service)
            .ok_or(RequestRefusal::UnknownService)?;
        let Some((id, stored_key)) = &self.key else {
            if service.open_as.as_ref() == Some(&self.team) {
                return Ok(());
            }
            return Err(RequestRefusal::KeyWithdrawn);
        };
        let team = bundle.teams.iter().find(|team| team.id == self.team);
        let keys = team.map_or(&[][..], |team| &team.keys);
        if !keys
            .iter()
            .any(|key| key.id == *id && key.stored_key == *stored_key)
        {
            return Err(RequestRefusal::KeyWithdrawn);
        }
        if !service.teams.contains(&self.team) {
            return Err(RequestRefusal::TeamNotAllowed);
        }
        Ok(())
    }
}

/// One caller after authentication.
pub struct CallerSession {
    state: Arc<ListenerState>,
    caller: CallerStream,
    identity: CallerIdentity,
    floor: Option<LogPoint>,
    wrote: bool,
    stale: bool,
    settings: BTreeMap<String, String>,
    prepared: PreparedMap,
    cancel: CancelEntry,
    view: watch::Receiver<ListenerView>,
    once: OncePrefixes,
    lease: Option<Box<EndpointLease>>,
}

/// The prefixes of statements that run at most once, as one bundle states them.
#[derive(Default)]
struct OncePrefixes {
    bundle: Option<Arc<BundleConfig>>,
    prefixes: Vec<String>,
}

impl OncePrefixes {
    /// Reads the prefixes again where the bundle is another one.
    fn update(&mut self, bundle: &Arc<BundleConfig>, id: &ServiceId) {
        let known = self.bundle.as_ref();
        if known.is_some_and(|known| Arc::ptr_eq(known, bundle)) {
            return;
        }
        let service = bundle.services.iter().find(|service| service.id == *id);
        let prefixes = service.map_or(&[][..], |service| &service.once_only);
        let words = prefixes.iter().map(|prefix| sql_token::plain_words(prefix));
        self.prefixes = words.collect();
        self.bundle = Some(bundle.clone());
    }
}

/// What a session starts with.
pub struct SessionStart {
    /// Who the caller is.
    pub identity: CallerIdentity,
    /// The floor that the caller brought, if any.
    pub floor: Option<LogPoint>,
    /// Settings of the startup message, as statements by name.
    pub settings: BTreeMap<String, String>,
    /// The cancel key of the caller.
    pub cancel: CancelEntry,
}

/// One request while it is tried, at most [`ATTEMPT_LIMIT`] times.
struct RequestAttempt {
    class: RequestClass,
    excluded: Vec<EndpointId>,
    charged: bool,
    arrived: Instant,
}

enum Obtained {
    Lease(Box<EndpointLease>),
    /// The endpoint cannot run the request, which did not start there.
    Unreachable(EndpointId),
    Refused(RequestRefusal),
    Invalid(CallerError),
}

enum AttemptEnd {
    Finished,
    /// The endpoint refused to write; the request had no effect.
    ReadOnly(EndpointId),
    /// The connection broke and the request may be repeated.
    Broken(EndpointId),
}

impl CallerSession {
    /// Creates the session of an authenticated caller.
    pub fn new(state: Arc<ListenerState>, caller: CallerStream, start: SessionStart) -> Self {
        Self {
            view: state.view.subscribe(),
            state,
            caller,
            identity: start.identity,
            wrote: start.floor.is_some(),
            floor: start.floor,
            stale: false,
            settings: start.settings,
            prepared: PreparedMap::new(),
            cancel: start.cancel,
            once: OncePrefixes::default(),
            lease: None,
        }
    }

    /// Serves requests until the caller leaves or the connection must end.
    pub async fn run(mut self) {
        let fault = loop {
            if let Err(fault) = self.serve_next().await {
                break fault;
            }
        };
        self.cancel.point_to(None);
        self.lease = None;
        if let CallerFault::Frame(error) = &fault {
            self.tell_frame_error(error);
        }
        if fault != CallerFault::Gone {
            let closing = self.caller.close();
            let _ = tokio::time::timeout(Duration::from_secs(1), closing).await;
        }
    }

    fn tell_frame_error(&self, error: &FrameError) {
        let sqlstate = match error {
            FrameError::TooLarge { .. } => "54000",
            FrameError::BadLength | FrameError::BadBody => "08P01",
        };
        let _ = self.tell_end(&CallerError::new(sqlstate, error.to_string()));
    }

    fn tell_end(&self, error: &CallerError) -> CallerFault {
        let mut out = BytesMut::new();
        error.encode(ErrorReach::Connection, &mut out);
        let _ = self.caller.write(&out);
        CallerFault::Told
    }

    async fn serve_next(&mut self) -> Result<(), CallerFault> {
        let frame = self.next_frame().await?;
        match frame.kind() {
            b'Q' => {
                let batch = RequestBatch {
                    frames: vec![frame],
                    complete: true,
                };
                Box::pin(self.serve_request(batch)).await
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' => {
                let batch = self.gather(frame).await?;
                Box::pin(self.serve_request(batch)).await
            }
            b'X' => Err(CallerFault::Gone),
            // After a failed copy the caller may still send rows, which belong to nothing.
            b'd' | b'c' | b'f' => Ok(()),
            b'F' => {
                let error = CallerError::not_supported("the function call protocol");
                self.answer_error(&error, true).await
            }
            _ => Err(self.tell_end(&CallerError::new("08P01", "unknown message type"))),
        }
    }

    /// Waits for the next message of the caller, while no request runs.
    async fn next_frame(&mut self) -> Result<WireFrame, CallerFault> {
        loop {
            let deadline = self.check_idle()?;
            let lease = self.lease.as_mut();
            let has_lease = lease.is_some();
            tokio::select! {
                biased;
                frame = self.caller.recv() => return frame,
                changed = self.view.changed() => {
                    if changed.is_err() {
                        return Err(CallerFault::Gone);
                    }
                }
                () = sleep_until(deadline), if deadline.is_some() => {}
                pumped = pump_lease(lease), if has_lease => self.pass_idle(pumped)?,
            }
        }
    }

    /// Ends the connection where it must; else returns when to look again.
    fn check_idle(&mut self) -> Result<Option<Instant>, CallerFault> {
        let view = self.view.borrow_and_update().clone();
        if let Err(refusal) = self.identity.check(&view.bundle) {
            return Err(self.tell_end(&refusal.into()));
        }
        let open = self.lease.as_ref().filter(|lease| lease.in_transaction());
        let Some(lease) = open else {
            return match view.drain_start {
                Some(_) => Err(self.tell_end(&RequestRefusal::Draining.into())),
                None => Ok(None),
            };
        };
        let limits = &self.state.config.limits;
        let transaction_end = lease.arrived + limits.transaction_time;
        let now = Instant::now();
        if now >= transaction_end {
            let refusal = RequestRefusal::TransactionDeadline;
            self.record_lease(Some(refusal));
            return Err(self.tell_end(&refusal.into()));
        }
        let drain_end = view.drain_start.map(|start| start + limits.drain_time);
        if drain_end.is_some_and(|end| now >= end) {
            self.record_lease(Some(RequestRefusal::Draining));
            let message = "the instance is stopping; the transaction was rolled back";
            return Err(self.tell_end(&CallerError::new("57P01", message)));
        }
        Ok(Some(
            drain_end.map_or(transaction_end, |end| end.min(transaction_end)),
        ))
    }

    fn record_lease(&self, refusal: Option<RequestRefusal>) {
        if let Some(lease) = &self.lease {
            self.record(lease, refusal);
        }
    }

    /// Passes on what an endpoint sends by itself to a pinned session or within a transaction.
    fn pass_idle(&mut self, pumped: Result<(), LinkError>) -> Result<(), CallerFault> {
        let Some(lease) = self.lease.as_mut() else {
            return Ok(());
        };
        let mut read = || {
            pumped.clone()?;
            while let Some(frame) = lease.link.next_frame()? {
                if !matches!(frame.kind(), b'N' | b'S' | b'A') {
                    return Err(LinkError::Protocol);
                }
                self.caller
                    .write(frame.bytes())
                    .map_err(|_| LinkError::Protocol)?;
            }
            Ok(())
        };
        if let Err(error) = read() {
            tracing::debug!("caller: endpoint connection of an open session ended: {error}");
            let message = "the endpoint connection of the session was lost";
            return Err(self.tell_end(&CallerError::new("40003", message)));
        }
        Ok(())
    }

    /// Reads on up to Sync, Flush or the bound for a batch.
    async fn gather(&mut self, first: WireFrame) -> Result<RequestBatch, CallerFault> {
        let mut bytes = 0;
        let mut frames = Vec::new();
        let mut frame = first;
        loop {
            let kind = frame.kind();
            bytes += frame.bytes().len();
            frames.push(frame);
            let complete = kind == b'S';
            if complete || kind == b'H' || bytes >= self.state.config.limits.batch_bytes {
                return Ok(RequestBatch { frames, complete });
            }
            frame = self.next_frame().await?;
            if !matches!(
                frame.kind(),
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' | b'd' | b'c' | b'f'
            ) {
                let error = CallerError::new("08P01", "message within an extended request");
                return Err(self.tell_end(&error));
            }
        }
    }

    async fn serve_request(&mut self, batch: RequestBatch) -> Result<(), CallerFault> {
        let arrived = Instant::now();
        let bundle = (self.state.ports.bundle)();
        // The bundle of the view was checked when the request was read.
        let newer = !Arc::ptr_eq(&bundle, &self.view.borrow().bundle);
        if newer && let Err(refusal) = self.identity.check(&bundle) {
            return Err(self.tell_end(&refusal.into()));
        }
        self.once.update(&bundle, &self.identity.service);
        let plan = batch.plan(&self.prepared, &self.once.prefixes)?;
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
        } else if self.stale && !self.wrote {
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
                AttemptEnd::Finished => return Ok(()),
                AttemptEnd::ReadOnly(endpoint) => {
                    if attempt.class == RequestClass::Write {
                        attempt.excluded.push(endpoint);
                    }
                    attempt.class = RequestClass::Write;
                }
                AttemptEnd::Broken(endpoint) => attempt.excluded.push(endpoint),
            }
        }
        let refusal = RequestRefusal::NoEndpoint;
        self.refuse(refusal, &attempt, batch.complete).await
    }

    /// Obtains the right to run and an endpoint connection in the session's state.
    async fn obtain(
        &mut self,
        pinned: Option<Box<EndpointLease>>,
        attempt: &mut RequestAttempt,
    ) -> Result<Obtained, CallerFault> {
        let permit = match self.admit(attempt).await {
            Ok(permit) => permit,
            Err(refusal) => {
                self.lease = pinned;
                return Ok(Obtained::Refused(refusal));
            }
        };
        if let Some(mut lease) = pinned {
            if lease.endpoint != permit.endpoint {
                let message = "the endpoint that holds the state of the session was superseded";
                return Err(self.tell_end(&CallerError::new("57P03", message)));
            }
            lease.open(permit, attempt.class, attempt.arrived);
            return Ok(Obtained::Lease(lease));
        }
        let endpoint = permit.endpoint.clone();
        let service = &self.identity.service;
        let limit = (self.state.ports.connection_limit)(service, &endpoint).0;
        let wait = self.state.config.limits.queue_wait;
        let wait = wait.saturating_sub(attempt.arrived.elapsed());
        let key = (service.clone(), endpoint.clone(), permit.address);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let taken = self.state.pool.take(key, &self.settings, limit, wait).await;
        let mut link = match taken {
            Ok(link) => link,
            Err(PoolError::Exhausted) => {
                return Ok(Obtained::Refused(RequestRefusal::QueueDeadline));
            }
            Err(PoolError::Link(error)) => {
                tracing::debug!("pool: endpoint {endpoint} was not reached: {error}");
                return Ok(Obtained::Unreachable(endpoint));
            }
        };
        match self.prepare_link(&mut link, &permit, attempt.class).await {
            Ok(true) => {}
            Ok(false) => {
                link.give_back();
                return Ok(Obtained::Unreachable(endpoint));
            }
            Err(LinkError::Refused { sqlstate }) => {
                tracing::debug!("pool: endpoint {endpoint} refused session settings: {sqlstate}");
                let message = "the endpoint does not accept a setting of the session";
                let mut error = CallerError::new("22023", message);
                error.detail = Some("not run");
                return Ok(Obtained::Invalid(error));
            }
            Err(error) => {
                tracing::debug!("pool: endpoint {endpoint} was not prepared: {error}");
                return Ok(Obtained::Unreachable(endpoint));
            }
        }
        let mut lease = Box::new(EndpointLease::new(link, endpoint));
        lease.open(permit, attempt.class, attempt.arrived);
        Ok(Obtained::Lease(lease))
    }

    async fn admit(&mut self, attempt: &RequestAttempt) -> Result<SlotPermit, RequestRefusal> {
        let limit = self.state.config.limits.queue_wait;
        let wait = limit.saturating_sub(attempt.arrived.elapsed());
        if attempt.class == RequestClass::Read {
            self.load_floor(wait).await?;
        }
        let wait = limit.saturating_sub(attempt.arrived.elapsed());
        let admitting = (self.state.ports.admit)(AdmitQuery {
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

    async fn load_floor(&mut self, wait: Duration) -> Result<LogPoint, RequestRefusal> {
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

    /// Replays settings and checks the role; returns whether the endpoint may run the request.
    async fn prepare_link(
        &self,
        link: &mut PooledLink,
        permit: &SlotPermit,
        class: RequestClass,
    ) -> Result<bool, LinkError> {
        let limit = self.state.config.limits.connect_time;
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

    async fn run_once(
        &mut self,
        batch: &RequestBatch,
        plan: &BatchPlan,
        mut lease: Box<EndpointLease>,
        may_retry: bool,
    ) -> Result<AttemptEnd, CallerFault> {
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
                Ok(ExchangeEnd::ReadOnly) | Err(ExchangeFault::Link(_))
            )
        {
            exchange.restore_names();
        }
        let (held, begun, complete) = (exchange.held, exchange.begun, exchange.complete);
        self.cancel.point_to(None);
        match result {
            Ok(ExchangeEnd::Open) => {
                lease.in_progress = true;
                let status = lease.status;
                self.lease = Some(lease);
                self.send_ready(status)?;
                Ok(AttemptEnd::Finished)
            }
            Ok(ExchangeEnd::ReadOnly) if may_retry => {
                let endpoint = lease.endpoint.clone();
                lease.link.give_back();
                Ok(AttemptEnd::ReadOnly(endpoint))
            }
            Ok(ExchangeEnd::ReadOnly) => self.finish(lease, held, None, true).await,
            Ok(ExchangeEnd::Ended { status, failed }) => {
                self.finish(lease, held, status, failed).await
            }
            Err(fault) => {
                let started = lease.link.sent != sent || lease.in_progress;
                let repeatable = !started || (plan.pure && !begun);
                if may_retry && repeatable && matches!(fault, ExchangeFault::Link(_)) {
                    return Ok(AttemptEnd::Broken(lease.endpoint.clone()));
                }
                self.fail(*lease, fault, complete).await?;
                Ok(AttemptEnd::Finished)
            }
        }
    }

    /// Confirms a transaction that ended at its endpoint and tells the caller.
    async fn finish(
        &mut self,
        mut lease: Box<EndpointLease>,
        mut held: BytesMut,
        status: Option<EndpointStatus>,
        failed: bool,
    ) -> Result<AttemptEnd, CallerFault> {
        let needs = lease.primary || lease.class == RequestClass::Write;
        let proof = status.filter(|status| exchange::proves_primary(status, &lease));
        let unproven = needs && !failed && proof.is_none();
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
        } else {
            lease.link.give_back();
        }
        let mut confirmed = !unproven;
        if let Some(proof) = proof.filter(|_| needs && !failed) {
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
                return Err(self.tell_end(&error));
            }
            error.encode(ErrorReach::Request, &mut held);
        }
        record.total = record.total.max(record.wait);
        (self.state.ports.record)(record);
        self.caller.write_all(&mut held)?;
        self.send_ready(b'I')?;
        Ok(AttemptEnd::Finished)
    }

    async fn confirm(&self, endpoint: EndpointId, point: LogPoint) -> bool {
        let service = self.identity.service.clone();
        let confirming = (self.state.ports.confirm)(service, endpoint, point);
        let limit = self.state.config.limits.confirm_time;
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

    /// Tells the caller that a request has no complete answer and closes the endpoint connection.
    async fn fail(
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
        let limit = self.state.config.limits.connect_time;
        tokio::spawn(async move { cancel_registry::send_cancel(&target, limit).await });
        let mut error = CallerError::from(unknown);
        match fault {
            ExchangeFault::Caller(fault) => return Err(fault),
            ExchangeFault::Refused(refused) => error = refused,
            ExchangeFault::Withdrawn => {
                error.message = "the key was withdrawn while the request ran".to_owned();
                return Err(self.tell_end(&error));
            }
            ExchangeFault::Deadline => {
                tracing::debug!("caller: request on {endpoint} passed its deadline");
            }
            ExchangeFault::Link(fault) => {
                tracing::debug!("caller: request on {endpoint} has no answer: {fault}");
            }
        }
        if pinned {
            return Err(self.tell_end(&error));
        }
        self.answer_error(&error, complete).await
    }

    fn record(&self, lease: &EndpointLease, refusal: Option<RequestRefusal>) {
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

    async fn refuse(
        &mut self,
        refusal: RequestRefusal,
        attempt: &RequestAttempt,
        complete: bool,
    ) -> Result<(), CallerFault> {
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

    /// Answers a request with an error and skips what is left of it.
    async fn answer_error(
        &mut self,
        error: &CallerError,
        complete: bool,
    ) -> Result<(), CallerFault> {
        let mut out = BytesMut::new();
        error.encode(ErrorReach::Request, &mut out);
        self.caller.write_all(&mut out)?;
        if !complete {
            while self.next_frame().await?.kind() != b'S' {}
        }
        self.send_ready(self.status())
    }

    fn status(&self) -> u8 {
        self.lease.as_ref().map_or(b'I', |lease| lease.status)
    }

    fn send_ready(&self, status: u8) -> Result<(), CallerFault> {
        let mut out = BytesMut::new();
        wire_reply::put_ready(status, &mut out);
        self.caller.write(&out)
    }

    /// Answers a request that needs no endpoint.
    async fn answer_local(
        &mut self,
        batch: &RequestBatch,
        plan: &BatchPlan,
    ) -> Result<(), CallerFault> {
        let shows_floor = plan
            .statements
            .iter()
            .any(|info| info.kind == StatementKind::ShowFloor);
        if shows_floor
            && let Err(refusal) = self.load_floor(self.state.config.limits.queue_wait).await
        {
            return self.answer_error(&refusal.into(), batch.complete).await;
        }
        let mut out = BytesMut::new();
        let answered = if plan.simple {
            self.answer_info(&plan.statements[0], true, &mut out)
        } else {
            self.answer_messages(batch, &mut out)
        };
        self.caller.write_all(&mut out)?;
        match answered {
            Err(error) => self.answer_error(&error, batch.complete).await,
            Ok(()) if batch.complete => self.send_ready(self.status()),
            Ok(()) => Ok(()),
        }
    }

    fn answer_info(
        &mut self,
        info: &StatementInfo,
        describe: bool,
        out: &mut BytesMut,
    ) -> Result<(), CallerError> {
        let floor = self.floor.unwrap_or_default();
        let effect = local_answer::answer_statement(
            info,
            floor,
            self.stale,
            describe,
            &mut self.prepared,
            out,
        )?;
        match effect {
            LocalEffect::None => {}
            LocalEffect::RaiseFloor(point) => {
                self.floor = Some(self.floor.map_or(point, |floor| floor.max(point)));
                self.wrote = true;
            }
            LocalEffect::Staleness(stale) => self.stale = stale,
            LocalEffect::DropStatements => self.prepared.clear(),
            LocalEffect::Discard => {
                if self
                    .lease
                    .as_ref()
                    .is_some_and(|lease| lease.in_transaction())
                {
                    out.clear();
                    let message = "DISCARD ALL cannot run inside a transaction block";
                    return Err(CallerError::new("25001", message));
                }
                self.lease = None;
                self.prepared.clear();
                self.settings.clear();
                self.stale = false;
            }
        }
        Ok(())
    }

    fn answer_messages(
        &mut self,
        batch: &RequestBatch,
        out: &mut BytesMut,
    ) -> Result<(), CallerError> {
        let mut portals = Vec::new();
        for frame in &batch.frames {
            self.answer_message(frame, &mut portals, out)?;
        }
        Ok(())
    }

    fn answer_message(
        &mut self,
        frame: &WireFrame,
        portals: &mut Vec<(Vec<u8>, Arc<PreparedStatement>)>,
        out: &mut BytesMut,
    ) -> Result<(), CallerError> {
        let bad = |error: FrameError| CallerError::new("08P01", error.to_string());
        let missing = || CallerError::new("26000", "prepared statement does not exist");
        let answer = match frame.kind() {
            b'P' => {
                let (name, statement) = PreparedStatement::from_parse(frame).map_err(bad)?;
                if !name.is_empty() && self.prepared.contains_key(&name) {
                    let message = "prepared statement already exists";
                    return Err(CallerError::new("42P05", message));
                }
                self.prepared.insert(name, Arc::new(statement));
                b'1'
            }
            b'B' => {
                let (portal, name) = local_answer::read_bind(frame).map_err(bad)?;
                let statement = self.prepared.get(&name).ok_or_else(missing)?;
                portals.push((portal, statement.clone()));
                b'2'
            }
            b'D' => {
                let whole = frame.body().first() == Some(&b'S');
                let (name, _) = wire_frame::split_text(&frame.body()[1..]).map_err(bad)?;
                let found = if whole {
                    self.prepared.get(name).cloned()
                } else {
                    local_answer::find_portal(portals, name)
                };
                let statement = found.ok_or_else(missing)?;
                local_answer::describe_statement(&statement, whole, out);
                return Ok(());
            }
            b'C' => {
                let (name, _) = wire_frame::split_text(&frame.body()[1..]).map_err(bad)?;
                self.prepared.remove(name);
                b'3'
            }
            b'E' => {
                let (portal, _) = wire_frame::split_text(frame.body()).map_err(bad)?;
                let found = local_answer::find_portal(portals, portal).ok_or_else(missing)?;
                let info = found.info.clone().ok_or_else(missing)?;
                return self.answer_info(&info, false, out);
            }
            _ => return Ok(()),
        };
        out.extend_from_slice(WireFrame::new(answer, &[]).bytes());
        Ok(())
    }
}

/// Tells when a running request must end because its key was withdrawn.
struct WithdrawalWatcher {
    identity: CallerIdentity,
    view: watch::Receiver<ListenerView>,
    grace: Duration,
    /// The last bundle that lets the caller in.
    checked: RefCell<Arc<BundleConfig>>,
    seen: Cell<Option<Instant>>,
}

impl WithdrawalWatcher {
    fn is_over(&self) -> bool {
        let view = self.view.borrow();
        if Arc::ptr_eq(&view.bundle, &self.checked.borrow()) {
            return false;
        }
        if self.identity.check(&view.bundle).is_ok() {
            self.checked.replace(view.bundle.clone());
            self.seen.set(None);
            return false;
        }
        let since = self.seen.get().unwrap_or_else(Instant::now);
        self.seen.set(Some(since));
        since.elapsed() >= self.grace
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    if let Some(deadline) = deadline {
        tokio::time::sleep_until(deadline.into()).await;
    }
}

async fn pump_lease(lease: Option<&mut Box<EndpointLease>>) -> Result<(), LinkError> {
    match lease {
        Some(lease) => lease.link.pump(false).await,
        None => std::future::pending().await,
    }
}
