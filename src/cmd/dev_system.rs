//! A complete system in one process on loopback, for trying out the proxy and for the exercise.

use std::fmt;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::time::Duration;

use standins::endpoint::config::EndpointConfig;
use standins::endpoint::handle::EndpointHandle;
use standins::store::config::StoreConfig;
use standins::store::handle::StoreHandle;
use store_wire::CasRequest;
use store_wire::InstanceEntry;
use store_wire::InstanceState;

use crate::process::bundle_submission::BUNDLE_KEY;
use crate::process::daemon::Daemon;
use crate::process::daemon_error::DaemonError;
use crate::process::peers::peer_identity::PeerAuthority;
use crate::process::settings::DaemonSettings;
use crate::process::settings::SettingsError;
use crate::process::settings::load_settings;
use crate::process::store_client::StoreClient;
use crate::process::store_error::StoreError;
use crate::version::bundle_envelope::BundleEnvelope;
use crate::version::bundle_envelope::EnvelopeError;
use crate::version::ids::SignerId;
use crate::version::key_verifier::KeyVerifier;
use crate::version::key_verifier::VerifierError;
use crate::version::secret_text::SecretText;
use crate::version::signer_key::SignerSecret;

/// The service of the sample bundle.
pub const SERVICE: &str = "studio-db";

/// The teams of the sample bundle with their keys, which are valid in this system only.
pub const TEAMS: [(&str, &str); 2] = [
    ("ikoyi-studio", "ikoyi-key"),
    ("ibadan-press", "ibadan-key"),
];

const ZONES: [&str; 3] = ["lagos-a", "lagos-b", "lagos-c"];
const ENDPOINT_COUNT: usize = 3;
/// Number of instances that `dev` starts.
pub const INSTANCE_COUNT: usize = 2;
const ITERATIONS: u32 = 4096;
const SALT: &[u8] = b"tamaracklb dev salt";
const SIGNER: &str = "dev-signer";
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the system did not start.
#[derive(Debug)]
pub enum DevError {
    /// A socket, file or thread could not be created.
    Io(io::Error),
    /// The peer certificates could not be created.
    Certificates(rcgen::Error),
    /// The verifier of a sample key could not be computed.
    Verifier(VerifierError),
    /// The sample bundle could not be signed.
    Envelope(EnvelopeError),
    /// The generated settings have faults.
    Settings(SettingsError),
    /// The sample bundle could not be stored.
    Store(StoreError),
    /// A daemon did not start.
    Daemon(DaemonError),
}

impl fmt::Display for DevError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DevError::Io(error) => write!(f, "cannot set up the system: {error}"),
            DevError::Certificates(error) => write!(f, "cannot create peer certificates: {error}"),
            DevError::Verifier(error) => write!(f, "cannot compute a key verifier: {error}"),
            DevError::Envelope(error) => write!(f, "cannot sign the bundle: {error}"),
            DevError::Settings(error) => write!(f, "{error}"),
            DevError::Store(error) => write!(f, "cannot store the bundle: {error}"),
            DevError::Daemon(error) => write!(f, "cannot start a daemon: {error}"),
        }
    }
}

impl std::error::Error for DevError {}

impl From<io::Error> for DevError {
    fn from(error: io::Error) -> Self {
        DevError::Io(error)
    }
}

/// A running system: a store, three endpoints and a number of daemons.
pub struct DevSystem {
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The endpoints; the first one starts as primary.
    pub endpoints: Vec<EndpointHandle>,
    /// The store.
    pub store: StoreHandle,
    _files: tempfile::TempDir,
}

impl DevSystem {
    /// Starts the system with the given number of instances.
    pub async fn start(instances: usize) -> Result<DevSystem, DevError> {
        let files = tempfile::tempdir()?;
        let store = standins::store::start(&StoreConfig::default())?;
        let endpoints = start_endpoints()?;
        let signer = SignerSecret::from_seed(rand::random());
        store_bundle(store.address(), &sample_bundle(&endpoints)?, &signer).await?;
        let authority = PeerAuthority::generate().map_err(DevError::Certificates)?;
        let peers = free_udp_addresses(instances)?;
        let tcp = free_tcp_addresses(2 * instances)?;
        store.set_instances(instance_entries(&peers));
        let mut daemons = Vec::new();
        for (index, &peer) in peers.iter().enumerate() {
            let plan = InstancePlan {
                index,
                caller: tcp[2 * index],
                peer,
                http: tcp[2 * index + 1],
                store: store.address(),
            };
            let settings = plan.write_settings(files.path().to_owned(), &authority, &signer)?;
            daemons.push(Daemon::start(settings).await.map_err(DevError::Daemon)?);
        }
        Ok(DevSystem {
            daemons,
            endpoints,
            store,
            _files: files,
        })
    }

    /// Drains and stops the daemons one after another.
    pub async fn stop(self) {
        for daemon in self.daemons {
            daemon.drain().await;
        }
    }
}

fn start_endpoints() -> Result<Vec<EndpointHandle>, DevError> {
    let mut endpoints = Vec::new();
    for index in 0..ENDPOINT_COUNT {
        let config = EndpointConfig {
            name: endpoint_name(index),
            primary: index == 0,
            ..EndpointConfig::default()
        };
        endpoints.push(standins::endpoint::start(config)?);
    }
    for endpoint in &endpoints {
        let others = endpoints.iter().map(EndpointHandle::link);
        endpoint.set_peers(others.filter(|link| *link != endpoint.link()).collect());
    }
    Ok(endpoints)
}

fn endpoint_name(index: usize) -> String {
    format!("{SERVICE}-{}", index + 1)
}

fn instance_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn sample_bundle(endpoints: &[EndpointHandle]) -> Result<String, DevError> {
    let mut text = String::from("version: 1\nteams:\n");
    for (team, key) in TEAMS {
        let key = SecretText::new(key.to_owned());
        let verifier = KeyVerifier::generate(&key, SALT, ITERATIONS).map_err(DevError::Verifier)?;
        let id = format!("{team}-1")
            .parse()
            .map_err(|_| io::ErrorKind::InvalidInput);
        let config = verifier.to_config(id.map_err(io::Error::from)?);
        text += &format!("  - id: {team}\n    salt: {}\n", base64_text(SALT));
        text += &format!("    iterations: {ITERATIONS}\n    keys:\n");
        text += &format!(
            "      - id: {}\n        stored_key: {}\n",
            config.id, config.stored_key
        );
        text += &format!("        server_key: {}\n", config.server_key);
        text += "    rate: 100000\n    burst: 100000\n";
    }
    text += &format!("services:\n  - id: {SERVICE}\n    endpoints:\n");
    for (index, endpoint) in endpoints.iter().enumerate() {
        text += &format!("      - id: {}\n", endpoint_name(index));
        text += &format!("        address: {}\n", endpoint.address());
        text += &format!("        zone: {}\n", ZONES[index % ZONES.len()]);
        text += "        slots: 3\n        connections: 50\n";
    }
    text += &format!("    teams: [{}, {}]\n", TEAMS[0].0, TEAMS[1].0);
    text += "    staleness_limit_ms: 2000\n    once_only:\n      - INSERT INTO plate_orders\n";
    text += &format!("objectives:\n  - service: {SERVICE}\n");
    text += "    target: 0.999\n    window_hours: 720\n";
    Ok(text)
}

fn base64_text(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

async fn store_bundle(
    store: SocketAddr,
    text: &str,
    signer: &SignerSecret,
) -> Result<(), DevError> {
    let mut envelope = BundleEnvelope::new(text.to_owned());
    envelope.sign(signer_id()?, signer);
    let value = envelope.to_json().map_err(DevError::Envelope)?;
    let client = StoreClient::start(store, STORE_TIMEOUT)?;
    let request = CasRequest {
        key: BUNDLE_KEY.to_owned(),
        expected_revision: 0,
        value,
        lease: None,
    };
    client
        .compare_and_swap(&request)
        .await
        .map_err(DevError::Store)?;
    Ok(())
}

fn signer_id() -> Result<SignerId, io::Error> {
    SIGNER
        .parse()
        .map_err(|_| io::ErrorKind::InvalidInput.into())
}

fn free_udp_addresses(count: usize) -> Result<Vec<SocketAddr>, io::Error> {
    // All sockets stay open until each has its port, so that no port is assigned twice.
    let sockets = (0..count)
        .map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<Vec<_>, _>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}

fn free_tcp_addresses(count: usize) -> Result<Vec<SocketAddr>, io::Error> {
    let listeners = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<Vec<_>, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

fn instance_entries(peers: &[SocketAddr]) -> Vec<InstanceEntry> {
    let entry = |(index, address): (usize, &SocketAddr)| InstanceEntry {
        id: instance_name(index),
        address: address.to_string(),
        zone: ZONES[index % ZONES.len()].to_owned(),
        state: InstanceState::Live,
    };
    peers.iter().enumerate().map(entry).collect()
}

struct InstancePlan {
    index: usize,
    caller: SocketAddr,
    peer: SocketAddr,
    http: SocketAddr,
    store: SocketAddr,
}

impl InstancePlan {
    /// Writes the certificates and the settings file, then loads and validates the settings.
    fn write_settings(
        &self,
        folder: PathBuf,
        authority: &PeerAuthority,
        signer: &SignerSecret,
    ) -> Result<DaemonSettings, DevError> {
        let name = instance_name(self.index);
        let file = |kind: &str| folder.join(format!("{name}.{kind}"));
        let (chain, key) = authority.issue().map_err(DevError::Certificates)?;
        std::fs::write(file("pem"), chain)?;
        std::fs::write(file("key"), key)?;
        std::fs::write(file("roots"), authority.root_pem())?;
        let text = format!(
            "instance_id: {name}\n\
             availability_zone: {zone}\n\
             caller_address: {caller}\n\
             peer_address: {peer}\n\
             http_address: {http}\n\
             peer_tls_certificate_file: {chain}\n\
             peer_tls_key_file: {key}\n\
             peer_tls_authority_file: {roots}\n\
             store_addresses: [{store}]\n\
             signers:\n  - id: {SIGNER}\n    public_key: {public}\n\
             endpoint_user: instance\n\
             endpoint_password: instance-password\n",
            zone = ZONES[self.index % ZONES.len()],
            caller = self.caller,
            peer = self.peer,
            http = self.http,
            chain = file("pem").display(),
            key = file("key").display(),
            roots = file("roots").display(),
            store = self.store,
            public = signer.public_key(signer_id()?).to_base64(),
        );
        std::fs::write(file("yaml"), text)?;
        load_settings(&file("yaml")).map_err(DevError::Settings)
    }
}
