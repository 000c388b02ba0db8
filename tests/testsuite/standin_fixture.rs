//! A listener in front of a group of stand-in endpoints, with ports that read their state directly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standins::endpoint::EndpointConfig;
use standins::endpoint::EndpointHandle;
use tamaracklb::connection::listener;
use tamaracklb::connection::listener::ListenerHandle;
use tamaracklb::connection::listener_config::CallerLimits;
use tamaracklb::connection::listener_config::ListenerConfig;
use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::ports::AdmissionRequest;
use tamaracklb::request::ports::RequestClass;
use tamaracklb::request::ports::RequestPorts;
use tamaracklb::request::ports::SlotPermit;
use tamaracklb::request::refusal::RequestRefusal;
use tamaracklb::version::secret_text::SecretText;
use tamaracklb::version::units::ConnectionCount;
use tokio_postgres::Client;

use crate::caller_fixture;

/// The endpoints of one group and the requests admitted to them.
pub struct StandinGroup {
    /// The endpoints; the first starts as the primary.
    pub endpoints: Vec<Mutex<EndpointHandle>>,
    /// Maximum number of connections from the listener to one endpoint.
    pub connections: AtomicU32,
    /// Class of each admitted request and whether it went to a replica.
    pub admitted: Mutex<Vec<(RequestClass, bool)>>,
}

/// A listener in front of a group of stand-in endpoints.
pub struct StandinFixture {
    /// The group.
    pub group: Arc<StandinGroup>,
    /// The listener.
    pub handle: ListenerHandle,
}

fn point(endpoint: &EndpointHandle) -> LogPoint {
    let report = endpoint.report();
    LogPoint::new(report.term, report.position)
}

impl StandinGroup {
    fn start(config: &EndpointConfig) -> Self {
        let endpoints: Vec<EndpointHandle> = (0..3)
            .map(|index| {
                let config = EndpointConfig {
                    name: format!("endpoint-{index}"),
                    primary: index == 0,
                    connect_ms: 0,
                    ..config.clone()
                };
                standins::endpoint::start(config).expect("endpoint")
            })
            .collect();
        let links: Vec<SocketAddr> = endpoints.iter().map(EndpointHandle::link).collect();
        for (index, endpoint) in endpoints.iter().enumerate() {
            let mut peers = links.clone();
            peers.remove(index);
            endpoint.set_peers(peers);
        }
        Self {
            endpoints: endpoints.into_iter().map(Mutex::new).collect(),
            connections: AtomicU32::new(10),
            admitted: Mutex::default(),
        }
    }

    /// Locks and returns the endpoint with an index.
    pub fn endpoint(&self, index: usize) -> MutexGuard<'_, EndpointHandle> {
        self.endpoints[index].lock().expect("lock")
    }

    /// Applies a change to each endpoint from an index to the last.
    pub fn change_from(&self, first: usize, change: impl Fn(&EndpointHandle)) {
        for index in first..self.endpoints.len() {
            change(&self.endpoint(index));
        }
    }

    fn points(&self) -> Vec<LogPoint> {
        let indexes = 0..self.endpoints.len();
        indexes.map(|index| point(&self.endpoint(index))).collect()
    }

    fn admit(&self, request: &AdmissionRequest) -> Result<SlotPermit, RequestRefusal> {
        let usable = |index: usize| {
            let name = format!("endpoint-{index}");
            let endpoint = self.endpoint(index);
            let fresh_enough =
                request.class == RequestClass::StaleRead || point(&endpoint) >= request.floor;
            request.class != RequestClass::Write
                && endpoint.report().role == "replica"
                && fresh_enough
                && !request.excluded.iter().any(|id| id.as_str() == name)
        };
        let mut indexes = 0..self.endpoints.len();
        let replica = indexes.clone().find(|&index| usable(index));
        let primary = indexes.find(|&index| self.endpoint(index).report().role == "primary");
        let chosen = replica.or(primary).ok_or(RequestRefusal::NoPrimary)?;
        let address = self.endpoint(chosen).address();
        let known_point = point(&self.endpoint(chosen));
        let mut admitted = self.admitted.lock().expect("lock");
        admitted.push((request.class, replica.is_some()));
        Ok(SlotPermit {
            endpoint: format!("endpoint-{chosen}").parse().expect("id"),
            address,
            primary: replica.is_none(),
            known_point,
            superseded: None,
            on_release: None,
        })
    }

    /// Returns whether a majority of the endpoints has a point and is not fenced by a later term.
    fn is_confirmed(&self, wanted: LogPoint) -> bool {
        let holders = (0..self.endpoints.len()).filter(|&index| {
            let report = self.endpoint(index).report();
            report.term == wanted.term.0
                && report.position >= wanted.position.0
                && report.fenced_term <= wanted.term.0
        });
        holders.count() > self.endpoints.len() / 2
    }

    async fn confirm(&self, wanted: LogPoint) -> Result<(), RequestRefusal> {
        for _ in 0..1000 {
            if self.is_confirmed(wanted) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Err(RequestRefusal::OutcomeUnknown)
    }

    fn ports(self: &Arc<Self>) -> RequestPorts {
        let (admit, confirm, floor) = (self.clone(), self.clone(), self.clone());
        let limit = self.clone();
        let bundle = Arc::new(caller_fixture::sample_bundle());
        RequestPorts {
            bundle: Box::new(move || bundle.clone()),
            admit: Box::new(move |request| Box::pin(std::future::ready(admit.admit(&request)))),
            confirm: Box::new(move |_, _, point| {
                let group = confirm.clone();
                Box::pin(async move { group.confirm(point).await })
            }),
            floor: Box::new(move |_| {
                let highest = floor.points().into_iter().max();
                Box::pin(std::future::ready(
                    highest.ok_or(RequestRefusal::NoEndpoint),
                ))
            }),
            connection_limit: Box::new(move |_, _| {
                ConnectionCount(limit.connections.load(Ordering::Relaxed))
            }),
            record: Box::new(|_| {}),
            unexpected_answer: Box::new(|_| {}),
            draining: Box::new(|| false),
        }
    }

    /// Returns the fraction of reads that were admitted to a replica.
    pub fn replica_fraction(&self) -> f64 {
        let admitted = self.admitted.lock().expect("lock");
        let reads = admitted
            .iter()
            .filter(|(class, _)| *class != RequestClass::Write);
        let (mut all, mut on_replicas) = (0.0, 0.0);
        for (_, replica) in reads {
            all += 1.0;
            on_replicas += f64::from(u8::from(*replica));
        }
        on_replicas / all
    }
}

impl StandinFixture {
    /// Starts three endpoints and a listener with the default limits.
    pub fn start(config: &EndpointConfig) -> Self {
        Self::start_with(config, CallerLimits::default())
    }

    /// Starts three endpoints and a listener with the given caller limits.
    pub fn start_with(config: &EndpointConfig, limits: CallerLimits) -> Self {
        let group = Arc::new(StandinGroup::start(config));
        let config = ListenerConfig {
            address: "127.0.0.1:0".parse().expect("address"),
            workers: 2,
            tls: None,
            endpoint_user: "instance".to_owned(),
            endpoint_password: SecretText::new("instance-password"),
            salt_secret: SecretText::new("salt secret"),
            limits,
        };
        let handle = listener::serve(config, Arc::new(group.ports())).expect("listener");
        Self { group, handle }
    }

    /// Connects with the team's key.
    pub async fn connect(&self) -> Client {
        let mut config = tokio_postgres::Config::new();
        config.host("127.0.0.1").port(self.handle.address().port());
        config.user("folio").password("folio-key").dbname("studio");
        caller_fixture::connect(&config).await.expect("connect")
    }
}
