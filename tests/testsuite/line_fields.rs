//! Guards against text of one party that another one reads as a field, a line or a message of its
//! own.

use bytes::BytesMut;
use platform::caller_codec::CallerCodec;
use platform::caller_codec::CallerMessage;
use platform::caller_codec::CallerReply;
use platform::caller_codec::parse_statement;
use platform::endpoint_codec::EndpointCodec;
use platform::endpoint_codec::EndpointCommand;
use platform::endpoint_codec::EndpointMessage;
use platform::endpoint_codec::ForwardedStatement;
use platform::line_frame::FrameError;
use platform::line_frame::MAX_MESSAGE_BYTES;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use session_core::caller_statement::CallerStatement;
use session_core::log_point::LogPoint;
use session_core::session_state::SessionState;
use session_core::session_values::ReplayStep;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// Decodes a caller's bytes up to the first error; returns the messages and whether there was one.
fn requests(bytes: &[u8]) -> (Vec<CallerMessage>, bool) {
    let mut codec = CallerCodec::default();
    let mut buffer = BytesMut::from(bytes);
    let mut messages = Vec::new();
    loop {
        match codec.decode(&mut buffer) {
            Ok(Some(message)) => messages.push(message),
            Ok(None) => return (messages, false),
            Err(_) => return (messages, true),
        }
    }
}

fn statement(message: &CallerMessage) -> Option<&CallerStatement> {
    match message {
        CallerMessage::Request { statement, .. } => statement.as_ref(),
        _ => None,
    }
}

fn command(command: EndpointCommand) -> Result<Vec<u8>, FrameError> {
    let mut out = BytesMut::from(&b"before"[..]);
    let result = EndpointCodec::default().encode(command, &mut out);
    let added = out.strip_prefix(b"before").expect("earlier bytes stay");
    assert!(
        result.is_ok() || added.is_empty(),
        "bytes of a refused line"
    );
    result.map(|()| added.to_vec())
}

fn pass(id: &str, text: &str) -> EndpointCommand {
    EndpointCommand::Pass {
        id: id.to_owned(),
        floor: None,
        statement: ForwardedStatement::Direct(text.to_owned()),
    }
}

/// A line feed in the text of a request must not begin another request, and must be answered at
/// once: a caller that ends its lines with it would wait for ever.
#[test]
fn line_feeds_begin_no_request() {
    for bytes in [
        &b"QUERY a1 READ x\nQUERY a2 WRITE y z\r\n"[..],
        b"QUERY a1 READ x\n",
        b"QUERY a1\nREAD x\r\n",
        b"STARTUP db key\n",
        b"\n",
    ] {
        let (messages, failed) = requests(bytes);
        assert!(failed, "{bytes:?}");
        assert!(messages.is_empty(), "{bytes:?}: {messages:?}");
    }
}

/// A request whose fields could be taken apart differently by the endpoint must be refused, and the
/// next one must be decoded.
#[test]
fn odd_requests_are_refused() {
    for line in [
        &b"QUERY - READ x"[..],
        b"QUERY  READ x",
        b"QUERY",
        b"QUERY ",
        b"QUERY a\tb READ x",
        b"QUERY a\x0bb READ x",
        b"QUERY a\rb READ x",
        "QUERY a\u{a0}b READ x".as_bytes(),
        "QUERY a\u{2028}b READ x".as_bytes(),
        b"QUERY a1 READ x\ry",
        b"QUERY a1 READ x\r",
        b"QUERY a1 READ x\0y",
        b"QUERY a1 WRITE x y\x0cz",
        "QUERY a1 WRITE x y\u{85}z".as_bytes(),
        "QUERY a1 WRITE x y\u{2029}z".as_bytes(),
        b"QUERY a1 WRITE x \xff",
        b"QUERY \xff READ x",
        b"QUERY a1 SET a\tb c",
        b"QUERY a1 SET  c",
        b"QUERY a1 PREPARE a\tb READ c",
        b"QUERY a1 COMMIT ",
        b"QUERY a1 ROLLBACK ",
        b"QUERY a1 BEGIN ",
        b"QUERY a1  READ x",
    ] {
        let bytes = [line, b"\r\nQUERY a2 READ y\r\n"].concat();
        let (messages, failed) = requests(&bytes);
        assert!(!failed, "{line:?}: {messages:?}");
        let statements: Vec<_> = messages.iter().map(statement).collect();
        let next = parse_statement("READ y");
        assert_eq!(statements, [None, next.as_ref()], "{line:?}");
    }
}

/// Blanks, tabs and letters of any script belong to a text, and must be kept.
#[test]
fn texts_are_kept() {
    for text in ["READ  a ", "WRITE a b\tc", "WRITE é \u{a0}ü", "READ ~!\"'%"] {
        let (messages, failed) = requests(format!("QUERY a1 {text}\r\n").as_bytes());
        assert!(!failed, "{text:?}");
        let Some(CallerStatement::Direct { text: kept, .. }) = statement(&messages[0]) else {
            panic!("not a statement: {messages:?}");
        };
        assert_eq!(kept, text);
        let line = command(pass("a1", kept)).expect("the text can be sent");
        assert_eq!(line, format!("QUERY a1 {text}\r\n").as_bytes());
    }
}

/// A row must reach the caller as the endpoint sent it. A line feed in it made two messages of it.
#[test]
fn rows_are_passed_whole() {
    for row in [
        "",
        "a\nb",
        "a\rb",
        "a\n\nREADY I -",
        "a\r",
        "\r",
        "\n",
        " a ",
        "\n\rb",
        "\tx\0",
    ] {
        let bytes = format!("DATAROW {row}\r\nREADY I 3.1\r\n");
        let mut buffer = BytesMut::from(bytes.as_bytes());
        let mut codec = EndpointCodec::default();
        let message = codec.decode(&mut buffer).expect("it is a message");
        assert_eq!(message, Some(EndpointMessage::Row(row.to_owned())));
        let ready = codec.decode(&mut buffer).expect("it is a message");
        assert!(
            matches!(ready, Some(EndpointMessage::Ready { .. })),
            "{ready:?}"
        );
        let mut out = BytesMut::new();
        CallerCodec::default()
            .encode(CallerReply::Row(row.to_owned()), &mut out)
            .expect("rows can be passed on");
        assert_eq!(&out[..], format!("DATAROW {row}\r\n").as_bytes());
    }
}

/// Commands with a field that would be read as several must not be encoded, not even in part.
#[test]
fn odd_commands_are_not_encoded() {
    for id in [
        "",
        "a b",
        "a\tb",
        "a\r\nQUERY b WRITE c d",
        "a\u{a0}b",
        "a\0",
    ] {
        assert!(command(pass(id, "READ x")).is_err(), "{id:?}");
        let set = ReplayStep::Set {
            name: id.to_owned(),
            value: "v".to_owned(),
        };
        assert!(command(EndpointCommand::Replay(set)).is_err(), "{id:?}");
    }
    for text in ["READ x\r\nQUERY b WRITE c d", "READ x\nQUERY b", "READ x\r"] {
        assert!(command(pass("a1", text)).is_err(), "{text:?}");
        let set = ReplayStep::Set {
            name: "n".to_owned(),
            value: text.to_owned(),
        };
        assert!(command(EndpointCommand::Replay(set)).is_err(), "{text:?}");
        let execute = EndpointCommand::Pass {
            id: "a1".to_owned(),
            floor: Some(LogPoint::new(3, 1)),
            statement: ForwardedStatement::Direct(text.to_owned()),
        };
        assert!(command(execute).is_err(), "{text:?}");
    }
}

/// Replies that would be read as several lines must not be encoded, not even in part.
#[test]
fn odd_replies_are_not_encoded() {
    let text = "a\r\nCOMPLETE 1".to_owned();
    for reply in [
        CallerReply::Row(text.clone()),
        CallerReply::Done(text.clone()),
        CallerReply::Row("x".repeat(MAX_MESSAGE_BYTES)),
        CallerReply::Ready {
            state: SessionState::Idle,
            position: text,
        },
        CallerReply::Ready {
            state: SessionState::Idle,
            position: "3.1 x".to_owned(),
        },
    ] {
        let mut out = BytesMut::new();
        let result = CallerCodec::default().encode(reply, &mut out);
        assert!(result.is_err());
        assert!(out.is_empty());
    }
}

/// A line with its end may be as long as a message may be, and not longer, in both directions.
#[test]
fn longest_line_is_exact() {
    let overhead = "QUERY a1 READ \r\n".len();
    let longest = format!("READ {}", "x".repeat(MAX_MESSAGE_BYTES - overhead));
    let line = command(pass("a1", &longest)).expect("it is as long as allowed");
    assert_eq!(line.len(), MAX_MESSAGE_BYTES);
    let (messages, failed) = requests(&line);
    assert_eq!((messages.len(), failed), (1, false));
    let longer = format!("{longest}x");
    assert!(command(pass("a1", &longer)).is_err());
    let (messages, failed) = requests(format!("QUERY a1 {longer}\r\n").as_bytes());
    assert_eq!((messages.len(), failed), (0, true));
}

/// Takes bytes apart at bare line feeds, carriage returns and other breaks, and fields at any
/// whitespace, as a reader does that is not strict.
fn loose_lines(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8(bytes.to_vec()).expect("lines are text");
    let is_break = |c: char| {
        matches!(
            c,
            '\n' | '\r' | '\0' | '\u{b}' | '\u{c}' | '\u{85}' | '\u{2028}' | '\u{2029}'
        )
    };
    let lines = text.split(is_break).filter(|line| !line.is_empty());
    lines.map(str::to_owned).collect()
}

proptest! {
    /// A request that is accepted must be forwarded as one line with the caller's id, also for an
    /// endpoint that is not strict about line ends.
    #[test]
    fn accepted_requests_stay_one(line in "QUERY [a-b \t\r\n\u{a0}\u{85}-]{0,4} (READ|WRITE|SET|COMMIT)[ a-b\t\r\n\0\u{2028}\u{b}-]{0,6}") {
        let (messages, _) = requests(format!("{line}\r\n").as_bytes());
        for message in &messages {
            let (CallerMessage::Request { id, .. }, Some(statement)) = (message, statement(message)) else {
                continue;
            };
            let command_line = match statement {
                CallerStatement::Direct { text, .. } => command(pass(id, text)),
                CallerStatement::Set { name, value } => command(EndpointCommand::Replay(ReplayStep::Set {
                    name: name.clone(),
                    value: value.clone(),
                })),
                _ => continue,
            };
            let bytes = command_line.expect("an accepted request can be forwarded");
            prop_assert_eq!(loose_lines(&bytes).len(), 1);
            let text = String::from_utf8(bytes).expect("lines are text");
            let second = text.split(|c: char| c.is_whitespace()).nth(1);
            let expected = if text.contains(" SET ") { "-" } else { id.as_str() };
            prop_assert_eq!(second, Some(expected));
            prop_assert!(messages.len() == 1, "{:?}", messages);
        }
    }

    /// Any row that the endpoint can send must reach the caller unchanged, split anywhere.
    #[test]
    fn any_row_is_passed_whole(row in "[ab \r\n\t\u{85}é]{0,12}", cut in 0_usize..40) {
        proptest::prop_assume!(!row.contains("\r\n"));
        let bytes = format!("DATAROW {row}\r\n");
        let cut = cut.min(bytes.len());
        let mut codec = EndpointCodec::default();
        let mut buffer = BytesMut::from(&bytes.as_bytes()[..cut]);
        let mut message = codec.decode(&mut buffer).expect("it is the beginning of a message");
        if message.is_none() {
            buffer.extend_from_slice(&bytes.as_bytes()[cut..]);
            message = codec.decode(&mut buffer).expect("it is a message");
        }
        prop_assert_eq!(message, Some(EndpointMessage::Row(row)));
    }

    /// Bytes with line ends of all kinds must be decoded to the same messages in any split.
    #[test]
    fn breaks_split_anywhere(text in "(QUERY a[ab]? READ x|READY I -|DATAROW|[ab \r\n\u{85}]{0,3}|\r\n){0,8}", cut in 0_usize..60) {
        let bytes = text.as_bytes();
        let cut = cut.min(bytes.len());
        prop_assert_eq!(
            split_messages(CallerCodec::default(), bytes, cut),
            split_messages(CallerCodec::default(), bytes, bytes.len())
        );
        prop_assert_eq!(
            split_messages(EndpointCodec::default(), bytes, cut),
            split_messages(EndpointCodec::default(), bytes, bytes.len())
        );
    }
}

/// Decodes the bytes in two pieces, up to the first error.
fn split_messages<C>(mut codec: C, bytes: &[u8], cut: usize) -> Vec<String>
where
    C: Decoder<Error = FrameError>,
    C::Item: std::fmt::Debug,
{
    let mut buffer = BytesMut::new();
    let mut messages = Vec::new();
    for piece in [&bytes[..cut], &bytes[cut..]] {
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
