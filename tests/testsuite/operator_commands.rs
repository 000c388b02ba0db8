//! Checks the output and the exit codes of the operator program, on which scripts rely.

use std::os::unix::fs::PermissionsExt;

use serde::Deserialize;
use tamaracklb::version::bundle_parser::parse_bundle;
use tamaracklb::version::key_verifier::KeyVerifier;
use tamaracklb::version::secret_text::SecretText;

use crate::bundle_faults::SAMPLE;
use crate::program_run::ProgramRun;

#[derive(Deserialize)]
struct NewKey {
    key: String,
    salt: String,
    iterations: u32,
    keys: Vec<tamaracklb::version::bundle::KeyConfig>,
}

fn parse_key(text: &str) -> NewKey {
    serde_saphyr::from_str(text).expect("the output is YAML")
}

/// Returns settings with the given signers, each in the form that `key signer` prints.
pub fn settings_text(signers: &[String], required: usize, store: &str) -> String {
    let entries: String = signers
        .iter()
        .flat_map(|text| text.lines().skip(1))
        .map(|line| format!("  {line}\n"))
        .collect();
    format!(
        "instance_id: i1\navailability_zone: z1\npeer_address: 127.0.0.1:7432\n\
         peer_tls_certificate_file: pem\npeer_tls_key_file: pem\npeer_tls_authority_file: pem\n\
         store_addresses: [{store}]\nendpoint_user: u\nendpoint_password: p\n\
         required_signatures: {required}\nsigners:\n{entries}"
    )
}

/// Exit code 1 reports faults of the input, 2 wrong usage or an unreadable file.
#[test]
fn exit_codes() {
    let run = ProgramRun::new()
        .file("good.yaml", SAMPLE)
        .file("bad.yaml", &SAMPLE.replace("rate: 50", "rate: 0"));
    let good = run.run("check good.yaml");
    assert_eq!((good.code, good.stderr.as_str()), (0, ""));
    assert_eq!(
        good.stdout,
        "good.yaml: bundle v1 is valid: 2 teams, 1 services\n"
    );
    let bad = run.run("check good.yaml bad.yaml");
    assert_eq!(bad.code, 1);
    let expected = "bad.yaml:20:11: teams[1].rate: 0 is not a finite number above 0\n";
    assert!(bad.stdout.ends_with(expected), "{bad:?}");
    assert_eq!(run.run("check missing.yaml").code, 2);
    assert_eq!(run.run("check").code, 2);
    assert_eq!(run.run("chekc good.yaml").code, 2);
    assert_eq!(run.run("").code, 2);
    assert_eq!(run.run("--help").code, 0);
}

/// A generated key must match its verifier and use the salt and iterations of its team.
#[test]
fn new_keys() {
    let run = ProgramRun::new().file("bundle.yaml", SAMPLE);
    let first = parse_key(&run.succeed("key new --team archive --id k9 --bundle bundle.yaml"));
    let mut bundle = parse_bundle(SAMPLE).expect("the sample is valid");
    let team = bundle.teams.remove(1);
    assert_eq!(
        (&first.salt, first.iterations),
        (&team.salt, team.iterations)
    );
    let verifier = KeyVerifier::from_config(&team, &first.keys[0]).expect("it is valid");
    assert!(verifier.check_key(&SecretText::new(first.key.clone())));
    let second = parse_key(&run.succeed("key new --team archive --id k9 --bundle bundle.yaml"));
    assert_ne!(first.key, second.key);
    let without_bundle = parse_key(&run.succeed("key new --team newcomer --id k1"));
    assert_ne!(without_bundle.salt, team.salt);
    assert_eq!(
        run.run("key new --team ghost --id k --bundle bundle.yaml")
            .code,
        2
    );
}

/// The file of a signing key must be private and must not overwrite an existing one.
#[test]
fn signing_key_files() {
    let run = ProgramRun::new();
    run.succeed("key signer --id ops --out ops.pem");
    let before = run.read("ops.pem");
    let metadata = std::fs::metadata(run.path("ops.pem")).expect("the file exists");
    assert_eq!(metadata.permissions().mode() & 0o777, 0o600);
    assert_eq!(run.run("key signer --id ops --out ops.pem").code, 2);
    assert_eq!(run.read("ops.pem"), before);
}

/// Signing by two signers in turn must give an envelope with enough signatures.
#[test]
fn signing_in_turn() {
    let run = ProgramRun::new()
        .file("bundle.yaml", SAMPLE)
        .file("bad.yaml", "version: 0")
        .file("pem", "x");
    let a = run.succeed("key signer --id ops-a --out a.pem");
    let b = run.succeed("key signer --id ops-b --out b.pem");
    let run = run.file(
        "settings.yaml",
        &settings_text(&[a, b], 2, "127.0.0.1:2400"),
    );

    run.succeed("bundle sign --key a.pem --signer ops-a --out one.json bundle.yaml");
    let one = run.run("check --settings settings.yaml one.json");
    assert_eq!(one.code, 1);
    assert!(
        one.stdout.contains("1 valid signatures, 2 required"),
        "{one:?}"
    );
    let two = run.succeed("bundle sign --key b.pem --signer ops-b one.json");
    let run = run.file("two.json", &two);
    let answer = run.succeed("check --settings settings.yaml two.json");
    assert!(
        answer.ends_with("2 teams, 1 services, enough signatures\n"),
        "{answer}"
    );
    let faulty = run.run("bundle sign --key a.pem --signer ops-a bad.yaml");
    assert_eq!((faulty.code, faulty.stdout.as_str()), (1, ""));
}

/// The exit code of a diff follows diff(1).
#[test]
fn diff_exit_codes() {
    let run = ProgramRun::new()
        .file("old.yaml", SAMPLE)
        .file("new.yaml", &SAMPLE.replace("version: 1", "version: 2"));
    let changed = run.run("bundle diff old.yaml new.yaml");
    assert_eq!(
        (changed.code, changed.stdout.as_str()),
        (1, "~ version: 1 -> 2\n")
    );
    assert_eq!(run.run("bundle diff old.yaml old.yaml").code, 0);
    assert_eq!(run.run("bundle diff old.yaml missing.yaml").code, 2);
}
