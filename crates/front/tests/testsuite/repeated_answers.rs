//! Guards against answers that reach the caller of another statement. An endpoint may send any answer
//! twice, the second time at any later moment.

use std::collections::HashMap;
use std::time::Duration;

use standins::platform::group_state::AnswerRepeat;
use standins::platform::line_caller::LineCaller;
use tokio::task::JoinSet;

use crate::fleet::Fleet;
use crate::fleet::HOSTED_INSTANCES;

const CALLERS: usize = 6;
const ROUNDS: usize = 40;

/// Delays of the copies: with the answer, while the next statement runs, and later than that.
const COPY_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(4),
    Duration::from_millis(25),
];

/// Time that a statement takes, so that copies arrive while another one runs.
const STATEMENT_TIME: Duration = Duration::from_millis(3);

/// Delay of the copy of a refusal: longer than the pause after which a refused write is sent again.
const REFUSAL_COPY_DELAY: Duration = Duration::from_millis(25);

/// Each answer to a statement with one of these first words is sent twice.
fn repeat_answers(fleet: &Fleet, words: &[&str], delay: Duration) {
    fleet.platform.change_group(|group| {
        for endpoint in group.endpoints.values_mut() {
            endpoint.read_delay = STATEMENT_TIME;
            endpoint.write_delay = STATEMENT_TIME;
        }
        group.repeat = Some(AnswerRepeat {
            words: words.iter().map(|word| (*word).to_owned()).collect(),
            delay,
            count: u64::MAX,
        });
    });
}

/// Sends a request and panics if it succeeds with the receipt of another one.
async fn request_own(caller: &mut LineCaller, text: &str) -> Option<Vec<String>> {
    let id = caller.next_id();
    let answer = caller.request(text).await;
    if !answer.succeeded() {
        return None;
    }
    let is_own = answer.last_line.ends_with(&format!(".{id}"));
    assert!(is_own, "{id} {text:?} got {answer:?}");
    Some(answer.rows)
}

/// Runs callers with items of their own and returns how many of their statements were served.
async fn run_callers(fleet: &Fleet) -> usize {
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let mut caller = fleet.caller(0, "linear").await;
        callers.spawn(async move { run_caller(&mut caller, number).await });
    }
    callers.join_all().await.into_iter().sum()
}

async fn run_caller(caller: &mut LineCaller, number: usize) -> usize {
    let mut served = 0;
    let item = format!("page-{number}");
    assert!(
        caller
            .request(&format!("SET locale l{number}"))
            .await
            .succeeded()
    );
    let prepare = format!("PREPARE s1 READ q{number}");
    assert!(caller.request(&prepare).await.succeeded());
    for round in 0..ROUNDS {
        let value = format!("{number}-{round}");
        let written = request_own(caller, &format!("WRITE {item} {value}")).await;
        served += usize::from(written.is_some());
        for text in [format!("READ {item}"), format!("EXECUTE s1 {item}")] {
            let rows = request_own(caller, &text).await;
            served += usize::from(rows.is_some());
            if let (Some(rows), true) = (rows, written.is_some()) {
                assert_eq!(rows, std::slice::from_ref(&value), "{text:?}");
            }
        }
        served += run_transaction(caller, &item, &value).await;
    }
    served
}

/// Writes an item again in a transaction and returns how many statements were served.
async fn run_transaction(caller: &mut LineCaller, item: &str, value: &str) -> usize {
    assert!(caller.request("BEGIN").await.succeeded());
    let mut served = 0;
    for text in [format!("WRITE {item} {value}"), "COMMIT".to_owned()] {
        if request_own(caller, &text).await.is_none() {
            caller.request("ROLLBACK").await;
            break;
        }
        served += 1;
    }
    served
}

/// Every statement must get its own rows and receipt although the endpoint sends answers twice, and
/// nine in ten must still be served.
async fn check_copies(words: &[&str]) {
    for delay in COPY_DELAYS {
        let fleet = Fleet::start(1).await;
        repeat_answers(&fleet, words, delay);
        let served = run_callers(&fleet).await;
        let statements = CALLERS * ROUNDS * 5;
        assert!(served * 10 >= statements * 9, "{served} of {statements}");
    }
}

#[tokio::test]
async fn copied_reads_stay_apart() {
    check_copies(&["READ", "EXECUTE"]).await;
}

#[tokio::test]
async fn copied_writes_stay_apart() {
    check_copies(&["WRITE", "COMMIT"]).await;
}

#[tokio::test]
async fn copied_steps_stay_apart() {
    check_copies(&["SET", "RESET", "PREPARE", "BEGIN", "ROLLBACK"]).await;
}

#[tokio::test]
async fn copied_answers_stay_apart() {
    let words = [
        "READ", "EXECUTE", "WRITE", "COMMIT", "SET", "RESET", "PREPARE", "BEGIN", "ROLLBACK",
    ];
    check_copies(&words).await;
}

/// The host of shared connections must keep answers apart for the instances that use them.
#[tokio::test]
async fn copies_at_hosts_stay_apart() {
    let fleet = Fleet::start_hosted(false).await;
    let words = [
        "READ", "EXECUTE", "WRITE", "COMMIT", "SET", "PREPARE", "BEGIN",
    ];
    repeat_answers(&fleet, &words, COPY_DELAYS[1]);
    let mut callers = JoinSet::new();
    for number in 0..HOSTED_INSTANCES {
        let mut caller = fleet.caller(number, "linear").await;
        callers.spawn(async move { run_caller(&mut caller, number).await });
    }
    let served: usize = callers.join_all().await.into_iter().sum();
    assert!(served > 0);
}

/// A copy of a refusal must not be taken for the refusal of a later write that runs: it would be sent
/// again, or its caller would be told that it was not run.
#[tokio::test]
async fn copied_refusal_promises_nothing() {
    let fleet = Fleet::start(1).await;
    let mut runs = HashMap::new();
    let mut promised = Vec::new();
    let mut caller = fleet.caller(0, "linear").await;
    for number in 0..ROUNDS {
        repeat_answers(&fleet, &["WRITE"], REFUSAL_COPY_DELAY);
        fleet.platform.change_group(|group| {
            group.busy_statements = 1;
            if let Some(repeat) = &mut group.repeat {
                repeat.count = 1;
            }
            for endpoint in group.endpoints.values_mut() {
                endpoint.write_delay = 2 * REFUSAL_COPY_DELAY;
            }
        });
        let id = caller.next_id();
        let answer = caller.request(&format!("WRITE page {number}")).await;
        if answer.reports_not_applied() {
            promised.push(id.clone());
        }
        runs.insert(id, 0);
    }
    let group = fleet.platform.shared.group();
    for run in group.executed_statements.iter().filter(|run| run.wrote) {
        if let Some(runs) = runs.get_mut(&run.id) {
            *runs += 1;
        }
    }
    promised.retain(|id| runs[id] > 0);
    assert!(promised.is_empty(), "{promised:?} were refused and ran");
    runs.retain(|_, runs| *runs > 1);
    assert!(runs.is_empty(), "{runs:?} ran more than once");
}

/// Time that a `BEGIN` takes, and the delay of the copy of its answer: the copy arrives while the next
/// `BEGIN` on the connection runs.
const BEGIN_TIME: Duration = Duration::from_millis(60);
const BEGIN_COPY_DELAY: Duration = Duration::from_millis(30);

/// A copied answer to a `BEGIN` must not stand for a later `BEGIN` that is refused: the first write
/// would run outside its transaction, and stay after a rollback.
#[tokio::test]
async fn copied_begin_opens_nothing() {
    let fleet = Fleet::start(1).await;
    repeat_answers(&fleet, &["BEGIN"], BEGIN_COPY_DELAY);
    fleet
        .platform
        .change_group(|group| group.begin_delay = BEGIN_TIME);
    let mut caller = fleet.caller(0, "linear").await;
    let mut kept = Vec::new();
    for round in 0..ROUNDS {
        caller.request("BEGIN").await;
        caller.request(&format!("WRITE page a{round}")).await;
        if !caller.request("COMMIT").await.succeeded() {
            caller.request("ROLLBACK").await;
            continue;
        }
        fleet
            .platform
            .change_group(|group| group.busy_statements = 1);
        caller.request("BEGIN").await;
        caller.request(&format!("WRITE page b{round}")).await;
        caller.request("ROLLBACK").await;
        let rows = caller.request("READ page").await.rows;
        kept.extend(rows.into_iter().filter(|row| row.starts_with('b')));
    }
    assert!(kept.is_empty(), "{kept:?} were rolled back and stayed");
}

/// An endpoint that answers start-ups twice must still serve nine in ten statements.
#[tokio::test]
async fn copied_startups_are_passed() {
    check_copies(&["studio", "-"]).await;
}
