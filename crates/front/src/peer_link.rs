//! Sends and handles datagrams between instances.

use std::net::SocketAddr;
use std::rc::Rc;

use session_core::ids::TeamId;
use session_core::monotonic_time::now;

use crate::instance::Instance;
use crate::instance_limits::REPORT_TICKS;
use crate::instance_limits::REQUEST_TICKS;
use crate::instance_limits::TICK_PERIOD;
use crate::lender_link;
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
                instance.heard_at.borrow_mut().insert(from, now());
                instance.record_acknowledgements(from, seen);
            }
            let Some(rules) = instance.view.borrow().rules.clone() else {
                return;
            };
            // The lender answers a request that was forwarded.
            let (number, lent) = match forward_request(instance, from, number, &wanted) {
                true => (0, Vec::new()),
                false => (number, instance.rates.answer(&wanted, &rules.teams)),
            };
            let part = instance.is_latest_leader().then(|| {
                let mut share = instance.connection_share.borrow_mut();
                share.record_demand(from, demand, now()) as f32
            });
            let message = PeerMessage::Lend {
                number,
                lent,
                part,
                deputy: None,
            };
            send(instance, &message, from);
        }
        PeerMessage::AskFor {
            borrower,
            number,
            wanted,
        } => {
            let Some(rules) = instance.view.borrow().rules.clone() else {
                return;
            };
            let message = PeerMessage::Lend {
                number,
                lent: instance.rates.answer(&wanted, &rules.teams),
                part: None,
                deputy: None,
            };
            send(instance, &message, borrower);
        }
        PeerMessage::Lend {
            number,
            lent,
            part,
            deputy: _,
        } => {
            if let Some(part) = part {
                let fraction = f64::from(part);
                instance
                    .connection_share
                    .borrow_mut()
                    .record_grant(fraction, now());
            }
            let lenders = instance.other_lenders().len();
            instance.rates.record_grant(number, &lent, lenders);
        }
        PeerMessage::Watch { .. } | PeerMessage::Watched { .. } => {}
        PeerMessage::Passed { process, reports } => {
            if instance.leads() {
                instance.record_commit_reports(from, process, &reports);
            }
        }
        PeerMessage::RenewRight(renewal) => {
            lender_link::receive_renewal(instance, &renewal, from);
        }
        PeerMessage::RightRenewed { token, answer } => {
            lender_link::receive_answer(instance, token, answer, from);
        }
        PeerMessage::Observed { sent, samples } => {
            pace_exchange::answer_report(instance, sent, &samples, from);
        }
        PeerMessage::Paces { sent, digest } => instance.paces.record_digest(from, sent, &digest),
    }
}

/// Forwards a request for tokens to a lender if this instance is none, and returns whether it did.
/// Only instances of earlier versions send such requests to the leader.
fn forward_request(
    instance: &Instance,
    borrower: SocketAddr,
    number: u64,
    wanted: &[(TeamId, u32)],
) -> bool {
    let lenders = instance.other_lenders();
    let is_lender = instance.is_named_lender();
    if wanted.is_empty() || lenders.is_empty() || is_lender || !instance.is_latest_leader() {
        return false;
    }
    let lender = lenders[number as usize % lenders.len()];
    let message = PeerMessage::AskFor {
        borrower,
        number,
        wanted: wanted.to_vec(),
    };
    send(instance, &message, lender);
    true
}

/// Sends requests for the tokens that are wanted now.
pub fn request_loans(instance: &Instance) {
    let lenders = instance.other_lenders();
    let requests = instance.rates.create_requests(&lenders);
    if requests.is_empty() {
        return;
    }
    let demand = instance.pool.demand(now());
    for request in requests {
        let message = PeerMessage::Ask {
            number: request.number,
            wanted: request.wanted,
            failing: Vec::new(),
            demand,
            seen: Vec::new(),
        };
        send(instance, &message, request.lender);
    }
}

/// Sends the leader the failing primaries, the pending orders and the demand for connections. Sends
/// nothing if there is nothing to report and no report is due.
pub fn report_to_leader(instance: &Instance, report_due: bool) {
    let leader = match &instance.view.borrow().leader {
        Some(leader) if leader.value.instance != instance.settings.instance => leader.value.address,
        _ => return,
    };
    let failing = instance.failing_primaries();
    let seen = instance.pending_orders();
    if failing.is_empty() && seen.is_empty() && !report_due {
        return;
    }
    let process = instance.view.borrow().process_lives();
    for reports in instance.commit_reports().chunks(MAX_REPORTS) {
        let message = PeerMessage::Passed {
            process,
            reports: reports.to_vec(),
        };
        send(instance, &message, leader);
    }
    let message = PeerMessage::Ask {
        number: instance.rates.next_number(),
        wanted: Vec::new(),
        failing,
        demand: instance.pool.demand(now()),
        seen,
    };
    send(instance, &message, leader);
}

/// Acknowledges pending orders to the leader as soon as this instance knows them.
pub async fn acknowledge_orders(instance: Rc<Instance>) {
    let mut changes = instance.changes.subscribe();
    let mut former = Vec::new();
    while changes.changed().await.is_ok() {
        let pending = instance.pending_orders();
        if pending != former && !pending.is_empty() {
            tracing::info!(event = "orders_acknowledged", orders = ?pending);
            report_to_leader(&instance, true);
        }
        former = pending;
    }
}

/// Requests loans in advance and reports the demand for connections every few ticks; the leader
/// renews its own connection share instead of reporting.
pub fn prefetch_loans(instance: &Instance, tick: u64) {
    if instance.is_latest_leader() {
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
        report_to_leader(instance, tick.is_multiple_of(REPORT_TICKS));
    }
    if tick.is_multiple_of(REQUEST_TICKS) {
        request_loans(instance);
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
