//! Start-up and authentication of a caller, with limits on size and time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use ntex::codec::Decoder;
use ntex::connect::rustls::TlsServerFilter;
use ntex::io::Io;
use ntex::io::IoBoxed;
use ntex::time::Millis;
use ntex::util::Either;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::SecretKey;

use crate::connection::caller_identity::CallerIdentity;
use crate::connection::caller_session::CallerSession;
use crate::connection::caller_session::SessionStart;
use crate::connection::caller_stream::CallerFault;
use crate::connection::caller_stream::CallerStream;
use crate::connection::cancel_registry;
use crate::connection::listener::ListenerState;
use crate::connection::scram;
use crate::connection::scram::ScramServer;
use crate::connection::scram::ScramVerifiers;
use crate::connection::wire_frame;
use crate::connection::wire_frame::FrameError;
use crate::connection::wire_frame::WireFrame;
use crate::connection::wire_reply;
use crate::connection::wire_reply::CallerError;
use crate::connection::wire_reply::ErrorScope;
use crate::request::log_point::LogPoint;
use crate::request::refusal::RequestRefusal;
use crate::request::statement;
use crate::version::bundle::BundleConfig;
use crate::version::ids::ServiceId;
use crate::version::ids::TeamId;

const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_REQUEST_CODE: u32 = 80_877_104;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const PROTOCOL_MAJOR: u32 = 3;

/// Maximum number of unencrypted packets of a caller, including the startup message.
const MAX_NEGOTIATION_PACKETS: usize = 3;

/// Parameters that are reported to callers if no endpoint of the service has reported its own.
const DEFAULT_PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// A message before authentication; unlike later messages it has no type byte.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartupPacket {
    /// Requests TLS.
    Tls,
    /// Requests GSS encryption.
    Gss,
    /// Requests to cancel the running request of another connection.
    Cancel {
        /// The process number of the other connection.
        process: i32,
        /// The secret of the other connection.
        secret: i32,
    },
    /// Opens a session.
    Start {
        /// The minor protocol version.
        minor: u16,
        /// The parameters by name.
        parameters: BTreeMap<String, String>,
    },
}

impl StartupPacket {
    /// Reads the first packet of a buffer, and returns it with its size in bytes; `None` if it is
    /// incomplete. Packets longer than `limit` bytes are refused.
    pub fn read_first(buffer: &[u8], limit: usize) -> Result<Option<(Self, usize)>, FrameError> {
        let Some(length) = buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*length) as usize;
        if size < 8 {
            return Err(FrameError::BadLength);
        }
        if size > limit {
            return Err(FrameError::TooLarge { bytes: size, limit });
        }
        let Some(packet) = buffer.get(4..size) else {
            return Ok(None);
        };
        Ok(Some((Self::read_body(packet)?, size)))
    }

    fn read_body(packet: &[u8]) -> Result<Self, FrameError> {
        let (code, body) = packet
            .split_first_chunk::<4>()
            .ok_or(FrameError::BadLength)?;
        match u32::from_be_bytes(*code) {
            SSL_REQUEST_CODE => Ok(StartupPacket::Tls),
            GSS_REQUEST_CODE => Ok(StartupPacket::Gss),
            CANCEL_REQUEST_CODE => {
                let number = |bytes: &[u8]| bytes.first_chunk().map(|n| i32::from_be_bytes(*n));
                let process = number(body).ok_or(FrameError::BadBody)?;
                let secret = number(&body[4..]).ok_or(FrameError::BadBody)?;
                Ok(StartupPacket::Cancel { process, secret })
            }
            version if version >> 16 == PROTOCOL_MAJOR => Ok(StartupPacket::Start {
                minor: u16::try_from(version & 0xffff).unwrap_or(0),
                parameters: read_parameters(body)?,
            }),
            _ => Err(FrameError::BadBody),
        }
    }
}

fn read_parameters(mut body: &[u8]) -> Result<BTreeMap<String, String>, FrameError> {
    let mut parameters = BTreeMap::new();
    loop {
        let (name, rest) = wire_frame::split_text(body)?;
        if name.is_empty() {
            return Ok(parameters);
        }
        let (value, rest) = wire_frame::split_text(rest)?;
        let text =
            |bytes: &[u8]| String::from_utf8(bytes.to_vec()).map_err(|_| FrameError::BadBody);
        parameters.insert(text(name)?, text(value)?);
        body = rest;
    }
}

/// Decodes startup packets.
struct StartupCodec {
    limit: usize,
}

impl Decoder for StartupCodec {
    type Item = StartupPacket;
    type Error = FrameError;

    fn decode(
        &self,
        source: &mut ntex::util::BytesMut,
    ) -> Result<Option<StartupPacket>, FrameError> {
        let Some((packet, size)) = StartupPacket::read_first(source, self.limit)? else {
            return Ok(None);
        };
        let _ = source.split_to(size);
        Ok(Some(packet))
    }
}

/// Serves a new connection of a caller until it is closed.
pub async fn serve_connection(state: Arc<ListenerState>, io: Io) {
    let limit = state.config.limits.startup_timeout;
    let starting = Box::pin(start_session(state, io));
    match tokio::time::timeout(limit, starting).await {
        Ok(Some(session)) => session.run().await,
        Ok(None) => {}
        Err(_) => tracing::debug!("caller: start-up timed out"),
    }
}

async fn start_session(state: Arc<ListenerState>, io: Io) -> Option<CallerSession> {
    let (stream, packet, encrypted) = match negotiate(&state, io).await {
        Ok(found) => found?,
        Err(fault) => {
            tracing::debug!("caller: start-up failed: {fault}");
            return None;
        }
    };
    let limits = &state.config.limits;
    let memory = state.memory.open();
    let caller = CallerStream::new(stream, limits, memory);
    match packet {
        StartupPacket::Start { minor, parameters } => {
            if let Err(error) = check_connection(&state, encrypted) {
                send_refusal(&caller, &error).await;
                return None;
            }
            // The session compares later views with this bundle, so it must not be outdated.
            state.refresh_view();
            let bundle = state.view.borrow().bundle.clone();
            let starting = StartupExchange {
                state: &state,
                caller: &caller,
                bundle,
            };
            match starting.run(minor, parameters).await {
                Ok(start) => {
                    let mut caller = caller;
                    caller.set_limit(state.config.limits.max_message_bytes);
                    return Some(CallerSession::new(state, caller, start));
                }
                Err(StartupFault::Refused(error)) => send_refusal(&caller, &error).await,
                Err(StartupFault::Caller(fault)) => {
                    tracing::debug!("caller: start-up failed: {fault}");
                    if let CallerFault::Frame(error) = fault {
                        let error = CallerError::new("08P01", error.to_string());
                        send_refusal(&caller, &error).await;
                    }
                }
            }
        }
        StartupPacket::Cancel { process, secret } => {
            if let Some(target) = state.cancels.find(process, secret) {
                cancel_registry::send_cancel(&target, state.config.limits.connect_timeout).await;
            }
            caller.close().await;
        }
        StartupPacket::Tls | StartupPacket::Gss => {}
    }
    None
}

/// Checks the connection before authentication: required TLS and the number of callers.
fn check_connection(state: &ListenerState, encrypted: bool) -> Result<(), CallerError> {
    let limits = &state.config.limits;
    if limits.tls_required && !encrypted {
        return Err(CallerError::new("28000", "TLS is required"));
    }
    if state.sessions.load(Ordering::Relaxed) > limits.max_callers {
        return Err(CallerError::new("53300", "too many callers are connected"));
    }
    Ok(())
}

async fn send_refusal(caller: &CallerStream, error: &CallerError) {
    let mut out = BytesMut::new();
    error.encode(ErrorScope::Connection, &mut out);
    let _ = caller.write(&out);
    caller.close().await;
}

/// Answers requests for encryption and returns the connection, the packet that follows them, and
/// whether the connection is encrypted.
async fn negotiate(
    state: &ListenerState,
    io: Io,
) -> Result<Option<(IoBoxed, StartupPacket, bool)>, CallerFault> {
    let codec = StartupCodec {
        limit: state.config.limits.max_startup_bytes,
    };
    for _ in 0..MAX_NEGOTIATION_PACKETS {
        let packet = match recv_packet(&io, &codec).await? {
            Some(packet) => packet,
            None => return Ok(None),
        };
        match (packet, &state.config.tls) {
            (StartupPacket::Tls, Some(tls)) => {
                // Bytes sent before the handshake must not be treated as encrypted.
                if io.with_read_buf(|buffer| !buffer.is_empty()) {
                    return Err(CallerFault::Frame(FrameError::BadBody));
                }
                io.encode_slice(b"S")?;
                let limit = Millis(millis(state.config.limits.startup_timeout));
                let io = TlsServerFilter::create(io, tls.clone(), limit).await?;
                let packet = recv_packet(&io, &codec).await?;
                return Ok(packet.map(|packet| (io.boxed(), packet, true)));
            }
            (StartupPacket::Tls | StartupPacket::Gss, _) => io.encode_slice(b"N")?,
            (packet, _) => return Ok(Some((io.boxed(), packet, false))),
        }
    }
    Err(CallerFault::Frame(FrameError::BadBody))
}

fn millis(duration: std::time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

async fn recv_packet<F>(
    io: &Io<F>,
    codec: &StartupCodec,
) -> Result<Option<StartupPacket>, CallerFault> {
    match io.recv(codec).await {
        Ok(packet) => Ok(packet),
        Err(Either::Left(error)) => Err(CallerFault::Frame(error)),
        Err(Either::Right(_)) => Err(CallerFault::Disconnected),
    }
}

enum StartupFault {
    Refused(CallerError),
    Caller(CallerFault),
}

impl From<CallerFault> for StartupFault {
    fn from(fault: CallerFault) -> Self {
        StartupFault::Caller(fault)
    }
}

impl From<CallerError> for StartupFault {
    fn from(error: CallerError) -> Self {
        StartupFault::Refused(error)
    }
}

impl From<RequestRefusal> for StartupFault {
    fn from(refusal: RequestRefusal) -> Self {
        StartupFault::Refused(refusal.into())
    }
}

/// The exchange from the startup message to ReadyForQuery.
struct StartupExchange<'a> {
    state: &'a ListenerState,
    caller: &'a CallerStream,
    bundle: Arc<BundleConfig>,
}

impl StartupExchange<'_> {
    async fn run(
        &self,
        minor: u16,
        parameters: BTreeMap<String, String>,
    ) -> Result<SessionStart, StartupFault> {
        let mut out = BytesMut::new();
        if minor > 0 {
            put_version(&mut out);
        }
        if parameters.contains_key("replication") {
            return Err(CallerError::not_supported("replication").into());
        }
        let user = parameters.get("user").map_or("", String::as_str);
        let database = parameters.get("database").map_or(user, String::as_str);
        let identity = self.authenticate(user, database, &mut out).await?;
        identity.check(&self.bundle)?;
        if (self.state.ports.draining)() {
            return Err(RequestRefusal::Draining.into());
        }
        let (floor, settings) = read_settings(&parameters)?;
        wire_reply::put(&Authentication::Ok, &mut out);
        let cancel = self.state.cancels.register();
        self.put_parameters(&identity.service, &mut out);
        let key = BackendKeyData::new(cancel.process, SecretKey::I32(cancel.secret));
        wire_reply::put(&key, &mut out);
        wire_reply::put_ready(b'I', &mut out);
        self.caller.write_all(&mut out)?;
        Ok(SessionStart {
            identity,
            floor,
            settings,
            cancel,
        })
    }

    fn put_parameters(&self, service: &ServiceId, out: &mut BytesMut) {
        let mut parameters: BTreeMap<String, String> = DEFAULT_PARAMETERS
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect();
        parameters.extend(self.state.pool.parameters(service));
        for (name, value) in &parameters {
            wire_reply::put_parameter(name, value, out);
        }
    }

    async fn authenticate(
        &self,
        user: &str,
        database: &str,
        out: &mut BytesMut,
    ) -> Result<CallerIdentity, StartupFault> {
        let service = self
            .bundle
            .services
            .iter()
            .find(|service| service.id.as_str() == database);
        if let Some((service, team)) =
            service.and_then(|service| Some((service, service.open_as.clone()?)))
        {
            return Ok(CallerIdentity {
                team,
                service: service.id.clone(),
                key: None,
            });
        }
        let secret = self.state.config.salt_secret.expose().as_bytes();
        let verifiers = ScramVerifiers::for_team(&self.bundle, user, secret);
        let key = self.check_key(verifiers, out).await?;
        let team: TeamId = user.parse().map_err(|_| wrong_key())?;
        let stored_key = self
            .bundle
            .teams
            .iter()
            .filter(|found| found.id == team)
            .flat_map(|found| &found.keys)
            .find(|found| found.id == key)
            .map(|found| found.stored_key.clone())
            .ok_or_else(wrong_key)?;
        let service = service.ok_or(RequestRefusal::UnknownService)?;
        Ok(CallerIdentity {
            team,
            service: service.id.clone(),
            key: Some((key, stored_key)),
        })
    }

    async fn check_key(
        &self,
        verifiers: ScramVerifiers,
        out: &mut BytesMut,
    ) -> Result<crate::version::ids::KeyId, StartupFault> {
        let mechanisms = vec![scram::SCRAM_MECHANISM.to_owned()];
        wire_reply::put(&Authentication::SASL(mechanisms), out);
        self.caller.write_all(out)?;
        let first = self.recv_password().await?;
        let (mechanism, rest) = wire_frame::split_text(first.body()).map_err(CallerFault::from)?;
        let (length, data) = rest
            .split_first_chunk::<4>()
            .ok_or(CallerFault::Frame(FrameError::BadBody))?;
        if mechanism != scram::SCRAM_MECHANISM.as_bytes() {
            return Err(CallerError::new("28000", "the mechanism is not offered").into());
        }
        if u32::from_be_bytes(*length) as usize != data.len() {
            return Err(CallerFault::Frame(FrameError::BadBody).into());
        }
        let (server, reply) = ScramServer::start(verifiers, data, scram::random_nonce())
            .map_err(|error| CallerError::new("08P01", error.to_string()))?;
        wire_reply::put(&Authentication::SASLContinue(reply.into()), out);
        self.caller.write_all(out)?;
        let last = self.recv_password().await?;
        let (key, proof) = server.finish(last.body()).map_err(|_| wrong_key())?;
        wire_reply::put(&Authentication::SASLFinal(proof.into()), out);
        Ok(key)
    }

    async fn recv_password(&self) -> Result<WireFrame, CallerFault> {
        let frame = self.caller.recv().await?;
        match frame.kind() {
            b'p' => Ok(frame),
            b'X' => Err(CallerFault::Disconnected),
            _ => Err(CallerFault::Frame(FrameError::BadBody)),
        }
    }
}

fn wrong_key() -> CallerError {
    CallerError::new("28P01", "the key is not accepted")
}

/// Writes NegotiateProtocolVersion: minor version 0 and no options.
fn put_version(out: &mut BytesMut) {
    out.extend_from_slice(WireFrame::new(b'v', &[0, 3, 0, 0, 0, 0, 0, 0]).bytes());
}

type StartSettings = (Option<LogPoint>, BTreeMap<String, String>);

fn read_settings(parameters: &BTreeMap<String, String>) -> Result<StartSettings, CallerError> {
    let mut floor = None;
    let mut settings = BTreeMap::new();
    for (name, value) in parameters {
        let lower = name.to_ascii_lowercase();
        match lower.as_str() {
            "user" | "database" => {}
            statement::FLOOR_SETTING => {
                let point = value
                    .parse()
                    .map_err(|error| CallerError::new("22023", format!("{error}")))?;
                floor = Some(point);
            }
            "options" if value.trim().is_empty() => {}
            "options" => return Err(CallerError::not_supported("the startup parameter options")),
            "client_encoding" if matches!(value.as_str(), "UTF8" | "utf8" | "UTF-8" | "utf-8") => {}
            "standard_conforming_strings" | "role" | "session_authorization" => {
                return Err(CallerError::not_supported("a startup parameter"));
            }
            _ if lower.starts_with("_pq_.") => {}
            _ if is_setting_name(&lower) => {
                let value = value.replace('\'', "''");
                settings.insert(lower.clone(), format!("SET {lower} = '{value}'"));
            }
            _ => {
                return Err(CallerError::new(
                    "08P01",
                    "a startup parameter has no valid name",
                ));
            }
        }
    }
    Ok((floor, settings))
}

fn is_setting_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '.');
    !name.is_empty() && name.chars().all(allowed) && !name.starts_with(|c: char| c.is_ascii_digit())
}
