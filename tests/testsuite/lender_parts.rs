//! Guards against more than a team's rate while leaders and lenders change, and against refusals
//! below it.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session_core::lender_table::PartSet;
use session_core::lending_right::LendingRight;
use session_core::lending_right::RIGHT_TIME;
use session_core::lending_right::RightRenewal;
use session_core::lending_right::SeenLeadership;
use session_core::monotonic_time::MonotonicTime;
use session_core::rate_lender::LendingBudget;
use session_core::serving_rules::TeamLimit;
use session_core::units::RequestBurst;
use session_core::units::RequestRate;

use crate::lender_fleet::FleetFault;
use crate::lender_fleet::LenderFleet;
use crate::lender_fleet::STEP_MS;

const WINDOW_MS: u64 = 5_000;

fn limit(rate: f64) -> TeamLimit {
    TeamLimit {
        rate: RequestRate(rate),
        burst: RequestBurst(rate),
    }
}

/// Returns the highest number of times in one window.
fn most_in_window(times: &mut [u64]) -> usize {
    times.sort_unstable();
    let in_window =
        |first: usize| times[first..].partition_point(|at| *at < times[first] + WINDOW_MS);
    (0..times.len()).map(in_window).max().unwrap_or(0)
}

fn arrivals(random: &mut ChaCha8Rng, load: &[f64]) -> Vec<usize> {
    let chance = |rate: &f64| (rate * STEP_MS as f64 / 1_000.0).min(1.0);
    let arrive = |rate: &f64| usize::from(random.random_bool(chance(rate)));
    load.iter().map(arrive).collect()
}

fn random_fault(random: &mut ChaCha8Rng, fleet: &LenderFleet, count: usize) -> FleetFault {
    let any = random.random_range(0..count);
    let victim = match fleet.leader().filter(|_| random.random_bool(0.6)) {
        Some(leader) => leader,
        None => any,
    };
    let time = random.random_range(100..4_500);
    match random.random_range(0..9) {
        0 => FleetFault::Cut(victim, time),
        1 => FleetFault::StoreCut(victim, time),
        2 => FleetFault::Frozen(victim, time * 2),
        3 => FleetFault::Killed(victim, time / 3),
        4 => FleetFault::Stopped(victim, time / 3),
        5 => FleetFault::StoreSilent(time),
        6 => FleetFault::HandedOver,
        7 => FleetFault::LateDatagrams(time),
        _ => FleetFault::Cut(any, time * 2),
    }
}

/// Runs a random load under random faults, and returns the times of the operations and when a part
/// was first held twice.
fn play_faults(seed: u64, count: usize, rate: f64) -> (Vec<u64>, Option<u64>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = LenderFleet::new(count, limit(rate), seed);
    fleet.hoards = true;
    let mut load = vec![0.0; count];
    let mut next_fault = 500;
    for now in (0..20_000).step_by(STEP_MS as usize) {
        if now % 1_000 == 0 {
            // A pause fills the buckets, and a surge empties them.
            let total = rate * [0.0, 0.8, 3.0, 12.0][random.random_range(0..4)];
            let busy = random.random_range(1..=count);
            load.fill(0.0);
            for rate in load.iter_mut().take(busy) {
                *rate = total / busy as f64;
            }
        }
        if now >= next_fault {
            next_fault = now + random.random_range(100..1_500);
            let fault = random_fault(&mut random, &fleet, count);
            fleet.inject(fault, now);
        }
        let arrivals = arrivals(&mut random, &load);
        fleet.step(now, &arrivals);
    }
    (fleet.outcome.ran, fleet.outcome.shared_part_at)
}

/// No sequence of leaders, cut, frozen, stopped or killed processes, and late or duplicated
/// datagrams may let a team run more than its rate and burst allow in a window. With a leader and a
/// deputy that lent beside their successors, 166 of 2,000 seeds with 3 instances exceeded it. Seed 52
/// with 3 instances restarted a lender that had given up its part, beside a cut-off leader.
#[test]
fn rate_is_kept_under_faults() {
    for (count, rate) in [(1, 40.0), (2, 40.0), (3, 40.0), (7, 8.0), (13, 170.0)] {
        let allowed = (rate * 5.0 + rate) * 1.1 + 20.0;
        for seed in 45..60 {
            let (mut ran, shared_part_at) = play_faults(seed, count, rate);
            let most = most_in_window(&mut ran) as f64;
            assert_eq!(shared_part_at, None, "seed {seed}, {count} instances");
            assert!(most <= allowed, "seed {seed}, {count} instances: {most}");
        }
    }
}

/// Returns the share of refused operations among those that arrive in a period, over several seeds.
fn refused_share(
    count: usize,
    rate: f64,
    load: f64,
    faults: &[(u64, FleetFault)],
    period: std::ops::Range<u64>,
) -> f64 {
    let (mut refused, mut ran) = (0, 0);
    for seed in 0..3 {
        let mut random = ChaCha8Rng::seed_from_u64(seed + 100);
        let mut fleet = LenderFleet::new(count, limit(rate), seed);
        let load = vec![load / count as f64; count];
        for now in (0..period.end).step_by(STEP_MS as usize) {
            for (_, fault) in faults.iter().filter(|(at, _)| *at == now) {
                let fault = match (fault, fleet.leader()) {
                    (FleetFault::Killed(usize::MAX, time), Some(leader)) => {
                        FleetFault::Killed(leader, *time)
                    }
                    _ => *fault,
                };
                fleet.inject(fault, now);
            }
            let arrivals = arrivals(&mut random, &load);
            fleet.step(now, &arrivals);
        }
        let in_period = |at: &&u64| period.contains(at);
        refused += fleet.outcome.refused.iter().filter(in_period).count();
        ran += fleet.outcome.ran.iter().filter(in_period).count();
    }
    refused as f64 / (refused + ran).max(1) as f64
}

/// A team within its rate must be served while the leader is away, also beside a silent store, and
/// after a restart of all instances. With a leader and a deputy, up to 15 % were refused.
#[test]
fn team_within_rate_is_served() {
    let leader = usize::MAX;
    let killed = FleetFault::Killed(leader, 60_000);
    let restart = |i| (13_000, FleetFault::Killed(i, 500));
    let cases = [
        ("calm", vec![], 3_000..9_000),
        ("leader killed", vec![(4_000, killed)], 4_000..9_000),
        (
            "handover",
            vec![(4_000, FleetFault::HandedOver)],
            4_000..9_000,
        ),
        (
            "store silent and leader killed",
            vec![(3_000, FleetFault::StoreSilent(4_000)), (5_000, killed)],
            3_000..9_000,
        ),
        (
            "restart of all",
            (0..126).map(restart).collect(),
            14_000..18_000,
        ),
    ];
    for (name, faults, period) in cases {
        let share = refused_share(126, 170.0, 0.7 * 170.0, &faults, period);
        assert!(share < 0.01, "{name}: {share}");
    }
}

/// The budget must leave room in each window for tokens that were lent before it.
#[test]
fn budget_fits_the_window() {
    for rate in [1.0, 8.0, 40.0, 170.0, 5_000.0] {
        for burst in [0.0, 1.0, rate, 20.0 * rate] {
            let limit = TeamLimit {
                rate: RequestRate(rate),
                burst: RequestBurst(burst),
            };
            let budget = LendingBudget::new(&limit);
            let lent = budget.burst + budget.rate * 5.6;
            let allowed = (rate * 5.0 + burst) * 1.1 + 20.0;
            assert!(lent <= allowed + 1e-6, "{rate}, {burst}: {lent}");
            assert!(budget.rate > 0.9 * rate, "{rate}, {burst}");
        }
    }
}

fn renewal(token: u64, table_revision: u64, confirmed: u64) -> RightRenewal {
    let mut parts = PartSet::default();
    parts.insert(0);
    RightRenewal {
        token,
        sent: MonotonicTime::from_millis(500 + confirmed),
        confirmed: Some(MonotonicTime::from_millis(confirmed)),
        lease_age: Duration::from_millis(400),
        parts,
        table_revision,
    }
}

/// A lender must not take a right from a former leader, or from one that does not know that its
/// parts have other lenders; nor one that a message of an earlier process confirms.
#[test]
fn former_leader_renews_nothing() {
    let now = MonotonicTime::from_millis(9_000);
    let seen = |leader, table_revision, synced_at| SeenLeadership {
        leader,
        table_revision,
        synced_at: MonotonicTime::from_millis(synced_at),
    };
    let right = LendingRight::new(MonotonicTime::from_millis(8_000));
    let try_renew = |seen: SeenLeadership, confirmed: u64| {
        let mut right = right;
        let answer = right.renew(&renewal(7, 5, confirmed), &seen, now);
        (answer.is_some(), right.ends()[0])
    };
    let none = MonotonicTime::default();
    let until = MonotonicTime::from_millis(8_500 - 400) + RIGHT_TIME;
    assert_eq!(try_renew(seen(Some(7), 5, 8_900), 8_500), (true, until));
    assert_eq!(try_renew(seen(None, 5, 8_900), 8_500), (true, until));
    assert_eq!(try_renew(seen(Some(8), 5, 8_900), 8_500), (false, none));
    assert_eq!(try_renew(seen(None, 6, 8_900), 8_500), (false, none));
    assert_eq!(try_renew(seen(None, 5, 7_900), 8_500), (false, none));
    assert_eq!(try_renew(seen(Some(7), 5, 8_900), 7_900), (true, none));
    assert_eq!(try_renew(seen(Some(7), 5, 8_900), 9_900), (true, none));
}
