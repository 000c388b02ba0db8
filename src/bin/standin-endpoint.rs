//! A stand-in for one database endpoint.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::endpoint::program::main()
}
