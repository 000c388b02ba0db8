//! Each case lets a crowd do its worst, then checks the process and one ordinary request while the
//! crowd's connections are still open.

use std::time::Duration;

use platform::line_frame::MAX_MESSAGE_BYTES;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::caller_crowd::CROWD_SIZE;
use crate::caller_crowd::CallerCrowd;
use crate::caller_crowd::connect;
use crate::caller_crowd::long_request;
use crate::caller_crowd::read_until;
use crate::caller_crowd::start_session;
use crate::limited_daemon::LimitedDaemon;

/// Length of the name in a request that is almost as long as a message may be.
const LONG_BYTES: usize = MAX_MESSAGE_BYTES - 64;

/// Size of a piece of a message.
const PIECE_BYTES: usize = 16 * 1024;

/// Pause between two pieces, in which all members of a crowd send theirs.
const PIECE_PAUSE: Duration = Duration::from_millis(10);

/// Number of connections that never start or are reset, several times the descriptors.
const CONNECTION_COUNT: usize = 900;

/// Size of the value whose reads are not taken. With `READ_COUNT` reads a member requests more than
/// the system's send buffer holds (4 MiB).
const ANSWER_BYTES: usize = 900_000;
const READ_COUNT: usize = 12;

/// Many whole messages of legal size at once must not exhaust memory.
#[tokio::test]
async fn large_messages_whole() {
    let mut daemon = LimitedDaemon::start().await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE, |_| async move {
        let mut stream = start_session(address).await?;
        for _ in 0..3 {
            stream.write_all(&long_request(LONG_BYTES)).await?;
            read_until(&mut stream, b"READY").await?;
        }
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Many messages of legal size that grow together piece by piece must not exhaust memory.
#[tokio::test]
async fn large_messages_in_pieces() {
    let mut daemon = LimitedDaemon::start().await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE, |_| async move {
        let mut stream = start_session(address).await?;
        for piece in long_request(LONG_BYTES).chunks(PIECE_BYTES) {
            stream.write_all(piece).await?;
            tokio::time::sleep(PIECE_PAUSE).await;
        }
        read_until(&mut stream, b"READY").await?;
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Messages far over the limit must not exhaust memory before they are refused.
#[tokio::test]
async fn messages_over_the_limit() {
    let mut daemon = LimitedDaemon::start().await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE, |number| async move {
        let mut stream = start_session(address).await?;
        let message = long_request(8 * LONG_BYTES);
        if number % 4 == 0 {
            stream.write_all(&message).await?;
        }
        // The slower ones come close to the limit together.
        for piece in message.chunks(PIECE_BYTES) {
            stream.write_all(piece).await?;
            tokio::time::sleep(PIECE_PAUSE).await;
        }
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Messages that are pipelined without reading the answers must not be read ahead without bound.
#[tokio::test]
async fn pipelined_messages() {
    let mut daemon = LimitedDaemon::start().await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE, |number| async move {
        let mut stream = start_session(address).await?;
        let (bytes, count) = match number % 2 {
            0 => (LONG_BYTES / 2, 16),
            _ => (16, 50_000),
        };
        for _ in 0..count {
            stream.write_all(&long_request(bytes)).await?;
        }
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Answers that are queued for callers that never read must not exhaust memory.
#[tokio::test]
async fn readers_that_never_read() {
    let mut daemon = LimitedDaemon::start().await;
    daemon.write_value(ANSWER_BYTES).await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE, |_| async move {
        let mut stream = start_session(address).await?;
        for _ in 0..READ_COUNT {
            stream.write_all(b"QUERY c-1 READ big\r\n").await?;
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// A caller that reads a byte a second must not pass for one that makes progress.
#[tokio::test]
async fn readers_of_a_byte_a_second() {
    let mut daemon = LimitedDaemon::start().await;
    daemon.write_value(ANSWER_BYTES).await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE, |_| async move {
        let mut stream = start_session(address).await?;
        for _ in 0..READ_COUNT {
            stream.write_all(b"QUERY c-1 READ big\r\n").await?;
        }
        loop {
            stream.read_u8().await?;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Callers that stop reading inside transactions must not keep all connections of the endpoint.
#[tokio::test]
async fn readers_that_stop_in_transactions() {
    let mut daemon = LimitedDaemon::start().await;
    daemon.write_value(ANSWER_BYTES).await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE, |_| async move {
        let mut stream = start_session(address).await?;
        loop {
            stream.write_all(b"QUERY c-1 BEGIN\r\n").await?;
            read_until(&mut stream, b"READY").await?;
            stream.write_all(b"QUERY c-1 READ page\r\n").await?;
            if read_until(&mut stream, b"READY").await? {
                break;
            }
            stream.write_all(b"QUERY c-1 ROLLBACK\r\n").await?;
            read_until(&mut stream, b"READY").await?;
        }
        for _ in 0..READ_COUNT {
            stream.write_all(b"QUERY c-1 READ big\r\n").await?;
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Messages whose senders stop half-way must not hold memory for good.
#[tokio::test]
async fn senders_that_stop() {
    let mut daemon = LimitedDaemon::start().await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE, |_| async move {
        let mut stream = start_session(address).await?;
        let request = long_request(LONG_BYTES);
        stream.write_all(&request[..LONG_BYTES - 1_000]).await?;
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Connections that never start must not use up the descriptors, whether they send nothing or a
/// part of a message.
#[tokio::test]
async fn connections_that_never_start() {
    let mut daemon = LimitedDaemon::start().await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CONNECTION_COUNT, |number| async move {
        let mut stream = connect(address).await?;
        if number % 2 == 0 {
            stream.write_all(&[b'S'; 200_000]).await?;
        }
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// A session must not keep values and prepared names without bound.
#[tokio::test]
async fn names_and_values_without_end() {
    let mut daemon = LimitedDaemon::start().await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE / 8, |number| async move {
        let mut stream = start_session(address).await?;
        let text = "v".repeat(32 * 1024);
        for count in 0..600 {
            let line = match (number + count) % 2 {
                0 => format!("QUERY c-1 SET n{count} {text}\r\n"),
                _ => format!("QUERY c-1 PREPARE n{count} READ {text}{count}\r\n"),
            };
            stream.write_all(line.as_bytes()).await?;
            read_until(&mut stream, b"READY").await?;
            if count % 20 == 0 {
                let line = format!("QUERY c-1 EXECUTE n{count} page\r\n");
                stream.write_all(line.as_bytes()).await?;
                read_until(&mut stream, b"READY").await?;
            }
        }
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Connections that are opened and reset at once must leave nothing behind.
#[tokio::test]
async fn connections_reset_in_a_loop() {
    let mut daemon = LimitedDaemon::start().await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(CROWD_SIZE / 4, |number| async move {
        for _ in 0..CONNECTION_COUNT / 8 {
            let mut stream = match number % 2 {
                0 => connect(address).await?,
                _ => start_session(address).await?,
            };
            stream
                .write_all(&long_request(PIECE_BYTES)[..PIECE_BYTES])
                .await?;
            stream.set_zero_linger()?;
        }
        connect(address).await
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Crowds of all kinds at once must not exceed together what each of them keeps alone.
#[tokio::test]
async fn all_kinds_at_once() {
    let mut daemon = LimitedDaemon::start().await;
    daemon.write_value(ANSWER_BYTES).await;
    let address = daemon.address();
    let mut crowd = CallerCrowd::start(2 * CROWD_SIZE, |number| async move {
        if number % 6 == 0 {
            let mut stream = connect(address).await?;
            stream.write_all(b"STARTUP linear").await?;
            return Ok(stream);
        }
        let mut stream = start_session(address).await?;
        if number % 6 == 1 {
            let message = long_request(LONG_BYTES);
            stream.write_all(&message[..LONG_BYTES - 1_000]).await?;
            return Ok(stream);
        }
        let text = "v".repeat(PIECE_BYTES);
        for count in 0..60 {
            let line = match number % 6 {
                2 => format!("QUERY c-1 SET n{count} {text}\r\n").into_bytes(),
                3 => long_request(LONG_BYTES),
                4 => b"QUERY c-1 BEGIN\r\nQUERY c-1 READ big\r\n".to_vec(),
                _ => b"QUERY c-1 READ big\r\n".to_vec(),
            };
            stream.write_all(&line).await?;
            tokio::time::sleep(PIECE_PAUSE).await;
        }
        Ok(stream)
    });
    crowd.settled().await;
    daemon.check().await;
}

/// Statements that are answered without an endpoint must not keep the only thread from others, however
/// fast they are sent and their answers taken.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn floods_of_local_statements() {
    let mut daemon = LimitedDaemon::start().await;
    let address = daemon.address();
    let mut floods = tokio::task::JoinSet::new();
    for _ in 0..3 {
        let stream = start_session(address).await.expect("a session");
        let (mut reader, mut writer) = stream.into_split();
        let statements = "QUERY c-1 SET a b\r\n".repeat(4_000);
        floods.spawn(async move { while writer.write_all(statements.as_bytes()).await.is_ok() {} });
        floods.spawn(async move {
            let mut part = vec![0; 256 * 1024];
            while reader.read(&mut part).await.is_ok_and(|size| size > 0) {}
        });
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    daemon.check().await;
    floods.shutdown().await;
}
