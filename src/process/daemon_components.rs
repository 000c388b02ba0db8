//! The components of a daemon and the calls between them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use store_wire::CasRequest;
use tokio::sync::watch;
use tracing::debug;
use tracing::info;

use crate::connection::caller_memory::CallerMemory;
use crate::process::bundle_intake::BundleIntake;
use crate::process::bundle_intake::BundleSource;
use crate::process::burn_report::BurnReport;
use crate::process::daemon_error::DaemonError;
use crate::process::decision_journal::DecisionJournal;
use crate::process::decision_journal::MAX_JOURNAL_ENTRIES;
use crate::process::digest_table::DigestTable;
use crate::process::failover::group_event::GroupEvent;
use crate::process::journal_decision::JournalDecision;
use crate::process::metrics::ProcessMetrics;
use crate::process::peers::fleet_links::FleetLinks;
use crate::process::peers::fleet_links::FleetPorts;
use crate::process::peers::isolation_monitor::StoreEvidence;
use crate::process::peers::membership_view::MemberRecord;
use crate::process::peers::peer_digest::PeerDigest;
use crate::process::peers::peer_mesh::PeerMesh;
use crate::process::peers::peer_message::PeerComponent;
use crate::process::service_runtime::EndpointLogin;
use crate::process::service_table::ServiceTable;
use crate::process::settings::DaemonSettings;
use crate::process::share_driver::SHARE_SHARDS;
use crate::process::share_driver::ShareDriver;
use crate::process::share_driver::ShareEnvelope;
use crate::process::share_driver::SharePorts;
use crate::process::shares::messages::StoreAnswer;
use crate::process::shares::settings::ShareSettings;
use crate::process::shares::table::ShareTable;
use crate::process::slot_driver::SlotEnvelope;
use crate::process::slot_driver::SlotSendFn;
use crate::process::slots::messages::SlotMessage;
use crate::process::slots::rendezvous::spread_order;
use crate::process::store_client::StoreClient;
use crate::process::store_client::SwapOutcome;
use crate::process::timers;
use crate::process::timers::MonotonicTime;
use crate::process::wall_time::WallTime;
use crate::request::ports::AdmissionRequest;
use crate::request::ports::RequestRecord;
use crate::request::ports::SlotPermit;
use crate::request::refusal::RequestRefusal;
use crate::version::bundle::BundleConfig;
use crate::version::bundle_store::BundleStore;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::units::ConnectionCount;

/// Maximum number of peers to which an instance sends heartbeats.
pub const MAX_PEER_LINKS: usize = 15;

const COMPONENT_SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of control connections that one instance opens to an endpoint.
const CONTROL_CONNECTIONS: u32 = 2;

/// The state that the components of a daemon share.
pub struct DaemonComponents {
    /// The journal of decisions.
    pub journal: Arc<DecisionJournal>,
    /// The bundle in force.
    pub bundles: Arc<BundleStore>,
    /// Checks new bundles and puts them in force.
    pub intake: Arc<BundleIntake>,
    /// The communication with peers.
    pub links: Arc<FleetLinks>,
    /// The runtime of each service in the bundle.
    pub services: Arc<ServiceTable>,
    /// The shares of the teams' rates.
    pub shares: Arc<ShareDriver>,
    /// The latest digests of peers.
    pub digests: Arc<DigestTable>,
    /// Whether the daemon is stopping.
    pub draining: Arc<AtomicBool>,
    /// The counts for the burn rates of the objectives.
    pub burn: Arc<BurnReport>,
    /// The metrics.
    pub metrics: Arc<ProcessMetrics>,
    /// The client of the store.
    pub store: StoreClient,
    /// When the process started.
    pub started: MonotonicTime,
    /// Number of transactions that hold a permit.
    pub open_transactions: Arc<AtomicU64>,
    /// Becomes true when an operator requests a graceful stop.
    pub drain_request: watch::Sender<bool>,
    /// The live instances that were last applied to the services.
    live: Mutex<Vec<MemberRecord>>,
    /// The memory of callers' connections, once the listener has started.
    pub caller_memory: OnceLock<Arc<CallerMemory>>,
    /// The QUIC endpoint, once it is open.
    pub mesh: Arc<OnceLock<Arc<PeerMesh>>>,
}

impl DaemonComponents {
    /// Creates the components of a daemon.
    ///
    /// Returns an error if the metrics cannot be registered.
    pub fn new(
        settings: &DaemonSettings,
        own: MemberRecord,
        store: &StoreClient,
    ) -> Result<Self, DaemonError> {
        let incarnation: u64 = rand::random();
        let instance = settings.instance_id.clone();
        let journal = Arc::new(DecisionJournal::new(
            instance.clone(),
            incarnation,
            MAX_JOURNAL_ENTRIES,
        ));
        let bundles = Arc::new(BundleStore::new(
            settings.signers.clone(),
            settings.required_signatures,
        ));
        let intake = Arc::new(new_intake(bundles.clone(), journal.clone()));
        let draining = Arc::new(AtomicBool::new(false));
        let digests = Arc::new(DigestTable::default());
        let mesh = Arc::new(OnceLock::new());
        let links_cell = Arc::new(OnceLock::new());
        let services = Arc::new(new_services(
            settings,
            journal.clone(),
            slot_send(links_cell.clone(), mesh.clone()),
        ));
        let shares = Arc::new(ShareDriver::new(
            &instance,
            ShareSettings::default(),
            rand::random(),
            share_ports(store, links_cell.clone(), mesh.clone()),
        ));
        let ports = fleet_ports(&bundles, &intake, &services, &shares, &digests, &draining);
        let links = Arc::new(FleetLinks::new(own, incarnation, ports));
        let _ = links_cell.set(links.clone());
        let started = timers::now();
        Ok(Self {
            journal,
            bundles,
            intake,
            links,
            services,
            shares,
            digests,
            draining,
            burn: Arc::new(BurnReport::new(instance, started)),
            metrics: Arc::new(ProcessMetrics::new(env!("CARGO_PKG_VERSION"))?),
            store: store.clone(),
            started,
            open_transactions: Arc::new(AtomicU64::new(0)),
            drain_request: watch::Sender::new(false),
            live: Mutex::default(),
            caller_memory: OnceLock::new(),
            mesh,
        })
    }

    /// Returns the bundle in force, or one without teams and services.
    pub fn bundle(&self) -> Arc<BundleConfig> {
        self.bundles
            .config()
            .unwrap_or_else(|| Arc::new(empty_bundle()))
    }

    /// Applies the bundle in force to the services and the shares.
    pub fn apply_bundle(&self) {
        let bundle = self.bundle();
        let live = self.links.view().live(timers::now());
        self.services.set_bundle(&bundle, &live);
        self.shares.set_bundle(&bundle);
    }

    /// Applies the fleet's members and the reports of peers to the components.
    pub fn apply_members(&self) {
        let now = timers::now();
        let (live, known) = {
            let view = self.links.view();
            (view.live(now), view.known())
        };
        self.digests.retain_known(&known);
        self.digests.record(&self.links.digest(), now);
        // Coordinators and watchers depend only on the live instances. Hashing all members for all
        // services is the most expensive control work, so it runs only when these change.
        if self.record_live(&live) {
            self.services.set_live(&live);
        }
        for shard in 0..SHARE_SHARDS {
            self.shares
                .set_members(shard, self.digests.share_members(shard, &live));
        }
        for (service, _) in self.services.all() {
            for (peer, report, at) in self.digests.service_reports(&service, now) {
                self.services.on_report(&peer, &report, at);
            }
        }
    }

    /// Records the live instances and returns whether they differ from those at the last call.
    fn record_live(&self, live: &[MemberRecord]) -> bool {
        let mut last = self.live.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = last.as_slice() != live;
        if changed {
            *last = live.to_vec();
        }
        changed
    }

    /// Admits a request: checks that the instance is not isolated, charges the team's rate, and
    /// acquires a slot of an endpoint, in this order.
    pub async fn admit(&self, request: AdmissionRequest) -> Result<SlotPermit, RequestRefusal> {
        if self.links.evidence() == StoreEvidence::Isolated {
            return Err(RequestRefusal::Isolated);
        }
        if !request.charged {
            self.shares.admit(&request.team, request.wait).await?;
        }
        let mut permit = self.services.acquire_permit(&request).await?;
        let open = self.open_transactions.clone();
        open.fetch_add(1, Ordering::Relaxed);
        let release = permit.on_release.take();
        permit.on_release = Some(Box::new(move || {
            open.fetch_sub(1, Ordering::Relaxed);
            if let Some(release) = release {
                release();
            }
        }));
        Ok(permit)
    }

    /// Counts a request that ended.
    pub fn record(&self, record: &RequestRecord) {
        self.journal.record_request(record);
        self.burn.record_request(record, timers::now());
        self.metrics.record_request(record);
    }

    /// Records which services have a primary, for the time without one in the burn report.
    pub fn record_primaries(&self) {
        let now = timers::now();
        for (service, runtime) in self.services.all() {
            self.burn
                .record_primary(&service, runtime.watcher.primary().is_some(), now);
        }
    }

    /// Returns the number of connections that this instance may open to an endpoint.
    ///
    /// All live instances share the endpoint's connections, and their control connections are
    /// subtracted first. Returns 0 for an endpoint that is not in the bundle.
    pub fn connection_limit(&self, service: &ServiceId, endpoint: &EndpointId) -> ConnectionCount {
        let bundle = self.bundle();
        let config = bundle
            .services
            .iter()
            .filter(|config| config.id == *service)
            .flat_map(|config| &config.endpoints)
            .find(|config| config.id == *endpoint);
        let Some(config) = config else {
            return ConnectionCount(0);
        };
        let live = self.links.view().live(timers::now()).len();
        let live = u32::try_from(live).unwrap_or(u32::MAX).max(1);
        let control = live.saturating_mul(CONTROL_CONNECTIONS);
        let each = config.connections.0.saturating_sub(control) / live;
        // Connections beyond the number of slots would only queue inside the endpoint.
        ConnectionCount(each.clamp(1, config.slots.0.max(1)))
    }

    /// Returns whether the daemon is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

fn empty_bundle() -> BundleConfig {
    BundleConfig {
        version: Default::default(),
        teams: Vec::new(),
        services: Vec::new(),
        objectives: Vec::new(),
    }
}

fn new_intake(bundles: Arc<BundleStore>, journal: Arc<DecisionJournal>) -> BundleIntake {
    let accepted = bundles.clone();
    BundleIntake::new(
        bundles,
        Box::new(move |version, _: BundleSource| {
            let bundle = accepted.accepted();
            let signatures = bundle.iter().flat_map(|bundle| &bundle.envelope.signatures);
            let signers = signatures
                .map(|signature| signature.signer.clone())
                .collect();
            let decision = JournalDecision::BundleAccepted { version, signers };
            journal.append(WallTime::now(), decision, Vec::new());
        }),
    )
}

fn new_services(
    settings: &DaemonSettings,
    journal: Arc<DecisionJournal>,
    send: SlotSendFn,
) -> ServiceTable {
    let login = EndpointLogin {
        user: settings.endpoint_user.clone(),
        password: settings.endpoint_password.clone(),
    };
    let on_event = move |service: &ServiceId, event: GroupEvent| {
        info!("failover: {service}: {event}");
        if let Some(decision) = journal_group_event(service, event) {
            journal.append(WallTime::now(), decision, Vec::new());
        }
    };
    ServiceTable::new(
        settings.instance_id.clone(),
        settings.availability_zone.clone(),
        login,
        Arc::new(on_event),
        send,
    )
}

fn journal_group_event(service: &ServiceId, event: GroupEvent) -> Option<JournalDecision> {
    let service = service.clone();
    match event {
        GroupEvent::Promoted { endpoint, term } => Some(JournalDecision::Promoted {
            service,
            endpoint,
            term,
        }),
        GroupEvent::PrimaryChanged { endpoint, term } => Some(JournalDecision::PrimaryChanged {
            service,
            endpoint,
            term,
        }),
        GroupEvent::PromotionDropped
        | GroupEvent::PromotionPaused
        | GroupEvent::PromotionSuperseded { .. } => Some(JournalDecision::PromotionDropped {
            service,
            reason: event.to_string(),
        }),
        GroupEvent::PromotionPlanned { .. } => None,
    }
}

fn share_ports(
    store: &StoreClient,
    links: Arc<OnceLock<Arc<FleetLinks>>>,
    mesh: Arc<OnceLock<Arc<PeerMesh>>>,
) -> SharePorts {
    let read_store = store.clone();
    let write_store = store.clone();
    SharePorts {
        send: Box::new(move |to, envelope| {
            if let (Some(links), Some(mesh)) = (links.get(), mesh.get()) {
                send_share(links.clone(), mesh.clone(), to, envelope);
            }
        }),
        read: Box::new(move |key| {
            let store = read_store.clone();
            Box::pin(async move { read_table(&store, &key).await })
        }),
        write: Box::new(move |key, expected_revision, table| {
            let store = write_store.clone();
            Box::pin(async move { write_table(&store, key, expected_revision, &table).await })
        }),
    }
}

fn send_share(
    links: Arc<FleetLinks>,
    mesh: Arc<PeerMesh>,
    to: InstanceId,
    envelope: ShareEnvelope,
) {
    tokio::spawn(async move {
        let Ok(payload) = postcard::to_allocvec(&envelope) else {
            return;
        };
        let sent = links
            .call_component(
                &mesh,
                &to,
                PeerComponent::Shares,
                payload,
                COMPONENT_SEND_TIMEOUT,
            )
            .await;
        if let Err(error) = sent {
            debug!("shares: message to {to} was lost: {error}");
        }
    });
}

fn slot_send(
    links: Arc<OnceLock<Arc<FleetLinks>>>,
    mesh: Arc<OnceLock<Arc<PeerMesh>>>,
) -> SlotSendFn {
    Arc::new(move |to, envelope| {
        let (links, mesh) = (links.get().cloned(), mesh.get().cloned());
        Box::pin(async move {
            let (Some(links), Some(mesh)) = (links, mesh) else {
                return Vec::new();
            };
            send_slot(&links, &mesh, &to, &envelope)
                .await
                .unwrap_or_default()
        })
    })
}

async fn send_slot(
    links: &FleetLinks,
    mesh: &PeerMesh,
    to: &InstanceId,
    envelope: &SlotEnvelope,
) -> Option<Vec<SlotMessage>> {
    let payload = postcard::to_allocvec(envelope).ok()?;
    match links
        .call_component(
            mesh,
            to,
            PeerComponent::Slots,
            payload,
            COMPONENT_SEND_TIMEOUT,
        )
        .await
    {
        Ok(reply) => postcard::from_bytes(&reply).ok(),
        Err(error) => {
            debug!("slots: message to {to} was lost: {error}");
            None
        }
    }
}

async fn read_table(store: &StoreClient, key: &str) -> StoreAnswer {
    match store.get(key).await {
        Ok(None) => StoreAnswer::Value(None),
        Ok(Some(entry)) => match serde_json::from_str::<ShareTable>(&entry.value) {
            Ok(table) => StoreAnswer::Value(Some((entry.revision, Box::new(table)))),
            Err(_) => {
                tracing::error!("shares: cannot decode the share table under store key {key}");
                StoreAnswer::Unknown
            }
        },
        Err(_) => StoreAnswer::Unknown,
    }
}

async fn write_table(
    store: &StoreClient,
    key: String,
    expected_revision: u64,
    table: &ShareTable,
) -> StoreAnswer {
    let Ok(value) = serde_json::to_string(table) else {
        return StoreAnswer::Unknown;
    };
    let request = CasRequest {
        key,
        expected_revision,
        value,
        lease: None,
    };
    match store.compare_and_swap(&request).await {
        Ok(SwapOutcome::Written { revision }) => StoreAnswer::Written { revision },
        Ok(SwapOutcome::Conflict { .. }) => StoreAnswer::Conflict,
        Err(_) => StoreAnswer::Unknown,
    }
}

fn fleet_ports(
    bundles: &Arc<BundleStore>,
    intake: &Arc<BundleIntake>,
    services: &Arc<ServiceTable>,
    shares: &Arc<ShareDriver>,
    digests: &Arc<DigestTable>,
    draining: &Arc<AtomicBool>,
) -> FleetPorts {
    let (version_of, text_of) = (bundles.clone(), bundles.clone());
    let intake = intake.clone();
    let (services, slot_services) = (services.clone(), services.clone());
    let (incarnations_of, receiver) = (shares.clone(), shares.clone());
    let digests = digests.clone();
    let draining = draining.clone();
    FleetPorts {
        now: Box::new(timers::now),
        bundle_version: Box::new(move || version_of.version()),
        bundle_text: Box::new(move || {
            text_of
                .accepted()
                .and_then(|bundle| bundle.envelope.to_json().ok())
        }),
        accept_bundle: Box::new(move |text| intake.offer(&text, BundleSource::Peer)),
        services: Box::new(move || services.digests()),
        share_incarnations: Box::new(move || incarnations_of.incarnations()),
        on_digest: Box::new(move |digest: &PeerDigest| digests.record(digest, timers::now())),
        on_component: Box::new(move |component, payload| {
            let receiver = receiver.clone();
            let slots = slot_services.clone();
            Box::pin(async move {
                match component {
                    PeerComponent::Shares => {
                        receiver.on_message(postcard::from_bytes(&payload).ok()?);
                        Some(Vec::new())
                    }
                    PeerComponent::Slots => {
                        let envelope = postcard::from_bytes(&payload).ok()?;
                        postcard::to_allocvec(&slots.on_slot_message(envelope)).ok()
                    }
                }
            })
        }),
        draining: Box::new(move || draining.load(Ordering::Relaxed)),
        choose_peers: Box::new(choose_peers),
    }
}

/// Chooses up to [`MAX_PEER_LINKS`] peers for an instance's heartbeats, spread over the zones.
pub fn choose_peers(own: &MemberRecord, known: &[MemberRecord]) -> Vec<MemberRecord> {
    let members = MemberRecord::rendezvous_members(known);
    let chosen = spread_order(own.instance.as_str(), &members);
    let chosen = &chosen[..chosen.len().min(MAX_PEER_LINKS)];
    known
        .iter()
        .filter(|member| chosen.contains(&member.instance))
        .cloned()
        .collect()
}
