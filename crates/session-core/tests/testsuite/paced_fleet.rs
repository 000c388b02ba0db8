//! A simulated zone: instances that send reads to the three endpoints of a service and steer by the
//! digest of the first instance.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_entry::GroupRole;
use session_core::endpoint_load::EndpointLoad;
use session_core::endpoint_pace::EndpointPace;
use session_core::endpoint_pace::PacedCandidate;
use session_core::monotonic_time::MonotonicTime;
use session_core::pace_collector::PaceChange;
use session_core::pace_collector::PaceCollector;
use session_core::pace_report::PaceReport;
use session_core::pace_sample::EndpointTag;
use session_core::pace_sample::PaceSample;
use session_core::pace_sample::StatementTime;
use session_core::pace_sample::WorkKind;
use session_core::units::SlotCount;

pub const ENDPOINTS: usize = 3;

const SLOTS: usize = 4;
const REPORT_PERIOD_US: u64 = 500_000;
const MESSAGE_TIME_US: u64 = 2_000;
const IDLE_TIME_US: u64 = 1_500_000;

/// Lengths of the kinds of work in microseconds.
const WORK_US: [u64; 3] = [5_000, 20_000, 55_000];

/// How an endpoint behaves at one time.
#[derive(Debug, Clone, Copy)]
pub struct Condition {
    /// Factor of the length of its statements.
    pub slowness: f64,
    /// Fraction of statements that it fails at once.
    pub failures: f64,
}

pub const HEALTHY: Condition = Condition {
    slowness: 1.0,
    failures: 0.0,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Read {
    instance: usize,
    endpoint: usize,
    kind: usize,
    sent_us: u64,
    failed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Report(usize),
    Digest(usize, u64),
    End(Read),
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<Read>,
}

struct Decider {
    pace: EndpointPace,
    report: PaceReport,
    loads: [EndpointLoad; ENDPOINTS],
    used_us: [Option<u64>; ENDPOINTS],
}

pub struct PacedFleet {
    now_us: u64,
    random: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    pause_us: u64,
    entries: Vec<EndpointEntry>,
    servers: Vec<Server>,
    deciders: Vec<Decider>,
    collector: PaceCollector,
    condition: fn(usize, u64) -> Condition,
    /// Reads by endpoint and half second of their choice.
    counts: BTreeMap<u64, [u32; ENDPOINTS]>,
    pub changes: Vec<(u64, PaceChange)>,
}

pub fn entry(number: usize, zone: &str) -> EndpointEntry {
    EndpointEntry {
        id: format!("orders-{number}").parse().expect("an id"),
        service: "orders".parse().expect("an id"),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16)),
        zone: zone.parse().expect("an id"),
        slots: SlotCount(SLOTS as u32),
        draining: false,
        role: GroupRole::Replica,
        born: 1,
        cold_time: Duration::ZERO,
    }
}

impl PacedFleet {
    /// Creates a fleet that sends `rate_per_s` reads in all; `condition` gives that of each endpoint
    /// at each millisecond.
    pub fn new(
        instances: usize,
        rate_per_s: u64,
        seed: u64,
        condition: fn(usize, u64) -> Condition,
    ) -> Self {
        let decider = |number: usize| Decider {
            pace: EndpointPace::new(seed * 1_000 + number as u64),
            report: PaceReport::default(),
            loads: Default::default(),
            used_us: [None; ENDPOINTS],
        };
        let mut fleet = Self {
            now_us: 0,
            random: seed,
            events: BinaryHeap::new(),
            sequence: 0,
            pause_us: 2_000_000 * instances as u64 / rate_per_s,
            entries: (0..ENDPOINTS).map(|number| entry(number, "a")).collect(),
            servers: (0..ENDPOINTS).map(|_| Server::default()).collect(),
            deciders: (0..instances).map(decider).collect(),
            collector: PaceCollector::default(),
            condition,
            counts: BTreeMap::new(),
            changes: Vec::new(),
        };
        for instance in 0..instances {
            let pause_us = fleet.draw(fleet.pause_us);
            fleet.schedule(pause_us, Event::Arrival(instance));
            let pause_us = fleet.draw(REPORT_PERIOD_US);
            fleet.schedule(pause_us, Event::Report(instance));
        }
        fleet
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now_us = at;
            self.handle(event);
            if at >= end_ms * 1_000 {
                return;
            }
        }
    }

    /// Returns the share of each endpoint in the reads from one time to another.
    pub fn shares(&self, from_ms: u64, to_ms: u64) -> [f64; ENDPOINTS] {
        let mut sums = [0; ENDPOINTS];
        for counts in self.counts.range(from_ms / 500..to_ms / 500) {
            for (sum, count) in sums.iter_mut().zip(counts.1) {
                *sum += count;
            }
        }
        let total: u32 = sums.iter().sum();
        sums.map(|sum| f64::from(sum) / f64::from(total.max(1)))
    }

    /// Returns the shares of an endpoint in each second from one time to another.
    pub fn share_by_second(&self, endpoint: usize, from_ms: u64, to_ms: u64) -> Vec<f64> {
        let seconds = (from_ms..to_ms).step_by(1_000);
        seconds
            .map(|from| self.shares(from, from + 1_000)[endpoint])
            .collect()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(instance) => {
                self.send_read(instance);
                let pause_us = self.draw(self.pause_us);
                self.schedule(pause_us, Event::Arrival(instance));
            }
            Event::Report(instance) => {
                let now = self.now();
                let samples = self.deciders[instance].report.take();
                self.collector.record(&samples, now);
                for change in self.collector.update(self.entries.iter(), now) {
                    self.changes.push((self.now_us / 1_000, change));
                }
                self.schedule(MESSAGE_TIME_US, Event::Digest(instance, self.now_us));
                self.schedule(REPORT_PERIOD_US, Event::Report(instance));
            }
            Event::Digest(instance, sent_us) => {
                let sent = MonotonicTime::from_nanos(sent_us * 1_000);
                let digest = self.collector.digest();
                self.deciders[instance].pace.record_digest(sent, digest);
            }
            Event::End(read) => self.end_read(read),
        }
    }

    fn send_read(&mut self, instance: usize) {
        let (now, now_us) = (self.now(), self.now_us);
        let decider = &mut self.deciders[instance];
        let mut candidates = Vec::new();
        for (number, entry) in self.entries.iter().enumerate() {
            let used_us = decider.used_us[number];
            let connected = used_us.is_some_and(|at| now_us < at + IDLE_TIME_US);
            candidates.push(PacedCandidate {
                endpoint: EndpointTag::of(entry),
                cost_ms: decider.loads[number].paced_cost_ms(true, connected, now),
            });
        }
        let endpoint = decider.pace.choose(&candidates).expect("a choice");
        decider.used_us[endpoint] = Some(now_us);
        decider.loads[endpoint].outstanding += 1;
        self.counts.entry(now_us / 500_000).or_default()[endpoint] += 1;
        let failures = (self.condition)(endpoint, now_us / 1_000).failures;
        let read = Read {
            instance,
            endpoint,
            kind: self.draw(WORK_US.len() as u64) as usize,
            sent_us: now_us,
            failed: (self.draw(1_000) as f64) < failures * 1_000.0,
        };
        if read.failed {
            self.schedule(MESSAGE_TIME_US, Event::End(read));
        } else {
            self.servers[endpoint].waiting.push_back(read);
            self.start_reads(endpoint);
        }
    }

    fn start_reads(&mut self, endpoint: usize) {
        while self.servers[endpoint].running < SLOTS
            && let Some(read) = self.servers[endpoint].waiting.pop_front()
        {
            self.servers[endpoint].running += 1;
            let condition = (self.condition)(endpoint, self.now_us / 1_000);
            let time_us = (WORK_US[read.kind] as f64 * condition.slowness) as u64;
            let time_us = time_us + self.draw(1_500);
            self.schedule(time_us, Event::End(read));
        }
    }

    fn end_read(&mut self, read: Read) {
        let took = Duration::from_micros(self.now_us - read.sent_us);
        let decider = &mut self.deciders[read.instance];
        decider.loads[read.endpoint].outstanding -= 1;
        decider.report.record(PaceSample {
            endpoint: EndpointTag::of(&self.entries[read.endpoint]),
            kind: WorkKind(read.kind as u32),
            took: (!read.failed).then(|| StatementTime::from(took)),
        });
        if !read.failed {
            self.servers[read.endpoint].running -= 1;
            self.start_reads(read.endpoint);
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_nanos(self.now_us * 1_000)
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.sequence += 1;
        let at = self.now_us + after_us;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Returns a number below `end` from a linear congruential generator.
    fn draw(&mut self, end: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = self.random.wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % end.max(1)
    }
}
