//! A program that a test runs.

use std::fs::File;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

/// A running program; it is killed by its id when this is dropped.
#[derive(Debug)]
pub struct ChildProcess(Child);

impl ChildProcess {
    /// Starts a program that writes its output to a file.
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

    /// Kills the program at once.
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

    /// Returns how the program ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().expect("the program is a child")
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
