//! Checks that parsing reports all faults of a bundle at once and accepts no faulty bundle.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tamaracklb::version::bundle::BundleConfig;
use tamaracklb::version::bundle_envelope::BundleEnvelope;
use tamaracklb::version::bundle_parser::parse_bundle;
use tamaracklb::version::config_fault::ConfigFault;

pub const SAMPLE: &str = include_str!("../../docs/examples/bundle.yaml");

fn fault_lines(text: &str) -> Vec<String> {
    let faults = parse_bundle(text).expect_err("the text has faults");
    faults.faults().iter().map(ToString::to_string).collect()
}

/// Replaces one text of the sample and returns the faults.
fn faults_with(from: &str, to: &str) -> Vec<String> {
    assert!(SAMPLE.contains(from), "the sample has no {from:?}");
    fault_lines(&SAMPLE.replacen(from, to, 1))
}

/// The hand-written parser must accept the same format as the derived deserializer.
#[test]
fn reader_agrees_with_derive() {
    let read = parse_bundle(SAMPLE).expect("the sample is valid");
    let derived: BundleConfig = serde_saphyr::from_str(SAMPLE).expect("the sample is valid");
    assert_eq!(read, derived);
    let written = serde_saphyr::to_string(&read).expect("a bundle can be written");
    assert_eq!(parse_bundle(&written), Ok(read));
}

/// All faults are reported together, so that an operator can correct them in one pass.
#[test]
fn all_faults_at_once() {
    let text = "version: 0
teams:
  - id: acme
    rate: .inf
    burst: 0.5
    colour: red
  - id: acme
    rate: -1
    burst: 10
    keys: [{id: k1, stored_key: short, server_key: ''}]
services:
  - id: db
    endpoints: []
    teams: [acme, nobody]
    open_as: ghost
objectives:
  - {service: db, target: 1.5, window_hours: 24}
  - {service: cache, target: 0.9, window_hours: 24}
";
    let expected = [
        "1:10: version: 0 is below 1",
        "4:11: teams[0].rate: inf is not a finite number above 0",
        "5:12: teams[0].burst: 0.5 is below 1 requests",
        "6:5: teams[0]: unknown field 'colour'",
        "7:5: teams[1]: field 'keys' needs field 'salt'",
        "7:9: teams[1].id: team 'acme' is already in line 3",
        "8:11: teams[1].rate: -1 is not a finite number above 0",
        "10:33: teams[1].keys[0].stored_key: expected 32 bytes in base64",
        "10:52: teams[1].keys[0].server_key: expected 32 bytes in base64",
        "13:16: services[0].endpoints: at least one endpoint is required",
        "14:19: services[0].teams[1]: team 'nobody' does not exist",
        "15:14: services[0].open_as: team 'ghost' does not exist",
        "17:27: objectives[0].target: 1.5 is outside 0 to 1 (both excluded)",
        "18:15: objectives[1].service: service 'cache' does not exist",
    ];
    assert_eq!(fault_lines(text), expected);
}

/// Each rule is checked with a single fault, since a rule that only fires together with others
/// would miss it.
#[test]
fn single_faults() {
    let cases = [
        ("version: 1", "version: -1", "-1 is below 1"),
        ("version: 1", "version: '1'", "expected a whole number"),
        ("version: 1", "version: 1\nversion: 2", "occurs twice"),
        ("version: 1\n", "", "field 'version' is missing"),
        ("version: 1", "versoin: 1", "unknown field 'versoin'"),
        ("id: archive\n", "id: 'ar chive'\n", "character ' '"),
        (
            "id: archive\n",
            "id: 7\n",
            "expected a text, found a number",
        ),
        ("rate: 50", "rate: 0", "not a finite number above 0"),
        ("rate: 50", "rate: .nan", "not a finite number above 0"),
        ("rate: 50", "rate: 1e400", "not a finite number above 0"),
        ("burst: 100", "burst: .inf", "not a finite number above 0"),
        ("weight: 2", "weight:", "expected a number, found nothing"),
        ("weight: 2", "weight: 0", "not a finite number above 0"),
        ("iterations: 4096", "iterations: 1", "outside 4096"),
        ("id: archive-2026a", "id: ''", "identifier is empty"),
        ("id: studio-db-2", "id: studio-db-1", "already in line"),
        ("10.20.2.11:5432", "10.20.1.11:5432", "already in line"),
        ("10.20.2.11:5432", "db.example:5432", "not an IP address"),
        ("10.20.2.11:5432", "10.20.2.11:0", "not an IP address"),
        ("10.20.2.11:5432", "0.0.0.0:5432", "not an IP address"),
        ("10.20.2.11:5432", "10.20.2.11", "not an IP address"),
        ("zone: lagos-b\n", "\n", "field 'zone' is missing"),
        ("slots: 3", "slots: 0", "outside 1"),
        ("slots: 3", "slots: 1.5", "expected a whole number"),
        ("connections: 50", "connections: 2", "outside 3"),
        ("connections: 50", "connections: 4294967297", "outside 3"),
        (
            "connections: 50",
            "connections: 50\n        leaving: 1",
            "true or false",
        ),
        (
            "[studio-web, archive]",
            "[archive, archive]",
            "already in line",
        ),
        ("[studio-web, archive]", "archive", "expected a list"),
        (
            "staleness_limit_ms: 2000",
            "staleness_limit_ms: 0",
            "outside 1",
        ),
        ("- INSERT INTO plate_orders", "- ' '", "text is empty"),
        ("target: 0.999", "target: 1", "outside 0 to 1"),
        ("target: 0.999", "target: .nan", "outside 0 to 1"),
        ("window_hours: 720", "window_hours: 0", "outside 1"),
        ("service: studio-db", "service: studio", "does not exist"),
        ("teams:\n", "teams: []\nolder:\n", "at least one team"),
        (
            "services:\n",
            "services: []\nolder:\n",
            "at least one service",
        ),
    ];
    for (from, to, message) in cases {
        let lines = faults_with(from, to);
        let found = lines.iter().any(|line| line.contains(message));
        assert!(found, "{from:?} -> {to:?} gave {lines:?}, not {message:?}");
    }
}

/// Guards against one verifier under two key names, which would stay valid when one is withdrawn.
#[test]
fn repeated_verifier() {
    let key = "      - id: archive-2026a\n";
    let (start, rest) = SAMPLE.split_once(key).expect("the sample has the key");
    let fields: String = rest
        .lines()
        .take(2)
        .map(|line| format!("{line}\n"))
        .collect();
    let text = format!("{start}{key}{fields}      - id: second\n{rest}");
    let lines = fault_lines(&text);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("verifier of key 'second' is already in line"));
}

/// Text that is not a bundle must be refused and not parsed as an empty one.
#[test]
fn malformed_texts() {
    for text in [
        "",
        "null",
        "[]",
        "a: [1",
        "version: 1\n---\nversion: 2\n",
        "\u{0}",
    ] {
        assert!(parse_bundle(text).is_err(), "{text:?} was accepted");
    }
    let large = format!("# {}\n{SAMPLE}", "x".repeat(960_000));
    let faults = parse_bundle(&large).expect_err("the text is too large");
    let kind = &faults.faults()[0].fault;
    assert!(matches!(kind, ConfigFault::TooLarge { .. }));
}

/// Returns a bundle of the size that is expected within two years: 780 services, 500 teams.
fn fleet_text() -> String {
    let verifier = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";
    let mut text = "version: 18446744073709551615\nteams:\n".to_owned();
    for team in 0..500 {
        text += &format!(
            "  - id: team-{team:04}\n    salt: AAAAAAAAAAAAAAAAAAAAAA==\n    rate: 2000\n    \
             burst: 4000\n    keys:\n      - id: team-{team:04}-2026a\n        \
             stored_key: {verifier}\n        server_key: {verifier}\n"
        );
    }
    text += "services:\n";
    for service in 0..780 {
        text += &format!(
            "  - id: service-{service:04}\n    teams: [team-{:04}]\n",
            service % 500
        );
        text += "    staleness_limit_ms: 2000\n    endpoints:\n";
        for endpoint in 0..3 {
            text += &format!(
                "      - id: service-{service:04}-{endpoint}\n        \
                 address: 10.{endpoint}.{}.{}:5432\n        zone: region-1-zone-{endpoint}\n        \
                 slots: 3\n        connections: 50\n",
                service / 250,
                service % 250 + 1
            );
        }
    }
    text += "objectives:\n";
    for service in 0..780 {
        let name = format!("service-{service:04}");
        text += &format!("  - {{service: {name}, target: 0.999, window_hours: 720}}\n");
    }
    text
}

/// A bundle for the expected fleet must fit into one store value and be accepted.
#[test]
fn fleet_size() {
    let text = fleet_text();
    let config = parse_bundle(&text).unwrap_or_else(|faults| panic!("{faults}"));
    assert_eq!((config.teams.len(), config.services.len()), (500, 780));
    assert_eq!(config.version.0, u64::MAX);
    let json = BundleEnvelope::new(text)
        .to_json()
        .expect("the envelope fits");
    assert!(json.len() < 1_000_000, "{} bytes", json.len());
}

/// Guards against nested aliases whose expansion would exhaust memory.
#[test]
fn alias_expansion() {
    let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_owned();
    for level in 1..12 {
        let below = format!("*a{}", level - 1);
        let list = vec![below; 10].join(", ");
        text += &format!("a{level}: &a{level} [{list}]\n");
    }
    assert!(parse_bundle(&text).is_err());
}

fn mutated_sample() -> impl Strategy<Value = String> {
    let edit = (
        0..SAMPLE.len(),
        0..4_usize,
        "[ \\-:\\[\\]{}&*!0-9a-z\n'#.]{0,3}",
    );
    proptest::collection::vec(edit, 1..4).prop_map(|edits| {
        let mut bytes = SAMPLE.as_bytes().to_vec();
        for (start, length, text) in edits {
            let start = start.min(bytes.len());
            let end = (start + length).min(bytes.len());
            bytes.splice(start..end, text.bytes());
        }
        String::from_utf8(bytes).expect("the sample is ASCII")
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Parsing a corrupted text must not panic, and an accepted one must match the derived
    /// deserializer.
    #[test]
    fn damaged_texts(text in mutated_sample()) {
        match parse_bundle(&text) {
            Ok(read) => {
                let derived: Result<BundleConfig, _> = serde_saphyr::from_str(&text);
                prop_assert_eq!(derived.ok(), Some(read));
            }
            Err(faults) => {
                prop_assert!(!faults.faults().is_empty());
            }
        }
    }
}
