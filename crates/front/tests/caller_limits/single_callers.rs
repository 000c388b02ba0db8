//! Guards against limits that an ordinary caller meets, and against single callers that no limit
//! ends.

use platform::line_frame::MAX_MESSAGE_BYTES;
use standins::platform::line_caller::LineCaller;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::caller_crowd::long_request;
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
