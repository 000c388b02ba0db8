//! Checks that faulty or ambiguous settings are refused, and that the page that describes the
//! settings agrees with the code.

use std::io;
use std::path::Path;
use std::time::Duration;

use tamaracklb::process::setting_fields::SETTING_FIELDS;
use tamaracklb::process::setting_fields::SettingDefault;
use tamaracklb::process::settings::DaemonSettings;
use tamaracklb::process::settings::LogFormat;
use tamaracklb::process::settings_parser::parse_settings;

const PAGE: &str = include_str!("../../docs/settings.md");
const SAMPLE: &str = include_str!("../../docs/examples/settings.yaml");

/// Settings with only the required fields.
const MINIMAL: &str = "instance_id: i1
availability_zone: z1
peer_address: 127.0.0.1:7432
peer_tls_certificate_file: cert
peer_tls_key_file: key
peer_tls_authority_file: ca
store_addresses: [127.0.0.1:2400]
signers: [{id: ops, public_key: iojj3XQJ8ZX9UtstPLpdcspnCb8dlBIb83SIAbQPb1w=}]
endpoint_user: u
endpoint_password: opensesame
";

fn read_file(path: &Path) -> io::Result<String> {
    match path.to_str() {
        Some("missing") => Err(io::ErrorKind::NotFound.into()),
        _ => Ok("from-file\n".to_owned()),
    }
}

fn parse(text: &str) -> DaemonSettings {
    parse_settings(text, &read_file).unwrap_or_else(|faults| panic!("{faults}"))
}

fn fault_lines(text: &str) -> Vec<String> {
    let faults = parse_settings(text, &read_file).expect_err("the text has faults");
    faults.faults().iter().map(ToString::to_string).collect()
}

fn page_row(name: &str, unit: &str, default: SettingDefault, meaning: &str) -> String {
    let default = match default {
        SettingDefault::Required => "required".to_owned(),
        SettingDefault::Absent => "none".to_owned(),
        SettingDefault::Value(value) => format!("`{value}`"),
    };
    format!("| `{name}` | {unit} | {default} | {meaning} |")
}

/// The page must list each field of the code with its unit, default and meaning, and no other. The
/// section on the front daemon, which has another settings file, is checked by `caller_limits`.
#[test]
fn page_agrees_with_code() {
    let (daemon, _) = PAGE
        .split_once("\n## Front daemon\n")
        .expect("the page has a section on the front daemon");
    let shown: Vec<&str> = daemon
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = SETTING_FIELDS
        .iter()
        .map(|field| page_row(field.name, field.unit, field.default, field.meaning))
        .collect();
    assert_eq!(shown, expected, "expected rows:\n{}", expected.join("\n"));
}

/// The example settings of the documentation must be accepted unchanged.
#[test]
fn sample_is_valid() {
    let settings = parse(SAMPLE);
    assert_eq!(settings.signers.len(), 2);
    assert_eq!(settings.endpoint_password.expose(), "from-file");
}

/// Defaults must apply where a field is left out.
#[test]
fn defaults_apply() {
    let settings = parse(MINIMAL);
    assert_eq!(settings.caller_address.to_string(), "0.0.0.0:5432");
    assert_eq!(settings.http_address.to_string(), "127.0.0.1:9432");
    assert_eq!(settings.drain_timeout, Duration::from_secs(30));
    assert_eq!(settings.store_timeout, Duration::from_secs(2));
    assert_eq!(settings.required_signatures, 1);
    assert_eq!(settings.log_format, LogFormat::Text);
    assert_eq!(settings.log_level, tracing::Level::INFO);
    assert!(settings.caller_tls.is_none());
    assert!(settings.operator_token.is_none());
}

/// Guards against a field of the table that the parser ignores: a wrong value must give a fault.
#[test]
fn every_field_is_read() {
    for field in SETTING_FIELDS {
        let is_other_field = |line: &&str| !line.starts_with(&format!("{}:", field.name));
        let rest: Vec<&str> = MINIMAL.lines().filter(is_other_field).collect();
        let text = format!("{}: {{}}\n{}\n", field.name, rest.join("\n"));
        let lines = fault_lines(&text);
        let found = lines
            .iter()
            .any(|line| line.contains(&format!("1:1: {}", field.name)));
        let column = field.name.len() + 3;
        let located = lines
            .iter()
            .any(|line| line.starts_with(&format!("1:{column}: ")));
        assert!(found || located, "{}: {lines:?}", field.name);
    }
}

/// A missing required field must be reported and not replaced by a default.
#[test]
fn missing_fields() {
    for field in SETTING_FIELDS {
        if field.default == SettingDefault::Required {
            let is_other_field = |line: &&str| !line.starts_with(&format!("{}:", field.name));
            let rest: Vec<&str> = MINIMAL.lines().filter(is_other_field).collect();
            let lines = fault_lines(&rest.join("\n"));
            assert_eq!(lines, [format!("1:1: field '{}' is missing", field.name)]);
        }
    }
}

/// Each rule is checked with a single fault.
#[test]
fn single_faults() {
    let cases = [
        ("instance_id: i1", "instance_id: 'a b'", "character ' '"),
        (
            "instance_id: i1",
            "instance_id: i1\ncolour: red",
            "unknown field 'colour'",
        ),
        (
            "instance_id: i1",
            "instance_id: i1\ninstance_id: i2",
            "occurs twice",
        ),
        ("127.0.0.1:7432", "0.0.0.0:7432", "not an IP address"),
        ("127.0.0.1:7432", "host:7432", "not an IP address"),
        (
            "store_addresses: [127.0.0.1:2400]\n",
            "",
            "store_addresses, bundle_file",
        ),
        ("file: ca", "file: missing", "file 'missing' cannot be read"),
        ("public_key: i", "public_key: j", "ed25519 public key"),
        (
            "endpoint_password: opensesame\n",
            "",
            "endpoint_password, endpoint_password_file",
        ),
        (
            "endpoint_password:",
            "endpoint_password_file: f\nendpoint_password:",
            "exclude each other",
        ),
        ("endpoint_user: u", "endpoint_user: ' '", "text is empty"),
        (
            "endpoint_user: u",
            "endpoint_user: u\nlog_level: loud",
            "one of error, warn",
        ),
        (
            "endpoint_user: u",
            "endpoint_user: u\nlog_level: '3'",
            "one of error, warn",
        ),
        (
            "endpoint_user: u",
            "endpoint_user: u\nlog_format: xml",
            "one of text, json",
        ),
        (
            "endpoint_user: u",
            "endpoint_user: u\nqueue_timeout_ms: 0",
            "outside 1",
        ),
        (
            "endpoint_user: u",
            "endpoint_user: u\nqueue_timeout_ms: 5s",
            "whole number",
        ),
        (
            "endpoint_user: u",
            "endpoint_user: u\nrequired_signatures: 2",
            "outside 1 to 1",
        ),
        (
            "endpoint_user: u",
            "endpoint_user: u\nrequired_signatures: 0",
            "outside 1 to 1",
        ),
        (
            "endpoint_user: u",
            "endpoint_user: u\ncaller_tls_key_file: k",
            "needs field",
        ),
        (
            "endpoint_user: u",
            "endpoint_user: u\ncaller_tls_required: true",
            "needs field",
        ),
        (
            "endpoint_user: u",
            "endpoint_user: u\ncaller_address: 127.0.0.1:9\nhttp_address: 127.0.0.1:9",
            "already in line",
        ),
    ];
    for (from, to, message) in cases {
        assert!(MINIMAL.contains(from), "the settings have no {from:?}");
        let lines = fault_lines(&MINIMAL.replacen(from, to, 1));
        let found = lines.iter().any(|line| line.contains(message));
        assert!(found, "{from:?} -> {to:?} gave {lines:?}, not {message:?}");
    }
}

/// Guards against one key under two names, with which one person could sign as two signers.
#[test]
fn repeated_signers() {
    let key = "public_key: iojj3XQJ8ZX9UtstPLpdcspnCb8dlBIb83SIAbQPb1w=}";
    let text = MINIMAL.replace(key, &format!("{key}, {{id: two, {key}"));
    let lines = fault_lines(&text);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("public key 'iojj3XQJ8ZX9UtstPLpdcspnCb8dlBIb83SIAbQPb1w=' is"));
}

/// Settings are logged for debugging, so their Debug output must not contain secrets.
#[test]
fn hidden_secrets() {
    let text = format!("{MINIMAL}operator_token: letmein\n");
    let settings = parse(&text);
    let shown = format!("{settings:?}");
    assert!(
        !shown.contains("opensesame") && !shown.contains("letmein"),
        "{shown}"
    );
}
