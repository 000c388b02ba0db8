//! The time without acknowledgements around a failed primary must stay under its targets.

use crate::failover_sim::FailoverSim;
use crate::failover_sim::Fault;
use crate::failover_sim::FirstProposer;
use crate::failover_sim::SimConfig;

const SEEDS: u64 = 200;
const THREADS: usize = 4;
const FAULT_AT: u64 = 3000;

/// One of nine ways to lose a primary, every other seed with the store down.
fn failing_primary(seed: u64) -> SimConfig {
    let mut config = SimConfig::new(seed);
    config.writers = 5;
    config.readers = 1;
    config.duration = 11_000;
    config.lag = 1 + seed % 40;
    if seed % 2 == 1 {
        config.proposes_first = FirstProposer::Nobody;
    }
    let at = FAULT_AT + seed * 13 % 250;
    let millis = 60_000;
    match seed % 9 {
        0 => config.fault(at, Fault::CrashPrimary { millis }),
        1 => config.fault(at, Fault::IsolatePrimary { millis }),
        2 => config.fault(at, Fault::FreezePrimary { millis }),
        3 => config.fault(
            at,
            Fault::OneWayPrimary {
                inbound: false,
                millis,
            },
        ),
        4 => config
            .fault(at, Fault::CrashPrimary { millis })
            .fault(at, Fault::KillProposer),
        5 => {
            // The new primary ends while its predecessor's failure is still being dealt with.
            config.endpoints = 5;
            config
                .fault(at, Fault::CrashPrimary { millis })
                .fault(at + 1150 + seed, Fault::CrashPrimary { millis })
        }
        6 => {
            let inbound = true;
            config.fault(at, Fault::OneWayPrimary { inbound, millis })
        }
        7 => {
            let sides = [vec![0], vec![3, 4, 5]];
            config.fault(at, Fault::CutNodes { sides, millis })
        }
        _ => config.fault(at, Fault::CrashPrimary { millis }).fault(
            at + 800,
            Fault::LoseAnswers {
                percent: 30,
                millis: 2000,
            },
        ),
    }
}

/// Returns the longest time without an acknowledgement, in ms; `None` if they never resume.
fn failover_gap(config: SimConfig) -> Option<u64> {
    let duration = config.duration;
    let history = FailoverSim::new(config).run();
    let times: Vec<u64> = history.acks.iter().map(|ack| ack.at).collect();
    let resumed = times.last().is_some_and(|&last| last + 500 > duration);
    let gap = times.windows(2).map(|pair| pair[1] - pair[0]).max();
    gap.filter(|_| resumed)
}

struct GapSummary {
    recovered: usize,
    median: u64,
    p90: u64,
    worst: u64,
}

fn summarize(name: &str, configure: impl Fn(u64) -> SimConfig + Copy + Send + Sync) -> GapSummary {
    let run = move |first: u64| {
        let seeds = (first..SEEDS).step_by(THREADS);
        let gaps = seeds.filter_map(|seed| failover_gap(configure(seed)));
        gaps.collect::<Vec<u64>>()
    };
    let mut gaps: Vec<u64> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS as u64)
            .map(|first| scope.spawn(move || run(first)))
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join().unwrap());
        joined.flatten().collect()
    });
    gaps.sort_unstable();
    let at = |percent: usize| gaps[(gaps.len() * percent / 100).min(gaps.len() - 1)];
    let summary = GapSummary {
        recovered: gaps.len(),
        median: at(50),
        p90: at(90),
        worst: at(100),
    };
    println!(
        "{name}: {} of {SEEDS} recovered, median {} ms, p90 {} ms, worst {} ms",
        summary.recovered, summary.median, summary.p90, summary.worst
    );
    summary
}

// Guards against a slower detection or promotion than the targets allow.
#[test]
fn gap_stays_under_its_targets() {
    let rules = summarize("evidence of replicas and watchers", failing_primary);
    assert_eq!(rules.recovered as u64, SEEDS);
    assert!(rules.median < 3000 && rules.worst <= 5000);
    let baseline = summarize("three missed health checks by one proxy", |seed| {
        let mut config = failing_primary(seed);
        config.switches.health_checks = true;
        config
    });
    assert!(rules.median < baseline.median && rules.recovered >= baseline.recovered);
}
