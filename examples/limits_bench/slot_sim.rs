//! A simulation of one service's slots, its coordinator and its callers. Times are in ns.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklb::process::slots::client::ClientAction;
use tamaracklb::process::slots::client::SlotClient;
use tamaracklb::process::slots::coordinator::SlotCoordinator;
use tamaracklb::process::slots::coordinator::serving_instances;
use tamaracklb::process::slots::messages::PermitQuery;
use tamaracklb::process::slots::messages::SlotClass;
use tamaracklb::process::slots::messages::SlotMessage;
use tamaracklb::process::slots::queue::QueueSettings;
use tamaracklb::process::slots::rendezvous::RendezvousMember;
use tamaracklb::process::timers::MonotonicTime;
use tamaracklb::version::ids::EndpointId;
use tamaracklb::version::ids::InstanceId;
use tamaracklb::version::ids::TeamId;
use tamaracklb::version::units::SlotCount;
use tamaracklb::version::units::TeamWeight;

/// One millisecond of simulated time.
pub const MS: u64 = 1_000_000;

/// One second of simulated time.
pub const SECOND: u64 = 1000 * MS;

const TICK_INTERVAL: u64 = 10 * MS;

/// Time after which a dead instance leaves the membership.
const MEMBER_TIMEOUT: u64 = SECOND;

/// Load of a team, over all instances.
#[derive(Debug, Clone, Copy)]
pub struct SlotLoad {
    /// Transactions per second.
    pub rate: f64,
    /// Fraction of the transactions that write.
    pub writes: f64,
    /// Mean duration of a read on the endpoint, in ms.
    pub read_ms: f64,
    /// Mean duration of a write on the endpoint, in ms.
    pub write_ms: f64,
    /// Weight of the team when teams compete for slots.
    pub weight: f64,
    /// Transactions per second that a rate limiter admits before they reach the slots; its burst is
    /// half a second's worth. `None` for no limiter.
    pub limit: Option<f64>,
}

/// Counts and waiting times of a team.
#[derive(Debug, Clone, Default)]
pub struct TeamResult {
    /// Number of requests that arrived and passed the rate limiter.
    pub offered: u64,
    /// Number of requests that ran.
    pub ran: u64,
    /// Number of requests that were refused.
    pub refused: u64,
    /// Waiting times of the requests that ran, in ns.
    pub waits: Vec<u64>,
}

impl TeamResult {
    /// Returns the percentage of offered requests that ran.
    pub fn served_percent(&self) -> f64 {
        100.0 * self.ran as f64 / self.offered.max(1) as f64
    }

    /// Returns the 99th percentile of the waiting times, in ms.
    pub fn p99_ms(&self) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits
            .get(waits.len() * 99 / 100)
            .map_or(0.0, |&wait| wait as f64 / MS as f64)
    }
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Tick(usize),
    ToCoordinator {
        from: usize,
        to: usize,
        message: SlotMessage,
    },
    ToClient {
        from: usize,
        to: usize,
        message: SlotMessage,
    },
    Begin {
        endpoint: usize,
        job: Job,
    },
    End {
        endpoint: usize,
        job: Job,
    },
    Membership,
}

#[derive(Debug, Clone, Copy)]
struct Job {
    node: usize,
    number: u64,
    time: u64,
}

struct SimNode {
    id: InstanceId,
    up: bool,
    died: u64,
    client: SlotClient,
    coordinator: Option<SlotCoordinator>,
    /// Whether messages to and from other nodes are lost.
    cut: bool,
    /// Team, arrival time and duration of the open requests, by number.
    requests: BTreeMap<u64, (usize, u64, u64)>,
}

struct SimEndpoint {
    slots: usize,
    running: usize,
    queue: VecDeque<Job>,
}

/// One service with its instances (nodes) and endpoints; endpoint 0 is the primary.
pub struct SlotSim {
    /// Simulated time since the start.
    pub now: u64,
    /// Probability that a message between two nodes is lost.
    pub loss: f64,
    /// Results of the teams, by index.
    pub results: Vec<TeamResult>,
    /// Maximum length of the queue that an endpoint itself had.
    pub endpoint_queue_max: usize,
    /// Maximum number of requests that ran at once without a permit of the coordinator.
    pub local_runs: u64,
    /// End of the warm-up; requests that arrive before it are not counted.
    pub counted_from: u64,
    settings: QueueSettings,
    rng: ChaCha8Rng,
    arrivals: Vec<ChaCha8Rng>,
    loads: Vec<SlotLoad>,
    /// Tokens and last refill of each team's rate limiter.
    limiters: Vec<(f64, u64)>,
    nodes: Vec<SimNode>,
    endpoints: Vec<SimEndpoint>,
    /// Time and id of the scheduled events.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
}

impl SlotSim {
    /// Creates a simulation of `nodes` instances and three endpoints with `slots` slots each.
    pub fn new(
        nodes: usize,
        slots: usize,
        loads: &[SlotLoad],
        settings: QueueSettings,
        seed: u64,
    ) -> Self {
        let id = |n: usize| {
            format!("instance-{n}")
                .parse::<InstanceId>()
                .expect("valid id")
        };
        let mut sim = Self {
            now: 0,
            loss: 0.0,
            results: vec![TeamResult::default(); loads.len()],
            endpoint_queue_max: 0,
            local_runs: 0,
            counted_from: 5 * SECOND,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            arrivals: (0..loads.len() as u64)
                .map(|t| ChaCha8Rng::seed_from_u64(seed * 1000 + t))
                .collect(),
            loads: loads.to_vec(),
            limiters: loads
                .iter()
                .map(|load| (load.limit.unwrap_or(0.0) / 2.0, 0))
                .collect(),
            nodes: (0..nodes)
                .map(|n| SimNode {
                    id: id(n),
                    up: true,
                    died: 0,
                    client: SlotClient::new(),
                    coordinator: None,
                    cut: false,
                    requests: BTreeMap::new(),
                })
                .collect(),
            endpoints: (0..3)
                .map(|_| SimEndpoint {
                    slots,
                    running: 0,
                    queue: VecDeque::new(),
                })
                .collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
        };
        sim.update_membership();
        for team in 0..loads.len() {
            sim.schedule_arrival(team);
        }
        for node in 0..nodes {
            sim.schedule(node as u64 * 100_000, Event::Tick(node));
        }
        sim
    }

    /// Returns the first live node that acts as the coordinator.
    pub fn coordinator(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.up && node.coordinator.is_some())
    }

    /// Kills a node; its requests are dropped.
    pub fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.up = false;
        n.died = self.now;
        n.coordinator = None;
        n.requests.clear();
    }

    /// Cuts a node off from all others, or reconnects it.
    pub fn set_cut(&mut self, node: usize, cut: bool) {
        self.nodes[node].cut = cut;
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

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn time(&self) -> MonotonicTime {
        MonotonicTime::from_nanos(self.now)
    }

    fn delay(&mut self, a: usize, b: usize) -> u64 {
        let base = if a % 3 == b % 3 { 200_000 } else { 1_500_000 };
        base + self.rng.random_range(0..200_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(team) => self.handle_arrival(team),
            Event::Tick(node) => {
                if !self.nodes[node].up {
                    return;
                }
                let now = self.time();
                let actions = self.nodes[node].client.tick(now);
                self.perform(node, actions);
                if let Some(coordinator) = &mut self.nodes[node].coordinator {
                    let answers = coordinator.tick(now);
                    self.send_answers(node, answers);
                }
                self.schedule(TICK_INTERVAL, Event::Tick(node));
            }
            Event::ToCoordinator { from, to, message } => {
                if !self.is_linked(from, to) {
                    return;
                }
                let (now, id) = (self.time(), self.nodes[from].id.clone());
                if let Some(coordinator) = &mut self.nodes[to].coordinator {
                    let answers = coordinator.on_message(&id, message, now);
                    self.send_answers(to, answers);
                }
            }
            Event::ToClient { from, to, message } => {
                if self.is_linked(from, to) {
                    let (now, id) = (self.time(), self.nodes[from].id.clone());
                    let actions = self.nodes[to].client.on_message(&id, message, now);
                    self.perform(to, actions);
                }
            }
            Event::Begin { endpoint, job } => {
                let e = &mut self.endpoints[endpoint];
                if e.running < e.slots {
                    e.running += 1;
                    self.schedule(job.time, Event::End { endpoint, job });
                } else {
                    e.queue.push_back(job);
                    self.endpoint_queue_max = self.endpoint_queue_max.max(e.queue.len());
                }
            }
            Event::End { endpoint, job } => self.end_job(endpoint, job),
            Event::Membership => self.update_membership(),
        }
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        let (x, y) = (&self.nodes[a], &self.nodes[b]);
        x.up && y.up && (a == b || (!x.cut && !y.cut))
    }

    fn schedule_arrival(&mut self, team: usize) {
        let rate = self.loads[team].rate;
        if rate > 0.0 {
            let gap = -(1.0 - self.arrivals[team].random::<f64>()).ln() / rate;
            self.schedule((gap * 1e9) as u64, Event::Arrival(team));
        }
    }

    fn handle_arrival(&mut self, team: usize) {
        self.schedule_arrival(team);
        let load = self.loads[team];
        let rng = &mut self.arrivals[team];
        let write = rng.random_bool(load.writes);
        let mean = if write { load.write_ms } else { load.read_ms };
        let time = (-(1.0 - rng.random::<f64>()).ln() * mean * 1e6) as u64;
        let start = rng.random_range(0..self.nodes.len());
        let count = self.nodes.len();
        let Some(node) = (0..count)
            .map(|n| (start + n) % count)
            .find(|&n| self.nodes[n].up)
        else {
            return;
        };
        if let Some(limit) = load.limit {
            let (tokens, at) = &mut self.limiters[team];
            *tokens = (*tokens + limit * (self.now - *at) as f64 / 1e9).min(limit / 2.0);
            *at = self.now;
            if *tokens < 1.0 {
                return;
            }
            *tokens -= 1.0;
        }
        if self.now >= self.counted_from {
            self.results[team].offered += 1;
        }
        let eligible = if write {
            vec![0]
        } else {
            vec![1 + start % 2, 2 - start % 2]
        };
        let query = PermitQuery {
            team: team_id(team),
            class: if write {
                SlotClass::Write
            } else {
                SlotClass::Read
            },
            eligible: eligible.into_iter().map(endpoint_id).collect(),
            wait_ms: 1000,
        };
        let now = self.time();
        let (number, actions) = self.nodes[node].client.request(query, now);
        self.nodes[node]
            .requests
            .insert(number, (team, self.now, time));
        self.perform(node, actions);
    }

    fn perform(&mut self, node: usize, actions: Vec<ClientAction>) {
        for action in actions {
            match action {
                ClientAction::Send { to, message } => {
                    let to = self
                        .nodes
                        .iter()
                        .position(|n| n.id == to)
                        .expect("known instance");
                    let delay = self.delay(node, to);
                    if !self.rng.random_bool(self.loss) || node == to {
                        self.schedule(
                            delay,
                            Event::ToCoordinator {
                                from: node,
                                to,
                                message,
                            },
                        );
                    }
                }
                ClientAction::Run { number, endpoint } => {
                    let Some(&(team, since, time)) = self.nodes[node].requests.get(&number) else {
                        continue;
                    };
                    if since >= self.counted_from {
                        self.results[team].ran += 1;
                        self.results[team].waits.push(self.now - since);
                    }
                    let endpoint = endpoint
                        .as_str()
                        .trim_start_matches("endpoint-")
                        .parse()
                        .expect("known endpoint");
                    let delay = self.delay(node, endpoint);
                    let job = Job { node, number, time };
                    self.schedule(delay, Event::Begin { endpoint, job });
                }
                ClientAction::Refuse { number, .. } => {
                    if let Some((team, since, _)) = self.nodes[node].requests.remove(&number)
                        && since >= self.counted_from
                    {
                        self.results[team].refused += 1;
                    }
                }
            }
            self.local_runs = self.local_runs.max(
                self.nodes
                    .iter()
                    .map(|n| n.client.local_running() as u64)
                    .sum(),
            );
        }
    }

    fn send_answers(&mut self, node: usize, answers: Vec<(InstanceId, SlotMessage)>) {
        for (to, message) in answers {
            let to = self
                .nodes
                .iter()
                .position(|n| n.id == to)
                .expect("known instance");
            let delay = self.delay(node, to);
            if !self.rng.random_bool(self.loss) || node == to {
                self.schedule(
                    delay,
                    Event::ToClient {
                        from: node,
                        to,
                        message,
                    },
                );
            }
        }
    }

    fn end_job(&mut self, endpoint: usize, job: Job) {
        let e = &mut self.endpoints[endpoint];
        if let Some(next) = e.queue.pop_front() {
            self.schedule(
                next.time,
                Event::End {
                    endpoint,
                    job: next,
                },
            );
        } else {
            e.running -= 1;
        }
        if self.nodes[job.node].up {
            self.nodes[job.node].requests.remove(&job.number);
            let now = self.time();
            let actions = self.nodes[job.node].client.release(job.number, now);
            self.perform(job.node, actions);
        }
    }

    /// Updates the coordinator and the live instances on each node. A dead node stays in the list
    /// until the member timeout.
    fn update_membership(&mut self) {
        let live = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| n.up || self.now < n.died + MEMBER_TIMEOUT);
        let live = live.map(|(index, node)| RendezvousMember {
            instance: node.id.clone(),
            zone: format!("zone-{}", index % 3).parse().expect("valid id"),
        });
        let live = live.collect::<Vec<_>>();
        let serving = serving_instances(&"studio-db".parse().expect("valid id"), &live);
        let now = self.time();
        let slots = self.endpoints.iter().enumerate();
        let slots = slots
            .map(|(e, s)| (endpoint_id(e), SlotCount(s.slots as u32)))
            .collect::<Vec<_>>();
        let total = SlotCount(slots.iter().map(|(_, s)| s.0).sum());
        for node in 0..self.nodes.len() {
            let n = &mut self.nodes[node];
            if !n.up {
                continue;
            }
            let is_coordinator = serving.first() == Some(&n.id);
            if is_coordinator && n.coordinator.is_none() {
                let mut coordinator = SlotCoordinator::new(self.settings.clone(), now);
                let weights = self.loads.iter().enumerate();
                let weights = weights.map(|(team, load)| (team_id(team), TeamWeight(load.weight)));
                coordinator.set_service(&slots, &weights.collect::<Vec<_>>(), now);
                n.coordinator = Some(coordinator);
            } else if !is_coordinator {
                n.coordinator = None;
            }
            let actions =
                n.client
                    .set_coordinator(serving.first().cloned(), total, serving.len(), now);
            self.perform(node, actions);
        }
        let dead = self
            .nodes
            .iter()
            .filter(|n| !n.up && self.now >= n.died + MEMBER_TIMEOUT);
        for id in dead.map(|n| n.id.clone()).collect::<Vec<_>>() {
            if let Some(node) = self.coordinator() {
                let answers = self.nodes[node]
                    .coordinator
                    .as_mut()
                    .map(|c| c.remove_instance(&id, now));
                self.send_answers(node, answers.unwrap_or_default());
            }
        }
        self.schedule(200 * MS, Event::Membership);
    }
}

/// Returns the id of a team by its index.
pub fn team_id(team: usize) -> TeamId {
    format!("team-{team}").parse().expect("valid id")
}

/// Returns the id of an endpoint by its index.
pub fn endpoint_id(endpoint: usize) -> EndpointId {
    format!("endpoint-{endpoint}").parse().expect("valid id")
}
