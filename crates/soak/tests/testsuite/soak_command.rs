//! Guards against a soak that passes without having played anything.

use std::process::Command;
use std::process::Output;

fn soak(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_soak"))
        .args(arguments)
        .output()
        .expect("the soak can be started")
}

/// Without the program of the daemon nothing can be played, which must not pass.
#[test]
fn missing_program_is_told() {
    let output = soak(&["--program", "missing/tamaracklb-front", "--seeds", "1"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("seed 1"), "{text}");
}

/// A program that is no daemon never serves, which must be reported as broken promises.
#[test]
fn useless_program_breaks_promises() {
    let arguments = ["--program", "/bin/true", "--seeds", "1", "--seconds", "1"];
    let output = soak(&arguments);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        text.contains("did not serve") && text.contains("broken: [1]"),
        "{text}"
    );
}
