//! Checks on simulated histories that faults lose no acknowledged write and cause no read below a session's floor.

use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tamaracklb::request::log_point::LogPoint;

use crate::failover_sim::AckRecord;
use crate::failover_sim::FailoverSim;
use crate::failover_sim::Fault;
use crate::failover_sim::FirstProposer;
use crate::failover_sim::History;
use crate::failover_sim::PromotionRecord;
use crate::failover_sim::SimConfig;

const MIXED_MILLIS: u64 = 18_000;

/// Checks that every acknowledged write is in the log of each later primary and in the final log.
pub fn check_no_lost_write(history: &History) -> Result<(), String> {
    for ack in &history.acks {
        let index = ack.point.position.0 as usize - 1;
        for promotion in &history.promotions {
            let later = promotion.term > ack.point.term.0;
            if later && promotion.values.get(index) != Some(&ack.value) {
                return Err(format!("{ack:?} is missing in term {}", promotion.term));
            }
        }
        if history.final_values.get(index) != Some(&ack.value) {
            return Err(format!("{ack:?} is missing in the final log"));
        }
    }
    Ok(())
}

/// Checks that no acknowledged write was executed after the promotion of a later term.
pub fn check_no_superseded_ack(history: &History) -> Result<(), String> {
    for ack in &history.acks {
        let ran_too_late = |p: &&_| is_superseded(p, ack.point.term.0, ack.executed_at);
        if let Some(promotion) = history.promotions.iter().find(ran_too_late) {
            return Err(format!(
                "{ack:?} ran after the promotion of term {}",
                promotion.term
            ));
        }
    }
    Ok(())
}

fn is_superseded(promotion: &PromotionRecord, term: u64, executed_at: u64) -> bool {
    promotion.term > term && promotion.at < executed_at
}

/// Checks that all promotions and acknowledged writes of a term belong to the same endpoint.
pub fn check_one_primary(history: &History) -> Result<(), String> {
    let promoted = history.promotions.iter().map(|p| (p.term, p.endpoint));
    let acked = history
        .acks
        .iter()
        .map(|ack| (ack.point.term.0, ack.endpoint));
    let mut primaries = HashMap::new();
    for (term, endpoint) in promoted.chain(acked) {
        let known = *primaries.entry(term).or_insert(endpoint);
        if known != endpoint {
            return Err(format!("term {term} has primaries {known} and {endpoint}"));
        }
    }
    Ok(())
}

/// Checks that no read returned data older than its session's floor.
pub fn check_floors(history: &History) -> Result<(), String> {
    history
        .low_reads
        .first()
        .map_or(Ok(()), |text| Err(text.clone()))
}

fn check_all(history: &History) -> Result<(), String> {
    check_no_lost_write(history)?;
    check_no_superseded_ack(history)?;
    check_one_primary(history)?;
    check_floors(history)
}

fn run(config: SimConfig) -> History {
    FailoverSim::new(config).run()
}

/// Returns a configuration with one to three faults drawn from the seed.
fn mixed_config(seed: u64) -> SimConfig {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut config = SimConfig::new(seed);
    config.endpoints = if seed.is_multiple_of(4) { 5 } else { 3 };
    config.writers = 4;
    config.readers = 3;
    config.duration = MIXED_MILLIS;
    config.proposes_first = match seed % 3 {
        0 => FirstProposer::One,
        1 => FirstProposer::None,
        _ => FirstProposer::All,
    };
    config.stale_reads = seed.is_multiple_of(5);
    config.last_endpoint_lag = rng.random_bool(0.4).then_some(1500);
    config.rules.fence_demotes = rng.random_bool(0.5);
    let mut at = 2000;
    for _ in 0..rng.random_range(1..=3) {
        config = random_fault(config, at, &mut rng);
        at += rng.random_range(200..3000);
    }
    config
}

fn random_fault(config: SimConfig, at: u64, rng: &mut ChaCha8Rng) -> SimConfig {
    let millis = rng.random_range(500..4000);
    let inbound = rng.random_bool(0.5);
    let proxy = rng.random_range(0..config.proxies);
    match rng.random_range(0..12) {
        0 => config.fault(at, Fault::CrashPrimary { millis }),
        1 => config.fault(at, Fault::FreezePrimary { millis }),
        2 => config.fault(at, Fault::IsolatePrimary { millis }),
        3 => config.fault(at, Fault::OneWayPrimary { inbound, millis }),
        4 => config.fault(at, Fault::IsolateReplica { millis }),
        5 => config.fault(at, Fault::SlowPrimary { delay: 400, millis }),
        6 => config.fault(at, Fault::CrashReplica { millis }),
        7 => config.fault(at, Fault::FreezeProxy { proxy, millis }),
        8 => config
            .fault(at, Fault::CrashPrimary { millis })
            .fault(at, Fault::KillProposer),
        9 => config
            .fault(at, Fault::IsolatePrimary { millis })
            .fault(at, Fault::FreezeProposer { millis: millis / 2 }),
        10 => config.fault(at, Fault::ProposeEverywhere),
        _ => config.fault(
            at,
            Fault::LoseAnswers {
                percent: 30,
                millis,
            },
        ),
    }
}

/// Returns the first seed for which the check fails, and the violation.
fn find_violation(
    seeds: std::ops::Range<u64>,
    configure: impl Fn(u64) -> SimConfig,
    check: impl Fn(&History) -> Result<(), String>,
) -> Option<(u64, String)> {
    seeds.into_iter().find_map(|seed| {
        let result = check(&run(configure(seed)));
        result.err().map(|text| (seed, text))
    })
}

/// Checks that writes are acknowledged within the last second of the run, after the faults.
fn check_recovery(history: &History) -> Result<(), String> {
    let last = history.acks.last().map_or(0, |ack| ack.at);
    let recovered = last + 1000 > MIXED_MILLIS;
    recovered
        .then_some(())
        .ok_or(format!("no acknowledgement after {last} ms"))
}

/// Asserts that all guarantees hold for each seed.
fn assert_no_violation(seeds: std::ops::Range<u64>, configure: impl Fn(u64) -> SimConfig) {
    let found = find_violation(seeds, configure, check_all);
    assert_eq!(found, None);
}

// Guards against a combination of up to three faults after which the group does not recover, an acknowledged write is
// lost, a superseded primary acknowledges a write, a term has two primaries or a session reads below its floor.
#[test]
fn mixed_faults_violate_no_guarantee() {
    let check = |history: &History| check_all(history).and_then(|()| check_recovery(history));
    assert_eq!(find_violation(0..150, mixed_config, check), None);
}

/// Returns whether the check fails for at least one of the seeds.
fn violates(
    seeds: std::ops::Range<u64>,
    configure: impl Fn(u64) -> SimConfig,
    check: impl Fn(&History) -> Result<(), String>,
) -> bool {
    find_violation(seeds, configure, check).is_some()
}

fn without_confirmation(mut config: SimConfig) -> SimConfig {
    config.switches.confirm = false;
    config
}

/// The primary can reach all proxies but no replica.
fn cut_off_primary(seed: u64) -> SimConfig {
    SimConfig::new(seed).fault(3000, Fault::IsolatePrimary { millis: 4000 })
}

/// The primary and one proxy are cut off from all other nodes.
fn split_primary(seed: u64) -> SimConfig {
    let sides = [vec![0, 5], vec![1, 2, 3, 4]];
    let mut config = SimConfig::new(seed);
    config.roaming_percent = 0;
    config.fault(
        3000,
        Fault::CutNodes {
            sides,
            millis: 4000,
        },
    )
}

/// The primary resumes from a freeze at about the time its successor is promoted.
fn frozen_primary(seed: u64) -> SimConfig {
    let millis = 1200 + seed * 40;
    SimConfig::new(seed).fault(3000, Fault::FreezePrimary { millis })
}

// Guards against acknowledging writes on a primary that can reach proxies but no replica.
#[test]
fn cut_off_primary_loses_no_acknowledged_write() {
    assert_no_violation(0..10, cut_off_primary);
    let unconfirmed = |seed| without_confirmation(cut_off_primary(seed));
    assert!(violates(0..3, unconfirmed, check_no_lost_write));
}

// Guards against a superseded primary that still acknowledges writes to callers on its side of a network partition.
#[test]
fn split_primary_acknowledges_nothing() {
    assert_no_violation(0..10, split_primary);
    let unconfirmed = |seed| without_confirmation(split_primary(seed));
    assert!(violates(0..3, unconfirmed, check_no_superseded_ack));
}

// Guards against a frozen primary that acknowledges writes when it resumes after the promotion of its successor.
#[test]
fn resumed_primary_acknowledges_nothing() {
    assert_no_violation(0..15, frozen_primary);
    let unconfirmed = |seed| without_confirmation(frozen_primary(seed));
    assert!(violates(0..15, unconfirmed, check_no_superseded_ack));
}

/// All proxies start a promotion at the same time, six times, while answers are lost.
fn racing_proposers(seed: u64) -> SimConfig {
    let mut config = SimConfig::new(seed);
    config.proposes_first = FirstProposer::All;
    config.last_endpoint_lag = Some(300);
    for round in 0..6 {
        let at = 2000 + round * 1500;
        config = config
            .fault(
                at,
                Fault::LoseAnswers {
                    percent: 40,
                    millis: 600,
                },
            )
            .fault(at, Fault::ProposeEverywhere);
    }
    config
}

// Guards against two proposers that promote different endpoints in the same term.
#[test]
fn racing_proposers_share_no_term() {
    assert_no_violation(0..15, racing_proposers);
    let with_shared_name = |seed| {
        let mut config = racing_proposers(seed);
        config.switches.unique_proposers = false;
        config
    };
    assert!(violates(0..60, with_shared_name, check_one_primary));
}

/// Proxy 0 is frozen between the fence and the promotion of db-0 in term 2. db-0 is cut off from all nodes but
/// proxy 0 while db-1 is promoted in term 3, and then follows db-1. Proxy 0 resumes, and db-1 crashes.
fn frozen_proposer(seed: u64) -> SimConfig {
    let mut config = SimConfig::new(seed);
    config.last_endpoint_lag = Some(1500);
    let sides = [vec![0], vec![1, 2, 4, 5]];
    config
        .fault(2000, Fault::FreezeProposer { millis: 5500 })
        .fault(2000, Fault::ProposeAt { proxy: 0 })
        .fault(
            2010,
            Fault::CutNodes {
                sides,
                millis: 4500,
            },
        )
        .fault(
            7490,
            Fault::CutNodes {
                sides: [vec![1], vec![0, 2]],
                millis: 60_000,
            },
        )
        .fault(7600, Fault::CrashPrimary { millis: 60_000 })
}

// Guards against a frozen proposer that resumes and promotes an endpoint that already follows a later term.
#[test]
fn resumed_proposer_violates_no_guarantee() {
    assert_no_violation(0..15, frozen_proposer);
    let without_log_check = |seed| {
        let mut config = frozen_proposer(seed);
        config.rules.promote_checks_log = false;
        config
    };
    assert!(violates(0..15, without_log_check, check_no_lost_write));
}

/// Proxy 0 cannot reach the primary, fences both replicas and is frozen for 900 ms. The replica that it chose loses
/// its connection to the primary; the other replica keeps its own.
fn slow_promotion(seed: u64) -> SimConfig {
    let mut config = SimConfig::new(seed);
    config.last_endpoint_lag = Some(50);
    let from_proxy = Fault::CutNodes {
        sides: [vec![0], vec![3]],
        millis: 9000,
    };
    let from_chosen = Fault::CutNodes {
        sides: [vec![0], vec![1]],
        millis: 9000,
    };
    config
        .fault(2000, from_proxy)
        .fault(2000, Fault::FreezeProposer { millis: 900 })
        .fault(2000, Fault::ProposeAt { proxy: 0 })
        .fault(2020, from_chosen)
}

// Guards against replicas that append entries of the old primary between the fence and the promotion.
#[test]
fn fence_rejects_old_entries() {
    assert_no_violation(0..10, slow_promotion);
    // Reports of fenced endpoints do not count as confirmations, so this is safe even if a fence rejects no entries.
    let without_fence = |seed| {
        let mut config = slow_promotion(seed);
        config.rules.fence_holds = false;
        config.rules.fence_demotes = false;
        config
    };
    assert_no_violation(0..10, without_fence);
    let without_fence_check = |seed| {
        let mut config = without_fence(seed);
        config.switches.evidence_checks_fence = false;
        config
    };
    assert!(violates(0..10, without_fence_check, check_no_lost_write));
}

/// The last replica is 2 s behind, and sessions often move between proxies.
fn lagging_replica(seed: u64) -> SimConfig {
    let mut config = SimConfig::new(seed);
    config.duration = 6000;
    config.last_endpoint_lag = Some(2000);
    config.roaming_percent = 20;
    config
}

// Guards against reads from a replica that has not reached the session's floor.
#[test]
fn lagging_replica_serves_no_read_below_floor() {
    assert_no_violation(0..10, lagging_replica);
    let without_floor = |seed| {
        let mut config = lagging_replica(seed);
        config.switches.floor = false;
        config
    };
    assert!(violates(0..3, without_floor, check_floors));
    let without_round = |seed| {
        let mut config = lagging_replica(seed);
        config.switches.floor_round = false;
        config
    };
    assert!(violates(0..3, without_round, check_floors));
}

/// Returns the number of promotions in a run.
fn promotions(config: SimConfig) -> usize {
    run(config).promotions.len()
}

// Guards against a promotion because the primary is slow, existing connections went silent, the store is unreachable,
// or a proxy or a replica failed.
#[test]
fn harmless_faults_cause_no_promotion() {
    for seed in 0..5 {
        let config = || {
            let mut config = SimConfig::new(seed);
            config.proposes_first = FirstProposer::None;
            config
        };
        let slow = Fault::SlowPrimary {
            delay: 800,
            millis: 5000,
        };
        assert_eq!(promotions(config().fault(2000, slow)), 0);
        assert_eq!(
            promotions(config().fault(2000, Fault::SilentConnections)),
            0
        );
        let frozen = Fault::FreezeProxy {
            proxy: 0,
            millis: 4000,
        };
        assert_eq!(promotions(config().fault(2000, frozen)), 0);
        let replica = Fault::IsolateReplica { millis: 4000 };
        assert_eq!(promotions(config().fault(2000, replica)), 0);
        let crash = Fault::CrashReplica { millis: 4000 };
        assert_eq!(promotions(config().fault(2000, crash)), 0);
    }
}

// Guards against endpoints that stay fenced because their proposer died, either the whole group or a single replica.
#[test]
fn group_recovers_from_dead_proposer() {
    for seed in 0..5 {
        let fenced = SimConfig::new(seed)
            .fault(2000, Fault::KillProposer)
            .fault(2000, Fault::ProposeAt { proxy: 0 });
        let sides = [vec![3], vec![0, 1, 4, 5]];
        let millis = 60_000;
        let mut stranded = SimConfig::new(seed)
            .fault(2000, Fault::CutNodes { sides, millis })
            .fault(2001, Fault::ProposeAt { proxy: 0 })
            .fault(2010, Fault::FreezeProxy { proxy: 0, millis });
        stranded.roaming_percent = 0;
        for config in [fenced, stranded] {
            let history = run(config);
            assert_eq!(check_all(&history), Ok(()));
            assert_eq!(history.promotions.len(), 1, "{:?}", history.events);
            assert!(history.acks.iter().any(|ack| ack.point.term.0 > 1));
        }
    }
}

fn ack(at: u64, value: u64, term: u64, position: u64, endpoint: usize) -> AckRecord {
    let point = LogPoint::new(term, position);
    AckRecord {
        at,
        value,
        point,
        endpoint,
        executed_at: at,
    }
}

/// Returns a history without violations.
fn valid_history() -> History {
    let promotion = |at, term, endpoint, values| PromotionRecord {
        at,
        term,
        endpoint,
        values,
    };
    History {
        acks: vec![ack(10, 7, 1, 2, 0), ack(60, 8, 2, 4, 1)],
        promotions: vec![promotion(50, 2, 1, vec![0, 7, 0])],
        final_values: vec![0, 7, 0, 8],
        ..History::default()
    }
}

// Guards against checkers that accept a history with a violation.
#[test]
fn checkers_catch_seeded_violations() {
    assert_eq!(check_all(&valid_history()), Ok(()));
    let mut lost = valid_history();
    lost.promotions[0].values = vec![0, 0];
    assert!(check_no_lost_write(&lost).is_err());
    let mut lost_at_end = valid_history();
    lost_at_end.final_values = vec![0, 7, 0];
    assert!(check_no_lost_write(&lost_at_end).is_err());
    let mut superseded = valid_history();
    superseded.acks[0].executed_at = 55;
    assert!(check_no_superseded_ack(&superseded).is_err());
    let mut two_primaries = valid_history();
    two_primaries.acks[1].endpoint = 2;
    assert!(check_one_primary(&two_primaries).is_err());
    let mut below_floor = valid_history();
    below_floor.low_reads.push("session 1".to_owned());
    assert!(check_floors(&below_floor).is_err());
}
