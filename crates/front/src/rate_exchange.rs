//! Admits operations within the teams' rates, with tokens on loan from the leader or its deputy.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use session_core::ids::TeamId;
use session_core::loan_pacer::LoanPacer;
use session_core::loan_requests::LoanRequests;
use session_core::monotonic_time::now;
use session_core::rate_lender::LendingMode;
use session_core::rate_lender::RateLender;
use session_core::rate_share::RateShare;
use session_core::serving_rules::TeamLimit;
use tokio::sync::watch;

#[derive(Debug)]
struct TeamShare {
    share: RateShare,
    waiting: usize,
}

/// An instance's shares of the teams' rates, and its lender while it lends.
#[derive(Debug)]
pub struct RateExchange {
    teams: RefCell<HashMap<TeamId, TeamShare>>,
    requests: RefCell<LoanRequests>,
    pacer: Cell<LoanPacer>,
    /// Address of the deputy, which lends while the leader is silent.
    deputy: Cell<Option<SocketAddr>>,
    lender: RefCell<Option<RateLender>>,
    grants: watch::Sender<u64>,
}

impl RateExchange {
    /// Creates empty shares. `first_number` must differ between the incarnations of an instance, so
    /// that answers to an earlier one are not accepted.
    pub fn new(first_number: u64) -> Self {
        Self {
            teams: RefCell::default(),
            requests: RefCell::new(LoanRequests::new(first_number)),
            pacer: Cell::default(),
            deputy: Cell::default(),
            lender: RefCell::default(),
            grants: watch::Sender::new(0),
        }
    }

    /// Starts or stops lending, or changes the lending mode.
    pub fn set_lending(&self, mode: Option<LendingMode>) {
        let mut lender = self.lender.borrow_mut();
        let at = now();
        let former = lender.as_ref().and_then(RateLender::mode);
        match (&mut *lender, mode) {
            (Some(lender), mode) => lender.set_mode(mode, at),
            (None, Some(mode)) => *lender = Some(RateLender::new(mode, at)),
            (None, None) => {}
        }
        if lender.as_ref().is_some_and(|lender| lender.is_expired(at)) {
            *lender = None;
        }
        if former != mode {
            tracing::info!(event = "lending_changed", ?former, ?mode);
        }
    }

    /// Returns the address of the deputy if the leader seems to be silent or is unknown.
    pub fn fallback_lender(&self, leader_known: bool) -> Option<SocketAddr> {
        let suspects_lender = self.pacer.get().suspects_lender(now());
        self.deputy
            .get()
            .filter(|_| suspects_lender || !leader_known)
    }

    /// Sets the address of the deputy.
    pub fn set_deputy(&self, deputy: Option<SocketAddr>) {
        self.deputy.set(deputy);
    }

    /// Records that an operation of the team requests admission.
    pub fn record_demand(&self, team: &TeamId) {
        self.with_share(team, |share| share.share.record_demand(now()));
    }

    /// Takes a token of this instance's share or of its own lender. Returns whether there was one.
    pub fn take(&self, team: &TeamId, limit: &TeamLimit, instances: usize) -> bool {
        let at = now();
        if self.with_share(team, |share| share.share.take(limit, instances, at)) {
            return true;
        }
        let mut lender = self.lender.borrow_mut();
        lender
            .as_mut()
            .is_some_and(|lender| lender.lend(team, limit, 1.0, at) >= 1.0)
    }

    /// Returns the token of an operation that no endpoint executed.
    pub fn give_back(&self, team: &TeamId) {
        self.with_share(team, |share| share.share.borrow(1.0, now()));
    }

    /// Counts an operation that starts to wait for a token.
    pub fn begin_wait(&self, team: &TeamId) {
        self.with_share(team, |share| share.waiting += 1);
    }

    /// Counts an operation that no longer waits for a token.
    pub fn end_wait(&self, team: &TeamId) {
        self.with_share(team, |share| {
            share.waiting = share.waiting.saturating_sub(1)
        });
    }

    /// Returns a receiver that is notified when an answer to a request arrives.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.grants.subscribe()
    }

    /// Returns whether a new request for tokens may be sent.
    pub fn may_request(&self) -> bool {
        self.pacer.get().may_request(now())
    }

    /// Creates a request for the tokens that are wanted now, and returns its number and the tokens
    /// by team.
    pub fn create_request(&self) -> (u64, Vec<(TeamId, u32)>) {
        let at = now();
        let mut wanted = Vec::new();
        for (team, share) in self.teams.borrow_mut().iter_mut() {
            let tokens = share.share.wanted(share.waiting, at);
            if tokens >= 1.0 {
                wanted.push((team.clone(), tokens as u32));
            }
        }
        let wants_tokens = !wanted.is_empty();
        if wants_tokens {
            self.change_pacer(|pacer| pacer.record_request(at));
        }
        let number = self.requests.borrow_mut().create(wants_tokens, at);
        (number, wanted)
    }

    /// Lends tokens in answer to a request. Returns `None` if this instance does not lend.
    pub fn answer(
        &self,
        wanted: &[(TeamId, u32)],
        limits: &HashMap<TeamId, TeamLimit>,
    ) -> Option<Vec<(TeamId, u32)>> {
        let mut lender = self.lender.borrow_mut();
        let lender = lender.as_mut().filter(|lender| lender.lends())?;
        let at = now();
        let lend = |(team, tokens): &(TeamId, u32)| {
            let limit = limits.get(team)?;
            let lent = lender.lend(team, limit, f64::from(*tokens), at);
            Some((team.clone(), lent as u32))
        };
        Some(wanted.iter().filter_map(lend).collect())
    }

    /// Adds loaned tokens to the shares. An answer is accepted only once.
    pub fn record_grant(&self, number: u64, lent: &[(TeamId, u32)]) {
        let Some(requested_at) = self.requests.borrow_mut().accept_answer(number) else {
            return;
        };
        self.change_pacer(LoanPacer::record_answer);
        let at = now();
        for (team, tokens) in lent {
            self.with_share(team, |share| match tokens {
                0 => share.share.record_exhausted(at),
                _ => share.share.borrow(f64::from(*tokens), requested_at),
            });
        }
        self.grants.send_modify(|count| *count += 1);
    }

    fn change_pacer(&self, change: impl FnOnce(&mut LoanPacer)) {
        let mut pacer = self.pacer.get();
        change(&mut pacer);
        self.pacer.set(pacer);
    }

    fn with_share<T>(&self, team: &TeamId, action: impl FnOnce(&mut TeamShare) -> T) -> T {
        let mut teams = self.teams.borrow_mut();
        let share = teams.entry(team.clone()).or_insert_with(|| TeamShare {
            share: RateShare::new(now()),
            waiting: 0,
        });
        action(share)
    }
}
