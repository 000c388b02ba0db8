//! A stand-in for a database endpoint, for tests and development.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::endpoint::program::main()
}
