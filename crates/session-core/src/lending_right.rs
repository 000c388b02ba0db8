//! An instance's right to lend parts of the teams' rates.
//!
//! The leader renews the right. Each answer to it carries a time stamp of the lender's clock, and the
//! leader's next message confirms the stamp. The right is counted from the confirmed stamp, less the
//! age of the leader's own lease, so that neither a delayed message nor a leader that cannot renew
//! its lease extends it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::lender_table::PART_COUNT;
use crate::lender_table::PartSet;
use crate::monotonic_time::MonotonicTime;

/// How long parts may be lent, counted from the last renewal of the leader's lease. Covers an
/// outage of the store of 5 s and the election after it.
pub const RIGHT_TIME: Duration = Duration::from_millis(6_000);

/// Message of the leader that renews the right of a lender.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RightRenewal {
    /// Fencing token of the leader.
    pub token: u64,
    /// When the message was sent, on the leader's clock.
    pub sent: MonotonicTime,
    /// Newest time on the lender's clock that the leader received from it.
    pub confirmed: Option<MonotonicTime>,
    /// Time since the last successful renewal of the leader's lease was sent.
    pub lease_age: Duration,
    /// The parts that the receiver may lend.
    pub parts: PartSet,
    /// Store revision of the table that names the receiver as their lender.
    pub table_revision: u64,
}

/// What a lender has read of the leader and the lender table in the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SeenLeadership {
    /// Fencing token of the leader, if there is one.
    pub leader: Option<u64>,
    /// Revision of the lender table, or 0 without one.
    pub table_revision: u64,
    /// Time up to which the lender knows every change in the store.
    pub synced_at: MonotonicTime,
}

/// Answer of a lender to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RightAnswer {
    /// Time in the message that is answered.
    pub sent: MonotonicTime,
    /// Time of the answer, on the lender's clock.
    pub stamp: MonotonicTime,
    /// Whether the lender is about to stop and has given up its parts.
    pub gives_up: bool,
}

/// An instance's right to lend.
#[derive(Debug, Clone, Copy)]
pub struct LendingRight {
    token: u64,
    sent: MonotonicTime,
    started_at: MonotonicTime,
    given_up: bool,
    until: [MonotonicTime; PART_COUNT],
}

impl LendingRight {
    /// Creates a right to nothing. Stamps from before `started_at`, the start of the process, are of
    /// an earlier process and are not accepted.
    pub fn new(started_at: MonotonicTime) -> Self {
        Self {
            token: 0,
            sent: MonotonicTime::default(),
            started_at,
            given_up: false,
            until: [MonotonicTime::default(); PART_COUNT],
        }
    }

    /// Applies a renewal and returns the answer to it. Returns `None` if it comes from a former
    /// leader, or if a newer message of the same leader has been applied.
    ///
    /// An earlier process of this instance may have given up parts to a leader that this process
    /// has not heard of. What it has read since its start shows that leader, or the table in which
    /// the parts have other lenders.
    pub fn renew(
        &mut self,
        renewal: &RightRenewal,
        seen: &SeenLeadership,
        now: MonotonicTime,
    ) -> Option<RightAnswer> {
        let is_former = seen.leader.is_some_and(|leader| renewal.token < leader)
            || renewal.table_revision < seen.table_revision;
        if (renewal.token, renewal.sent) <= (self.token, self.sent)
            || seen.synced_at < self.started_at
            || is_former
        {
            return None;
        }
        self.token = renewal.token;
        self.sent = renewal.sent;
        let confirmed = renewal
            .confirmed
            .filter(|stamp| (self.started_at..=now).contains(stamp));
        let renewed_until = confirmed.map(|stamp| stamp - renewal.lease_age + RIGHT_TIME);
        for (part, until) in self.until.iter_mut().enumerate() {
            *until = match renewal.parts.contains(part) && !self.given_up {
                true => renewed_until.map_or(*until, |renewed| renewed.max(*until)),
                false => MonotonicTime::default(),
            };
        }
        Some(RightAnswer {
            sent: renewal.sent,
            stamp: now,
            gives_up: self.given_up,
        })
    }

    /// Gives up all parts for the rest of the process, which is about to stop.
    pub fn give_up(&mut self) {
        self.given_up = true;
        self.until = [MonotonicTime::default(); PART_COUNT];
    }

    /// Returns when the right to each part ends.
    pub fn ends(&self) -> [MonotonicTime; PART_COUNT] {
        self.until
    }
}
