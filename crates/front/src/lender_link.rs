//! Renews the rights of the lenders while this instance leads, and takes its own.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use platform::store_client::StoreChange;
use platform::store_error::StoreError;
use session_core::ids::ZoneId;
use session_core::instance_rank::ranked_order;
use session_core::lender_roster::LenderRoster;
use session_core::lender_table::LenderTable;
use session_core::lending_right::RightAnswer;
use session_core::lending_right::RightRenewal;
use session_core::lending_right::SeenLeadership;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;

use crate::fleet_keys::LEADER_KEY;
use crate::fleet_keys::LENDERS_KEY;
use crate::fleet_view::Revised;
use crate::instance::Instance;
use crate::instance::LeaderTerm;
use crate::instance_limits::CANDIDATE_TIME;
use crate::instance_limits::RIGHT_TICKS;
use crate::instance_limits::STORE_TIMEOUT;
use crate::peer_link::send;
use crate::peer_message::PeerMessage;
use crate::store_lease;

/// Renews the rights of all lenders if this instance is the latest leader, and gives parts without a
/// lender to other instances.
pub fn renew_rights(instance: &Rc<Instance>, tick: u64) {
    let Some(term) = instance.leader_term.get() else {
        return;
    };
    if !tick.is_multiple_of(RIGHT_TICKS) || !instance.is_latest_leader() {
        return;
    }
    follow_table(instance, term);
    if instance.leads() {
        replace_lenders(instance, term);
    }
    send_renewals(instance, term, |_| true);
}

/// Sends the rights to the lenders that the filter accepts.
fn send_renewals(instance: &Instance, term: LeaderTerm, accepts: impl Fn(SocketAddr) -> bool) {
    let at = now();
    let lease_age = at.saturating_since(term.renewed_at);
    let renewals = match &*instance.lender_roster.borrow() {
        Some(roster) if roster.token() == term.token => roster.renewals(lease_age, at),
        _ => return,
    };
    for (lender, renewal) in renewals.into_iter().filter(|(lender, _)| accepts(*lender)) {
        if lender == instance.settings.peer_address {
            renew_own_right(instance, renewal, at);
        } else {
            send(instance, &PeerMessage::RenewRight(renewal), lender);
        }
    }
}

fn renew_own_right(instance: &Instance, mut renewal: RightRenewal, at: MonotonicTime) {
    renewal.confirmed = Some(at);
    let answer = apply_renewal(instance, &renewal, at);
    let mut roster = instance.lender_roster.borrow_mut();
    if let (Some(answer), Some(roster)) = (answer, &mut *roster) {
        roster.record_answer(instance.settings.peer_address, answer, at);
    }
}

fn apply_renewal(
    instance: &Instance,
    renewal: &RightRenewal,
    at: MonotonicTime,
) -> Option<RightAnswer> {
    let view = instance.view.borrow();
    let seen = SeenLeadership {
        leader: view.leader.as_ref().map(|leader| leader.revision),
        table_revision: view.key_revision(LENDERS_KEY),
        synced_at: view.synced_at?,
    };
    let mut right = instance.lending_right.borrow_mut();
    let answer = right.renew(renewal, &seen, at)?;
    drop(right);
    instance.update_lending();
    if let Some(table) = view.lenders.as_ref()
        && table.revision == renewal.table_revision
    {
        instance.rates.start_from(table.seen_at);
    }
    Some(answer)
}

/// Applies a renewal by the leader and answers it.
pub fn receive_renewal(instance: &Instance, renewal: &RightRenewal, from: SocketAddr) {
    instance.update_lending();
    let answer = apply_renewal(instance, renewal, now());
    if let Some(answer) = answer {
        let token = renewal.token;
        send(instance, &PeerMessage::RightRenewed { token, answer }, from);
    }
}

/// Records the answer of a lender, and confirms it at once if it is the first one.
pub fn receive_answer(instance: &Instance, token: u64, answer: RightAnswer, from: SocketAddr) {
    let is_first = match &mut *instance.lender_roster.borrow_mut() {
        Some(roster) if roster.token() == token => roster.record_answer(from, answer, now()),
        _ => return,
    };
    let term = instance.leader_term.get();
    if let Some(term) = term.filter(|term| is_first && term.token == token) {
        send_renewals(instance, term, |lender| lender == from);
    }
}

/// Applies the table that this leader wrote, once it is in the store.
fn follow_table(instance: &Instance, term: LeaderTerm) {
    let view = instance.view.borrow();
    let Some(written) = view.lenders.as_ref().filter(|t| t.revision > term.token) else {
        return;
    };
    let table = written.value.clone();
    let mut roster = instance.lender_roster.borrow_mut();
    match &mut *roster {
        Some(roster) if roster.token() == term.token => roster.set_table(table, written.revision),
        _ => {
            *roster = Some(LenderRoster::new(
                term.token,
                table,
                written.revision,
                now(),
            ))
        }
    }
}

fn replace_lenders(instance: &Rc<Instance>, term: LeaderTerm) {
    let candidates = candidates(instance);
    let own = instance.settings.peer_address;
    let planned = match &mut *instance.lender_roster.borrow_mut() {
        Some(roster) if roster.token() == term.token => roster.plan_table(own, &candidates, now()),
        _ => Some(first_table(instance)),
    };
    let known = instance.view.borrow().key_revision(LENDERS_KEY);
    let Some(table) = planned.filter(|_| !instance.writes_lenders.replace(true)) else {
        return;
    };
    let instance = Rc::clone(instance);
    tokio::task::spawn_local(async move {
        let outcome = write_table(&instance, term.token, known, &table).await;
        instance.writes_lenders.set(false);
        match outcome {
            Ok(revision) => {
                tracing::info!(
                    event = "lenders_changed",
                    revision,
                    token = term.token,
                    ?table
                )
            }
            Err(error) => tracing::warn!(event = "lenders_not_changed", token = term.token, %error),
        }
    });
}

/// Writes a table on the condition that this instance still leads and that the table has not
/// changed. A write that is done after its time-out has passed is seen in the view.
async fn write_table(
    instance: &Instance,
    token: u64,
    known: u64,
    table: &LenderTable,
) -> Result<u64, StoreError> {
    let value = store_lease::encode(table)?;
    let change = StoreChange {
        conditions: vec![
            (LEADER_KEY.to_owned(), token),
            (LENDERS_KEY.to_owned(), known),
        ],
        puts: vec![(LENDERS_KEY.to_owned(), value.clone(), None)],
        ..StoreChange::default()
    };
    let revision = instance.store.change(change, STORE_TIMEOUT).await?;
    let mut view = instance.view.borrow_mut();
    view.apply_written(LENDERS_KEY, value, revision);
    drop(view);
    instance.notify_view_change();
    Ok(revision)
}

/// Returns the first lenders of a fleet. The leader is one of them only if there are few instances.
fn first_table(instance: &Instance) -> LenderTable {
    let own = instance.settings.peer_address;
    let mut members = ranked_members(instance);
    members.push(own);
    LenderTable::new(&members, own)
}

/// Returns the other instances that have been heard lately, by preference.
fn candidates(instance: &Instance) -> Vec<SocketAddr> {
    let at = now();
    let mut heard_at = instance.heard_at.borrow_mut();
    heard_at.retain(|_, heard_at| at.saturating_since(*heard_at) < CANDIDATE_TIME);
    let mut members = ranked_members(instance);
    members.retain(|address| heard_at.contains_key(address));
    members
}

/// Returns the addresses of the other instances: the first ones of each availability zone by rank,
/// then the second ones, and so on.
fn ranked_members(instance: &Instance) -> Vec<SocketAddr> {
    let view = instance.view.borrow();
    let members = view.members.iter();
    let ranked = members.map(|(name, member)| member.value.ranked(name));
    let mut zones: BTreeMap<&ZoneId, VecDeque<SocketAddr>> = BTreeMap::new();
    for other in ranked_order(&LENDERS_KEY, ranked) {
        let member = view
            .members
            .get(other.name)
            .map(|Revised { value, .. }| value);
        if let Some(member) = member.filter(|m| m.address != instance.settings.peer_address) {
            zones
                .entry(&member.zone)
                .or_default()
                .push_back(member.address);
        }
    }
    let mut ordered = Vec::new();
    while !zones.is_empty() {
        zones.retain(|_, addresses| {
            ordered.extend(addresses.pop_front());
            !addresses.is_empty()
        });
    }
    ordered
}
