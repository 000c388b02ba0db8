//! Runs the built operator program in a temporary folder.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use tempfile::TempDir;

/// A temporary folder with input files, in which commands run.
pub struct ProgramRun {
    folder: TempDir,
}

/// The output and the exit code of a command.
#[derive(Debug)]
pub struct ProgramOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl ProgramRun {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
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

    /// Runs the program with the arguments in `line`, separated by spaces.
    pub fn run(&self, line: &str) -> ProgramOutput {
        let output = Command::new(env!("CARGO_BIN_EXE_tamaracklb"))
            .args(line.split_whitespace())
            .current_dir(self.folder())
            .output()
            .expect("the program can be run");
        ProgramOutput {
            code: output.status.code().expect("the program was not killed"),
            stdout: String::from_utf8(output.stdout).expect("the output is UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("the output is UTF-8"),
        }
    }

    /// Like [`run`](Self::run), but requires success and returns the standard output.
    pub fn succeed(&self, line: &str) -> String {
        let answer = self.run(line);
        assert_eq!(answer.code, 0, "{line}: {answer:?}");
        answer.stdout
    }
}
