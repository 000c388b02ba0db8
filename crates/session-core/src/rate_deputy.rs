//! Lets a second instance lend tokens while the one that lends them is silent.
//!
//! The lender sends its deputy messages that the deputy answers. A lender without answers lends
//! half of each rate, and a deputy without messages lends the other half, but only after the lender
//! must have noticed. The deputy measures how long it may lend on its own clock, from a time that
//! the lender has confirmed to it, so that messages which were held up renew nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// How recent the last message must be that the deputy answered, for the lender to lend everything:
/// four messages, as single datagrams get lost.
const ANSWERED_TIME: Duration = Duration::from_millis(450);

/// How long a deputy must have heard nothing before it lends: longer than `ANSWERED_TIME`.
const SILENT_TIME: Duration = Duration::from_millis(500);

/// How long a deputy may lend after the time that the lender confirmed: the leader's lease, an
/// election and the first message of the next lender.
const DEPUTY_LEASE_TIME: Duration = Duration::from_millis(2_500);

/// How long a deputy may leave messages unanswered before another one is chosen.
const GIVE_UP_TIME: Duration = Duration::from_millis(700);

/// How long an instance that did not answer is not chosen again: an instance's lease.
const PASS_TIME: Duration = Duration::from_millis(9_000);

#[derive(Debug, Clone, Copy)]
struct ChosenDeputy {
    address: SocketAddr,
    chosen_at: MonotonicTime,
    /// When the newest message was sent that it answered.
    answered_at: Option<MonotonicTime>,
    /// When its newest answer arrived, and the time on its own clock in it.
    confirmed: Option<(MonotonicTime, MonotonicTime)>,
}

/// The lender's side.
#[derive(Debug, Clone, Default)]
pub struct DeputyMonitor {
    deputy: Option<ChosenDeputy>,
    /// Until when a former deputy may lend.
    risk_until: MonotonicTime,
    passed_over: BTreeMap<SocketAddr, MonotonicTime>,
}

impl DeputyMonitor {
    /// Returns the deputy.
    pub fn deputy(&self) -> Option<SocketAddr> {
        self.deputy.map(|deputy| deputy.address)
    }

    /// Gives up a deputy that does not answer, and chooses the first candidate where there is none.
    pub fn choose(
        &mut self,
        mut candidates: impl Iterator<Item = SocketAddr>,
        now: MonotonicTime,
    ) -> Option<SocketAddr> {
        if let Some(deputy) = self.deputy {
            let heard = deputy.answered_at.unwrap_or(deputy.chosen_at);
            if now.saturating_since(heard) < GIVE_UP_TIME {
                return Some(deputy.address);
            }
            if let Some((arrived_at, _)) = deputy.confirmed {
                self.risk_until = arrived_at + DEPUTY_LEASE_TIME;
            }
            self.passed_over.insert(deputy.address, now + PASS_TIME);
            self.deputy = None;
        }
        if now < self.risk_until {
            return None;
        }
        self.passed_over.retain(|_, until| now < *until);
        let address = candidates.find(|address| !self.passed_over.contains_key(address))?;
        self.deputy = Some(ChosenDeputy {
            address,
            chosen_at: now,
            answered_at: None,
            confirmed: None,
        });
        Some(address)
    }

    /// Returns the time on the deputy's clock that the next message confirms.
    pub fn confirmed(&self) -> Option<MonotonicTime> {
        self.deputy?.confirmed.map(|(_, stamp)| stamp)
    }

    /// Takes the deputy's answer to a message sent at `sent`, with the time on the deputy's clock.
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

    /// Whether no deputy can lend now.
    pub fn is_sole_lender(&self, now: MonotonicTime) -> bool {
        let silent = |deputy: &ChosenDeputy| {
            deputy.confirmed.is_some()
                && deputy
                    .answered_at
                    .is_none_or(|sent| now.saturating_since(sent) >= ANSWERED_TIME)
        };
        now >= self.risk_until && !self.deputy.as_ref().is_some_and(silent)
    }
}

/// The deputy's side.
#[derive(Debug, Clone, Copy, Default)]
pub struct DeputyLease {
    /// The fencing token of the lender.
    token: u64,
    heard_at: Option<MonotonicTime>,
    confirmed: Option<MonotonicTime>,
}

impl DeputyLease {
    /// Takes a message of the lender with this token; returns whether to answer it.
    pub fn take(
        &mut self,
        token: u64,
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
        self.heard_at = Some(now);
        self.confirmed = self.confirmed.max(confirmed);
        true
    }

    /// Whether to lend now; `leader` is the token of the leader that the store names, if any.
    pub fn lends(&self, leader: Option<u64>, now: MonotonicTime) -> bool {
        let within = |from: Option<MonotonicTime>, time: Duration| {
            from.is_some_and(|from| now.saturating_since(from) < time)
        };
        leader.is_none_or(|leader| leader <= self.token)
            && self.heard_at.is_some()
            && !within(self.heard_at, SILENT_TIME)
            && within(self.confirmed, DEPUTY_LEASE_TIME)
    }
}
