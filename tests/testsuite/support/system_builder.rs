//! Starts a store, a group of endpoints and daemons, each as a process of its own.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use standins::endpoint::EndpointConfig;
use standins::store::StoreConfig;
use store_wire::CasRequest;
use store_wire::InstanceEntry;
use store_wire::InstanceState;
use tamaracklb::process::bundle_feed::BUNDLE_KEY;
use tamaracklb::process::peers::peer_identity::PeerAuthority;
use tamaracklb::process::store_client::StoreClient;
use tamaracklb::version::bundle_envelope::BundleEnvelope;
use tamaracklb::version::key_verifier::KeyVerifier;
use tamaracklb::version::secret_text::SecretText;
use tamaracklb::version::signer_key::SignerSecret;
use tempfile::TempDir;

use crate::support::child_process::ChildProcess;
use crate::support::free_ports::free_tcp;
use crate::support::free_ports::free_udp;
use crate::support::running_system::DaemonProcess;
use crate::support::running_system::EndpointProcess;
use crate::support::running_system::RunningSystem;
use crate::support::running_system::StoreProcess;

/// The service of the system.
pub const SERVICE: &str = "studio-db";

const ZONES: [&str; 3] = ["lagos-a", "lagos-b", "lagos-c"];
const SALT: &[u8] = b"test system salt";
const ITERATIONS: u32 = 4096;
const SIGNER: &str = "test-signer";
const SIGNER_SEED: [u8; 32] = [7; 32];
const STORE_TIMEOUT: Duration = Duration::from_secs(10);

/// A team of the system's bundle.
#[derive(Debug, Clone)]
pub struct SystemTeam {
    /// Its id.
    pub id: String,
    /// Its only key.
    pub key: String,
    /// Its rate, in requests per second.
    pub rate: f64,
    /// Its burst, in requests.
    pub burst: f64,
}

/// Says what a system consists of.
#[derive(Debug, Clone)]
pub struct SystemBuilder {
    endpoints: usize,
    daemons: usize,
    endpoint: EndpointConfig,
    store: StoreConfig,
    teams: Vec<SystemTeam>,
}

impl SystemBuilder {
    /// A system of three endpoints, two daemons and one team with a high rate.
    pub fn new() -> Self {
        let team = SystemTeam {
            id: "ikoyi-studio".to_owned(),
            key: "ikoyi-key".to_owned(),
            rate: 5000.0,
            burst: 5000.0,
        };
        Self {
            endpoints: 3,
            daemons: 2,
            endpoint: EndpointConfig::default(),
            store: StoreConfig::default(),
            teams: vec![team],
        }
    }

    /// Sets the number of endpoints; the first starts as primary.
    pub fn endpoints(mut self, count: usize) -> Self {
        self.endpoints = count;
        self
    }

    /// Sets the number of daemons.
    pub fn daemons(mut self, count: usize) -> Self {
        self.daemons = count;
        self
    }

    /// Changes the settings of all endpoints; addresses, names and roles are filled in.
    pub fn endpoint(mut self, change: impl FnOnce(&mut EndpointConfig)) -> Self {
        change(&mut self.endpoint);
        self
    }

    /// Sets the teams.
    pub fn teams(mut self, teams: Vec<SystemTeam>) -> Self {
        self.teams = teams;
        self
    }

    /// Starts the processes and waits until each daemon serves the first team.
    pub async fn start(self) -> RunningSystem {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let peers = free_udp(self.daemons);
        let store = self.start_store(&folder, &peers);
        let endpoints = self.start_endpoints(&folder);
        let system = RunningSystem {
            daemons: Vec::new(),
            endpoints,
            store,
            teams: self.teams.clone(),
            folder,
        };
        system.wait_for_ports().await;
        let bundle = self.bundle_text(&system.endpoints);
        submit(system.store.address, &bundle).await;
        let daemons = self.start_daemons(&system, &peers);
        let system = RunningSystem { daemons, ..system };
        system.wait_for_daemons().await;
        system
    }

    fn start_store(&self, folder: &TempDir, peers: &[SocketAddr]) -> StoreProcess {
        let address = free_tcp(1)[0];
        let entry = |(index, peer): (usize, &SocketAddr)| InstanceEntry {
            id: instance_name(index),
            address: peer.to_string(),
            zone: ZONES[index % ZONES.len()].to_owned(),
            state: InstanceState::Live,
        };
        let config = StoreConfig {
            listen: address,
            instances: peers.iter().enumerate().map(entry).collect(),
            ..self.store.clone()
        };
        let program = env!("CARGO_BIN_EXE_standin-store");
        let process = start_json(program, &config, &folder.path().join("store.log"));
        StoreProcess { address, process }
    }

    fn start_endpoints(&self, folder: &TempDir) -> Vec<EndpointProcess> {
        let ports = free_tcp(3 * self.endpoints);
        let (clients, rest) = ports.split_at(self.endpoints);
        let (links, admins) = rest.split_at(self.endpoints);
        let start = |index: usize| {
            let others = links.iter().filter(|link| **link != links[index]);
            let name = endpoint_name(index);
            let log = folder.path().join(format!("{name}.log"));
            let config = EndpointConfig {
                name,
                listen: clients[index],
                link: links[index],
                admin: Some(admins[index]),
                peers: others.copied().collect(),
                primary: index == 0,
                ..self.endpoint.clone()
            };
            EndpointProcess {
                address: clients[index],
                admin: admins[index],
                process: start_json(env!("CARGO_BIN_EXE_standin-endpoint"), &config, &log),
            }
        };
        (0..self.endpoints).map(start).collect()
    }

    fn start_daemons(&self, system: &RunningSystem, peers: &[SocketAddr]) -> Vec<DaemonProcess> {
        let authority = PeerAuthority::generate().expect("certificates can be made");
        let ports = free_tcp(2 * self.daemons);
        let (callers, https) = ports.split_at(self.daemons);
        let start = |index: usize| {
            let name = instance_name(index);
            let file = |kind: &str| system.folder.path().join(format!("{name}.{kind}"));
            let (chain, key) = authority.issue().expect("certificates can be made");
            write_file(&file("pem"), &chain);
            write_file(&file("key"), &key);
            write_file(&file("roots"), &authority.root_pem());
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
                 signers: [{{id: {SIGNER}, public_key: {public}}}]\n\
                 endpoint_user: {user}\n\
                 endpoint_password: {password}\n",
                zone = ZONES[index % ZONES.len()],
                caller = callers[index],
                peer = peers[index],
                http = https[index],
                chain = file("pem").display(),
                key = file("key").display(),
                roots = file("roots").display(),
                store = system.store.address,
                public = signer().public_key(SIGNER.parse().unwrap()).to_base64(),
                user = self.endpoint.user,
                password = self.endpoint.password,
            );
            write_file(&file("yaml"), &text);
            let settings = file("yaml").display().to_string();
            let program = env!("CARGO_BIN_EXE_tamaracklbd");
            let arguments = ["--settings", &settings];
            DaemonProcess {
                address: callers[index],
                process: ChildProcess::start(program, &arguments, &file("log")),
            }
        };
        (0..self.daemons).map(start).collect()
    }

    fn bundle_text(&self, endpoints: &[EndpointProcess]) -> String {
        let mut text = String::from("version: 1\nteams:\n");
        for team in &self.teams {
            let key = SecretText::new(team.key.clone());
            let verifier = KeyVerifier::generate(&key, SALT, ITERATIONS).unwrap();
            let config = verifier.to_config(format!("{}-1", team.id).parse().unwrap());
            text += &format!(
                "  - id: {}\n    salt: {}\n    iterations: {ITERATIONS}\n    keys:\n      \
                 - id: {}\n        stored_key: {}\n        server_key: {}\n    \
                 rate: {}\n    burst: {}\n",
                team.id,
                STANDARD.encode(SALT),
                config.id,
                config.stored_key,
                config.server_key,
                team.rate,
                team.burst,
            );
        }
        text += &format!("services:\n  - id: {SERVICE}\n    endpoints:\n");
        for (index, endpoint) in endpoints.iter().enumerate() {
            text += &format!(
                "      - id: {}\n        address: {}\n        zone: {}\n        \
                 slots: {}\n        connections: {}\n",
                endpoint_name(index),
                endpoint.address,
                ZONES[index % ZONES.len()],
                self.endpoint.slots,
                self.endpoint.connections,
            );
        }
        let teams: Vec<&str> = self.teams.iter().map(|team| team.id.as_str()).collect();
        text += &format!("    teams: [{}]\n", teams.join(", "));
        text + "    staleness_limit_ms: 2000\n"
    }
}

async fn submit(store: SocketAddr, bundle: &str) {
    let mut envelope = BundleEnvelope::new(bundle.to_owned());
    envelope.sign(SIGNER.parse().unwrap(), &signer());
    let client = StoreClient::start(store, STORE_TIMEOUT).unwrap();
    let request = CasRequest {
        key: BUNDLE_KEY.to_owned(),
        expected_revision: 0,
        value: envelope.to_json().unwrap(),
        lease: None,
    };
    client.compare_and_swap(&request).await.unwrap();
}

fn start_json<T: serde::Serialize>(program: &str, config: &T, log: &Path) -> ChildProcess {
    let json = serde_json::to_string(config).expect("settings have a JSON form");
    ChildProcess::start(program, &["--json", &json], log)
}

fn signer() -> SignerSecret {
    SignerSecret::from_seed(SIGNER_SEED)
}

fn endpoint_name(index: usize) -> String {
    format!("{SERVICE}-{}", index + 1)
}

fn instance_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn write_file(path: &Path, text: &str) {
    std::fs::write(path, text).expect("the file can be written");
}
