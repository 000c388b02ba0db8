//! Derives the faults of a run from its seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

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

/// Delay that a link adds to each chunk.
const LINK_DELAY_MS: std::ops::Range<u64> = 5..250;

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

/// A fault or a planned action that a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFault {
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
    /// The store does not answer.
    StoreSilent,
    /// The store refuses all requests.
    StoreBusy,
    /// The store applies changes but does not answer.
    StoreLosesAnswers,
    /// The store drops the history that watches read.
    StoreDropsHistory,
    /// A key is withdrawn and restored.
    KeyWithdrawn,
    /// A new version of the configuration is accepted.
    Configuration,
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

/// Returns the faults of a seed that begin before `end`.
pub fn draw_faults(
    seed: u64,
    instances: usize,
    endpoints: usize,
    end: Duration,
) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut starts_after = FIRST_FAULT_DELAY;
    while starts_after < end {
        let fault = match is_planned(seed) {
            true => draw_planned(&mut random, instances),
            false => draw_fault(&mut random, instances, endpoints),
        };
        faults.push(ScheduledFault {
            starts_after,
            duration: Duration::from_millis(random.random_range(FAULT_DURATION_MS)),
            fault,
        });
        starts_after += Duration::from_millis(random.random_range(FAULT_INTERVAL_MS));
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
