//! Explores every order of events around a promotion in a small group, and checks that no
//! acknowledged commit is lost while an endpoint still holds it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use session_core::commit_evidence::AcknowledgedPoint;
use session_core::commit_evidence::CommitEvidence;
use session_core::commit_evidence::CommitReport;
use session_core::commit_evidence::DepartureLog;
use session_core::commit_evidence::InstanceLife;
use session_core::commit_evidence::ProcessLives;
use session_core::endpoint_entry::GroupRole;
use session_core::floor_history::FloorSample;
use session_core::ids::EndpointId;
use session_core::log_point::LogPoint;
use session_core::log_point::LogTerm;
use session_core::monotonic_time::MonotonicTime;
use session_core::promotion_step::EndpointReport;
use session_core::promotion_step::PromotionStep;
use session_core::promotion_step::SurveyedEndpoint;
use session_core::promotion_step::SurveyedGroup;

/// Index of the primary to be replaced.
const PRIMARY: usize = 0;

/// Number of endpoints at the start, its primary included.
const FIRST_ENDPOINTS: usize = 3;

/// Revisions of the open order and of the pending one.
const OPENED: u64 = 1;
const PENDING: u64 = 2;

/// Bounds of the model.
const MAX_COMMITS: u8 = 2;
const MAX_ENDPOINTS: usize = 4;
const MAX_EVENTS: usize = 10;

/// Maximum number of faults and replacements in an order of events.
const MAX_FAULTS: u8 = 2;

/// What the registry, and so the leader's view, says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RegistryState {
    /// It has not registered yet.
    Unregistered,
    Listed,
    /// Its entry is gone, for less than the time after which it is dropped.
    Missing,
    Dropped,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelEndpoint {
    log: u8,
    /// Whether its process runs.
    runs: bool,
    /// Whether it receives commits.
    receives: bool,
    /// Whether the leader's queries reach it.
    answers: bool,
    registry: RegistryState,
    /// The first endpoint at its address.
    address: usize,
}

/// An instance beside the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelInstance {
    life: u64,
    runs: bool,
    /// Whether it has stopped using the primary.
    stopped: bool,
    /// Whether the leader lists it as a member.
    listed: bool,
    passed: Option<u8>,
}

/// Reports of a survey, as they are passed to the decision.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelSurvey {
    /// For each endpoint of the survey: index, reported log, and whether it is listed.
    reports: Vec<(usize, Option<u8>, bool)>,
    demoted: bool,
    unused: bool,
    /// The listed endpoint at the address of the primary, if it is another one.
    successor: Option<usize>,
    acknowledged: AcknowledgedPoint,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GroupModel {
    endpoints: Vec<ModelEndpoint>,
    other: ModelInstance,
    demoted: bool,
    /// Whether the order is pending, so that the leader does not use the primary either.
    pending: bool,
    /// Whether the present leader has written the pending order.
    written: bool,
    unused: bool,
    /// Highest commit whose acknowledgement reached a caller.
    acknowledged: u8,
    evidence: CommitEvidence,
    departures: DepartureLog,
    /// Advances with each departure; the order of other events does not matter to the evidence.
    clock: u64,
    former_silent: bool,
    earlier: Option<u8>,
    survey: Option<ModelSurvey>,
    /// Target of a promotion that was requested and has not taken effect.
    called: Option<usize>,
    /// Number of faults and replacements so far.
    faults: u8,
    /// Number of the first endpoints, the primary being the first, whose zones are evacuated.
    evacuated: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ModelEvent {
    /// The primary commits, and the leader or the other instance passes the acknowledgement on.
    LeaderCommit,
    OtherCommit,
    /// The primary tells the leader its position.
    Sample,
    /// The other instance learns the pending order, stops and reports.
    OtherReports,
    /// It stops since it has no evidence from the store, and its report does not arrive.
    OtherStops,
    OtherDies,
    DepartureSeen,
    /// It has restarted, and the leader sees its new member key.
    RestartSeen,
    /// The leader dies, and another process that knows nothing becomes the leader.
    LeaderDies,
    /// The leader has waited until no instance uses the primary.
    Unused,
    SwitchReceiving(usize),
    SwitchAnswers(usize),
    /// The endpoint ends, and another one takes over its address and log.
    EndInPlace(usize),
    Register(usize),
    /// The entry of a running endpoint lapses.
    Lapse(usize),
    Drop(usize),
    Survey,
    Act,
    Effect,
}

fn member_id(index: usize) -> EndpointId {
    let name = format!("e{index}");
    name.parse().expect("the name is valid")
}

fn point(log: u8) -> LogPoint {
    LogPoint::new(1, u64::from(log))
}

impl ModelInstance {
    fn new(life: u64) -> Self {
        Self {
            life,
            runs: true,
            stopped: false,
            listed: true,
            passed: None,
        }
    }

    fn life(&self) -> InstanceLife {
        InstanceLife {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            registered_at: self.life.into(),
        }
    }
}

impl GroupModel {
    fn new(evacuated: usize) -> Self {
        let endpoint = ModelEndpoint {
            log: 0,
            runs: true,
            receives: true,
            answers: true,
            registry: RegistryState::Listed,
            address: 0,
        };
        let mut departures = DepartureLog::default();
        departures.record_gap(MonotonicTime::from_nanos(1));
        let mut evidence = CommitEvidence::default();
        let sample = FloorSample {
            requested_at: MonotonicTime::from_nanos(2),
            point: point(0),
        };
        evidence.record_sample(OPENED.into(), sample, &departures);
        let addresses = 0..FIRST_ENDPOINTS;
        let endpoints = addresses.map(|address| ModelEndpoint {
            address,
            ..endpoint.clone()
        });
        Self {
            endpoints: endpoints.collect(),
            other: ModelInstance::new(0),
            demoted: false,
            pending: false,
            written: false,
            unused: false,
            acknowledged: 0,
            evidence,
            departures,
            clock: 3,
            former_silent: false,
            earlier: None,
            survey: None,
            called: None,
            faults: 0,
            evacuated,
        }
    }

    fn events(&self) -> Vec<ModelEvent> {
        let mut events = vec![ModelEvent::Survey];
        let primary = &self.endpoints[PRIMARY];
        let leads = primary.runs && !self.demoted;
        if leads && primary.log < MAX_COMMITS {
            if !self.pending {
                events.push(ModelEvent::LeaderCommit);
            }
            if self.other.runs && !self.other.stopped {
                events.push(ModelEvent::OtherCommit);
            }
        }
        if leads && !self.pending && primary.answers {
            events.push(ModelEvent::Sample);
        }
        if self.other.runs && self.written {
            events.push(ModelEvent::OtherReports);
        }
        if !self.other.runs && self.other.listed {
            events.push(ModelEvent::DepartureSeen);
            events.push(ModelEvent::RestartSeen);
        }
        if self.written && !self.unused && (!self.other.runs || self.other.stopped) {
            events.push(ModelEvent::Unused);
        }
        if self.survey.is_some() && self.called.is_none() {
            events.push(ModelEvent::Act);
        }
        if self.called.is_some() {
            events.push(ModelEvent::Effect);
        }
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if endpoint.registry == RegistryState::Missing {
                events.push(ModelEvent::Drop(index));
            }
            if endpoint.runs && endpoint.registry != RegistryState::Listed {
                events.push(ModelEvent::Register(index));
            }
        }
        if self.faults < MAX_FAULTS {
            events.extend(self.fault_events());
        }
        events
    }

    fn fault_events(&self) -> Vec<ModelEvent> {
        let mut events = vec![ModelEvent::LeaderDies];
        if self.other.runs {
            events.push(ModelEvent::OtherDies);
            if !self.other.stopped {
                events.push(ModelEvent::OtherStops);
            }
        }
        let endpoints = self.endpoints.iter().enumerate();
        for (index, endpoint) in endpoints.filter(|(_, endpoint)| endpoint.runs) {
            events.push(ModelEvent::SwitchAnswers(index));
            // The replicas of the start are alike: the first one fails first.
            let is_first = index != 2 || !self.endpoints[1].receives;
            if index != PRIMARY && is_first {
                events.push(ModelEvent::SwitchReceiving(index));
            }
            if endpoint.registry == RegistryState::Listed {
                events.push(ModelEvent::Lapse(index));
                if self.endpoints.len() < MAX_ENDPOINTS {
                    events.push(ModelEvent::EndInPlace(index));
                }
            }
        }
        events
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_nanos(self.clock)
    }

    /// Applies an event. Returns the endpoint whose promotion took effect, if one did.
    fn apply(&mut self, event: ModelEvent) -> Option<usize> {
        self.faults += u8::from(self.fault_events().contains(&event));
        match event {
            ModelEvent::LeaderCommit => {
                if let Some(written) = self.commit() {
                    self.evidence.record_passed(OPENED.into(), point(written));
                }
            }
            ModelEvent::OtherCommit => {
                self.other.passed = self.commit().or(self.other.passed);
            }
            ModelEvent::Sample => {
                let sample = FloorSample {
                    requested_at: self.now(),
                    point: point(self.endpoints[PRIMARY].log),
                };
                self.evidence
                    .record_sample(OPENED.into(), sample, &self.departures);
            }
            ModelEvent::OtherReports => {
                self.other.stopped = true;
                let report = CommitReport {
                    service: "orders".parse().expect("the name is valid"),
                    pending: PENDING.into(),
                    opened: OPENED.into(),
                    passed: self.other.passed.map(point),
                };
                let life = self.other.life();
                let process = ProcessLives {
                    first: life.registered_at,
                    last: life.registered_at,
                };
                self.evidence.record_report(life.address, process, &report);
            }
            ModelEvent::OtherStops => self.other.stopped = true,
            ModelEvent::OtherDies => self.other.runs = false,
            ModelEvent::DepartureSeen => {
                self.other.listed = false;
                self.departures.record(self.other.life(), self.now());
                self.clock += 1;
            }
            ModelEvent::RestartSeen => {
                self.departures.record_gap(self.now());
                self.clock += 1;
                self.other = ModelInstance::new(self.other.life + 1);
                // A member that registers after the pending order has read it.
                self.other.stopped = self.pending;
                self.other.listed = !self.pending;
            }
            ModelEvent::LeaderDies => {
                self.evidence = CommitEvidence::default();
                self.departures = DepartureLog::default();
                self.departures.record_gap(self.now());
                self.clock += 1;
                self.written = false;
                self.unused = false;
                self.survey = None;
                self.earlier = None;
                self.former_silent = false;
            }
            ModelEvent::Unused => self.unused = true,
            ModelEvent::SwitchReceiving(index) => self.endpoints[index].receives ^= true,
            ModelEvent::SwitchAnswers(index) => self.endpoints[index].answers ^= true,
            ModelEvent::EndInPlace(index) => {
                let former = &mut self.endpoints[index];
                former.runs = false;
                former.registry = RegistryState::Missing;
                let successor = ModelEndpoint {
                    runs: true,
                    registry: RegistryState::Unregistered,
                    ..former.clone()
                };
                self.endpoints.push(successor);
            }
            ModelEvent::Register(index) => {
                self.endpoints[index].registry = RegistryState::Listed;
            }
            ModelEvent::Lapse(index) => self.endpoints[index].registry = RegistryState::Missing,
            ModelEvent::Drop(index) => self.endpoints[index].registry = RegistryState::Dropped,
            ModelEvent::Survey => self.take_survey(),
            ModelEvent::Act => self.act(),
            ModelEvent::Effect => {
                let target = self.called.take()?;
                return Some(target).filter(|target| self.endpoints[*target].runs);
            }
        }
        None
    }

    /// Commits; returns the position if a replica received it, so that it is acknowledged.
    fn commit(&mut self) -> Option<u8> {
        self.endpoints[PRIMARY].log += 1;
        let written = self.endpoints[PRIMARY].log;
        let mut received = false;
        for replica in &mut self.endpoints[PRIMARY + 1..] {
            if replica.runs && replica.receives {
                replica.log = written;
                received = true;
            }
        }
        if received {
            self.acknowledged = written;
        }
        received.then_some(written)
    }

    fn take_survey(&mut self) {
        let mut reports = Vec::new();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let listed = match endpoint.registry {
                RegistryState::Listed | RegistryState::Missing => true,
                RegistryState::Dropped if index == PRIMARY && !self.former_silent => false,
                _ => continue,
            };
            let report = (endpoint.runs && endpoint.answers).then_some(endpoint.log);
            self.former_silent |= report.is_none() && !listed;
            reports.push((index, report, listed));
        }
        let pending = self.written.then_some(PENDING.into());
        let members = self.other.listed.then(|| self.other.life());
        let members: HashSet<InstanceLife> = members.into_iter().collect();
        let evidence = &self.evidence;
        let acknowledged = evidence.acknowledged(pending, &members, &self.departures);
        self.survey = Some(ModelSurvey {
            reports,
            demoted: self.demoted,
            unused: self.unused,
            successor: self.successor_of(PRIMARY),
            acknowledged,
        });
    }

    fn act(&mut self) {
        let Some(survey) = self.survey.take() else {
            return;
        };
        let step = self.step(&survey);
        let primary = survey.reports.iter().find(|(index, ..)| *index == PRIMARY);
        self.earlier = primary.and_then(|(_, log, _)| *log);
        match step {
            PromotionStep::Demote { .. } => {
                self.write_pending();
                let primary = &self.endpoints[PRIMARY];
                self.demoted |= primary.runs && primary.answers;
            }
            PromotionStep::StopUse(_) => self.write_pending(),
            PromotionStep::Promote(target) => {
                self.write_pending();
                let mut indexes = 0..self.endpoints.len();
                self.called = indexes.find(|index| member_id(*index) == target);
            }
            PromotionStep::Leads(_) | PromotionStep::Wait => {}
        }
    }

    fn successor_of(&self, index: usize) -> Option<usize> {
        let mut endpoints = self.endpoints.iter().enumerate();
        endpoints
            .find(|(other, endpoint)| {
                *other != index
                    && endpoint.address == index
                    && endpoint.registry == RegistryState::Listed
            })
            .map(|(other, _)| other)
    }

    fn write_pending(&mut self) {
        self.pending = true;
        self.written = true;
    }

    fn step(&self, survey: &ModelSurvey) -> PromotionStep {
        let role = |index: usize| match index == PRIMARY && !survey.demoted {
            true => GroupRole::Primary,
            false => GroupRole::Replica,
        };
        let reports = survey.reports.iter();
        let members: Vec<SurveyedEndpoint> = reports
            .map(|(index, log, listed)| SurveyedEndpoint {
                id: member_id(*index),
                report: log.map(|log| EndpointReport {
                    role: role(*index),
                    term: LogTerm(1),
                    received: point(log),
                    paused_term: LogTerm(0),
                }),
                draining: false,
                listed: *listed,
                evacuated: *index < self.evacuated,
            })
            .collect();
        let successor = survey.successor.map(member_id);
        let group = SurveyedGroup {
            members: &members,
            former: Some(&member_id(PRIMARY)),
            successor: successor.as_ref(),
            former_lost: false,
            former_unused: survey.unused,
            former_may_return: self.pending,
            acknowledged: survey.acknowledged,
            earlier_point: self.earlier.map(point),
        };
        group.next_step()
    }

    /// Returns whether a promotion of `target` loses a commit that another endpoint still holds.
    fn is_loss(&self, target: usize) -> bool {
        let acknowledged = self.acknowledged;
        let holds = |e: &ModelEndpoint| e.runs && e.log >= acknowledged;
        self.endpoints[target].log < acknowledged && self.endpoints.iter().any(holds)
    }
}

/// What an exploration has found.
struct ExploredOrders {
    /// The shortest order of events that loses a commit.
    loss: Option<Vec<ModelEvent>>,
    /// Number of promotions that took effect, by target.
    promotions: HashMap<usize, usize>,
}

/// Explores all orders of up to `events` events in a group whose first `evacuated` endpoints are in
/// evacuated zones. Unless `follows_steps`, the first replica is promoted at once.
fn explore(events: usize, evacuated: usize, follows_steps: bool) -> ExploredOrders {
    let mut found = ExploredOrders {
        loss: None,
        promotions: HashMap::new(),
    };
    let mut seen = HashSet::from([GroupModel::new(evacuated)]);
    // Each state with the index of the one before it and the event between them.
    let mut states = vec![(GroupModel::new(evacuated), None)];
    let mut level = 0..1;
    for _ in 0..events {
        for index in level.clone() {
            for event in states[index].0.events() {
                let mut next = states[index].0.clone();
                let mut promoted = next.apply(event);
                if !follows_steps && event == ModelEvent::Act {
                    promoted = Some(PRIMARY + 1);
                }
                if let Some(target) = promoted {
                    *found.promotions.entry(target).or_default() += 1;
                    if next.is_loss(target) {
                        let mut events = vec![event];
                        let mut current = index;
                        while let Some((earlier, event)) = states[current].1 {
                            events.push(event);
                            current = earlier;
                        }
                        events.reverse();
                        found.loss = Some(events);
                        return found;
                    }
                } else if seen.insert(next.clone()) {
                    states.push((next, Some((index, event))));
                }
            }
        }
        level = level.end..states.len();
    }
    println!("{} states, promotions {:?}", states.len(), found.promotions);
    found
}

/// No order of commits, replacements in place, lapsed entries, silences, deaths of instances and
/// surveys may lose a commit that an endpoint holds: one that only an unregistered successor had
/// received was lost.
#[test]
fn no_order_loses_commits() {
    let found = explore(MAX_EVENTS, 0, true);
    assert_eq!(found.loss, None);
    // The primary itself, its replicas and a successor.
    let promoted = |target| found.promotions.contains_key(&target);
    assert!((0..MAX_ENDPOINTS).all(promoted), "{:?}", found.promotions);
}

/// An endpoint that is preferred because its zone is not evacuated must have every acknowledged commit.
#[test]
fn no_evacuation_loses_commits() {
    for evacuated in 1..FIRST_ENDPOINTS {
        let found = explore(MAX_EVENTS - 1, evacuated, true);
        assert_eq!(found.loss, None, "{evacuated} endpoints evacuated");
        let promoted = |target| found.promotions.contains_key(&target);
        assert!(promoted(FIRST_ENDPOINTS - 1), "{:?}", found.promotions);
    }
}

/// The exploration must find the loss of a promotion that does not follow the steps.
#[test]
fn unsafe_promotion_is_found() {
    let found = explore(MAX_EVENTS, 0, false);
    let loss = found.loss.expect("a commit is lost");
    assert_eq!(loss.last(), Some(&ModelEvent::Act));
}
