//! Accepts callers and serves each on one worker thread.

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

use crate::connection::cancel_registry::CancelRegistry;
use crate::connection::endpoint_pool::EndpointPool;
use crate::connection::listener_config::ListenerConfig;
use crate::connection::startup;
use crate::request::ports::RequestPorts;
use crate::version::bundle::BundleConfig;

/// Time beyond the drain deadline in which sessions tell their callers of the end.
const STOP_MARGIN: Duration = Duration::from_secs(1);

const VIEW_PERIOD: Duration = Duration::from_millis(100);
const SERVICE_NAME: &str = "callers";

/// What all connections of the listener watch.
#[derive(Debug, Clone)]
pub struct ListenerView {
    /// The bundle in force.
    pub bundle: Arc<BundleConfig>,
    /// When the process began to drain.
    pub drain_start: Option<Instant>,
}

/// What all connections of the listener share.
pub struct ListenerState {
    /// Connections that are being served.
    pub sessions: AtomicUsize,
    /// What the listener was started with.
    pub config: Arc<ListenerConfig>,
    /// The boundary to the rest of the process.
    pub ports: Arc<RequestPorts>,
    /// The endpoint connections.
    pub pool: EndpointPool,
    /// The cancel keys.
    pub cancels: Arc<CancelRegistry>,
    /// Changes that connections must look at.
    pub view: watch::Sender<ListenerView>,
}

/// Why the listener does not serve.
#[derive(Debug)]
pub enum ListenerError {
    /// The address cannot be listened on.
    Bind {
        /// The address.
        address: SocketAddr,
        /// The reason.
        error: io::Error,
    },
    /// The thread of the listener ended before it served.
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

/// A listener that serves callers.
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

    /// Returns how many callers are connected.
    pub fn sessions(&self) -> usize {
        self.state.sessions.load(Ordering::Relaxed)
    }

    /// Returns how many connections to endpoints are open.
    pub fn endpoint_connections(&self) -> usize {
        self.state.pool.open_count()
    }

    /// Stops accepting, lets open transactions end up to the drain time, and waits for that.
    pub async fn stop(mut self) {
        self.ask_stop();
        let Some(thread) = self.thread.take() else {
            return;
        };
        let _ = tokio::task::spawn_blocking(move || thread.join()).await;
    }

    fn ask_stop(&mut self) {
        self.state.view.send_if_modified(start_drain);
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}

impl Drop for ListenerHandle {
    fn drop(&mut self) {
        self.ask_stop();
    }
}

fn start_drain(view: &mut ListenerView) -> bool {
    let starts = view.drain_start.is_none();
    view.drain_start.get_or_insert_with(Instant::now);
    starts
}

/// Starts to serve callers.
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
        pool: EndpointPool::new(config.clone()),
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
        let unsent = state.config.limits.unsent_bytes;
        let drain_time = state.config.limits.drain_time + Duration::from_secs(1);
        let builder = ntex::server::build()
            .workers(state.config.workers.max(1))
            .disable_signals()
            .shutdown_timeout(ntex::time::Millis(millis(drain_time)))
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
        watch_process(&state, stopped).await;
        // A graceful stop of the server ends workers while their sessions still run, so the
        // sessions were waited for above.
        server.stop(false).await;
    });
}

impl ListenerState {
    /// Brings the view in line with the process.
    ///
    /// The bundle is read under the view's lock, so that the view never goes back to an older one.
    pub fn refresh_view(&self) {
        self.view.send_if_modified(|view| {
            let bundle = (self.ports.bundle)();
            let newer = !Arc::ptr_eq(&view.bundle, &bundle);
            view.bundle = bundle;
            newer | ((self.ports.draining)() && start_drain(view))
        });
    }
}

/// A connection that is being served.
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

/// Tells connections of a new bundle or a drain, until the listener is stopped and they ended.
///
/// New callers are told of the drain while open transactions go on.
async fn watch_process(state: &ListenerState, mut stopped: oneshot::Receiver<()>) {
    let mut interval = tokio::time::interval(VIEW_PERIOD);
    let mut stop_end = None;
    loop {
        tokio::select! {
            _ = &mut stopped, if stop_end.is_none() => {
                stop_end = Some(Instant::now() + state.config.limits.drain_time + STOP_MARGIN);
            }
            _ = interval.tick() => {}
        }
        state.refresh_view();
        state.pool.close_unused();
        let ended = state.sessions.load(Ordering::Relaxed) == 0;
        if stop_end.is_some_and(|end| ended || Instant::now() >= end) {
            return;
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
