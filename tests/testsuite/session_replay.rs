//! Guards against statements that run with another session's values or prepared statements.

use std::collections::BTreeMap;

use proptest::prop_assert_eq;
use proptest::proptest;
use session_core::caller_statement::AccessMode;
use session_core::caller_statement::StatementDefinition;
use session_core::session_values::ConnectionValues;
use session_core::session_values::ReplayStep;
use session_core::session_values::SessionValues;

/// Applies the steps to the values and prepared statements of an endpoint's session.
fn run(
    steps: Vec<ReplayStep>,
    values: &mut BTreeMap<String, String>,
    names: &mut BTreeMap<String, StatementDefinition>,
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
    let read = session_core::session_values::shared_name(&definition(AccessMode::Read, "q1"));
    let write = session_core::session_values::shared_name(&definition(AccessMode::Write, "q1"));
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
            run(connection.replay(&session, definition.as_ref()), &mut values, &mut names);
            prop_assert_eq!(&values, &session.values);
            if let Some(definition) = definition {
                let name = session_core::session_values::shared_name(&definition);
                prop_assert_eq!(names.get(&name), Some(&definition));
            }
        }
    }
}
