//! Starts a daemon with lowered limits, and checks its memory and descriptors.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::caller_crowd;
use crate::program_run::ProgramRun;

/// Memory that the daemon has in these tests, and the bound of its peak.
const MEMORY_KB: u64 = 96 * 1_024;

/// Descriptors that the daemon has in these tests, and the bound of its count.
const FILE_DESCRIPTORS: usize = 700;

/// Settings that lower the limits of the daemon.
const LIMITS: &str = "max_message_bytes: 8388608\nmax_caller_connections: 300\n\
    caller_memory_bytes: 50331648\n";

/// Maximum wait for an ordinary request; longer than the time limits of the daemon together.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);
const SERVE_PAUSE: Duration = Duration::from_millis(250);

/// Held by each case while it runs.
static CASE_LOCK: Mutex<()> = Mutex::new(());

/// A daemon with lowered limits, which has its bundle from a file and uses no store.
pub struct BoundedDaemon {
    child: Child,
    run: ProgramRun,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the HTTP port.
    pub http: SocketAddr,
    _lock: MutexGuard<'static, ()>,
}

impl Drop for BoundedDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl BoundedDaemon {
    /// Waits until no other case runs, then starts a daemon and waits until it serves.
    pub fn start() -> Self {
        let lock = CASE_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let (callers, http) = (free_tcp(), free_tcp());
        let run = prepare(callers, http);
        let log = std::fs::File::create(run.path("log")).expect("create the log file");
        let child = Command::new(env!("CARGO_BIN_EXE_tamaracklbd"))
            .args(["--settings", "settings.yaml"])
            .current_dir(run.folder())
            .stderr(Stdio::from(log))
            .spawn()
            .expect("run the daemon");
        let daemon = Self {
            child,
            run,
            callers,
            http,
            _lock: lock,
        };
        daemon
            .serve()
            .unwrap_or_else(|last| panic!("no start: {last}\n{}", daemon.log()));
        daemon
    }

    fn log(&self) -> String {
        self.run.read("log")
    }

    fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).map_or(0, Iterator::count)
    }

    /// Checks that the process lives within its limits and serves ordinary requests on both ports.
    /// Collects all faults, so that one run shows each of them.
    pub fn check(&mut self) {
        let ended = self.child.try_wait().expect("query the exit status");
        assert!(ended.is_none(), "the process ended: {ended:?}");
        let descriptors = self.descriptors();
        let served = self.serve();
        let peak_kb = self.peak_kb();
        let figures = format!(
            "peak {peak_kb} kB of {MEMORY_KB} kB, {descriptors} of {FILE_DESCRIPTORS} descriptors, served: {served:?}"
        );
        println!("{figures}");
        assert!(peak_kb <= MEMORY_KB, "memory: {figures}");
        assert!(descriptors <= FILE_DESCRIPTORS, "descriptors: {figures}");
        assert!(served.is_ok(), "ordinary request: {figures}");
    }

    /// Repeats an ordinary request on each port until both are answered.
    fn serve(&self) -> Result<(), String> {
        let start = Instant::now();
        loop {
            match self.try_serve() {
                Ok(()) => return Ok(()),
                Err(error) if start.elapsed() >= SERVE_TIMEOUT => return Err(error.to_string()),
                Err(_) => std::thread::sleep(SERVE_PAUSE),
            }
        }
    }

    fn try_serve(&self) -> std::io::Result<()> {
        let mut caller = caller_crowd::open_session(self.callers)?;
        caller_crowd::query(&mut caller, "SHOW tamaracklb.staleness")?;
        caller_crowd::get_health(self.http)
    }

    /// Returns the peak resident memory of the process in kB.
    fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).expect("read the status of the process");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
        number
            .and_then(|number| number.parse().ok())
            .expect("the status has the peak")
    }
}

fn free_tcp() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the socket has an address")
}

fn prepare(callers: SocketAddr, http: SocketAddr) -> ProgramRun {
    let bundle = include_str!("../../docs/examples/bundle.yaml").replace(
        "teams: [studio-web, archive]",
        "teams: [studio-web, archive]\n    open_as: archive",
    );
    let names = vec!["peer.tamaracklb.internal".to_owned()];
    let certificate = rcgen::generate_simple_self_signed(names).expect("create a certificate");
    let run = ProgramRun::new()
        .file("pem", &certificate.cert.pem())
        .file("key", &certificate.signing_key.serialize_pem())
        .file("bundle.yaml", &bundle);
    let signer = run.succeed("key signer --id ops --out ops.pem");
    run.succeed("bundle sign --key ops.pem --signer ops --out signed.json bundle.yaml");
    let entry: String = signer
        .lines()
        .skip(1)
        .map(|line| format!("  {line}\n"))
        .collect();
    let peer = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
    let peer = peer.expect("a port is free");
    // Nothing listens at the address of the store.
    let store = free_tcp();
    let settings = format!(
        "instance_id: i1\navailability_zone: z1\ncaller_address: {callers}\npeer_address: {peer}\n\
         http_address: {http}\npeer_tls_certificate_file: pem\npeer_tls_key_file: key\n\
         peer_tls_authority_file: pem\nstore_addresses: [{store}]\nendpoint_user: u\n\
         endpoint_password: opensesame\nbundle_file: signed.json\n{LIMITS}signers:\n{entry}"
    );
    run.file("settings.yaml", &settings)
}
