//! Starts a process of the daemon with its settings file and its log file.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a request to the status port is given up.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Parameters of a daemon process.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// Path of the program.
    pub program: PathBuf,
    /// Folder of the settings file and the log file.
    pub folder: PathBuf,
    /// Number of the instance, a part of its name and of its file names.
    pub number: usize,
    /// Availability zone in the settings.
    pub zone: String,
    /// Time in which an evacuated zone must be left, in milliseconds; `None` leaves it out of the
    /// settings.
    pub evacuation_ms: Option<u64>,
    /// CPU share in the settings, in cores.
    pub cpu_share: f64,
    /// Listen addresses for callers, for status requests and for other instances.
    pub ports: [SocketAddr; 3],
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Address of the HTTP service that takes promotion requests.
    pub promotion_address: SocketAddr,
    /// Limits of the machine in the settings.
    pub limits: MachineLimits,
}

/// Limits of the machine that a daemon runs on, as its settings state them.
#[derive(Debug, Clone, Copy)]
pub struct MachineLimits {
    /// Memory in MB, if the settings state it.
    pub memory_mb: Option<u32>,
    /// Maximum number of open file descriptors.
    pub file_descriptors: u32,
    /// Time limits of slow callers in milliseconds, if the settings state them.
    pub caller_ms: Option<u32>,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            memory_mb: None,
            file_descriptors: 3_000,
            caller_ms: None,
        }
    }
}

impl DaemonPlan {
    fn settings_text(&self) -> String {
        let [callers, status, peers] = self.ports;
        let port = peers.port();
        let memory = self.limits.memory_mb;
        let memory = memory.map_or(String::new(), |mb| format!("  MemoryMb: {mb}\n"));
        let slow_callers = self.limits.caller_ms;
        let slow_callers = slow_callers.map_or(String::new(), |ms| {
            format!("Callers:\n  MessageMs: {ms}\n  ReaderMs: {ms}\n")
        });
        let evacuation = self
            .evacuation_ms
            .map_or_else(String::new, |time| format!("  EvacuationMs: {time}\n"));
        format!(
            "NodeName: front-{}\nIp: 127.0.0.1\nZone: {}\n\
             Listen:\n  Front: {callers}\n  Ready: {status}\n\
             InternalPorts:\n  - {port}\n  - {port}\n\
             Bounds:\n  RevokeMs: 5000\n  GraceS: 4\n  DrainMs: 4000\n{evacuation}\
             platform:\n  Address: {}\nCloud:\n  Address: {}\n\
             Limits:\n  FileDescriptors: {}\n{memory}  CpuShare: {}\n{slow_callers}NewField: 1\n",
            self.number,
            self.zone,
            self.store_address,
            self.promotion_address,
            self.limits.file_descriptors,
            self.cpu_share,
        )
    }
}

/// A daemon process, which is killed when this is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Address for callers.
    pub callers: SocketAddr,
    status: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl DaemonProcess {
    /// Writes the settings file and starts the process.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the program cannot be started.
    pub fn start(plan: &DaemonPlan) -> io::Result<Self> {
        let settings = plan.folder.join(format!("{}.yaml", plan.number));
        std::fs::write(&settings, plan.settings_text())?;
        let log = plan.folder.join(format!("{}.log", plan.number));
        Ok(Self {
            callers: plan.ports[0],
            status: plan.ports[1],
            program: plan.program.clone(),
            child: start_program(&plan.program, &settings, &log)?,
            settings,
            log,
        })
    }

    /// Kills the process and starts a new one whose standard output is a pipe, which is returned.
    /// The pipe fills up unless the caller reads it.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn restart_piped(&mut self) -> io::Result<Option<ChildStdout>> {
        self.kill();
        self.child = Command::new(&self.program)
            .env("TAMARACKLB_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        Ok(self.child.stdout.take())
    }

    /// Sends a GET request to the status port and returns the HTTP status and the whole response, or
    /// status 0 if there is no valid response in time.
    pub async fn status(&self, path: &str) -> (u16, String) {
        let answer = timeout(STATUS_TIMEOUT, self.try_status(path)).await;
        answer.unwrap_or((0, String::new()))
    }

    async fn try_status(&self, path: &str) -> (u16, String) {
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

    /// Returns the operating system's id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the content of the log file, or an empty text if it cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Replaces the content of the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn change_settings(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.settings, text)
    }

    /// Appends lines to the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or written.
    pub fn append_settings(&self, lines: &str) -> io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        self.change_settings(&format!("{text}{lines}"))
    }

    /// Kills the process if it still runs, and starts a new one with the same settings and log files.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = start_program(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        // Killing a process that has already ended fails, which is harmless.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends the signal with this name, such as `TERM`; returns whether it was sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the `kill` command cannot be run.
    pub fn signal(&self, name: &str) -> io::Result<bool> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status()?;
        Ok(status.success())
    }

    /// Returns the exit status, or `None` while the process runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the status.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start_program(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .env("TAMARACKLB_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}
