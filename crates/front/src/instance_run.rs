//! Starts an instance's tasks, waits for its stop signal and ends its leases.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::rc::Rc;

use platform::call_counts::CallCounts;
use platform::instance_settings::InstanceSettings;
use platform::promotion_client::PromotionClient;
use platform::status_server;
use platform::status_server::StatusPorts;
use platform::store_client::StoreClient;
use session_core::monotonic_time::now;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::caller_listener;
use crate::caller_memory::CallerMemory;
use crate::cold_endpoints;
use crate::endpoint_pool::EndpointPool;
use crate::event_limiter::EventLimiter;
use crate::group_leader;
use crate::host_links::HostLinks;
use crate::host_server;
use crate::instance::Instance;
use crate::instance_limits::IDLE_TICKS;
use crate::instance_limits::STORE_TIMEOUT;
use crate::instance_limits::TICK_PERIOD;
use crate::instance_metrics;
use crate::log_output::LogOutput;
use crate::metrics::FrontMetrics;
use crate::pace_exchange;
use crate::pace_exchange::PaceExchange;
use crate::peer_link;
use crate::position_probe;
use crate::rate_exchange::RateExchange;
use crate::stop_signal;
use crate::store_feed;
use crate::store_lease;
use crate::store_lease::StoreLease;
use crate::view_relay;

/// Errors that prevent an instance from running.
#[derive(Debug)]
pub enum InstanceError {
    /// A socket could not be bound, or a signal handler could not be installed.
    Io(io::Error),
    /// The metrics could not be registered.
    Metrics(prometheus::Error),
}

impl fmt::Display for InstanceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InstanceError::Io(error) => write!(f, "{error}"),
            InstanceError::Metrics(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for InstanceError {}

impl From<io::Error> for InstanceError {
    fn from(error: io::Error) -> Self {
        InstanceError::Io(error)
    }
}

/// Runs an instance until a signal stops it.
///
/// # Errors
///
/// See [`InstanceError`].
pub fn run_instance(settings: InstanceSettings, log: LogOutput) -> Result<(), InstanceError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(settings, log))
}

async fn run(settings: InstanceSettings, log: LogOutput) -> Result<(), InstanceError> {
    let callers = TcpListener::bind(settings.caller_address).await?;
    let status = TcpListener::bind(settings.status_address).await?;
    let followers = TcpListener::bind(settings.peer_address).await?;
    let peer_socket = UdpSocket::bind(settings.peer_address).await?;
    let calls = CallCounts::default();
    tracing::info!(
        event = "started",
        instance = %settings.instance,
        zone = %settings.zone,
        version = env!("CARGO_PKG_VERSION"),
        callers = %settings.caller_address,
        store = %settings.store_address,
    );
    let metrics = FrontMetrics::new().map_err(InstanceError::Metrics)?;
    let instance = Rc::new(Instance {
        view: RefCell::default(),
        changes: watch::Sender::new(0),
        store_answers: watch::Sender::new(0),
        direct: Cell::new(true),
        has_substitute: watch::Sender::new(false),
        first_view_pending: Cell::new(true),
        store: StoreClient::new(settings.store_address, calls.clone()),
        promotion_client: PromotionClient::new(settings.duty_address, calls.clone()),
        lease: StoreLease::default(),
        leader_lease: Cell::new(None),
        pool: Rc::new(EndpointPool::new(
            settings.endpoints_may_degrade,
            metrics.unexpected_answers.clone(),
        )),
        // Starting at the current time keeps the request numbers of two incarnations distinct.
        rates: RateExchange::new(now().as_nanos()),
        deputy_monitor: RefCell::default(),
        deputy_lease: RefCell::default(),
        paces: PaceExchange::new(choice_seed(&settings)),
        connection_share: RefCell::default(),
        floors: RefCell::default(),
        commits: RefCell::default(),
        cold_limit: RefCell::default(),
        detectors: RefCell::default(),
        reports: RefCell::default(),
        acknowledged: RefCell::default(),
        peer_socket,
        leader_term: Cell::new(None),
        stopping: watch::Sender::new(None),
        callers: Rc::new(CallerMemory::new(&settings.callers)),
        closed_callers: EventLimiter::default(),
        sessions: Cell::new(0),
        metrics,
        calls,
        session_ends: watch::Sender::new(0),
        host_links: HostLinks::default(),
        served_links: Cell::new(0),
        served_channels: Cell::new(0),
        provided: Cell::new(0),
        provided_new: Cell::new(0),
        settings,
    });
    tokio::task::spawn_local(store_feed::follow_store(Rc::clone(&instance)));
    tokio::task::spawn_local(store_lease::keep_lease(Rc::clone(&instance)));
    tokio::task::spawn_local(peer_link::acknowledge_orders(Rc::clone(&instance)));
    tokio::task::spawn_local(view_relay::serve_followers(followers, Rc::clone(&instance)));
    tokio::task::spawn_local(host_server::serve_links(Rc::clone(&instance)));
    tokio::task::spawn_local(peer_link::serve_peers(Rc::clone(&instance)));
    tokio::task::spawn_local(position_probe::query_primaries(Rc::clone(&instance)));
    tokio::task::spawn_local(group_leader::lead_groups(Rc::clone(&instance)));
    let accepting = tokio::task::spawn_local(caller_listener::accept_callers(
        callers,
        Rc::clone(&instance),
    ));
    let ready = Rc::clone(&instance);
    let metrics = Rc::clone(&instance);
    let ports = StatusPorts {
        ready: Box::new(move || ready.is_ready()),
        metrics: Box::new(move || instance_metrics::metrics_text(&metrics)),
    };
    tokio::task::spawn_local(status_server::serve_status(status, Rc::new(ports)));
    tokio::task::spawn_local(run_ticks(Rc::clone(&instance), log));
    stop_signal::handle_signals(Rc::clone(&instance), accepting).await?;
    // Without its leases, this instance must neither use a primary nor lead.
    instance.view.borrow_mut().renewed_at = None;
    instance.leader_term.set(None);
    for lease in [instance.lease.release(), instance.leader_lease.take()]
        .into_iter()
        .flatten()
    {
        if let Err(error) = instance.store.end_lease(lease, STORE_TIMEOUT / 3).await {
            tracing::warn!(event = "lease_not_ended", %error);
        }
    }
    tracing::info!(event = "stopped", sessions = instance.sessions.get());
    Ok(())
}

/// Returns a seed for the choice of endpoints that differs between instances and between lives.
fn choice_seed(settings: &InstanceSettings) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&settings.instance, now().as_nanos()).hash(&mut hasher);
    hasher.finish()
}

/// Runs the periodic tasks of all components.
async fn run_ticks(instance: Rc<Instance>, log: LogOutput) {
    let mut interval = tokio::time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut tick = 0;
    loop {
        interval.tick().await;
        tick += 1;
        log.flush();
        instance.callers.close_stalled();
        instance.update_lending();
        instance.view.borrow_mut().drop_missing(now());
        peer_link::prefetch_loans(&instance, tick);
        pace_exchange::report_reads(&instance, tick);
        if tick % IDLE_TICKS == 0 && instance.connections_are_scarce() {
            instance.pool.close_idle(|id| instance.idle_time(id));
        }
        cold_endpoints::forget_warm(&instance);
        instance.close_unused_connections();
    }
}
