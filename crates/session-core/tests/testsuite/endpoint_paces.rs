//! Guards against reads that stay on slow or failing endpoints, and against fleets that swing.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use session_core::collector_choice::CollectorChoice;
use session_core::endpoint_entry::EndpointEntry;
use session_core::endpoint_pace::EndpointPace;
use session_core::monotonic_time::MonotonicTime;
use session_core::pace_collector::PaceCollector;
use session_core::pace_sample::EndpointTag;
use session_core::pace_sample::PaceSample;
use session_core::pace_sample::StatementTime;
use session_core::pace_sample::WorkKind;

use crate::paced_fleet;
use crate::paced_fleet::Condition;
use crate::paced_fleet::ENDPOINTS;
use crate::paced_fleet::HEALTHY;
use crate::paced_fleet::PacedFleet;

const INSTANCES: usize = 100;
const RATE_PER_S: u64 = 200;
const SEEDS: Range<u64> = 1..11;

fn trouble_of_first(endpoint: usize, now_ms: u64, condition: Condition) -> Condition {
    match endpoint == 0 && (2_000..8_000).contains(&now_ms) {
        true => condition,
        false => HEALTHY,
    }
}

fn slow_for_a_while(endpoint: usize, now_ms: u64) -> Condition {
    let slow = Condition {
        slowness: 5.0,
        ..HEALTHY
    };
    trouble_of_first(endpoint, now_ms, slow)
}

fn failing_for_a_while(endpoint: usize, now_ms: u64) -> Condition {
    let failing = Condition {
        failures: 0.4,
        ..HEALTHY
    };
    trouble_of_first(endpoint, now_ms, failing)
}

fn all_slow_for_a_while(_: usize, now_ms: u64) -> Condition {
    slow_for_a_while(0, now_ms)
}

fn run(rate_per_s: u64, seed: u64, condition: fn(usize, u64) -> Condition) -> PacedFleet {
    let mut fleet = PacedFleet::new(INSTANCES, rate_per_s, seed, condition);
    fleet.run_until(25_000);
    fleet
}

/// Returns the largest change of an endpoint's share from one second to the next.
fn largest_swing(fleet: &PacedFleet, from_ms: u64, to_ms: u64) -> f64 {
    let swings = (0..ENDPOINTS).flat_map(|endpoint| {
        let shares = fleet.share_by_second(endpoint, from_ms, to_ms);
        let pairs = shares.windows(2).map(|pair| (pair[1] - pair[0]).abs());
        pairs.collect::<Vec<f64>>()
    });
    swings.fold(0.0, f64::max)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn most(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Checks that a trouble of the first endpoint from 2 s to 8 s moves its load away and back. A second
/// has few reads of an endpoint, so the time of the move is checked on the mean of all seeds.
fn check_trouble(rate_per_s: u64, condition: fn(usize, u64) -> Condition) {
    let fleets: Vec<PacedFleet> = SEEDS.map(|seed| run(rate_per_s, seed, condition)).collect();
    let shares = |from_ms, to_ms| -> Vec<f64> {
        let shares = fleets.iter().map(|fleet| fleet.shares(from_ms, to_ms)[0]);
        shares.collect()
    };
    let before = mean(&shares(0, 2_000));
    assert!(before > 0.25, "share before: {before}");
    let moving = mean(&shares(3_000, 4_000));
    assert!(moving < 0.75 * before, "share after 1 s: {moving}");
    let moved = mean(&shares(4_000, 5_000));
    assert!(moved < 0.5 * before, "share after 2 s: {moved}");
    let during = shares(5_000, 8_000);
    assert!(mean(&during) < 0.08 && most(&during) < 0.15, "{during:?}");
    assert!(during.iter().all(|share| *share > 0.001), "{during:?}");
    let after = shares(20_000, 25_000);
    assert!(after.iter().all(|share| *share > 0.12), "{after:?}");
    for (from_ms, to_ms) in [(4_000, 8_000), (16_000, 25_000)] {
        let swings: Vec<f64> = fleets
            .iter()
            .map(|fleet| largest_swing(fleet, from_ms, to_ms))
            .collect();
        assert!(mean(&swings) < 0.2 && most(&swings) < 0.35, "{swings:?}");
    }
    for fleet in &fleets {
        let mut of_first = fleet.changes.iter();
        let mut next = || of_first.find(|(_, change)| change.endpoint.as_str() == "orders-0");
        let (slow, recovered) = (next().expect("slow"), next().expect("recovered"));
        assert!(slow.1.is_slow && slow.0 < 6_000, "{slow:?}");
        assert!(
            !recovered.1.is_slow && recovered.0 < 17_000,
            "{recovered:?}"
        );
    }
}

/// An endpoint that becomes five times slower must lose its load within about a second, without a
/// swing of the others, and must get it back after its recovery.
#[test]
fn slow_endpoint_loses_load() {
    for rate_per_s in [100, 200, 300] {
        check_trouble(rate_per_s, slow_for_a_while);
    }
}

/// An endpoint that fails 40 % of its statements at once must not attract load by its short times.
#[test]
fn failing_endpoint_loses_load() {
    for rate_per_s in [100, 200, 300] {
        check_trouble(rate_per_s, failing_for_a_while);
    }
}

/// Load must not move when all endpoints become slow, since no other one is better.
#[test]
fn equal_slowness_moves_nothing() {
    for seed in SEEDS {
        let fleet = run(RATE_PER_S / 4, seed, all_slow_for_a_while);
        let shares = fleet.shares(3_000, 8_000);
        assert!(
            shares.iter().all(|share| *share > 0.15),
            "seed {seed}: {shares:?}"
        );
        let swing = largest_swing(&fleet, 2_000, 25_000);
        assert!(swing < 0.35, "seed {seed}: {swing}");
    }
}

/// A calm fleet must keep its load where it is.
#[test]
fn calm_fleet_moves_nothing() {
    for seed in SEEDS {
        let fleet = run(RATE_PER_S, seed, |_, _| HEALTHY);
        assert!(fleet.changes.is_empty(), "seed {seed}: {:?}", fleet.changes);
        let swing = largest_swing(&fleet, 2_000, 25_000);
        assert!(swing < 0.25, "seed {seed}: {swing}");
    }
}

fn sample(entry: &EndpointEntry, kind: u32, millis: u64) -> PaceSample {
    PaceSample {
        endpoint: EndpointTag::of(entry),
        kind: WorkKind(kind),
        took: Some(StatementTime::from(Duration::from_millis(millis))),
    }
}

/// Records a sample of each endpoint every 100 ms for three seconds and returns the collector.
fn collect(entries: &[EndpointEntry], millis: impl Fn(usize, u64, u32) -> u64) -> PaceCollector {
    let mut collector = PaceCollector::default();
    for step in 0..30 {
        let now = MonotonicTime::from_millis(1_000 + step * 100);
        for (number, entry) in entries.iter().enumerate() {
            let kind = (step % 3) as u32;
            collector.record(&[sample(entry, kind, millis(number, step, kind))], now);
        }
        collector.update(entries.iter(), now);
    }
    collector
}

/// A single answer that takes seconds must not move the load of a zone.
#[test]
fn single_slow_answer_moves_nothing() {
    let entries = [paced_fleet::entry(0, "a"), paced_fleet::entry(1, "a")];
    let collector = collect(&entries, |number, step, _| match (number, step) {
        (0, 25) => 3_000,
        _ => 10,
    });
    assert!(collector.digest().0.is_empty(), "{:?}", collector.digest());
}

/// Work of different length and the distance to another zone must not count as slowness.
#[test]
fn distance_is_no_slowness() {
    let entries = [paced_fleet::entry(0, "a"), paced_fleet::entry(1, "b")];
    let work = [5, 20, 55];
    let collector = collect(&entries, |number, _, kind| {
        work[kind as usize] + 6 * number as u64
    });
    assert!(collector.digest().0.is_empty(), "{:?}", collector.digest());
    let collector = collect(&entries, |number, _, kind| {
        work[kind as usize] * (1 + 3 * number as u64)
    });
    assert_eq!(collector.digest().0.len(), 1, "{:?}", collector.digest());
}

/// When the first instance of a zone changes, slow endpoints must not get their full load until
/// the new one has observed them.
#[test]
fn successor_keeps_reductions() {
    let entries = [paced_fleet::entry(0, "a"), paced_fleet::entry(1, "a")];
    let former = collect(&entries, |number, _, _| 10 + 60 * number as u64);
    let now = MonotonicTime::from_millis(4_000);
    let mut pace = EndpointPace::new(1);
    pace.record_digest(now, former.digest());
    let mut successor = PaceCollector::default();
    successor.resume(&pace, now);
    assert_eq!(successor.digest(), former.digest());
    successor.update(entries.iter(), now + Duration::from_millis(300));
    let admitted = successor.digest().0[0].admitted.as_ratio();
    assert!(admitted < 0.5, "{admitted}");
}

/// An old digest, or none, must leave the choice to an instance's own observations.
#[test]
fn old_digest_expires() {
    let mut pace = EndpointPace::new(1);
    assert!(!pace.is_current(MonotonicTime::from_millis(100)));
    let digest = collect(&[paced_fleet::entry(0, "a")], |_, _, _| 10)
        .digest()
        .clone();
    pace.record_digest(MonotonicTime::from_millis(1_000), &digest);
    pace.record_digest(MonotonicTime::from_millis(500), &digest);
    assert!(pace.is_current(MonotonicTime::from_millis(2_900)));
    assert!(!pace.is_current(MonotonicTime::from_millis(3_000)));
}

/// Reports must go to the next instance while the first one is silent and return to it later, and an
/// instance without reads must not take the first one for silent.
#[test]
fn silent_collector_is_passed_over() {
    let ranked = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let at = MonotonicTime::from_millis;
    let mut choice = CollectorChoice::default();
    assert_eq!(choice.choose(&ranked, at(0)), Some(ranked[0]));
    choice.record_report(at(0));
    assert!(!choice.record_answer(ranked[1]) && choice.record_answer(ranked[0]));
    assert_eq!(choice.choose(&ranked, at(9_000)), Some(ranked[0]));
    choice.record_report(at(9_000));
    choice.record_report(at(10_000));
    assert_eq!(choice.choose(&ranked, at(10_100)), Some(ranked[0]));
    assert_eq!(choice.choose(&ranked, at(10_200)), Some(ranked[1]));
    assert_eq!(choice.choose(&ranked, at(15_300)), Some(ranked[0]));
}
