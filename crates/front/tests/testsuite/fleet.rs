//! Starts instances of the daemon in front of a stand-in.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standins::platform::platform_handle::PlatformHandle;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::caller::Caller;
use crate::free_ports::free_tcp;

/// The team's key.
pub const KEY: &str = "k-7f3a";

const START_ATTEMPTS: usize = 400;
const START_PAUSE: Duration = Duration::from_millis(25);

/// One instance.
pub struct Instance {
    /// Where callers connect.
    pub callers: SocketAddr,
    status: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// A stand-in with instances before it.
pub struct Fleet {
    /// The stand-in.
    pub platform: PlatformHandle,
    /// The instances.
    pub instances: Vec<Instance>,
    version: u64,
    rate: u32,
    _folder: TempDir,
}

/// Operations a second of the team where a test sets no other rate.
const RATE: u32 = 500;

fn configuration(version: u64, keys: &[&str], rate: u32) -> Value {
    let route = |host: &str, kind: &str| json!({"Name": host, "Host": host, "Prefix": "/", "Kind": kind, "TimeoutMs": 1_000, "TargetLatencyMs": 400, "Priority": 1, "Service": "orders", "MaxStalenessMs": 2_000, "Public": false});
    json!({
        "Version": version,
        "Routes": [
            route("linear", "primary"),
            route("bounded", "bounded_staleness"),
            route("own", "read_your_writes"),
        ],
        "Services": [{"Name": "orders", "MaxConnections": 40, "SyncReplicas": 1}],
        "Limits": {"TransactionIdleMs": 3_000},
        "Tenants": [{"Name": "studio", "ApiKeys": keys, "RatePerS": rate, "Burst": rate}],
    })
}

impl Fleet {
    /// Starts instances and waits until all of them are ready and the group has its first order.
    pub async fn start(count: usize) -> Self {
        Self::start_sized(&vec![0.17; count]).await
    }

    /// Starts an instance for each of the given parts of a core.
    pub async fn start_sized(processors: &[f64]) -> Self {
        let platform = PlatformHandle::start("orders")
            .await
            .expect("the stand-in can listen");
        platform.configure(&configuration(1, &[KEY], RATE));
        let folder = tempfile::tempdir().expect("a folder can be made");
        let mut instances = Vec::new();
        for (number, processor) in processors.iter().enumerate() {
            let ports = free_tcp(3);
            let settings = folder.path().join(format!("{number}.yaml"));
            let text = format!(
                "NodeName: front-{number}\nIp: 127.0.0.1\nZone: zone-a\nListen:\n  Front: {}\n  Ready: {}\nInternalPorts:\n  - {}\n  - {}\nBounds:\n  RevokeMs: 5000\n  GraceS: 4\nplatform:\n  Address: {store}\nCloud:\n  Address: {store}\nLimits:\n  FileDescriptors: 3000\n  CpuShare: {processor}\nNewField: 1\n",
                ports[0],
                ports[1],
                ports[2].port(),
                ports[2].port(),
                store = platform.address,
            );
            std::fs::write(&settings, text).expect("settings can be written");
            let log = folder.path().join(format!("{number}.log"));
            let child = start_program(&settings, &log);
            instances.push(Instance {
                callers: ports[0],
                status: ports[1],
                settings,
                log,
                child,
            });
        }
        let fleet = Self {
            platform,
            instances,
            version: 1,
            rate: RATE,
            _folder: folder,
        };
        fleet.await_service().await;
        fleet
    }

    /// Waits until each instance serves writes.
    pub async fn await_service(&self) {
        for instance in &self.instances {
            instance.await_ready().await;
            let mut caller = Caller::open(instance.callers, "linear", KEY).await;
            caller.ask_until_served("WRITE warm 1").await;
        }
    }

    /// Opens a session on an instance.
    pub async fn caller(&self, instance: usize, database: &str) -> Caller {
        Caller::open(self.instances[instance].callers, database, KEY).await
    }

    /// Accepts a new configuration with these keys.
    pub fn set_keys(&mut self, keys: &[&str]) {
        self.version += 3;
        let accepted = configuration(self.version, keys, self.rate);
        self.platform.configure(&accepted);
    }

    /// Accepts a new configuration with this rate and burst of the team.
    pub fn set_rate(&mut self, rate: u32) {
        self.rate = rate;
        self.set_keys(&[KEY]);
    }

    /// Returns the index of the instance that leads.
    pub fn leader(&self) -> Option<usize> {
        let store = self.platform.shared.store();
        let item = store.items.get("tamaracklb/leader")?;
        let value: Value = serde_json::from_slice(&item.value).ok()?;
        value["instance"]
            .as_str()?
            .strip_prefix("front-")?
            .parse()
            .ok()
    }

    /// Returns the id of the endpoint that leads.
    pub fn primary(&self) -> String {
        let group = self.platform.shared.group();
        let leads = group.endpoints.iter().filter(|(_, e)| e.primary && e.alive);
        leads
            .max_by_key(|(_, endpoint)| endpoint.term)
            .map(|(id, _)| id.clone())
            .expect("an endpoint leads")
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

    /// Asks the status port; 0 where it does not answer.
    pub async fn status(&self, path: &str) -> (u16, String) {
        let Ok(mut stream) = TcpStream::connect(self.status).await else {
            return (0, String::new());
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut text = String::new();
        if stream.write_all(request.as_bytes()).await.is_err()
            || stream.read_to_string(&mut text).await.is_err()
        {
            return (0, text);
        }
        let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
        (status.unwrap_or(0), text)
    }

    /// Returns what the instance has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the instance has logged a text; lines are written every 100 ms.
    pub async fn await_log(&self, text: &str) {
        for _ in 0..START_ATTEMPTS {
            if self.log().contains(text) {
                return;
            }
            tokio::time::sleep(START_PAUSE).await;
        }
        panic!("{text:?} was not logged: {}", self.log());
    }

    /// Writes other settings.
    pub fn change_settings(&self, text: &str) {
        std::fs::write(&self.settings, text).expect("settings can be written");
    }

    /// Kills the process and starts another one in its place.
    pub fn restart(&mut self) {
        self.kill();
        self.child = start_program(&self.settings, &self.log);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // A process that has ended cannot be killed, which is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(status.success(), "signal {name} was not sent");
    }

    /// Waits for the end of the process.
    pub async fn ended(&mut self) -> ExitStatus {
        for _ in 0..START_ATTEMPTS {
            if let Some(status) = self.child.try_wait().expect("the program is a child") {
                return status;
            }
            tokio::time::sleep(START_PAUSE).await;
        }
        panic!("the process did not end");
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start_program(settings: &PathBuf, log: &PathBuf) -> Child {
    let output = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("the log can be opened");
    Command::new(env!("CARGO_BIN_EXE_tamaracklb-front"))
        .env("TAMARACKLB_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("the log can be shared"))
        .stderr(output)
        .spawn()
        .expect("the daemon can be started")
}
