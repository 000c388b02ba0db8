//! Draws the faults of a run from its seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::link_proxy::LinkFault;

/// Every how many seeds only planned work is played, during which no request may be cut.
pub const PLANNED_EVERY: u64 = 4;

/// Time before the first fault, in which the callers begin.
const CALM_TIME: Duration = Duration::from_millis(800);

/// Time between the starts of two faults; most faults last longer, so that they overlap.
const GAP_MS: std::ops::Range<u64> = 150..1_200;

/// How long a fault lasts: up to longer than evidence of the store counts.
const LENGTH_MS: std::ops::Range<u64> = 200..4_500;

/// The longest delay of a link.
const DELAY_MS: std::ops::Range<u64> = 5..250;

/// What happens to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// It is stopped and goes on later.
    Pause,
    /// It is killed and started again.
    Kill,
    /// It is asked to stop, and started again when it has ended.
    Terminate,
    /// It is told to read its settings.
    Reload,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFault {
    /// Of one instance's process.
    Process(usize, ProcessFault),
    /// Every process is killed.
    KillAll,
    /// Of one instance's way to the store.
    StoreLink(usize, LinkFault),
    /// Connections of one instance to the store are reset.
    StoreReset(usize),
    /// Of the way to one endpoint.
    EndpointLink(usize, LinkFault),
    /// Connections to one endpoint are reset.
    EndpointReset(usize),
    /// One endpoint says nothing.
    EndpointDark(usize),
    /// The primary is about to leave.
    PrimaryDrains,
    /// Replicas apply late.
    ReplicaLag(Duration),
    /// Answers of reads are lost.
    LostAnswers(u32),
    /// The store answers nothing.
    StoreSilent,
    /// The store refuses everything.
    StoreBusy,
    /// The store makes changes and does not answer.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreForgets,
    /// A key is withdrawn and given back.
    KeyWithdrawn,
    /// The configuration changes.
    Configuration,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub length: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// Whether a seed plays planned work only.
pub fn is_planned(seed: u64) -> bool {
    seed.is_multiple_of(PLANNED_EVERY)
}

/// Returns the faults of a seed that begin before `end`.
pub fn draw_faults(
    seed: u64,
    instances: usize,
    endpoints: usize,
    end: Duration,
) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = CALM_TIME;
    while at < end {
        let fault = match is_planned(seed) {
            true => draw_planned(&mut random, instances),
            false => draw_fault(&mut random, instances, endpoints),
        };
        faults.push(ScheduledFault {
            at,
            length: Duration::from_millis(random.random_range(LENGTH_MS)),
            fault,
        });
        at += Duration::from_millis(random.random_range(GAP_MS));
    }
    faults
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
        1 => LinkFault::SilentForth,
        2 => LinkFault::SilentBack,
        _ => LinkFault::Delay(Duration::from_millis(random.random_range(DELAY_MS))),
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
        14 | 15 => SoakFault::EndpointDark(endpoint),
        16 => SoakFault::PrimaryDrains,
        17 => SoakFault::ReplicaLag(Duration::from_millis(random.random_range(20..2_500))),
        18 => SoakFault::LostAnswers(random.random_range(1..30)),
        19 => SoakFault::StoreSilent,
        20 => SoakFault::StoreBusy,
        21 => SoakFault::StoreLosesAnswers,
        22 => SoakFault::StoreForgets,
        _ => SoakFault::KeyWithdrawn,
    }
}
