//! Guards against limits on callers that do not follow from the machine, or that no caller can
//! keep.

use std::time::Duration;

use platform::instance_settings::InstanceSettings;
use platform::instance_settings::SettingsError;
use platform::instance_settings::parse_settings;
use session_core::units::ByteSize;

const PAGE: &str = include_str!("../../docs/settings.md");

fn settings(sections: &str) -> Result<InstanceSettings, SettingsError> {
    let text = "NodeName: front-1\nIp: 127.0.0.1\nZone: zone-a\n\
         Listen:\n  Front: 127.0.0.1:4000\n  Ready: 127.0.0.1:4001\n\
         InternalPorts:\n  - 4002\n  - 4002\n\
         Bounds:\n  RevokeMs: 5000\n  GraceS: 4\n\
         platform:\n  Address: 127.0.0.1:4003\nCloud:\n  Address: 127.0.0.1:4003\n";
    parse_settings(&format!("{text}{sections}"))
}

/// A deployment that states no limits must be served without them, as before.
#[test]
fn no_limits_without_a_machine() {
    let callers = settings("").expect("the settings are valid").callers;
    assert_eq!(callers.memory, None);
    assert_eq!(callers.connections, None);
}

/// On the smallest machine, the limits must leave three quarters of the memory, a quarter of the
/// descriptors, and room for 13 messages of the maximum length at once.
#[test]
fn limits_follow_the_machine() {
    let smallest = settings("Limits:\n  MemoryMb: 112\n  FileDescriptors: 3010\n");
    let callers = smallest.expect("the settings are valid").callers;
    assert_eq!(callers.memory, Some(ByteSize(28 * 1024 * 1024)));
    assert_eq!(callers.connections, Some(896));
    let few = settings("Limits:\n  MemoryMb: 512.0\n  FileDescriptors: 400\n");
    let callers = few.expect("the settings are valid").callers;
    assert_eq!(callers.connections, Some(300));
}

/// Settings of the operators must replace the defaults.
#[test]
fn callers_section_is_used() {
    let section = "Limits:\n  MemoryMb: 112\nCallers:\n  MessageMs: 4000\n  ReaderMs: 5000\n  \
         SessionStateKb: 8\n  MemoryKb: 4096\n  MaxConnections: 70\n";
    let callers = settings(section).expect("the settings are valid").callers;
    assert_eq!(callers.message_time, Duration::from_secs(4));
    assert_eq!(callers.reader_time, Duration::from_secs(5));
    assert_eq!(callers.session_state, ByteSize(8 * 1024));
    assert_eq!(callers.memory, Some(ByteSize(4 * 1024 * 1024)));
    assert_eq!(callers.connections, Some(70));
}

/// Limits that would refuse every caller must be reported with their range.
#[test]
fn unusable_limits_are_refused() {
    for (line, expected) in [
        (
            "MessageMs: 0",
            "Callers.MessageMs is 0, but must be from 1000 to 3600000",
        ),
        (
            "ReaderMs: 999",
            "Callers.ReaderMs is 999, but must be from 1000 to 3600000",
        ),
        (
            "SessionStateKb: 0",
            "Callers.SessionStateKb is 0, but must be from 1 to 67108864",
        ),
        (
            "MemoryKb: 1024",
            "Callers.MemoryKb is 1024, but must be from 3072 to 67108864",
        ),
        (
            "MaxConnections: 0",
            "Callers.MaxConnections is 0, but must be from 1 to 10000000",
        ),
    ] {
        let error = settings(&format!("Callers:\n  {line}\n")).expect_err("out of range");
        assert_eq!(error.to_string(), expected);
    }
}

/// The page must list each limit of the `Callers` section with the range and the default that the
/// code has, and no other.
#[test]
fn page_agrees_with_code() {
    let (_, front) = PAGE
        .split_once("\n## Front daemon\n")
        .expect("the page has a section on the front daemon");
    let rows = front
        .lines()
        .filter_map(|line| line.strip_prefix("| `Callers."));
    let mut names = Vec::new();
    for row in rows {
        let cells: Vec<&str> = row.split(" | ").collect();
        let name = cells[0].trim_end_matches('`');
        let (_, range) = cells[1].split_once(", ").expect("the row has a range");
        let (least, most) = range.split_once(" to ").expect("the range has two ends");
        let [least, most] = [least, most].map(|end| end.parse::<u64>().expect("a number"));
        let with = |value: u64| settings(&format!("Callers:\n  {name}: {value}\n"));
        for value in [least, most] {
            assert!(with(value).is_ok(), "{name}: {value}");
        }
        for value in [least - 1, most + 1] {
            let error = with(value).expect_err("out of range");
            assert!(error.to_string().contains(name), "{error}");
        }
        if let Ok(default) = cells[2].trim_matches('`').parse() {
            let given = with(default).expect("the default is in its range");
            let omitted = settings("").expect("the settings are valid");
            assert_eq!(given, omitted, "{name}");
        }
        names.push(name);
    }
    let expected = [
        "MemoryKb",
        "MaxConnections",
        "SessionStateKb",
        "MessageMs",
        "ReaderMs",
    ];
    assert_eq!(names, expected);
}
