//! Guards against misread messages, and against input that stops the daemon.

use bytes::BytesMut;
use platform::caller_codec::CallerCodec;
use platform::caller_codec::CallerMessage;
use platform::caller_codec::CallerReply;
use platform::caller_codec::parse_statement;
use platform::configuration::parse_configuration;
use platform::endpoint_codec::EndpointCodec;
use platform::endpoint_codec::EndpointCommand;
use platform::endpoint_codec::EndpointMessage;
use platform::endpoint_codec::ForwardedStatement;
use platform::endpoint_codec::parse_report;
use platform::instance_settings::parse_settings;
use platform::line_frame::FrameError;
use platform::line_frame::MAX_MESSAGE_BYTES;
use platform::registry::parse_entry;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;
use session_core::caller_statement::AccessMode;
use session_core::caller_statement::CallerStatement;
use session_core::log_point::LogPoint;
use session_core::request_outcome::EndpointRefusal;
use session_core::serving_rules::ReadPolicy;
use session_core::session_state::SessionState;
use session_core::units::RequestRate;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

fn encode(command: EndpointCommand) -> String {
    let mut out = BytesMut::new();
    EndpointCodec::default()
        .encode(command, &mut out)
        .expect("commands can be encoded");
    String::from_utf8(out.to_vec()).expect("commands are text")
}

/// The text of a statement must reach the endpoint unchanged, after the floor.
#[test]
fn statement_is_forwarded_unchanged() {
    let statement = parse_statement("WRITE 1a4  two  blanks ").expect("it is a statement");
    let CallerStatement::Direct { mode, text } = statement else {
        panic!("not a direct statement: {statement:?}");
    };
    assert_eq!(mode, AccessMode::Write);
    let line = encode(EndpointCommand::Pass {
        id: "5c0e".to_owned(),
        floor: Some(LogPoint::new(3, 1207)),
        statement: ForwardedStatement::Direct(text),
    });
    assert_eq!(
        line,
        "QUERY 5c0e WAITFOR 3.1207 WRITE 1a4  two  blanks \r\n"
    );
}

/// Commands that only the instance may send must be refused as statements of a caller.
#[test]
fn callers_cannot_set_floors() {
    assert_eq!(parse_statement("WAITFOR 1.2 READ 1a4"), None);
    assert_eq!(parse_statement("STATUS"), None);
    assert_eq!(parse_statement("DEMOTE 4"), None);
    assert_eq!(parse_statement("RESET"), None);
}

/// Each reply must be encoded as exactly one line.
#[test]
fn replies_are_single_lines() {
    let mut out = BytesMut::new();
    let mut codec = CallerCodec::default();
    for reply in [
        CallerReply::Row("abc def".to_owned()),
        CallerReply::Done("7.1f3".to_owned()),
        CallerReply::Ready {
            state: SessionState::Open,
            position: "-".to_owned(),
        },
    ] {
        codec
            .encode(reply, &mut out)
            .expect("replies can be encoded");
    }
    assert_eq!(
        &out[..],
        b"DATAROW abc def\r\nCOMPLETE 7.1f3\r\nREADY T -\r\n"
    );
}

/// A message that exceeds the maximum length without an end must be refused and not buffered.
#[test]
fn endless_message_is_refused() {
    let mut buffer = BytesMut::from(&vec![b'a'; MAX_MESSAGE_BYTES + 1][..]);
    let result = CallerCodec::default().decode(&mut buffer);
    assert!(matches!(result, Err(FrameError::TooLarge)));
}

/// The Debug output of a startup message, which is logged, must not contain the caller's key.
#[test]
fn key_is_hidden() {
    let mut buffer = BytesMut::from(&b"STARTUP lepu270 u3f1secret\r\n"[..]);
    let message = CallerCodec::default()
        .decode(&mut buffer)
        .expect("it is a message")
        .expect("it is complete");
    assert!(matches!(message, CallerMessage::Startup { .. }));
    assert!(!format!("{message:?}").contains("u3f1secret"));
}

/// An unknown refusal code must not be read as one that says the statement did not run.
#[test]
fn unknown_code_is_other_refusal() {
    let mut buffer = BytesMut::from(&b"ERROR NEWCODE text\r\nERROR BUSY i-1\r\n"[..]);
    let mut codec = EndpointCodec::default();
    let mut refusal = || match codec.decode(&mut buffer) {
        Ok(Some(EndpointMessage::Refused { refusal, .. })) => refusal,
        other => panic!("not a refusal: {other:?}"),
    };
    assert_eq!(refusal(), EndpointRefusal::Other);
    assert_eq!(refusal(), EndpointRefusal::Busy);
}

/// A malformed entry in the store must be refused as a whole, without defaults for its fields.
#[test]
fn malformed_entries_are_refused() {
    let good = r#"{"Service":"s","Address":"10.128.0.9:8080","Zone":"z","Slots":3,"State":"ready","DatabaseRole":"replica","Sequence":4,"born":7}"#;
    let entry = parse_entry("servers/i-1", good.as_bytes()).expect("the entry is valid");
    assert_eq!((entry.id.as_str(), entry.born), ("i-1", 7));
    for (from, to) in [
        ("\"ready\"", "\"asleep\""),
        ("\"replica\"", "\"witness\""),
        ("\"Slots\":3", "\"Slots\":\"3\""),
        ("10.128.0.9:8080", "nowhere"),
        ("{", ""),
    ] {
        let bad = good.replacen(from, to, 1);
        assert!(parse_entry("servers/i-1", bad.as_bytes()).is_err(), "{bad}");
    }
}

/// The values of a configuration must be decoded into the matching fields.
#[test]
fn configuration_is_decoded() {
    let text = r#"{"Version":7,"Routes":[{"Name":"r","Host":"db1","Prefix":"/","Kind":"read_your_writes","TimeoutMs":1000,"TargetLatencyMs":400,"Priority":2,"Service":"s","MaxAttempts":2,"MaxStalenessMs":2500,"Public":false}],"Services":[{"Name":"s","MaxConnections":46,"SyncReplicas":1}],"Limits":{"TransactionIdleMs":3000},"Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"RatePerS":129,"Burst":130}]}"#;
    let rules = parse_configuration(text.as_bytes()).expect("the configuration is valid");
    let route = rules.routes.get("db1").expect("the route exists");
    let staleness = std::time::Duration::from_millis(2_500);
    assert_eq!(route.policy, ReadPolicy::OwnWrites(staleness));
    assert_eq!(rules.keys.len(), 2);
    let team = rules.keys.get("k2").expect("the key exists");
    assert!((rules.teams[team].burst.0 - 130.0).abs() < f64::EPSILON);
    let unknown = text.replace("read_your_writes", "eventual");
    assert!(parse_configuration(unknown.as_bytes()).is_err());
}

/// The fields of a status row must be read in order, and an incomplete row must be refused.
#[test]
fn report_has_its_fields() {
    let report = parse_report("replica 3 3.1209 0 12 2 17").expect("the row is valid");
    assert_eq!(report.received, LogPoint::new(3, 1209));
    assert_eq!((report.term.0, report.paused_term.0), (3, 0));
    assert!(parse_report("replica 3 3.1209").is_none());
    assert!(parse_report("observer 3 3.1209 0 12 2 17").is_none());
}

/// Fields about cold endpoints must be read, and be optional: without them there is no bound.
#[test]
fn cold_fields_are_optional() {
    let settings = |bounds: &str| {
        let text = format!(
            "NodeName: front-1\nIp: 127.0.0.1\nZone: z\n\
             Listen:\n  Front: 127.0.0.1:1\n  Ready: 127.0.0.1:2\nInternalPorts: [3, 4]\n\
             Bounds:\n  RevokeMs: 5000\n  GraceS: 4\n{bounds}\
             platform:\n  Address: 127.0.0.1:5\nCloud:\n  Address: 127.0.0.1:6\n"
        );
        parse_settings(&text).expect("the settings are valid")
    };
    let allowance = settings("").cold_allowance;
    assert_eq!(allowance.slots(RequestRate(4.0)), Some(11));
    let allowance = settings("  ColdOverage: 2\n  ColdSlack: 1\n").cold_allowance;
    assert_eq!(allowance.slots(RequestRate(4.0)), Some(9));
    let rate = |field: &str| {
        let text = format!(r#"{{"Version":7,"Services":[{{"Name":"s"{field}}}]}}"#);
        let rules = parse_configuration(text.as_bytes()).expect("the configuration is valid");
        rules
            .services
            .values()
            .next()
            .expect("the service exists")
            .cold_rate
    };
    assert_eq!(rate(""), RequestRate(0.0));
    assert_eq!(rate(r#","ColdPerS":2.5"#), RequestRate(2.5));
    let cold = |field: &str| {
        let text = format!(
            r#"{{"Service":"s","Address":"10.128.0.9:8080","Zone":"z","Slots":3,"State":"ready","DatabaseRole":"replica"{field}}}"#
        );
        let entry = parse_entry("servers/i-1", text.as_bytes()).expect("the entry is valid");
        entry.cold_time.as_millis()
    };
    assert_eq!(cold(""), 0);
    assert_eq!(cold(r#","ColdRemainingMs":1200"#), 1_200);
    assert_eq!(cold(r#","ColdRemainingMs":-3.5"#), 0);
}

/// Settings with a missing or wrong field must be refused with the reason.
#[test]
fn bad_settings_are_refused() {
    let error = parse_settings("NodeName: front-1\n").expect_err("fields are missing");
    assert!(error.to_string().contains("missing"), "{error}");
    assert!(parse_settings("- a list").is_err());
}

/// A deployment without the contract must be served as before, whatever other contracts it has.
#[test]
fn degradation_needs_its_contract() {
    let text = "NodeName: front-1\nIp: 127.0.0.1\nZone: a\n\
        Listen:\n  Front: 127.0.0.1:1\n  Ready: 127.0.0.1:2\nInternalPorts: [3, 4]\n\
        Bounds:\n  RevokeMs: 5000\n  GraceS: 4\n\
        platform:\n  Address: 127.0.0.1:5\nCloud:\n  Address: 127.0.0.1:6\n";
    for (contracts, expected) in [
        ("", false),
        ("Contracts: [quota]\n", false),
        ("Contracts: [quota, health]\n", true),
    ] {
        let settings = parse_settings(&format!("{text}{contracts}")).expect("settings");
        assert_eq!(settings.endpoints_may_degrade, expected, "{contracts}");
    }
}

proptest! {
    /// Arbitrary bytes must give the same messages when split at any position, and never panic.
    #[test]
    fn bytes_split_anywhere(bytes in proptest::collection::vec(any::<u8>(), 0..300), cut in 0_usize..300) {
        let whole = decode_all(&[&bytes]);
        let cut = cut.min(bytes.len());
        prop_assert_eq!(decode_all(&[&bytes[..cut], &bytes[cut..]]), whole);
    }

    /// Words of the protocol in any order must not make either codec panic.
    #[test]
    fn words_in_any_order(line in "(STARTUP|QUERY|READY|ERROR|COMPLETE|DATAROW|TERMINATE)( [A-Z0-9.-]{0,8}){0,5}") {
        let mut buffer = BytesMut::from(format!("{line}\r\n").as_bytes());
        let _ = CallerCodec::default().decode(&mut buffer.clone());
        let _ = EndpointCodec::default().decode(&mut buffer);
    }
}

/// Decodes the pieces in order, up to the first error.
fn decode_all(pieces: &[&[u8]]) -> Vec<String> {
    let mut codec = CallerCodec::default();
    let mut buffer = BytesMut::new();
    let mut messages = Vec::new();
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(message)) => messages.push(format!("{message:?}")),
                Ok(None) => break,
                Err(error) => {
                    messages.push(error.to_string());
                    return messages;
                }
            }
        }
    }
    messages
}
