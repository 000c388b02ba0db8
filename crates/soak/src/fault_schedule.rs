//! Derives the faults of a run from its seed.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use standins::platform::answer_faults::AnswerDamage;
use standins::platform::answer_faults::AnswerFault;
use standins::platform::answer_faults::AnswerKind;

use crate::link_proxy::LinkFault;

/// Seeds that are a multiple of this run planned work only, during which no connection may be
/// closed before its request is answered.
pub const PLANNED_SEED_INTERVAL: u64 = 4;

/// Time before the first fault, in which the callers open their sessions.
const FIRST_FAULT_DELAY: Duration = Duration::from_millis(800);

/// Time between the starts of two faults. Most faults last longer, so that they overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..1_200;

/// Duration of a fault. The longest exceed the time for which the daemon trusts its last evidence
/// from the store.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4_500;

/// Time between the starts of two faults of a run with changes of the group.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 300..2_500;

/// Time between the starts of two faults beside releases in place, which last longer.
const RELEASE_INTERVAL_MS: std::ops::Range<u64> = 200..1_800;

/// Time between the starts of two faults of a run with evacuations.
const EVACUATION_INTERVAL_MS: std::ops::Range<u64> = 300..2_500;

/// Time for which an availability zone is evacuated. It may end before the zone had to be left.
const EVACUATION_MS: std::ops::Range<u64> = 200..12_000;

/// Time for which an availability zone is lost: shorter than the time after which the log of a
/// missing endpoint counts as lost.
const ZONE_LOSS_MS: std::ops::Range<u64> = 500..7_000;

/// Number of availability zones of a run with evacuations.
const ZONE_COUNT: usize = 3;

/// Time for which an endpoint drains before it is replaced in place: the drain time of the daemons'
/// settings and a little longer.
const RELEASE_DRAIN_MS: std::ops::Range<u64> = 4_100..5_500;

/// Time between the end of an endpoint that was released in place and the drain of the next one.
const RELEASE_PAUSE_MS: std::ops::Range<u64> = 0..2_500;

/// Time from the end of an endpoint that was released in place until its successor is registered.
const REGISTRATION_DELAY_MS: std::ops::Range<u64> = 0..1_500;

/// The same time while the successor is cut off from the store.
const LATE_REGISTRATION_MS: std::ops::Range<u64> = 1_500..8_000;

/// Time for which a replica receives nothing beside a release in place, from before its end.
const RELEASE_DEAF_MS: std::ops::Range<u64> = 3_000..9_000;

/// Time before the end of an endpoint that is released in place at which other faults begin.
const BEFORE_END_MS: std::ops::Range<u64> = 0..1_000;

/// Time between the starts of two faults of a run with drills.
const DRILL_INTERVAL_MS: std::ops::Range<u64> = 300..2_000;

/// Age of the copy from which the store comes back in a drill.
const COPY_AGE_MS: std::ops::Range<u64> = 200..8_000;

/// Delay that a link adds to each chunk.
const LINK_DELAY_MS: std::ops::Range<u64> = 5..250;

/// Time between the starts of two faults of answers, which run beside the other faults.
const ANSWER_INTERVAL_MS: std::ops::Range<u64> = 100..900;

/// Longest time after which an answer is sent again: from less than the time of a statement to more
/// than the time for which an idle connection is kept.
const COPY_DELAYS_MS: [u64; 4] = [5, 50, 500, 4_000];

/// Longest pause between two pieces of an answer. It is shorter than the timeout of statements.
const SPLIT_PAUSE_MS: std::ops::Range<u64> = 1..200;

/// Number of answers among 1,000 that are copied, split, and lost or cut off.
const COPIES_PER_MILLE: std::ops::Range<u32> = 20..400;
const SPLITS_PER_MILLE: std::ops::Range<u32> = 20..300;
const BREAKS_PER_MILLE: std::ops::Range<u32> = 2..60;

/// Distinguishes the random choices of the faults of answers from those of the other faults.
const ANSWER_SEED: u64 = 0x616e_7377;

/// A fault or a planned action on a daemon process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// The process is suspended and resumed later.
    Pause,
    /// The process is killed and restarted.
    Kill,
    /// The process is terminated with SIGTERM and restarted after it has exited.
    Terminate,
    /// The process reloads its settings.
    Reload,
}

/// What a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScheduleKind {
    /// Overlapping faults of links, processes, endpoints and the store.
    Faults,
    /// Planned work only, during which no connection may be closed before its request is answered.
    Planned,
    /// Endpoints that join, leave, restart and fall silent or deaf, with faults of leaders and of the
    /// store.
    Changes,
    /// Endpoints that are released in place, one after the other, with faults of replication, leaders
    /// and the store.
    Releases,
    /// Availability zones that are evacuated and lost, with faults of leaders and processes.
    Evacuations,
    /// A store that comes back from older copies, with replaced primaries and overlapping faults.
    Drills,
}

impl fmt::Display for ScheduleKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ScheduleKind::Faults => "faults",
            ScheduleKind::Planned => "planned work",
            ScheduleKind::Changes => "changes",
            ScheduleKind::Releases => "releases",
            ScheduleKind::Evacuations => "evacuations",
            ScheduleKind::Drills => "drills",
        })
    }
}

/// How an availability zone is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneLoss {
    /// Its processes and endpoints are suspended and resumed later.
    Paused,
    /// Its processes reach the store no more, and nobody reaches its endpoints.
    Cut,
}

/// Which endpoint a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChoice {
    /// The primary.
    Primary,
    /// The replica with this number, modulo the number of replicas.
    Replica(usize),
}

/// A fault or a planned action that a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFault {
    /// A new endpoint joins, and an old one drains for the duration and leaves. A primary leaves once
    /// it has been replaced.
    Release(EndpointChoice),
    /// The endpoint with this number drains for the duration, ends even if it is the primary, and
    /// hands its address and its log over to another one, which registers after this time.
    ReleaseInPlace(usize, Duration),
    /// The endpoint with this number receives nothing.
    EndpointDeaf(usize),
    /// A replica receives nothing.
    ReplicaDeaf(usize),
    /// The primary is cut off from all replicas.
    ReplicasCut,
    /// An endpoint joins this time after the next promotion request.
    JoinsDuringChange(Duration),
    /// Targets of promotions receive nothing until the promotion takes effect.
    TargetsDeaf,
    /// A replica leaves while the others receive nothing, and is replaced later.
    LastReplicaLeaves(usize),
    /// A replica restarts without its log.
    ReplicaRestarts(usize),
    /// The leader is killed and restarted after the duration.
    LeaderKilled,
    /// The store does not answer changes, and does them after this time.
    StoreChangesLate(Duration),
    /// Acts on the process of one instance.
    Process(usize, ProcessFault),
    /// Kills all processes and restarts them.
    KillAll,
    /// Disturbs the link from one instance to the store.
    StoreLink(usize, LinkFault),
    /// Resets the connections of one instance to the store.
    StoreReset(usize),
    /// Disturbs the link to one endpoint.
    EndpointLink(usize, LinkFault),
    /// Resets the connections to one endpoint.
    EndpointReset(usize),
    /// One endpoint stops answering.
    EndpointSilent(usize),
    /// The primary is marked as draining.
    PrimaryDrains,
    /// Replicas apply commits with this delay.
    ReplicaLag(Duration),
    /// The answers to this many reads are lost.
    LostAnswers(u32),
    /// Answers of endpoints are damaged.
    Answers(AnswerFault),
    /// Endpoints refuse this many statements, as their queues are full.
    BusyStatements(u32),
    /// The store does not answer.
    StoreSilent,
    /// The store refuses all requests.
    StoreBusy,
    /// The store applies changes but does not answer.
    StoreLosesAnswers,
    /// The store drops the history that watches read.
    StoreDropsHistory,
    /// The store is copied, accepts configurations for this time, and comes back from the copy.
    StoreDrill(Duration),
    /// A key is withdrawn and restored.
    KeyWithdrawn,
    /// A new version of the configuration is accepted.
    Configuration,
    /// The availability zone with this number is evacuated.
    ZoneEvacuated(usize),
    /// All processes and endpoints of the zone with this number are lost and come back.
    ZoneLost(usize, ZoneLoss),
}

/// A fault with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Start of the fault, from the start of the schedule.
    pub starts_after: Duration,
    /// Duration of the fault; ignored by faults that have none.
    pub duration: Duration,
    /// Fault to inject.
    pub fault: SoakFault,
}

/// Returns whether a seed runs planned work only.
pub fn is_planned(seed: u64) -> bool {
    seed.is_multiple_of(PLANNED_SEED_INTERVAL)
}

/// Returns what a seed runs unless it is given.
pub fn kind_of(seed: u64) -> ScheduleKind {
    match is_planned(seed) {
        true => ScheduleKind::Planned,
        false => ScheduleKind::Faults,
    }
}

/// Returns the faults of a seed that begin before `end`.
pub fn draw_faults(
    kind: ScheduleKind,
    seed: u64,
    instances: usize,
    endpoints: usize,
    end: Duration,
) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut starts_after = FIRST_FAULT_DELAY;
    if kind == ScheduleKind::Releases {
        faults.extend(draw_releases(&mut random, endpoints, end));
    }
    while starts_after < end {
        match kind {
            ScheduleKind::Planned => {
                let fault = draw_planned(&mut random, instances);
                faults.push(schedule(&mut random, starts_after, fault));
            }
            ScheduleKind::Faults => {
                let fault = draw_fault(&mut random, instances, endpoints);
                faults.push(schedule(&mut random, starts_after, fault));
            }
            ScheduleKind::Drills => {
                let fault = draw_drill(&mut random, instances, endpoints);
                faults.push(schedule(&mut random, starts_after, fault));
            }
            ScheduleKind::Releases => {
                let fault = draw_beside_release(&mut random, instances, endpoints);
                faults.push(schedule(&mut random, starts_after, fault));
            }
            ScheduleKind::Evacuations => {
                let fault = draw_evacuation(&mut random, instances);
                let mut fault = schedule(&mut random, starts_after, fault);
                let range = match fault.fault {
                    SoakFault::ZoneEvacuated(_) => Some(EVACUATION_MS),
                    SoakFault::ZoneLost(..) => Some(ZONE_LOSS_MS),
                    _ => None,
                };
                if let Some(range) = range {
                    fault.duration = Duration::from_millis(random.random_range(range));
                }
                faults.push(fault);
            }
            ScheduleKind::Changes => {
                for (delay, fault) in draw_changes(&mut random, instances, endpoints) {
                    faults.push(schedule(&mut random, starts_after + delay, fault));
                }
            }
        }
        let interval = match kind {
            ScheduleKind::Changes => CHANGE_INTERVAL_MS,
            ScheduleKind::Releases => RELEASE_INTERVAL_MS,
            ScheduleKind::Evacuations => EVACUATION_INTERVAL_MS,
            ScheduleKind::Drills => DRILL_INTERVAL_MS,
            ScheduleKind::Faults | ScheduleKind::Planned => FAULT_INTERVAL_MS,
        };
        starts_after += Duration::from_millis(random.random_range(interval));
    }
    faults.sort_by_key(|fault| fault.starts_after);
    faults
}

/// Returns the faults of endpoints' answers of a seed that begin before `end`, which are added to those
/// of [`draw_faults`]. Beside planned work, no answer is lost or cut off.
pub fn draw_answer_faults(kind: ScheduleKind, seed: u64, end: Duration) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ ANSWER_SEED);
    let mut faults = Vec::new();
    let mut starts_after = FIRST_FAULT_DELAY;
    while starts_after < end {
        let fault = draw_answer_fault(&mut random, kind == ScheduleKind::Planned);
        faults.push(schedule(&mut random, starts_after, fault));
        starts_after += Duration::from_millis(random.random_range(ANSWER_INTERVAL_MS));
    }
    faults
}

fn draw_answer_fault(random: &mut ChaCha8Rng, planned: bool) -> SoakFault {
    let kinds = [
        AnswerKind::Reads,
        AnswerKind::Writes,
        AnswerKind::Steps,
        AnswerKind::Commands,
        AnswerKind::StartUps,
        AnswerKind::Refusals,
        AnswerKind::All,
    ];
    let kind = kinds[random.random_range(0..kinds.len())];
    let (damage, per_mille) = match random.random_range(0..10) {
        0..=5 => {
            let longest = COPY_DELAYS_MS[random.random_range(0..COPY_DELAYS_MS.len())];
            let damage = AnswerDamage::Copied(Duration::from_millis(longest));
            (damage, COPIES_PER_MILLE)
        }
        6 => return SoakFault::BusyStatements(random.random_range(1..30)),
        7 if !planned => (AnswerDamage::Lost, BREAKS_PER_MILLE),
        8 if !planned => (AnswerDamage::CutOff, BREAKS_PER_MILLE),
        _ => {
            let longest = random.random_range(SPLIT_PAUSE_MS);
            let damage = AnswerDamage::Split(Duration::from_millis(longest));
            (damage, SPLITS_PER_MILLE)
        }
    };
    SoakFault::Answers(AnswerFault {
        kind,
        damage,
        per_mille: random.random_range(per_mille),
    })
}

fn draw_planned(random: &mut ChaCha8Rng, instances: usize) -> SoakFault {
    let instance = random.random_range(0..instances);
    match random.random_range(0..6) {
        0 | 1 => SoakFault::Process(instance, ProcessFault::Terminate),
        2 => SoakFault::Process(instance, ProcessFault::Reload),
        3 => SoakFault::PrimaryDrains,
        4 => SoakFault::KeyWithdrawn,
        _ => SoakFault::Configuration,
    }
}

fn draw_fault(random: &mut ChaCha8Rng, instances: usize, endpoints: usize) -> SoakFault {
    let instance = random.random_range(0..instances);
    let endpoint = random.random_range(0..endpoints);
    let link = match random.random_range(0..4) {
        0 => LinkFault::Silent,
        1 => LinkFault::SilentToTarget,
        2 => LinkFault::SilentFromTarget,
        _ => LinkFault::Delay(Duration::from_millis(random.random_range(LINK_DELAY_MS))),
    };
    match random.random_range(0..24) {
        0 | 1 => SoakFault::Process(instance, ProcessFault::Pause),
        2 | 3 => SoakFault::Process(instance, ProcessFault::Kill),
        4 => SoakFault::Process(instance, ProcessFault::Terminate),
        5 => SoakFault::Process(instance, ProcessFault::Reload),
        6 => SoakFault::KillAll,
        7 | 8 => SoakFault::StoreLink(instance, link),
        9 => SoakFault::StoreReset(instance),
        10..=12 => SoakFault::EndpointLink(endpoint, link),
        13 => SoakFault::EndpointReset(endpoint),
        14 | 15 => SoakFault::EndpointSilent(endpoint),
        16 => SoakFault::PrimaryDrains,
        17 => SoakFault::ReplicaLag(Duration::from_millis(random.random_range(20..2_500))),
        18 => SoakFault::LostAnswers(random.random_range(1..30)),
        19 => SoakFault::StoreSilent,
        20 => SoakFault::StoreBusy,
        21 => SoakFault::StoreLosesAnswers,
        22 => SoakFault::StoreDropsHistory,
        _ => SoakFault::KeyWithdrawn,
    }
}

fn draw_evacuation(random: &mut ChaCha8Rng, instances: usize) -> SoakFault {
    let instance = random.random_range(0..instances);
    let zone = random.random_range(0..ZONE_COUNT);
    match random.random_range(0..12) {
        0..=5 => SoakFault::ZoneEvacuated(zone),
        6 | 7 => SoakFault::ZoneLost(zone, ZoneLoss::Paused),
        8 => SoakFault::ZoneLost(zone, ZoneLoss::Cut),
        9 => SoakFault::LeaderKilled,
        10 => SoakFault::Process(instance, ProcessFault::Kill),
        _ => SoakFault::KillAll,
    }
}

/// Draws a drill of the store, a change that it may lose, or another fault. Two drills may overlap.
fn draw_drill(random: &mut ChaCha8Rng, instances: usize, endpoints: usize) -> SoakFault {
    match random.random_range(0..10) {
        0..=2 => {
            let age = random.random_range(COPY_AGE_MS);
            SoakFault::StoreDrill(Duration::from_millis(age))
        }
        3 | 4 => SoakFault::PrimaryDrains,
        5 => SoakFault::Configuration,
        6 => SoakFault::LeaderKilled,
        _ => draw_fault(random, instances, endpoints),
    }
}

/// Draws a fault, or several that follow each other closely, with the delay of each.
fn draw_changes(
    random: &mut ChaCha8Rng,
    instances: usize,
    endpoints: usize,
) -> Vec<(Duration, SoakFault)> {
    let instance = random.random_range(0..instances);
    let endpoint = random.random_range(0..endpoints);
    let mut after = |delays_ms| Duration::from_millis(random.random_range(delays_ms));
    let at_once = Duration::ZERO;
    match after(0..10).as_millis() {
        // An endpoint joins while the primary is replaced because its commits hang.
        0 | 1 => vec![
            (at_once, SoakFault::ReplicasCut),
            (at_once, SoakFault::JoinsDuringChange(after(0..400))),
        ],
        // A new leader replaces a draining primary, and the target receives nothing.
        2 | 3 => vec![
            (at_once, SoakFault::TargetsDeaf),
            (at_once, SoakFault::LeaderKilled),
            (at_once, SoakFault::Release(EndpointChoice::Primary)),
        ],
        4 | 5 => vec![(at_once, SoakFault::LastReplicaLeaves(endpoint))],
        // The registration of an instance is done late; later the instance is cut off from the store
        // while a primary is replaced.
        6 => vec![
            (at_once, SoakFault::StoreChangesLate(after(1_000..3_000))),
            (at_once, SoakFault::Process(instance, ProcessFault::Kill)),
            (
                Duration::from_millis(12_500),
                SoakFault::StoreLink(instance, LinkFault::Silent),
            ),
            (
                Duration::from_millis(13_000),
                SoakFault::Release(EndpointChoice::Primary),
            ),
        ],
        _ => vec![(at_once, draw_change(random, instance, endpoint))],
    }
}

fn draw_change(random: &mut ChaCha8Rng, instance: usize, endpoint: usize) -> SoakFault {
    let link = match random.random_range(0..3) {
        0 => LinkFault::Silent,
        1 => LinkFault::SilentToTarget,
        _ => LinkFault::SilentFromTarget,
    };
    match random.random_range(0..16) {
        0 | 1 => SoakFault::Release(EndpointChoice::Primary),
        2 => SoakFault::Release(EndpointChoice::Replica(endpoint)),
        3 => SoakFault::ReplicaDeaf(endpoint),
        4 => SoakFault::ReplicasCut,
        5 | 6 => SoakFault::ReplicaRestarts(endpoint),
        7 => SoakFault::LeaderKilled,
        8 | 9 => SoakFault::StoreLink(instance, link),
        10 | 11 => SoakFault::EndpointLink(endpoint, link),
        12 | 13 => SoakFault::EndpointSilent(endpoint),
        14 => SoakFault::Process(instance, ProcessFault::Pause),
        _ => SoakFault::Process(instance, ProcessFault::Kill),
    }
}

/// Draws releases in place of all endpoints, one after the other, and the faults beside their ends.
fn draw_releases(random: &mut ChaCha8Rng, endpoints: usize, end: Duration) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut starts_after = FIRST_FAULT_DELAY;
    let first = random.random_range(0..endpoints);
    for number in first.. {
        if starts_after >= end {
            break;
        }
        let mut draw = |range| Duration::from_millis(random.random_range(range));
        let drain = draw(RELEASE_DRAIN_MS);
        let delay = match draw(0..2).is_zero() {
            true => draw(REGISTRATION_DELAY_MS),
            false => draw(LATE_REGISTRATION_MS),
        };
        let release_end = starts_after + drain;
        let mut add = |starts_after, duration, fault| {
            faults.push(ScheduledFault {
                starts_after,
                duration,
                fault,
            });
        };
        add(
            starts_after,
            drain,
            SoakFault::ReleaseInPlace(number, delay),
        );
        let fault_start = release_end - draw(BEFORE_END_MS);
        if !draw(0..3).is_zero() {
            // The endpoint that is replaced next but one, so that the next one drains meanwhile.
            let duration = draw(RELEASE_DEAF_MS);
            add(fault_start, duration, SoakFault::EndpointDeaf(number + 2));
        }
        let fault_start = release_end - draw(BEFORE_END_MS);
        match draw(0..4).as_millis() {
            0 => add(
                fault_start,
                draw(FAULT_DURATION_MS),
                SoakFault::LeaderKilled,
            ),
            1 => add(fault_start, Duration::ZERO, SoakFault::KillAll),
            _ => {}
        }
        starts_after = release_end + draw(RELEASE_PAUSE_MS);
    }
    faults
}

/// Draws a fault beside releases in place. No log is lost by it.
fn draw_beside_release(random: &mut ChaCha8Rng, instances: usize, endpoints: usize) -> SoakFault {
    let instance = random.random_range(0..instances);
    let endpoint = random.random_range(0..endpoints);
    let link = match random.random_range(0..3) {
        0 => LinkFault::Silent,
        1 => LinkFault::SilentToTarget,
        _ => LinkFault::SilentFromTarget,
    };
    match random.random_range(0..20) {
        0..=4 => SoakFault::ReplicaDeaf(endpoint),
        5 => SoakFault::ReplicasCut,
        6 => SoakFault::TargetsDeaf,
        7 | 8 => SoakFault::LeaderKilled,
        9 => SoakFault::Process(instance, ProcessFault::Kill),
        10 => SoakFault::Process(instance, ProcessFault::Pause),
        11 | 12 => SoakFault::EndpointSilent(endpoint),
        13 | 14 => SoakFault::EndpointLink(endpoint, link),
        15 => SoakFault::StoreLink(instance, link),
        16 => SoakFault::StoreSilent,
        17 => SoakFault::StoreDropsHistory,
        18 => SoakFault::KillAll,
        _ => SoakFault::StoreChangesLate(Duration::from_millis(random.random_range(500..3_000))),
    }
}

/// Schedules a fault with a random duration.
fn schedule(random: &mut ChaCha8Rng, starts_after: Duration, fault: SoakFault) -> ScheduledFault {
    let duration = Duration::from_millis(random.random_range(FAULT_DURATION_MS));
    ScheduledFault {
        starts_after,
        duration,
        fault,
    }
}
