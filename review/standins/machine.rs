//! A machine with one process of the system, started with the command of the deploy file.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Handler;
use crate::http::Link;
use crate::platform::Platform;
use crate::record;

/// Processes that run, so that the watchdog can end them.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub struct Machine {
    pub name: String,
    pub port: u16,
    ready_port: u16,
    pub link: Arc<Link>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Ends all processes of the system that still run.
pub fn end_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("sh")
            .args(["-c", &format!("kill -9 {id}")])
            .status();
    }
}

/// Returns a free port below the range from which the system takes ports of outgoing connections.
fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let offset = std::process::id() * 97 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 11_000 + (offset % 20_000) as u16;
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

impl Machine {
    /// Prepares a machine whose paths to the store and to the platform's duties go over one link.
    pub fn new(platform: &Arc<Platform>, name: &str, zone: &str, share: f64) -> Self {
        let link = Arc::new(Link::default());
        let serve = |what: &str, handler: Handler| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let port = listener.local_addr().expect("a bound port").port();
            http::serve(listener, format!("{name} {what}"), Arc::clone(&link), handler);
            port
        };
        let (store, owner) = (Arc::clone(&platform.store), name.to_owned());
        let store_port = serve("store", Arc::new(move |call| store.answer(&owner, call)));
        let duties = Arc::clone(platform);
        let duty_port = serve("duty", Arc::new(move |call| duties.promotion(call)));
        let (port, ready_port, peer_port) = (free_port(), free_port(), free_port());
        let text = format!(
            "NodeName: \"{name}\"\nRole: \"front\"\nMachineClass: \"front\"\nServes:\n  - \"front\"\n\
             Ip: \"127.0.0.1\"\nZone: \"{zone}\"\nRegion: \"region\"\n\
             Listen:\n  Front: \"127.0.0.1:{port}\"\n  Ready: \"127.0.0.1:{ready_port}\"\n\
             InternalPorts:\n  - {peer_port}\n  - {peer_port}\nFirstStart: true\n\
             Limits:\n  CpuShare: {share}\n  Cores: 1\n  MemoryMb: 182\n  FileDescriptors: 3010\n  LinkMbps: 700.0\n  DiskMb: 0\n\
             DataDirectory: null\nDiscovery: \"platform\"\nEntry: \"virtual_ip\"\nHeartbeatMs: 1200\n\
             Bounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  ContactMs: 4000\n  AckMs: 5000\n  CatchUpS: 4\n  DrainMs: 7000\n  GraceS: 6\n  LossSlackMs: 200\n  ConfigApplyMs: 3000\n  BackMs: 250\n  MaxStretchMs: 12000\n  StrictRevocation: true\n  RevokeMs: 5000\n  QuotaWindowS: 5\n  QuotaOverage: 0.1\n  QuotaSlack: 20\n  RecoveryS: 12\n  RequireFencing: false\n  ThawMs: 300\n\
             platform:\n  Address: \"127.0.0.1:{store_port}\"\n  form: \"kv\"\n  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  ValueBytes: 1048576\n  MinTtlMs: 1000\n\
             Cloud:\n  Address: \"127.0.0.1:{duty_port}\"\n  RatePerS: 50.0\n  Duties:\n    - \"promotion\"\n  DutyPerS: 50.0\n"
        );
        let settings = platform.folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("a settings file");
        Machine {
            name: name.to_owned(),
            port,
            ready_port,
            link,
            settings,
            log: platform.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|r| r.strip_suffix('"')).expect("a command");
        let mut words = run.split(' ');
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .env_clear()
            .env("TAMARACKLB_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        RUNNING.lock().unwrap().push(child.id());
        record!("{}: process {} starts", self.name, child.id());
        self.child = Some(child);
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            record!("{}: process {} is killed", self.name, child.id());
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Waits until the machine counts as ready.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.has_ended() {
                record!("{}: the process has ended and is started again", self.name);
                self.start();
            }
            if self.get("/readiness").contains(" 200 ") {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn get(&self, path: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(("127.0.0.1", self.ready_port)) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            let _ = stream.write_all(request.as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        text
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
