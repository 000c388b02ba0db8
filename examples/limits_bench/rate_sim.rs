//! A simulated message layer and store around the rate shares of several instances.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklb::process::shares::holder::AdmissionAttempt;
use tamaracklb::process::shares::holder::AdmissionOutcome;
use tamaracklb::process::shares::incarnation::InstanceIncarnation;
use tamaracklb::process::shares::messages::ShareAction;
use tamaracklb::process::shares::messages::ShareMessage;
use tamaracklb::process::shares::messages::StoreAnswer;
use tamaracklb::process::shares::reconciler::ShareMember;
use tamaracklb::process::shares::settings::ShareSettings;
use tamaracklb::process::shares::shard::ShareShard;
use tamaracklb::process::shares::table::ShareTable;
use tamaracklb::process::shares::table::TeamLimit;
use tamaracklb::process::timers::MonotonicTime;
use tamaracklb::version::ids::BundleVersion;
use tamaracklb::version::ids::TeamId;
use tamaracklb::version::units::RequestBurst;
use tamaracklb::version::units::RequestRate;

pub const MS: u64 = 1_000_000;
pub const SECOND: u64 = 1000 * MS;

const TICK: u64 = 20 * MS;
const RETRY: u64 = 5 * MS;
const STORE_TIMEOUT: u64 = SECOND;
const HEARTBEAT: u64 = 200 * MS;
const JUDGED_DEAD: u64 = SECOND;
/// A lowered rate counts for the bound from this long after its bundle was accepted.
const BUNDLE_IN_FORCE: u64 = 3 * SECOND;

/// How many requests a team sends, and where.
#[derive(Debug, Clone, Copy)]
pub struct TeamLoad {
    pub rate: f64,
    /// The node that gets all of them, or `None` for an even spread over the live ones.
    pub node: Option<usize>,
}

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Arrival(usize, u64),
    Retry(usize),
    Deliver {
        from: InstanceIncarnation,
        from_node: usize,
        to: usize,
        message: ShareMessage,
    },
    StoreRun {
        node: usize,
        epoch: u64,
        call: ShareAction,
        answered: bool,
    },
    StoreAnswer {
        node: usize,
        epoch: u64,
        answer: StoreAnswer,
    },
    Heartbeats,
    Bundle(usize, usize),
    Restart(usize),
}

struct SimNode {
    shard: Option<ShareShard>,
    epoch: u64,
    frozen_until: u64,
    waiters: BTreeMap<usize, VecDeque<(u64, usize)>>,
    offset: u64,
    drift: f64,
    group: usize,
    store_cut: bool,
    leaving: bool,
    heard: BTreeMap<usize, (u64, ShareMember)>,
}

/// A token bucket that checks the bound or plays the single bucket of an ideal fleet.
#[derive(Debug, Clone)]
pub struct CheckBucket {
    level: f64,
    at: u64,
}

impl CheckBucket {
    pub fn new(burst: f64) -> Self {
        Self {
            level: burst,
            at: 0,
        }
    }

    pub fn advance(&mut self, now: u64, rate: f64, burst: f64) {
        self.level = (self.level + rate * (now - self.at) as f64 / 1e9).min(burst);
        self.at = now;
    }

    /// Takes a token, and returns false where that exceeds rate x time + burst over some window.
    pub fn charge(&mut self) -> bool {
        self.level -= 1.0;
        self.level >= -1e-6
    }

    pub fn try_charge(&mut self) -> bool {
        let enough = self.level >= 1.0;
        if enough {
            self.level -= 1.0;
        }
        enough
    }
}

struct SimTeam {
    id: TeamId,
    load: TeamLoad,
    load_epoch: u64,
    checker: CheckBucket,
    ideal: CheckBucket,
}

/// One request: when it came, whether the ideal bucket admits it, and what became of it.
#[derive(Debug, Clone, Copy)]
pub struct RequestTrace {
    pub team: usize,
    pub at: u64,
    pub ideal: bool,
    pub admitted: Option<bool>,
    pub waited: u64,
}

/// The share of requests refused although the ideal bucket admits them.
#[derive(Debug, Clone, Copy, Default)]
pub struct RefusalCount {
    pub offered: u64,
    pub admitted: u64,
    /// Requests that the ideal bucket admits.
    pub ideal: u64,
    pub wrongful: u64,
    pub wait_p99_ms: f64,
}

impl RefusalCount {
    /// Returns by how many fewer requests were admitted than by the ideal bucket.
    ///
    /// Above the rate, two equal buckets admit different requests as soon as their tokens differ by
    /// a part of one, so that single requests say little there.
    pub fn shortfall_percent(&self) -> f64 {
        100.0 * self.ideal.saturating_sub(self.admitted) as f64 / self.offered.max(1) as f64
    }

    pub fn percent(&self) -> f64 {
        100.0 * self.wrongful as f64 / self.offered.max(1) as f64
    }
}

/// Several instances that share rates, over simulated time.
pub struct RateSim {
    pub now: u64,
    pub loss: f64,
    pub duplicates: f64,
    pub late: f64,
    pub lost_answers: f64,
    pub store_down: bool,
    pub store_calls: u64,
    pub messages: u64,
    pub message_bytes: u64,
    pub violations: u64,
    pub requests: Vec<RequestTrace>,
    pub bundles: Vec<Vec<(f64, f64)>>,
    rng: ChaCha8Rng,
    settings: ShareSettings,
    nodes: Vec<SimNode>,
    teams: Vec<SimTeam>,
    bounds: Vec<(u64, Vec<(f64, f64)>)>,
    store: Option<(u64, Box<ShareTable>)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    seen: BTreeMap<usize, (usize, ShareMember)>,
    steady: u32,
}

impl RateSim {
    /// Starts instances in three zones; `limits` holds rate and burst of each team.
    pub fn new(nodes: usize, limits: &[(f64, f64)], settings: ShareSettings, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let teams = limits
            .iter()
            .enumerate()
            .map(|(index, &(_, burst))| SimTeam {
                id: format!("team-{index}").parse().expect("valid id"),
                load: TeamLoad {
                    rate: 0.0,
                    node: None,
                },
                load_epoch: 0,
                checker: CheckBucket::new(burst),
                ideal: CheckBucket::new(burst),
            })
            .collect();
        let nodes = (0..nodes)
            .map(|_| SimNode {
                shard: None,
                epoch: 0,
                frozen_until: 0,
                waiters: BTreeMap::new(),
                offset: rng.random_range(0..1000 * SECOND),
                drift: rng.random_range(-0.0001..0.0001),
                group: 0,
                store_cut: false,
                leaving: false,
                heard: BTreeMap::new(),
            })
            .collect::<Vec<_>>();
        let count = nodes.len();
        let mut sim = Self {
            now: 0,
            loss: 0.0,
            duplicates: 0.0,
            late: 0.0,
            lost_answers: 0.0,
            store_down: false,
            store_calls: 0,
            messages: 0,
            message_bytes: 0,
            violations: 0,
            requests: Vec::new(),
            bundles: vec![limits.to_vec()],
            rng,
            settings,
            nodes,
            teams,
            bounds: vec![(0, limits.to_vec())],
            store: None,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            seen: BTreeMap::new(),
            steady: 0,
        };
        for node in 0..count {
            sim.start(node);
        }
        sim.schedule(0, Event::Heartbeats);
        sim
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].shard.is_some()
    }

    pub fn shard(&self, node: usize) -> Option<&ShareShard> {
        self.nodes[node].shard.as_ref()
    }

    pub fn table(&self) -> Option<&ShareTable> {
        self.store.as_ref().map(|(_, table)| &**table)
    }

    /// Starts a process on a node that has none.
    pub fn start(&mut self, node: usize) {
        self.steady = 0;
        let seed = self.rng.random();
        let name = format!("instance-{node}").parse().expect("valid id");
        let shard = ShareShard::new("shard-0".to_owned(), name, self.settings.clone(), seed);
        let newest = self.bundles.len() - 1;
        let n = &mut self.nodes[node];
        n.shard = Some(shard);
        n.epoch += 1;
        n.frozen_until = 0;
        n.leaving = false;
        n.heard.clear();
        let epoch = n.epoch;
        self.apply_bundle(node, newest);
        let delay = self.rng.random_range(0..TICK);
        self.schedule(delay, Event::Tick(node, epoch));
    }

    /// Ends a process at once; its deferred requests are refused.
    pub fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.shard = None;
        n.epoch += 1;
        for (_, index) in std::mem::take(&mut n.waiters).into_values().flatten() {
            self.requests[index].admitted = Some(false);
        }
    }

    pub fn restart_after(&mut self, node: usize, delay: u64) {
        self.schedule(delay, Event::Restart(node));
    }

    /// Freezes a process; it handles nothing until the end and then everything that came,
    /// callers' requests first.
    pub fn freeze(&mut self, node: usize, duration: u64) {
        self.nodes[node].frozen_until = self.now + duration;
        self.schedule(duration, Event::Retry(node));
    }

    pub fn drain(&mut self, node: usize) {
        self.nodes[node].leaving = true;
        if let Some(shard) = &mut self.nodes[node].shard {
            shard.drain();
        }
    }

    /// Nodes of different groups cannot reach each other.
    pub fn set_group(&mut self, node: usize, group: usize) {
        self.nodes[node].group = group;
    }

    pub fn set_store_cut(&mut self, node: usize, cut: bool) {
        self.nodes[node].store_cut = cut;
    }

    pub fn set_load(&mut self, team: usize, load: TeamLoad) {
        self.teams[team].load = load;
        self.teams[team].load_epoch += 1;
        self.next_arrival(team);
    }

    /// Accepts a bundle, which reaches the nodes one after the other within 2.5 s.
    pub fn accept_bundle(&mut self, limits: &[(f64, f64)]) {
        self.bundles.push(limits.to_vec());
        self.bounds.push((self.now, limits.to_vec()));
        let bundle = self.bundles.len() - 1;
        for node in 0..self.nodes.len() {
            let delay = self.rng.random_range(0..2500 * MS);
            self.schedule(delay, Event::Bundle(node, bundle));
        }
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: u64) {
        while let Some(&Reverse((at, id))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Counts the requests that arrived in a window; call it once they are decided.
    pub fn count(&self, team: usize, from: u64, to: u64) -> RefusalCount {
        let mut count = RefusalCount::default();
        let mut waits = Vec::new();
        for request in self.requests.iter().filter(|r| r.team == team) {
            if request.at < from || request.at >= to {
                continue;
            }
            count.offered += 1;
            let admitted = request.admitted == Some(true);
            count.admitted += u64::from(admitted);
            count.ideal += u64::from(request.ideal);
            count.wrongful += u64::from(request.ideal && !admitted);
            if admitted {
                waits.push(request.waited);
            }
        }
        waits.sort_unstable();
        let rank = waits.len() * 99 / 100;
        count.wait_p99_ms = waits.get(rank).map_or(0.0, |&wait| wait as f64 / MS as f64);
        count
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn local(&self, node: usize) -> MonotonicTime {
        let n = &self.nodes[node];
        MonotonicTime::from_nanos(n.offset + (self.now as f64 * (1.0 + n.drift)) as u64)
    }

    fn frozen(&self, node: usize) -> Option<u64> {
        let until = self.nodes[node].frozen_until;
        (until > self.now).then(|| until - self.now)
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node, _) | Event::Retry(node) | Event::Bundle(node, _) => Some(*node),
            Event::Deliver { to, .. } => Some(*to),
            Event::StoreAnswer { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(delay) = node.and_then(|node| self.frozen(node)) {
            return self.schedule(delay, event);
        }
        match event {
            Event::Tick(node, epoch) => self.tick(node, epoch),
            Event::Arrival(team, epoch) => self.arrival(team, epoch),
            Event::Retry(node) => self.retry_all(node),
            Event::Deliver {
                from,
                from_node,
                to,
                message,
            } => {
                if self.nodes[from_node].group != self.nodes[to].group {
                    return;
                }
                let now = self.local(to);
                let mut actions = Vec::new();
                if let Some(shard) = &mut self.nodes[to].shard {
                    shard.on_message(&from, message, now, &mut actions);
                }
                self.perform(to, actions);
            }
            Event::StoreRun {
                node,
                epoch,
                call,
                answered,
            } => {
                self.run_store(node, epoch, call, answered);
            }
            Event::StoreAnswer {
                node,
                epoch,
                answer,
            } => {
                let now = self.local(node);
                let mut actions = Vec::new();
                if self.nodes[node].epoch == epoch
                    && let Some(shard) = &mut self.nodes[node].shard
                {
                    shard.on_store(answer, now, &mut actions);
                }
                self.perform(node, actions);
            }
            Event::Heartbeats => self.heartbeats(),
            Event::Bundle(node, bundle) => self.apply_bundle(node, bundle),
            Event::Restart(node) => {
                if self.nodes[node].shard.is_none() {
                    self.start(node);
                }
            }
        }
    }

    fn tick(&mut self, node: usize, epoch: u64) {
        if self.nodes[node].epoch != epoch {
            return;
        }
        let now = self.local(node);
        let mut actions = Vec::new();
        if let Some(shard) = &mut self.nodes[node].shard {
            shard.tick(now, &mut actions);
        }
        self.perform(node, actions);
        self.schedule(TICK, Event::Tick(node, epoch));
    }

    fn apply_bundle(&mut self, node: usize, bundle: usize) {
        let now = self.local(node);
        let limits = self
            .teams
            .iter()
            .zip(&self.bundles[bundle])
            .map(|(team, &(rate, burst))| {
                let limit = TeamLimit {
                    rate: RequestRate(rate),
                    burst: RequestBurst(burst),
                };
                (team.id.clone(), limit)
            });
        let limits = limits.collect();
        if let Some(shard) = &mut self.nodes[node].shard {
            shard.set_bundle(BundleVersion(bundle as u64 + 1), limits, now);
        }
    }

    fn heartbeats(&mut self) {
        let mut seen = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if let Some(shard) = &node.shard
                && node.frozen_until <= self.now
            {
                let member = ShareMember {
                    incarnation: shard.incarnation().clone(),
                    zone: format!("zone-{}", index % 3).parse().expect("valid id"),
                    leaving: node.leaving,
                };
                seen.insert(index, (node.group, member));
            }
        }
        self.steady = if seen == self.seen {
            self.steady + 1
        } else {
            0
        };
        self.seen = seen.clone();
        if self.steady > 6 {
            // Nothing changed for longer than a silent node stays in a list.
            return self.schedule(HEARTBEAT, Event::Heartbeats);
        }
        let now = self.now;
        for node in &mut self.nodes {
            for (&index, (group, member)) in &seen {
                if *group == node.group {
                    node.heard.insert(index, (now, member.clone()));
                }
            }
            node.heard.retain(|_, (at, _)| now - *at < JUDGED_DEAD);
            let members = node
                .heard
                .values()
                .map(|(_, member)| member.clone())
                .collect();
            if let Some(shard) = &mut node.shard {
                shard.set_members(members);
            }
        }
        self.schedule(HEARTBEAT, Event::Heartbeats);
    }

    fn next_arrival(&mut self, team: usize) {
        let t = &self.teams[team];
        let epoch = t.load_epoch;
        if t.load.rate > 0.0 {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / t.load.rate;
            self.schedule((gap * 1e9) as u64, Event::Arrival(team, epoch));
        }
    }

    fn arrival(&mut self, team: usize, epoch: u64) {
        if self.teams[team].load_epoch != epoch {
            return;
        }
        self.next_arrival(team);
        let live = (0..self.nodes.len())
            .filter(|&n| self.nodes[n].shard.is_some() && !self.nodes[n].leaving)
            .collect::<Vec<_>>();
        let node = match self.teams[team].load.node {
            Some(node) => node,
            None if live.is_empty() => return,
            None => live[self.rng.random_range(0..live.len())],
        };
        let (rate, burst) = self.bundles[self.bundles.len() - 1][team];
        let t = &mut self.teams[team];
        t.ideal.advance(self.now, rate, burst);
        let ideal = t.ideal.try_charge();
        let index = self.requests.len();
        self.requests.push(RequestTrace {
            team,
            at: self.now,
            ideal,
            admitted: None,
            waited: 0,
        });
        if self.nodes[node].shard.is_none() {
            self.requests[index].admitted = Some(false);
        } else if self.frozen(node).is_some() {
            // The request lies in the socket and counts as new when the process goes on.
            let delay = self.nodes[node].frozen_until - self.now;
            self.nodes[node]
                .waiters
                .entry(team)
                .or_default()
                .push_back((self.now, index));
            self.schedule(delay, Event::Retry(node));
        } else {
            self.admit(node, team, index);
        }
    }

    fn admit(&mut self, node: usize, team: usize, index: usize) {
        let now = self.local(node);
        let mut actions = Vec::new();
        let Some(shard) = &mut self.nodes[node].shard else {
            return;
        };
        let answer = shard.admit(
            &self.teams[team].id,
            AdmissionAttempt::First,
            now,
            &mut actions,
        );
        match answer {
            AdmissionOutcome::Admitted => self.admitted(team, index),
            AdmissionOutcome::Refused => self.requests[index].admitted = Some(false),
            AdmissionOutcome::Deferred => {
                let waiters = self.nodes[node].waiters.entry(team).or_default();
                waiters.push_back((self.now, index));
                if waiters.len() == 1 {
                    self.schedule(RETRY, Event::Retry(node));
                }
            }
        }
        self.perform(node, actions);
    }

    fn admitted(&mut self, team: usize, index: usize) {
        let (rate, burst) = self.bound(team);
        let t = &mut self.teams[team];
        t.checker.advance(self.now, rate, burst);
        self.violations += u64::from(!t.checker.charge());
        let request = &mut self.requests[index];
        request.admitted = Some(true);
        request.waited = self.now - request.at;
    }

    /// Returns the highest limit that may still be in force somewhere.
    fn bound(&self, team: usize) -> (f64, f64) {
        let mut bound = (0.0_f64, 0.0_f64);
        for (index, (_, limits)) in self.bounds.iter().enumerate() {
            let replaced = self.bounds.get(index + 1).map(|(at, _)| *at);
            if replaced.is_none_or(|at| self.now < at + BUNDLE_IN_FORCE) {
                bound = (bound.0.max(limits[team].0), bound.1.max(limits[team].1));
            }
        }
        bound
    }

    fn retry_all(&mut self, node: usize) {
        let teams = self.nodes[node].waiters.keys().copied().collect::<Vec<_>>();
        for team in teams {
            self.retry(node, team);
        }
        if self.nodes[node].waiters.values().any(|w| !w.is_empty()) {
            self.schedule(RETRY, Event::Retry(node));
        }
    }

    fn retry(&mut self, node: usize, team: usize) {
        let max = self.settings.max_defer.as_nanos() as u64;
        loop {
            let now = self.local(node);
            let head = self.nodes[node]
                .waiters
                .get(&team)
                .and_then(|w| w.front())
                .copied();
            let (Some((since, index)), Some(shard)) = (head, &mut self.nodes[node].shard) else {
                return;
            };
            let mut actions = Vec::new();
            let id = &self.teams[team].id;
            let mut answer = shard.admit(id, AdmissionAttempt::Again, now, &mut actions);
            if answer == AdmissionOutcome::Deferred && self.now - since >= max {
                shard.cancel_deferred(id);
                answer = AdmissionOutcome::Refused;
            }
            self.perform_without_wake(node, actions);
            if answer == AdmissionOutcome::Deferred {
                return;
            }
            if let Some(waiters) = self.nodes[node].waiters.get_mut(&team) {
                waiters.pop_front();
            }
            match answer {
                AdmissionOutcome::Admitted => self.admitted(team, index),
                _ => self.requests[index].admitted = Some(false),
            }
        }
    }

    fn perform(&mut self, node: usize, actions: Vec<ShareAction>) {
        let wakes = actions.iter().filter_map(|action| match action {
            ShareAction::Wake(team) => Some(team.clone()),
            _ => None,
        });
        let wakes = wakes.collect::<BTreeSet<_>>();
        self.perform_without_wake(node, actions);
        for id in wakes {
            if let Some(team) = self.teams.iter().position(|team| team.id == id) {
                self.retry(node, team);
            }
        }
    }

    fn perform_without_wake(&mut self, node: usize, actions: Vec<ShareAction>) {
        for action in actions {
            match action {
                ShareAction::Send { to, message } => self.send(node, to.as_str(), message),
                ShareAction::Wake(_) => {}
                call => self.call_store(node, call),
            }
        }
    }

    fn send(&mut self, node: usize, to: &str, message: ShareMessage) {
        let to = to
            .strip_prefix("instance-")
            .and_then(|n| n.parse().ok())
            .expect("known instance");
        let Some(shard) = &self.nodes[node].shard else {
            return;
        };
        let from = shard.incarnation().clone();
        self.messages += 1;
        self.message_bytes += postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len() as u64);
        let copies = 1 + usize::from(self.rng.random_bool(self.duplicates));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let base = if node % 3 == to % 3 {
                200_000
            } else {
                1_500_000
            };
            let mut delay = base + self.rng.random_range(0..300_000);
            if self.rng.random_bool(self.late) {
                delay += self.rng.random_range(0..2 * SECOND);
            }
            let message = message.clone();
            let from = from.clone();
            self.schedule(
                delay,
                Event::Deliver {
                    from,
                    from_node: node,
                    to,
                    message,
                },
            );
        }
    }

    fn call_store(&mut self, node: usize, call: ShareAction) {
        self.store_calls += 1;
        let epoch = self.nodes[node].epoch;
        let unreachable = self.store_down || self.nodes[node].store_cut;
        let lost = self.rng.random_bool(self.lost_answers);
        if unreachable || lost {
            let answer = StoreAnswer::Unknown;
            self.schedule(
                STORE_TIMEOUT,
                Event::StoreAnswer {
                    node,
                    epoch,
                    answer,
                },
            );
        }
        if !unreachable {
            // A call whose answer is lost may also take effect after its caller gave up.
            let late = lost && self.rng.random_bool(0.3);
            let delay = if late { 3 * SECOND } else { 2 * MS };
            self.schedule(
                delay,
                Event::StoreRun {
                    node,
                    epoch,
                    call,
                    answered: !lost,
                },
            );
        }
    }

    fn run_store(&mut self, node: usize, epoch: u64, call: ShareAction, answered: bool) {
        let revision = self.store.as_ref().map_or(0, |(revision, _)| *revision);
        let answer = match call {
            ShareAction::Write {
                expected_revision,
                table,
            } => {
                if expected_revision == revision {
                    self.store = Some((revision + 1, table));
                    StoreAnswer::Written {
                        revision: revision + 1,
                    }
                } else {
                    StoreAnswer::Conflict
                }
            }
            _ => StoreAnswer::Value(self.store.clone()),
        };
        if answered {
            self.schedule(
                2 * MS,
                Event::StoreAnswer {
                    node,
                    epoch,
                    answer,
                },
            );
        }
    }
}
