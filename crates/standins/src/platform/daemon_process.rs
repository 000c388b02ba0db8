//! A process of the daemon, with its settings and its log.

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

/// The longest time to an answer of the status port.
const STATUS_TIME: Duration = Duration::from_secs(2);

/// What a process is started with.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// The program.
    pub program: PathBuf,
    /// Where its settings and its log lie.
    pub folder: PathBuf,
    /// The number in its name.
    pub number: usize,
    /// The part of a core that its settings tell.
    pub processor: f64,
    /// Where it takes callers, status requests and other instances.
    pub ports: [SocketAddr; 3],
    /// Where it calls the store.
    pub store: SocketAddr,
    /// Where it calls the duties.
    pub duties: SocketAddr,
}

impl DaemonPlan {
    fn settings_text(&self) -> String {
        let [callers, status, peers] = self.ports;
        let port = peers.port();
        format!(
            "NodeName: front-{}\nIp: 127.0.0.1\nZone: zone-a\n\
             Listen:\n  Front: {callers}\n  Ready: {status}\n\
             InternalPorts:\n  - {port}\n  - {port}\n\
             Bounds:\n  RevokeMs: 5000\n  GraceS: 4\n  DrainMs: 4000\n\
             platform:\n  Address: {}\nCloud:\n  Address: {}\n\
             Limits:\n  FileDescriptors: 3000\n  CpuShare: {}\nNewField: 1\n",
            self.number, self.store, self.duties, self.processor,
        )
    }
}

/// One process; it is killed when this is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Where callers connect.
    pub callers: SocketAddr,
    status: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl DaemonProcess {
    /// Writes the settings and starts the process.
    ///
    /// # Errors
    ///
    /// Fails where a file cannot be written or the program not be started.
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

    /// Starts another process in place of this one, whose log goes to the pipe that is returned and
    /// that nobody reads.
    ///
    /// # Errors
    ///
    /// Fails where the program cannot be started.
    pub fn restart_piped(&mut self) -> io::Result<Option<ChildStdout>> {
        self.kill();
        self.child = Command::new(&self.program)
            .env("TAMARACKLB_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        Ok(self.child.stdout.take())
    }

    /// Asks the status port; 0 where it does not answer.
    pub async fn status(&self, path: &str) -> (u16, String) {
        let answer = timeout(STATUS_TIME, self.try_status(path)).await;
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

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Writes other settings.
    ///
    /// # Errors
    ///
    /// Fails where the file cannot be written.
    pub fn change_settings(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.settings, text)
    }

    /// Kills the process, where it still runs, and starts another one in its place.
    ///
    /// # Errors
    ///
    /// Fails where the program cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = start_program(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // A process that has ended cannot be killed, which is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal; returns whether it was sent.
    ///
    /// # Errors
    ///
    /// Fails where the system's command cannot be run.
    pub fn signal(&self, name: &str) -> io::Result<bool> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status()?;
        Ok(status.success())
    }

    /// Returns how the process ended, if it did.
    ///
    /// # Errors
    ///
    /// Fails where the system does not tell.
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
