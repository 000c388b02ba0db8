//! The proxy daemon; each process is one instance of the fleet.

use std::process::ExitCode;

fn main() -> ExitCode {
    tamaracklb::process::daemon_program::run_daemon()
}
