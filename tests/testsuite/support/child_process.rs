//! Runs a program as a child process of a test.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use serde::Serialize;

const START_ATTEMPTS: usize = 1000;
const START_PAUSE: Duration = Duration::from_millis(20);

/// A running program, which is killed when this is dropped.
#[derive(Debug)]
pub struct ChildProcess(Child);

impl ChildProcess {
    /// Starts a program and writes its standard output and error to a file.
    pub fn start(program: &str, arguments: &[&str], log: &Path) -> Self {
        let output = File::create(log).expect("the log can be created");
        let errors = output.try_clone().expect("the log can be shared");
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the program can be started");
        Self(child)
    }

    /// Starts a stand-in with JSON settings, and returns the addresses that it prints once it
    /// listens.
    pub async fn start_standin<T: Serialize>(
        program: &str,
        config: &T,
        log: &Path,
    ) -> (Self, Vec<SocketAddr>) {
        let json = serde_json::to_string(config).expect("settings have a JSON form");
        let process = Self::start(program, &["--json", &json], log);
        for _ in 0..START_ATTEMPTS {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            if text.ends_with('\n') {
                let words = text.split([' ', ',', '\n']);
                return (
                    process,
                    words.filter_map(|word| word.parse().ok()).collect(),
                );
            }
            tokio::time::sleep(START_PAUSE).await;
        }
        panic!("{program} did not start");
    }

    /// Kills the program and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.0.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(status.success(), "signal {name} was not sent");
    }

    /// Returns the exit status of the program if it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().expect("the program is a child")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
