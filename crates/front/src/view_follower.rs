//! Follows the store through another instance of the same zone.

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
use session_core::relay_tree::MAX_RELAY_AGE;
use session_core::relay_tree::relay_parent;
use session_core::relay_tree::relay_substitute;
use session_core::store_era::StoreEra;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::instance::Instance;
use crate::instance_limits::RELAY_TIMEOUT;
use crate::relay_message::MessageAssembler;
use crate::relay_message::RELAY_VERSION;
use crate::relay_message::RelayRequest;
use crate::relay_message::RelayUpdate;
use crate::relay_message::relay_codec;

/// Timeout of the connection, and of the first frame after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a relay that does not answer is excluded; its lease ends by then.
const SILENT_PAUSE: Duration = Duration::from_millis(9_000);

/// Time for which a relay with an old view is excluded.
const STALE_PAUSE: Duration = Duration::from_millis(3_000);

/// Errors of following a relay.
#[derive(Debug)]
pub enum RelayError {
    /// The relay does not answer, or its messages cannot be decoded.
    Silent(io::Error),
    /// The relay's view has this age, which is too old.
    Stale(Duration),
    /// The relay's view is of this era, which has ended.
    Ended(StoreEra),
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RelayError::Silent(error) => write!(f, "{error}"),
            RelayError::Stale(age) => write!(f, "its evidence is {} ms old", age.as_millis()),
            RelayError::Ended(era) => write!(f, "its view is of era {era}"),
        }
    }
}

impl std::error::Error for RelayError {}

impl RelayError {
    /// Returns whether no process listens at the relay's address.
    pub fn is_refusal(&self) -> bool {
        match self {
            RelayError::Silent(error) => error.kind() == io::ErrorKind::ConnectionRefused,
            RelayError::Stale(_) | RelayError::Ended(_) => false,
        }
    }
}

impl From<io::Error> for RelayError {
    fn from(error: io::Error) -> Self {
        RelayError::Silent(error)
    }
}

/// Relays that failed recently, and the times until which they are excluded.
#[derive(Debug, Default)]
pub struct RelayExclusions(HashMap<SocketAddr, MonotonicTime>);

impl RelayExclusions {
    /// Excludes a relay for a time that depends on the error.
    pub fn add(&mut self, relay: SocketAddr, error: &RelayError) {
        let pause = match error {
            RelayError::Silent(_) => SILENT_PAUSE,
            RelayError::Stale(_) | RelayError::Ended(_) => STALE_PAUSE,
        };
        self.0.insert(relay, now() + pause);
    }

    /// Ends the exclusion of relays that were excluded for an old view.
    pub fn clear_stale(&mut self) {
        let latest = now() + STALE_PAUSE;
        self.0.retain(|_, until| *until > latest);
    }

    fn contains(&self, relay: SocketAddr) -> bool {
        self.0.get(&relay).is_some_and(|until| now() < *until)
    }
}

/// Returns the address of this instance's relay, or `None` if it should watch the store directly.
pub fn relay_address(instance: &Instance, exclusions: &RelayExclusions) -> Option<SocketAddr> {
    let view = instance.view.borrow();
    let zone = &instance.settings.zone;
    let members = view
        .members
        .iter()
        .filter(|(_, member)| member.value.zone == *zone)
        .filter(|(_, member)| !exclusions.contains(member.value.address))
        .map(|(name, member)| member.value.ranked(name));
    let parent = relay_parent(instance.ranked(), zone, members)?;
    view.members.get(parent).map(|member| member.value.address)
}

/// Returns the address of an instance that may hear the store while it does not answer this one, which
/// has no relay: one of the zone, else the first one of another zone.
pub fn substitute_address(instance: &Instance, exclusions: &RelayExclusions) -> Option<SocketAddr> {
    let view = instance.view.borrow();
    let members = view.members.iter().filter(|(name, member)| {
        **name != instance.settings.instance && !exclusions.contains(member.value.address)
    });
    let ranked = members.map(|(name, member)| (&member.value.zone, member.value.ranked(name)));
    let name = relay_substitute(&instance.settings.zone, ranked)?;
    view.members.get(name).map(|member| member.value.address)
}

/// Follows a relay until it fails or the relay tree assigns another one. An old view is accepted
/// until `accept_stale_until`.
///
/// # Errors
///
/// Returns the reason why the relay cannot be followed.
pub async fn follow_instance(
    instance: &Instance,
    relay: SocketAddr,
    exclusions: &RelayExclusions,
    accept_stale_until: MonotonicTime,
) -> Result<(), RelayError> {
    let is_assigned = || relay_address(instance, exclusions) == Some(relay);
    follow_while(instance, relay, is_assigned, accept_stale_until).await
}

/// Follows a relay until it fails or `may_follow` returns false; otherwise as [`follow_instance`].
///
/// # Errors
///
/// Returns the reason why the relay cannot be followed.
pub async fn follow_while(
    instance: &Instance,
    relay: SocketAddr,
    may_follow: impl Fn() -> bool,
    accept_stale_until: MonotonicTime,
) -> Result<(), RelayError> {
    let overdue = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(relay))
        .await
        .map_err(|_| overdue())??;
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, relay_codec());
    let request = RelayRequest {
        after: instance.view.borrow().revision,
        version: RELAY_VERSION,
    };
    let requested_at = now();
    let bytes = postcard::to_stdvec(&request).map_err(io::Error::other)?;
    framed.send(Bytes::from(bytes)).await?;
    let mut silence = CONNECT_TIMEOUT;
    let mut assembler = MessageAssembler::default();
    // Since when the relay's view is of an earlier era than the store.
    let mut ended_since = None;
    while may_follow() {
        let message = timeout(silence, framed.next())
            .await
            .map_err(|_| overdue())?;
        silence = RELAY_TIMEOUT;
        let Some(bytes) = message else {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        };
        let Some(message) = assembler.push_frame(&bytes?)? else {
            continue;
        };
        let update: RelayUpdate = postcard::from_bytes(&message).map_err(io::Error::other)?;
        let age = update.age;
        let era = update.revision.era();
        if era < instance.store.era().era {
            // The relay is about to learn of the era. If all its followers left it meanwhile, each of
            // them would read the whole store.
            let since = *ended_since.get_or_insert_with(now);
            if now().saturating_since(since) >= RELAY_TIMEOUT {
                return Err(RelayError::Ended(era));
            }
            continue;
        }
        ended_since = None;
        instance.store.record_era(era);
        // When the relay sent the update, its view held every change that the store had accepted
        // `age` earlier.
        let known_at = requested_at + update.since_ask - age;
        instance.record_floors(&update.floors, requested_at + update.since_ask);
        let changed = update.complete || !update.items.is_empty();
        let complete = update.complete;
        let view = update.into_items();
        if complete {
            instance.view.borrow_mut().replace(view, known_at);
        } else {
            instance.view.borrow_mut().update(view, known_at);
        }
        instance.notify_store_answer();
        if changed {
            instance.notify_view_change();
        }
        if age > MAX_RELAY_AGE && now() >= accept_stale_until {
            return Err(RelayError::Stale(age));
        }
    }
    Ok(())
}
