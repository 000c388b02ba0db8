//! A daemon: starts the components of an instance, runs their timers and stops them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;
use tokio::task::JoinHandle;
use tracing::info;

use crate::connection::listener;
use crate::connection::listener::ListenerHandle;
use crate::connection::listener_config::CallerLimits;
use crate::connection::listener_config::ListenerConfig;
use crate::process::bundle_feed::BundleFeed;
use crate::process::bundle_intake::BundleSource;
use crate::process::caller_tls::load_caller_tls;
use crate::process::daemon_components::DaemonComponents;
use crate::process::daemon_error::DaemonError;
use crate::process::daemon_http::start_http;
use crate::process::group_watcher::WATCHER_TICK_PERIOD;
use crate::process::http_server::HttpServerHandle;
use crate::process::journal_decision::JournalDecision;
use crate::process::machine_memory;
use crate::process::peers::fleet_links::HEARTBEAT_PERIOD;
use crate::process::peers::membership_view::MemberRecord;
use crate::process::peers::peer_identity::PeerIdentity;
use crate::process::peers::peer_mesh::PeerMesh;
use crate::process::settings::DaemonSettings;
use crate::process::share_driver::TICK_PERIOD;
use crate::process::store_client::StoreClient;
use crate::process::timers::TimerGuard;
use crate::process::timers::TimerService;
use crate::process::wall_time::WallTime;
use crate::request::ports::RequestPorts;
use crate::request::refusal::RequestRefusal;
use crate::version::secret_text::SecretText;

const MEMBERS_PERIOD: Duration = Duration::from_millis(250);
const REFUSALS_PERIOD: Duration = Duration::from_secs(10);
const SEED_PERIOD: Duration = Duration::from_secs(2);
const SHARE_RETURN_TIMEOUT: Duration = Duration::from_secs(3);
const DRAIN_POLL: Duration = Duration::from_millis(50);
const MAX_WORKERS: usize = 4;

/// A running daemon.
pub struct Daemon {
    components: Arc<DaemonComponents>,
    listener: Option<ListenerHandle>,
    caller_address: SocketAddr,
    http_address: SocketAddr,
    _http: HttpServerHandle,
    timers: Vec<TimerGuard>,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon; it serves callers as soon as a bundle is in force.
    ///
    /// Returns an error if a file cannot be used, a port cannot be opened or a component fails to
    /// start.
    pub async fn start(settings: DaemonSettings) -> Result<Daemon, DaemonError> {
        let store_address = *settings
            .store_addresses
            .first()
            .ok_or(DaemonError::NoStore)?;
        let store = StoreClient::start(store_address, settings.store_timeout)
            .map_err(|error| DaemonError::StoreClient { error })?;
        let own = MemberRecord {
            instance: settings.instance_id.clone(),
            zone: settings.availability_zone.clone(),
            address: settings.peer_address,
        };
        let components = Arc::new(DaemonComponents::new(&settings, own, &store)?);
        start_mesh(&settings, &components)?;
        load_bundle_file(&settings, &components)?;
        let timers = subscribe_timers(&components, &settings.peer_addresses);
        let tasks = spawn_feeds(&components, store);
        let listener = start_listener(&settings, &components)?;
        let (http, http_address) =
            start_http(&settings, &components).map_err(|error| DaemonError::Http {
                address: settings.http_address,
                error,
            })?;
        let started = JournalDecision::Started {
            program_version: env!("CARGO_PKG_VERSION").to_owned(),
        };
        components
            .journal
            .append(WallTime::now(), started, Vec::new());
        let caller_address = listener.address();
        info!(
            "daemon: {} serves callers on {caller_address}",
            settings.instance_id
        );
        Ok(Daemon {
            components,
            listener: Some(listener),
            caller_address,
            http_address,
            _http: http,
            timers,
            tasks,
        })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the HTTP port.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Waits until an operator requests a graceful stop over HTTP.
    pub async fn drain_requested(&self) {
        let mut request = self.components.drain_request.subscribe();
        let _ = request.wait_for(|requested| *requested).await;
    }

    /// Returns the components, for reports and tests.
    pub fn components(&self) -> &Arc<DaemonComponents> {
        &self.components
    }

    /// Stops accepting callers, waits for open transactions, returns the shares and ends the tasks.
    pub async fn drain(mut self) {
        info!("daemon: draining");
        self.components.draining.store(true, Ordering::Relaxed);
        let open = self.components.open_transactions.load(Ordering::Relaxed);
        let started = JournalDecision::DrainStarted {
            open_transactions: open,
        };
        self.components
            .journal
            .append(WallTime::now(), started, Vec::new());
        if let Some(listener) = self.listener.take() {
            listener.stop().await;
        }
        self.return_shares().await;
        self.timers.clear();
        self.tasks.iter().for_each(JoinHandle::abort);
        info!("daemon: stopped");
    }

    async fn return_shares(&self) {
        self.components.shares.drain();
        let wait = async {
            while !self.components.shares.is_drained() {
                tokio::time::sleep(DRAIN_POLL).await;
            }
        };
        if tokio::time::timeout(SHARE_RETURN_TIMEOUT, wait)
            .await
            .is_err()
        {
            info!("daemon: stopped before all shares were returned");
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn start_mesh(
    settings: &DaemonSettings,
    components: &Arc<DaemonComponents>,
) -> Result<(), DaemonError> {
    let identity = PeerIdentity::from_files(
        &settings.peer_tls.certificate,
        &settings.peer_tls.key,
        &settings.peer_tls_authority,
    )?;
    let links = components.links.clone();
    let answer = move |request| -> futures_util::future::BoxFuture<'static, _> {
        let links = links.clone();
        Box::pin(async move { links.answer(request).await })
    };
    let mesh = PeerMesh::start(settings.peer_address, &identity, Box::new(answer))?;
    let _ = OnceLock::set(&components.mesh, Arc::new(mesh));
    Ok(())
}

fn load_bundle_file(
    settings: &DaemonSettings,
    components: &DaemonComponents,
) -> Result<(), DaemonError> {
    if let Some(path) = &settings.bundle_file {
        let text = std::fs::read_to_string(path).map_err(|error| DaemonError::ReadFile {
            path: path.clone(),
            error,
        })?;
        components.intake.offer(&text, BundleSource::File);
        components.apply_bundle();
    }
    Ok(())
}

fn subscribe_timers(components: &Arc<DaemonComponents>, seeds: &[SocketAddr]) -> Vec<TimerGuard> {
    let service = TimerService::default();
    let (watched, shared, members) = (components.clone(), components.clone(), components.clone());
    let (probing, seeding, refusals) = (components.clone(), components.clone(), components.clone());
    let seeds: Arc<[SocketAddr]> = seeds.into();
    vec![
        service.subscribe(WATCHER_TICK_PERIOD, move |_| watched.services.tick()),
        service.subscribe(TICK_PERIOD, move |_| shared.shares.tick()),
        service.subscribe(MEMBERS_PERIOD, move |_| {
            members.apply_members();
            members.record_primaries();
        }),
        service.subscribe(REFUSALS_PERIOD, move |_| {
            refusals.journal.sum_refusals(WallTime::now())
        }),
        service.subscribe(HEARTBEAT_PERIOD, move |_| {
            if let Some(mesh) = probing.mesh.get().cloned() {
                let links = probing.links.clone();
                tokio::spawn(async move { links.probe_peers(&mesh).await });
            }
        }),
        service.subscribe(SEED_PERIOD, move |_| {
            if let Some(mesh) = seeding.mesh.get().cloned() {
                let (links, seeds) = (seeding.links.clone(), seeds.clone());
                tokio::spawn(async move { links.probe_seeds(&mesh, &seeds).await });
            }
        }),
    ]
}

fn spawn_feeds(components: &Arc<DaemonComponents>, store: StoreClient) -> Vec<JoinHandle<()>> {
    let feed = Arc::new(BundleFeed::new(
        store,
        components.intake.clone(),
        components.links.clone(),
    ));
    let lister = feed.clone();
    let applier = components.clone();
    // Subscribed before the feed starts, so that the first bundle is not missed.
    let mut changes = components.bundles.subscribe();
    vec![
        tokio::spawn(async move { feed.follow_bundle().await }),
        tokio::spawn(async move { lister.follow_instances().await }),
        tokio::spawn(async move {
            while changes.changed().await.is_ok() {
                applier.apply_bundle();
            }
        }),
    ]
}

fn start_listener(
    settings: &DaemonSettings,
    components: &Arc<DaemonComponents>,
) -> Result<ListenerHandle, DaemonError> {
    let password = settings.endpoint_password.expose();
    let workers = std::thread::available_parallelism()
        .map_or(1, usize::from)
        .min(MAX_WORKERS);
    let config = ListenerConfig {
        address: settings.caller_address,
        workers,
        tls: settings
            .caller_tls
            .as_ref()
            .map(load_caller_tls)
            .transpose()?,
        endpoint_user: settings.endpoint_user.clone(),
        endpoint_password: settings.endpoint_password.clone(),
        salt_secret: SecretText::new(salt_secret(password)),
        limits: CallerLimits {
            max_callers: settings.max_caller_connections,
            tls_required: settings.caller_tls_required,
            startup_timeout: settings.startup_timeout,
            max_message_bytes: settings.max_message_bytes,
            message_timeout: settings.message_timeout,
            memory_bytes: settings
                .caller_memory_bytes
                .or_else(machine_memory::caller_memory_bytes),
            queue_timeout: settings.queue_timeout,
            connect_timeout: settings.connect_timeout,
            confirm_timeout: settings.confirm_timeout,
            transaction_timeout: settings.transaction_timeout,
            drain_timeout: settings.drain_timeout,
            ..CallerLimits::default()
        },
    };
    let ports = Arc::new(request_ports(settings, components));
    let listener = listener::serve(config, ports)?;
    let _ = components.caller_memory.set(listener.memory());
    Ok(listener)
}

/// Derives the secret for the salts sent to unknown teams; it must be the same on all instances.
fn salt_secret(password: &str) -> String {
    let digest = Sha256::new()
        .chain_update(b"salt:")
        .chain_update(password)
        .finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn request_ports(settings: &DaemonSettings, components: &Arc<DaemonComponents>) -> RequestPorts {
    let (bundle, admit, confirm, floor) = (
        components.clone(),
        components.clone(),
        components.clone(),
        components.clone(),
    );
    let (limit, record, draining) = (components.clone(), components.clone(), components.clone());
    let unexpected = components.clone();
    let (confirm_limit, floor_limit) = (settings.confirm_timeout, settings.queue_timeout);
    RequestPorts {
        bundle: Box::new(move || bundle.bundle()),
        admit: Box::new(move |request| {
            let components = admit.clone();
            Box::pin(async move { components.admit(request).await })
        }),
        confirm: Box::new(move |service, endpoint, point| {
            let runtime = confirm.services.get(&service);
            Box::pin(async move {
                let runtime = runtime.ok_or(RequestRefusal::OutcomeUnknown)?;
                runtime
                    .watcher
                    .confirm(endpoint, point, confirm_limit)
                    .await
            })
        }),
        floor: Box::new(move |service| {
            let runtime = floor.services.get(&service);
            Box::pin(async move {
                let runtime = runtime.ok_or(RequestRefusal::UnknownService)?;
                runtime.watcher.floor(floor_limit).await
            })
        }),
        connection_limit: Box::new(move |service, endpoint| {
            limit.connection_limit(service, endpoint)
        }),
        record: Box::new(move |outcome| record.record(&outcome)),
        unexpected_answer: Box::new(move |fault| unexpected.metrics.record_unexpected(fault)),
        draining: Box::new(move || draining.is_draining()),
    }
}
