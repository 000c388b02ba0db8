//! Discrete-event simulation of group controllers with links, proxies, sessions and faults.
//!
//! Times and durations are in ms of simulated time. A seed always gives the same run. Nodes are numbered: the endpoints
//! come first, then the proxies.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklb::process::endpoint_status::EndpointRole;
use tamaracklb::process::endpoint_status::EndpointStatus;
use tamaracklb::process::failover::call_failure::CallFailure;
use tamaracklb::process::failover::confirmation_tracker::ConfirmationId;
use tamaracklb::process::failover::failover_limits::FailoverLimits;
use tamaracklb::process::failover::failure_evidence::WatcherReport;
use tamaracklb::process::failover::group_controller::GroupAction;
use tamaracklb::process::failover::group_controller::GroupController;
use tamaracklb::process::failover::group_controller::WatchSettings;
use tamaracklb::process::failover::group_event::GroupEvent;
use tamaracklb::process::failover::group_view::GroupMember;
use tamaracklb::process::failover::promotion_plan::PromotionAction;
use tamaracklb::process::timers::MonotonicTime;
use tamaracklb::request::log_point::LogPoint;
use tamaracklb::request::ports::RequestClass;
use tamaracklb::request::read_route::RouteQuery;
use tamaracklb::request::read_route::choose_endpoint;
use tamaracklb::request::session_floor::FloorId;
use tamaracklb::request::session_floor::SessionFloor;
use tamaracklb::version::ids::EndpointId;
use tamaracklb::version::ids::InstanceId;

use crate::group_model::ModelEndpoint;
use crate::group_model::ModelRules;
use crate::group_model::TermLogs;

const CALL_TIMEOUT_MS: u64 = 500;
const HEARTBEAT_PERIOD_MS: u64 = 100;
const TICK_PERIOD_MS: u64 = 25;
const CONFIRM_TIMEOUT_MS: u64 = 2000;
const MAX_WATCHERS: usize = 5;
const FOREVER: u64 = u64::MAX;

/// A fault that is injected into a run; `millis` is its duration.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The current primary is down, then continues with the same log and role.
    CrashPrimary { millis: u64 },
    /// The current primary is frozen with its connections open, then resumes.
    FreezePrimary { millis: u64 },
    /// The current primary is cut off from the other endpoints, but not from the proxies.
    IsolatePrimary { millis: u64 },
    /// Messages from the current primary to other nodes are lost; if `inbound`, messages to it instead.
    OneWayPrimary { inbound: bool, millis: u64 },
    /// One replica is cut off from all other nodes.
    IsolateReplica { millis: u64 },
    /// Calls reach the current primary `delay` ms late.
    SlowPrimary { delay: u64, millis: u64 },
    /// The nodes of one side are cut off from those of the other.
    CutNodes { sides: [Vec<usize>; 2], millis: u64 },
    /// Existing connections to the primary lose all messages; new connections work.
    SilentConnections,
    /// A replica is down, then continues with the same log and role.
    CrashReplica { millis: u64 },
    /// A proxy is frozen, then resumes.
    FreezeProxy { proxy: usize, millis: u64 },
    /// The next proxy that is about to send a promote call dies before it sends the call.
    KillProposer,
    /// The next proxy that is about to send a promote call is frozen, and sends the call when it resumes.
    FreezeProposer { millis: u64 },
    /// One proxy starts a promotion.
    ProposeAt { proxy: usize },
    /// All proxies start a promotion at the same time.
    ProposeEverywhere,
    /// This percentage of the endpoints' answers is lost after the calls have taken effect.
    LoseAnswers { percent: u32, millis: u64 },
}

/// Size, load, faults and rules of a simulated run.
#[derive(Debug, Clone)]
pub struct SimConfig {
    pub seed: u64,
    pub endpoints: usize,
    pub proxies: usize,
    /// End of the run, in ms.
    pub duration: u64,
    /// Replication delay to each replica, in ms.
    pub lag: u64,
    /// Replication delay to the last endpoint, in ms, if it differs from `lag`.
    pub last_endpoint_lag: Option<u64>,
    /// Number of sessions that write in half of their operations.
    pub writers: usize,
    /// Number of sessions that only read.
    pub readers: usize,
    /// Whether reads may be stale within a limit.
    pub stale_reads: bool,
    /// Percentage of operations before which the session moves to another proxy.
    pub roaming_percent: u32,
    pub proposes_first: FirstProposer,
    /// Faults with the times at which they start, in ms.
    pub faults: Vec<(u64, Fault)>,
    pub rules: ModelRules,
    pub switches: Switches,
}

/// Mechanisms of the system that a test can switch off or replace.
#[derive(Debug, Clone, Copy)]
pub struct Switches {
    /// Confirms writes and reads of the primary by a majority before they are answered.
    pub confirm: bool,
    /// Routes reads only to endpoints that have reached the session's floor.
    pub floor: bool,
    /// Gets a floor from a majority for a session that has none.
    pub floor_round: bool,
    /// Gives each proposer its own name in fences and promotions.
    pub unique_proposers: bool,
    /// Shows the fenced term in answers to await calls, so that reports of fenced endpoints do not count.
    pub evidence_checks_fence: bool,
    /// Replaces failure detection by proxy 0, which promotes after three missed checks a second apart.
    pub health_checks: bool,
    pub reads: ReadPolicy,
}

/// Which proxies may start a promotion without delay, according to the hint in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstProposer {
    /// The store is reachable and names proxy 0.
    One,
    /// The store is unreachable.
    None,
    /// Every proxy assumes that the hint names it.
    All,
}

/// Policy that selects the endpoint for a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadPolicy {
    /// Any endpoint that has reached the session's floor.
    Floors,
    PrimaryOnly,
    /// Replicas, but only the primary for this many ms after a write of the session.
    PrimaryAfterWrite(u64),
}

impl SimConfig {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            endpoints: 3,
            proxies: 3,
            duration: 12_000,
            lag: 5,
            last_endpoint_lag: None,
            writers: 6,
            readers: 6,
            stale_reads: false,
            roaming_percent: 10,
            proposes_first: FirstProposer::One,
            faults: Vec::new(),
            rules: ModelRules::default(),
            switches: Switches {
                confirm: true,
                floor: true,
                floor_round: true,
                unique_proposers: true,
                evidence_checks_fence: true,
                health_checks: false,
                reads: ReadPolicy::Floors,
            },
        }
    }

    /// Adds a fault that starts at `at`.
    pub fn fault(mut self, at: u64, fault: Fault) -> Self {
        self.faults.push((at, fault));
        self
    }
}

/// A write that was acknowledged at `at`.
#[derive(Debug, Clone)]
pub struct AckRecord {
    pub at: u64,
    pub value: u64,
    pub point: LogPoint,
    pub endpoint: usize,
    /// Time at which the endpoint executed the write.
    pub executed_at: u64,
}

/// A promotion that took effect, with the values in the log of the new primary.
#[derive(Debug, Clone)]
pub struct PromotionRecord {
    pub at: u64,
    pub term: u64,
    pub endpoint: usize,
    pub values: Vec<u64>,
}

/// What a run recorded for the checks.
#[derive(Debug, Clone, Default)]
pub struct History {
    pub acks: Vec<AckRecord>,
    pub promotions: Vec<PromotionRecord>,
    /// A description of each read that was below its session's floor.
    pub low_reads: Vec<String>,
    pub reads: u64,
    pub replica_reads: u64,
    /// Number of writes with an unknown outcome.
    pub unknown_outcomes: u64,
    /// Events with their times and proxies.
    pub events: Vec<(u64, usize, GroupEvent)>,
    /// Values in the log of the primary with the highest point at the end.
    pub final_values: Vec<u64>,
    /// Sum of the times from the request to the acknowledgement of a write, in ms.
    pub confirm_millis: u64,
    pub await_calls: u64,
}

#[derive(Debug, Clone)]
enum Call {
    Status,
    Await(LogPoint, u64),
    Fence(u64, String),
    Promote(u64, String),
    Write(u64),
    Read { session: usize },
}

/// An endpoint's answer. `succeeded` is false for a rejected write and for a read that missed an entry that its session
/// requires.
#[derive(Debug, Clone)]
struct Answer {
    status: EndpointStatus,
    succeeded: bool,
    executed_at: u64,
}

#[derive(Debug, Clone)]
enum Event {
    Deliver {
        call: u64,
    },
    Answer {
        call: u64,
        answer: Answer,
    },
    CallFailed {
        call: u64,
        failure: CallFailure,
    },
    AwaitTimeout {
        call: u64,
    },
    Append {
        from: usize,
        to: usize,
        term: u64,
        len: usize,
    },
    Heartbeat {
        endpoint: usize,
    },
    Tick {
        proxy: usize,
    },
    Report {
        to: usize,
        report: WatcherReport,
    },
    Step {
        session: usize,
    },
    Fault(usize),
}

#[derive(Debug, Clone)]
struct OpenCall {
    proxy: usize,
    endpoint: usize,
    call: Call,
    requested_at: u64,
    session: Option<usize>,
}

#[derive(Debug, Clone)]
struct Session {
    proxy: usize,
    writes: bool,
    floor: SessionFloor,
    /// Positions and values of the log entries that each read must include.
    required_entries: Vec<(u64, u64)>,
    last_write: Option<u64>,
    busy: bool,
}

/// A session's operation that waits for confirmation; for reads, whether it was below the floor.
#[derive(Debug, Clone)]
enum PendingOperation {
    Write(usize, AckRecord),
    Read(usize, bool),
}

struct SimProxy {
    controller: GroupController,
    dead: bool,
    confirmations: HashMap<ConfirmationId, PendingOperation>,
    floors: HashMap<FloorId, usize>,
    missed_checks: u32,
}

/// State of a simulated run.
pub struct FailoverSim {
    config: SimConfig,
    now: u64,
    rng: ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    endpoints: Vec<ModelEndpoint>,
    logs: TermLogs,
    proxies: Vec<SimProxy>,
    sessions: Vec<Session>,
    calls: HashMap<u64, OpenCall>,
    awaits: Vec<(u64, usize, LogPoint)>,
    cuts: HashMap<(usize, usize), u64>,
    frozen: HashMap<usize, u64>,
    crashed: HashMap<usize, u64>,
    slow: HashMap<usize, (u64, u64)>,
    silent: HashSet<(usize, usize)>,
    answer_loss: (u32, u64),
    kill_proposer: bool,
    freeze_proposer: Option<u64>,
    next_value: u64,
    history: History,
}

pub fn endpoint_id(index: usize) -> EndpointId {
    format!("db-{index}").parse().unwrap()
}

fn instance_id(index: usize) -> InstanceId {
    format!("proxy-{index}").parse().unwrap()
}

fn time(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

impl FailoverSim {
    pub fn new(config: SimConfig) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let members: Vec<_> = (0..config.endpoints)
            .map(|index| GroupMember {
                endpoint: endpoint_id(index),
                zone: format!("zone-{index}").parse().unwrap(),
                leaving: false,
            })
            .collect();
        let watchers: Vec<_> = (0..config.proxies.min(MAX_WATCHERS))
            .map(instance_id)
            .collect();
        let mut limits = FailoverLimits::default();
        if config.switches.health_checks {
            limits.upstream_silence = Duration::from_secs(1000);
            limits.connect_failure = Duration::from_secs(1000);
        }
        let proxies = (0..config.proxies).map(|index| SimProxy {
            controller: GroupController::new(
                members.clone(),
                WatchSettings {
                    instance: instance_id(index),
                    watchers: watchers.clone(),
                    proposes_first: match config.proposes_first {
                        FirstProposer::One => index == 0,
                        FirstProposer::None => false,
                        FirstProposer::All => true,
                    },
                },
                limits.clone(),
                rng.random(),
            ),
            dead: false,
            confirmations: HashMap::new(),
            floors: HashMap::new(),
            missed_checks: 0,
        });
        let proxies = proxies.collect();
        let endpoints: Vec<_> = (0..config.endpoints)
            .map(|index| ModelEndpoint::new(index, config.rules))
            .collect();
        let logs = TermLogs::from([((1, 0), endpoints[0].log.clone())]);
        let sessions = (0..config.writers + config.readers)
            .map(|index| Session {
                proxy: index % config.proxies,
                writes: index < config.writers,
                floor: SessionFloor::default(),
                required_entries: Vec::new(),
                last_write: None,
                busy: false,
            })
            .collect();
        let mut sim = Self {
            now: 0,
            rng,
            queue: BTreeMap::new(),
            sequence: 0,
            endpoints,
            logs,
            proxies,
            sessions,
            calls: HashMap::new(),
            awaits: Vec::new(),
            cuts: HashMap::new(),
            frozen: HashMap::new(),
            crashed: HashMap::new(),
            slow: HashMap::new(),
            silent: HashSet::new(),
            answer_loss: (0, 0),
            kill_proposer: false,
            freeze_proposer: None,
            next_value: 1,
            history: History::default(),
            config,
        };
        for endpoint in 0..sim.config.endpoints {
            sim.push(0, Event::Heartbeat { endpoint });
        }
        for proxy in 0..sim.config.proxies {
            sim.push(proxy as u64 * 7, Event::Tick { proxy });
        }
        for session in 0..sim.sessions.len() {
            sim.push(300 + session as u64, Event::Step { session });
        }
        for index in 0..sim.config.faults.len() {
            sim.push(sim.config.faults[index].0, Event::Fault(index));
        }
        sim
    }

    /// Runs until the configured end and returns the recorded history.
    pub fn run(mut self) -> History {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > self.config.duration {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let primaries = self.endpoints.iter().filter(|e| e.is_primary());
        let final_primary = primaries.max_by_key(|endpoint| endpoint.point());
        self.history.final_values = final_primary
            .map(|endpoint| endpoint.log.iter().map(|entry| entry.value).collect())
            .unwrap_or_default();
        self.history
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn proxy_node(&self, proxy: usize) -> usize {
        self.config.endpoints + proxy
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts
            .get(&(from, to))
            .is_some_and(|&until| self.now < until)
    }

    fn is_down(&self, node: usize) -> bool {
        self.crashed
            .get(&node)
            .is_some_and(|&until| self.now < until)
    }

    /// Returns the node that handles an event, or `None` for a fault.
    fn node_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Deliver { call } | Event::AwaitTimeout { call } => {
                self.calls.get(call).map(|open| open.endpoint)
            }
            Event::Answer { call, .. } | Event::CallFailed { call, .. } => {
                self.calls.get(call).map(|open| self.proxy_node(open.proxy))
            }
            Event::Append { to, .. } => Some(*to),
            Event::Heartbeat { endpoint } => Some(*endpoint),
            Event::Tick { proxy } => Some(self.proxy_node(*proxy)),
            Event::Report { to, .. } => Some(self.proxy_node(*to)),
            Event::Step { session } => Some(self.proxy_node(self.sessions[*session].proxy)),
            Event::Fault(_) => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(node) = self.node_of(&event)
            && let Some(&until) = self.frozen.get(&node)
            && self.now < until
        {
            self.push(until - self.now, event);
            return;
        }
        match event {
            Event::Deliver { call } => self.deliver(call),
            Event::Answer { call, answer } => self.finish(call, Ok(answer)),
            Event::CallFailed { call, failure } => self.finish(call, Err(failure)),
            Event::AwaitTimeout { call } => {
                self.awaits.retain(|&(other, ..)| other != call);
                self.answer(call, true);
            }
            Event::Append {
                from,
                to,
                term,
                len,
            } => {
                if !self.is_down(to) && !self.is_cut(from, to) {
                    self.endpoints[to].append(term, from, len, &self.logs, self.now);
                    self.answer_awaits(to);
                }
            }
            Event::Heartbeat { endpoint } => {
                self.push(HEARTBEAT_PERIOD_MS, Event::Heartbeat { endpoint });
                self.replicate(endpoint);
            }
            Event::Tick { proxy } => self.tick(proxy),
            Event::Report { to, mut report } => {
                report.received_at = time(self.now);
                self.proxies[to].controller.on_report(report);
            }
            Event::Step { session } => self.step(session),
            Event::Fault(index) => self.apply_fault(index),
        }
    }

    fn replicate(&mut self, from: usize) {
        if !self.endpoints[from].is_primary() || self.is_down(from) {
            return;
        }
        let (term, len) = (self.endpoints[from].term(), self.endpoints[from].log.len());
        for to in (0..self.config.endpoints).filter(|&to| to != from) {
            let is_last = to + 1 == self.config.endpoints;
            let lag = self
                .config
                .last_endpoint_lag
                .filter(|_| is_last)
                .unwrap_or(self.config.lag);
            let delay = lag + self.rng.random_range(1..3);
            if !self.is_cut(from, to) {
                self.push(
                    delay,
                    Event::Append {
                        from,
                        to,
                        term,
                        len,
                    },
                );
            }
        }
    }

    fn tick(&mut self, proxy: usize) {
        if self.proxies[proxy].dead {
            return;
        }
        self.push(TICK_PERIOD_MS, Event::Tick { proxy });
        if let Some((primary, unreachable_time)) = self.proxies[proxy]
            .controller
            .primary_report(time(self.now))
        {
            for to in (0..self.config.proxies).filter(|&to| to != proxy) {
                let report = WatcherReport {
                    instance: instance_id(proxy),
                    primary: primary.clone(),
                    unreachable_for: unreachable_time,
                    received_at: time(0),
                };
                self.push(2, Event::Report { to, report });
            }
        }
        if self.config.switches.health_checks && proxy == 0 && self.now % 1000 < TICK_PERIOD_MS {
            self.check_health();
        }
        let actions = self.proxies[proxy].controller.tick(time(self.now));
        self.execute_actions(proxy, actions);
    }

    /// Baseline for comparison: starts a promotion on proxy 0 after three missed health checks.
    fn check_health(&mut self) {
        let controller = &mut self.proxies[0].controller;
        let view = controller.view();
        let primary = view.primary().and_then(|p| view.endpoint(&p.endpoint));
        let fresh = primary.is_some_and(|p| {
            time(self.now).saturating_since(p.requested_at) < Duration::from_secs(1)
        });
        let missed = if fresh {
            0
        } else {
            self.proxies[0].missed_checks + 1
        };
        self.proxies[0].missed_checks = missed;
        if missed == 3 && self.proxies[0].controller.plan().is_none() {
            let actions = self.proxies[0].controller.force_promotion(time(self.now));
            self.execute_actions(0, actions);
        }
    }

    fn execute_actions(&mut self, proxy: usize, actions: Vec<GroupAction>) {
        for action in actions {
            if self.proxies[proxy].dead {
                return;
            }
            match action {
                GroupAction::Status { endpoint } => self.call(proxy, &endpoint, Call::Status, None),
                GroupAction::Await {
                    endpoint,
                    point,
                    timeout,
                } => {
                    self.history.await_calls += 1;
                    let call = Call::Await(point, timeout.as_millis() as u64);
                    self.call(proxy, &endpoint, call, None);
                }
                GroupAction::Promotion(PromotionAction::Fence {
                    endpoint,
                    term,
                    proposer,
                }) => {
                    let call = Call::Fence(term.0, self.proposer_name(proposer));
                    self.call(proxy, &endpoint, call, None);
                }
                GroupAction::Promotion(PromotionAction::Promote {
                    endpoint,
                    term,
                    proposer,
                }) => {
                    if std::mem::take(&mut self.kill_proposer) {
                        self.proxies[proxy].dead = true;
                        return;
                    }
                    let call = Call::Promote(term.0, self.proposer_name(proposer));
                    if let Some(millis) = self.freeze_proposer.take() {
                        let until = self.now + millis;
                        self.frozen.insert(self.proxy_node(proxy), until);
                        self.call_after(millis, proxy, &endpoint, call, None);
                    } else {
                        self.call(proxy, &endpoint, call, None);
                    }
                }
                GroupAction::Confirmed((id, result)) => {
                    if let Some(operation) = self.proxies[proxy].confirmations.remove(&id) {
                        self.on_confirmation(operation, result.is_ok());
                    }
                }
                GroupAction::FloorReady((id, result)) => {
                    if let Some(session) = self.proxies[proxy].floors.remove(&id) {
                        if let Ok(floor) = result {
                            self.sessions[session].floor.raise(floor);
                        }
                        self.next_step(session, 0);
                    }
                }
                GroupAction::Event(event) => self.history.events.push((self.now, proxy, event)),
            }
        }
    }

    fn proposer_name(&self, proposer: String) -> String {
        if self.config.switches.unique_proposers {
            proposer
        } else {
            "proxy".to_owned()
        }
    }

    /// Returns the status as the proxy sees it. If proposers share a name, each proxy takes any fence
    /// at its plan's term for its own.
    fn visible_status(&self, proxy: usize, mut status: EndpointStatus) -> EndpointStatus {
        if let Some(plan) = self.proxies[proxy].controller.plan()
            && !self.config.switches.unique_proposers
            && plan.proposal().0 == status.fenced_term
        {
            status.fenced_by = plan.proposal().1.to_owned();
        }
        status
    }

    fn call(&mut self, proxy: usize, endpoint: &EndpointId, call: Call, session: Option<usize>) {
        self.call_after(0, proxy, endpoint, call, session);
    }

    fn call_after(
        &mut self,
        wait: u64,
        proxy: usize,
        endpoint: &EndpointId,
        call: Call,
        session: Option<usize>,
    ) {
        let endpoint = (0..self.config.endpoints)
            .find(|&index| endpoint_id(index) == *endpoint)
            .unwrap();
        self.sequence += 1;
        let id = self.sequence;
        let node = self.proxy_node(proxy);
        let timeout = wait + CALL_TIMEOUT_MS + if let Call::Await(_, t) = call { t } else { 0 };
        let requested_at = self.now;
        self.calls.insert(
            id,
            OpenCall {
                proxy,
                endpoint,
                call,
                requested_at,
                session,
            },
        );
        let slow = self
            .slow
            .get(&endpoint)
            .filter(|&&(_, until)| self.now < until);
        let delay = wait + self.rng.random_range(1..3) + slow.map_or(0, |&(delay, _)| delay);
        // The first call on a silent connection is lost; later calls use a new connection.
        let silent = self.silent.remove(&(proxy, endpoint));
        let request_cut = self.is_cut(node, endpoint);
        let answer_cut = self.is_cut(endpoint, node);
        if self.is_down(endpoint) {
            let failure = CallFailure::ConnectFailed;
            self.push(delay, Event::CallFailed { call: id, failure });
            return;
        }
        if !request_cut && !silent {
            self.push(delay, Event::Deliver { call: id });
        }
        let failure = if request_cut || answer_cut {
            CallFailure::ConnectFailed
        } else {
            CallFailure::NoAnswer
        };
        self.push(timeout, Event::CallFailed { call: id, failure });
    }

    fn deliver(&mut self, id: u64) {
        let Some(open) = self.calls.get(&id).cloned() else {
            return;
        };
        let index = open.endpoint;
        if self.is_down(index) {
            return;
        }
        let endpoint = &mut self.endpoints[index];
        let mut succeeded = true;
        match &open.call {
            Call::Status => {}
            Call::Await(point, timeout) => {
                if endpoint.point() < *point {
                    self.awaits.push((id, index, *point));
                    self.push(*timeout, Event::AwaitTimeout { call: id });
                    return;
                }
            }
            Call::Fence(term, proposer) => endpoint.fence(*term, proposer, self.now),
            Call::Promote(term, proposer) => {
                if endpoint.promote(*term, proposer, &mut self.logs) {
                    let values = endpoint.log.iter().map(|entry| entry.value).collect();
                    let (at, term) = (self.now, *term);
                    let record = PromotionRecord {
                        at,
                        term,
                        endpoint: index,
                        values,
                    };
                    self.history.promotions.push(record);
                    self.replicate(index);
                }
            }
            Call::Write(value) => {
                succeeded = endpoint.write(*value, &mut self.logs);
                if succeeded {
                    self.replicate(index);
                }
            }
            Call::Read { session } => {
                let session = &self.sessions[*session];
                succeeded = session.required_entries.iter().all(|&(position, value)| {
                    let entry = endpoint.log.get(position as usize - 1);
                    entry.is_some_and(|entry| entry.value == value)
                });
            }
        }
        self.answer(id, succeeded);
    }

    fn answer_awaits(&mut self, index: usize) {
        let point = self.endpoints[index].point();
        let (ready, open): (Vec<_>, Vec<_>) = self
            .awaits
            .drain(..)
            .partition(|&(_, endpoint, wanted)| endpoint == index && point >= wanted);
        self.awaits = open;
        for (call, ..) in ready {
            self.answer(call, true);
        }
    }

    fn answer(&mut self, id: u64, succeeded: bool) {
        let Some(open) = self.calls.get(&id) else {
            return;
        };
        let (from, to) = (open.endpoint, self.proxy_node(open.proxy));
        let (percent, until) = self.answer_loss;
        let lost = self.now < until && self.rng.random_range(0..100) < percent;
        if lost || self.is_cut(from, to) || self.is_down(from) {
            return;
        }
        let answer = Answer {
            status: self.endpoints[from].status(self.now),
            succeeded,
            executed_at: self.now,
        };
        let delay = self.rng.random_range(1..3);
        self.push(delay, Event::Answer { call: id, answer });
    }

    fn finish(&mut self, id: u64, answer: Result<Answer, CallFailure>) {
        let Some(open) = self.calls.remove(&id) else {
            return;
        };
        self.awaits.retain(|&(call, ..)| call != id);
        let proxy = open.proxy;
        if self.proxies[proxy].dead {
            return;
        }
        let endpoint = endpoint_id(open.endpoint);
        let (requested_at, now) = (time(open.requested_at), time(self.now));
        let status = answer
            .clone()
            .map(|answer| self.visible_status(proxy, answer.status));
        let controller = &mut self.proxies[proxy].controller;
        let actions = match open.call {
            Call::Status => controller.on_status(&endpoint, requested_at, status, now),
            Call::Await(point, _) if !self.config.switches.evidence_checks_fence => {
                let without_fence = |mut status: EndpointStatus| {
                    status.fenced_term = Default::default();
                    status
                };
                controller.on_await(
                    &endpoint,
                    point,
                    requested_at,
                    status.map(without_fence),
                    now,
                )
            }
            Call::Await(point, _) => {
                controller.on_await(&endpoint, point, requested_at, status, now)
            }
            Call::Fence(..) | Call::Promote(..) => {
                controller.on_answer(&endpoint, requested_at, status, now)
            }
            Call::Write(value) => {
                self.on_write_answer(&open, value, answer.ok());
                return;
            }
            Call::Read { session } => {
                self.on_read_answer(&open, session, answer.ok());
                return;
            }
        };
        self.execute_actions(proxy, actions);
    }

    fn on_write_answer(&mut self, open: &OpenCall, value: u64, answer: Option<Answer>) {
        let session = open.session.unwrap();
        let Some(answer) = answer else {
            self.history.unknown_outcomes += 1;
            return self.next_step(session, 20);
        };
        let status = &answer.status;
        let valid = status.role == EndpointRole::Primary && status.fenced_term <= status.point.term;
        if !answer.succeeded || (self.config.switches.confirm && !valid) {
            return self.next_step(session, 20);
        }
        let record = AckRecord {
            at: open.requested_at,
            value,
            point: status.point,
            endpoint: open.endpoint,
            executed_at: answer.executed_at,
        };
        self.confirm(open, status.point, PendingOperation::Write(session, record));
    }

    fn on_read_answer(&mut self, open: &OpenCall, session: usize, answer: Option<Answer>) {
        let Some(answer) = answer else {
            return self.next_step(session, 20);
        };
        let floor = self.sessions[session].floor.point().unwrap_or_default();
        let below_floor = !answer.succeeded || answer.status.point < floor;
        if answer.status.role == EndpointRole::Replica {
            self.history.replica_reads += 1;
            return self.record_read(session, below_floor);
        }
        self.confirm(
            open,
            answer.status.point,
            PendingOperation::Read(session, below_floor),
        );
    }

    fn confirm(&mut self, open: &OpenCall, point: LogPoint, operation: PendingOperation) {
        if !self.config.switches.confirm {
            return self.on_confirmation(operation, true);
        }
        let deadline = time(self.now + CONFIRM_TIMEOUT_MS);
        let proxy = &mut self.proxies[open.proxy];
        let endpoint = endpoint_id(open.endpoint);
        let (id, actions) = proxy
            .controller
            .confirm(endpoint, point, deadline, time(self.now));
        proxy.confirmations.insert(id, operation);
        self.execute_actions(open.proxy, actions);
    }

    fn on_confirmation(&mut self, operation: PendingOperation, succeeded: bool) {
        match operation {
            PendingOperation::Write(session, mut record) => {
                if succeeded {
                    self.history.confirm_millis += self.now - record.at;
                    record.at = self.now;
                    let state = &mut self.sessions[session];
                    state.floor.raise(record.point);
                    state.required_entries = vec![(record.point.position.0, record.value)];
                    state.last_write = Some(self.now);
                    self.history.acks.push(record);
                } else {
                    self.history.unknown_outcomes += 1;
                }
                self.next_step(session, 0);
            }
            PendingOperation::Read(session, below_floor) if succeeded => {
                self.record_read(session, below_floor)
            }
            PendingOperation::Read(session, _) => self.next_step(session, 20),
        }
    }

    fn record_read(&mut self, session: usize, below_floor: bool) {
        self.history.reads += 1;
        if below_floor {
            let text = format!("session {session} read below its floor at {} ms", self.now);
            self.history.low_reads.push(text);
        }
        self.next_step(session, 0);
    }

    fn next_step(&mut self, session: usize, extra: u64) {
        self.sessions[session].busy = false;
        let think = self.rng.random_range(5..30);
        self.push(extra + think, Event::Step { session });
    }

    /// Starts the next operation of a session, which first moves to another proxy if its own died.
    fn step(&mut self, index: usize) {
        if self.sessions[index].busy {
            return;
        }
        let dead = self.proxies[self.sessions[index].proxy].dead;
        if dead || self.rng.random_range(0..100) < self.config.roaming_percent {
            self.roam(index);
        }
        let proxy = self.sessions[index].proxy;
        self.sessions[index].busy = true;
        if self.sessions[index].floor.point().is_none() && self.config.switches.floor_round {
            let (deadline, now) = (time(self.now + CONFIRM_TIMEOUT_MS), time(self.now));
            let (id, actions) = self.proxies[proxy].controller.floor(deadline, now);
            self.proxies[proxy].floors.insert(id, index);
            return self.execute_actions(proxy, actions);
        }
        let write = self.sessions[index].writes && self.rng.random_bool(0.5);
        let class = match (write, self.config.stale_reads) {
            (true, _) => RequestClass::Write,
            (false, true) => RequestClass::StaleRead,
            (false, false) => RequestClass::Read,
        };
        let Some(endpoint) = self.route(index, class) else {
            return self.next_step(index, 20);
        };
        let call = if write {
            self.next_value += 1;
            Call::Write(self.next_value)
        } else {
            Call::Read { session: index }
        };
        self.call(proxy, &endpoint, call, Some(index));
    }

    /// Moves a session to a random live proxy. With a probability of one half it loses its token, and
    /// with it its floor; its reads must then also include the latest acknowledged write.
    fn roam(&mut self, index: usize) {
        let keeps_token = self.rng.random_bool(0.5);
        let live: Vec<_> = (0..self.proxies.len())
            .filter(|&p| !self.proxies[p].dead)
            .collect();
        let proxy = live[self.rng.random_range(0..live.len())];
        let session = &mut self.sessions[index];
        session.proxy = proxy;
        if !keeps_token {
            session.floor = SessionFloor::default();
            let last = self.history.acks.last();
            session
                .required_entries
                .extend(last.map(|ack| (ack.point.position.0, ack.value)));
        }
    }

    fn route(&mut self, index: usize, class: RequestClass) -> Option<EndpointId> {
        let session = &self.sessions[index];
        let recent = |millis| session.last_write.is_some_and(|at| self.now < at + millis);
        let (class, keep_floor) = match self.config.switches.reads {
            ReadPolicy::Floors => (class, self.config.switches.floor),
            ReadPolicy::PrimaryOnly => (RequestClass::Write, true),
            ReadPolicy::PrimaryAfterWrite(millis) if recent(millis) => (RequestClass::Write, true),
            ReadPolicy::PrimaryAfterWrite(_) => (class, false),
        };
        let floor = session
            .floor
            .point()
            .filter(|_| keep_floor)
            .unwrap_or_default();
        let zone = format!("zone-{}", session.proxy % self.config.endpoints);
        let controller = &self.proxies[session.proxy].controller;
        let candidates = controller.candidates(time(self.now), |_| 0.0);
        let query = RouteQuery {
            class,
            floor,
            staleness_limit: Some(Duration::from_secs(2)),
            zone: &zone.parse().unwrap(),
            excluded: &[],
            seed: self.rng.random(),
        };
        let chosen = choose_endpoint(&candidates, &query).ok()?;
        Some(candidates[chosen].endpoint.clone())
    }

    /// Returns the primary with the highest term, or endpoint 0 if there is none.
    fn primary(&self) -> usize {
        let primaries = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_primary());
        primaries
            .max_by_key(|endpoint| endpoint.term())
            .map_or(0, |endpoint| endpoint.index)
    }

    fn cut(&mut self, from: usize, to: usize, until: u64) {
        self.cuts.insert((from, to), until);
    }

    fn apply_fault(&mut self, index: usize) {
        let primary = self.primary();
        let others: Vec<_> = (0..self.config.endpoints)
            .filter(|&e| e != primary)
            .collect();
        let until = |millis: u64| {
            if millis == FOREVER {
                FOREVER
            } else {
                self.now + millis
            }
        };
        match self.config.faults[index].1.clone() {
            Fault::CrashPrimary { millis } => {
                self.crashed.insert(primary, until(millis));
            }
            Fault::FreezePrimary { millis } => {
                self.frozen.insert(primary, until(millis));
            }
            Fault::IsolatePrimary { millis } => {
                let until = until(millis);
                for other in others {
                    self.cut(primary, other, until);
                    self.cut(other, primary, until);
                }
            }
            Fault::OneWayPrimary { inbound, millis } => {
                let until = until(millis);
                let nodes = self.config.endpoints + self.config.proxies;
                for node in (0..nodes).filter(|&node| node != primary) {
                    let (from, to) = if inbound {
                        (node, primary)
                    } else {
                        (primary, node)
                    };
                    self.cut(from, to, until);
                }
            }
            Fault::IsolateReplica { millis } => {
                let until = until(millis);
                let last = others[others.len() - 1];
                for node in (0..self.config.endpoints + self.config.proxies).filter(|&n| n != last)
                {
                    self.cut(node, last, until);
                    self.cut(last, node, until);
                }
            }
            Fault::CutNodes {
                sides: [left, right],
                millis,
            } => {
                let until = until(millis);
                for (&a, &b) in left.iter().flat_map(|a| right.iter().map(move |b| (a, b))) {
                    self.cut(a, b, until);
                    self.cut(b, a, until);
                }
            }
            Fault::SlowPrimary { delay, millis } => {
                self.slow.insert(primary, (delay, until(millis)));
            }
            Fault::SilentConnections => {
                self.silent
                    .extend((0..self.config.proxies).map(|proxy| (proxy, primary)));
            }
            Fault::CrashReplica { millis } => {
                self.crashed.insert(others[0], until(millis));
            }
            Fault::FreezeProxy { proxy, millis } => {
                self.frozen.insert(self.proxy_node(proxy), until(millis));
            }
            Fault::KillProposer => self.kill_proposer = true,
            Fault::FreezeProposer { millis } => self.freeze_proposer = Some(millis),
            Fault::ProposeAt { proxy } => {
                let controller = &mut self.proxies[proxy].controller;
                let actions = controller.force_promotion(time(self.now));
                self.execute_actions(proxy, actions);
            }
            Fault::ProposeEverywhere => {
                for proxy in 0..self.proxies.len() {
                    let controller = &mut self.proxies[proxy].controller;
                    let actions = controller.force_promotion(time(self.now));
                    self.execute_actions(proxy, actions);
                }
            }
            Fault::LoseAnswers { percent, millis } => self.answer_loss = (percent, until(millis)),
        }
    }
}
