//! A simulation of several instances that share rates, with their messages and their store. Times
//! are in ns.

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

/// One millisecond of simulated time.
pub const MS: u64 = 1_000_000;

/// One second of simulated time.
pub const SECOND: u64 = 1000 * MS;

const TICK_INTERVAL: u64 = 20 * MS;
const RETRY_INTERVAL: u64 = 5 * MS;
const STORE_TIMEOUT: u64 = SECOND;
const HEARTBEAT_INTERVAL: u64 = 200 * MS;

/// Time after the last heartbeat of an instance until its peers remove it from their members.
const MEMBER_TIMEOUT: u64 = SECOND;

/// Time after a bundle was accepted for which the limits of the previous one may still be in force.
const BUNDLE_PROPAGATION_TIME: u64 = 3 * SECOND;

/// Load of a team.
#[derive(Debug, Clone, Copy)]
pub struct TeamLoad {
    /// Requests per second.
    pub rate: f64,
    /// Node that receives all requests, or `None` to spread them evenly over the live nodes.
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
    /// Start of waiting and index of the deferred requests, by team.
    waiters: BTreeMap<usize, VecDeque<(u64, usize)>>,
    /// Start of the node's clock.
    offset: u64,
    /// Relative rate error of the node's clock.
    drift: f64,
    /// Network partition of the node.
    group: usize,
    store_cut: bool,
    leaving: bool,
    /// Last heartbeats of all nodes: when they were received, and the member that they announced.
    heartbeats: BTreeMap<usize, (u64, ShareMember)>,
}

/// A token bucket that checks the fleet's limit, or serves as the single bucket of an ideal fleet.
#[derive(Debug, Clone)]
pub struct CheckBucket {
    level: f64,
    at: u64,
}

impl CheckBucket {
    /// Creates a full bucket.
    pub fn new(burst: f64) -> Self {
        Self {
            level: burst,
            at: 0,
        }
    }

    /// Refills the bucket up to `now`, at most to `burst`.
    pub fn advance(&mut self, now: u64, rate: f64, burst: f64) {
        self.level = (self.level + rate * (now - self.at) as f64 / 1e9).min(burst);
        self.at = now;
    }

    /// Takes a token, even if there is none. Returns false if the tokens taken in some window
    /// exceed rate x time + burst.
    pub fn charge(&mut self) -> bool {
        self.level -= 1.0;
        self.level >= -1e-6
    }

    /// Takes a token if there is one, and returns whether it did.
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

/// A request and its outcome.
#[derive(Debug, Clone, Copy)]
pub struct RequestTrace {
    /// Index of the team.
    pub team: usize,
    /// Arrival time.
    pub at: u64,
    /// Whether the ideal bucket admits the request.
    pub ideal: bool,
    /// Whether the request was admitted; `None` while it is undecided.
    pub admitted: Option<bool>,
    /// Waiting time of an admitted request.
    pub waited: u64,
}

/// Counts of admitted and refused requests, compared with the ideal bucket.
#[derive(Debug, Clone, Copy, Default)]
pub struct RefusalCount {
    /// Number of requests that arrived.
    pub offered: u64,
    /// Number of requests that were admitted.
    pub admitted: u64,
    /// Number of requests that the ideal bucket admits.
    pub ideal: u64,
    /// Number of requests that were not admitted although the ideal bucket admits them.
    pub wrongful: u64,
    /// 99th percentile of the waiting time of admitted requests, in ms.
    pub wait_p99_ms: f64,
}

impl RefusalCount {
    /// Returns how many fewer requests were admitted than the ideal bucket admits, as a percentage
    /// of the offered requests.
    ///
    /// Above the rate, two equal buckets admit different requests as soon as their levels differ by
    /// a fraction of a token. Comparing the totals is more meaningful there than comparing single
    /// requests.
    pub fn shortfall_percent(&self) -> f64 {
        100.0 * self.ideal.saturating_sub(self.admitted) as f64 / self.offered.max(1) as f64
    }

    /// Returns the percentage of offered requests that were wrongly refused.
    pub fn wrongful_percent(&self) -> f64 {
        100.0 * self.wrongful as f64 / self.offered.max(1) as f64
    }
}

/// Several instances (nodes) that share rates.
pub struct RateSim {
    /// Simulated time since the start.
    pub now: u64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is sent twice.
    pub duplicates: f64,
    /// Probability that a message is delayed by up to 2 s.
    pub late: f64,
    /// Probability that the answer to a store call is lost.
    pub lost_answers: f64,
    /// Whether the store is unreachable for all nodes.
    pub store_down: bool,
    /// Number of calls to the store.
    pub store_calls: u64,
    /// Number of messages between nodes.
    pub messages: u64,
    /// Encoded size of these messages.
    pub message_bytes: u64,
    /// Number of requests that were admitted beyond a team's limit.
    pub violations: u64,
    /// All requests, in order of arrival.
    pub requests: Vec<RequestTrace>,
    /// Rate and burst of each team in each accepted bundle.
    pub bundles: Vec<Vec<(f64, f64)>>,
    rng: ChaCha8Rng,
    settings: ShareSettings,
    nodes: Vec<SimNode>,
    teams: Vec<SimTeam>,
    /// Limits of the accepted bundles, with the time of acceptance.
    limit_history: Vec<(u64, Vec<(f64, f64)>)>,
    /// Revision and table in the store.
    store: Option<(u64, Box<ShareTable>)>,
    /// Time and id of the scheduled events.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    /// Group and announced member of each live node at the last heartbeat.
    last_members: BTreeMap<usize, (usize, ShareMember)>,
    /// Number of successive heartbeats without a change of the members.
    unchanged_heartbeats: u32,
}

impl RateSim {
    /// Starts `nodes` instances in three zones. `limits` has the rate and burst of each team.
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
                heartbeats: BTreeMap::new(),
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
            limit_history: vec![(0, limits.to_vec())],
            store: None,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            last_members: BTreeMap::new(),
            unchanged_heartbeats: 0,
        };
        for node in 0..count {
            sim.start(node);
        }
        sim.schedule(0, Event::Heartbeats);
        sim
    }

    /// Returns the number of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether a node has a running process.
    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].shard.is_some()
    }

    /// Returns the shard of a node's process.
    pub fn shard(&self, node: usize) -> Option<&ShareShard> {
        self.nodes[node].shard.as_ref()
    }

    /// Returns the share table in the store.
    pub fn table(&self) -> Option<&ShareTable> {
        self.store.as_ref().map(|(_, table)| &**table)
    }

    /// Starts a process on a node that has none.
    pub fn start(&mut self, node: usize) {
        self.unchanged_heartbeats = 0;
        let seed = self.rng.random();
        let name = format!("instance-{node}").parse().expect("valid id");
        let shard = ShareShard::new("shard-0".to_owned(), name, self.settings.clone(), seed);
        let newest = self.bundles.len() - 1;
        let n = &mut self.nodes[node];
        n.shard = Some(shard);
        n.epoch += 1;
        n.frozen_until = 0;
        n.leaving = false;
        n.heartbeats.clear();
        let epoch = n.epoch;
        self.apply_bundle(node, newest);
        let delay = self.rng.random_range(0..TICK_INTERVAL);
        self.schedule(delay, Event::Tick(node, epoch));
    }

    /// Kills the process of a node; its deferred requests count as refused.
    pub fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.shard = None;
        n.epoch += 1;
        for (_, index) in std::mem::take(&mut n.waiters).into_values().flatten() {
            self.requests[index].admitted = Some(false);
        }
    }

    /// Starts a process on a node after `delay`, if it has none by then.
    pub fn restart_after(&mut self, node: usize, delay: u64) {
        self.schedule(delay, Event::Restart(node));
    }

    /// Freezes a process for `duration`. It then handles everything that has arrived in the
    /// meantime, callers' requests first.
    pub fn freeze(&mut self, node: usize, duration: u64) {
        self.nodes[node].frozen_until = self.now + duration;
        self.schedule(duration, Event::Retry(node));
    }

    /// Starts the drain of a node, which no longer receives spread load.
    pub fn drain(&mut self, node: usize) {
        self.nodes[node].leaving = true;
        if let Some(shard) = &mut self.nodes[node].shard {
            shard.drain();
        }
    }

    /// Puts a node into a network partition; nodes of different groups cannot reach each other.
    pub fn set_group(&mut self, node: usize, group: usize) {
        self.nodes[node].group = group;
    }

    /// Cuts a node off from the store, or reconnects it.
    pub fn set_store_cut(&mut self, node: usize, cut: bool) {
        self.nodes[node].store_cut = cut;
    }

    /// Replaces the load of a team.
    pub fn set_load(&mut self, team: usize, load: TeamLoad) {
        self.teams[team].load = load;
        self.teams[team].load_epoch += 1;
        self.schedule_arrival(team);
    }

    /// Accepts a bundle, which reaches each node after a random delay of less than 2.5 s.
    pub fn accept_bundle(&mut self, limits: &[(f64, f64)]) {
        self.bundles.push(limits.to_vec());
        self.limit_history.push((self.now, limits.to_vec()));
        let bundle = self.bundles.len() - 1;
        for node in 0..self.nodes.len() {
            let delay = self.rng.random_range(0..2500 * MS);
            self.schedule(delay, Event::Bundle(node, bundle));
        }
    }

    /// Runs the simulation until `end`.
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

    /// Counts the requests of a team that arrived from `from` to before `to`. Undecided requests
    /// count as not admitted, so call this when all are decided.
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

    fn local_time(&self, node: usize) -> MonotonicTime {
        let n = &self.nodes[node];
        MonotonicTime::from_nanos(n.offset + (self.now as f64 * (1.0 + n.drift)) as u64)
    }

    /// Returns for how long a node is still frozen.
    fn remaining_freeze(&self, node: usize) -> Option<u64> {
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
        if let Some(delay) = node.and_then(|node| self.remaining_freeze(node)) {
            return self.schedule(delay, event);
        }
        match event {
            Event::Tick(node, epoch) => self.tick(node, epoch),
            Event::Arrival(team, epoch) => self.handle_arrival(team, epoch),
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
                let now = self.local_time(to);
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
                let now = self.local_time(node);
                let mut actions = Vec::new();
                if self.nodes[node].epoch == epoch
                    && let Some(shard) = &mut self.nodes[node].shard
                {
                    shard.on_store(answer, now, &mut actions);
                }
                self.perform(node, actions);
            }
            Event::Heartbeats => self.exchange_heartbeats(),
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
        let now = self.local_time(node);
        let mut actions = Vec::new();
        if let Some(shard) = &mut self.nodes[node].shard {
            shard.tick(now, &mut actions);
        }
        self.perform(node, actions);
        self.schedule(TICK_INTERVAL, Event::Tick(node, epoch));
    }

    fn apply_bundle(&mut self, node: usize, bundle: usize) {
        let now = self.local_time(node);
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

    fn exchange_heartbeats(&mut self) {
        let mut members = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if let Some(shard) = &node.shard
                && node.frozen_until <= self.now
            {
                let member = ShareMember {
                    incarnation: shard.incarnation().clone(),
                    zone: format!("zone-{}", index % 3).parse().expect("valid id"),
                    leaving: node.leaving,
                };
                members.insert(index, (node.group, member));
            }
        }
        self.unchanged_heartbeats = if members == self.last_members {
            self.unchanged_heartbeats + 1
        } else {
            0
        };
        self.last_members = members.clone();
        if self.unchanged_heartbeats > 6 {
            // Nothing changed for longer than the member timeout, so all lists are up to date.
            return self.schedule(HEARTBEAT_INTERVAL, Event::Heartbeats);
        }
        let now = self.now;
        for node in &mut self.nodes {
            for (&index, (group, member)) in &members {
                if *group == node.group {
                    node.heartbeats.insert(index, (now, member.clone()));
                }
            }
            node.heartbeats
                .retain(|_, (at, _)| now - *at < MEMBER_TIMEOUT);
            let live = node
                .heartbeats
                .values()
                .map(|(_, member)| member.clone())
                .collect();
            if let Some(shard) = &mut node.shard {
                shard.set_members(live);
            }
        }
        self.schedule(HEARTBEAT_INTERVAL, Event::Heartbeats);
    }

    fn schedule_arrival(&mut self, team: usize) {
        let t = &self.teams[team];
        let epoch = t.load_epoch;
        if t.load.rate > 0.0 {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / t.load.rate;
            self.schedule((gap * 1e9) as u64, Event::Arrival(team, epoch));
        }
    }

    fn handle_arrival(&mut self, team: usize, epoch: u64) {
        if self.teams[team].load_epoch != epoch {
            return;
        }
        self.schedule_arrival(team);
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
        } else if self.remaining_freeze(node).is_some() {
            // The request waits in the socket until the process resumes.
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
        let now = self.local_time(node);
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
            AdmissionOutcome::Admitted => self.record_admitted(team, index),
            AdmissionOutcome::Refused => self.requests[index].admitted = Some(false),
            AdmissionOutcome::Deferred => {
                let waiters = self.nodes[node].waiters.entry(team).or_default();
                waiters.push_back((self.now, index));
                if waiters.len() == 1 {
                    self.schedule(RETRY_INTERVAL, Event::Retry(node));
                }
            }
        }
        self.perform(node, actions);
    }

    fn record_admitted(&mut self, team: usize, index: usize) {
        let (rate, burst) = self.limit_in_force(team);
        let t = &mut self.teams[team];
        t.checker.advance(self.now, rate, burst);
        self.violations += u64::from(!t.checker.charge());
        let request = &mut self.requests[index];
        request.admitted = Some(true);
        request.waited = self.now - request.at;
    }

    /// Returns the highest rate and burst of a team that may still be in force on some node.
    fn limit_in_force(&self, team: usize) -> (f64, f64) {
        let mut limit = (0.0_f64, 0.0_f64);
        for (index, (_, limits)) in self.limit_history.iter().enumerate() {
            let replaced = self.limit_history.get(index + 1).map(|(at, _)| *at);
            if replaced.is_none_or(|at| self.now < at + BUNDLE_PROPAGATION_TIME) {
                limit = (limit.0.max(limits[team].0), limit.1.max(limits[team].1));
            }
        }
        limit
    }

    fn retry_all(&mut self, node: usize) {
        let teams = self.nodes[node].waiters.keys().copied().collect::<Vec<_>>();
        for team in teams {
            self.retry(node, team);
        }
        if self.nodes[node].waiters.values().any(|w| !w.is_empty()) {
            self.schedule(RETRY_INTERVAL, Event::Retry(node));
        }
    }

    fn retry(&mut self, node: usize, team: usize) {
        let max = self.settings.max_defer.as_nanos() as u64;
        loop {
            let now = self.local_time(node);
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
                AdmissionOutcome::Admitted => self.record_admitted(team, index),
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
            // A call whose answer is lost may also take effect after its timeout.
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
