//! Guards start-up against oversized, incomplete and random input from callers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use tamaracklb::connection::scram;
use tamaracklb::connection::scram::ScramClient;
use tamaracklb::connection::scram::ScramServer;
use tamaracklb::connection::scram::ScramVerifiers;
use tamaracklb::connection::startup::StartupPacket;
use tamaracklb::connection::wire_frame;
use tamaracklb::connection::wire_frame::FrameError;
use tamaracklb::connection::wire_frame::WireFrame;
use tamaracklb::request::statement;

use crate::caller_fixture;
use crate::caller_fixture::CallerFixture;
use crate::caller_fixture::sqlstate;
use crate::raw_caller;
use crate::raw_caller::RawCaller;

const PROTOCOL_3_0: u32 = 196_608;
const SEED: u64 = 7_451;

fn seeded() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    /// A decoder must not panic on arbitrary bytes or return a packet above its limit.
    #[test]
    fn arbitrary_bytes_are_decoded_safely(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(Some((_, size))) = StartupPacket::read_first(&bytes, 100) {
            prop_assert!(size <= 100 && size <= bytes.len());
        }
        if let Ok(Some((frame, size))) = WireFrame::copy_first(&bytes, 100) {
            prop_assert!(size <= 101);
            prop_assert_eq!(frame.bytes(), &bytes[..size]);
        }
        let _ = wire_frame::read_row(&bytes);
        let _ = wire_frame::split_text(&bytes);
    }

    /// A truncated message must count as incomplete, and a complete one must be read in full.
    #[test]
    fn truncated_messages_are_waited_for(
        kind in any::<u8>(),
        body in prop::collection::vec(any::<u8>(), 0..100),
        cut in 0.0..1.0,
    ) {
        let frame = WireFrame::new(kind, &body);
        let bytes = frame.bytes();
        let part = &bytes[..(bytes.len() as f64 * cut) as usize];
        prop_assert!(matches!(WireFrame::copy_first(part, 1000), Ok(None)));
        let (read, size) = WireFrame::copy_first(bytes, 1000).expect("valid").expect("complete");
        prop_assert_eq!(read.body(), &body[..]);
        prop_assert_eq!(size, bytes.len());
    }

    /// An oversized message must be refused on its length field, before its body is buffered.
    #[test]
    fn oversized_messages_are_refused(kind in any::<u8>(), length in 101_u32..) {
        let mut header = vec![kind];
        header.extend_from_slice(&length.to_be_bytes());
        let bytes = length as usize;
        let error = WireFrame::copy_first(&header, 100).expect_err("too large");
        prop_assert_eq!(error, FrameError::TooLarge { bytes, limit: 100 });
        let packet = length.to_be_bytes();
        let error = StartupPacket::read_first(&packet, 100).expect_err("too large");
        prop_assert_eq!(error, FrameError::TooLarge { bytes, limit: 100 });
    }

    /// Any text must be parsed without a panic, and only reads may be classified as reads.
    #[test]
    fn arbitrary_statements_are_classified(text in "[ -~\\n'\"$;/*é-]{0,60}") {
        for info in statement::parse_statements(&text) {
            prop_assert!(!info.pure || info.read);
        }
        let hidden = format!("SELECT 1; DELETE FROM t -- {}", text.replace('\n', " "));
        prop_assert!(statement::parse_statements(&hidden).iter().any(|info| !info.read));
    }

    /// Arbitrary SCRAM messages must be refused without a panic.
    #[test]
    fn arbitrary_proofs_are_refused(
        first in "(n,,)?[ -~]{0,40}",
        last in "[ -~]{0,80}",
    ) {
        let bundle = caller_fixture::sample_bundle();
        let verifiers = ScramVerifiers::for_team(&bundle, "folio", b"secret");
        if let Ok((server, _)) = ScramServer::start(verifiers, first.as_bytes(), [7; 18]) {
            prop_assert!(server.finish(last.as_bytes()).is_err());
        }
    }
}

/// Runs a SCRAM exchange with a key and returns whether both sides accepted it.
fn authenticates(bundle: &tamaracklb::version::bundle::BundleConfig, password: &str) -> bool {
    let (mut client, first_message) = ScramClient::start(password, [1; 18]);
    let verifiers = ScramVerifiers::for_team(bundle, "folio", b"secret");
    let (server, reply) =
        ScramServer::start(verifiers, first_message.as_bytes(), [2; 18]).expect("first message");
    let final_message = client.answer(reply.as_bytes()).expect("challenge");
    let Ok((_, proof)) = server.finish(final_message.as_bytes()) else {
        return false;
    };
    client.check(proof.as_bytes()).is_ok()
}

/// The same exchange must accept any of a team's keys, so that keys can be rotated.
#[test]
fn any_key_of_a_team_matches() {
    let mut bundle = caller_fixture::sample_bundle();
    let team = &mut bundle.teams[0];
    let id = "second".parse().expect("id");
    let key = scram::create_verifier(id, "second-key", caller_fixture::SALT, team.iterations);
    team.keys.push(key);
    assert!(authenticates(&bundle, "folio-key"));
    assert!(authenticates(&bundle, "second-key"));
    assert!(!authenticates(&bundle, "third-key"));
}

/// The challenge to an unknown team must not change and must look like that to a known team, so
/// that it does not reveal which teams exist.
#[test]
fn unknown_team_gets_a_stable_salt() {
    let bundle = caller_fixture::sample_bundle();
    let challenge = |name: &str, secret: &[u8]| {
        let verifiers = ScramVerifiers::for_team(&bundle, name, secret);
        let (_, reply) = ScramServer::start(verifiers, b"n,,n=,r=x", [2; 18]).expect("first");
        reply
    };
    assert_eq!(challenge("nobody", b"a"), challenge("nobody", b"a"));
    assert_ne!(challenge("nobody", b"a"), challenge("somebody", b"a"));
    assert_ne!(challenge("nobody", b"a"), challenge("nobody", b"b"));
    assert_eq!(
        challenge("nobody", b"a").len(),
        challenge("folio", b"a").len()
    );
}

/// Neither keys nor passwords may appear in Debug output.
#[test]
fn debug_output_has_no_secrets() {
    let bundle = caller_fixture::sample_bundle();
    let printed = format!("{bundle:?}");
    assert!(!printed.contains(&bundle.teams[0].keys[0].stored_key));
    let frame = WireFrame::new(b'p', b"folio-key");
    assert!(!format!("{frame:?}").contains("folio-key"));
    let secret = tamaracklb::version::secret_text::SecretText::new("folio-key");
    assert!(!format!("{secret:?}").contains("folio-key"));
}

/// A caller that does not complete its start-up must be disconnected at the startup timeout, at
/// whichever step it stops.
#[tokio::test]
async fn endless_startup_is_dropped() {
    let fixture = CallerFixture::start_with(|config| {
        config.limits.startup_timeout = Duration::from_millis(300);
    })
    .await;
    let mut silent = RawCaller::open(&fixture).await;
    let mut partial = RawCaller::open(&fixture).await;
    partial.send(&[0, 0, 0, 40, 0, 3]).await;
    let mut unauthenticated = RawCaller::open(&fixture).await;
    let body = b"user\0folio\0database\0studio\0\0";
    unauthenticated
        .send(&raw_caller::startup_packet(PROTOCOL_3_0, body))
        .await;
    unauthenticated.expect_kind(b'R').await;
    let start = Instant::now();
    assert!(silent.recv().await.is_none());
    assert!(partial.recv().await.is_none());
    assert!(unauthenticated.recv().await.is_none());
    assert!(start.elapsed() < Duration::from_secs(10));
}

/// Oversized and invalid first packets must close their own connection and affect no other.
#[tokio::test]
async fn invalid_startup_is_refused() {
    let fixture = CallerFixture::start().await;
    for packet in [
        vec![0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0],
        vec![0, 0, 0, 3, 0, 3, 0, 0],
        raw_caller::startup_packet(131_072, b"user\0folio\0\0"),
        raw_caller::startup_packet(PROTOCOL_3_0, b"user\0folio"),
        raw_caller::startup_packet(80_877_102, b"x"),
        raw_caller::startup_packet(80_877_103, b"").repeat(10),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
    ] {
        let mut caller = RawCaller::open(&fixture).await;
        caller.send(&packet).await;
        let mut rest = Vec::new();
        let reading = tokio::io::AsyncReadExt::read_to_end(&mut caller.stream, &mut rest);
        let ended = tokio::time::timeout(Duration::from_secs(5), reading).await;
        // A connection reset also counts as closed.
        assert!(ended.is_ok(), "connection stays open");
    }
    fixture
        .connect()
        .await
        .batch_execute("SELECT 1")
        .await
        .expect("read");
}

/// An oversized message after start-up must be refused with 54000 and close the connection.
#[tokio::test]
async fn oversized_message_is_refused() {
    let fixture =
        CallerFixture::start_with(|config| config.limits.max_message_bytes = 10_000).await;
    let mut caller = RawCaller::start(&fixture).await;
    caller.send(&[b'Q', 0, 0, 0x40, 0]).await;
    let error = caller.recv().await.expect("error");
    let text = String::from_utf8_lossy(error.body()).into_owned();
    assert!(text.contains("54000"), "{text}");
    assert!(caller.recv().await.is_none());
}

/// An unknown, malformed or out-of-sequence message must end the connection with 08P01.
#[tokio::test]
async fn misplaced_message_is_refused() {
    let fixture = CallerFixture::start().await;
    for bytes in [
        WireFrame::new(b'z', b"").bytes().to_vec(),
        WireFrame::new(b'B', b"no end").bytes().repeat(2),
        [
            WireFrame::new(b'P', b"\0SELECT 1\0\0\0").bytes(),
            WireFrame::new(b'Q', b"SELECT 1\0").bytes(),
        ]
        .concat(),
    ] {
        let mut caller = RawCaller::start(&fixture).await;
        caller.send(&bytes).await;
        caller.send(WireFrame::new(b'S', b"").bytes()).await;
        let error = caller.recv().await.expect("error");
        let text = String::from_utf8_lossy(error.body()).into_owned();
        assert!(text.contains("08P01"), "{text}");
    }
}

/// Startup parameters must be set on the endpoint, and unsupported ones must be refused.
#[tokio::test]
async fn startup_parameters_become_settings() {
    let fixture = CallerFixture::start().await;
    let mut config = fixture.driver();
    config.application_name("it's");
    let client = caller_fixture::connect(&config).await.expect("connect");
    client.batch_execute("SELECT 1").await.expect("read");
    let texts = fixture.replica.statements();
    assert_eq!(texts, ["SET application_name = 'it''s'", "SELECT 1"]);
    config.options("-c statement_timeout=1");
    let error = caller_fixture::connect(&config).await;
    assert_eq!(sqlstate(&error.expect_err("options")), "0A000");
}

/// A service with `open_as` must require no key and count its requests for the team named there.
#[tokio::test]
async fn open_service_requires_no_key() {
    let fixture = CallerFixture::start().await;
    fixture.state.change_bundle(|bundle| {
        bundle.services[0].open_as = Some("folio".parse().expect("id"));
    });
    let mut config = tokio_postgres::Config::new();
    config.host("127.0.0.1").port(fixture.address.port());
    config.user("anybody").dbname("studio");
    let client = caller_fixture::connect(&config).await.expect("connect");
    client.batch_execute("SELECT 1").await.expect("read");
    let requests = fixture.state.admission_requests.lock().expect("lock");
    assert_eq!(requests[0].team.as_str(), "folio");
}

/// An unknown service and a team that is not allowed must be refused with different errors, but
/// only after the key was verified.
#[tokio::test]
async fn service_is_checked_after_the_key() {
    let fixture = CallerFixture::start().await;
    let mut config = fixture.driver();
    config.dbname("nothing");
    let error = caller_fixture::connect(&config).await;
    assert_eq!(sqlstate(&error.expect_err("unknown service")), "3D000");
    config.password("wrong");
    let error = caller_fixture::connect(&config).await;
    assert_eq!(sqlstate(&error.expect_err("wrong key")), "28P01");
    fixture
        .state
        .change_bundle(|bundle| bundle.services[0].teams.clear());
    let error = caller_fixture::connect(&fixture.driver()).await;
    assert_eq!(sqlstate(&error.expect_err("team not allowed")), "28000");
}

/// With a certificate, callers must be able to use TLS, and callers without TLS must be refused
/// if it is required.
#[tokio::test]
async fn tls_is_used_where_there_is_a_certificate() {
    let names = vec!["localhost".to_owned()];
    let certificate = rcgen::generate_simple_self_signed(names).expect("certificate");
    let key =
        rustls::pki_types::PrivateKeyDer::Pkcs8(certificate.signing_key.serialize_der().into());
    let chain = vec![certificate.cert.der().clone()];
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_no_client_auth()
        .with_single_cert(chain.clone(), key)
        .expect("certificate");
    let fixture = CallerFixture::start_with(|config| {
        config.tls = Some(Arc::new(server));
        config.limits.tls_required = true;
    })
    .await;
    let plain = caller_fixture::connect(&fixture.driver()).await;
    let refused = plain.expect_err("a caller without TLS is refused");
    assert_eq!(sqlstate(&refused), "28000");
    let mut caller = RawCaller::open(&fixture).await;
    caller
        .send(&raw_caller::startup_packet(80_877_103, b""))
        .await;
    let mut answer = [0];
    let reading = tokio::io::AsyncReadExt::read_exact(&mut caller.stream, &mut answer);
    reading.await.expect("answer");
    assert_eq!(&answer, b"S");
    let mut roots = rustls::RootCertStore::empty();
    roots.add(chain[0].clone()).expect("root");
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = tokio_rustls::TlsConnector::from(Arc::new(client));
    let name = "localhost".try_into().expect("name");
    let stream = connector
        .connect(name, caller.stream)
        .await
        .expect("handshake");
    let mut config = fixture.driver();
    config.ssl_mode(tokio_postgres::config::SslMode::Disable);
    let connected = config.connect_raw(stream, tokio_postgres::NoTls).await;
    let (client, connection) = connected.expect("connect");
    tokio::spawn(connection);
    client.batch_execute("SELECT 1").await.expect("read");
}

/// Callers beyond the limit must be refused, so that they do not exhaust the instance's memory.
#[tokio::test]
async fn callers_beyond_the_limit_are_refused() {
    let fixture = CallerFixture::start_with(|config| config.limits.max_callers = 1).await;
    let first = fixture.connect().await;
    let second = caller_fixture::connect(&fixture.driver()).await;
    let refused = second.expect_err("a second caller is refused");
    assert_eq!(sqlstate(&refused), "53300");
    first.batch_execute("SELECT 1").await.expect("read");
    drop(first);
    while caller_fixture::connect(&fixture.driver()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Bytes sent before the TLS handshake must not be treated as if they were encrypted.
#[tokio::test]
async fn plain_bytes_before_tls_are_refused() {
    let names = vec!["localhost".to_owned()];
    let certificate = rcgen::generate_simple_self_signed(names).expect("certificate");
    let key =
        rustls::pki_types::PrivateKeyDer::Pkcs8(certificate.signing_key.serialize_der().into());
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let server = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_no_client_auth()
        .with_single_cert(vec![certificate.cert.der().clone()], key)
        .expect("certificate");
    let fixture = CallerFixture::start_with(|config| config.tls = Some(Arc::new(server))).await;
    let mut caller = RawCaller::open(&fixture).await;
    let mut bytes = raw_caller::startup_packet(80_877_103, b"");
    let body = b"user\0folio\0database\0studio\0\0";
    bytes.extend(raw_caller::startup_packet(PROTOCOL_3_0, body));
    caller.send(&bytes).await;
    let mut rest = Vec::new();
    // A connection reset is as acceptable as an orderly close.
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut caller.stream, &mut rest).await;
    assert_eq!(rest, b"");
}
