//! Sends and takes datagrams of instances.

use std::net::SocketAddr;
use std::rc::Rc;

use session_core::monotonic_time::now;

use crate::instance::Instance;
use crate::instance_limits::ASK_TICKS;
use crate::instance_limits::REPORT_TICKS;
use crate::instance_limits::TICK_TIME;
use crate::peer_message::MAX_DATAGRAM_BYTES;
use crate::peer_message::PeerMessage;

/// Takes datagrams until the process ends.
pub async fn serve_peers(instance: Rc<Instance>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        match instance.peer_socket.recv_from(&mut buffer).await {
            Ok((size, from)) => match postcard::from_bytes(&buffer[..size]) {
                Ok(message) => receive(&instance, message, from),
                Err(error) => tracing::warn!(event = "datagram_unreadable", %from, %error),
            },
            Err(error) => {
                tracing::warn!(event = "datagram_failed", %error);
                tokio::time::sleep(TICK_TIME).await;
            }
        }
    }
}

fn receive(instance: &Rc<Instance>, message: PeerMessage, from: SocketAddr) {
    match message {
        PeerMessage::Ask {
            number,
            wanted,
            failing,
            demand,
            seen,
        } => {
            for endpoint in failing {
                instance.note_peer_failure(&endpoint, from);
            }
            if instance.leads() {
                instance.note_acknowledgements(from, seen);
            }
            let Some(rules) = instance.view.borrow().rules.clone() else {
                return;
            };
            let part = instance
                .connections
                .borrow_mut()
                .take_demand(from, demand, now());
            if let Some(lent) = instance.rates.answer(&wanted, &rules.teams) {
                let part = part as f32;
                send(instance, &PeerMessage::Lend { number, lent, part }, from);
            }
        }
        PeerMessage::Lend { number, lent, part } => {
            let part = f64::from(part);
            instance.connections.borrow_mut().accept(part, now());
            instance.rates.accept(number, &lent);
        }
    }
}

/// Asks the leader for tokens, where some are wanted or a report is due.
pub fn ask_leader(instance: &Instance, report_due: bool) {
    let address = match &instance.view.borrow().leader {
        Some(leader) if leader.value.instance != instance.settings.instance => leader.value.address,
        _ => return,
    };
    let (number, wanted) = instance.rates.question();
    let failing = instance.failing_primaries();
    let seen = instance.pending_orders();
    if wanted.is_empty() && failing.is_empty() && seen.is_empty() && !report_due {
        return;
    }
    let message = PeerMessage::Ask {
        number,
        wanted,
        failing,
        demand: instance.pool.demand(now()),
        seen,
    };
    send(instance, &message, address);
}

/// Acknowledges orders to the leader as soon as they are known.
pub async fn acknowledge_orders(instance: Rc<Instance>) {
    let mut changes = instance.changes.subscribe();
    let mut former = Vec::new();
    while changes.changed().await.is_ok() {
        let pending = instance.pending_orders();
        if pending != former && !pending.is_empty() {
            tracing::info!(event = "orders_acknowledged", orders = ?pending);
            ask_leader(&instance, true);
        }
        former = pending;
    }
}

/// Asks for tokens in advance and reports the demand, every few ticks.
pub fn ask_in_advance(instance: &Instance, tick: u64) {
    if instance.leads() {
        let demand = instance.pool.demand(now());
        let own = instance.settings.peer_address;
        let part = instance
            .connections
            .borrow_mut()
            .take_demand(own, demand, now());
        instance.connections.borrow_mut().accept(part, now());
    } else if tick.is_multiple_of(ASK_TICKS) {
        ask_leader(instance, tick.is_multiple_of(REPORT_TICKS));
    }
}

fn send(instance: &Instance, message: &PeerMessage, to: SocketAddr) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(event = "datagram_not_encoded", %error);
            return;
        }
    };
    if bytes.len() > MAX_DATAGRAM_BYTES {
        tracing::warn!(event = "datagram_too_large", bytes = bytes.len());
        return;
    }
    if let Err(error) = instance.peer_socket.try_send_to(&bytes, to) {
        tracing::debug!(event = "datagram_not_sent", %to, %error);
    }
}
