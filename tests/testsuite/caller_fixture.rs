//! A listener in front of scripted endpoints, with request ports that a test controls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use session_core::answer_check::AnswerFault;
use tamaracklb::connection::listener;
use tamaracklb::connection::listener::ListenerHandle;
use tamaracklb::connection::listener_config::CallerLimits;
use tamaracklb::connection::listener_config::ListenerConfig;
use tamaracklb::connection::scram;
use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::ports::AdmissionRequest;
use tamaracklb::request::ports::RequestClass;
use tamaracklb::request::ports::RequestPorts;
use tamaracklb::request::ports::RequestRecord;
use tamaracklb::request::ports::SlotPermit;
use tamaracklb::request::refusal::RequestRefusal;
use tamaracklb::version::bundle::BundleConfig;
use tamaracklb::version::bundle::ServiceConfig;
use tamaracklb::version::bundle::TeamConfig;
use tamaracklb::version::ids::BundleVersion;
use tamaracklb::version::secret_text::SecretText;
use tamaracklb::version::units::ConnectionCount;
use tamaracklb::version::units::RequestBurst;
use tamaracklb::version::units::RequestRate;
use tamaracklb::version::units::TeamWeight;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::NoTls;

use crate::scripted_endpoint::EndpointScript;
use crate::scripted_endpoint::ScriptedEndpoint;

/// Salt of the keys of the sample bundle's team.
pub const SALT: &[u8] = b"fixture salt 123";

const ITERATIONS: u32 = 64;

/// Settings of a fixture's request ports and the calls that they recorded.
pub struct FixtureState {
    /// The bundle in force.
    pub bundle: Mutex<Arc<BundleConfig>>,
    /// Admission requests in order, whether admitted or refused.
    pub admission_requests: Mutex<Vec<AdmissionRequest>>,
    /// Log points whose confirmation was requested, in order.
    pub confirmed: Mutex<Vec<LogPoint>>,
    /// Records of finished requests, in order.
    pub records: Mutex<Vec<RequestRecord>>,
    /// Faults of answers that did not belong to the awaited statement, in order.
    pub unexpected: Mutex<Vec<AnswerFault>>,
    /// Refusal that admissions return while it is set.
    pub refusal: Mutex<Option<RequestRefusal>>,
    /// Whether admissions wait until this is cleared.
    pub admissions_blocked: AtomicBool,
    /// Whether confirmations fail.
    pub confirmations_fail: AtomicBool,
    /// Whether the process reports that it is draining.
    pub draining: AtomicBool,
    /// Whether every permit reports its endpoint as superseded.
    pub superseded: Arc<AtomicBool>,
    /// Number of permits that are currently held.
    pub held_permits: Arc<AtomicUsize>,
    primary: SocketAddr,
    replica: SocketAddr,
}

/// A listener in front of a scripted primary and a scripted replica.
pub struct CallerFixture {
    /// The listener, or `None` once a test has stopped it.
    pub handle: Option<ListenerHandle>,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// State of the request ports.
    pub state: Arc<FixtureState>,
    /// Behavior of the primary, and what it received.
    pub primary: Arc<EndpointScript>,
    /// Behavior of the replica, and what it received.
    pub replica: Arc<EndpointScript>,
}

/// Returns a bundle with team `folio`, its key `folio-key` and service `studio`.
pub fn sample_bundle() -> BundleConfig {
    let id = "main".parse().expect("id");
    BundleConfig {
        version: BundleVersion(1),
        teams: vec![TeamConfig {
            id: "folio".parse().expect("id"),
            salt: STANDARD.encode(SALT),
            iterations: ITERATIONS,
            keys: vec![scram::create_verifier(id, "folio-key", SALT, ITERATIONS)],
            rate: RequestRate(100.0),
            burst: RequestBurst(100.0),
            weight: TeamWeight(1.0),
        }],
        services: vec![ServiceConfig {
            id: "studio".parse().expect("id"),
            endpoints: Vec::new(),
            teams: vec!["folio".parse().expect("id")],
            open_as: None,
            staleness_limit_ms: None,
            once_only: vec!["INSERT INTO bookings".to_owned()],
        }],
        objectives: Vec::new(),
    }
}

impl FixtureState {
    fn admit(&self, request: AdmissionRequest) -> Result<SlotPermit, RequestRefusal> {
        let on_replica = request.class != RequestClass::Write
            && !request.excluded.iter().any(|id| id.as_str() == "replica");
        let primary_excluded = request.excluded.iter().any(|id| id.as_str() == "primary");
        self.admission_requests.lock().expect("lock").push(request);
        if let Some(refusal) = *self.refusal.lock().expect("lock") {
            return Err(refusal);
        }
        if primary_excluded && !on_replica {
            return Err(RequestRefusal::NoPrimary);
        }
        let (name, address) = if on_replica {
            ("replica", self.replica)
        } else {
            ("primary", self.primary)
        };
        let held_permits = self.held_permits.clone();
        held_permits.fetch_add(1, Ordering::SeqCst);
        let superseded = self.superseded.clone();
        Ok(SlotPermit {
            endpoint: name.parse().expect("id"),
            address,
            primary: !on_replica,
            known_point: LogPoint::new(1, 0),
            superseded: Some(Box::new(move || superseded.load(Ordering::SeqCst))),
            on_release: Some(Box::new(move || {
                held_permits.fetch_sub(1, Ordering::SeqCst);
            })),
        })
    }

    fn ports(self: &Arc<Self>) -> RequestPorts {
        let (bundle_state, admit_state, confirm_state) = (self.clone(), self.clone(), self.clone());
        let (record_state, drain_state) = (self.clone(), self.clone());
        let unexpected_state = self.clone();
        RequestPorts {
            bundle: Box::new(move || bundle_state.bundle.lock().expect("lock").clone()),
            admit: Box::new(move |request| {
                let state = admit_state.clone();
                Box::pin(async move {
                    while state.admissions_blocked.load(Ordering::SeqCst) {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                    state.admit(request)
                })
            }),
            confirm: Box::new(move |_, _, point| {
                confirm_state.confirmed.lock().expect("lock").push(point);
                let fails = confirm_state.confirmations_fail.load(Ordering::SeqCst);
                let outcome = if fails {
                    Err(RequestRefusal::OutcomeUnknown)
                } else {
                    Ok(())
                };
                Box::pin(std::future::ready(outcome))
            }),
            floor: Box::new(|_| Box::pin(std::future::ready(Ok(LogPoint::new(1, 5))))),
            connection_limit: Box::new(|_, _| ConnectionCount(4)),
            record: Box::new(move |record| record_state.records.lock().expect("lock").push(record)),
            unexpected_answer: Box::new(move |fault| {
                unexpected_state
                    .unexpected
                    .lock()
                    .expect("lock")
                    .push(fault);
            }),
            draining: Box::new(move || drain_state.draining.load(Ordering::SeqCst)),
        }
    }

    /// Changes the bundle in force and increments its version.
    pub fn change_bundle(&self, change: impl FnOnce(&mut BundleConfig)) {
        let mut bundle = self.bundle.lock().expect("lock");
        let mut next_bundle = (**bundle).clone();
        next_bundle.version.0 += 1;
        change(&mut next_bundle);
        *bundle = Arc::new(next_bundle);
    }

    /// Returns the request class of each admission request, in order.
    pub fn classes(&self) -> Vec<RequestClass> {
        let requests = self.admission_requests.lock().expect("lock");
        requests.iter().map(|request| request.class).collect()
    }
}

impl CallerFixture {
    /// Starts the fixture with the default limits.
    pub async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    /// Starts the fixture after applying a change to the listener's configuration.
    pub async fn start_with(change: impl FnOnce(&mut ListenerConfig)) -> Self {
        let primary = ScriptedEndpoint::start().await;
        let replica = ScriptedEndpoint::start().await;
        replica.script.replica.store(true, Ordering::SeqCst);
        let state = Arc::new(FixtureState {
            bundle: Mutex::new(Arc::new(sample_bundle())),
            admission_requests: Mutex::default(),
            confirmed: Mutex::default(),
            records: Mutex::default(),
            unexpected: Mutex::default(),
            refusal: Mutex::default(),
            admissions_blocked: AtomicBool::new(false),
            confirmations_fail: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            superseded: Arc::default(),
            held_permits: Arc::default(),
            primary: primary.address,
            replica: replica.address,
        });
        let mut config = ListenerConfig {
            address: "127.0.0.1:0".parse().expect("address"),
            workers: 2,
            tls: None,
            endpoint_user: "instance".to_owned(),
            endpoint_password: SecretText::new("instance-password"),
            salt_secret: SecretText::new("salt secret"),
            limits: CallerLimits {
                drain_timeout: Duration::from_millis(500),
                ..CallerLimits::default()
            },
        };
        change(&mut config);
        let handle = listener::serve(config, Arc::new(state.ports())).expect("listener");
        Self {
            address: handle.address(),
            handle: Some(handle),
            state,
            primary: primary.script,
            replica: replica.script,
        }
    }

    /// Returns a driver's configuration with the team's key.
    pub fn driver(&self) -> Config {
        let mut config = Config::new();
        config
            .host("127.0.0.1")
            .port(self.address.port())
            .user("folio")
            .password("folio-key")
            .dbname("studio");
        config
    }

    /// Connects with the team's key.
    pub async fn connect(&self) -> Client {
        connect(&self.driver()).await.expect("connect")
    }
}

/// Connects with a driver and runs its connection in a background task.
pub async fn connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(async move {
        // The client reports the end of the connection as well.
        let _ = connection.await;
    });
    Ok(client)
}

/// Returns the SQLSTATE of a driver's error, or an empty string if it has none.
pub fn sqlstate(error: &tokio_postgres::Error) -> String {
    error
        .code()
        .map_or(String::new(), |code| code.code().to_owned())
}
