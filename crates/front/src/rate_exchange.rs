//! Admits operations within the teams' rates, with tokens that the leader lends.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use session_core::ids::TeamId;
use session_core::loan_pacer::LoanPacer;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::rate_lender::LOAN_TIME;
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

/// The shares of an instance, and the lender while it leads.
#[derive(Debug)]
pub struct RateExchange {
    teams: RefCell<HashMap<TeamId, TeamShare>>,
    questions: RefCell<BTreeMap<u64, MonotonicTime>>,
    next_number: Cell<u64>,
    pacer: Cell<LoanPacer>,
    /// Whom to ask while the leader is silent.
    deputy: Cell<Option<SocketAddr>>,
    lender: RefCell<Option<RateLender>>,
    lent: watch::Sender<u64>,
}

impl RateExchange {
    /// Creates empty shares; `first_number` differs between lives of a process.
    pub fn new(first_number: u64) -> Self {
        Self {
            teams: RefCell::default(),
            questions: RefCell::default(),
            next_number: Cell::new(first_number),
            pacer: Cell::default(),
            deputy: Cell::default(),
            lender: RefCell::default(),
            lent: watch::Sender::new(0),
        }
    }

    /// Starts to lend, changes how much is lent, or stops.
    pub fn set_lending(&self, mode: Option<LendingMode>) {
        let mut lender = self.lender.borrow_mut();
        let at = now();
        let former = lender.as_ref().and_then(RateLender::mode);
        match (&mut *lender, mode) {
            (Some(lender), mode) => lender.set_mode(mode, at),
            (None, Some(mode)) => *lender = Some(RateLender::new(mode, at)),
            (None, None) => {}
        }
        if lender.as_ref().is_some_and(|k| k.is_expired(at)) {
            *lender = None;
        }
        if former != mode {
            tracing::info!(event = "lending_changed", ?former, ?mode);
        }
    }

    /// Returns whom to ask while the leader is silent, where that seems to be the case.
    pub fn fallback_lender(&self, leader_known: bool) -> Option<SocketAddr> {
        let suspects_lender = self.pacer.get().suspects_lender(now());
        self.deputy
            .get()
            .filter(|_| suspects_lender || !leader_known)
    }

    /// Takes the address of the deputy.
    pub fn set_deputy(&self, deputy: Option<SocketAddr>) {
        self.deputy.set(deputy);
    }

    /// Notes that an operation of the team asks to be admitted.
    pub fn record_demand(&self, team: &TeamId) {
        self.with_share(team, |share| share.share.record_demand(now()));
    }

    /// Takes a token, where this instance has one.
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

    /// Gives back the token of an operation that no endpoint ran.
    pub fn give_back(&self, team: &TeamId) {
        self.with_share(team, |share| share.share.borrow(1.0, now()));
    }

    /// Changes the number of operations that wait for a token.
    pub fn wait_begins(&self, team: &TeamId) {
        self.with_share(team, |share| share.waiting += 1);
    }

    /// Ends what `wait_begins` began.
    pub fn wait_ends(&self, team: &TeamId) {
        self.with_share(team, |share| {
            share.waiting = share.waiting.saturating_sub(1)
        });
    }

    /// Returns a receiver that changes when tokens arrive.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.lent.subscribe()
    }

    /// Whether tokens may be asked for again.
    pub fn may_request(&self) -> bool {
        self.pacer.get().may_request(now())
    }

    /// Returns a question for the tokens that are wanted now.
    pub fn question(&self) -> (u64, Vec<(TeamId, u32)>) {
        let at = now();
        let mut wanted = Vec::new();
        for (team, share) in self.teams.borrow_mut().iter_mut() {
            let tokens = share.share.wanted(share.waiting, at);
            if tokens >= 1.0 {
                wanted.push((team.clone(), tokens as u32));
            }
        }
        let number = self.next_number.get();
        if !wanted.is_empty() {
            self.next_number.set(number + 1);
            self.change_pacer(|pacer| pacer.record_request(at));
            let mut questions = self.questions.borrow_mut();
            questions.retain(|_, requested_at| at.saturating_since(*requested_at) < LOAN_TIME);
            questions.insert(number, at);
        }
        (number, wanted)
    }

    /// Answers a question, where this instance leads.
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

    /// Takes tokens that were lent; an answer counts once.
    pub fn accept(&self, number: u64, lent: &[(TeamId, u32)]) {
        let Some(requested_at) = self.questions.borrow_mut().remove(&number) else {
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
        self.lent.send_modify(|count| *count += 1);
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
