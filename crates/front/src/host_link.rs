//! Link of this instance to the host of an endpoint's connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use session_core::host_clock::HostClock;
use session_core::ids::EndpointId;
use session_core::ids::InstanceId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;

use crate::host_message::HostReply;
use crate::host_message::HostRequest;
use crate::host_message::LINK_CHANNEL;
use crate::host_message::LINK_VERSION;
use crate::instance_limits::UNACKNOWLEDGED_TIMEOUT;
use crate::link_outbox::LinkOutbox;
use crate::link_outbox::OutboxError;
use crate::message_parts::PartAssembler;
use crate::message_parts::READ_BUFFER_BYTES;
use crate::message_parts::part_codec;

/// Timeout of the connection to a host: a round trip between zones with one lost packet would take
/// longer than a request may wait.
const LINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without a message from a host that owes a reply after which it is asked for a sign of life.
const PING_QUIET: Duration = Duration::from_millis(120);

/// Time without a message from a host that owes a reply after which the link counts as lost, as
/// for unacknowledged bytes.
const LINK_SILENCE: Duration = UNACKNOWLEDGED_TIMEOUT;

/// Pause between two messages on a link whose channels are open without requests.
const KEEPALIVE_PERIOD: Duration = Duration::from_millis(1_000);

/// Time without channels after which a link is closed.
const LINK_IDLE_TIME: Duration = Duration::from_secs(60);

/// Time for which a host is passed over for an endpoint of which it reported a fault. The next host
/// or a direct connection shows whether the fault is one of the endpoint or of the way to it.
const FAULT_TIME: Duration = Duration::from_millis(1_000);

/// Maximum number of open channels of a link.
const MAX_CHANNELS: usize = 128;

/// Why a request was not sent to the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// The link is lost.
    Lost,
    /// Too many channels are open, or too many bytes wait to be sent.
    Full,
}

impl From<OutboxError> for LinkError {
    fn from(error: OutboxError) -> Self {
        match error {
            OutboxError::Closed => LinkError::Lost,
            OutboxError::Full => LinkError::Full,
        }
    }
}

/// Link to one host.
#[derive(Debug)]
pub struct HostLink {
    /// Name of the host.
    pub host: InstanceId,
    outbox: LinkOutbox,
    /// Receivers of the next reply on each channel.
    pending: RefCell<HashMap<u32, oneshot::Sender<HostReply>>>,
    channels: Cell<usize>,
    last_channel: Cell<u32>,
    /// When the host was last heard, or a request was sent while it owed no reply.
    heard_at: Cell<MonotonicTime>,
    pinged_at: Cell<MonotonicTime>,
    used_at: Cell<MonotonicTime>,
    clock: Cell<Option<HostClock>>,
    lost: Cell<bool>,
    /// When the link was lost, if that was by a failure.
    failed_at: Cell<Option<MonotonicTime>>,
    became_busy: Notify,
    /// When the host last reported that an endpoint could not be reached or did not answer.
    endpoint_faults: RefCell<HashMap<EndpointId, MonotonicTime>>,
}

impl HostLink {
    /// Starts to connect to a host. Requests are sent once the connection is open.
    pub fn open(host: InstanceId, address: SocketAddr) -> Rc<Self> {
        let at = now();
        let link = Rc::new(Self {
            host,
            outbox: LinkOutbox::default(),
            pending: RefCell::default(),
            channels: Cell::new(0),
            last_channel: Cell::new(LINK_CHANNEL),
            heard_at: Cell::new(at),
            pinged_at: Cell::new(at),
            used_at: Cell::new(at),
            clock: Cell::new(None),
            lost: Cell::new(false),
            failed_at: Cell::new(None),
            became_busy: Notify::new(),
            endpoint_faults: RefCell::default(),
        });
        // The answer confirms the link, and its absence ends it.
        let version = LINK_VERSION;
        let _ = link.request(LINK_CHANNEL, &HostRequest::Hello { version });
        tokio::task::spawn_local(Rc::clone(&link).run(address));
        link
    }

    /// Returns whether the link is lost or closed.
    pub fn is_lost(&self) -> bool {
        self.lost.get()
    }

    /// Returns when the link was lost, if that was by a failure.
    pub fn failed_at(&self) -> Option<MonotonicTime> {
        self.failed_at.get()
    }

    /// Returns whether the host has answered on this link.
    pub fn is_confirmed(&self) -> bool {
        !self.lost.get() && self.clock.get().is_some()
    }

    /// Records the host's report that an endpoint could not be reached or did not answer.
    pub fn record_endpoint_fault(&self, endpoint: &EndpointId) {
        let mut faults = self.endpoint_faults.borrow_mut();
        faults.insert(endpoint.clone(), now());
    }

    /// Returns whether the host reported a fault of an endpoint a short time ago.
    pub fn has_endpoint_fault(&self, endpoint: &EndpointId) -> bool {
        let mut faults = self.endpoint_faults.borrow_mut();
        faults.retain(|_, at| now().saturating_since(*at) < FAULT_TIME);
        faults.contains_key(endpoint)
    }

    /// Returns the number of open channels.
    pub fn channels(&self) -> usize {
        self.channels.get()
    }

    /// Returns how long the host has owed a reply without a message.
    pub fn silence(&self) -> Duration {
        match self.pending.borrow().is_empty() {
            true => Duration::ZERO,
            false => now().saturating_since(self.heard_at.get()),
        }
    }

    /// Returns the time on the host's clock up to which commands of this length that are sent at `at`
    /// may be forwarded, or `None` before the host's first message.
    pub fn forward_deadline(&self, at: MonotonicTime, bytes: usize) -> Option<MonotonicTime> {
        let clock = self.clock.get()?;
        Some(clock.forward_deadline(at, bytes))
    }

    /// Opens a channel with its first request.
    ///
    /// # Errors
    ///
    /// See [`LinkError`].
    pub fn open_channel(
        &self,
        request: &HostRequest,
    ) -> Result<(u32, oneshot::Receiver<HostReply>), LinkError> {
        if self.channels.get() >= MAX_CHANNELS {
            return Err(LinkError::Full);
        }
        // A link does not live long enough to use up the numbers.
        let number = self.last_channel.get() + 1;
        let reply = self.request(number, request)?;
        self.last_channel.set(number);
        self.channels.set(self.channels.get() + 1);
        Ok((number, reply))
    }

    /// Sends a request on a channel and returns the receiver of its reply, which fails once the
    /// link is lost.
    ///
    /// # Errors
    ///
    /// See [`LinkError`]; nothing is sent then.
    pub fn request(
        &self,
        channel: u32,
        request: &HostRequest,
    ) -> Result<oneshot::Receiver<HostReply>, LinkError> {
        self.outbox.push(channel, request)?;
        let at = now();
        self.used_at.set(at);
        let mut pending = self.pending.borrow_mut();
        if pending.is_empty() {
            self.heard_at.set(at.max(self.heard_at.get()));
            self.became_busy.notify_one();
        }
        let (sender, receiver) = oneshot::channel();
        pending.insert(channel, sender);
        Ok(receiver)
    }

    /// Closes a channel.
    pub fn release(&self, channel: u32, reusable: bool) {
        self.forget_channel(channel);
        // Without the link, the host closes the connections of its channels.
        let _ = self
            .outbox
            .push(channel, &HostRequest::Release { reusable });
    }

    /// Drops the state of a channel that the host has refused.
    pub fn forget_channel(&self, channel: u32) {
        self.pending.borrow_mut().remove(&channel);
        self.channels.set(self.channels.get() - 1);
        self.used_at.set(now());
    }

    async fn run(self: Rc<Self>, address: SocketAddr) {
        let end = match timeout(LINK_CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => self.serve(stream).await,
            Ok(Err(error)) => Err(error),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        };
        self.lost.set(true);
        self.failed_at.set(end.is_err().then(now));
        self.outbox.close();
        self.pending.borrow_mut().clear();
        let error = end.err().map(|error| error.to_string());
        tracing::info!(event = "host_link_closed", host = %self.host, error);
    }

    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        tracing::info!(event = "host_link_opened", host = %self.host);
        let (reader, writer) = stream.into_split();
        tokio::select! {
            biased;
            error = self.read_replies(reader) => Err(error),
            error = self.outbox.write_to(FramedWrite::new(writer, part_codec())) => Err(error),
            end = self.supervise() => end,
        }
    }

    async fn read_replies(&self, reader: OwnedReadHalf) -> io::Error {
        let mut parts = FramedRead::with_capacity(reader, part_codec(), READ_BUFFER_BYTES);
        let mut assembler = PartAssembler::default();
        loop {
            let part = match parts.next().await {
                Some(Ok(part)) => part,
                Some(Err(error)) => return error,
                None => return io::ErrorKind::UnexpectedEof.into(),
            };
            self.heard_at.set(now());
            let message = match assembler.push(part) {
                Ok(message) => message,
                Err(error) => return error,
            };
            let Some((channel, bytes)) = message else {
                continue;
            };
            match postcard::from_bytes::<HostReply>(&bytes) {
                Ok(reply) => self.deliver(channel, reply),
                Err(error) => return io::Error::other(error),
            }
        }
    }

    fn deliver(&self, channel: u32, reply: HostReply) {
        let clock = HostClock::after_message(self.clock.get(), reply.stamp, now());
        self.clock.set(Some(clock));
        if let Some(sender) = self.pending.borrow_mut().remove(&channel) {
            // The receiver has given up if this fails; its channel is released.
            let _ = sender.send(reply);
        }
    }

    /// Pings a quiet host, and returns when the link is idle or the host silent for too long.
    async fn supervise(&self) -> io::Result<()> {
        loop {
            let is_waiting = !self.pending.borrow().is_empty();
            let pause = match (is_waiting, self.channels.get() > 0) {
                (true, _) => PING_QUIET,
                (false, true) => KEEPALIVE_PERIOD,
                (false, false) => LINK_IDLE_TIME,
            };
            // Retries both when the link became busy and when the pause is over.
            let _ = timeout(pause, self.became_busy.notified()).await;
            let at = now();
            if self.silence() >= LINK_SILENCE {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let unused = at.saturating_since(self.used_at.get());
            if self.channels.get() == 0 && !is_waiting && unused >= LINK_IDLE_TIME {
                return Ok(());
            }
            self.ping_if_quiet(at);
        }
    }

    fn ping_if_quiet(&self, at: MonotonicTime) {
        let is_quiet = self.silence() >= PING_QUIET;
        let is_unused = self.channels.get() > 0
            && at.saturating_since(self.used_at.get()) >= KEEPALIVE_PERIOD.mul_f64(0.9);
        let since_ping = at.saturating_since(self.pinged_at.get());
        let due = match (is_quiet, is_unused) {
            (true, _) => since_ping >= 2 * PING_QUIET,
            (false, true) => since_ping >= KEEPALIVE_PERIOD.mul_f64(0.9),
            (false, false) => false,
        };
        if due && self.outbox.push(LINK_CHANNEL, &HostRequest::Ping).is_ok() {
            self.pinged_at.set(at);
        }
    }
}
