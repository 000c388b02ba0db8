//! Starts a daemon with lowered limits, and checks its memory and descriptors.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standins::free_ports::free_tcp;
use standins::platform::daemon_process::DaemonPlan;
use standins::platform::daemon_process::DaemonProcess;
use standins::platform::daemon_process::MachineLimits;
use standins::platform::group_state::DEFAULT_ZONE;
use standins::platform::line_caller::LineCaller;
use standins::platform::platform_handle::PlatformHandle;
use standins::platform::sample_configuration::SampleTeam;
use standins::platform::sample_configuration::sample_configuration;
use tempfile::TempDir;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::task::JoinHandle;

/// API key of the team.
pub const KEY: &str = "k-7f3a";

/// Memory of the machine in the settings, and the bound of the process's peak.
const MEMORY_MB: u32 = 64;

/// Descriptors of the machine in the settings, and the bound of the process's count.
const FILE_DESCRIPTORS: u32 = 300;

const SERVICE: &str = "orders";

/// A rate that the crowds do not reach, so that they are not limited by it.
const RATE: u32 = 100_000;

const SERVE_ATTEMPTS: usize = 240;
const SERVE_PAUSE: Duration = Duration::from_millis(250);
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// Held by each case while it runs.
static CASE_LOCK: Mutex<()> = Mutex::const_new(());

/// A daemon with lowered limits, and the platform that it uses.
pub struct LimitedDaemon {
    process: DaemonProcess,
    most_descriptors: Arc<AtomicUsize>,
    sampler: JoinHandle<()>,
    platform: PlatformHandle,
    _folder: TempDir,
    _lock: MutexGuard<'static, ()>,
}

impl Drop for LimitedDaemon {
    fn drop(&mut self) {
        self.sampler.abort();
    }
}

impl LimitedDaemon {
    /// Waits until no other case runs, then starts a daemon and waits until it serves.
    pub async fn start() -> Self {
        Self::start_with(None).await
    }

    /// Starts a daemon with time limits of slow callers, in milliseconds.
    pub async fn start_with(caller_ms: Option<u32>) -> Self {
        let lock = CASE_LOCK.lock().await;
        let platform = PlatformHandle::start(SERVICE)
            .await
            .expect("start the stand-in");
        let team = SampleTeam {
            name: "studio".to_owned(),
            keys: vec![KEY.to_owned()],
            rate: RATE,
        };
        platform.configure(&sample_configuration(1, SERVICE, &[team]));
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let ports = free_tcp(3);
        let plan = DaemonPlan {
            zone: DEFAULT_ZONE.to_owned(),
            evacuation_ms: None,
            program: PathBuf::from(env!("CARGO_BIN_EXE_tamaracklb-front")),
            folder: folder.path().to_owned(),
            number: 0,
            cpu_share: 0.17,
            ports: [ports[0], ports[1], ports[2]],
            store_address: platform.address,
            promotion_address: platform.address,
            limits: MachineLimits {
                memory_mb: Some(MEMORY_MB),
                file_descriptors: FILE_DESCRIPTORS,
                caller_ms,
            },
        };
        let process = DaemonProcess::start(&plan).expect("start the daemon");
        let most_descriptors = Arc::default();
        let sampler = tokio::spawn(sample_descriptors(
            process.id(),
            Arc::clone(&most_descriptors),
        ));
        let daemon = Self {
            process,
            most_descriptors,
            sampler,
            platform,
            _folder: folder,
            _lock: lock,
        };
        daemon.serve("WRITE page 1").await;
        daemon
    }

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.process.callers
    }

    /// Returns the metrics, from the port that also answers health checks.
    pub async fn metrics(&self) -> String {
        self.process.status("/metrics").await.1
    }

    /// Returns how often the endpoints have run a request.
    pub fn runs(&self, id: &str) -> usize {
        let group = self.platform.shared.group();
        let runs = group.executed_statements.iter();
        runs.filter(|run| run.id == id).count()
    }

    /// Returns whether the log has a text. Waits for it, since lines are written every 100 ms.
    pub async fn logs(&self, text: &str) -> bool {
        for _ in 0..SERVE_ATTEMPTS {
            if self.logs_now(text) {
                return true;
            }
            tokio::time::sleep(SERVE_PAUSE).await;
        }
        false
    }

    /// Returns whether the log has a text now.
    pub fn logs_now(&self, text: &str) -> bool {
        self.process.log().contains(text)
    }

    /// Writes the value that the reads of a crowd return.
    pub async fn write_value(&self, bytes: usize) {
        self.serve(&format!("WRITE big {}", "v".repeat(bytes)))
            .await;
    }

    /// Sends a request in a new session until it is served; panics if it never is.
    pub async fn serve(&self, text: &str) {
        if let Err(last) = self.try_serve(text).await {
            panic!("{text:.20} was not served: {last}");
        }
    }

    /// Checks that the process lives within the limits of its settings and serves an ordinary
    /// request. Collects all faults, so that one run shows each of them.
    pub async fn check(&mut self) {
        let status = self.process.exit_status().expect("query the exit status");
        assert!(status.is_none(), "the process ended: {status:?}");
        let served = self.try_serve("READ page").await;
        let peak_kb = self.peak_kb();
        let descriptors = self.most_descriptors.load(Ordering::Relaxed);
        let figures = format!(
            "peak {peak_kb} kB of {} kB, {descriptors} of {FILE_DESCRIPTORS} descriptors, served: {served:?}",
            MEMORY_MB * 1_024
        );
        println!("{figures}");
        assert!(peak_kb <= u64::from(MEMORY_MB) * 1_024, "memory: {figures}");
        let bound = FILE_DESCRIPTORS as usize;
        assert!(descriptors <= bound, "descriptors: {figures}");
        assert!(served.is_ok(), "ordinary request: {figures}");
    }

    async fn try_serve(&self, text: &str) -> Result<(), String> {
        let mut last = String::new();
        for _ in 0..SERVE_ATTEMPTS {
            match LineCaller::try_open(self.address(), "linear", KEY).await {
                Ok(mut caller) => match caller.try_request(text).await {
                    Ok(answer) if answer.succeeded() => return Ok(()),
                    Ok(answer) => last = answer.last_line,
                    Err(error) => last = error.to_string(),
                },
                Err(error) => last = error.to_string(),
            }
            tokio::time::sleep(SERVE_PAUSE).await;
        }
        Err(last)
    }

    /// Returns the peak resident memory of the process in kB.
    fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let text = std::fs::read_to_string(path).expect("read the status of the process");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
        number
            .and_then(|number| number.parse().ok())
            .expect("the status has the peak")
    }
}

async fn sample_descriptors(process: u32, most: Arc<AtomicUsize>) {
    let path = format!("/proc/{process}/fd");
    while let Ok(entries) = std::fs::read_dir(&path) {
        most.fetch_max(entries.count(), Ordering::Relaxed);
        tokio::time::sleep(SAMPLE_PERIOD).await;
    }
}
