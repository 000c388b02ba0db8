//! Guards against sessions that lose their values, prepared names or writes on another connection
//! or endpoint.

use standins::platform::line_caller::LineCaller;

use crate::fleet::Fleet;
use crate::fleet::HOSTED_INSTANCES;
use crate::fleet::KEY;

/// Returns the names and values as the stand-in records them.
fn owned<const N: usize>(values: [(&str, &str); N]) -> [(String, String); N] {
    values.map(|(name, value)| (name.to_owned(), value.to_owned()))
}

/// A session must see its own write at once, whichever endpoint serves the read.
#[tokio::test]
async fn own_write_is_read() {
    let fleet = Fleet::start(2).await;
    fleet
        .platform
        .change_group(|group| group.lag = std::time::Duration::from_millis(300));
    let mut caller = fleet.caller(0, "own").await;
    for number in 0..20 {
        let written = caller
            .request_until_served(&format!("WRITE page {number}"))
            .await;
        assert!(written.last_line.contains("db-"), "{written:?}");
        let read = caller.request_until_served("READ page").await;
        assert_eq!(read.rows, vec![number.to_string()]);
    }
}

/// A read on a linearizable route must see a write of another session on another instance.
#[tokio::test]
async fn linear_read_sees_other_sessions() {
    let fleet = Fleet::start(2).await;
    let mut writer = fleet.caller(0, "linear").await;
    let mut reader = fleet.caller(1, "linear").await;
    for number in 0..20 {
        writer
            .request_until_served(&format!("WRITE page {number}"))
            .await;
        let read = reader.request_until_served("READ page").await;
        assert_eq!(read.rows, vec![number.to_string()]);
    }
}

/// Statements must run with the values of their own session, even on connections that other
/// sessions used.
#[tokio::test]
async fn values_follow_their_session() {
    let fleet = Fleet::start(1).await;
    let mut first = fleet.caller(0, "linear").await;
    let mut second = fleet.caller(0, "linear").await;
    assert!(first.request("SET locale yo").await.succeeded());
    assert!(first.request("PREPARE s1 READ q1").await.succeeded());
    assert!(second.request("PREPARE s1 WRITE q2").await.succeeded());
    for _ in 0..5 {
        assert!(first.request("EXECUTE s1 page").await.succeeded());
        assert!(second.request("EXECUTE s1 page x").await.succeeded());
    }
    let group = fleet.platform.shared.group();
    for run in group.executed_statements.iter().rev().take(10) {
        let expected = match run.wrote {
            true => Vec::new(),
            false => vec![("locale".to_owned(), "yo".to_owned())],
        };
        assert_eq!(run.values, expected, "{run:?}");
        assert_eq!(run.team, "studio");
    }
}

/// A value that is set inside a transaction must be in force for its next direct statement, as its
/// caller was told that it is set.
#[tokio::test]
async fn value_is_set_inside_a_transaction() {
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "linear").await;
    assert!(caller.request("SET locale yo").await.succeeded());
    assert_eq!(caller.request("BEGIN").await.state, "T");
    assert!(caller.request("READ page").await.succeeded());
    assert!(caller.request("SET locale ha").await.succeeded());
    assert!(caller.request("SET zone wat").await.succeeded());
    assert!(caller.request("WRITE page inside").await.succeeded());
    let expected = owned([("locale", "ha"), ("zone", "wat")]);
    {
        let group = fleet.platform.shared.group();
        let run = group.executed_statements.last().expect("the write ran");
        assert_eq!(run.values, expected);
    }
    assert!(caller.request("COMMIT").await.succeeded());
}

/// A value that a demoted primary refuses inside a transaction must be set before the session's next
/// statement there, which would run with the former value otherwise (review case 12).
#[tokio::test]
async fn refused_value_is_set_later() {
    let fleet = Fleet::start(1).await;
    assert_refused_value_is_set(&fleet, 0).await;
}

/// So must it on a connection that the endpoint's host keeps.
#[tokio::test]
async fn refused_value_is_set_through_a_host() {
    let fleet = Fleet::start_hosted(false).await;
    for instance in 0..HOSTED_INSTANCES {
        assert_refused_value_is_set(&fleet, instance).await;
    }
}

/// Lets the primary lose its lead while a transaction has a value that it was not sent yet, and checks
/// the values of the session's later statements.
async fn assert_refused_value_is_set(fleet: &Fleet, instance: usize) {
    let mut caller = fleet.caller(instance, "linear").await;
    assert!(caller.request("SET locale yo").await.succeeded());
    assert!(caller.request("SET zone wat").await.succeeded());
    caller.request_until_served("READ page").await;
    let primary = fleet.primary();
    assert_eq!(caller.request("BEGIN").await.state, "T");
    assert!(caller.request("READ page").await.succeeded());
    assert!(caller.request("SET locale ha").await.succeeded());
    assert!(caller.request("SET zone cat").await.succeeded());
    assert!(caller.request("PREPARE s1 READ q1").await.succeeded());
    set_lead(fleet, &primary, false);
    let refused = caller.request("EXECUTE s1 page").await;
    assert!(!refused.succeeded(), "{refused:?}");
    set_lead(fleet, &primary, true);
    assert_eq!(caller.request("ROLLBACK").await.state, "I");
    let expected = owned([("locale", "ha"), ("zone", "cat")]);
    for statement in ["READ page", "EXECUTE s1 page", "WRITE page later"] {
        caller.request_until_served(statement).await;
        let group = fleet.platform.shared.group();
        let run = group.executed_statements.last().expect("it ran");
        assert_eq!(run.values, expected, "{run:?}");
    }
}

/// A write must not be acknowledged if the endpoint ran it without a value that its caller had set, and
/// the transaction that the instance has rolled back for that must not go on.
#[tokio::test]
async fn statement_without_its_value_fails() {
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page before").await;
    assert_eq!(caller.request("BEGIN").await.state, "T");
    assert!(caller.request("READ page").await.succeeded());
    assert!(caller.request("SET locale yo").await.succeeded());
    assert!(caller.request("SET zone wat").await.succeeded());
    fleet.platform.shared.group().refused_values = 1;
    let refused = caller.request("WRITE page inside").await;
    assert!(!refused.succeeded(), "{refused:?}");
    assert_eq!(refused.state, "E");
    assert_eq!(caller.request("COMMIT").await.code(), "ABORTED");
    let read = caller.request_until_served("READ page").await;
    assert_eq!(read.rows, vec!["before"]);
    let group = fleet.platform.shared.group();
    let run = group.executed_statements.last().expect("the read ran");
    let expected = owned([("locale", "yo"), ("zone", "wat")]);
    assert_eq!(run.values, expected);
}

/// Lets an endpoint lose or regain its lead. Its registry entry stays, so that it is not replaced.
fn set_lead(fleet: &Fleet, id: &str, leads: bool) {
    let mut group = fleet.platform.shared.group();
    let endpoint = group.endpoints.get_mut(id).expect("the endpoint exists");
    endpoint.primary = leads;
}

/// A transaction must stay on one connection, and have no effect if it is rolled back.
#[tokio::test]
async fn rolled_back_write_is_gone() {
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page before").await;
    assert_eq!(caller.request("BEGIN").await.state, "T");
    assert!(caller.request("WRITE page inside").await.succeeded());
    assert_eq!(caller.request("ROLLBACK").await.state, "I");
    assert_eq!(caller.request("READ page").await.rows, vec!["before"]);
    assert_eq!(caller.request("BEGIN").await.state, "T");
    assert!(caller.request("WRITE page after").await.succeeded());
    let committed = caller.request("COMMIT").await;
    assert!(committed.succeeded() && committed.last_line.contains("db-"));
    assert_eq!(caller.request("READ page").await.rows, vec!["after"]);
}

/// Unknown databases, keys, names and malformed statements must be refused with codes of their own.
/// Refused statements must not end the session.
#[tokio::test]
async fn bad_requests_are_distinguished() {
    let fleet = Fleet::start(1).await;
    let address = fleet.instances[0].process.callers;
    let refused = LineCaller::try_open(address, "nowhere", KEY).await;
    assert!(refused.is_err_and(|error| error.to_string().starts_with("refused: ERROR NODATABASE")));
    let refused = LineCaller::try_open(address, "linear", "other").await;
    assert!(refused.is_err_and(|error| error.to_string().starts_with("refused: ERROR DENIED")));
    let mut caller = fleet.caller(0, "linear").await;
    assert_eq!(caller.request("DANCE").await.code(), "MALFORMED");
    assert_eq!(caller.request("EXECUTE s9 page").await.code(), "UNDEFINED");
    assert_eq!(caller.request("COMMIT").await.code(), "MALFORMED");
    assert!(caller.request("READ page").await.succeeded());
}

/// A read whose answer is lost must be served by a retry, not refused. It may time out if the lost
/// answer has used up the time for a retry.
#[tokio::test]
async fn lost_read_answer_is_repeated() {
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "bounded").await;
    caller.request_until_served("READ page").await;
    fleet.platform.shared.group().lose_answers = 1;
    let answer = caller.request("READ page").await;
    // The connection stays open when the answer is lost, so the statement timeout passes first.
    assert!(
        answer.succeeded() || answer.code() == "TIMEOUT",
        "{answer:?}"
    );
    assert!(caller.request("READ page").await.succeeded());
}

/// The values of a session without a team must survive queries of the primary's position, which use
/// the same connections. A new leader has no other connection for them (review case 5).
#[tokio::test]
async fn position_queries_keep_values() {
    let mut fleet = Fleet::start(2).await;
    let leader = fleet.leader().expect("an instance leads");
    // As a follower it has not queried the primary yet.
    fleet.instances[1 - leader].restart();
    fleet.instances[1 - leader].await_ready().await;
    let address = fleet.instances[1 - leader].process.callers;
    let mut caller = LineCaller::open(address, "open", "-").await;
    assert!(caller.request("SET locale yo").await.succeeded());
    let expected = vec![("locale".to_owned(), "yo".to_owned())];
    caller.request_until_served("READ page").await;
    fleet.instances[leader].kill();
    for _ in 0..6 {
        // A leader queries a primary that has been quiet for half a second.
        tokio::time::sleep(std::time::Duration::from_millis(900)).await;
        caller.request_until_served("READ page").await;
        let group = fleet.platform.shared.group();
        let run = group.executed_statements.last().expect("the read ran");
        assert_eq!(run.values, expected);
    }
}
