//! Guards against bytes that stop the front daemon, or make it buffer more than a message may have.

use std::fmt::Debug;

use bytes::BytesMut;
use platform::caller_codec::CallerCodec;
use platform::endpoint_codec::EndpointCodec;
use platform::line_frame::FrameError;
use platform::line_frame::MAX_MESSAGE_BYTES;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use tokio_util::codec::Decoder;

/// Result of decoding a stream in pieces.
#[derive(Debug, PartialEq, Eq)]
struct DecodedStream {
    /// The messages, and the error at the end if there is one.
    messages: Vec<String>,
    /// The largest number of bytes that were buffered after a piece was decoded.
    buffered: usize,
}

fn decode<C>(mut codec: C, stream: &[u8], pieces: &[usize]) -> DecodedStream
where
    C: Decoder<Error = FrameError>,
    C::Item: Debug,
{
    let mut buffer = BytesMut::new();
    let (mut messages, mut buffered) = (Vec::new(), 0);
    let (mut rest, mut sizes) = (stream, pieces.iter().cycle());
    while !rest.is_empty() {
        let size = sizes.next().map_or(rest.len(), |size| *size);
        let (piece, after) = rest.split_at(size.min(rest.len()));
        rest = after;
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(message)) => messages.push(format!("{message:?}")),
                Ok(None) => break,
                Err(error) => {
                    messages.push(error.to_string());
                    return DecodedStream { messages, buffered };
                }
            }
        }
        buffered = buffered.max(buffer.len());
    }
    DecodedStream { messages, buffered }
}

/// Lines of protocol words, fields, line ends and arbitrary bytes.
fn stream() -> impl Strategy<Value = Vec<u8>> {
    const WORDS: [&str; 19] = [
        "STARTUP",
        "QUERY",
        "TERMINATE",
        "DATAROW",
        "COMPLETE",
        "ERROR",
        "READY",
        "SET",
        "PREPARE",
        "EXECUTE",
        "DEALLOCATE",
        "BEGIN",
        "READ",
        "WRITE",
        "COMMIT",
        "ROLLBACK",
        "T",
        "I",
        "-",
    ];
    let part = prop_oneof![
        6 => (0..WORDS.len()).prop_map(|index| WORDS[index].as_bytes().to_vec()),
        5 => proptest::prelude::Just(b" ".to_vec()),
        3 => proptest::prelude::Just(b"\r\n".to_vec()),
        1 => proptest::prelude::Just(b"\n".to_vec()),
        2 => vec(any::<u8>(), 0..12),
    ];
    vec(part, 0..80).prop_map(|parts| parts.concat())
}

proptest! {
    /// Both codecs must decode any bytes to the same messages in any split, and never panic.
    #[test]
    fn any_bytes_in_any_split(stream in stream(), pieces in vec(1_usize..40, 1..20)) {
        let whole = decode(CallerCodec::default(), &stream, &[]);
        let split = decode(CallerCodec::default(), &stream, &pieces);
        prop_assert_eq!(split.messages, whole.messages);
        let whole = decode(EndpointCodec::default(), &stream, &[]);
        let split = decode(EndpointCodec::default(), &stream, &pieces);
        prop_assert_eq!(split.messages, whole.messages);
    }
}

proptest! {
    // Each case decodes some MB.
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Lines around and far beyond the maximum length must be refused before more than the maximum
    /// is buffered, in any split.
    #[test]
    fn long_lines_are_bounded(
        lengths in vec(prop_oneof![
            0..200_usize,
            MAX_MESSAGE_BYTES - 20..MAX_MESSAGE_BYTES + 20,
            MAX_MESSAGE_BYTES..4 * MAX_MESSAGE_BYTES,
        ], 1..4),
        pieces in vec(1_000_usize..65_536, 1..6),
    ) {
        let mut stream = Vec::new();
        for length in &lengths {
            stream.extend(b"QUERY 1 READ ");
            stream.resize(stream.len() + length, b'x');
            stream.extend(b"\r\n");
        }
        let whole = decode(CallerCodec::default(), &stream, &[]);
        let split = decode(CallerCodec::default(), &stream, &pieces);
        prop_assert!(split.buffered <= MAX_MESSAGE_BYTES, "{}", split.buffered);
        prop_assert_eq!(split.messages, whole.messages);
        let rows = String::from_utf8_lossy(&stream).replace("QUERY 1 READ", "DATAROW 1 RE");
        let whole = decode(EndpointCodec::default(), rows.as_bytes(), &[]);
        let split = decode(EndpointCodec::default(), rows.as_bytes(), &pieces);
        prop_assert!(split.buffered <= MAX_MESSAGE_BYTES, "{}", split.buffered);
        prop_assert_eq!(split.messages, whole.messages);
    }
}
