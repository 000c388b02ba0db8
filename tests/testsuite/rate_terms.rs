//! Simulates three instances that lend and use the rate of one team while leaders change, and while
//! instances freeze or lose the store or each other.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use session_core::ids::TeamId;
use session_core::loan_pacer::LoanPacer;
use session_core::monotonic_time::MonotonicTime;
use session_core::rate_deputy::DeputyLease;
use session_core::rate_deputy::DeputyMonitor;
use session_core::rate_lender::LendingMode;
use session_core::rate_lender::RateLender;
use session_core::rate_share::RateShare;
use session_core::serving_rules::TeamLimit;
use session_core::store_revision::StoreRevision;
use session_core::units::RequestBurst;
use session_core::units::RequestRate;

const INSTANCES: usize = 3;
const RATE: f64 = 40.0;
const RUN_MS: u64 = 20_000;
const STEP_MS: u64 = 5;
const WINDOW_MS: u64 = 5_000;
/// Time for which an admission waits for a token.
const WAIT_MS: u64 = 40;

// Lease time of a leader, the time in it after which a leader no longer acts, and the time after it
// for which it still lends, as in the front daemon.
const LEASE_MS: u64 = 1_500;
const ACTING_MS: u64 = 1_100;
const GRACE_MS: u64 = 1_800;

struct SimRandom(u64);

impl SimRandom {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, end: u64) -> u64 {
        (self.unit() * end as f64) as u64
    }
}

/// A term of leadership: the instance and its fencing token.
#[derive(Clone, Copy, PartialEq)]
struct SimTerm {
    leader: usize,
    token: u64,
}

enum SimMessage {
    Ask {
        number: u64,
        wanted: u32,
    },
    Lend {
        number: u64,
        lent: u32,
        deputy: Option<usize>,
        is_leader: bool,
    },
    Watch {
        token: u64,
        sent: MonotonicTime,
        confirmed: Option<MonotonicTime>,
    },
    Watched {
        sent: MonotonicTime,
        stamp: MonotonicTime,
    },
}

struct SimInstance {
    id: usize,
    share: RateShare,
    pacer: LoanPacer,
    requested_at: HashMap<u64, u64>,
    lender: Option<RateLender>,
    monitor: DeputyMonitor,
    lease: DeputyLease,
    /// Token and last renewal of the instance's own term.
    own_term: Option<(u64, u64)>,
    known_term: Option<SimTerm>,
    deputy: Option<usize>,
    waiting: VecDeque<u64>,
    frozen_until: u64,
    cut_until: u64,
    store_cut_until: u64,
}

fn time(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(100_000 + ms)
}

fn address(id: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + id as u16))
}

fn instance_at(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

impl SimInstance {
    fn new(id: usize) -> Self {
        Self {
            id,
            share: RateShare::new(time(0)),
            pacer: LoanPacer::default(),
            requested_at: HashMap::new(),
            lender: None,
            monitor: DeputyMonitor::default(),
            lease: DeputyLease::default(),
            own_term: None,
            known_term: None,
            deputy: None,
            waiting: VecDeque::new(),
            frozen_until: 0,
            cut_until: 0,
            store_cut_until: 0,
        }
    }

    fn leads_within(&self, at: u64, limit: u64) -> bool {
        let (Some(known), Some((token, renewed_at))) = (self.known_term, self.own_term) else {
            return false;
        };
        known.leader == self.id && known.token == token && at - renewed_at < limit
    }

    fn update_lending(&mut self, at: u64) {
        let mode = match self.leads_within(at, LEASE_MS + GRACE_MS) {
            true => Some(match self.monitor.is_sole_lender(time(at)) {
                false => LendingMode::Shared,
                true if self.leads_within(at, ACTING_MS) => LendingMode::Alone,
                true => LendingMode::Lapsed,
            }),
            false => {
                let token = self.known_term.map(|term| term.token);
                let may_lend = self
                    .lease
                    .may_lend(token.map(StoreRevision::from), time(at));
                may_lend.then_some(LendingMode::Shared)
            }
        };
        match (&mut self.lender, mode) {
            (Some(lender), mode) => lender.set_mode(mode, time(at)),
            (None, Some(mode)) => self.lender = Some(RateLender::new(mode, time(at))),
            (None, None) => {}
        }
        if self
            .lender
            .as_ref()
            .is_some_and(|lender| lender.is_expired(time(at)))
        {
            self.lender = None;
        }
    }
}

struct SimFleet {
    random: SimRandom,
    team: TeamId,
    limit: TeamLimit,
    instances: Vec<SimInstance>,
    /// Messages with the time of arrival, the sender and the receiver.
    network: Vec<(u64, usize, usize, SimMessage)>,
    /// The term in the store and when its lease ends.
    stored: Option<(SimTerm, u64)>,
    last_token: u64,
    last_request: u64,
    admitted: Vec<u64>,
}

impl SimFleet {
    fn new(seed: u64) -> Self {
        Self {
            random: SimRandom(seed),
            team: "team".parse().expect("valid id"),
            limit: TeamLimit {
                rate: RequestRate(RATE),
                burst: RequestBurst(RATE),
            },
            instances: (0..INSTANCES).map(SimInstance::new).collect(),
            network: Vec::new(),
            stored: None,
            last_token: 10,
            last_request: 0,
            admitted: Vec::new(),
        }
    }

    fn send(&mut self, at: u64, from: usize, to: usize, message: SimMessage) {
        if at >= self.instances[from].cut_until {
            let delay = 1 + self.random.below(8);
            self.network.push((at + delay, from, to, message));
        }
    }

    fn begin_fault(&mut self, at: u64) {
        let target = match self.stored {
            Some((term, _)) if self.random.below(3) < 2 => term.leader,
            _ => self.random.below(INSTANCES as u64) as usize,
        };
        let end = at + 200 + self.random.below(4_300);
        let instance = &mut self.instances[target];
        match self.random.below(3) {
            0 => instance.store_cut_until = end,
            1 => instance.cut_until = end,
            _ => instance.frozen_until = end,
        }
    }

    fn deliver(&mut self, at: u64) {
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|message| message.0 <= at);
        self.network = later;
        let due: Vec<_> = due;
        for (_, from, to, message) in due {
            let instance = &mut self.instances[to];
            if at < instance.cut_until {
                continue;
            }
            if at < instance.frozen_until {
                self.network
                    .push((instance.frozen_until, from, to, message));
                continue;
            }
            if let Some(answer) = self.receive(at, from, to, message) {
                self.send(at, to, from, answer);
            }
        }
    }

    fn receive(
        &mut self,
        at: u64,
        from: usize,
        to: usize,
        message: SimMessage,
    ) -> Option<SimMessage> {
        let instance = &mut self.instances[to];
        match message {
            SimMessage::Ask { number, wanted } => {
                instance.update_lending(at);
                let lender = instance.lender.as_mut().filter(|lender| lender.lends())?;
                let lent = lender.lend(&self.team, &self.limit, f64::from(wanted), time(at));
                let deputy = instance.monitor.deputy().map(instance_at);
                let is_leader = instance.leads_within(at, u64::MAX);
                let lent = lent as u32;
                return Some(SimMessage::Lend {
                    number,
                    lent,
                    deputy,
                    is_leader,
                });
            }
            SimMessage::Lend {
                number,
                lent,
                deputy,
                is_leader,
            } => {
                if is_leader {
                    instance.deputy = deputy.filter(|deputy| *deputy != to);
                }
                let requested_at = instance.requested_at.remove(&number)?;
                instance.pacer.record_answer();
                match lent {
                    0 => instance.share.record_exhausted(time(at)),
                    _ => instance.share.borrow(f64::from(lent), time(requested_at)),
                }
            }
            SimMessage::Watch {
                token,
                sent,
                confirmed,
            } => {
                let stamp = time(at);
                let is_current = instance
                    .lease
                    .record_message(token.into(), confirmed, stamp);
                return is_current.then_some(SimMessage::Watched { sent, stamp });
            }
            SimMessage::Watched { sent, stamp } => {
                let monitor = &mut instance.monitor;
                monitor.record_answer(address(from), sent, stamp, time(at));
            }
        }
        None
    }

    /// Renews or takes the leadership, and reads the term in the store.
    fn use_store(&mut self, at: u64, id: usize) {
        let instance = &mut self.instances[id];
        if at < instance.cut_until || at < instance.store_cut_until {
            return;
        }
        self.stored = self.stored.filter(|(_, lease_end)| at < *lease_end);
        if at.is_multiple_of(400)
            && let Some((token, _)) = instance.own_term
        {
            let own = SimTerm { leader: id, token };
            let is_stored = self.stored.is_some_and(|(term, _)| term == own);
            instance.own_term = is_stored.then_some((token, at));
            if is_stored {
                self.stored = Some((own, at + LEASE_MS));
            }
        }
        if at.is_multiple_of(50) {
            if self.stored.is_none() && self.random.below(4) == 0 {
                self.last_token += 1;
                let term = SimTerm {
                    leader: id,
                    token: self.last_token,
                };
                self.stored = Some((term, at + LEASE_MS));
                instance.own_term = Some((term.token, at));
            }
            instance.known_term = self.stored.map(|(term, _)| term);
        }
    }

    fn admit(&mut self, at: u64, id: usize, load: f64) {
        let instance = &mut self.instances[id];
        if self.random.unit() < load / INSTANCES as f64 * STEP_MS as f64 / 1_000.0 {
            instance.share.record_demand(time(at));
            instance.waiting.push_back(at);
        }
        instance.update_lending(at);
        while let Some(since) = instance.waiting.front().copied() {
            let (limit, lender) = (&self.limit, instance.lender.as_mut());
            let is_admitted = instance.share.take(limit, INSTANCES, time(at))
                || lender
                    .is_some_and(|lender| lender.lend(&self.team, limit, 1.0, time(at)) >= 1.0);
            if !is_admitted && at < since + WAIT_MS {
                break;
            }
            instance.waiting.pop_front();
            if is_admitted {
                self.admitted.push(at);
            }
        }
    }

    fn request_tokens(&mut self, at: u64, id: usize) {
        let instance = &mut self.instances[id];
        let is_due = at.is_multiple_of(200) || !instance.waiting.is_empty();
        if !is_due || !instance.pacer.may_request(time(at)) {
            return;
        }
        let wanted = instance.share.wanted(instance.waiting.len(), time(at));
        if wanted < 1.0 {
            return;
        }
        self.last_request += 1;
        let number = self.last_request;
        instance.pacer.record_request(time(at));
        instance.requested_at.insert(number, at);
        let leader = instance.known_term.map(|term| term.leader);
        let asks_deputy = leader.is_none() || instance.pacer.suspects_lender(time(at));
        let deputy = instance.deputy.filter(|_| asks_deputy);
        for lender in leader.into_iter().chain(deputy) {
            let wanted = wanted as u32;
            self.send(at, id, lender, SimMessage::Ask { number, wanted });
        }
    }

    fn monitor_deputy(&mut self, at: u64, id: usize) {
        let instance = &mut self.instances[id];
        let candidates = (0..INSTANCES).filter(|other| *other != id).map(address);
        let chosen = instance.monitor.choose(candidates, time(at));
        if let (Some(deputy), Some((token, _))) = (chosen, instance.own_term) {
            let confirmed = instance.monitor.confirmed();
            let sent = time(at);
            let message = SimMessage::Watch {
                token,
                sent,
                confirmed,
            };
            self.send(at, id, instance_at(deputy), message);
        }
    }

    /// Returns the times of all admissions.
    fn run(mut self) -> Vec<u64> {
        let load = RATE * (0.5 + self.random.unit() * 4.0);
        let mut next_fault = 2_000;
        for at in (0..RUN_MS).step_by(STEP_MS as usize) {
            if at >= next_fault {
                self.begin_fault(at);
                next_fault = at + 300 + self.random.below(2_500);
            }
            self.deliver(at);
            for id in 0..INSTANCES {
                if at < self.instances[id].frozen_until {
                    continue;
                }
                self.use_store(at, id);
                self.admit(at, id, load);
                match self.instances[id].leads_within(at, u64::MAX) {
                    true if at.is_multiple_of(100) => self.monitor_deputy(at, id),
                    true => {}
                    false => self.request_tokens(at, id),
                }
            }
        }
        self.admitted
    }
}

/// Guards against tokens that a former leader, its successor and their deputies lend for the same time.
/// The allowance is that of the soak: a tenth and 20 above the rate and burst.
#[test]
fn overlapping_terms() {
    let allowed = ((RATE * WINDOW_MS as f64 / 1_000.0 + RATE) * 1.1 + 20.0) as usize;
    let mut over = Vec::new();
    for seed in 0..500 {
        let admitted = SimFleet::new(seed).run();
        let windows = admitted
            .iter()
            .enumerate()
            .map(|(first, start)| admitted[first..].partition_point(|at| *at < start + WINDOW_MS));
        let most = windows.max().unwrap_or_default();
        if most > allowed {
            over.push((seed, most));
        }
    }
    assert!(
        over.is_empty(),
        "{} seeds over {allowed}: {over:?}",
        over.len()
    );
}
