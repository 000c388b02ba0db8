//! Tells other instances of the zone what the store said.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::instance::Instance;
use crate::instance_limits::RELAY_PERIOD;
use crate::instance_limits::RELAY_TIME;
use crate::instance_limits::TICK_TIME;
use crate::relay_message::RelayRequest;
use crate::relay_message::RelayUpdate;
use crate::relay_message::relay_codec;
use crate::relay_message::split_message;

/// The longest time in which a follower must take a part of a message.
const SEND_TIME: Duration = Duration::from_millis(1_200);

/// Serves followers until the process ends.
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
                tokio::time::sleep(TICK_TIME).await;
            }
        }
    }
}

async fn serve_follower(instance: &Instance, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, relay_codec());
    let first = tokio::time::timeout(RELAY_TIME, framed.next()).await;
    let Ok(Some(Ok(bytes))) = first else {
        return Ok(());
    };
    let request: RelayRequest = postcard::from_bytes(&bytes).map_err(io::Error::other)?;
    let requested_at = now();
    let mut told = request.after;
    let mut changes = instance.changes.subscribe();
    let mut heard = instance.heard.subscribe();
    loop {
        told = tell(instance, &mut framed, requested_at, told).await?;
        tokio::select! {
            changed = changes.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            changed = heard.changed() => {
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

async fn tell(
    instance: &Instance,
    framed: &mut Framed<TcpStream, LengthDelimitedCodec>,
    requested_at: MonotonicTime,
    told: u64,
) -> io::Result<u64> {
    let update = {
        let view = instance.view.borrow();
        let Some(heard_at) = view.heard_at else {
            return Ok(told);
        };
        let (complete, items) = view.items_after(told);
        let at = now();
        RelayUpdate {
            since_ask: at.saturating_since(requested_at),
            age: at.saturating_since(heard_at),
            revision: view.revision,
            complete,
            items,
            floors: instance.newest_floors(at),
        }
    };
    let revision = update.revision;
    let bytes = postcard::to_stdvec(&update).map_err(io::Error::other)?;
    for frame in split_message(bytes) {
        tokio::time::timeout(SEND_TIME, framed.send(frame))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    }
    Ok(revision)
}
