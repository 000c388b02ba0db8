//! Learns what the store said from another instance of the same zone.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::relay_tree::relay_parent;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::instance::Instance;
use crate::instance_limits::RELAY_TIME;
use crate::relay_message::MessageParts;
use crate::relay_message::RelayRequest;
use crate::relay_message::RelayUpdate;
use crate::relay_message::relay_codec;

/// The longest time to a connection and to the first message.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// The age of another instance's evidence above which the store itself is asked: two watches.
const STALE_AGE: Duration = Duration::from_millis(1_800);

/// How long an instance that does not answer is passed over; its lease ends by then.
const SILENT_PAUSE: Duration = Duration::from_millis(9_000);

/// How long an instance that hears nothing from the store is passed over.
const STALE_PAUSE: Duration = Duration::from_millis(3_000);

/// Why another instance is of no use for following the store.
#[derive(Debug)]
pub enum RelayError {
    /// It does not answer, or its messages cannot be read.
    Silent(io::Error),
    /// What it knows of the store is old.
    Stale(Duration),
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RelayError::Silent(error) => write!(f, "{error}"),
            RelayError::Stale(age) => write!(f, "its evidence is {} ms old", age.as_millis()),
        }
    }
}

impl std::error::Error for RelayError {}

impl From<io::Error> for RelayError {
    fn from(error: io::Error) -> Self {
        RelayError::Silent(error)
    }
}

/// Instances that were of no use lately, with the time until which they are passed over.
#[derive(Debug, Default)]
pub struct PassedOver(HashMap<SocketAddr, MonotonicTime>);

impl PassedOver {
    /// Passes an instance over for a while.
    pub fn add(&mut self, relay: SocketAddr, error: &RelayError) {
        let pause = match error {
            RelayError::Silent(_) => SILENT_PAUSE,
            RelayError::Stale(_) => STALE_PAUSE,
        };
        self.0.insert(relay, now() + pause);
    }

    /// Passes nobody over any longer for evidence that was old.
    pub fn forgive_stale(&mut self) {
        let latest = now() + STALE_PAUSE;
        self.0.retain(|_, until| *until > latest);
    }

    fn contains(&self, relay: SocketAddr) -> bool {
        self.0.get(&relay).is_some_and(|until| now() < *until)
    }
}

/// Returns the address of the instance from which this one learns what the store says; `None`
/// where it follows the store itself.
pub fn relay_address(instance: &Instance, passed_over: &PassedOver) -> Option<SocketAddr> {
    let view = instance.view.borrow();
    let zone = &instance.settings.zone;
    let members = view
        .members
        .iter()
        .filter(|(_, member)| member.value.zone == *zone)
        .filter(|(_, member)| !passed_over.contains(member.value.address))
        .map(|(name, member)| member.value.ranked(name));
    let parent = relay_parent(instance.ranked(), zone, members)?;
    view.members.get(parent).map(|member| member.value.address)
}

/// Follows another instance until it is of no use or another one is to be followed; old evidence is
/// accepted until `patient_until`.
///
/// # Errors
///
/// Says why the other instance is of no use.
pub async fn follow_instance(
    instance: &Instance,
    relay: SocketAddr,
    passed_over: &PassedOver,
    patient_until: MonotonicTime,
) -> Result<(), RelayError> {
    let overdue = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT_TIME, TcpStream::connect(relay))
        .await
        .map_err(|_| overdue())??;
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, relay_codec());
    let request = RelayRequest {
        after: instance.view.borrow().revision,
    };
    let requested_at = now();
    let bytes = postcard::to_stdvec(&request).map_err(io::Error::other)?;
    framed.send(Bytes::from(bytes)).await?;
    let mut silence = CONNECT_TIME;
    let mut parts = MessageParts::default();
    while relay_address(instance, passed_over) == Some(relay) {
        let message = timeout(silence, framed.next())
            .await
            .map_err(|_| overdue())?;
        silence = RELAY_TIME;
        let Some(bytes) = message else {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        };
        let Some(message) = parts.take(&bytes?)? else {
            continue;
        };
        let update: RelayUpdate = postcard::from_bytes(&message).map_err(io::Error::other)?;
        let age = update.age;
        // The sender knew at that time all that the store had accepted `age` before it.
        let known_at = requested_at + update.since_ask - age;
        instance.learn_floors(&update.floors, requested_at + update.since_ask);
        let changed = update.complete || !update.items.is_empty();
        let complete = update.complete;
        let view = update.into_items();
        if complete {
            instance.view.borrow_mut().replace(view, known_at);
        } else {
            instance.view.borrow_mut().update(view, known_at);
        }
        instance.store_heard();
        if changed {
            instance.view_changed();
        }
        if age > STALE_AGE && now() >= patient_until {
            return Err(RelayError::Stale(age));
        }
    }
    Ok(())
}
