//! Starts a store, a group of endpoints and daemons, each in a separate process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;

use standins::endpoint::EndpointConfig;
use standins::free_ports::free_tcp;
use standins::free_ports::free_udp;
use standins::store::StoreConfig;
use store_wire::InstanceEntry;
use store_wire::InstanceState;
use tamaracklb::process::peers::peer_identity::PeerAuthority;
use tempfile::TempDir;

use crate::support::bundle_text::BundleText;
use crate::support::bundle_text::EndpointText;
use crate::support::bundle_text::SERVICE;
use crate::support::bundle_text::SIGNER;
use crate::support::bundle_text::SystemTeam;
use crate::support::bundle_text::signer;
use crate::support::child_process::ChildProcess;
use crate::support::running_system::DaemonProcess;
use crate::support::running_system::EndpointProcess;
use crate::support::running_system::RunningSystem;
use crate::support::running_system::StoreProcess;

const ZONES: [&str; 3] = ["lagos-a", "lagos-b", "lagos-c"];

/// The number of processes in a test system, and their settings.
#[derive(Debug, Clone)]
pub struct SystemBuilder {
    endpoints: usize,
    daemons: usize,
    endpoint: EndpointConfig,
    store: StoreConfig,
    teams: Vec<SystemTeam>,
    daemons_without_store: Vec<usize>,
}

impl SystemBuilder {
    /// Returns a builder for a system of three endpoints, two daemons and one team with a high
    /// rate.
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
            daemons_without_store: Vec::new(),
        }
    }

    /// Sets the number of endpoints; the first one starts as the primary.
    pub fn endpoints(mut self, count: usize) -> Self {
        self.endpoints = count;
        self
    }

    /// Sets the number of daemons.
    pub fn daemons(mut self, count: usize) -> Self {
        self.daemons = count;
        self
    }

    /// Changes the settings of all endpoints, except addresses, names and roles, which `start`
    /// sets.
    pub fn endpoint(mut self, change: impl FnOnce(&mut EndpointConfig)) -> Self {
        change(&mut self.endpoint);
        self
    }

    /// Sets the teams.
    pub fn teams(mut self, teams: Vec<SystemTeam>) -> Self {
        self.teams = teams;
        self
    }

    /// Gives a daemon a store address at which no store listens.
    pub fn daemon_without_store(mut self, daemon: usize) -> Self {
        self.daemons_without_store.push(daemon);
        self
    }

    /// Starts the processes and waits until each daemon serves the first team.
    pub async fn start(self) -> RunningSystem {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let peers = free_udp(self.daemons);
        let store = self.start_store(&folder, &peers).await;
        let endpoints = self.start_endpoints(&folder).await;
        let endpoint_addresses = endpoints
            .iter()
            .map(|endpoint| endpoint.address)
            .collect::<Vec<_>>();
        let system = RunningSystem {
            daemons: Vec::new(),
            endpoints,
            store,
            teams: self.teams.clone(),
            bundle: self.bundle(&endpoint_addresses),
            folder,
        };
        system
            .submit(&system.bundle)
            .await
            .expect("the first bundle is stored");
        let daemons = self.start_daemons(&system, &peers);
        let system = RunningSystem { daemons, ..system };
        system.wait_for_daemons().await;
        system
    }

    fn bundle(&self, endpoints: &[SocketAddr]) -> BundleText {
        let endpoint = |(index, address): (usize, &SocketAddr)| EndpointText {
            id: endpoint_name(index),
            address: *address,
            zone: ZONES[index % ZONES.len()].to_owned(),
            slots: self.endpoint.slots,
            connections: self.endpoint.connections,
            leaving: false,
        };
        BundleText {
            version: 1,
            teams: self.teams.clone(),
            endpoints: endpoints.iter().enumerate().map(endpoint).collect(),
        }
    }

    async fn start_store(&self, folder: &TempDir, peers: &[SocketAddr]) -> StoreProcess {
        let entry = |(index, peer): (usize, &SocketAddr)| InstanceEntry {
            id: instance_name(index),
            address: peer.to_string(),
            zone: ZONES[index % ZONES.len()].to_owned(),
            state: InstanceState::Live,
        };
        let config = StoreConfig {
            instances: peers.iter().enumerate().map(entry).collect(),
            ..self.store.clone()
        };
        let program = env!("CARGO_BIN_EXE_standin-store");
        let log = folder.path().join("store.log");
        let (process, addresses) = ChildProcess::start_standin(program, &config, &log).await;
        StoreProcess {
            address: addresses[0],
            process,
        }
    }

    async fn start_endpoints(&self, folder: &TempDir) -> Vec<EndpointProcess> {
        let (mut endpoints, mut links) = (Vec::new(), Vec::new());
        for index in 0..self.endpoints {
            let name = endpoint_name(index);
            let log = folder.path().join(format!("{name}.log"));
            let config = EndpointConfig {
                name,
                admin: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
                primary: index == 0,
                ..self.endpoint.clone()
            };
            let program = env!("CARGO_BIN_EXE_standin-endpoint");
            let (process, addresses) = ChildProcess::start_standin(program, &config, &log).await;
            let [address, link, admin] = addresses[..] else {
                panic!("the endpoint printed {addresses:?}");
            };
            links.push(link);
            endpoints.push(EndpointProcess {
                address,
                admin,
                process,
            });
        }
        for (index, endpoint) in endpoints.iter().enumerate() {
            let mut peers = links.clone();
            peers.remove(index);
            endpoint.set_peers(&peers).await;
        }
        endpoints
    }

    fn start_daemons(&self, system: &RunningSystem, peers: &[SocketAddr]) -> Vec<DaemonProcess> {
        let authority = PeerAuthority::generate().expect("certificates can be created");
        let ports = free_tcp(2 * self.daemons);
        let (callers, https) = ports.split_at(self.daemons);
        let closed_address = free_tcp(1)[0];
        let start = |index: usize| {
            let name = instance_name(index);
            let file = |kind: &str| system.folder.path().join(format!("{name}.{kind}"));
            let (chain, key) = authority.issue().expect("certificates can be created");
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
                 peer_addresses: [{seeds}]\n\
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
                store = if self.daemons_without_store.contains(&index) {
                    closed_address
                } else {
                    system.store.address
                },
                seeds = peers
                    .iter()
                    .map(SocketAddr::to_string)
                    .collect::<Vec<_>>()
                    .join(", "),
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
                http: https[index],
                process: ChildProcess::start(program, &arguments, &file("log")),
            }
        };
        (0..self.daemons).map(start).collect()
    }
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
