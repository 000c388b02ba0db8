//! A listener on scripted endpoints with ports that a test can steer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
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

/// The salt of the fixture's team.
pub const SALT: &[u8] = b"fixture salt 123";

const ITERATIONS: u32 = 64;

/// What the ports of a fixture do and saw.
pub struct FixtureState {
    /// The bundle in force.
    pub bundle: Mutex<Arc<BundleConfig>>,
    /// Requests that were admitted or refused, in order.
    pub admitted: Mutex<Vec<AdmissionRequest>>,
    /// Points that were to be confirmed, in order.
    pub confirmed: Mutex<Vec<LogPoint>>,
    /// Records of requests, in order.
    pub records: Mutex<Vec<RequestRecord>>,
    /// The refusal of the next admissions, if any.
    pub refusal: Mutex<Option<RequestRefusal>>,
    /// Whether admissions wait.
    pub queued: AtomicBool,
    /// Whether confirmations fail.
    pub unconfirmed: AtomicBool,
    /// Whether the process drains.
    pub draining: AtomicBool,
    /// Whether the endpoint of every permit is superseded.
    pub superseded: Arc<AtomicBool>,
    /// Permits that are held at present.
    pub held: Arc<AtomicUsize>,
    primary: SocketAddr,
    replica: SocketAddr,
}

/// A listener with a primary and a replica behind it.
pub struct CallerFixture {
    /// The listener.
    pub handle: Option<ListenerHandle>,
    /// Where callers connect to.
    pub address: SocketAddr,
    /// The ports' state.
    pub state: Arc<FixtureState>,
    /// The script of the primary.
    pub primary: Arc<EndpointScript>,
    /// The script of the replica.
    pub replica: Arc<EndpointScript>,
}

/// Builds a bundle with team `folio`, its key `folio-key` and service `studio`.
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
        let excluded = request.excluded.iter().any(|id| id.as_str() == "primary");
        self.admitted.lock().expect("lock").push(request);
        if let Some(refusal) = *self.refusal.lock().expect("lock") {
            return Err(refusal);
        }
        if excluded && !on_replica {
            return Err(RequestRefusal::NoPrimary);
        }
        let (name, address) = if on_replica {
            ("replica", self.replica)
        } else {
            ("primary", self.primary)
        };
        let held = self.held.clone();
        held.fetch_add(1, Ordering::SeqCst);
        let superseded = self.superseded.clone();
        Ok(SlotPermit {
            endpoint: name.parse().expect("id"),
            address,
            primary: !on_replica,
            known_point: LogPoint::new(1, 0),
            superseded: Some(Box::new(move || superseded.load(Ordering::SeqCst))),
            on_release: Some(Box::new(move || {
                held.fetch_sub(1, Ordering::SeqCst);
            })),
        })
    }

    fn ports(self: &Arc<Self>) -> RequestPorts {
        let (bundle, admit, confirm) = (self.clone(), self.clone(), self.clone());
        let (record, draining) = (self.clone(), self.clone());
        RequestPorts {
            bundle: Box::new(move || bundle.bundle.lock().expect("lock").clone()),
            admit: Box::new(move |request| {
                let state = admit.clone();
                Box::pin(async move {
                    while state.queued.load(Ordering::SeqCst) {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                    state.admit(request)
                })
            }),
            confirm: Box::new(move |_, _, point| {
                confirm.confirmed.lock().expect("lock").push(point);
                let failed = confirm.unconfirmed.load(Ordering::SeqCst);
                let outcome = if failed {
                    Err(RequestRefusal::OutcomeUnknown)
                } else {
                    Ok(())
                };
                Box::pin(std::future::ready(outcome))
            }),
            floor: Box::new(|_| Box::pin(std::future::ready(Ok(LogPoint::new(1, 5))))),
            connection_limit: Box::new(|_, _| ConnectionCount(4)),
            record: Box::new(move |found| record.records.lock().expect("lock").push(found)),
            draining: Box::new(move || draining.draining.load(Ordering::SeqCst)),
        }
    }

    /// Changes the bundle in force.
    pub fn change_bundle(&self, change: impl FnOnce(&mut BundleConfig)) {
        let mut bundle = self.bundle.lock().expect("lock");
        let mut changed = (**bundle).clone();
        changed.version.0 += 1;
        change(&mut changed);
        *bundle = Arc::new(changed);
    }

    /// Returns the classes of the admitted requests.
    pub fn classes(&self) -> Vec<RequestClass> {
        let admitted = self.admitted.lock().expect("lock");
        admitted.iter().map(|request| request.class).collect()
    }
}

impl CallerFixture {
    /// Starts with the default limits.
    pub async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    /// Starts with a changed configuration.
    pub async fn start_with(change: impl FnOnce(&mut ListenerConfig)) -> Self {
        let primary = ScriptedEndpoint::start().await;
        let replica = ScriptedEndpoint::start().await;
        replica.script.replica.store(true, Ordering::SeqCst);
        let state = Arc::new(FixtureState {
            bundle: Mutex::new(Arc::new(sample_bundle())),
            admitted: Mutex::default(),
            confirmed: Mutex::default(),
            records: Mutex::default(),
            refusal: Mutex::default(),
            queued: AtomicBool::new(false),
            unconfirmed: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            superseded: Arc::default(),
            held: Arc::default(),
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

    /// Returns the settings of a driver with the team's key.
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

/// Connects with a driver and drives its connection in the background.
pub async fn connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(async move {
        // The client sees the end of the connection by itself.
        let _ = connection.await;
    });
    Ok(client)
}

/// Returns the SQLSTATE of a driver's error.
pub fn sqlstate(error: &tokio_postgres::Error) -> String {
    error
        .code()
        .map_or(String::new(), |code| code.code().to_owned())
}
