//! Serves this instance's endpoint connections to other instances.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use platform::endpoint_codec::EndpointCommand;
use session_core::endpoint_entry::EndpointEntry;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::request_outcome::StatementFault;
use session_core::session_values::ConnectionValues;
use session_core::session_values::ReplayStep;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;

use crate::endpoint_connection::ConnectError;
use crate::endpoint_pool::PoolError;
use crate::endpoint_pool::PooledConnection;
use crate::host_message::ConnectionRequest;
use crate::host_message::HostAnswer;
use crate::host_message::HostRefusal;
use crate::host_message::HostReply;
use crate::host_message::HostRequest;
use crate::host_message::LINK_CHANNEL;
use crate::host_message::LINK_VERSION;
use crate::host_message::ReplyBody;
use crate::instance::Instance;
use crate::instance_limits::TICK_PERIOD;
use crate::instance_limits::UNACKNOWLEDGED_TIMEOUT;
use crate::link_outbox::LinkOutbox;
use crate::message_parts::PartAssembler;
use crate::message_parts::READ_BUFFER_BYTES;
use crate::message_parts::part_codec;

/// Maximum number of links that are served: one from each instance of the largest fleet.
const MAX_LINKS: usize = 640;

/// Maximum number of channels that are open on one link.
const MAX_LINK_CHANNELS: usize = 128;

/// Maximum number of channels that are open on all links together.
const MAX_CHANNELS: usize = 1_024;

/// Time without a message after which the link of an instance with open channels is closed: the
/// instance sends one at least each second.
const LINK_SILENCE: Duration = Duration::from_secs(4);

/// Time without a message after which any link is closed. Instances close theirs earlier.
const LINK_LIFE: Duration = Duration::from_secs(120);

/// Number of requests of one channel that may wait: a release after the one that runs.
const CHANNEL_REQUESTS: usize = 2;

/// Pause before a failed attempt to listen is repeated.
const LISTEN_PAUSE: Duration = Duration::from_secs(5);

/// Listens on the link port while connections are scarce, and serves each link.
pub async fn serve_links(instance: Rc<Instance>) {
    let mut changes = instance.changes.subscribe();
    while !instance.connections_are_scarce() {
        if changes.changed().await.is_err() {
            return;
        }
    }
    let Some(address) = link_address(instance.settings.peer_address) else {
        return;
    };
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => {
                tracing::warn!(event = "links_not_served", %address, %error);
                tokio::time::sleep(LISTEN_PAUSE).await;
            }
        }
    };
    tracing::info!(event = "links_served", %address);
    loop {
        match listener.accept().await {
            Ok((stream, address)) if instance.served_links.get() >= MAX_LINKS => {
                tracing::debug!(event = "link_refused", %address);
                drop(stream);
            }
            Ok((stream, address)) => {
                tokio::task::spawn_local(serve_link(Rc::clone(&instance), stream, address));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", what = "link", %error);
                tokio::time::sleep(TICK_PERIOD).await;
            }
        }
    }
}

fn link_address(peer_address: SocketAddr) -> Option<SocketAddr> {
    let port = peer_address.port().checked_add(1)?;
    Some(SocketAddr::new(peer_address.ip(), port))
}

async fn serve_link(instance: Rc<Instance>, stream: TcpStream, address: SocketAddr) {
    instance.served_links.set(instance.served_links.get() + 1);
    let outbox = Rc::new(LinkOutbox::default());
    let error = match prepare_stream(&stream) {
        Ok(()) => {
            let (reader, writer) = stream.into_split();
            let link = ServedLink {
                instance: Rc::clone(&instance),
                outbox: Rc::clone(&outbox),
                channels: HashMap::new(),
                is_begun: false,
            };
            tokio::select! {
                error = link.read_requests(reader) => error,
                error = outbox.write_to(FramedWrite::new(writer, part_codec())) => error,
            }
        }
        Err(error) => error,
    };
    // The end of a link ends the requests of its channels, whose connections are closed.
    outbox.close();
    instance.served_links.set(instance.served_links.get() - 1);
    tracing::debug!(event = "link_ended", %address, %error);
}

fn prepare_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Link of another instance.
struct ServedLink {
    instance: Rc<Instance>,
    outbox: Rc<LinkOutbox>,
    /// Senders of the requests on each channel.
    channels: HashMap<u32, mpsc::Sender<HostRequest>>,
    /// Whether the other instance has named its version.
    is_begun: bool,
}

impl ServedLink {
    async fn read_requests(mut self, reader: OwnedReadHalf) -> io::Error {
        let mut parts = FramedRead::with_capacity(reader, part_codec(), READ_BUFFER_BYTES);
        let mut assembler = PartAssembler::default();
        loop {
            self.channels.retain(|_, requests| !requests.is_closed());
            let time = match self.channels.is_empty() {
                true => LINK_LIFE,
                false => LINK_SILENCE,
            };
            let part = match tokio::time::timeout(time, parts.next()).await {
                Ok(Some(Ok(part))) => part,
                Ok(Some(Err(error))) => return error,
                Ok(None) => return io::ErrorKind::UnexpectedEof.into(),
                Err(_) => return io::ErrorKind::TimedOut.into(),
            };
            let message = match assembler.push(part) {
                Ok(message) => message,
                Err(error) => return error,
            };
            let Some((channel, bytes)) = message else {
                continue;
            };
            let handled = match postcard::from_bytes(&bytes) {
                Ok(request) => self.handle(channel, request),
                Err(error) => Err(io::Error::other(error)),
            };
            if let Err(error) = handled {
                return error;
            }
        }
    }

    /// Handles a request. Fails if it does not follow the protocol.
    fn handle(&mut self, channel: u32, request: HostRequest) -> io::Result<()> {
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        match request {
            HostRequest::Hello { version } if version == LINK_VERSION => {
                self.is_begun = true;
                send_reply(&self.outbox, LINK_CHANNEL, ReplyBody::Pong)
            }
            HostRequest::Hello { .. } => Err(io::Error::from(io::ErrorKind::Unsupported)),
            _ if !self.is_begun => Err(invalid()),
            HostRequest::Ping => send_reply(&self.outbox, LINK_CHANNEL, ReplyBody::Pong),
            HostRequest::Acquire(request) => {
                let is_open = self.channels.get(&channel).is_some_and(|c| !c.is_closed());
                if is_open || channel == LINK_CHANNEL {
                    return Err(invalid());
                }
                self.open_channel(channel, request)
            }
            request => match self.channels.get(&channel) {
                Some(requests) => requests.try_send(request).or_else(|error| match error {
                    // The channel ended with a refusal or a failure.
                    mpsc::error::TrySendError::Closed(_) => Ok(()),
                    mpsc::error::TrySendError::Full(_) => Err(invalid()),
                }),
                None => Ok(()),
            },
        }
    }

    fn open_channel(&mut self, number: u32, request: ConnectionRequest) -> io::Result<()> {
        let refusal = match () {
            () if self.instance.is_stopping() => Some(HostRefusal::Stopping),
            () if self.channels.len() >= MAX_LINK_CHANNELS => Some(HostRefusal::NoRoom),
            () if self.instance.served_channels.get() >= MAX_CHANNELS => Some(HostRefusal::NoRoom),
            () => None,
        };
        if let Some(refusal) = refusal {
            return send_reply(&self.outbox, number, ReplyBody::Refused(refusal));
        }
        let (sender, requests) = mpsc::channel(CHANNEL_REQUESTS);
        self.channels.insert(number, sender);
        self.instance.begin_channel();
        let channel = ServedChannel {
            instance: Rc::clone(&self.instance),
            outbox: Rc::clone(&self.outbox),
            number,
            requests,
        };
        tokio::task::spawn_local(channel.serve(request));
        Ok(())
    }
}

fn send_reply(outbox: &LinkOutbox, channel: u32, body: ReplyBody) -> io::Result<()> {
    let reply = HostReply { stamp: now(), body };
    let queued = outbox.push(channel, &reply);
    queued.map_err(|_| io::Error::from(io::ErrorKind::OutOfMemory))
}

/// Channel of a link, which holds one endpoint connection.
struct ServedChannel {
    instance: Rc<Instance>,
    outbox: Rc<LinkOutbox>,
    number: u32,
    requests: mpsc::Receiver<HostRequest>,
}

impl Drop for ServedChannel {
    fn drop(&mut self) {
        self.instance.end_channel();
    }
}

impl ServedChannel {
    async fn serve(mut self, request: ConnectionRequest) {
        let acquired = tokio::select! {
            biased;
            acquired = acquire(&self.instance, &request) => acquired,
            // The channel was released, or its link is lost.
            _ = self.requests.recv() => return,
        };
        let mut connection = match acquired {
            Ok(connection) => connection,
            Err(refusal) => return self.reply(ReplyBody::Refused(refusal)),
        };
        self.instance.count_provided(connection.opened);
        let values = connection.values();
        self.reply(ReplyBody::Acquired {
            values: (values.values != request.values).then(|| values.values.clone()),
            prepared: request
                .prepared
                .is_some_and(|name| values.prepared.contains(&name)),
        });
        if !self.serve_requests(&mut connection).await || self.instance.is_stopping() {
            connection.mark_broken();
        }
    }

    fn reply(&self, body: ReplyBody) {
        // Without the link, the request for the next command fails.
        let _ = send_reply(&self.outbox, self.number, body);
    }

    /// Serves the channel until it is released or lost. Returns whether the connection may be used
    /// by another channel.
    async fn serve_requests(&mut self, connection: &mut PooledConnection) -> bool {
        loop {
            match self.requests.recv().await {
                Some(HostRequest::Run {
                    commands,
                    deadline,
                    time,
                }) => {
                    let body = tokio::select! {
                        biased;
                        body = run_commands(connection, commands, deadline, time) => body,
                        // The statement runs on without a receiver of its answer. Closing the
                        // connection ends it and its transaction.
                        _ = self.requests.recv() => return false,
                    };
                    let failed = matches!(body, ReplyBody::Failed(_));
                    self.send_answers(body);
                    if failed {
                        return false;
                    }
                }
                Some(HostRequest::Release { reusable }) => return reusable,
                Some(HostRequest::Hello { .. } | HostRequest::Acquire(_) | HostRequest::Ping)
                | None => return false,
            }
        }
    }

    /// Sends the answers, or a failure in place of answers that are too large for the link.
    fn send_answers(&self, body: ReplyBody) {
        if send_reply(&self.outbox, self.number, body).is_err() {
            self.reply(ReplyBody::Failed(StatementFault::Broken));
        }
    }
}

async fn acquire(
    instance: &Rc<Instance>,
    request: &ConnectionRequest,
) -> Result<PooledConnection, HostRefusal> {
    let entry = known_entry(instance, request).ok_or(HostRefusal::UnknownEndpoint)?;
    let limit = instance.connection_limit(&entry);
    let is_preferred = |values: &ConnectionValues| {
        let holds_name = request
            .prepared
            .as_ref()
            .is_none_or(|name| values.prepared.contains(name));
        2 * u8::from(values.values == request.values) + u8::from(holds_name)
    };
    let team = request.team.as_ref();
    let pool = &instance.pool;
    let acquired = pool
        .acquire_connection(&entry, team, is_preferred, limit, request.wait)
        .await;
    acquired.map_err(|error| match error {
        PoolError::Exhausted => HostRefusal::NoRoom,
        PoolError::Connect(error) => {
            tracing::debug!(event = "endpoint_not_connected", endpoint = %entry.id, %error);
            instance.record_connect_failure(&entry.id, &error);
            match error {
                ConnectError::Refused(refusal) => HostRefusal::EndpointRefused(refusal),
                ConnectError::Io(_) | ConnectError::Overdue | ConnectError::AtHost => {
                    HostRefusal::NotConnected
                }
            }
        }
    })
}

fn known_entry(instance: &Instance, request: &ConnectionRequest) -> Option<EndpointEntry> {
    let view = instance.view.borrow();
    let entry = view.endpoints.get(&request.endpoint)?;
    (entry.service == request.service).then(|| entry.clone())
}

/// Runs the commands of a channel, unless their deadline has passed.
async fn run_commands(
    connection: &mut PooledConnection,
    commands: Vec<EndpointCommand>,
    deadline: MonotonicTime,
    time: Duration,
) -> ReplyBody {
    if now() > deadline || !commands.iter().all(may_forward) {
        return ReplyBody::Failed(StatementFault::NotSent);
    }
    let started_at = now();
    let held = held_names(connection, &commands);
    let sent = commands.into_iter().zip(&held);
    let sent = sent.filter(|(_, held)| !**held).map(|(command, _)| command);
    let result = connection.run_all(sent.collect(), time, None);
    let answers = match result.await {
        Ok(answers) => answers,
        Err(fault) => return ReplyBody::Failed(fault),
    };
    let took = now().saturating_since(started_at);
    let mut answers = answers.into_iter().peekable();
    let mut forwarded = Vec::with_capacity(held.len());
    for held in held {
        let answer = match (held, answers.next_if(|_| !held)) {
            (true, _) => held_answer(connection),
            (false, Some(answer)) => answer.into(),
            (false, None) => return ReplyBody::Failed(StatementFault::Broken),
        };
        forwarded.push(answer);
    }
    ReplyBody::Answers {
        answers: forwarded,
        took,
    }
}

/// Returns whether an instance may send this command on a connection of its sessions.
fn may_forward(command: &EndpointCommand) -> bool {
    match command {
        EndpointCommand::Pass { .. }
        | EndpointCommand::Begin { .. }
        | EndpointCommand::Rollback
        | EndpointCommand::Replay(_) => true,
        EndpointCommand::Startup { .. }
        | EndpointCommand::Status
        | EndpointCommand::Demote(_)
        | EndpointCommand::Terminate => false,
    }
}

/// Returns for each command whether it prepares a statement that the connection holds already. The
/// sender knows only of the one that it asked for.
fn held_names(connection: &PooledConnection, commands: &[EndpointCommand]) -> Vec<bool> {
    let mut is_reset = false;
    let is_held = |command: &EndpointCommand| match command {
        EndpointCommand::Replay(ReplayStep::Prepare { name, .. }) => {
            !is_reset && connection.values().prepared.contains(name)
        }
        EndpointCommand::Replay(ReplayStep::Reset) => {
            is_reset = true;
            false
        }
        _ => false,
    };
    commands.iter().map(is_held).collect()
}

fn held_answer(connection: &PooledConnection) -> HostAnswer {
    HostAnswer {
        rows: Vec::new(),
        result: Ok("-".to_owned()),
        state: connection.state,
        position: "-".to_owned(),
    }
}
