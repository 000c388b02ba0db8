//! An instance's shares of the teams' rates, and its requests for loans.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::ids::TeamId;
use crate::loan_pacer::LoanPacer;
use crate::loan_pacer::REQUEST_PAUSE;
use crate::monotonic_time::MonotonicTime;
use crate::rate_lender::LOAN_TIME;
use crate::rate_share::RateShare;

/// Maximum number of teams in a request, so that request and answer fit into a datagram.
const MAX_TEAMS: usize = 40;

#[derive(Debug, Clone)]
struct TeamLoans {
    share: RateShare,
    waiting: usize,
    /// Number of the lender that is asked next, modulo the number of lenders.
    lender: usize,
    /// When the request was sent that has not been answered.
    requested_at: Option<MonotonicTime>,
}

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    requested_at: MonotonicTime,
    lender: SocketAddr,
}

/// A request for loans that is to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanRequest {
    /// Address of the lender.
    pub lender: SocketAddr,
    /// Number of the request, repeated in the answer.
    pub number: u64,
    /// Number of tokens by team.
    pub wanted: Vec<(TeamId, u32)>,
}

/// The loans of one instance.
#[derive(Debug, Clone)]
pub struct LoanBook {
    teams: HashMap<TeamId, TeamLoans>,
    requests: BTreeMap<u64, SentRequest>,
    pacers: BTreeMap<SocketAddr, LoanPacer>,
    next_number: u64,
    first_lender: usize,
}

impl LoanBook {
    /// Creates empty shares. `first_number` must differ between the incarnations of an instance, so
    /// that answers to an earlier one are not accepted. It also decides which lender is asked first.
    pub fn new(first_number: u64) -> Self {
        Self {
            teams: HashMap::new(),
            requests: BTreeMap::new(),
            pacers: BTreeMap::new(),
            next_number: first_number,
            first_lender: (first_number % 997) as usize,
        }
    }

    /// Records that an operation of the team requests admission.
    pub fn record_demand(&mut self, team: &TeamId, now: MonotonicTime) {
        self.team(team, now).share.record_demand(now);
    }

    /// Takes a token and returns when it expires, or `None` if there is none.
    pub fn take(&mut self, team: &TeamId, now: MonotonicTime) -> Option<MonotonicTime> {
        self.team(team, now).share.take(now)
    }

    /// Returns a token of an operation that no endpoint executed.
    pub fn give_back(&mut self, team: &TeamId, expires_at: MonotonicTime, now: MonotonicTime) {
        self.team(team, now).share.give_back(expires_at);
    }

    /// Counts an operation that starts to wait for a token.
    pub fn begin_wait(&mut self, team: &TeamId, now: MonotonicTime) {
        self.team(team, now).waiting += 1;
    }

    /// Counts an operation that no longer waits for a token.
    pub fn end_wait(&mut self, team: &TeamId, now: MonotonicTime) {
        let loans = self.team(team, now);
        loans.waiting = loans.waiting.saturating_sub(1);
    }

    /// Returns an unused number for a message whose answer brings no tokens.
    pub fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Creates the requests for the tokens that are wanted now. A team whose last request was not
    /// answered goes on to the next lender.
    pub fn create_requests(
        &mut self,
        lenders: &[SocketAddr],
        now: MonotonicTime,
    ) -> Vec<LoanRequest> {
        self.requests
            .retain(|_, sent| now.saturating_since(sent.requested_at) < LOAN_TIME);
        self.pacers.retain(|lender, _| lenders.contains(lender));
        let mut requests: Vec<LoanRequest> = Vec::new();
        for (team, loans) in &mut self.teams {
            let tokens = loans.share.wanted(loans.waiting, now);
            if tokens < 1.0 {
                continue;
            }
            if let Some(requested_at) = loans.requested_at {
                if now.saturating_since(requested_at) < REQUEST_PAUSE {
                    continue;
                }
                loans.lender += 1;
            }
            let Some(lender) = choose_lender(&self.pacers, lenders, loans.lender, now) else {
                continue;
            };
            let request = match requests.iter_mut().position(|r| r.lender == lender) {
                Some(index) => &mut requests[index],
                None => {
                    let number = self.next_number;
                    self.next_number += 1;
                    let wanted = Vec::new();
                    requests.push(LoanRequest {
                        lender,
                        number,
                        wanted,
                    });
                    let last = requests.len() - 1;
                    &mut requests[last]
                }
            };
            if request.wanted.len() < MAX_TEAMS {
                request.wanted.push((team.clone(), tokens as u32));
                loans.requested_at = Some(now);
            }
        }
        for request in &requests {
            let pacer = self.pacers.entry(request.lender).or_default();
            pacer.record_request(now);
            let sent = SentRequest {
                requested_at: now,
                lender: request.lender,
            };
            self.requests.insert(request.number, sent);
        }
        requests
    }

    /// Adds loaned tokens to the shares. An answer is accepted only once. Returns whether it was
    /// accepted.
    pub fn record_grant(
        &mut self,
        number: u64,
        lent: &[(TeamId, u32)],
        lenders: usize,
        now: MonotonicTime,
    ) -> bool {
        let Some(sent) = self.requests.remove(&number) else {
            return false;
        };
        if let Some(pacer) = self.pacers.get_mut(&sent.lender) {
            pacer.record_answer();
        }
        for (team, tokens) in lent {
            let loans = self.team(team, now);
            loans.requested_at = None;
            if *tokens == 0 {
                loans.lender += 1;
                loans.share.record_exhausted(lenders, now);
            } else {
                loans.share.borrow(f64::from(*tokens), sent.requested_at);
            }
        }
        true
    }

    fn team(&mut self, team: &TeamId, now: MonotonicTime) -> &mut TeamLoans {
        let lender = self.first_lender;
        self.teams.entry(team.clone()).or_insert_with(|| TeamLoans {
            share: RateShare::new(now),
            waiting: 0,
            lender,
            requested_at: None,
        })
    }
}

/// Returns the first lender from number `first` on that may be sent a request now, preferably one
/// that answers.
fn choose_lender(
    pacers: &BTreeMap<SocketAddr, LoanPacer>,
    lenders: &[SocketAddr],
    first: usize,
    now: MonotonicTime,
) -> Option<SocketAddr> {
    let from_first = || {
        let count = lenders.len();
        (0..count).map(move |number| lenders[(first + number) % count])
    };
    let pacer = |lender: &SocketAddr| pacers.get(lender).copied().unwrap_or_default();
    let answers = |lender: &SocketAddr| !pacer(lender).suspects_lender(now);
    let may_request = |lender: &SocketAddr| pacer(lender).may_request(now);
    if from_first().any(|lender| answers(&lender)) {
        from_first().find(|lender| answers(lender) && may_request(lender))
    } else {
        from_first().find(may_request)
    }
}
