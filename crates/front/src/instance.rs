//! State that the components of an instance share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::call_counts::CallCounts;
use platform::instance_settings::InstanceSettings;
use platform::promotion_client::PromotionClient;
use platform::store_client::LeaseId;
use platform::store_client::StoreClient;
use session_core::cold_limit::ColdLimit;
use session_core::commit_evidence::CommitEvidence;
use session_core::commit_evidence::CommitReport;
use session_core::commit_evidence::ProcessLives;
use session_core::connection_host;
use session_core::connection_share::ConnectionShare;
use session_core::endpoint_entry::EndpointEntry;
use session_core::evacuated_zones;
use session_core::failure_detector::FailureDetector;
use session_core::floor_history::FloorHistory;
use session_core::floor_history::FloorSample;
use session_core::group_order::OrderPhase;
use session_core::ids::EndpointId;
use session_core::ids::ServiceId;
use session_core::ids::TeamId;
use session_core::instance_rank::RankedInstance;
use session_core::log_point::LogPoint;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::rate_deputy::DeputyLease;
use session_core::rate_deputy::DeputyMonitor;
use session_core::rate_lender::LendingMode;
use session_core::request_outcome::StatementFault;
use session_core::store_revision::StoreRevision;
use session_core::units::ConnectionCount;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::caller_memory::CallerMemory;
use crate::endpoint_connection::ConnectError;
use crate::endpoint_connection::EndpointAnswer;
use crate::endpoint_pool::ConnectionLimit;
use crate::endpoint_pool::EndpointPool;
use crate::event_limiter::EventLimiter;
use crate::fleet_view::FleetView;
use crate::host_links::HostLinks;
use crate::instance_limits::CONNECTION_FRACTION;
use crate::instance_limits::DIRECT_IDLE_TIME;
use crate::instance_limits::HOST_IDLE_TIME;
use crate::instance_limits::KEY_MARGIN;
use crate::instance_limits::LEADER_LEASE_TIME;
use crate::instance_limits::LEADER_MARGIN;
use crate::instance_limits::LENDING_GRACE;
use crate::instance_limits::SCARCE_IDLE_TIME;
use crate::instance_limits::SKEW_FACTOR;
use crate::instance_limits::STORE_UNREACHABLE_AGE;
use crate::instance_limits::TICK_PERIOD;
use crate::metrics::FrontMetrics;
use crate::pace_exchange::PaceExchange;
use crate::rate_exchange::RateExchange;
use crate::relay_message::RelayFloor;
use crate::store_lease::StoreLease;

/// Time for which another instance's report of a failed primary stays valid.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_000);

/// One period of leadership of this instance.
#[derive(Debug, Clone, Copy)]
pub struct LeaderTerm {
    /// Store revision at which this instance became the leader; used as the fencing token.
    pub token: StoreRevision,
    /// When the last successful renewal of the leader lease was sent.
    pub renewed_at: MonotonicTime,
}

/// State that the components of an instance share.
pub struct Instance {
    /// Settings loaded at start.
    pub settings: InstanceSettings,
    /// Local copy of the fleet, the endpoints and the configuration in the store.
    pub view: RefCell<FleetView>,
    /// Counts changes of the view; subscribers are woken by each.
    pub changes: watch::Sender<u64>,
    /// Counts answers of the store, received directly or by relay; subscribers are woken by each.
    pub store_answers: watch::Sender<u64>,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Client of the platform's promotion interface.
    pub promotion_client: PromotionClient,
    /// Lease of this instance's member key.
    pub lease: StoreLease,
    /// Lease of the leader key, while this instance leads.
    pub leader_lease: Cell<Option<LeaseId>>,
    /// Connections to endpoints, with the load and limiter of each endpoint.
    pub pool: Rc<EndpointPool>,
    /// This instance's shares of the teams' rates.
    pub rates: RateExchange,
    /// Monitors the deputy while this instance leads.
    pub deputy_monitor: RefCell<DeputyMonitor>,
    /// Right to lend that the leader gave this instance as its deputy.
    pub deputy_lease: RefCell<DeputyLease>,
    /// Observed pace and failures of the endpoints, shared within the zone.
    pub paces: PaceExchange,
    /// This instance's share of the connections that endpoints accept.
    pub connection_share: RefCell<ConnectionShare>,
    /// Log positions of the primary over time, by service.
    pub floors: RefCell<HashMap<ServiceId, FloorHistory>>,
    /// What is known of the acknowledged commits, by service.
    pub commits: RefCell<HashMap<ServiceId, CommitEvidence>>,
    /// Slots of cold endpoints that this instance uses.
    pub cold_limit: RefCell<ColdLimit>,
    /// Failure detectors of primaries.
    pub detectors: RefCell<HashMap<EndpointId, FailureDetector>>,
    /// When each instance last reported a primary as failed, by primary and peer address.
    pub reports: RefCell<HashMap<EndpointId, HashMap<SocketAddr, MonotonicTime>>>,
    /// Newest order revision that each instance acknowledged, by service and peer address.
    pub acknowledged: RefCell<HashMap<(ServiceId, SocketAddr), StoreRevision>>,
    /// Socket for datagrams between instances.
    pub peer_socket: UdpSocket,
    /// The current or last period of leadership.
    pub leader_term: Cell<Option<LeaderTerm>>,
    /// When the process was requested to stop, if it was.
    pub stopping: watch::Sender<Option<MonotonicTime>>,
    /// Memory and number of callers' connections.
    pub callers: Rc<CallerMemory>,
    /// Bounds the log lines on callers whose connections were closed.
    pub closed_callers: EventLimiter,
    /// Number of open sessions.
    pub sessions: Cell<usize>,
    /// Prometheus metrics of the daemon.
    pub metrics: FrontMetrics,
    /// Counts of calls to the platform, by kind and result.
    pub calls: CallCounts,
    /// Notifies of each session that ends, with the number of open sessions then.
    pub session_ends: watch::Sender<usize>,
    /// Whether this instance watches the store directly rather than through a relay.
    pub direct: Cell<bool>,
    /// Whether this instance follows another one because the store does not answer it. Meanwhile it
    /// serves no followers.
    pub has_substitute: watch::Sender<bool>,
    /// Whether this instance is obtaining its first view, so that its followers wait for it.
    pub first_view_pending: Cell<bool>,
    /// Links to the hosts of endpoints.
    pub host_links: HostLinks,
    /// Number of links of other instances that this one serves as a host.
    pub served_links: Cell<usize>,
    /// Number of channels that are open on these links.
    pub served_channels: Cell<usize>,
    /// Number of connections that this instance provided to others as a host.
    pub provided: Cell<u64>,
    /// Number of these that were opened for that purpose.
    pub provided_new: Cell<u64>,
}

impl Instance {
    /// Returns the properties that decide this instance's rank.
    pub fn ranked(&self) -> RankedInstance<'_> {
        RankedInstance {
            processor: self.settings.processor,
            name: &self.settings.instance,
        }
    }

    /// Returns whether this instance has read the whole view.
    pub fn has_view(&self) -> bool {
        self.view.borrow().synced_at.is_some()
    }

    /// Returns whether this instance watches the store directly.
    pub fn follows_store(&self) -> bool {
        self.direct.get()
    }

    /// Sets whether this instance watches the store directly, and logs a change.
    pub fn set_follows_store(&self, direct: bool) {
        if self.direct.replace(direct) != direct {
            tracing::info!(event = "store_followed", direct);
        }
    }

    /// Notifies followers and waiting tasks that the store answered.
    pub fn notify_store_answer(&self) {
        self.store_answers.send_modify(|count| *count += 1);
    }

    /// Waits while the view is older than [`STORE_UNREACHABLE_AGE`], because calls to a store that
    /// answers no instance are wasted: a failed call costs as much as a successful one.
    pub async fn await_store(&self) {
        let mut answers = self.store_answers.subscribe();
        let is_silent = || {
            let synced_at = self.view.borrow().synced_at;
            synced_at.is_some_and(|at| now().saturating_since(at) >= STORE_UNREACHABLE_AGE)
        };
        while is_silent() {
            if answers.changed().await.is_err() {
                return;
            }
        }
    }

    /// Notifies subscribers of a change of the view.
    pub fn notify_view_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns whether the view is recent enough to accept keys.
    pub fn keys_are_current(&self) -> bool {
        let limit = self.settings.revocation_time.saturating_sub(KEY_MARGIN);
        let synced_at = self.view.borrow().synced_at;
        synced_at.is_some_and(|at| now().saturating_since(at) < limit)
    }

    /// Returns whether the view holds every evacuation whose time may be over.
    pub fn evacuations_are_current(&self) -> bool {
        let Some(time) = self.settings.evacuation_time else {
            return true;
        };
        let synced_at = self.view.borrow().synced_at;
        synced_at.is_some_and(|at| now().saturating_since(at) < evacuated_zones::use_time(time))
    }

    /// Returns whether the platform should send new connections to this instance.
    pub fn is_ready(&self) -> bool {
        self.stopping.borrow().is_none()
            && self.view.borrow().rules.is_some()
            && self.view.borrow().renewed_at.is_some()
            && self.keys_are_current()
    }

    /// Returns whether this instance leads and its leader lease is far enough from its end to act.
    pub fn leads(&self) -> bool {
        self.leads_within(LEADER_LEASE_TIME - LEADER_MARGIN)
    }

    /// Returns whether this instance leads as it did when it was elected at `token`.
    pub fn leads_with(&self, token: StoreRevision) -> bool {
        self.leads() && self.fencing_token() == Some(token)
    }

    /// Returns the time until the end of the leader lease of the leadership that began at `token`, or zero
    /// if that leadership has ended.
    pub fn lead_left(&self, token: StoreRevision) -> Duration {
        let term = self.leader_term.get().filter(|term| term.token == token);
        let elapsed = term.map(|term| now().saturating_since(term.renewed_at));
        elapsed.map_or(Duration::ZERO, |elapsed| {
            LEADER_LEASE_TIME.saturating_sub(elapsed)
        })
    }

    /// Returns after the end of that leadership or of its lease, unless that has been renewed by then.
    pub async fn lead_ended(&self, token: StoreRevision) {
        loop {
            let left = self.lead_left(token);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(TICK_PERIOD)).await;
        }
    }

    /// Returns whether this instance is the latest leader that it knows of, even after its lease
    /// ended.
    pub fn is_latest_leader(&self) -> bool {
        self.leads_within(Duration::MAX)
    }

    /// Sets the lending mode that applies now.
    pub fn update_lending(&self) {
        self.rates.set_lending(self.lending_mode());
    }

    fn lending_mode(&self) -> Option<LendingMode> {
        let at = now();
        if self.leads_within(LEADER_LEASE_TIME + LENDING_GRACE) {
            return Some(match self.deputy_monitor.borrow().is_sole_lender(at) {
                false => LendingMode::Shared,
                true if self.leads() => LendingMode::Alone,
                true => LendingMode::Lapsed,
            });
        }
        let leader = self.view.borrow().leader.as_ref().map(|l| l.revision);
        let may_lend = self.deputy_lease.borrow().may_lend(leader, at);
        may_lend.then_some(LendingMode::Shared)
    }

    fn leads_within(&self, time: Duration) -> bool {
        let view = self.view.borrow();
        let (Some(leader), Some(term)) = (&view.leader, self.leader_term.get()) else {
            return false;
        };
        leader.value.instance == self.settings.instance
            && term.token == leader.revision
            && term.token.era() == view.revision.era()
            && now().saturating_since(term.renewed_at) < time
    }

    /// Returns the fencing token: the store revision at which this instance became the leader.
    pub fn fencing_token(&self) -> Option<StoreRevision> {
        self.leader_term.get().map(|term| term.token)
    }

    /// Returns the limits on this instance's connections to an endpoint.
    pub fn connection_limit(&self, entry: &EndpointEntry) -> ConnectionLimit {
        let accepted = self.accepted_connections(&entry.service);
        if let Some(rank) = self.host_rank(entry) {
            let count = connection_host::host_connections(accepted, rank);
            return ConnectionLimit {
                max_open: count,
                max_in_use: count,
                is_host: true,
            };
        }
        // Without a host that answers, for example before an update, nobody else uses the rest.
        let part = match self.connections_are_scarce() && self.host_links.has_confirmed() {
            true => connection_host::DIRECT_FRACTION,
            false => CONNECTION_FRACTION,
        };
        let instances = self.view.borrow().members.len();
        let fraction = self.connection_share.borrow().fraction(instances, now());
        let share = f64::from(accepted.0) * part * fraction;
        ConnectionLimit {
            max_open: (share as usize).max(1),
            max_in_use: ((share * SKEW_FACTOR) as usize).max(2),
            is_host: false,
        }
    }

    fn accepted_connections(&self, service: &ServiceId) -> ConnectionCount {
        let view = self.view.borrow();
        let rules = view.rules.as_ref();
        let limit = rules.and_then(|rules| rules.services.get(service));
        limit.map_or(ConnectionCount(0), |limit| limit.connections)
    }

    /// Returns this instance's rank among the hosts of an endpoint, if it is one.
    fn host_rank(&self, entry: &EndpointEntry) -> Option<usize> {
        if !self.connections_are_scarce() {
            return None;
        }
        let candidates = self.host_links.candidates(self, entry);
        candidates
            .iter()
            .position(|candidate| candidate.name == self.settings.instance)
    }

    /// Returns whether a request to an endpoint is likely to find an open connection of its team.
    pub fn is_connected(&self, entry: &EndpointEntry, team: Option<&TeamId>) -> bool {
        self.pool.has_idle(&entry.id, team)
            || (self.connections_are_scarce() && self.host_links.is_likely_connected(self, entry))
    }

    /// Returns how long an idle connection to an endpoint is kept while connections are scarce.
    pub fn idle_time(&self, endpoint: &EndpointId) -> Duration {
        let Some(entry) = self.view.borrow().endpoints.get(endpoint).cloned() else {
            return SCARCE_IDLE_TIME;
        };
        match self.host_rank(&entry) {
            Some(0) => HOST_IDLE_TIME,
            _ if self.host_links.is_likely_connected(self, &entry) => DIRECT_IDLE_TIME,
            _ => SCARCE_IDLE_TIME,
        }
    }

    /// Counts a new channel of another instance.
    pub fn begin_channel(&self) {
        self.served_channels.set(self.served_channels.get() + 1);
    }

    /// Counts a connection that was provided to another instance.
    pub fn count_provided(&self, is_new: bool) {
        self.provided.set(self.provided.get() + 1);
        if is_new {
            self.provided_new.set(self.provided_new.get() + 1);
        }
    }

    /// Counts a channel that ended.
    pub fn end_channel(&self) {
        self.served_channels.set(self.served_channels.get() - 1);
        self.session_ends.send_replace(self.sessions.get());
    }

    /// Returns whether some endpoint accepts fewer connections than there are instances, so that
    /// not every instance can keep one open.
    pub fn connections_are_scarce(&self) -> bool {
        let view = self.view.borrow();
        let least = view.rules.as_ref().and_then(|rules| {
            let accepted = rules.services.values().map(|limit| limit.connections.0);
            accepted.min()
        });
        least
            .is_some_and(|least| f64::from(least) * CONNECTION_FRACTION < view.members.len() as f64)
    }

    /// Runs an action on the failure detector of an endpoint.
    pub fn with_detector<T>(
        &self,
        endpoint: &EndpointId,
        action: impl FnOnce(&mut FailureDetector) -> T,
    ) -> T {
        action(
            self.detectors
                .borrow_mut()
                .entry(endpoint.clone())
                .or_default(),
        )
    }

    /// Returns the failing primaries that the leader should hear of: those that this instance has seen
    /// fail while it was in touch with the store.
    pub fn failing_primaries(&self) -> Vec<EndpointId> {
        let at = now();
        let view = self.view.borrow();
        let (Some(rules), Some(in_touch_since)) = (&view.rules, view.in_touch_since(at)) else {
            return Vec::new();
        };
        let detectors = self.detectors.borrow();
        rules
            .services
            .keys()
            .filter_map(|service| view.ordered_primary(service).ok())
            .filter(|id| {
                detectors
                    .get(id)
                    .is_some_and(|detector| detector.is_reportable(in_touch_since, at))
            })
            .collect()
    }

    /// Returns the pending orders as pairs of service and revision, sorted.
    pub fn pending_orders(&self) -> Vec<(ServiceId, StoreRevision)> {
        let view = self.view.borrow();
        let mut orders: Vec<_> = view
            .orders
            .iter()
            .filter(|(_, order)| order.value.phase == OrderPhase::Pending)
            .map(|(service, order)| (service.clone(), order.revision))
            .collect();
        orders.sort();
        orders
    }

    /// Records the order revisions that another instance acknowledged.
    pub fn record_acknowledgements(
        &self,
        from: SocketAddr,
        orders: Vec<(ServiceId, StoreRevision)>,
    ) {
        let mut acknowledged = self.acknowledged.borrow_mut();
        let mut advanced = false;
        for (service, revision) in orders {
            let known = acknowledged.entry((service, from)).or_default();
            advanced |= revision > *known;
            *known = revision.max(*known);
        }
        drop(acknowledged);
        if advanced {
            self.notify_view_change();
        }
    }

    /// Records another instance's report that a primary fails.
    pub fn record_peer_failure(&self, endpoint: &EndpointId, from: SocketAddr) {
        self.reports
            .borrow_mut()
            .entry(endpoint.clone())
            .or_default()
            .insert(from, now());
    }

    /// Returns the number of instances with a valid report that a primary fails.
    pub fn peer_reports(&self, endpoint: &EndpointId) -> usize {
        let at = now();
        self.reports.borrow().get(endpoint).map_or(0, |reports| {
            reports
                .values()
                .filter(|reported_at| at.saturating_since(**reported_at) < REPORT_LIFETIME)
                .count()
        })
    }

    /// Returns whether an endpoint's availability zone is evacuated.
    pub fn is_evacuated(&self, entry: &EndpointEntry) -> bool {
        self.settings.evacuation_time.is_some()
            && self.view.borrow().evacuated.get(&entry.zone).is_some()
    }

    /// Returns whether an endpoint's availability zone has been evacuated for so long that nothing may
    /// be sent there, not even to a primary.
    pub fn is_evacuation_overdue(&self, endpoint: &EndpointId) -> bool {
        let end = self.evacuation_end(endpoint);
        end.is_some_and(|end| now() >= end)
    }

    /// Returns when nothing may be sent to an endpoint any more because its availability zone is
    /// evacuated, or `None` if it is not.
    pub fn evacuation_end(&self, endpoint: &EndpointId) -> Option<MonotonicTime> {
        let time = self.settings.evacuation_time?;
        let view = self.view.borrow();
        let zone = &view.endpoints.get(endpoint)?.zone;
        let evacuation = view.evacuated.get(zone)?;
        Some(evacuation.use_end(time))
    }

    /// Closes idle connections to endpoints that have left or whose zone is evacuated. Those to a
    /// primary are kept while it may be used.
    pub fn close_unused_connections(&self) {
        let view = self.view.borrow();
        self.pool.retain(|id| {
            let Some(entry) = view.endpoints.get(id) else {
                return false;
            };
            let is_primary = || view.ordered_primary(&entry.service).as_ref() == Ok(id);
            !self.is_evacuated(entry) || (is_primary() && !self.is_evacuation_overdue(id))
        });
    }

    /// Returns whether an endpoint is the primary and this instance may use it now.
    pub fn may_use_primary(&self, service: &ServiceId, endpoint: &EndpointId) -> bool {
        let view = self.view.borrow();
        view.usable_primary(service, now()).as_ref() == Ok(endpoint)
    }

    /// Returns whether an acknowledgement of a commit that was sent to an endpoint at `sent_at` may
    /// be passed on to the caller: the endpoint has been the primary since and may still be used.
    /// Otherwise a promotion may have missed the commit. Records the log point that came with an
    /// acknowledgement that may be passed on, for the report to a leader that replaces the primary.
    pub fn may_pass_commit(
        &self,
        endpoint: &EndpointId,
        sent_at: MonotonicTime,
        point: Option<LogPoint>,
    ) -> bool {
        let view = self.view.borrow();
        let Some(service) = view.endpoints.get(endpoint).map(|e| e.service.clone()) else {
            return false;
        };
        let opened = view.opened_revision(&service, endpoint, sent_at);
        let (Some(opened), Some(point)) = (opened, point) else {
            return false;
        };
        let mut commits = self.commits.borrow_mut();
        let evidence = commits.entry(service).or_default();
        evidence.record_passed(opened, point);
        true
    }

    /// Returns this instance's reports for the pending orders.
    pub fn commit_reports(&self) -> Vec<CommitReport> {
        let mut commits = self.commits.borrow_mut();
        let pending = self.pending_orders().into_iter();
        let reports = pending.map(|(service, revision)| {
            let evidence = commits.entry(service.clone()).or_default();
            evidence.report(&service, revision)
        });
        reports.collect()
    }

    /// Records the reports of another instance.
    pub fn record_commit_reports(
        &self,
        address: SocketAddr,
        process: ProcessLives,
        reports: &[CommitReport],
    ) {
        let mut commits = self.commits.borrow_mut();
        for report in reports {
            let evidence = commits.entry(report.service.clone()).or_default();
            evidence.record_report(address, process, report);
        }
        drop(commits);
        self.notify_view_change();
    }

    /// Records an endpoint's answer in its failure detector, its load and its group's positions.
    pub fn record_answer(
        &self,
        endpoint: &EndpointId,
        answer: &EndpointAnswer,
        acknowledged: bool,
    ) {
        self.with_detector(endpoint, |detector| {
            detector.record_answer(now());
            if acknowledged {
                detector.record_acknowledgement();
            }
        });
        let view = self.view.borrow();
        let Some(service) = view.endpoints.get(endpoint).map(|e| e.service.clone()) else {
            return;
        };
        let mut floors = self.floors.borrow_mut();
        let history = floors.entry(service.clone()).or_default();
        if let Some(point) = answer.point()
            && let Some(opened) = view.opened_revision(&service, endpoint, answer.sent_at)
        {
            history.record(answer.sent_at, point);
            let sample = FloorSample {
                requested_at: answer.sent_at,
                point,
            };
            let mut commits = self.commits.borrow_mut();
            let evidence = commits.entry(service).or_default();
            evidence.record_sample(opened, sample, &view.departures);
        }
        self.pool.record_answer(endpoint, answer, history);
    }

    /// Returns the newest position of each primary, for instances that follow this one.
    pub fn newest_floors(&self, at: MonotonicTime) -> Vec<RelayFloor> {
        let floors = self.floors.borrow();
        let newest = floors.iter().filter_map(|(service, history)| {
            let sample = history.newest()?;
            Some(RelayFloor {
                service: service.clone(),
                age: at.saturating_since(sample.requested_at),
                point: sample.point,
            })
        });
        newest.collect()
    }

    /// Records relayed positions of primaries. `at` is a time on this instance's clock that is not
    /// later than the time at which the ages were measured.
    pub fn record_floors(&self, relayed: &[RelayFloor], at: MonotonicTime) {
        let mut floors = self.floors.borrow_mut();
        for floor in relayed {
            let history = floors.entry(floor.service.clone()).or_default();
            history.record(at - floor.age, floor.point);
        }
    }

    /// Records the position in a replica's answer to a probe, which says nothing about its load.
    pub fn record_position(&self, endpoint: &EndpointId, answer: &EndpointAnswer) {
        let view = self.view.borrow();
        let Some(entry) = view.endpoints.get(endpoint) else {
            return;
        };
        let floors = self.floors.borrow();
        if let (Some(history), Some(point)) = (floors.get(&entry.service), answer.point()) {
            self.pool
                .with_load(endpoint, |load| load.record_position(point, history, now()));
        }
    }

    /// Records a statement that got no answer: a write that timed out counts as a hung write, a
    /// broken connection as a failure.
    pub fn record_fault(
        &self,
        endpoint: &EndpointId,
        fault: StatementFault,
        write: bool,
        sent_at: MonotonicTime,
    ) {
        if fault == StatementFault::Overdue && write {
            self.with_detector(endpoint, |detector| detector.record_hung_write(sent_at));
        } else if fault == StatementFault::Broken {
            self.pool
                .with_load(endpoint, |load| load.record_failure(now()));
        }
    }

    /// Records a connection attempt that failed.
    pub fn record_connect_failure(&self, endpoint: &EndpointId, error: &ConnectError) {
        if matches!(error, ConnectError::Io(_) | ConnectError::Overdue) {
            self.with_detector(endpoint, |detector| detector.record_connect_failure(now()));
        }
        self.pool
            .with_load(endpoint, |load| load.record_failure(now()));
    }

    /// Counts a caller's connection that a limit closed or refused, and logs it unless another one
    /// was logged a moment ago.
    pub fn report_closed_caller(&self, reason: &'static str) {
        self.metrics
            .closed_callers
            .with_label_values(&[reason])
            .inc();
        if let Some(others) = self.closed_callers.admit(now()) {
            tracing::warn!(
                event = "caller_closed",
                reason,
                others,
                connections = self.callers.connections(),
                memory_bytes = self.callers.charged().0,
            );
        }
    }

    /// Counts a new session.
    pub fn begin_session(&self) {
        self.sessions.set(self.sessions.get() + 1);
        self.metrics.sessions.inc();
    }

    /// Counts a session that ended.
    pub fn end_session(&self) {
        self.sessions.set(self.sessions.get() - 1);
        self.session_ends.send_replace(self.sessions.get());
    }

    /// Starts the shutdown: sessions end as soon as they may.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(Some(now()));
    }

    /// Returns whether the process was requested to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.borrow().is_some()
    }

    /// Waits until no session of this instance and no channel of another one is open.
    pub async fn await_no_sessions(&self) {
        let mut ends = self.session_ends.subscribe();
        while self.sessions.get() > 0 || self.served_channels.get() > 0 {
            if ends.changed().await.is_err() {
                return;
            }
        }
    }
}
