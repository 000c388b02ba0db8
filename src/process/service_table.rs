//! The services of the bundle in force, and the admission of requests to them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;

use crate::process::failover::failure_evidence::WatcherReport;
use crate::process::failover::group_controller::WatchSettings;
use crate::process::failover::group_event::GroupEvent;
use crate::process::peers::membership_view::MemberRecord;
use crate::process::peers::peer_digest::ServiceDigest;
use crate::process::service_runtime::EndpointLogin;
use crate::process::service_runtime::ServiceRuntime;
use crate::process::slot_driver::HeldSlot;
use crate::process::slot_driver::SlotEnvelope;
use crate::process::slot_driver::SlotSendFn;
use crate::process::slots::messages::PermitQuery;
use crate::process::slots::messages::SlotClass;
use crate::process::slots::messages::SlotMessage;
use crate::process::slots::rendezvous::spread_order;
use crate::process::timers;
use crate::process::timers::MonotonicTime;
use crate::request::ports::AdmissionRequest;
use crate::request::ports::SlotPermit;
use crate::request::read_route::RouteCandidate;
use crate::request::read_route::RouteQuery;
use crate::request::read_route::choose_endpoint;
use crate::request::refusal::RequestRefusal;
use crate::version::bundle::BundleConfig;
use crate::version::ids::InstanceId;
use crate::version::ids::ServiceId;
use crate::version::ids::ZoneId;

/// Number of instances that watch a group for failures of its primary.
pub const GROUP_WATCHERS: usize = 5;

/// Waiting time for a slot after which the choice of the endpoint is checked again.
const RECHECK_AFTER: Duration = Duration::from_millis(50);

const ROUTE_RETRY: Duration = Duration::from_millis(20);

/// Called with each event of a service's group.
pub type ServiceEventFn = Arc<dyn Fn(&ServiceId, GroupEvent) + Send + Sync>;

/// The services of one instance.
pub struct ServiceTable {
    instance: InstanceId,
    zone: ZoneId,
    login: EndpointLogin,
    on_event: ServiceEventFn,
    send: SlotSendFn,
    services: RwLock<HashMap<ServiceId, Arc<ServiceRuntime>>>,
}

impl ServiceTable {
    /// Creates a table without services.
    pub fn new(
        instance: InstanceId,
        zone: ZoneId,
        login: EndpointLogin,
        on_event: ServiceEventFn,
        send: SlotSendFn,
    ) -> Self {
        Self {
            instance,
            zone,
            login,
            on_event,
            send,
            services: RwLock::default(),
        }
    }

    /// Applies the services of a newer bundle.
    pub fn set_bundle(&self, config: &BundleConfig, live: &[MemberRecord]) {
        let mut services = self.services.write().unwrap_or_else(|e| e.into_inner());
        services.retain(|id, _| config.services.iter().any(|service| service.id == *id));
        for service in &config.services {
            match services.get(&service.id) {
                Some(runtime) => runtime.set_config(service, &config.teams),
                None => {
                    let on_event = self.on_event.clone();
                    let id = service.id.clone();
                    let runtime = ServiceRuntime::new(
                        service,
                        &config.teams,
                        self.login.clone(),
                        self.watch_settings(&service.id, live),
                        Box::new(move |event| on_event(&id, event)),
                        self.send.clone(),
                    );
                    runtime
                        .slots
                        .set_live(&MemberRecord::rendezvous_members(live));
                    services.insert(service.id.clone(), Arc::new(runtime));
                }
            }
        }
    }

    /// Sets the live instances, which determine each group's watchers and slot coordinator.
    pub fn set_live(&self, live: &[MemberRecord]) {
        for (id, runtime) in self.all() {
            runtime.watcher.set_watchers(self.watch_settings(&id, live));
            runtime
                .slots
                .set_live(&MemberRecord::rendezvous_members(live));
        }
    }

    fn watch_settings(&self, service: &ServiceId, live: &[MemberRecord]) -> WatchSettings {
        let members = MemberRecord::rendezvous_members(live);
        let mut watchers = spread_order(service.as_str(), &members);
        watchers.truncate(GROUP_WATCHERS);
        WatchSettings {
            instance: self.instance.clone(),
            proposes_first: watchers.first() == Some(&self.instance),
            watchers,
        }
    }

    /// Runs the due work of each group's watcher and slots.
    pub fn tick(&self) {
        for (_, runtime) in self.all() {
            runtime.watcher.tick();
            runtime.slots.tick();
        }
    }

    /// Returns this instance's view of the services, for its heartbeat.
    pub fn digests(&self) -> Vec<ServiceDigest> {
        let now = timers::now();
        let digest_of = |(service, runtime): (ServiceId, Arc<ServiceRuntime>)| {
            let report = runtime.watcher.primary_report(now);
            let failing = report
                .as_ref()
                .map_or(Duration::ZERO, |(_, failing)| *failing);
            ServiceDigest {
                service,
                primary: report.map(|(endpoint, _)| endpoint),
                point: runtime.watcher.highest_point(),
                unreachable_ms: u64::try_from(failing.as_millis()).unwrap_or(u64::MAX),
            }
        };
        self.all().into_iter().map(digest_of).collect()
    }

    /// Records a peer's view of a service.
    pub fn on_report(&self, peer: &InstanceId, digest: &ServiceDigest, received_at: MonotonicTime) {
        let Some(runtime) = self.get(&digest.service) else {
            return;
        };
        let Some(primary) = digest.primary.clone() else {
            return;
        };
        runtime.watcher.on_report(WatcherReport {
            instance: peer.clone(),
            primary,
            unreachable_for: Duration::from_millis(digest.unreachable_ms),
            received_at,
        });
    }

    /// Returns the runtime of a service.
    pub fn get(&self, service: &ServiceId) -> Option<Arc<ServiceRuntime>> {
        self.services
            .read()
            .unwrap_or_else(|e| e.into_inner())
            .get(service)
            .cloned()
    }

    /// Returns the runtimes of all services.
    pub fn all(&self) -> Vec<(ServiceId, Arc<ServiceRuntime>)> {
        let services = self.services.read().unwrap_or_else(|e| e.into_inner());
        services
            .iter()
            .map(|(id, runtime)| (id.clone(), runtime.clone()))
            .collect()
    }

    /// Handles a slot message of another instance and returns the messages for that instance.
    pub fn on_slot_message(&self, envelope: SlotEnvelope) -> Vec<SlotMessage> {
        match self.get(&envelope.service) {
            Some(runtime) => runtime.slots.on_envelope(envelope),
            None => Vec::new(),
        }
    }

    /// Chooses endpoints for a request and waits for a slot of one of them.
    ///
    /// Also waits while no endpoint is eligible, as during a failover. Returns a refusal if the
    /// service is unknown, the slot queue refuses the request, or its wait ends first.
    pub async fn acquire_permit(
        &self,
        request: &AdmissionRequest,
    ) -> Result<SlotPermit, RequestRefusal> {
        let deadline = timers::now() + request.wait;
        let runtime = self
            .get(&request.service)
            .ok_or(RequestRefusal::UnknownService)?;
        loop {
            let left = deadline.saturating_since(timers::now());
            let eligible = match self.eligible(&runtime, request) {
                Ok(eligible) => eligible,
                Err(refusal) if left.is_zero() => return Err(refusal),
                Err(_) => {
                    tokio::time::sleep(ROUTE_RETRY.min(left)).await;
                    continue;
                }
            };
            let permit_query = PermitQuery {
                team: request.team.clone(),
                class: SlotClass::from(request.class),
                eligible: eligible
                    .iter()
                    .map(|candidate| candidate.endpoint.clone())
                    .collect(),
                wait_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            };
            let requested_at = timers::now();
            let slot = runtime.slots.acquire(permit_query).await?;
            // During a long wait, the primary may have changed since the request was queued.
            let outdated = timers::now().saturating_since(requested_at) > RECHECK_AFTER;
            let current = match outdated {
                true => self.eligible(&runtime, request).unwrap_or_default(),
                false => eligible,
            };
            let granted = current.into_iter().find(|c| c.endpoint == *slot.endpoint());
            if let Some(candidate) = granted {
                return new_permit(&runtime, candidate, slot);
            }
        }
    }

    /// Returns the endpoints that may serve a request, the preferred one first.
    ///
    /// The primary serves reads only if no replica can, which keeps its slots free for writes.
    fn eligible(
        &self,
        runtime: &ServiceRuntime,
        request: &AdmissionRequest,
    ) -> Result<Vec<RouteCandidate>, RequestRefusal> {
        let candidates = runtime
            .watcher
            .candidates(|endpoint| runtime.slots.load_of(endpoint));
        let limit = runtime.config().staleness_limit_ms;
        let mut excluded = request.excluded.clone();
        let mut eligible: Vec<RouteCandidate> = Vec::new();
        loop {
            let route = RouteQuery {
                class: request.class,
                floor: request.floor,
                staleness_limit: limit.map(|limit| Duration::from_millis(limit.0)),
                zone: &self.zone,
                excluded: &excluded,
                seed: rand::random(),
            };
            let chosen = match choose_endpoint(&candidates, &route) {
                Ok(index) => &candidates[index],
                Err(refusal) if eligible.is_empty() => return Err(refusal),
                Err(_) => return Ok(eligible),
            };
            if chosen.primary && !eligible.is_empty() {
                return Ok(eligible);
            }
            excluded.push(chosen.endpoint.clone());
            eligible.push(chosen.clone());
        }
    }
}

fn new_permit(
    runtime: &Arc<ServiceRuntime>,
    candidate: RouteCandidate,
    slot: HeldSlot,
) -> Result<SlotPermit, RequestRefusal> {
    let endpoint = candidate.endpoint;
    let address = runtime
        .address_of(&endpoint)
        .ok_or(RequestRefusal::NoEndpoint)?;
    let watcher = runtime.watcher.clone();
    let used = endpoint.clone();
    let superseded = move || watcher.primary().is_some_and(|primary| primary != used);
    Ok(SlotPermit {
        endpoint,
        address,
        primary: candidate.primary,
        known_point: candidate.point,
        superseded: candidate
            .primary
            .then(|| Box::new(superseded) as Box<dyn Fn() -> bool + Send>),
        on_release: Some(Box::new(move || drop(slot))),
    })
}
