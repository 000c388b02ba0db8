//! Accepts callers and serves each connection on one worker thread.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use ntex::io::Io;
use ntex::io::IoConfig;
use ntex::service::cfg::SharedCfg;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::connection::caller_memory::CallerMemory;
use crate::connection::cancel_registry::CancelRegistry;
use crate::connection::endpoint_pool::EndpointPool;
use crate::connection::listener_config::ListenerConfig;
use crate::connection::startup;
use crate::request::ports::RequestPorts;
use crate::version::bundle::BundleConfig;

/// Time after the drain deadline in which sessions can still send the final error to callers.
const STOP_MARGIN: Duration = Duration::from_secs(1);

const VIEW_REFRESH_PERIOD: Duration = Duration::from_millis(100);
const SERVICE_NAME: &str = "callers";

/// Minimum time between two log lines about connections that are closed for their memory.
const CLOSED_LOG_PERIOD: Duration = Duration::from_secs(10);

/// The state of the process that every connection observes for changes.
#[derive(Debug, Clone)]
pub struct ListenerView {
    /// The bundle in force.
    pub bundle: Arc<BundleConfig>,
    /// When the process began to drain.
    pub drain_start: Option<Instant>,
}

/// The state that all connections of the listener share.
pub struct ListenerState {
    /// Number of connections that are being served.
    pub sessions: AtomicUsize,
    /// The configuration of the listener.
    pub config: Arc<ListenerConfig>,
    /// The functions of the process that connections use.
    pub ports: Arc<RequestPorts>,
    /// The pool of endpoint connections.
    pub pool: EndpointPool,
    /// The memory that callers' connections hold.
    pub memory: Arc<CallerMemory>,
    /// The cancel keys of the callers.
    pub cancels: Arc<CancelRegistry>,
    /// The latest view; connections subscribe to it.
    pub view: watch::Sender<ListenerView>,
}

/// Why the listener did not start.
#[derive(Debug)]
pub enum ListenerError {
    /// The listener cannot bind its address.
    Bind {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        error: io::Error,
    },
    /// The thread of the listener could not be started.
    Start,
}

impl fmt::Display for ListenerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListenerError::Bind { address, error } => {
                write!(f, "cannot listen for callers on {address}: {error}")
            }
            ListenerError::Start => f.write_str("listener for callers did not start"),
        }
    }
}

impl std::error::Error for ListenerError {}

/// A running listener; dropping it stops the listener without waiting.
pub struct ListenerHandle {
    address: SocketAddr,
    state: Arc<ListenerState>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl ListenerHandle {
    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connected callers.
    pub fn sessions(&self) -> usize {
        self.state.sessions.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections to endpoints.
    pub fn endpoint_connections(&self) -> usize {
        self.state.pool.open_count()
    }

    /// Returns the memory that callers' connections hold.
    pub fn memory(&self) -> Arc<CallerMemory> {
        self.state.memory.clone()
    }

    /// Stops the listener and waits for its end.
    ///
    /// Running requests and open transactions may go on for the drain time; idle callers are
    /// disconnected.
    pub async fn stop(mut self) {
        self.signal_stop();
        let Some(thread) = self.thread.take() else {
            return;
        };
        let _ = tokio::task::spawn_blocking(move || thread.join()).await;
    }

    fn signal_stop(&mut self) {
        self.state.view.send_if_modified(start_drain);
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}

impl Drop for ListenerHandle {
    fn drop(&mut self) {
        self.signal_stop();
    }
}

fn start_drain(view: &mut ListenerView) -> bool {
    let is_first = view.drain_start.is_none();
    view.drain_start.get_or_insert_with(Instant::now);
    is_first
}

/// Binds the address and starts to serve callers on a dedicated thread.
pub fn serve(
    config: ListenerConfig,
    ports: Arc<RequestPorts>,
) -> Result<ListenerHandle, ListenerError> {
    let bind_error = |error| ListenerError::Bind {
        address: config.address,
        error,
    };
    let listener = TcpListener::bind(config.address).map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    let config = Arc::new(config);
    let view = ListenerView {
        bundle: (ports.bundle)(),
        drain_start: None,
    };
    let state = Arc::new(ListenerState {
        sessions: AtomicUsize::new(0),
        pool: EndpointPool::new(config.clone(), ports.clone()),
        memory: Arc::new(CallerMemory::new(config.limits.memory_bytes)),
        config,
        ports,
        cancels: Arc::new(CancelRegistry::default()),
        view: watch::Sender::new(view),
    });
    let (stop, stopped) = oneshot::channel();
    let shared = state.clone();
    let thread = std::thread::Builder::new()
        .name(SERVICE_NAME.to_owned())
        .spawn(move || run_server(&shared, listener, stopped))
        .map_err(|_| ListenerError::Start)?;
    Ok(ListenerHandle {
        address,
        state,
        stop: Some(stop),
        thread: Some(thread),
    })
}

fn run_server(state: &Arc<ListenerState>, listener: TcpListener, stopped: oneshot::Receiver<()>) {
    let system = ntex::rt::System::new(SERVICE_NAME, ntex::rt::DefaultRuntime);
    let state = state.clone();
    system.block_on(async move {
        let served = state.clone();
        let unsent = state.config.limits.max_unsent_bytes;
        let drain_timeout = state.config.limits.drain_timeout + Duration::from_secs(1);
        let builder = ntex::server::build()
            .workers(state.config.workers.max(1))
            .disable_signals()
            .shutdown_timeout(ntex::time::Millis(millis(drain_timeout)))
            .listen(SERVICE_NAME, listener, async move |_| {
                let state = served.clone();
                ntex::service::fn_service(move |io: Io| {
                    let state = state.clone();
                    async move {
                        let _count = SessionCount::new(&state);
                        startup::serve_connection(state.clone(), io).await;
                        Ok::<_, io::Error>(())
                    }
                })
            });
        let server = match builder {
            Ok(builder) => {
                let config = IoConfig::new().set_write_buf(unsent, unsent / 4, 16);
                builder
                    .config(SERVICE_NAME, SharedCfg::new(SERVICE_NAME).add(config))
                    .run()
            }
            Err(error) => {
                tracing::error!("caller: listener did not start: {error}");
                return;
            }
        };
        refresh_until_stopped(&state, stopped).await;
        // A graceful stop of the server would stop workers while their sessions still run;
        // `refresh_until_stopped` has already waited for the sessions.
        server.stop(false).await;
    });
}

impl ListenerState {
    /// Updates the view with the bundle in force and the drain state of the process.
    ///
    /// The bundle is read under the view's lock, so that the view never reverts to an older bundle.
    pub fn refresh_view(&self) {
        self.view.send_if_modified(|view| {
            let bundle = (self.ports.bundle)();
            let newer = !Arc::ptr_eq(&view.bundle, &bundle);
            view.bundle = bundle;
            newer | ((self.ports.draining)() && start_drain(view))
        });
    }
}

/// Counts one connection that is being served, until it is dropped.
struct SessionCount {
    state: Arc<ListenerState>,
}

impl SessionCount {
    fn new(state: &Arc<ListenerState>) -> Self {
        state.sessions.fetch_add(1, Ordering::Relaxed);
        Self {
            state: state.clone(),
        }
    }
}

impl Drop for SessionCount {
    fn drop(&mut self) {
        self.state.sessions.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Refreshes the view until the listener is stopped and all sessions have ended, or the drain time
/// and a margin have passed.
///
/// The listener keeps accepting meanwhile, so that new callers receive the error for a drain.
async fn refresh_until_stopped(state: &ListenerState, mut stopped: oneshot::Receiver<()>) {
    let mut interval = tokio::time::interval(VIEW_REFRESH_PERIOD);
    let mut stop_deadline = None;
    let mut logged: (u64, Option<Instant>) = (0, None);
    loop {
        tokio::select! {
            _ = &mut stopped, if stop_deadline.is_none() => {
                stop_deadline = Some(Instant::now() + state.config.limits.drain_timeout + STOP_MARGIN);
            }
            _ = interval.tick() => {}
        }
        state.refresh_view();
        state.pool.close_unused();
        state.memory.close_stalled();
        log_closed(&state.memory, &mut logged);
        let ended = state.sessions.load(Ordering::Relaxed) == 0;
        if stop_deadline.is_some_and(|end| ended || Instant::now() >= end) {
            return;
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Logs connections that were closed for their memory, at most once in the log period.
fn log_closed(memory: &CallerMemory, (count, at): &mut (u64, Option<Instant>)) {
    let closed = memory.closed();
    if closed == *count || at.is_some_and(|at| at.elapsed() < CLOSED_LOG_PERIOD) {
        return;
    }
    tracing::warn!(
        event = "callers_closed_for_memory",
        count = closed - *count,
        charged_bytes = memory.charged(),
        limit_bytes = memory.limit(),
    );
    (*count, *at) = (closed, Some(Instant::now()));
}
