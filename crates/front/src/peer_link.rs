//! Sends and handles datagrams between instances.

use std::net::SocketAddr;
use std::rc::Rc;

use session_core::instance_rank::ranked_order;
use session_core::monotonic_time::now;

use crate::fleet_keys::LEADER_KEY;
use crate::instance::Instance;
use crate::instance_limits::REPORT_TICKS;
use crate::instance_limits::REQUEST_TICKS;
use crate::instance_limits::TICK_PERIOD;
use crate::pace_exchange;
use crate::peer_message::MAX_DATAGRAM_BYTES;
use crate::peer_message::PeerMessage;

/// Maximum number of reports of acknowledged commits in a datagram.
const MAX_REPORTS: usize = 20;

/// Receives and handles datagrams until the process ends.
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
                tokio::time::sleep(TICK_PERIOD).await;
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
                instance.record_peer_failure(&endpoint, from);
            }
            if instance.leads() {
                instance.record_acknowledgements(from, seen);
            }
            let Some(rules) = instance.view.borrow().rules.clone() else {
                return;
            };
            instance.update_lending();
            let Some(lent) = instance.rates.answer(&wanted, &rules.teams) else {
                return;
            };
            let is_leader = instance.is_latest_leader();
            let part = is_leader.then(|| {
                let mut share = instance.connection_share.borrow_mut();
                share.record_demand(from, demand, now()) as f32
            });
            let deputy = instance.deputy_monitor.borrow().deputy();
            let message = PeerMessage::Lend {
                number,
                lent,
                part,
                deputy: deputy.filter(|_| is_leader),
            };
            send(instance, &message, from);
        }
        PeerMessage::Lend {
            number,
            lent,
            part,
            deputy,
        } => {
            if let Some(part) = part {
                let fraction = f64::from(part);
                instance
                    .connection_share
                    .borrow_mut()
                    .record_grant(fraction, now());
                let own = instance.settings.peer_address;
                instance.rates.set_deputy(deputy.filter(|a| *a != own));
            }
            instance.rates.record_grant(number, &lent);
        }
        PeerMessage::Watch {
            token,
            sent,
            confirmed,
        } => {
            let stamp = now();
            let mut lease = instance.deputy_lease.borrow_mut();
            if lease.record_message(token, confirmed, stamp) {
                send(instance, &PeerMessage::Watched { sent, stamp }, from);
            }
        }
        PeerMessage::Passed { process, reports } => {
            if instance.leads() {
                instance.record_commit_reports(from, process, &reports);
            }
        }
        PeerMessage::Watched { sent, stamp } => {
            let mut monitor = instance.deputy_monitor.borrow_mut();
            monitor.record_answer(from, sent, stamp, now());
        }
        PeerMessage::Observed { sent, samples } => {
            pace_exchange::answer_report(instance, sent, &samples, from);
        }
        PeerMessage::Paces { sent, digest } => instance.paces.record_digest(from, sent, &digest),
    }
}

/// Sends the leader, and the deputy if the leader seems to be silent, a request for tokens with the
/// failing primaries, pending orders and demand. Sends nothing if there is nothing to request or
/// report and no report is due.
pub fn request_loans(instance: &Instance, report_due: bool) {
    let leader = match &instance.view.borrow().leader {
        Some(leader) if leader.value.instance == instance.settings.instance => return,
        Some(leader) => Some(leader.value.address),
        None => None,
    };
    let deputy = instance.rates.fallback_lender(leader.is_some());
    if leader.is_none() && deputy.is_none() {
        return;
    }
    let (number, wanted) = instance.rates.create_request();
    let failing = instance.failing_primaries();
    let seen = instance.pending_orders();
    if wanted.is_empty() && failing.is_empty() && seen.is_empty() && !report_due {
        return;
    }
    if let Some(leader) = leader {
        let process = instance.view.borrow().process_lives();
        for reports in instance.commit_reports().chunks(MAX_REPORTS) {
            let message = PeerMessage::Passed {
                process,
                reports: reports.to_vec(),
            };
            send(instance, &message, leader);
        }
    }
    let message = PeerMessage::Ask {
        number,
        wanted,
        failing,
        demand: instance.pool.demand(now()),
        seen,
    };
    for address in leader.into_iter().chain(deputy) {
        send(instance, &message, address);
    }
}

/// Sends the deputy its lease, after choosing a new deputy if there is none.
fn monitor_deputy(instance: &Instance) {
    let Some(token) = instance.fencing_token() else {
        return;
    };
    let at = now();
    let mut monitor = instance.deputy_monitor.borrow_mut();
    let former = monitor.deputy();
    let candidates = std::iter::once_with(|| deputy_candidates(instance)).flatten();
    let chosen = monitor.choose(candidates, at);
    if chosen != former {
        tracing::info!(event = "deputy_chosen", ?former, ?chosen, %token);
    }
    if let Some(address) = chosen {
        let message = PeerMessage::Watch {
            token,
            sent: at,
            confirmed: monitor.confirmed(),
        };
        send(instance, &message, address);
    }
}

/// Returns the addresses of the other instances by rank, those of other availability zones first.
fn deputy_candidates(instance: &Instance) -> Vec<SocketAddr> {
    let view = instance.view.borrow();
    let members = view.members.iter();
    let ranked = ranked_order(
        &LEADER_KEY,
        members.map(|(name, member)| member.value.ranked(name)),
    );
    let others = ranked
        .iter()
        .filter(|other| *other.name != instance.settings.instance);
    let values = others.filter_map(|other| view.members.get(other.name));
    let (near, far): (Vec<_>, Vec<_>) =
        values.partition(|member| member.value.zone == instance.settings.zone);
    let ordered = far.into_iter().chain(near);
    ordered.map(|member| member.value.address).collect()
}

/// Acknowledges pending orders to the leader as soon as this instance knows them.
pub async fn acknowledge_orders(instance: Rc<Instance>) {
    let mut changes = instance.changes.subscribe();
    let mut former = Vec::new();
    while changes.changed().await.is_ok() {
        let pending = instance.pending_orders();
        if pending != former && !pending.is_empty() {
            tracing::info!(event = "orders_acknowledged", orders = ?pending);
            request_loans(&instance, true);
        }
        former = pending;
    }
}

/// Requests loans in advance and reports the demand for connections every few ticks; the leader
/// renews its deputy's lease and its own connection share instead.
pub fn prefetch_loans(instance: &Instance, tick: u64) {
    if instance.is_latest_leader() {
        monitor_deputy(instance);
        let demand = instance.pool.demand(now());
        let own = instance.settings.peer_address;
        let fraction = instance
            .connection_share
            .borrow_mut()
            .record_demand(own, demand, now());
        instance
            .connection_share
            .borrow_mut()
            .record_grant(fraction, now());
    } else if tick.is_multiple_of(REQUEST_TICKS) {
        request_loans(instance, tick.is_multiple_of(REPORT_TICKS));
    }
}

/// Sends a datagram, which may be lost.
pub fn send(instance: &Instance, message: &PeerMessage, to: SocketAddr) {
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
