//! Starts instances of the daemon that use a stand-in of the platform.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use soak::link_proxy::LinkFault;
use soak::link_proxy::LinkProxy;
use standins::free_ports::free_tcp;
use standins::free_ports::free_tcp_pair;
use standins::platform::daemon_process::DaemonPlan;
use standins::platform::daemon_process::DaemonProcess;
use standins::platform::daemon_process::MachineLimits;
use standins::platform::group_state::DEFAULT_ZONE;
use standins::platform::line_caller::LineCaller;
use standins::platform::platform_handle::PlatformHandle;
use standins::platform::sample_configuration::SampleTeam;
use standins::platform::sample_configuration::add_routes;
use standins::platform::sample_configuration::sample_configuration;
use standins::platform::sample_configuration::set_cold_rate;
use tempfile::TempDir;

/// API key of the team.
pub const KEY: &str = "k-7f3a";

/// Default rate of the team, in operations per second.
const RATE: u32 = 500;

/// Number of instances, and of connections that each endpoint accepts: too few for each instance to
/// keep one. The host of an endpoint may open two.
pub const HOSTED_INSTANCES: usize = 4;
const HOSTED_CONNECTIONS: u32 = 5;

/// Metric of complete reads of the store.
const COMPLETE_READS: &str = "tamaracklb_platform_calls_total{kind=\"range\",succeeded=\"true\"} ";

const SERVICE: &str = "orders";
const START_ATTEMPTS: usize = 400;
const START_PAUSE: Duration = Duration::from_millis(25);

/// An instance of the daemon.
pub struct Instance {
    /// Process of the instance.
    pub process: DaemonProcess,
}

/// A stand-in of the platform with the instances that use it.
pub struct Fleet {
    /// Stand-in of the platform.
    pub platform: PlatformHandle,
    /// Instances by number.
    pub instances: Vec<Instance>,
    version: u64,
    rate: u32,
    _folder: TempDir,
    /// Listeners on the link ports of the instances, if these ports are held.
    _held: Vec<TcpListener>,
}

fn configuration(version: u64, keys: &[&str], rate: u32) -> Value {
    let team = SampleTeam {
        name: "studio".to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rate,
    };
    sample_configuration(version, SERVICE, &[team])
}

/// Writes the configuration to a stand-in that has just been started.
fn configured(started: io::Result<PlatformHandle>, accepted: &Value) -> PlatformHandle {
    let platform = started.expect("start the stand-in");
    platform.configure(accepted);
    platform
}

impl Fleet {
    /// Starts `count` instances and waits until each of them serves writes.
    pub async fn start(count: usize) -> Self {
        Self::start_sized(&vec![0.17; count]).await
    }

    /// Starts `count` instances with a store that begins in an era.
    pub async fn start_in_era(count: usize, era: u64) -> Self {
        let platform = PlatformHandle::start_in_era(SERVICE, era).await;
        let platform = configured(platform, &configuration(1, &[KEY], RATE));
        let addresses = [platform.address; 2];
        Self::start_instances(platform, &vec![0.17; count], addresses, false).await
    }

    /// Starts an instance for each given CPU share, in cores.
    pub async fn start_sized(cpu_shares: &[f64]) -> Self {
        let platform = PlatformHandle::start(SERVICE).await;
        let platform = configured(platform, &configuration(1, &[KEY], RATE));
        let addresses = [platform.address; 2];
        Self::start_instances(platform, cpu_shares, addresses, false).await
    }

    /// Starts `count` instances that find the promotion service at another address than the store.
    pub async fn start_gated(count: usize, promotion_address: SocketAddr) -> Self {
        let platform = PlatformHandle::start(SERVICE).await;
        let platform = configured(platform, &configuration(1, &[KEY], RATE));
        let addresses = [platform.address, promotion_address];
        Self::start_instances(platform, &vec![0.17; count], addresses, false).await
    }

    /// Starts instances with a configuration of many routes, on links that take `chunk_time` for 16
    /// KB.
    pub async fn start_large(count: usize, routes: usize, chunk_time: Duration) -> Self {
        let mut accepted = configuration(1, &[KEY], RATE);
        add_routes(&mut accepted, SERVICE, routes);
        let platform = configured(PlatformHandle::start(SERVICE).await, &accepted);
        let link = LinkProxy::start(platform.address)
            .await
            .expect("start the link proxy");
        link.set_fault(LinkFault::Delay(chunk_time));
        Self::start_instances(platform, &vec![0.17; count], [link.address; 2], false).await
    }

    /// Starts [`HOSTED_INSTANCES`] instances that share the few connections which endpoints accept. If
    /// `held_links` is set, the link ports of the instances are taken and never answer.
    pub async fn start_hosted(held_links: bool) -> Self {
        let mut accepted = configuration(1, &[KEY], RATE);
        accepted["Services"][0]["MaxConnections"] = HOSTED_CONNECTIONS.into();
        let platform = configured(PlatformHandle::start(SERVICE).await, &accepted);
        platform.shared.group().max_connections = Some(HOSTED_CONNECTIONS as usize);
        let addresses = [platform.address; 2];
        let cpu_shares = [0.17; HOSTED_INSTANCES];
        Self::start_instances(platform, &cpu_shares, addresses, held_links).await
    }

    /// Starts instances that find the store and the promotion service at these addresses.
    async fn start_instances(
        platform: PlatformHandle,
        cpu_shares: &[f64],
        [store_address, promotion_address]: [SocketAddr; 2],
        held_links: bool,
    ) -> Self {
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let mut instances = Vec::new();
        let mut held = Vec::new();
        for (number, cpu_share) in cpu_shares.iter().enumerate() {
            let ports = free_tcp(2);
            let [peers, links] = free_tcp_pair();
            if held_links {
                held.push(TcpListener::bind(links).expect("bind a link port"));
            }
            let plan = DaemonPlan {
                program: PathBuf::from(env!("CARGO_BIN_EXE_tamaracklb-front")),
                folder: folder.path().to_owned(),
                number,
                zone: DEFAULT_ZONE.to_owned(),
                evacuation_ms: None,
                cpu_share: *cpu_share,
                ports: [ports[0], ports[1], peers],
                store_address,
                promotion_address,
                limits: MachineLimits::default(),
            };
            let process = DaemonProcess::start(&plan).expect("start the daemon");
            instances.push(Instance { process });
        }
        let fleet = Self {
            platform,
            instances,
            version: 1,
            rate: RATE,
            _folder: folder,
            _held: held,
        };
        fleet.await_service().await;
        fleet
    }

    /// Waits until each instance serves writes.
    pub async fn await_service(&self) {
        for instance in &self.instances {
            instance.await_ready().await;
            let mut caller = LineCaller::open(instance.process.callers, "linear", KEY).await;
            caller.request_until_served("WRITE warm 1").await;
        }
    }

    /// Opens a session on an instance.
    pub async fn caller(&self, instance: usize, database: &str) -> LineCaller {
        LineCaller::open(self.instances[instance].process.callers, database, KEY).await
    }

    /// Installs a new configuration with these keys of the team.
    pub fn set_keys(&mut self, keys: &[&str]) {
        self.version += 3;
        let accepted = configuration(self.version, keys, self.rate);
        self.platform.configure(&accepted);
    }

    /// Installs a new configuration with these teams.
    pub fn set_teams(&mut self, teams: &[SampleTeam]) {
        self.version += 3;
        let accepted = sample_configuration(self.version, SERVICE, teams);
        self.platform.configure(&accepted);
    }

    /// Installs a new configuration with this number of routes `database-0`, `database-1` and so on
    /// beside the usual ones.
    pub fn set_routes(&mut self, count: usize) {
        self.version += 3;
        let mut accepted = configuration(self.version, &[KEY], self.rate);
        add_routes(&mut accepted, SERVICE, count);
        self.platform.configure(&accepted);
    }

    /// Installs a new configuration with this bound of requests per second to cold endpoints.
    pub fn set_cold_rate(&mut self, per_second: u32) {
        self.version += 3;
        let mut accepted = configuration(self.version, &[KEY], self.rate);
        set_cold_rate(&mut accepted, per_second);
        self.platform.configure(&accepted);
    }

    /// Installs a new configuration with this rate and burst of the team.
    pub fn set_rate(&mut self, rate: u32) {
        self.rate = rate;
        self.set_keys(&[KEY]);
    }

    /// Returns how many instances have read the whole store since they started.
    pub async fn complete_readers(&self) -> usize {
        let mut readers = 0;
        for instance in &self.instances {
            let metrics = instance.status("/metrics").await.1;
            readers += usize::from(metrics.contains(COMPLETE_READS));
        }
        readers
    }

    /// Kills the processes of all instances.
    pub fn kill_all(&mut self) {
        for instance in &mut self.instances {
            instance.kill();
        }
    }

    /// Returns the index of the instance that leads.
    pub fn leader(&self) -> Option<usize> {
        self.platform.leader()
    }

    /// Returns the id of the primary.
    pub fn primary(&self) -> String {
        let group = self.platform.shared.group();
        group.primary().expect("the group has a primary")
    }

    /// Marks the primary as draining and returns its id.
    pub fn release_primary(&self) -> String {
        let former = self.primary();
        self.platform.change_group(|group| {
            if let Some(endpoint) = group.endpoints.get_mut(&former) {
                endpoint.draining = true;
            }
        });
        former
    }

    /// Waits until another endpoint than `former` is the primary. Returns whether it is within `time`.
    pub async fn await_successor(&self, former: &str, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            let primary = self.platform.shared.group().primary();
            if primary.is_some_and(|primary| primary != former) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Instance {
    /// Waits until the instance reports that it is ready.
    pub async fn await_ready(&self) {
        for _ in 0..START_ATTEMPTS {
            if self.status("/readiness").await.0 == 200 {
                return;
            }
            tokio::time::sleep(START_PAUSE).await;
        }
        panic!("not ready; its log: {}", self.log());
    }

    /// Returns the answer of the status port; its code is 0 if the port does not answer.
    pub async fn status(&self, path: &str) -> (u16, String) {
        self.process.status(path).await
    }

    /// Returns the log of the instance so far.
    pub fn log(&self) -> String {
        self.process.log()
    }

    /// Waits until the log of the instance contains a text. Lines are written every 100 ms.
    pub async fn await_log(&self, text: &str) {
        for _ in 0..START_ATTEMPTS {
            if self.log().contains(text) {
                return;
            }
            tokio::time::sleep(START_PAUSE).await;
        }
        panic!("{text:?} was not logged: {}", self.log());
    }

    /// Replaces the settings file.
    pub fn change_settings(&self, text: &str) {
        let written = self.process.change_settings(text);
        written.expect("write the settings");
    }

    /// Kills the process and starts it again.
    pub fn restart(&mut self) {
        self.process.restart().expect("start the daemon");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let sent = self.process.signal(name).expect("run kill");
        assert!(sent, "signal {name} was not sent");
    }

    /// Waits until the process exits and returns its status.
    pub async fn ended(&mut self) -> ExitStatus {
        for _ in 0..START_ATTEMPTS {
            let status = self.process.exit_status();
            if let Some(status) = status.expect("query the exit status") {
                return status;
            }
            tokio::time::sleep(START_PAUSE).await;
        }
        panic!("the process did not end");
    }
}
