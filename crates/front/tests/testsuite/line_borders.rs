//! Guards against text of callers and endpoints that is read as another message, and against values
//! that are acknowledged and can never be restored.

use std::time::Duration;

use platform::line_frame::MAX_MESSAGE_BYTES;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fleet::Fleet;
use crate::fleet::KEY;

/// Time within which the daemon must answer and close a session, well below its own limits.
const CLOSE_TIME: Duration = Duration::from_secs(3);

/// Sends bytes on a new connection and returns what the daemon sends until it closes it.
async fn answer_to(fleet: &Fleet, bytes: &[u8]) -> String {
    let address = fleet.instances[0].process.callers;
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("send");
    let mut answer = Vec::new();
    let read = timeout(CLOSE_TIME, stream.read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(read.is_ok(), "still open after {answer:?}");
    answer
}

/// A line feed in a request must not begin another one, which its caller did not send.
#[tokio::test]
async fn smuggled_request_is_not_run() {
    let fleet = Fleet::start(1).await;
    fleet
        .caller(0, "linear")
        .await
        .request_until_served("READ page")
        .await;
    let request = "QUERY s-1 READ page\nQUERY s-2 WRITE page smuggled\r\n";
    let answer = answer_to(
        &fleet,
        format!("STARTUP linear {KEY}\r\n{request}").as_bytes(),
    )
    .await;
    let group = fleet.platform.shared.group();
    let ids: Vec<_> = group
        .executed_statements
        .iter()
        .map(|run| &run.id)
        .collect();
    assert!(!ids.iter().any(|id| id.starts_with("s-")), "{ids:?}");
    assert!(answer.contains("\r\nERROR MALFORMED "), "{answer:?}");
}

/// A caller that ends its lines with a line feed must get an error soon.
#[tokio::test]
async fn bare_feed_is_answered() {
    let fleet = Fleet::start(1).await;
    let answer = answer_to(&fleet, format!("STARTUP linear {KEY}\n").as_bytes()).await;
    assert!(answer.starts_with("ERROR MALFORMED "), "{answer:?}");
}

/// A request that an endpoint could read in another way must be refused as not run, and the session
/// must go on.
#[tokio::test]
async fn odd_request_keeps_session() {
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page before").await;
    for text in [
        "WRITE page a\rb",
        "WRITE page a\0b",
        "SET n a\rb",
        "PREPARE s READ a\rb",
        "COMMIT ",
    ] {
        let refused = caller.request(text).await;
        assert_eq!(refused.code(), "MALFORMED", "{text:?}");
    }
    let read = caller.request("READ page").await;
    assert_eq!(read.rows, ["before"]);
    let group = fleet.platform.shared.group();
    let odd = |text: &str| text.contains(['\r', '\0']);
    assert!(!group.executed_statements.iter().any(|run| odd(&run.text)));
}

/// A row with line breaks must reach the caller as the endpoint sent it.
#[tokio::test]
async fn rows_with_breaks_are_whole() {
    const ROW: &str = "one\nREADY I 9.9\rtwo \n";
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "linear").await;
    caller.request_until_served("WRITE page before").await;
    fleet.platform.change_group(|group| {
        let primary = group.primary().expect("a primary");
        group.commit(&primary, vec![("page".to_owned(), ROW.to_owned())]);
    });
    for _ in 0..5 {
        let read = caller.request_until_served("READ page").await;
        assert_eq!(read.rows, [ROW]);
    }
}

/// A value or a definition that is too long to be restored must be refused when it arrives, and a
/// statement that is too long to be forwarded must be refused at once.
#[tokio::test]
async fn unsendable_text_is_refused() {
    let fleet = Fleet::start(1).await;
    let mut caller = fleet.caller(0, "linear").await;
    let longest = |id: &str, text: &str| {
        let overhead = format!("QUERY {id} {text}\r\n").len();
        format!("{text}{}", "x".repeat(MAX_MESSAGE_BYTES - overhead))
    };
    let text = longest(&caller.next_id(), "PREPARE s1 READ ");
    let refused = caller.request(&text).await;
    assert_eq!(refused.last_line, "ERROR TOOLARGE statement_too_large");
    assert_eq!(caller.request("EXECUTE s1 page").await.code(), "UNDEFINED");
    let definition = format!("PREPARE s2 WRITE {}", "long text ".repeat(1_000));
    assert!(caller.request(&definition).await.succeeded());
    let text = longest(&caller.next_id(), "EXECUTE s2 page ");
    let refused = caller.request(&text).await;
    assert_eq!(refused.last_line, "ERROR TOOLARGE statement_too_large");
    assert!(caller.request("EXECUTE s2 page short").await.succeeded());
    assert_eq!(caller.request("READ page").await.rows, ["short"]);
    let group = fleet.platform.shared.group();
    let run = group
        .executed_statements
        .iter()
        .find(|run| run.definition.is_some());
    let name = run.expect("it ran").text.split(' ').nth(1).map(str::len);
    assert!(name.is_some_and(|length| length < 100), "{name:?}");
}
