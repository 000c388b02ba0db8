//! Lets a second instance lend tokens while the one that lends them is silent.
//!
//! The lender sends heartbeat messages to its deputy, which answers each of them. A lender that
//! gets no answers lends half of each rate. A deputy that gets no messages lends the other half,
//! but only after the lender must have reduced its own. The deputy measures its lease on its own
//! clock: each answer carries a timestamp of that clock, the lender's next message confirms it, and
//! the lease runs from the newest confirmed timestamp. A delayed message therefore does not extend
//! the lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;
use crate::store_revision::StoreRevision;

/// Time after which the lender treats its deputy as silent, counted from when the newest answered
/// message was sent. It spans four messages, since single datagrams get lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Time without a message after which a deputy lends. It must exceed [`ANSWER_TIMEOUT`].
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a deputy may lend, counted from the newest confirmed timestamp. Covers the leader's
/// lease, an election and the first message of the next lender.
const DEPUTY_LEASE_TIME: Duration = Duration::from_millis(2_500);

/// Time without an answered message after which the lender replaces its deputy.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long an instance that did not answer is excluded from being chosen again: the length of an
/// instance's lease.
const EXCLUSION_TIME: Duration = Duration::from_millis(9_000);

#[derive(Debug, Clone, Copy)]
struct ChosenDeputy {
    address: SocketAddr,
    chosen_at: MonotonicTime,
    /// When the newest message that the deputy answered was sent.
    answered_at: Option<MonotonicTime>,
    /// When the newest answer arrived, and the newest timestamp of the deputy's clock.
    confirmed: Option<(MonotonicTime, MonotonicTime)>,
}

/// The lender's view of its deputy.
#[derive(Debug, Clone, Default)]
pub struct DeputyMonitor {
    deputy: Option<ChosenDeputy>,
    /// End of the lease that a former deputy may still hold.
    former_lease_until: MonotonicTime,
    excluded_until: BTreeMap<SocketAddr, MonotonicTime>,
}

impl DeputyMonitor {
    /// Returns the address of the current deputy.
    pub fn deputy(&self) -> Option<SocketAddr> {
        self.deputy.map(|deputy| deputy.address)
    }

    /// Returns the current deputy if it answers, or replaces it with the first candidate that is
    /// not excluded. Returns `None` while the lease of a former deputy may still run.
    pub fn choose(
        &mut self,
        mut candidates: impl Iterator<Item = SocketAddr>,
        now: MonotonicTime,
    ) -> Option<SocketAddr> {
        if let Some(deputy) = self.deputy {
            let answered_at = deputy.answered_at.unwrap_or(deputy.chosen_at);
            if now.saturating_since(answered_at) < REPLACEMENT_TIMEOUT {
                return Some(deputy.address);
            }
            if let Some((arrived_at, _)) = deputy.confirmed {
                self.former_lease_until = arrived_at + DEPUTY_LEASE_TIME;
            }
            self.excluded_until
                .insert(deputy.address, now + EXCLUSION_TIME);
            self.deputy = None;
        }
        if now < self.former_lease_until {
            return None;
        }
        self.excluded_until.retain(|_, until| now < *until);
        let address = candidates.find(|address| !self.excluded_until.contains_key(address))?;
        self.deputy = Some(ChosenDeputy {
            address,
            chosen_at: now,
            answered_at: None,
            confirmed: None,
        });
        Some(address)
    }

    /// Returns the timestamp of the deputy's clock that the next message confirms.
    pub fn confirmed(&self) -> Option<MonotonicTime> {
        self.deputy?.confirmed.map(|(_, stamp)| stamp)
    }

    /// Records the deputy's answer to a message sent at `sent`; `stamp` is the time on the deputy's
    /// clock. Answers of other instances are ignored.
    pub fn record_answer(
        &mut self,
        from: SocketAddr,
        sent: MonotonicTime,
        stamp: MonotonicTime,
        now: MonotonicTime,
    ) {
        if let Some(deputy) = self.deputy.as_mut().filter(|d| d.address == from) {
            deputy.answered_at = deputy.answered_at.max(Some(sent));
            let stamp = deputy
                .confirmed
                .map_or(stamp, |(_, known)| known.max(stamp));
            deputy.confirmed = Some((now, stamp));
        }
    }

    /// Returns whether no current or former deputy may lend now.
    pub fn is_sole_lender(&self, now: MonotonicTime) -> bool {
        let silent = |deputy: &ChosenDeputy| {
            deputy.confirmed.is_some()
                && deputy
                    .answered_at
                    .is_none_or(|sent| now.saturating_since(sent) >= ANSWER_TIMEOUT)
        };
        now >= self.former_lease_until && !self.deputy.as_ref().is_some_and(silent)
    }
}

/// The right of a deputy to lend while the lender is silent.
#[derive(Debug, Clone, Copy, Default)]
pub struct DeputyLease {
    /// Fencing token of the lender that sent the messages.
    token: StoreRevision,
    received_at: Option<MonotonicTime>,
    confirmed: Option<MonotonicTime>,
}

impl DeputyLease {
    /// Records a message of the lender with this fencing token. Returns whether to answer it: a
    /// message with a lower token than an earlier one comes from a former lender and is ignored.
    pub fn record_message(
        &mut self,
        token: StoreRevision,
        confirmed: Option<MonotonicTime>,
        now: MonotonicTime,
    ) -> bool {
        if token < self.token {
            return false;
        }
        if token > self.token {
            *self = Self {
                token,
                ..Self::default()
            };
        }
        self.received_at = Some(now);
        self.confirmed = self.confirmed.max(confirmed);
        true
    }

    /// Returns whether the deputy may lend now; `leader` is the fencing token of the leader in the
    /// store, if any.
    pub fn may_lend(&self, leader: Option<StoreRevision>, now: MonotonicTime) -> bool {
        let within = |from: Option<MonotonicTime>, time: Duration| {
            from.is_some_and(|from| now.saturating_since(from) < time)
        };
        leader.is_none_or(|leader| leader <= self.token)
            && self.received_at.is_some()
            && !within(self.received_at, SILENCE_TIMEOUT)
            && within(self.confirmed, DEPUTY_LEASE_TIME)
    }
}
