//! What the parts of an instance share.

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
use session_core::connection_share::ConnectionShare;
use session_core::failure_detector::FailureDetector;
use session_core::floor_history::FloorHistory;
use session_core::group_order::OrderPhase;
use session_core::ids::EndpointId;
use session_core::ids::ServiceId;
use session_core::instance_rank::RankedInstance;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::rate_deputy::DeputyLease;
use session_core::rate_deputy::DeputyMonitor;
use session_core::rate_lender::LendingMode;
use session_core::request_outcome::StatementFault;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::endpoint_connection::ConnectError;
use crate::endpoint_connection::EndpointAnswer;
use crate::endpoint_pool::ConnectionLimit;
use crate::endpoint_pool::EndpointPool;
use crate::fleet_view::FleetView;
use crate::instance_limits::CONNECTION_FRACTION;
use crate::instance_limits::KEY_MARGIN;
use crate::instance_limits::LEADER_LEASE_TIME;
use crate::instance_limits::LEADER_MARGIN;
use crate::instance_limits::LENDING_GRACE;
use crate::instance_limits::SILENT_STORE_TIME;
use crate::instance_limits::UNEVEN_FACTOR;
use crate::metrics::FrontMetrics;
use crate::rate_exchange::RateExchange;
use crate::relay_message::RelayFloor;
use crate::store_lease::StoreLease;

/// How long a report of another instance about a primary counts.
const REPORT_LIFE: Duration = Duration::from_millis(1_000);

/// The time for which an instance leads.
#[derive(Debug, Clone, Copy)]
pub struct LeadingTerm {
    /// The revision at which it began, which is the fencing token.
    pub token: u64,
    /// When the last renewal of its lease was sent that succeeded.
    pub renewed_at: MonotonicTime,
}

/// What the parts of an instance share.
pub struct Instance {
    /// The settings.
    pub settings: InstanceSettings,
    /// What is known of the fleet.
    pub view: RefCell<FleetView>,
    /// Changes with each change of the view.
    pub changes: watch::Sender<u64>,
    /// Changes with each answer of the store to a watch.
    pub heard: watch::Sender<u64>,
    /// The store.
    pub store: StoreClient,
    /// The duties.
    pub duty: PromotionClient,
    /// The own lease.
    pub lease: StoreLease,
    /// The lease of the leader's key, while this instance leads.
    pub leader_lease: Cell<Option<LeaseId>>,
    /// Connections to endpoints.
    pub pool: Rc<EndpointPool>,
    /// Shares of the teams' rates.
    pub rates: RateExchange,
    /// The deputy of this instance, while it leads.
    pub deputy_monitor: RefCell<DeputyMonitor>,
    /// What the leader told this instance as its deputy.
    pub deputy_lease: RefCell<DeputyLease>,
    /// The part of the connections to endpoints.
    pub connections: RefCell<ConnectionShare>,
    /// Points of primaries by service.
    pub floors: RefCell<HashMap<ServiceId, FloorHistory>>,
    /// What was seen of primaries.
    pub detectors: RefCell<HashMap<EndpointId, FailureDetector>>,
    /// Reports of other instances about primaries.
    pub reports: RefCell<HashMap<EndpointId, HashMap<SocketAddr, MonotonicTime>>>,
    /// Revisions of orders that other instances acknowledged to this one.
    pub acknowledged: RefCell<HashMap<(ServiceId, SocketAddr), u64>>,
    /// Takes datagrams of other instances.
    pub peer_socket: UdpSocket,
    /// The last time that this instance became the leader.
    pub leading: Cell<Option<LeadingTerm>>,
    /// When the process was asked to stop.
    pub stopping: watch::Sender<Option<MonotonicTime>>,
    /// Sessions that are open.
    pub sessions: Cell<usize>,
    /// The metrics.
    pub metrics: FrontMetrics,
    /// Calls to the platform.
    pub calls: CallCounts,
    /// Changes with each session that ends.
    pub session_ends: watch::Sender<usize>,
    /// Whether the store is followed by this instance itself.
    pub direct: Cell<bool>,
}

impl Instance {
    /// Returns what decides the rank of this instance.
    pub fn ranked(&self) -> RankedInstance<'_> {
        RankedInstance {
            processor: self.settings.processor,
            name: &self.settings.instance,
        }
    }

    /// Whether this instance follows the store itself.
    pub fn follows_store(&self) -> bool {
        self.direct.get()
    }

    /// Notes whether this instance follows the store itself.
    pub fn set_follows_store(&self, direct: bool) {
        if self.direct.replace(direct) != direct {
            tracing::info!(event = "store_followed", direct);
        }
    }

    /// Tells followers that the store answered.
    pub fn store_heard(&self) {
        self.heard.send_modify(|count| *count += 1);
    }

    /// Waits until somebody hears the store, where all evidence is too old for that: a call that
    /// fails costs as much as any other one.
    pub async fn await_store(&self) {
        let mut heard = self.heard.subscribe();
        let is_silent = || {
            let heard_at = self.view.borrow().heard_at;
            heard_at.is_some_and(|at| now().saturating_since(at) >= SILENT_STORE_TIME)
        };
        while is_silent() {
            if heard.changed().await.is_err() {
                return;
            }
        }
    }

    /// Tells all parts that the view changed.
    pub fn view_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether what the store said is recent enough to accept keys.
    pub fn keys_are_current(&self) -> bool {
        let limit = self.settings.revocation_time.saturating_sub(KEY_MARGIN);
        let heard_at = self.view.borrow().heard_at;
        heard_at.is_some_and(|at| now().saturating_since(at) < limit)
    }

    /// Whether the platform should send new connections here.
    pub fn is_ready(&self) -> bool {
        self.stopping.borrow().is_none()
            && self.view.borrow().rules.is_some()
            && self.view.borrow().renewed_at.is_some()
            && self.keys_are_current()
    }

    /// Whether this instance holds the duties and may act on them now.
    pub fn leads(&self) -> bool {
        self.leads_within(LEADER_LEASE_TIME - LEADER_MARGIN)
    }

    /// Whether no leader after this instance is known here.
    pub fn is_last_leader(&self) -> bool {
        self.leads_within(Duration::MAX)
    }

    /// Lets this instance lend as much as it may now.
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
        let lends = self.deputy_lease.borrow().lends(leader, at);
        lends.then_some(LendingMode::Shared)
    }

    fn leads_within(&self, time: Duration) -> bool {
        let view = self.view.borrow();
        let (Some(leader), Some(term)) = (&view.leader, self.leading.get()) else {
            return false;
        };
        leader.value.instance == self.settings.instance
            && term.token == leader.revision
            && now().saturating_since(term.renewed_at) < time
    }

    /// Returns the revision at which this instance became the leader.
    pub fn token(&self) -> Option<u64> {
        self.leading.get().map(|term| term.token)
    }

    /// Returns how many connections this instance may hold to each endpoint of a service.
    pub fn connection_limit(&self, service: &ServiceId) -> ConnectionLimit {
        let view = self.view.borrow();
        let share = self
            .connections
            .borrow()
            .fraction(view.members.len(), now());
        let accepted = view
            .rules
            .as_ref()
            .and_then(|rules| rules.services.get(service))
            .map_or(0.0, |limit| f64::from(limit.connections.0));
        let part = accepted * CONNECTION_FRACTION * share;
        ConnectionLimit {
            kept: (part as usize).max(1),
            used: ((part * UNEVEN_FACTOR) as usize).max(2),
        }
    }

    /// Whether there are more instances than connections that an endpoint accepts, so that not
    /// each of them can keep one.
    pub fn connections_are_scarce(&self) -> bool {
        let view = self.view.borrow();
        let least = view.rules.as_ref().and_then(|rules| {
            let accepted = rules.services.values().map(|limit| limit.connections.0);
            accepted.min()
        });
        least
            .is_some_and(|least| f64::from(least) * CONNECTION_FRACTION < view.members.len() as f64)
    }

    /// Changes what was seen of an endpoint.
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

    /// Returns the primaries that count as failed here.
    pub fn failing_primaries(&self) -> Vec<EndpointId> {
        let at = now();
        let view = self.view.borrow();
        let Some(rules) = &view.rules else {
            return Vec::new();
        };
        let detectors = self.detectors.borrow();
        rules
            .services
            .keys()
            .filter_map(|service| view.leading_endpoint(service).ok())
            .filter(|id| detectors.get(id).is_some_and(|w| w.verdict(at).is_some()))
            .collect()
    }

    /// Returns the revisions of orders that are pending, by service.
    pub fn pending_orders(&self) -> Vec<(ServiceId, u64)> {
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

    /// Takes another instance's acknowledgement of orders.
    pub fn record_acknowledgements(&self, from: SocketAddr, seen: Vec<(ServiceId, u64)>) {
        let mut acknowledged = self.acknowledged.borrow_mut();
        let mut news = false;
        for (service, revision) in seen {
            let known = acknowledged.entry((service, from)).or_default();
            news |= revision > *known;
            *known = revision.max(*known);
        }
        drop(acknowledged);
        if news {
            self.view_changed();
        }
    }

    /// Takes another instance's report about a primary.
    pub fn record_peer_failure(&self, endpoint: &EndpointId, from: SocketAddr) {
        self.reports
            .borrow_mut()
            .entry(endpoint.clone())
            .or_default()
            .insert(from, now());
    }

    /// Returns how many other instances report that a primary fails.
    pub fn peer_reports(&self, endpoint: &EndpointId) -> usize {
        let at = now();
        self.reports.borrow().get(endpoint).map_or(0, |reports| {
            reports
                .values()
                .filter(|seen| at.saturating_since(**seen) < REPORT_LIFE)
                .count()
        })
    }

    /// Whether an endpoint is the primary that this instance may use now.
    pub fn may_use_primary(&self, service: &ServiceId, endpoint: &EndpointId) -> bool {
        let view = self.view.borrow();
        view.usable_primary(service, now()).as_ref() == Ok(endpoint)
    }

    /// Takes an endpoint's answer into what is known of it and of its group's log.
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
        let Some(entry) = view.endpoints.get(endpoint) else {
            return;
        };
        let mut floors = self.floors.borrow_mut();
        let history = floors.entry(entry.service.clone()).or_default();
        if let Some(point) = answer.point()
            && view.has_led_since(&entry.service, endpoint, answer.sent_at)
        {
            history.record(answer.sent_at, point);
        }
        self.pool.record_answer(endpoint, answer, history);
    }

    /// Returns the newest positions of primaries, for instances that follow this one.
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

    /// Takes positions of primaries that another instance asked for; `at` is a time on this
    /// instance's clock that is not later than when the ages were taken.
    pub fn learn_floors(&self, relayed: &[RelayFloor], at: MonotonicTime) {
        let mut floors = self.floors.borrow_mut();
        for floor in relayed {
            let history = floors.entry(floor.service.clone()).or_default();
            history.record(at - floor.age, floor.point);
        }
    }

    /// Takes an answer that tells the position of a replica, but nothing of its load.
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

    /// Takes a statement without an answer into what is known of the endpoint.
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

    /// Takes a connection that could not be opened.
    pub fn record_connect_failure(&self, endpoint: &EndpointId, error: &ConnectError) {
        if matches!(error, ConnectError::Io(_) | ConnectError::Overdue) {
            self.with_detector(endpoint, |detector| detector.record_connect_failure(now()));
        }
        self.pool
            .with_load(endpoint, |load| load.record_failure(now()));
    }

    /// Counts a session that begins.
    pub fn session_begins(&self) {
        self.sessions.set(self.sessions.get() + 1);
        self.metrics.sessions.inc();
    }

    /// Counts a session that ended.
    pub fn session_ends(&self) {
        self.sessions.set(self.sessions.get() - 1);
        self.session_ends.send_replace(self.sessions.get());
    }

    /// Lets sessions end from now on.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(Some(now()));
    }

    /// Waits until no session is open.
    pub async fn sessions_ended(&self) {
        let mut ends = self.session_ends.subscribe();
        while self.sessions.get() > 0 {
            if ends.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let mut text = match self.metrics.encode() {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(event = "metrics_not_encoded", %error);
                String::new()
            }
        };
        text.push_str("# TYPE tamaracklb_platform_calls_total counter\n");
        for ((kind, succeeded), count) in self.calls.snapshot() {
            text.push_str(&format!(
                "tamaracklb_platform_calls_total{{kind=\"{}\",succeeded=\"{succeeded}\"}} {count}\n",
                kind.label()
            ));
        }
        text.push_str("# TYPE tamaracklb_endpoint_connections_total counter\n");
        let opened = self.pool.opened_connections();
        text.push_str(&format!("tamaracklb_endpoint_connections_total {opened}\n"));
        text.push_str("# TYPE tamaracklb_floor_age_ms gauge\n");
        for floor in self.newest_floors(now()) {
            let (service, age) = (floor.service, floor.age.as_millis());
            text.push_str(&format!(
                "tamaracklb_floor_age_ms{{service=\"{service}\"}} {age}\n"
            ));
        }
        text.push_str("# TYPE tamaracklb_open gauge\n");
        let sessions = self.sessions.get();
        let connections = self.pool.open_connections();
        text.push_str(&format!(
            "tamaracklb_open{{what=\"sessions\"}} {sessions}\n"
        ));
        text.push_str(&format!(
            "tamaracklb_open{{what=\"endpoint_connections\"}} {connections}\n"
        ));
        text
    }
}
