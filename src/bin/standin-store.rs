//! A stand-in for the platform's store, for tests and development.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::store::program::main()
}
