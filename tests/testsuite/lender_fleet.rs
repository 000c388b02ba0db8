//! Simulates instances that lend and borrow tokens, with a store and datagrams that fail.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session_core::ids::TeamId;
use session_core::lender_roster::LenderRoster;
use session_core::lender_table::LenderTable;
use session_core::lending_right::LendingRight;
use session_core::lending_right::RightAnswer;
use session_core::lending_right::RightRenewal;
use session_core::lending_right::SeenLeadership;
use session_core::loan_book::LoanBook;
use session_core::monotonic_time::MonotonicTime;
use session_core::rate_lender::RateLender;
use session_core::rate_lender::TOKEN_USE_TIME;
use session_core::serving_rules::TeamLimit;

/// Simulated time between two steps.
pub const STEP_MS: u64 = 5;

const LEASE_MS: u64 = 1_500;
const MARGIN_MS: u64 = 400;
const TOKEN_WAIT_MS: u64 = 40;

/// A fault or a planned action.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FleetFault {
    /// The instance reaches neither the store nor other instances.
    Cut(usize, u64),
    /// The instance does not reach the store.
    StoreCut(usize, u64),
    /// The instance is suspended.
    Frozen(usize, u64),
    /// The instance is killed and restarted after this time.
    Killed(usize, u64),
    /// The instance is stopped and restarted after this time.
    Stopped(usize, u64),
    /// The store answers nobody. Leases do not end early.
    StoreSilent(u64),
    /// The leader ends its lease.
    HandedOver,
    /// Datagrams are delayed by up to 2 s, lost or duplicated.
    LateDatagrams(u64),
}

#[derive(Debug, Clone)]
enum Datagram {
    Ask(u64, u32),
    Lend(u64, u32),
    Renewal(RightRenewal),
    Answer(u64, RightAnswer),
}

struct TableWrite {
    due: u64,
    token: u64,
    known: u64,
    table: LenderTable,
}

struct Process {
    right: LendingRight,
    lender: RateLender,
    book: LoanBook,
    waiting: Vec<u64>,
    term: Option<(u64, u64)>,
    roster: Option<LenderRoster>,
    seen_leader: Option<(usize, u64)>,
    seen_table: Option<(LenderTable, u64)>,
    table_seen_at: u64,
    synced_at: Option<u64>,
    clock_ms: u64,
    down_until: u64,
    frozen_until: u64,
    cut_until: u64,
    store_cut_until: u64,
    stopping_at: Option<u64>,
}

impl Process {
    fn renew(&mut self, renewal: &RightRenewal, now: u64) -> Option<RightAnswer> {
        let at = MonotonicTime::from_millis(now + self.clock_ms);
        let seen = SeenLeadership {
            leader: self.seen_leader.map(|(_, token)| token),
            table_revision: self
                .seen_table
                .as_ref()
                .map_or(0, |(_, revision)| *revision),
            synced_at: MonotonicTime::from_millis(self.synced_at? + self.clock_ms),
        };
        let answer = self.right.renew(renewal, &seen, at)?;
        self.lender.set_right(self.right.ends(), at);
        let seen = self.seen_table.as_ref().map(|(_, revision)| *revision);
        if seen == Some(renewal.table_revision) {
            let since = MonotonicTime::from_millis(self.table_seen_at + self.clock_ms);
            self.lender.start_from(since);
        }
        Some(answer)
    }
}

/// What happened in a run.
#[derive(Debug, Default)]
pub struct FleetOutcome {
    /// Times in ms at which operations ran.
    pub ran: Vec<u64>,
    /// Times in ms at which operations were refused.
    pub refused: Vec<u64>,
    /// Number of elections.
    pub elections: usize,
    /// First time at which two processes had the right to the same part.
    pub shared_part_at: Option<u64>,
}

/// A fleet of instances in simulated time.
pub struct LenderFleet {
    limit: TeamLimit,
    team: TeamId,
    random: ChaCha8Rng,
    processes: Vec<Process>,
    net: Vec<(u64, usize, usize, Datagram)>,
    leader: Option<(usize, u64, u64)>,
    table: Option<(LenderTable, u64)>,
    writes: Vec<TableWrite>,
    revision: u64,
    store_silent_until: u64,
    late_until: u64,
    incarnation: u64,
    /// Whether operations use their tokens as late as they may.
    pub hoards: bool,
    /// What has happened so far.
    pub outcome: FleetOutcome,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1_000
}

impl LenderFleet {
    /// Creates a fleet of `count` instances and one team.
    pub fn new(count: usize, limit: TeamLimit, seed: u64) -> Self {
        let mut fleet = Self {
            limit,
            team: "team".parse().expect("the name is valid"),
            random: ChaCha8Rng::seed_from_u64(seed),
            processes: Vec::new(),
            net: Vec::new(),
            leader: None,
            table: None,
            writes: Vec::new(),
            revision: 10,
            store_silent_until: 0,
            late_until: 0,
            incarnation: 0,
            hoards: false,
            outcome: FleetOutcome::default(),
        };
        for _ in 0..count {
            let clock_ms = fleet.random.random_range(10_000..900_000);
            let process = fleet.start_process(0, clock_ms);
            fleet.processes.push(process);
        }
        fleet
    }

    fn start_process(&mut self, at: u64, clock_ms: u64) -> Process {
        self.incarnation += 1;
        Process {
            right: LendingRight::new(MonotonicTime::from_millis(at + clock_ms)),
            lender: RateLender::default(),
            book: LoanBook::new((self.incarnation << 32) + self.random.random_range(0..997)),
            waiting: Vec::new(),
            term: None,
            roster: None,
            seen_leader: None,
            seen_table: None,
            table_seen_at: 0,
            synced_at: None,
            clock_ms,
            down_until: at,
            frozen_until: 0,
            cut_until: 0,
            store_cut_until: 0,
            stopping_at: None,
        }
    }

    /// Returns the index of the leader in the store.
    pub fn leader(&self) -> Option<usize> {
        self.leader.map(|(leader, ..)| leader)
    }

    /// Injects a fault at `now`.
    pub fn inject(&mut self, fault: FleetFault, now: u64) {
        match fault {
            FleetFault::Cut(i, time) => self.processes[i].cut_until = now + time,
            FleetFault::StoreCut(i, time) => self.processes[i].store_cut_until = now + time,
            FleetFault::Frozen(i, time) => self.processes[i].frozen_until = now + time,
            FleetFault::Killed(i, time) => self.restart(i, now, time),
            FleetFault::Stopped(i, time) => {
                self.processes[i].stopping_at.get_or_insert(now + time);
            }
            FleetFault::StoreSilent(time) => self.store_silent_until = now + time,
            FleetFault::HandedOver => {
                if let Some((leader, ..)) = self.leader.take() {
                    self.processes[leader].term = None;
                }
            }
            FleetFault::LateDatagrams(time) => self.late_until = now + time,
        }
    }

    fn restart(&mut self, i: usize, now: u64, pause: u64) {
        let former = &self.processes[i];
        let (clock_ms, cut, store_cut) =
            (former.clock_ms, former.cut_until, former.store_cut_until);
        self.outcome.refused.extend(&self.processes[i].waiting);
        let mut process = self.start_process(now + pause, clock_ms);
        process.cut_until = cut;
        process.store_cut_until = store_cut;
        self.processes[i] = process;
    }

    /// Simulates the step at `now`, in which these numbers of operations arrive at each instance.
    pub fn step(&mut self, now: u64, arrivals: &[usize]) {
        self.step_store(now);
        let (due, rest) = self.net.drain(..).partition(|(at, ..)| *at <= now);
        self.net = rest;
        let due: Vec<(u64, usize, usize, Datagram)> = due;
        for (_, from, to, datagram) in due {
            self.deliver(now, from, to, datagram);
        }
        for (i, count) in arrivals.iter().enumerate() {
            self.step_process(now, i, *count);
        }
        self.check_parts(now);
    }

    fn step_store(&mut self, now: u64) {
        // Leases last longer while the store is silent.
        if now < self.store_silent_until {
            return;
        }
        if self.leader.is_some_and(|(_, _, ends_at)| now >= ends_at) {
            self.leader = None;
        }
        let (due, rest) = self.writes.drain(..).partition(|write| write.due <= now);
        self.writes = rest;
        let due: Vec<TableWrite> = due;
        for write in due {
            let leads = self
                .leader
                .is_some_and(|(_, token, _)| token == write.token);
            let known = self.table.as_ref().map(|(_, revision)| *revision);
            if leads && known == Some(write.known) {
                self.revision += 1;
                self.table = Some((write.table, self.revision));
            }
        }
    }

    fn deliver(&mut self, now: u64, from: usize, to: usize, datagram: Datagram) {
        let team = self.team.clone();
        let limit = self.limit;
        let process = &mut self.processes[to];
        if now < process.down_until || now < process.cut_until {
            return;
        }
        if now < process.frozen_until {
            let at = process.frozen_until;
            self.net.push((at, from, to, datagram));
            return;
        }
        let at = MonotonicTime::from_millis(now + process.clock_ms);
        let answer = match datagram {
            Datagram::Ask(number, wanted) => {
                process.lender.set_right(process.right.ends(), at);
                let lent = process.lender.lend(&team, &limit, f64::from(wanted), at);
                Some(Datagram::Lend(number, lent as u32))
            }
            Datagram::Lend(number, lent) => {
                let lenders = process.seen_table.as_ref();
                let count = lenders.map_or(1, |(table, _)| table.lenders().len());
                process
                    .book
                    .record_grant(number, &[(team, lent)], count, at);
                None
            }
            Datagram::Renewal(renewal) => {
                if process.stopping_at.is_some() {
                    process.right.give_up();
                }
                let answer = process.renew(&renewal, now);
                answer.map(|answer| Datagram::Answer(renewal.token, answer))
            }
            Datagram::Answer(token, answer) => {
                let roster = process.roster.as_mut().filter(|r| r.token() == token);
                let first = roster.is_some_and(|r| r.record_answer(address(from), answer, at));
                first.then(|| self.renewal(now, to, from)).flatten()
            }
        };
        if let Some(answer) = answer {
            self.send(now, to, from, answer);
        }
    }

    fn send(&mut self, now: u64, from: usize, to: usize, datagram: Datagram) {
        if now < self.processes[from].cut_until {
            return;
        }
        let late = now < self.late_until;
        let copies = match late {
            true => self.random.random_range(0..3),
            false => 1,
        };
        for _ in 0..copies {
            let delay = match late && self.random.random_bool(0.5) {
                true => self.random.random_range(1..2_000),
                false => self.random.random_range(1..8),
            };
            self.net.push((now + delay, from, to, datagram.clone()));
        }
    }

    fn step_process(&mut self, now: u64, i: usize, arrivals: usize) {
        let process = &mut self.processes[i];
        if now < process.down_until || now < process.frozen_until {
            return;
        }
        if process.stopping_at.is_some_and(|at| now >= at) {
            self.restart(i, now, 500);
            return;
        }
        if now.is_multiple_of(50) {
            self.follow_store(now, i);
        }
        if (now + i as u64 * STEP_MS).is_multiple_of(200) {
            self.renew_rights(now, i);
        }
        self.admit(now, i, arrivals);
    }

    fn follow_store(&mut self, now: u64, i: usize) {
        let process = &mut self.processes[i];
        let reaches = now >= process.cut_until && now >= process.store_cut_until;
        if !reaches || now < self.store_silent_until {
            return;
        }
        if let Some((token, _)) = process.term
            && now.is_multiple_of(400)
        {
            process.term = match &mut self.leader {
                Some((_, current, ends_at)) if *current == token => {
                    *ends_at = now + LEASE_MS;
                    Some((token, now))
                }
                _ => None,
            };
        }
        let own_former = |(leader, token, _): (usize, u64, u64)| {
            leader == i && process.term.is_none_or(|(own, _)| own != token)
        };
        let vacant = self.leader.is_none_or(own_former) && process.stopping_at.is_none();
        // The view is as old as the last step; an outdated one lets the election fail.
        let current = process.seen_table == self.table;
        if vacant && current && self.random.random_bool(0.25) {
            self.elect(now, i);
        }
        let process = &mut self.processes[i];
        process.synced_at = Some(now);
        process.seen_leader = self.leader.map(|(leader, token, _)| (leader, token));
        if process.seen_table != self.table {
            process.seen_table = self.table.clone();
            process.table_seen_at = now;
        }
    }

    fn elect(&mut self, now: u64, i: usize) {
        self.revision += 1;
        self.outcome.elections += 1;
        let token = self.revision;
        self.leader = Some((i, token, now + LEASE_MS));
        if self.table.is_none() {
            let mut members = self.candidates(now, i);
            members.push(address(i));
            let table = LenderTable::new(&members, address(i));
            self.table = Some((table, token));
        }
        let (table, table_revision) = self.table.clone().expect("there is a table");
        let process = &mut self.processes[i];
        let at = MonotonicTime::from_millis(now + process.clock_ms);
        process.term = Some((token, now));
        process.synced_at = Some(now);
        process.seen_leader = Some((i, token));
        if process.seen_table.as_ref().map(|(_, revision)| *revision) != Some(table_revision) {
            process.seen_table = Some((table.clone(), table_revision));
            process.table_seen_at = now;
        }
        process.roster = Some(LenderRoster::new(token, table, table_revision, at));
        self.renew_rights(now, i);
    }

    fn renewal(&self, now: u64, i: usize, to: usize) -> Option<Datagram> {
        let process = &self.processes[i];
        let at = MonotonicTime::from_millis(now + process.clock_ms);
        let (_, renewed_at) = process.term?;
        let lease_age = Duration::from_millis(now - renewed_at);
        let renewals = process.roster.as_ref()?.renewals(lease_age, at);
        let renewal = renewals
            .into_iter()
            .find(|(lender, _)| *lender == address(to))?;
        Some(Datagram::Renewal(renewal.1))
    }

    fn candidates(&self, now: u64, own: usize) -> Vec<SocketAddr> {
        let running = |i: &usize| now >= self.processes[*i].down_until && *i != own;
        (0..self.processes.len())
            .filter(running)
            .map(address)
            .collect()
    }

    fn renew_rights(&mut self, now: u64, i: usize) {
        let candidates = self.candidates(now, i);
        let process = &mut self.processes[i];
        let (Some((token, renewed_at)), Some(roster)) = (process.term, &mut process.roster) else {
            return;
        };
        let at = MonotonicTime::from_millis(now + process.clock_ms);
        if let Some((table, revision)) = &process.seen_table
            && *revision > token
        {
            roster.set_table(table.clone(), *revision);
        }
        let leads = now - renewed_at < LEASE_MS - MARGIN_MS;
        if leads && let Some((_, known)) = &process.seen_table {
            let planned = roster.plan_table(address(i), &candidates, at);
            if let Some(table) = planned {
                let slow = self.random.random_bool(0.2);
                let delay = if slow { 3_000 } else { 20 };
                self.writes.push(TableWrite {
                    due: now + delay,
                    token,
                    known: *known,
                    table,
                });
            }
        }
        let lease_age = Duration::from_millis(now - renewed_at);
        let mut renewals = roster.renewals(lease_age, at);
        if let Some(own) = renewals.iter().position(|(to, _)| *to == address(i)) {
            let (_, renewal) = renewals.remove(own);
            let confirmed = Some(at);
            let renewal = RightRenewal {
                confirmed,
                ..renewal
            };
            if process.stopping_at.is_some() {
                process.right.give_up();
            }
            let answer = process.renew(&renewal, now);
            if let (Some(answer), Some(roster)) = (answer, &mut process.roster) {
                roster.record_answer(address(i), answer, at);
            }
        }
        for (to, renewal) in renewals {
            self.send(now, i, index(to), Datagram::Renewal(renewal));
        }
    }

    fn admit(&mut self, now: u64, i: usize, arrivals: usize) {
        let process = &mut self.processes[i];
        let at = MonotonicTime::from_millis(now + process.clock_ms);
        for _ in 0..arrivals {
            process.waiting.push(now);
            process.book.record_demand(&self.team, at);
            process.book.begin_wait(&self.team, at);
        }
        process.lender.set_right(process.right.ends(), at);
        while let Some(arrived) = process.waiting.first().copied() {
            let taken = process.book.take(&self.team, at).is_some()
                || process.lender.lend(&self.team, &self.limit, 1.0, at) >= 1.0;
            if !taken && now < arrived + TOKEN_WAIT_MS {
                break;
            }
            process.waiting.remove(0);
            process.book.end_wait(&self.team, at);
            let hoards = self.hoards && self.random.random_bool(0.5);
            let use_time = TOKEN_USE_TIME.as_millis() as u64;
            match taken {
                true => self
                    .outcome
                    .ran
                    .push(now + if hoards { use_time } else { 0 }),
                false => self.outcome.refused.push(now),
            }
        }
        let due = !process.waiting.is_empty() || (now + i as u64 * STEP_MS).is_multiple_of(200);
        if let Some((table, _)) = process.seen_table.as_ref().filter(|_| due) {
            let mut lenders = table.lenders();
            lenders.retain(|lender| *lender != address(i));
            for request in process.book.create_requests(&lenders, at) {
                let wanted = request.wanted.iter().map(|(_, tokens)| tokens).sum();
                let ask = Datagram::Ask(request.number, wanted);
                self.send(now, i, index(request.lender), ask);
            }
        }
    }

    /// Records when two processes may lend the same part.
    fn check_parts(&mut self, now: u64) {
        let mut holders = [0; session_core::lender_table::PART_COUNT];
        for process in self.processes.iter().filter(|p| now >= p.down_until) {
            let at = MonotonicTime::from_millis(now + process.clock_ms);
            for (part, end) in process.right.ends().iter().enumerate() {
                holders[part] += usize::from(*end > at);
            }
        }
        if holders.iter().any(|count| *count > 1) {
            self.outcome.shared_part_at.get_or_insert(now);
        }
    }
}
