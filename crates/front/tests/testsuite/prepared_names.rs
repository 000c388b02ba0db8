//! Guards against prepared statements that run with another definition or other arguments than those
//! of their caller.

use std::collections::HashMap;

use crate::fleet::Fleet;

/// Texts of definitions that a caller may send: the last field of its message.
const TEXTS: [&str; 9] = [
    "q1",
    "q1 READ frcbi",
    "q1 WRITE frcbi",
    "q1  x",
    " q1",
    "q1 ",
    "q1\tREAD\tx",
    "q%201",
    "q-é\u{a0}x",
];

/// A definition whose text contains blanks must reach the endpoint as one, and its arguments as they
/// were sent. As a part of the name, the text shifted the fields of `EXECUTE`.
#[tokio::test]
async fn blanks_stay_in_definition() {
    let fleet = Fleet::start(1).await;
    let mut sent = HashMap::new();
    for text in TEXTS {
        for mode in ["READ", "WRITE"] {
            let mut caller = fleet.caller(0, "linear").await;
            let definition = format!("{mode} {text}");
            let prepared = caller.request(&format!("PREPARE s1 {definition}")).await;
            assert!(prepared.succeeded(), "{prepared:?}");
            let id = caller.next_id();
            let executed = caller.request("EXECUTE s1 item three").await;
            assert!(executed.succeeded(), "{definition:?} got {executed:?}");
            sent.insert(id, definition);
        }
    }
    let group = fleet.platform.shared.group();
    for run in &group.executed_statements {
        let Some(definition) = sent.get(&run.id) else {
            continue;
        };
        let words: Vec<_> = run.text.splitn(3, ' ').collect();
        assert_eq!((words[0], words[2]), ("EXECUTE", "item three"), "{run:?}");
        assert_eq!(run.definition.as_ref(), Some(definition), "{run:?}");
        assert_eq!(run.wrote, definition.starts_with("WRITE"), "{run:?}");
    }
}

/// The definition of one session must not replace that of another on the same connection.
#[tokio::test]
async fn definitions_of_sessions_stay_apart() {
    let fleet = Fleet::start(1).await;
    let mut first = fleet.caller(0, "linear").await;
    let mut second = fleet.caller(0, "linear").await;
    assert!(first.request("PREPARE s1 WRITE q1").await.succeeded());
    let prepared = second.request("PREPARE s1 WRITE q1 READ frcbi").await;
    assert!(prepared.succeeded());
    for number in 0..5 {
        let written = first.request(&format!("EXECUTE s1 page {number}")).await;
        assert!(written.succeeded());
        assert!(second.request("EXECUTE s1 other x").await.succeeded());
        let written = first.request(&format!("EXECUTE s1 page {number}b")).await;
        assert!(written.succeeded());
        let read = first.request("READ page").await;
        assert_eq!(read.rows, vec![format!("{number}b")]);
    }
}
