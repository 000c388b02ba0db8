//! The daemon of an instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    tamaracklb::process::daemon_program::run_daemon()
}
