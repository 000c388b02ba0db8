//! Guards against statements that run with another session's values or prepared statements.

use std::collections::BTreeMap;

use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use session_core::caller_statement::AccessMode;
use session_core::caller_statement::StatementDefinition;
use session_core::prepared_name::PreparedName;
use session_core::session_values::ConnectionValues;
use session_core::session_values::ReplayStep;
use session_core::session_values::SessionValues;

/// Applies the steps to the values and prepared statements of an endpoint's session.
fn run(
    steps: Vec<ReplayStep>,
    values: &mut BTreeMap<String, String>,
    names: &mut BTreeMap<PreparedName, StatementDefinition>,
) {
    for step in steps {
        match step {
            ReplayStep::Reset => {
                values.clear();
                names.clear();
            }
            ReplayStep::Set { name, value } => {
                values.insert(name, value);
            }
            ReplayStep::Prepare { name, definition } => {
                names.insert(name, definition);
            }
        }
    }
}

fn definition(mode: AccessMode, text: &str) -> StatementDefinition {
    StatementDefinition {
        mode,
        text: text.to_owned(),
    }
}

/// The same statement text in read and in write mode must have different names.
#[test]
fn shapes_have_names_of_their_own() {
    let read = PreparedName::new(&definition(AccessMode::Read, "q1"));
    let write = PreparedName::new(&definition(AccessMode::Write, "q1"));
    assert_ne!(read, write);
}

proptest! {
    /// After any series of sessions, the endpoint has exactly the values of the last session, and
    /// the prepared statement that it is about to run.
    #[test]
    fn values_follow_the_session(
        sessions in proptest::collection::vec(
            (proptest::collection::btree_map("[a-c]", "[x-z]", 0..3), proptest::option::of("[p-r]")),
            1..12,
        ),
    ) {
        let mut connection = ConnectionValues::default();
        let mut values = BTreeMap::new();
        let mut names = BTreeMap::new();
        for (wanted, text) in sessions {
            let session = SessionValues { values: wanted, prepared: BTreeMap::new() };
            let definition = text.map(|text| definition(AccessMode::Read, &text));
            let steps = connection.missing_steps(&session, definition.as_ref());
            for step in &steps {
                connection.apply(step);
            }
            run(steps, &mut values, &mut names);
            prop_assert!(connection.matches(&session));
            prop_assert_eq!(&values, &session.values);
            if let Some(definition) = definition {
                let name = PreparedName::new(&definition);
                prop_assert_eq!(names.get(&name), Some(&definition));
            }
        }
    }
}

/// Two definitions with one name would run each other's statements. The texts imitate the forms of
/// names.
#[test]
fn imitated_names_stay_apart() {
    let digest = |text: &str| PreparedName::new(&definition(AccessMode::Read, text)).to_string();
    let long = digest("q 1");
    assert_eq!(long.len(), 67);
    for text in [
        &long[..],
        &long[1..],
        &long[3..],
        "d_",
        "_",
        "",
        "d",
        "q%201",
        "q_201",
    ] {
        let name = digest(text);
        assert_ne!(name, long, "{text:?}");
        assert!(name.len() <= 67, "{name:?}");
        assert_eq!(
            name.parse::<PreparedName>().map(String::from).as_ref(),
            Ok(&name)
        );
    }
    for text in [
        "",
        "r",
        "r_",
        "x_a",
        "r_a b",
        "r_a\u{e9}",
        "rd_0",
        "r_a\n",
        &long.to_uppercase(),
    ] {
        assert!(text.parse::<PreparedName>().is_err(), "{text:?}");
        let json = serde_json::to_string(text).expect("text is JSON");
        assert!(
            serde_json::from_str::<PreparedName>(&json).is_err(),
            "{text:?}"
        );
    }
}

proptest! {
    /// Names must be one field and differ for different definitions, whatever the caller's text is.
    #[test]
    fn names_are_fields_of_their_own(
        texts in proptest::collection::btree_set("([rwd_a]|[ \t\r\n\u{a0}%]){1,6}|.{0,80}", 1..12),
    ) {
        let mut names = std::collections::BTreeSet::new();
        for text in &texts {
            for mode in [AccessMode::Read, AccessMode::Write] {
                let name = PreparedName::new(&definition(mode, text)).to_string();
                prop_assert!(name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_'), "{}", name);
                prop_assert!(name.len() <= 67);
                names.insert(name);
            }
        }
        prop_assert_eq!(names.len(), 2 * texts.len());
    }
}
