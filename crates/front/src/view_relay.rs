//! Relays the store's view to other instances of the zone.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::store_revision::StoreRevision;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::instance::Instance;
use crate::instance_limits::RELAY_PERIOD;
use crate::instance_limits::RELAY_TIMEOUT;
use crate::instance_limits::TICK_PERIOD;
use crate::relay_message::RELAY_VERSION;
use crate::relay_message::RelayRequest;
use crate::relay_message::RelayUpdate;
use crate::relay_message::relay_codec;
use crate::relay_message::split_message;
use crate::relay_message::start_frame;

/// Timeout of sending one frame to a follower.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Accepts followers and serves each of them until the process ends.
pub async fn serve_followers(listener: TcpListener, instance: Rc<Instance>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let instance = Rc::clone(&instance);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_follower(&instance, stream).await {
                        tracing::debug!(event = "follower_lost", %error);
                    }
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", what = "follower", %error);
                tokio::time::sleep(TICK_PERIOD).await;
            }
        }
    }
}

async fn serve_follower(instance: &Instance, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, relay_codec());
    let first = tokio::time::timeout(RELAY_TIMEOUT, framed.next()).await;
    let Ok(Some(Ok(bytes))) = first else {
        return Ok(());
    };
    let request: RelayRequest = postcard::from_bytes(&bytes).map_err(io::Error::other)?;
    if request.version != RELAY_VERSION {
        return Err(io::Error::from(io::ErrorKind::Unsupported));
    }
    let requested_at = now();
    let mut sent_revision = request.after;
    let mut changes = instance.changes.subscribe();
    let mut answers = instance.store_answers.subscribe();
    let mut substitution = instance.has_substitute.subscribe();
    loop {
        if *substitution.borrow_and_update() {
            return Ok(());
        }
        sent_revision = send_update(instance, &mut framed, requested_at, sent_revision).await?;
        tokio::select! {
            changed = changes.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            changed = answers.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            changed = substitution.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            () = tokio::time::sleep(RELAY_PERIOD) => {}
            message = framed.next() => {
                if !matches!(message, Some(Ok(_))) {
                    return Ok(());
                }
            }
        }
    }
}

async fn send_update(
    instance: &Instance,
    framed: &mut Framed<TcpStream, LengthDelimitedCodec>,
    requested_at: MonotonicTime,
    sent_revision: StoreRevision,
) -> io::Result<StoreRevision> {
    let Some(update) = next_update(instance, requested_at, sent_revision) else {
        send_start(instance, framed, sent_revision).await?;
        return Ok(sent_revision);
    };
    let revision = update.revision;
    let bytes = postcard::to_stdvec(&update).map_err(io::Error::other)?;
    for frame in split_message(bytes) {
        send_frame(framed, frame).await?;
    }
    Ok(revision)
}

/// Returns the changes after a revision, or `None` while the instance has no view.
fn next_update(
    instance: &Instance,
    requested_at: MonotonicTime,
    sent_revision: StoreRevision,
) -> Option<RelayUpdate> {
    let view = instance.view.borrow();
    let synced_at = view.synced_at?;
    let (complete, items) = view.items_after(sent_revision);
    let at = now();
    Some(RelayUpdate {
        since_ask: at.saturating_since(requested_at),
        age: at.saturating_since(synced_at),
        revision: view.revision,
        complete,
        items,
        floors: instance.newest_floors(at),
    })
}

/// Tells a starting follower that its first view will follow. Fails if this instance cannot get a
/// view itself.
///
/// A follower that has a view gets nothing: it finds another relay sooner.
async fn send_start(
    instance: &Instance,
    framed: &mut Framed<TcpStream, LengthDelimitedCodec>,
    sent_revision: StoreRevision,
) -> io::Result<()> {
    if sent_revision != StoreRevision::default() {
        return Ok(());
    }
    if !instance.first_view_pending.get() {
        return Err(io::Error::from(io::ErrorKind::NotConnected));
    }
    send_frame(framed, start_frame()).await
}

async fn send_frame(
    framed: &mut Framed<TcpStream, LengthDelimitedCodec>,
    frame: Bytes,
) -> io::Result<()> {
    tokio::time::timeout(SEND_TIMEOUT, framed.send(frame))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}
