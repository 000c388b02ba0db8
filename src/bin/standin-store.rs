//! A stand-in for the platform's store.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::store::program::main()
}
