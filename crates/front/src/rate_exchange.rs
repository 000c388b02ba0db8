//! Admits operations within the teams' rates, with tokens on loan from the lenders.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use session_core::ids::TeamId;
use session_core::lender_table::PART_COUNT;
use session_core::loan_book::LoanBook;
use session_core::loan_book::LoanRequest;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::rate_lender::LOAN_TIME;
use session_core::rate_lender::RateLender;
use session_core::serving_rules::TeamLimit;
use tokio::sync::watch;

/// An instance's shares of the teams' rates, and the tokens that it lends.
#[derive(Debug)]
pub struct RateExchange {
    book: RefCell<LoanBook>,
    lender: RefCell<RateLender>,
    parts: Cell<usize>,
    grants: watch::Sender<u64>,
}

impl RateExchange {
    /// Creates empty shares. `first_number` must differ between the incarnations of an instance, so
    /// that answers to an earlier one are not accepted.
    pub fn new(first_number: u64) -> Self {
        Self {
            book: RefCell::new(LoanBook::new(first_number)),
            lender: RefCell::default(),
            parts: Cell::new(0),
            grants: watch::Sender::new(0),
        }
    }

    /// Sets when the right to lend each part ends.
    pub fn set_right(&self, ends: [MonotonicTime; PART_COUNT]) {
        let at = now();
        let mut lender = self.lender.borrow_mut();
        lender.set_right(ends, at);
        let parts = lender.parts(at);
        let former = self.parts.replace(parts);
        if former != parts {
            tracing::info!(event = "lending_changed", former, parts);
        }
    }

    /// Lets the buckets of the lender fill from `since` on if it never lent; see
    /// [`RateLender::start_from`].
    pub fn start_from(&self, since: MonotonicTime) {
        self.lender.borrow_mut().start_from(since);
    }

    /// Returns the number of parts of the rates that this instance lends.
    pub fn lent_parts(&self) -> usize {
        self.lender.borrow().parts(now())
    }

    /// Records that an operation of the team requests admission.
    pub fn record_demand(&self, team: &TeamId) {
        self.book.borrow_mut().record_demand(team, now());
    }

    /// Takes a token of this instance's share or of its own lender. Returns when it expires, or
    /// `None` if there was none.
    pub fn take(&self, team: &TeamId, limit: &TeamLimit) -> Option<MonotonicTime> {
        let at = now();
        let borrowed = self.book.borrow_mut().take(team, at);
        let lend = || self.lender.borrow_mut().lend(team, limit, 1.0, at);
        borrowed.or_else(|| (lend() >= 1.0).then(|| at + LOAN_TIME))
    }

    /// Returns the token of an operation that no endpoint executed.
    pub fn give_back(&self, team: &TeamId, expires_at: MonotonicTime) {
        self.book.borrow_mut().give_back(team, expires_at, now());
    }

    /// Counts an operation that starts to wait for a token.
    pub fn begin_wait(&self, team: &TeamId) {
        self.book.borrow_mut().begin_wait(team, now());
    }

    /// Counts an operation that no longer waits for a token.
    pub fn end_wait(&self, team: &TeamId) {
        self.book.borrow_mut().end_wait(team, now());
    }

    /// Returns a receiver that is notified when an answer to a request arrives.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.grants.subscribe()
    }

    /// Creates the requests for the tokens that are wanted now.
    pub fn create_requests(&self, lenders: &[SocketAddr]) -> Vec<LoanRequest> {
        self.book.borrow_mut().create_requests(lenders, now())
    }

    /// Returns an unused number for a message whose answer brings no tokens.
    pub fn next_number(&self) -> u64 {
        self.book.borrow_mut().next_number()
    }

    /// Lends tokens in answer to a request; none if this instance has no right to lend.
    pub fn answer(
        &self,
        wanted: &[(TeamId, u32)],
        limits: &HashMap<TeamId, TeamLimit>,
    ) -> Vec<(TeamId, u32)> {
        let mut lender = self.lender.borrow_mut();
        let at = now();
        let lend = |(team, tokens): &(TeamId, u32)| {
            let limit = limits.get(team)?;
            let lent = lender.lend(team, limit, f64::from(*tokens), at);
            Some((team.clone(), lent as u32))
        };
        wanted.iter().filter_map(lend).collect()
    }

    /// Adds loaned tokens to the shares. An answer is accepted only once. `lenders` is the number of
    /// lenders that may be asked.
    pub fn record_grant(&self, number: u64, lent: &[(TeamId, u32)], lenders: usize) {
        let mut book = self.book.borrow_mut();
        if book.record_grant(number, lent, lenders, now()) {
            self.grants.send_modify(|count| *count += 1);
        }
    }
}
