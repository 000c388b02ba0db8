//! A caller without a driver, for tests that send what drivers never send.

use bytes::BytesMut;
use tamaracklb::connection::scram;
use tamaracklb::connection::scram::ScramClient;
use tamaracklb::connection::wire_frame::WireFrame;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::caller_fixture::CallerFixture;

const FRAME_LIMIT: usize = 1024 * 1024;

/// A caller's connection on which a test sends and reads raw messages.
pub struct RawCaller {
    /// The connection.
    pub stream: TcpStream,
    /// Body of BackendKeyData; empty until the start-up is complete.
    pub cancel_key: Vec<u8>,
    input: BytesMut,
}

/// Returns a startup packet with a protocol or request code and a body.
pub fn startup_packet(code: u32, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 8).expect("length");
    let mut packet = length.to_be_bytes().to_vec();
    packet.extend_from_slice(&code.to_be_bytes());
    packet.extend_from_slice(body);
    packet
}

impl RawCaller {
    /// Connects without sending anything.
    pub async fn open(fixture: &CallerFixture) -> Self {
        let stream = TcpStream::connect(fixture.address).await.expect("connect");
        stream.set_nodelay(true).expect("nodelay");
        Self {
            stream,
            cancel_key: Vec::new(),
            input: BytesMut::new(),
        }
    }

    /// Connects and authenticates with the team's key.
    pub async fn start(fixture: &CallerFixture) -> Self {
        let mut caller = Self::open(fixture).await;
        let body = b"user\0folio\0database\0studio\0\0";
        caller.send(&startup_packet(196_608, body)).await;
        caller.expect_kind(b'R').await;
        let (mut client, first_message) = ScramClient::start("folio-key", scram::random_nonce());
        let mut message = b"SCRAM-SHA-256\0".to_vec();
        let length = u32::try_from(first_message.len()).expect("length");
        message.extend_from_slice(&length.to_be_bytes());
        message.extend_from_slice(first_message.as_bytes());
        caller.send(WireFrame::new(b'p', &message).bytes()).await;
        let challenge = caller.expect_kind(b'R').await;
        let final_message = client.answer(&challenge.body()[4..]).expect("challenge");
        caller
            .send(WireFrame::new(b'p', final_message.as_bytes()).bytes())
            .await;
        caller.cancel_key = caller.expect_kind(b'K').await.body().to_vec();
        caller.expect_kind(b'Z').await;
        caller
    }

    /// Sends bytes as they are.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("send");
    }

    /// Sends a simple query.
    pub async fn send_query(&mut self, query: &str) {
        let mut body = query.as_bytes().to_vec();
        body.push(0);
        self.send(WireFrame::new(b'Q', &body).bytes()).await;
    }

    /// Sends a cancel request on a new connection and waits until that connection is closed.
    pub async fn cancel(fixture: &CallerFixture, key: &[u8]) {
        let mut caller = Self::open(fixture).await;
        caller.send(&startup_packet(80_877_102, key)).await;
        assert!(caller.recv().await.is_none());
    }

    /// Returns the next message, or `None` at the end of the connection.
    pub async fn recv(&mut self) -> Option<WireFrame> {
        loop {
            let frame = WireFrame::split_first(&mut self.input, FRAME_LIMIT);
            if let Some(frame) = frame.expect("frame") {
                return Some(frame);
            }
            if !matches!(self.stream.read_buf(&mut self.input).await, Ok(1..)) {
                return None;
            }
        }
    }

    /// Reads messages up to the first of a kind and returns it; fails the test on an error message.
    pub async fn expect_kind(&mut self, kind: u8) -> WireFrame {
        loop {
            let frame = self.recv().await.expect("connection is open");
            if frame.kind() == kind {
                return frame;
            }
            assert_ne!(frame.kind(), b'E', "unexpected error message");
        }
    }
}
