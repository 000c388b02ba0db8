//! The token bucket of one team on one instance, with its loans.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::shares::incarnation::InstanceIncarnation;
use crate::process::shares::table::TeamLimit;
use crate::process::timers::MonotonicTime;

/// Minimum number of owners in the first round of loan requests.
pub const MIN_FAN_OUT: usize = 4;

/// An owner's share of one team's limit.
#[derive(Debug, Clone, Copy)]
pub struct OwnShare {
    /// The owned fraction of the team's limit.
    pub fraction: f64,
    /// When the owner's lease ends.
    pub lease_end: MonotonicTime,
    /// The limit that the fraction refers to.
    pub limit: TeamLimit,
}

/// A fraction borrowed from an owner.
#[derive(Debug, Clone)]
pub struct BorrowedShare {
    /// The fraction.
    pub fraction: f64,
    /// The limit that it refers to.
    pub limit: TeamLimit,
    /// When this borrower must stop using it.
    pub ends: MonotonicTime,
    /// The number and send time of the request that has no answer yet.
    pub outstanding: Option<(u64, MonotonicTime)>,
    /// When the last request was sent.
    pub requested_at: MonotonicTime,
}

/// A fraction lent to a borrower.
#[derive(Debug, Clone)]
pub struct LentShare {
    /// The fraction that the borrower may hold at most.
    pub fraction: f64,
    /// Time by which the borrower has stopped using it, clock drift included.
    pub ends: MonotonicTime,
    /// The highest request number answered.
    pub number: u64,
    /// The demand that the borrower stated.
    pub demand: f64,
    /// When the excess was first recalled; `None` once the loan is back at its target.
    pub recalled_at: Option<MonotonicTime>,
}

/// The token bucket of one team on one instance, over its own and its borrowed fractions.
///
/// Tokens never exceed the held fraction of the burst, and accrue at the held fraction of the rate.
/// As the fractions of all instances add up to at most 1, all instances together admit at most
/// rate x time + burst.
#[derive(Debug, Clone)]
pub struct TeamBucket {
    /// The tokens at `updated`.
    pub tokens: f64,
    /// Borrowed fractions by owner.
    pub borrowed: BTreeMap<InstanceIncarnation, BorrowedShare>,
    /// Lent fractions by borrower.
    pub lent: BTreeMap<InstanceIncarnation, LentShare>,
    /// Number of deferred requests.
    pub waiting: usize,
    /// Earliest time of the next round of loan requests.
    pub next_request: MonotonicTime,
    /// Earliest time of the next round while there are tokens left.
    pub next_early_request: MonotonicTime,
    /// Pause after the next round; it doubles while no share is granted.
    pub request_pause: Duration,
    /// Minimum number of owners in the next round.
    pub fan_out: usize,
    /// When an owner last answered a request without refusing it.
    pub answered_at: MonotonicTime,
    /// Until when more share is expected; requests are deferred until then.
    pub pending_until: MonotonicTime,
    /// When the last request arrived.
    pub last_arrival: MonotonicTime,
    updated: MonotonicTime,
    demand: f64,
}

impl TeamBucket {
    /// Creates an empty bucket.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            tokens: 0.0,
            borrowed: BTreeMap::new(),
            lent: BTreeMap::new(),
            waiting: 0,
            next_request: now,
            next_early_request: now,
            request_pause: Duration::ZERO,
            fan_out: MIN_FAN_OUT,
            answered_at: MonotonicTime::default(),
            pending_until: MonotonicTime::default(),
            last_arrival: now,
            updated: now,
            demand: 0.0,
        }
    }

    /// Returns the sum of the lent fractions.
    pub fn lent_fraction(&self) -> f64 {
        self.lent.values().map(|lent| lent.fraction).sum()
    }

    /// Returns the part of the own fraction that is not lent; 0 after the lease has ended.
    pub fn free_fraction(&self, own: &OwnShare, now: MonotonicTime) -> f64 {
        if now >= own.lease_end {
            return 0.0;
        }
        (own.fraction - self.lent_fraction()).max(0.0)
    }

    /// Returns the usable fraction, own and borrowed.
    pub fn held_fraction(&self, own: &OwnShare, now: MonotonicTime) -> f64 {
        let borrowed = self.borrowed.values().map(|b| b.fraction).sum::<f64>();
        self.free_fraction(own, now) + borrowed
    }

    /// Accrues tokens up to `now`, removes ended loans and caps the tokens at the held burst.
    ///
    /// `speed` scales the accrual: 1 minus the maximum clock drift.
    pub fn advance(&mut self, own: &OwnShare, speed: f64, now: MonotonicTime) {
        let from = self.updated;
        let accrued = |fraction: f64, limit: &TeamLimit, ends: MonotonicTime| {
            fraction * limit.rate.0 * ends.min(now).saturating_since(from).as_secs_f64()
        };
        let own_free = (own.fraction - self.lent_fraction()).max(0.0);
        let mut tokens = accrued(own_free, &own.limit, own.lease_end);
        for borrowed in self.borrowed.values() {
            tokens += accrued(borrowed.fraction, &borrowed.limit, borrowed.ends);
        }
        self.tokens += tokens * speed;
        self.updated = from.max(now);
        for borrowed in self.borrowed.values_mut() {
            if borrowed.ends <= now {
                borrowed.fraction = 0.0;
            }
        }
        self.lent.retain(|_, lent| lent.ends > now);
        self.cap_tokens(own, now);
    }

    /// Caps the tokens at the held fraction of the burst.
    pub fn cap_tokens(&mut self, own: &OwnShare, now: MonotonicTime) {
        let mut burst = self.free_fraction(own, now) * own.limit.burst.0;
        for borrowed in self.borrowed.values() {
            burst += borrowed.fraction * borrowed.limit.burst.0;
        }
        self.tokens = self.tokens.min(burst);
    }

    /// Counts an arrival in the demand estimate.
    pub fn record_arrival(&mut self, window: Duration, now: MonotonicTime) {
        self.demand = self.decayed_demand(window, now) + 1.0 / window.as_secs_f64();
        self.last_arrival = self.last_arrival.max(now);
    }

    /// Returns the demand in requests per second, deferred requests included.
    pub fn demand(&self, window: Duration, now: MonotonicTime) -> f64 {
        self.decayed_demand(window, now) + self.waiting as f64 / window.as_secs_f64()
    }

    fn decayed_demand(&self, window: Duration, now: MonotonicTime) -> f64 {
        let age = now.saturating_since(self.last_arrival).as_secs_f64();
        let demand = self.demand * (-age / window.as_secs_f64()).exp();
        if demand < 0.01 { 0.0 } else { demand }
    }
}
