//! Guards against limits that an ordinary caller meets, and against single callers that no limit
//! ends.

use platform::line_frame::MAX_MESSAGE_BYTES;
use standins::platform::line_caller::LineCaller;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::caller_crowd::CROWD_SIZE;
use crate::caller_crowd::CallerCrowd;
use crate::caller_crowd::long_request;
use crate::caller_crowd::read_until;
use crate::caller_crowd::start_session;
use crate::limited_daemon::KEY;
use crate::limited_daemon::LimitedDaemon;

/// Time limits of slow callers in milliseconds, the shortest that the settings accept.
const SHORT_MS: u32 = 1_000;

/// Length of a text in a message that is almost as long as a message may be.
const LONG_BYTES: usize = MAX_MESSAGE_BYTES - 128;

/// A message of the maximum length must be served where nobody else holds memory, also one that sets
/// a value which later statements need.
#[tokio::test]
async fn longest_messages_are_served() {
    let mut daemon = LimitedDaemon::start().await;
    let text = "v".repeat(LONG_BYTES);
    let mut caller = LineCaller::open(daemon.address(), "linear", KEY).await;
    let write = format!("WRITE big {text}");
    assert!(caller.request_until_served(&write).await.succeeded());
    let read = caller.request_until_served("READ big").await;
    assert!(read.rows == vec![text.clone()]);
    assert!(
        caller
            .request(&format!("SET note {text}"))
            .await
            .succeeded()
    );
    caller.request_until_served("READ page").await;
    daemon.check().await;
}

/// Values beyond the bound must be refused as not run, and must not end the session.
#[tokio::test]
async fn values_beyond_the_bound_are_refused() {
    let daemon = LimitedDaemon::start().await;
    let text = "v".repeat(LONG_BYTES / 2);
    let mut caller = LineCaller::open(daemon.address(), "linear", KEY).await;
    for name in ["n1", "n2"] {
        assert!(
            caller
                .request(&format!("SET {name} {text}"))
                .await
                .succeeded()
        );
    }
    let refused = caller.request(&format!("SET n3 {text}")).await;
    assert_eq!(refused.last_line, "ERROR TOOLARGE session_state_too_large");
    let replaced = caller.request(&format!("SET n2 {text}")).await;
    assert!(replaced.succeeded(), "{}", replaced.last_line);
    caller.request_until_served("READ page").await;
}

/// A message must not stay incomplete for longer than its time, also without a shortage.
#[tokio::test]
async fn incomplete_message_is_ended() {
    let daemon = LimitedDaemon::start_with(Some(SHORT_MS)).await;
    let mut stream = start_session(daemon.address()).await.expect("a session");
    stream
        .write_all(b"QUERY c-1 RE")
        .await
        .expect("a part is sent");
    let read = stream.read(&mut [0; 64]).await;
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
    assert!(daemon.logs("message_overdue").await);
}

/// An idle session between messages must not be ended by the limits of slow callers.
#[tokio::test]
async fn idle_session_stays() {
    let daemon = LimitedDaemon::start_with(Some(SHORT_MS)).await;
    let mut caller = LineCaller::open(daemon.address(), "linear", KEY).await;
    caller.request_until_served("READ page").await;
    tokio::time::sleep(std::time::Duration::from_millis(3 * u64::from(SHORT_MS))).await;
    caller.request_until_served("READ page").await;
}

/// A caller that takes nothing of its answers must lose its connection, also without a shortage.
#[tokio::test]
async fn reader_that_takes_nothing_is_ended() {
    let daemon = LimitedDaemon::start_with(Some(SHORT_MS)).await;
    daemon.write_value(LONG_BYTES).await;
    let mut stream = start_session(daemon.address()).await.expect("a session");
    for _ in 0..12 {
        let sent = stream.write_all(b"QUERY c-1 READ big\r\n").await;
        sent.expect("a request is sent");
    }
    assert!(daemon.logs("reader_overdue").await);
}

/// A request with a very long id must not fill the log.
#[tokio::test]
async fn long_id_is_cut_in_the_log() {
    let daemon = LimitedDaemon::start().await;
    let mut stream = start_session(daemon.address()).await.expect("a session");
    let id = "i".repeat(LONG_BYTES / 2);
    let line = format!("QUERY {id} DANCE\r\n");
    stream
        .write_all(line.as_bytes())
        .await
        .expect("a request is sent");
    assert!(daemon.logs("unknown_statement").await);
    assert!(!daemon.logs_now(&"i".repeat(1_000)));
    stream
        .write_all(&long_request(8))
        .await
        .expect("the session goes on");
}

/// A caller that stops reading inside a transaction must give the endpoint connection back after the
/// idle time of transactions, long before it is closed itself.
#[tokio::test]
async fn stalled_transaction_is_rolled_back() {
    let daemon = LimitedDaemon::start().await;
    daemon.write_value(LONG_BYTES).await;
    let mut stream = start_session(daemon.address()).await.expect("a session");
    for text in ["BEGIN", "READ page"] {
        let line = format!("QUERY c-1 {text}\r\n");
        let sent = stream.write_all(line.as_bytes()).await;
        sent.expect("a request is sent");
        let answer = read_until(&mut stream, b"READY").await;
        assert!(answer.expect("an answer"), "{text} is refused");
    }
    for _ in 0..12 {
        let sent = stream.write_all(b"QUERY c-1 READ big\r\n").await;
        sent.expect("a request is sent");
    }
    assert!(daemon.logs("\"reason\":\"idle_too_long\"").await);
    assert!(!daemon.logs_now("caller_closed"));
}

/// At the limit of connections, sessions must go on, health must be answered from the reserved
/// descriptors, and a new caller must be refused at once and accepted when there is room again.
#[tokio::test]
async fn sessions_at_the_limit_go_on() {
    let mut daemon = LimitedDaemon::start().await;
    let mut sessions = Vec::new();
    let refused = loop {
        match LineCaller::try_open(daemon.address(), "linear", KEY).await {
            Ok(session) => sessions.push(session),
            Err(error) => break error.to_string(),
        }
    };
    assert_eq!(refused, "refused: ERROR BUSY too_many_connections");
    for session in sessions.iter_mut().step_by(20) {
        session.request_until_served("READ page").await;
    }
    let metrics = daemon.metrics().await;
    let line = format!("tamaracklb_caller_connections_limit {}\n", sessions.len());
    assert!(metrics.contains(&line), "{line}{metrics}");
    let line = "tamaracklb_callers_closed_total{reason=\"too_many_connections\"} 1\n";
    assert!(metrics.contains(line), "{metrics}");
    drop(sessions);
    daemon.check().await;
}

/// While others exhaust the memory, the outcome of each write must be true: what is acknowledged was
/// run once, and what is refused as not applied was not run.
#[tokio::test]
async fn outcomes_stay_true_without_memory() {
    let mut daemon = LimitedDaemon::start().await;
    daemon.write_value(LONG_BYTES).await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE, |number| async move {
        let mut stream = start_session(address).await?;
        for _ in 0..12 {
            match number % 2 {
                0 => stream.write_all(b"QUERY c-1 READ big\r\n").await?,
                _ => stream.write_all(&long_request(LONG_BYTES)).await?,
            }
        }
        Ok(stream)
    });
    let mut writer = LineCaller::open(address, "linear", KEY).await;
    let mut acknowledged = Vec::new();
    let mut refused = Vec::new();
    for number in 0..60 {
        let id = writer.next_id();
        let answer = writer.request(&format!("WRITE page {number}")).await;
        if answer.succeeded() {
            acknowledged.push(id);
        } else if answer.reports_not_applied() {
            refused.push(id);
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let runs = |id: &String| daemon.runs(id);
    assert!(!acknowledged.is_empty(), "{refused:?}");
    for id in &acknowledged {
        assert_eq!(runs(id), 1, "{id} was acknowledged");
    }
    for id in &refused {
        assert_eq!(runs(id), 0, "{id} was refused as not applied");
    }
    crowd.settled().await;
    daemon.check().await;
}
