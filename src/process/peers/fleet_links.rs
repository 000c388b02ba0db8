//! Exchanges heartbeats, evidence about the store and newer bundles with peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::BoxFuture;
use tracing::debug;
use tracing::info;

use crate::process::peers::isolation_monitor::IsolationMonitor;
use crate::process::peers::isolation_monitor::StoreEvidence;
use crate::process::peers::membership_view::MemberRecord;
use crate::process::peers::membership_view::MembershipView;
use crate::process::peers::peer_digest::PeerDigest;
use crate::process::peers::peer_digest::ServiceDigest;
use crate::process::peers::peer_error::PeerError;
use crate::process::peers::peer_mesh::PeerMesh;
use crate::process::peers::peer_message::PeerComponent;
use crate::process::peers::peer_message::PeerReply;
use crate::process::peers::peer_message::PeerRequest;
use crate::process::timers::MonotonicTime;
use crate::version::ids::BundleVersion;
use crate::version::ids::InstanceId;

/// Period of the heartbeats to each peer.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
const BUNDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers a message for one component of the process; `None` if it cannot be answered.
pub type ComponentFn =
    Box<dyn Fn(PeerComponent, Vec<u8>) -> BoxFuture<'static, Option<Vec<u8>>> + Send + Sync>;

/// Chooses the peers of an instance among all instances known to it.
pub type ChooseFn = Box<dyn Fn(&MemberRecord, &[MemberRecord]) -> Vec<MemberRecord> + Send + Sync>;

/// The functions of other components that the links call.
pub struct FleetPorts {
    /// Reads the monotonic clock, which also counts suspended time.
    pub now: Box<dyn Fn() -> MonotonicTime + Send + Sync>,
    /// Returns the version of the bundle in force.
    pub bundle_version: Box<dyn Fn() -> BundleVersion + Send + Sync>,
    /// Returns the signed bundle in force, in the form in which it is stored.
    pub bundle_text: Box<dyn Fn() -> Option<String> + Send + Sync>,
    /// Checks a signed bundle and puts it in force if it is newer and valid.
    pub accept_bundle: Box<dyn Fn(String) + Send + Sync>,
    /// Returns the digests of the services that this instance watches.
    pub services: Box<dyn Fn() -> Vec<ServiceDigest> + Send + Sync>,
    /// Returns the incarnation number of this instance in each shard of team rates.
    pub share_incarnations: Box<dyn Fn() -> Vec<u64> + Send + Sync>,
    /// Handles the digest of a peer, received in a heartbeat or in the answer to one.
    pub on_digest: Box<dyn Fn(&PeerDigest) + Send + Sync>,
    /// Answers a message for one component of the process.
    pub on_component: ComponentFn,
    /// Whether the process is stopping.
    pub draining: Box<dyn Fn() -> bool + Send + Sync>,
    /// Chooses, among all known instances, the peers that receive heartbeats.
    pub choose_peers: ChooseFn,
}

/// The links of one instance to its peers.
pub struct FleetLinks {
    ports: FleetPorts,
    incarnation: u64,
    view: Mutex<MembershipView>,
    monitor: Mutex<IsolationMonitor>,
}

impl FleetLinks {
    /// Creates the links of an instance that knows no other instance yet.
    pub fn new(own: MemberRecord, incarnation: u64, ports: FleetPorts) -> Self {
        let monitor = IsolationMonitor::new(own.instance.clone());
        Self {
            ports,
            incarnation,
            view: Mutex::new(MembershipView::new(own)),
            monitor: Mutex::new(monitor),
        }
    }

    /// Returns the view of the fleet's membership.
    pub fn view(&self) -> MutexGuard<'_, MembershipView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the monitor that collects evidence about the store.
    pub fn monitor(&self) -> MutexGuard<'_, IsolationMonitor> {
        self.monitor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the evidence that the bundle in force is up to date.
    pub fn evidence(&self) -> StoreEvidence {
        let bundle = (self.ports.bundle_version)();
        let now = (self.ports.now)();
        self.monitor().evidence(now, bundle)
    }

    /// Returns the digest that is sent to peers.
    pub fn digest(&self) -> PeerDigest {
        let now = (self.ports.now)();
        let store_age = self.monitor().store_age(now);
        let own = self.view().own().clone();
        PeerDigest {
            instance: own.instance,
            zone: own.zone,
            address: own.address,
            incarnation: self.incarnation,
            share_incarnations: (self.ports.share_incarnations)(),
            bundle: (self.ports.bundle_version)(),
            store_age_ms: store_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            draining: (self.ports.draining)(),
            services: (self.ports.services)(),
        }
    }

    /// Answers a request from a peer.
    pub async fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Heartbeat(digest) => {
                self.record_sender(&digest);
                (self.ports.on_digest)(&digest);
                PeerReply::Heartbeat(self.digest())
            }
            PeerRequest::FetchBundle { newer_than } => {
                let newer = (self.ports.bundle_version)() > newer_than;
                PeerReply::Bundle(newer.then(|| (self.ports.bundle_text)()).flatten())
            }
            PeerRequest::Part { part, payload } => {
                match (self.ports.on_component)(part, payload).await {
                    Some(reply) => PeerReply::Part(reply),
                    None => PeerReply::Unavailable,
                }
            }
        }
    }

    /// Adds the sender of a digest to the membership view if it is not known yet.
    fn record_sender(&self, digest: &PeerDigest) {
        let record = MemberRecord {
            instance: digest.instance.clone(),
            zone: digest.zone.clone(),
            address: digest.address,
        };
        let now = (self.ports.now)();
        self.view().record_unlisted(record, now);
    }

    /// Sends a heartbeat to each chosen peer, and fetches the bundle of those that have a newer one.
    pub async fn probe_peers(self: &Arc<Self>, mesh: &Arc<PeerMesh>) {
        let (own, known) = {
            let view = self.view();
            (view.own().clone(), view.known())
        };
        let chosen = (self.ports.choose_peers)(&own, &known);
        self.monitor()
            .set_members(chosen.iter().map(|peer| peer.instance.clone()));
        let probes = chosen.into_iter().map(|peer| {
            let links = self.clone();
            let mesh = mesh.clone();
            async move {
                if let Err(error) = links.probe_peer(&mesh, &peer).await {
                    debug!("peers: probe of {} failed: {error}", peer.instance);
                }
            }
        });
        futures_util::future::join_all(probes).await;
    }

    /// Sends a heartbeat to each address that belongs to no known instance.
    ///
    /// This finds other instances when the process starts during an outage of the store.
    pub async fn probe_seeds(&self, mesh: &PeerMesh, seeds: &[SocketAddr]) {
        let known: Vec<SocketAddr> = self
            .view()
            .known()
            .into_iter()
            .map(|peer| peer.address)
            .collect();
        for &seed in seeds.iter().filter(|seed| !known.contains(seed)) {
            let request = PeerRequest::Heartbeat(self.digest());
            match mesh.call(seed, &request, HEARTBEAT_TIMEOUT).await {
                Ok(PeerReply::Heartbeat(digest)) => self.record_sender(&digest),
                Ok(_) => debug!("peers: seed {seed} did not answer the heartbeat with a digest"),
                Err(error) => debug!("peers: heartbeat to seed {seed} failed: {error}"),
            }
        }
    }

    async fn probe_peer(&self, mesh: &PeerMesh, peer: &MemberRecord) -> Result<(), PeerError> {
        let requested_at = (self.ports.now)();
        let request = PeerRequest::Heartbeat(self.digest());
        let reply = mesh.call(peer.address, &request, HEARTBEAT_TIMEOUT).await?;
        let PeerReply::Heartbeat(digest) = reply else {
            return Err(PeerError::Malformed);
        };
        self.record_digest(&peer.instance, &digest, requested_at);
        if digest.bundle > (self.ports.bundle_version)() {
            self.fetch_bundle(mesh, peer).await?;
        }
        Ok(())
    }

    fn record_digest(&self, peer: &InstanceId, digest: &PeerDigest, requested_at: MonotonicTime) {
        if *peer != digest.instance {
            debug!(
                "peers: instance {} answered at the address listed for {peer}",
                digest.instance
            );
            return;
        }
        let restarted =
            self.view()
                .record_answer(peer, digest.incarnation, digest.draining, requested_at);
        if restarted {
            info!("peers: {peer} has restarted");
        }
        let store_age = digest.store_age_ms.map(Duration::from_millis);
        self.monitor()
            .record_peer(peer.clone(), requested_at, store_age, digest.bundle);
        (self.ports.on_digest)(digest);
    }

    async fn fetch_bundle(&self, mesh: &PeerMesh, peer: &MemberRecord) -> Result<(), PeerError> {
        let newer_than = (self.ports.bundle_version)();
        let request = PeerRequest::FetchBundle { newer_than };
        match mesh.call(peer.address, &request, BUNDLE_TIMEOUT).await? {
            PeerReply::Bundle(Some(text)) => (self.ports.accept_bundle)(text),
            PeerReply::Bundle(None) => {}
            _ => return Err(PeerError::Malformed),
        }
        Ok(())
    }

    /// Sends a message to one component of a peer and returns that component's answer.
    pub async fn call_component(
        &self,
        mesh: &PeerMesh,
        peer: &InstanceId,
        part: PeerComponent,
        payload: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        let address = self.view().address_of(peer);
        let Some(address) = address else {
            return Err(PeerError::UnknownPeer { peer: peer.clone() });
        };
        match mesh
            .call(address, &PeerRequest::Part { part, payload }, timeout)
            .await?
        {
            PeerReply::Part(reply) => Ok(reply),
            PeerReply::Unavailable => Err(PeerError::Unavailable { address }),
            _ => Err(PeerError::Malformed),
        }
    }
}
