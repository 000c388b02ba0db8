//! A front, started with the command of the deploy file.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::record;
use crate::record::note;

/// The program that `deploy/system.toml` names.
const PROGRAM: &str = "target/release/tamaracklb-front";

/// Time in which a front must become ready.
const START_TIME: Duration = Duration::from_secs(15);

pub struct Front {
    pub name: String,
    pub address: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Ports below those that the system gives to outgoing connections, which could take the port of a
/// front while it restarts.
const FIRST_PORT: u32 = 20_000;
const PORT_COUNT: u32 = 10_000;

/// Ports of one front.
const FRONT_PORTS: u16 = 4;

static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns the first of adjacent free ports for a front.
fn free_ports() -> u16 {
    loop {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let step = u32::from(FRONT_PORTS);
        let offset = (std::process::id() * 31 + tried) * step % PORT_COUNT;
        let first = (FIRST_PORT + offset) as u16;
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..first + FRONT_PORTS).all(is_free) {
            return first;
        }
    }
}

impl Front {
    pub fn start(
        folder: &std::path::Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> Front {
        let port = free_ports();
        let address = |offset: u16| SocketAddr::from(([127, 0, 0, 1], port + offset));
        // The fields and figures are those of a small deployment.
        let text = format!(
            "NodeName: \"{name}\"\nRole: \"front\"\nMachineClass: \"front\"\nServes:\n  - \"front\"\n\
             Ip: \"127.0.0.1\"\nZone: \"{zone}\"\nRegion: \"lagos\"\n\
             Zones:\n  lagos-a: \"lagos\"\n  lagos-b: \"lagos\"\n  lagos-c: \"lagos\"\n\
             Listen:\n  Front: \"{}\"\n  Ready: \"{}\"\nInternalPorts:\n  - {}\n  - {}\nSeeds: []\n\
             FirstStart: true\nCountsAsLoss: false\n\
             Limits:\n  CpuShare: 0.17\n  Cores: 1\n  MemoryMb: 182\n  FileDescriptors: 3010\n  LinkMbps: 700.0\n  DiskMb: 0\n\
             DataDirectory: null\nDiscovery: \"platform\"\nEntry: \"virtual_ip\"\nHeartbeatMs: 1200\n\
             Contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sql\"\n  - \"tenants\"\n  - \"quota\"\n  - \"platform\"\n\
             Tolerate:\n  Machines: 2\n  Zones: 0\n  Regions: 0\n\
             Bounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  ContactMs: 4000\n  AckMs: 5000\n  CatchUpS: 4\n  DrainMs: 7000\n  GraceS: 6\n  LossSlackMs: 200\n  ConfigApplyMs: 3000\n  BackMs: 250\n  MaxStretchMs: 12000\n  StrictRevocation: true\n  RevokeMs: 5000\n  QuotaWindowS: 5\n  QuotaOverage: 0.1\n  QuotaSlack: 20\n  RecoveryS: 12\n  RequireFencing: false\n  ThawMs: 300\n\
             platform:\n  Address: \"{store}\"\n  form: \"kv\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  ValueBytes: 1048576\n  MinTtlMs: 1000\n\
             Cloud:\n  Address: \"{cloud}\"\n  RatePerS: 50.0\n  Duties:\n    - \"promotion\"\n  DutyPerS: 50.0\n",
            address(0),
            address(1),
            port + 2,
            port + 3,
        );
        let settings = folder.join(format!("{name}.yaml"));
        let log = folder.join(format!("{name}.log"));
        if let Err(error) = std::fs::write(&settings, text) {
            record::give_up(&format!("{}: {error}", settings.display()));
        }
        let child = start_program(&settings, &log);
        note(&format!(
            "front {name} of zone {zone} starts as process {} at {}",
            child.id(),
            address(0)
        ));
        Front {
            name: name.to_owned(),
            address: address(0),
            ready: address(1),
            settings,
            log,
            child,
        }
    }

    /// Waits until the front answers that it is ready.
    pub fn await_ready(&self) {
        let end = Instant::now() + START_TIME;
        while !self.is_ready() {
            if Instant::now() >= end {
                record::give_up(&format!("front {} is not ready", self.name));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        note(&format!("front {} is ready", self.name));
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = String::new();
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_to_string(&mut answer).is_ok()
            && answer.starts_with("HTTP/1.1 200")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        record::signal(self.child.id(), name);
    }

    /// Returns how the process ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten();
        status.map(|status| status.to_string())
    }

    /// Stops the front with SIGTERM as the platform does, and starts it again.
    pub fn restart_planned(&mut self) {
        let id = self.child.id();
        note(&format!("front {} gets SIGTERM", self.name));
        record::signal(id, "TERM");
        let grace = Instant::now() + Duration::from_secs(6);
        while Instant::now() < grace && matches!(self.child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        if matches!(self.child.try_wait(), Ok(None)) {
            record::signal(id, "KILL");
        }
        let _ = self.child.wait();
        record::remove_process(id);
        std::thread::sleep(Duration::from_millis(300));
        self.child = start_program(&self.settings, &self.log);
        note(&format!(
            "front {} starts again as process {}",
            self.name,
            self.child.id()
        ));
    }
}

fn start_program(settings: &PathBuf, log: &PathBuf) -> Child {
    let output = File::options().create(true).append(true).open(log);
    let spawned = output.and_then(|output| {
        Command::new(PROGRAM)
            .env("TAMARACKLB_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
    });
    match spawned {
        Ok(child) => {
            record::add_process(child.id());
            child
        }
        Err(error) => record::give_up(&format!("{PROGRAM}: {error}")),
    }
}
