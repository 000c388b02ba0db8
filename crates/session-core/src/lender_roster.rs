//! Renews the rights of the lenders and replaces silent ones; runs on the leader, for one term.
//!
//! A part is given to another lender only after the right of the former one must have ended: the
//! former one answered a message without that part, or [`RIGHT_TIME`] has passed both since its last
//! answer and since the leader's election. Rights that earlier leaders renewed end by then, since
//! they count from renewals of their leases, which preceded the election.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::lender_table::LenderTable;
use crate::lender_table::PART_COUNT;
use crate::lender_table::PartSet;
use crate::lending_right::RIGHT_TIME;
use crate::lending_right::RightAnswer;
use crate::lending_right::RightRenewal;
use crate::monotonic_time::MonotonicTime;

/// Time by which the leader's clock may be behind a lender's at the end of a right: 0.1 % of
/// [`RIGHT_TIME`], and the time between the check of a right and the answer that it allows.
const RIGHT_MARGIN: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct LenderContact {
    /// When the last answer arrived.
    answered_at: MonotonicTime,
    /// When the newest message that was answered was sent, and the lender's time in that answer.
    sent: MonotonicTime,
    stamp: MonotonicTime,
}

/// Whether the lender of a part may have a right to it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PartState {
    /// Its right is renewed.
    Renewed,
    /// Messages that were sent since then no longer name the part.
    Withdrawn(MonotonicTime),
    /// Its right has ended.
    Ended,
}

/// The lenders of one term of a leader.
#[derive(Debug, Clone)]
pub struct LenderRoster {
    token: u64,
    elected_at: MonotonicTime,
    table: LenderTable,
    table_revision: u64,
    states: [PartState; PART_COUNT],
    contacts: BTreeMap<SocketAddr, LenderContact>,
}

impl LenderRoster {
    /// Creates the roster of a leader that was elected at `elected_at` or earlier, and with whose
    /// election the store confirmed the table and its revision.
    pub fn new(
        token: u64,
        table: LenderTable,
        table_revision: u64,
        elected_at: MonotonicTime,
    ) -> Self {
        Self {
            token,
            elected_at,
            table,
            table_revision,
            states: [PartState::Renewed; PART_COUNT],
            contacts: BTreeMap::new(),
        }
    }

    /// Returns the fencing token of the term.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Applies a table that this leader wrote to the store. Writes on the condition of the former
    /// revision can no longer be done, so that each part may be renewed again.
    pub fn set_table(&mut self, table: LenderTable, table_revision: u64) {
        if table_revision <= self.table_revision {
            return;
        }
        self.states = [PartState::Renewed; PART_COUNT];
        self.table = table;
        self.table_revision = table_revision;
    }

    /// Returns the messages that renew the rights. `lease_age` is the time since the last successful
    /// renewal of the leader's lease was sent.
    pub fn renewals(
        &self,
        lease_age: Duration,
        now: MonotonicTime,
    ) -> Vec<(SocketAddr, RightRenewal)> {
        let lenders = self.table.lenders().into_iter();
        let renewals = lenders.map(|lender| {
            let renewal = RightRenewal {
                token: self.token,
                sent: now,
                confirmed: self.contacts.get(&lender).map(|contact| contact.stamp),
                lease_age,
                parts: self.parts(lender),
                table_revision: self.table_revision,
            };
            (lender, renewal)
        });
        renewals.collect()
    }

    /// Records a lender's answer to a renewal of this term. Returns whether it is the lender's first
    /// one, which is to be confirmed at once, since the lender has no right before.
    pub fn record_answer(
        &mut self,
        from: SocketAddr,
        answer: RightAnswer,
        now: MonotonicTime,
    ) -> bool {
        let known = self.contacts.get(&from).copied();
        if known.is_some_and(|known| answer.sent <= known.sent) {
            return false;
        }
        let parts = (0..PART_COUNT).filter(|part| self.table.lender(*part) == from);
        for part in parts {
            let dropped = match self.states[part] {
                PartState::Withdrawn(since) => answer.sent >= since,
                PartState::Renewed => false,
                PartState::Ended => true,
            };
            // A process that stopped may be followed by another one, whose stamps are later.
            let is_newest = known.is_none_or(|known| answer.stamp > known.stamp);
            if dropped || (answer.gives_up && is_newest) {
                self.states[part] = PartState::Ended;
            }
        }
        let contact = LenderContact {
            answered_at: now,
            sent: answer.sent,
            stamp: answer.stamp,
        };
        self.contacts.insert(from, contact);
        known.is_none()
    }

    /// Returns the table that gives the parts without a lender to candidates, or back to their lender
    /// if there is no candidate; the caller writes it to the store. A part is not renewed again
    /// without that write, since an earlier one may still be done. While there are candidates without a part,
    /// withdraws the leader's own parts, so that no part depends on the leader, and further parts of
    /// lenders that have several.
    ///
    /// `candidates` are the other instances by preference.
    pub fn plan_table(
        &mut self,
        own: SocketAddr,
        candidates: &[SocketAddr],
        now: MonotonicTime,
    ) -> Option<LenderTable> {
        self.withdraw_spare_part(own, candidates, now);
        let mut planned = self.table.clone();
        for part in 0..PART_COUNT {
            let lender = self.table.lender(part);
            let answered_at = self.contacts.get(&lender).map(|c| c.answered_at);
            let counted_from = answered_at.map_or(self.elected_at, |at| at.max(self.elected_at));
            if now >= counted_from + RIGHT_TIME + RIGHT_MARGIN {
                self.states[part] = PartState::Ended;
            }
            if self.states[part] == PartState::Ended {
                let is_free = |candidate: &&SocketAddr| {
                    **candidate != lender && planned.parts(**candidate).is_empty()
                };
                let chosen = candidates.iter().find(is_free).copied().unwrap_or(own);
                planned.set_lender(part, chosen);
            }
        }
        self.states.contains(&PartState::Ended).then_some(planned)
    }

    fn withdraw_spare_part(
        &mut self,
        own: SocketAddr,
        candidates: &[SocketAddr],
        now: MonotonicTime,
    ) {
        let is_renewed = |part: &usize| self.states[*part] == PartState::Renewed;
        let is_spare = |part: &usize| {
            let lender = self.table.lender(*part);
            lender == own || (0..*part).any(|other| self.table.lender(other) == lender)
        };
        let is_free = |candidate: &SocketAddr| self.table.parts(*candidate).is_empty();
        let all_renewed = (0..PART_COUNT).all(|part| is_renewed(&part));
        if all_renewed
            && candidates.iter().any(is_free)
            && let Some(part) = (0..PART_COUNT).find(is_spare)
        {
            self.states[part] = PartState::Withdrawn(now);
        }
    }

    /// Returns the parts that a lender may lend.
    fn parts(&self, lender: SocketAddr) -> PartSet {
        let mut parts = PartSet::default();
        for part in 0..PART_COUNT {
            if self.table.lender(part) == lender && self.states[part] == PartState::Renewed {
                parts.insert(part);
            }
        }
        parts
    }
}
