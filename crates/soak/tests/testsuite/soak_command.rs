//! Guards against a soak that passes without having run anything.

use std::process::Command;
use std::process::Output;

fn soak(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_soak"))
        .args(arguments)
        .output()
        .expect("the soak can be started")
}

/// A seed cannot run without the daemon's program. This must be reported as an error.
#[test]
fn missing_program_is_reported() {
    let output = soak(&["--program", "missing/tamaracklb-front", "--seeds", "1"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("seed 1"), "{text}");
}

/// A program that is not the daemon never serves. This must be reported as a violation.
#[test]
fn program_that_never_serves_is_reported() {
    let arguments = ["--program", "/bin/true", "--seeds", "1", "--seconds", "1"];
    let output = soak(&arguments);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        text.contains("did not serve") && text.contains("broken: [1]"),
        "{text}"
    );
}
