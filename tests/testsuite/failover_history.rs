//! No acknowledged write may be lost and no session may read below its floor, whatever fails.

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

/// Every acknowledged write is in the log of each later primary and in the last log.
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
            return Err(format!("{ack:?} is missing at the end"));
        }
    }
    Ok(())
}

/// No write that ran after the promotion of a later term is acknowledged.
pub fn check_no_superseded_ack(history: &History) -> Result<(), String> {
    for ack in &history.acks {
        let late = |p: &&_| superseded(p, ack.point.term.0, ack.executed);
        if let Some(promotion) = history.promotions.iter().find(late) {
            return Err(format!(
                "{ack:?} ran after the promotion of term {}",
                promotion.term
            ));
        }
    }
    Ok(())
}

fn superseded(promotion: &PromotionRecord, term: u64, executed: u64) -> bool {
    promotion.term > term && promotion.at < executed
}

/// At most one endpoint is promoted in a term, and at most one gathers acknowledgements in it.
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

/// No read showed less than its session's floor.
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

/// A mix of one to three faults drawn from the seed.
fn mixed_config(seed: u64) -> SimConfig {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut config = SimConfig::new(seed);
    config.endpoints = if seed.is_multiple_of(4) { 5 } else { 3 };
    config.writers = 4;
    config.readers = 3;
    config.duration = MIXED_MILLIS;
    config.proposes_first = match seed % 3 {
        0 => FirstProposer::One,
        1 => FirstProposer::Nobody,
        _ => FirstProposer::Everybody,
    };
    config.stale_reads = seed.is_multiple_of(5);
    config.far_lag = rng.random_bool(0.4).then_some(1500);
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

/// Returns the first seed for which the check fails.
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

/// Acknowledgements go on after the faults.
fn check_recovery(history: &History) -> Result<(), String> {
    let last = history.acks.last().map_or(0, |ack| ack.at);
    let recovered = last + 1000 > MIXED_MILLIS;
    recovered
        .then_some(())
        .ok_or(format!("no acknowledgement after {last} ms"))
}

fn hold_over(seeds: std::ops::Range<u64>, configure: impl Fn(u64) -> SimConfig) {
    let found = find_violation(seeds, configure, check_all);
    assert_eq!(found, None);
}

// Guards against a combination of up to three faults that stops the group for good, loses an acknowledged write,
// acknowledges on a superseded primary, gives a term two primaries or lets a session read low.
#[test]
fn mixed_faults_lose_nothing() {
    let check = |history: &History| check_all(history).and_then(|()| check_recovery(history));
    assert_eq!(find_violation(0..150, mixed_config, check), None);
}

/// Returns whether some seed breaks the guarantee.
fn breaks(
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

/// The primary reaches callers of all proxies, but no replica.
fn cut_off_primary(seed: u64) -> SimConfig {
    SimConfig::new(seed).fault(3000, Fault::IsolatePrimary { millis: 4000 })
}

/// The primary and the callers of one proxy are cut off from everything else.
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

/// The primary wakes up at about the time at which its successor is promoted.
fn frozen_primary(seed: u64) -> SimConfig {
    let millis = 1200 + seed * 40;
    SimConfig::new(seed).fault(3000, Fault::FreezePrimary { millis })
}

// Guards against acknowledging writes on a primary that reaches callers but no replica.
#[test]
fn cut_off_primary_loses_no_acknowledged_write() {
    hold_over(0..10, cut_off_primary);
    let unsafe_ack = |seed| without_confirmation(cut_off_primary(seed));
    assert!(breaks(0..3, unsafe_ack, check_no_lost_write));
}

// Guards against a superseded primary that still acknowledges to the callers on its side of a cut.
#[test]
fn split_primary_acknowledges_nothing() {
    hold_over(0..10, split_primary);
    let unsafe_ack = |seed| without_confirmation(split_primary(seed));
    assert!(breaks(0..3, unsafe_ack, check_no_superseded_ack));
}

// Guards against a primary that wakes up after its successor was promoted and answers writes.
#[test]
fn woken_primary_acknowledges_nothing() {
    hold_over(0..15, frozen_primary);
    let unsafe_ack = |seed| without_confirmation(frozen_primary(seed));
    assert!(breaks(0..15, unsafe_ack, check_no_superseded_ack));
}

/// All proxies propose at the same time, again and again, and answers are lost.
fn racing_proposers(seed: u64) -> SimConfig {
    let mut config = SimConfig::new(seed);
    config.proposes_first = FirstProposer::Everybody;
    config.far_lag = Some(300);
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

// Guards against two proposers that both promote in one term.
#[test]
fn racing_proposers_share_no_term() {
    hold_over(0..15, racing_proposers);
    let shared_name = |seed| {
        let mut config = racing_proposers(seed);
        config.switches.unique_proposers = false;
        config
    };
    assert!(breaks(0..60, shared_name, check_one_primary));
}

/// Proxy 0 is frozen between fence and promotion of db-0 in term 2. db-0 is cut off while db-1 is
/// promoted in term 3 and then follows it. Proxy 0 wakes up, and db-1 ends.
fn frozen_proposer(seed: u64) -> SimConfig {
    let mut config = SimConfig::new(seed);
    config.far_lag = Some(1500);
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

// Guards against a proposer that wakes up and promotes an endpoint that follows a later term.
#[test]
fn woken_proposer_breaks_nothing() {
    hold_over(0..15, frozen_proposer);
    let unchecked = |seed| {
        let mut config = frozen_proposer(seed);
        config.rules.promote_checks_log = false;
        config
    };
    assert!(breaks(0..15, unchecked, check_no_lost_write));
}

/// Proxy 0 does not reach the primary, fences both replicas and stops for a while. The endpoint
/// that it chose hears no more of the primary; the other replica does.
fn slow_promotion(seed: u64) -> SimConfig {
    let mut config = SimConfig::new(seed);
    config.far_lag = Some(50);
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

// Guards against replicas that take entries of the old primary between fence and promotion.
#[test]
fn fence_keeps_old_entries_out() {
    hold_over(0..10, slow_promotion);
    // Reports of fenced endpoints do not count, so a fence that holds nothing back does no harm.
    let leaky = |seed| {
        let mut config = slow_promotion(seed);
        config.rules.fence_holds = false;
        config.rules.fence_demotes = false;
        config
    };
    hold_over(0..10, leaky);
    let leaky = |seed| {
        let mut config = leaky(seed);
        config.switches.evidence_checks_fence = false;
        config
    };
    assert!(breaks(0..10, leaky, check_no_lost_write));
}

fn lagging_replica(seed: u64) -> SimConfig {
    let mut config = SimConfig::new(seed);
    config.duration = 6000;
    config.far_lag = Some(2000);
    config.roaming_percent = 20;
    config
}

// Guards against reads from a replica that has not reached the session's floor.
#[test]
fn lagging_replica_serves_no_low_read() {
    hold_over(0..10, lagging_replica);
    let without_floor = |seed| {
        let mut config = lagging_replica(seed);
        config.switches.floor = false;
        config
    };
    assert!(breaks(0..3, without_floor, check_floors));
    let without_round = |seed| {
        let mut config = lagging_replica(seed);
        config.switches.floor_round = false;
        config
    };
    assert!(breaks(0..3, without_round, check_floors));
}

fn promotions(config: SimConfig) -> usize {
    run(config).promotions.len()
}

// Guards against promotions on a slow primary, on silent connections, while the store is down, or
// when a proxy or a replica was the one that stopped.
#[test]
fn harmless_faults_promote_nobody() {
    for seed in 0..5 {
        let config = || {
            let mut config = SimConfig::new(seed);
            config.proposes_first = FirstProposer::Nobody;
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

// Guards against a group that stays fenced because its proposer ended, be it the whole group or a
// single replica.
#[test]
fn dead_proposer_is_made_up_for() {
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
        executed: at,
    }
}

fn sound_history() -> History {
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

// Guards against checkers that accept a broken history.
#[test]
fn checkers_catch_seeded_violations() {
    assert_eq!(check_all(&sound_history()), Ok(()));
    let mut lost = sound_history();
    lost.promotions[0].values = vec![0, 0];
    assert!(check_no_lost_write(&lost).is_err());
    let mut lost_at_end = sound_history();
    lost_at_end.final_values = vec![0, 7, 0];
    assert!(check_no_lost_write(&lost_at_end).is_err());
    let mut late = sound_history();
    late.acks[0].executed = 55;
    assert!(check_no_superseded_ack(&late).is_err());
    let mut twice = sound_history();
    twice.acks[1].endpoint = 2;
    assert!(check_one_primary(&twice).is_err());
    let mut low = sound_history();
    low.low_reads.push("session 1".to_owned());
    assert!(check_floors(&low).is_err());
}
