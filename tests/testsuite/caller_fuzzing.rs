//! Sends random messages from authenticated callers to a running listener.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tamaracklb::connection::wire_frame::WireFrame;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::caller_fixture::CallerFixture;
use crate::raw_caller::RawCaller;

const SEED: u64 = 20_113;

/// Message bodies, some of which are valid for no kind of message.
const BODIES: [&[u8]; 14] = [
    b"",
    b"\0",
    b"SELECT 1\0",
    b"BEGIN\0",
    b"COMMIT\0",
    b"COPY t FROM STDIN\0",
    b"FAIL\0",
    b"\0SELECT 1\0\0\0",
    b"a\0INSERT INTO t VALUES (1)\0\0\0",
    b"\0\0\0\0\0\0\0\0",
    b"p\0a\0\0\0\0\0\0\0",
    b"Sa\0",
    b"P\0",
    b"\0\0\0\0\0",
];

fn random_message(random: &mut ChaCha8Rng) -> Vec<u8> {
    let kind = *b"QPBDECHSdcfp".choose(random).expect("kind");
    let body = BODIES.choose(random).expect("body");
    let mut bytes = WireFrame::new(kind, body).bytes().to_vec();
    if random.random_ratio(1, 12) {
        let index = random.random_range(0..bytes.len());
        bytes[index] = random.random();
    }
    bytes
}

/// After random messages, the listener must still serve other callers and release all permits.
#[tokio::test]
async fn random_messages_leave_listener_usable() {
    let fixture = CallerFixture::start_with(|config| {
        config.limits.answer_timeout = Duration::from_secs(1);
        config.limits.transaction_timeout = Duration::from_secs(3);
    })
    .await;
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    for _ in 0..150 {
        let mut caller = RawCaller::start(&fixture).await;
        let count = random.random_range(1..20);
        let bytes: Vec<u8> = (0..count)
            .flat_map(|_| random_message(&mut random))
            .collect();
        // The listener may close the connection at the first invalid message.
        let _ = caller.stream.write_all(&bytes).await;
        let mut answer = vec![0; 4096];
        let reading = caller.stream.read(&mut answer);
        let _ = tokio::time::timeout(Duration::from_millis(10), reading).await;
    }
    let client = fixture.connect().await;
    client
        .batch_execute("INSERT INTO t VALUES (1)")
        .await
        .expect("write");
    let released = async {
        while fixture.state.held_permits.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), released)
        .await
        .expect("all permits are released");
}

/// Each Sync must be answered with ReadyForQuery, after any sequence of valid extended-protocol
/// messages.
#[tokio::test]
async fn every_sync_is_answered() {
    let fixture = CallerFixture::start().await;
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut caller = RawCaller::start(&fixture).await;
    let messages: [&[u8]; 12] = [
        b"P\0SELECT 1\0\0\0",
        b"Pa\0INSERT INTO t VALUES (1)\0\0\0",
        b"Pb\0BEGIN\0\0\0",
        b"Pc\0COMMIT\0\0\0",
        b"Pd\0FAIL\0\0\0",
        b"B\0\0\0\0\0\0\0\0",
        b"B\0a\0\0\0\0\0\0\0",
        b"B\0b\0\0\0\0\0\0\0",
        b"B\0c\0\0\0\0\0\0\0",
        b"E\0\0\0\0\0",
        b"CSa\0",
        b"DSa\0",
    ];
    for round in 0..400 {
        for _ in 0..random.random_range(0..6) {
            let message = messages.choose(&mut random).expect("message");
            let frame = WireFrame::new(message[0], &message[1..]);
            caller.send(frame.bytes()).await;
        }
        caller.send(WireFrame::new(b'S', b"").bytes()).await;
        let answer =
            async { while caller.recv().await.expect("connection is open").kind() != b'Z' {} };
        let answered = tokio::time::timeout(Duration::from_secs(10), answer).await;
        assert!(
            answered.is_ok(),
            "Sync of round {round} got no ReadyForQuery"
        );
    }
}
