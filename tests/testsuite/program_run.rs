//! Drives the built operators' program in a folder of its own.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use tempfile::TempDir;

/// A folder with files, in which commands run.
pub struct ProgramRun {
    folder: TempDir,
}

/// What a command printed and how it ended.
#[derive(Debug)]
pub struct ProgramAnswer {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl ProgramRun {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        Self { folder }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn file(self, name: &str, text: &str) -> Self {
        std::fs::write(self.path(name), text).expect("the file can be written");
        self
    }

    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.path(name)).expect("the file can be read")
    }

    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Runs a command line without the name of the program.
    pub fn run(&self, line: &str) -> ProgramAnswer {
        let output = Command::new(env!("CARGO_BIN_EXE_tamaracklb"))
            .args(line.split_whitespace())
            .current_dir(self.folder())
            .output()
            .expect("the program can be run");
        ProgramAnswer {
            code: output.status.code().expect("the program was not killed"),
            stdout: String::from_utf8(output.stdout).expect("the output is UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("the output is UTF-8"),
        }
    }

    /// Runs a command line that must succeed and returns what it printed.
    pub fn succeed(&self, line: &str) -> String {
        let answer = self.run(line);
        assert_eq!(answer.code, 0, "{line}: {answer:?}");
        answer.stdout
    }
}
