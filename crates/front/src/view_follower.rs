//! Learns what the store said from another instance of the same zone.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use session_core::monotonic_time::now;
use session_core::zone_watcher::zone_watcher;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::instance::Instance;
use crate::instance_limits::RELAY_TIME;
use crate::relay_message::RelayAsk;
use crate::relay_message::RelayNews;
use crate::relay_message::relay_codec;

/// Returns the address of the instance that follows the store for this zone, unless that is this
/// instance itself.
pub fn relay_address(instance: &Instance) -> Option<SocketAddr> {
    let view = instance.view.borrow();
    let members = view
        .members
        .iter()
        .map(|(name, member)| (name, &member.value.zone));
    let watcher = zone_watcher(&instance.settings.zone, members)?;
    if *watcher == instance.settings.instance {
        return None;
    }
    view.members.get(watcher).map(|m| m.value.address)
}

/// Follows another instance until it falls silent or the duty moves.
///
/// # Errors
///
/// Says why the other instance is of no use.
pub async fn follow_instance(instance: &Instance, relay: SocketAddr) -> io::Result<()> {
    let overdue = || io::Error::from(io::ErrorKind::TimedOut);
    let stream = timeout(RELAY_TIME, TcpStream::connect(relay))
        .await
        .map_err(|_| overdue())??;
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, relay_codec());
    let ask = RelayAsk {
        after: instance.view.borrow().revision,
    };
    let asked_at = now();
    let bytes = postcard::to_stdvec(&ask).map_err(io::Error::other)?;
    framed.send(Bytes::from(bytes)).await?;
    while relay_address(instance) == Some(relay) {
        let message = timeout(RELAY_TIME, framed.next())
            .await
            .map_err(|_| overdue())?;
        let Some(bytes) = message else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let news: RelayNews = postcard::from_bytes(&bytes?).map_err(io::Error::other)?;
        // The sender knew at that time all that the store had accepted `age` before it.
        let known_at = asked_at + news.since_ask - news.age;
        let changed = news.complete || !news.items.is_empty();
        let complete = news.complete;
        let view = news.into_view();
        if complete {
            instance.view.borrow_mut().replace(view, known_at);
        } else {
            instance.view.borrow_mut().update(view, known_at);
        }
        if changed {
            instance.view_changed();
        }
    }
    Ok(())
}
