//! The command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    ExitCode::from(tamaracklb::cmd::run_program(&arguments))
}
