//! Checks that all instances together stay within every team's rate and burst under any fault.

use proptest::prelude::*;
use tamaracklb::process::shares::holder::AdmissionAttempt;
use tamaracklb::process::shares::holder::AdmissionOutcome;
use tamaracklb::process::shares::holder::ShareHolder;
use tamaracklb::process::shares::incarnation::InstanceIncarnation;
use tamaracklb::process::shares::messages::LoanGrant;
use tamaracklb::process::shares::messages::LoanRequest;
use tamaracklb::process::shares::messages::ShareAction;
use tamaracklb::process::shares::messages::ShareMessage;
use tamaracklb::process::shares::settings::ShareAblation;
use tamaracklb::process::shares::settings::ShareSettings;
use tamaracklb::process::shares::table::ShareTable;
use tamaracklb::process::shares::table::TOTAL_UNITS;
use tamaracklb::process::shares::table::TeamLimit;
use tamaracklb::process::shares::witness::ShareWitness;
use tamaracklb::process::timers::MonotonicTime;
use tamaracklb::version::units::RequestBurst;
use tamaracklb::version::units::RequestRate;

use crate::rate_sim::CheckBucket;
use crate::rate_sim::MS;
use crate::rate_sim::RateSim;
use crate::rate_sim::SECOND;
use crate::rate_sim::TeamLoad;

fn settings(ablation: ShareAblation) -> ShareSettings {
    ShareSettings {
        ablation,
        ..ShareSettings::default()
    }
}

fn spread(rate: f64) -> TeamLoad {
    TeamLoad { rate, node: None }
}

fn on(node: usize, rate: f64) -> TeamLoad {
    TeamLoad {
        rate,
        node: Some(node),
    }
}

fn incarnation(name: &str) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: name.parse().expect("valid id"),
        number: 1,
    }
}

/// Overloads six instances, runs `fault`, and returns how often the bound was exceeded.
fn violations_under_overload(
    ablation: ShareAblation,
    seed: u64,
    fault: impl Fn(&mut RateSim),
) -> u64 {
    let mut sim = RateSim::new(6, &[(100.0, 60.0)], settings(ablation), seed);
    sim.set_load(0, spread(300.0));
    sim.run_until(8 * SECOND);
    fault(&mut sim);
    sim.violations
}

/// Guards against a checker that reports no violations.
#[test]
fn checker_catches_violation() {
    let mut bucket = CheckBucket::new(10.0);
    bucket.advance(SECOND, 5.0, 10.0);
    assert!((0..10).all(|_| bucket.charge()));
    assert!(!bucket.charge());
}

/// Guards against a lent fraction that both the owner and the borrower use.
#[test]
fn owner_deducts_before_sending() {
    let run = |no_deduction| {
        let ablation = ShareAblation {
            no_deduction,
            ..ShareAblation::default()
        };
        violations_under_overload(ablation, 1, |sim| {
            sim.set_load(0, on(2, 300.0));
            sim.run_until(12 * SECOND);
        })
    };
    assert_eq!(run(false), 0);
    assert!(run(true) > 0);
}

/// Guards against adding a repeated or late grant more than once.
#[test]
fn duplicate_grant_adds_nothing() {
    let admitted = |no_duplicate_check| {
        let ablation = ShareAblation {
            no_duplicate_check,
            ..ShareAblation::default()
        };
        let (owner, me) = (incarnation("instance-1"), incarnation("instance-2"));
        let team = "team-0".parse().expect("valid id");
        let limit = TeamLimit {
            rate: RequestRate(100.0),
            burst: RequestBurst(100.0),
        };
        let mut table = ShareTable::first(owner.clone(), vec![owner.instance.clone()]);
        table
            .teams
            .insert("team-0".parse().expect("valid id"), limit);
        let mut holder = ShareHolder::new(me, settings(ablation));
        let now = MonotonicTime::from_millis(10_000);
        holder.set_limits(table.teams.clone(), now);
        holder.adopt(&table, now);
        holder.set_live([owner.clone()].into());
        let mut actions = Vec::new();
        holder.admit(&team, AdmissionAttempt::First, now, &mut actions);
        let number = match &actions[..] {
            [
                ShareAction::Send {
                    message: ShareMessage::Request(requests),
                    ..
                },
            ] => requests[0].number,
            other => panic!("unexpected {other:?}"),
        };
        let grant = LoanGrant {
            team: "team-0".parse().expect("valid id"),
            number,
            fraction: 0.5,
            tokens: 10.0,
            limit,
            term_ms: 500,
            // A lower value would make the borrower return the excess at once.
            keep: 1.0,
            pending_ms: 0,
        };
        for _ in 0..3 {
            holder.on_grant(&owner, std::slice::from_ref(&grant), now, &mut actions);
        }
        let mut admitted = 0;
        while holder.admit(&team, AdmissionAttempt::Again, now, &mut actions)
            == AdmissionOutcome::Admitted
        {
            admitted += 1;
        }
        admitted
    };
    assert_eq!(admitted(false), 10);
    assert!(admitted(true) > 10);
}

/// Guards against a process that resumes after a freeze of a minute and admits with its former
/// share.
#[test]
fn frozen_process_resumes_without_share() {
    let run = |no_lease_check| {
        let ablation = ShareAblation {
            no_lease_check,
            ..ShareAblation::default()
        };
        violations_under_overload(ablation, 3, |sim| {
            sim.set_load(0, on(1, 300.0));
            sim.run_until(10 * SECOND);
            sim.freeze(1, 60 * SECOND);
            sim.run_until(11 * SECOND);
            sim.set_load(0, on(2, 1.0));
            sim.run_until(69 * SECOND);
            // The burst of the whole fleet is used up just before the frozen process resumes.
            sim.set_load(0, on(2, 3000.0));
            sim.run_until(72 * SECOND);
        })
    };
    assert_eq!(run(false), 0);
    assert!(run(true) > 0);
}

/// Guards against reclaiming a share whose owner is partitioned and may still use it.
#[test]
fn reclaim_waits_for_revocation() {
    let run = |no_revocation_wait| {
        let ablation = ShareAblation {
            no_revocation_wait,
            ..ShareAblation::default()
        };
        (0..4)
            .map(|seed| {
                violations_under_overload(ablation.clone(), seed, |sim| {
                    sim.set_group(4, 1);
                    sim.run_until(16 * SECOND);
                    let table = sim.table().expect("the table is written");
                    assert_eq!(table.owners.values().sum::<u32>(), TOTAL_UNITS);
                    assert!(
                        !table
                            .owners
                            .keys()
                            .any(|o| o.instance.as_str() == "instance-4"
                                && sim.shard(4).is_some_and(|s| s.incarnation() != o))
                    );
                })
            })
            .sum::<u64>()
    };
    assert_eq!(run(false), 0);
    assert!(run(true) > 0);
}

/// Guards against a lowered rate that takes effect only once the store answers again.
#[test]
fn lower_rate_applies_without_store() {
    let run = |no_immediate_lowering| {
        let ablation = ShareAblation {
            no_immediate_lowering,
            ..ShareAblation::default()
        };
        violations_under_overload(ablation, 5, |sim| {
            sim.store_down = true;
            sim.accept_bundle(&[(20.0, 10.0)]);
            sim.run_until(16 * SECOND);
        })
    };
    assert_eq!(run(false), 0);
    assert!(run(true) > 0);
}

/// Guards against a raised rate that never takes effect.
#[test]
fn higher_rate_applies_when_settled() {
    let mut sim = RateSim::new(6, &[(20.0, 20.0)], ShareSettings::default(), 6);
    sim.set_load(0, spread(80.0));
    sim.run_until(8 * SECOND);
    sim.accept_bundle(&[(100.0, 60.0)]);
    sim.run_until(24 * SECOND);
    assert_eq!(sim.violations, 0);
    let before = sim.count(0, 4 * SECOND, 8 * SECOND);
    assert!(before.admitted < 4 * 20 + 20, "{before:?}");
    let after = sim.count(0, 16 * SECOND, 23 * SECOND);
    assert!(after.wrongful_percent() < 1.0, "{after:?}");
}

/// Guards against a restarted witness that has lost a revocation and vouches for the revoked owner.
#[test]
fn restarted_witness_vouches_after_read() {
    let owner = incarnation("instance-1");
    let old = ShareTable::first(owner.clone(), vec!["instance-2".parse().expect("valid id")]);
    let mut revoked = old.next();
    revoked.revoked.insert(owner.clone());
    let vouches = |witness: &ShareWitness| {
        let answer = witness.answer_renewal(&owner, 1, old.version);
        matches!(answer, Some(ShareMessage::Vouch { .. }))
    };
    for skips_read in [false, true] {
        let mut witness = ShareWitness::new(skips_read);
        witness.record_table(&old, false);
        assert_eq!(vouches(&witness), skips_read);
        witness.record_table(&revoked, true);
        assert!(!vouches(&witness));
    }
}

/// Guards against a loan that is still valid when its owner's share may have been reclaimed.
#[test]
fn loan_ends_with_owner_lease() {
    let term = |no_loan_bound| {
        let ablation = ShareAblation {
            no_loan_bound,
            ..ShareAblation::default()
        };
        let me = incarnation("instance-1");
        let team = "team-0".parse().expect("valid id");
        let limit = TeamLimit {
            rate: RequestRate(100.0),
            burst: RequestBurst(100.0),
        };
        let mut table = ShareTable::first(me.clone(), vec![me.instance.clone()]);
        table.teams.insert(team, limit);
        let start = MonotonicTime::from_millis(10_000);
        let mut holder = ShareHolder::new(me, settings(ablation));
        holder.set_limits(table.teams.clone(), start);
        holder.adopt(&table, start);
        holder.renew_by_store(1, start, start);
        let request = LoanRequest {
            team: "team-0".parse().expect("valid id"),
            number: 1,
            holds: 0.0,
            returned: 0.0,
            demand: 10.0,
        };
        let mut actions = Vec::new();
        let late = MonotonicTime::from_millis(11_900);
        holder.on_request(&incarnation("instance-3"), &[request], late, &mut actions);
        match &actions[..] {
            [
                ShareAction::Send {
                    message: ShareMessage::Grant(grants),
                    ..
                },
            ] => grants[0].term_ms,
            other => panic!("unexpected {other:?}"),
        }
    };
    assert_eq!(term(false), 100);
    assert_eq!(term(true), 500);
}

/// Guards against checking the lease only on ticks and not on each admission.
#[test]
fn admission_checks_lease() {
    let me = incarnation("instance-1");
    let team = "team-0".parse().expect("valid id");
    let limit = TeamLimit {
        rate: RequestRate(100.0),
        burst: RequestBurst(100.0),
    };
    let mut table = ShareTable::first(me.clone(), vec![me.instance.clone()]);
    table
        .teams
        .insert("team-0".parse().expect("valid id"), limit);
    let mut holder = ShareHolder::new(me, ShareSettings::default());
    let start = MonotonicTime::from_millis(10_000);
    holder.set_limits(table.teams.clone(), start);
    holder.adopt(&table, start);
    holder.renew_by_store(1, start, start);
    let mut admit = |ms| {
        let now = MonotonicTime::from_millis(ms);
        holder.admit(&team, AdmissionAttempt::First, now, &mut Vec::new())
    };
    // The bucket of a new share is empty, and after the lease its remaining tokens are unknown.
    assert_eq!(admit(10_000), AdmissionOutcome::Deferred);
    assert_eq!(admit(11_900), AdmissionOutcome::Admitted);
    assert_eq!(admit(12_001), AdmissionOutcome::Deferred);
}

/// Guards against wrongful refusals if a team's whole load is on one instance, and after it moves.
#[test]
fn share_follows_load() {
    let run = |no_loans| {
        let ablation = ShareAblation {
            no_loans,
            ..ShareAblation::default()
        };
        let mut sim = RateSim::new(15, &[(100.0, 100.0)], settings(ablation), 7);
        sim.run_until(6 * SECOND);
        sim.set_load(0, on(3, 80.0));
        sim.run_until(26 * SECOND);
        sim.set_load(0, on(8, 80.0));
        sim.run_until(40 * SECOND);
        assert_eq!(sim.violations, 0);
        let steady = sim.count(0, 12 * SECOND, 26 * SECOND);
        let moved = sim.count(0, 26 * SECOND, 39 * SECOND);
        (steady.wrongful_percent(), moved.wrongful_percent())
    };
    let (steady, moved) = run(false);
    assert!(steady < 0.1, "{steady}");
    assert!(moved < 1.0, "{moved}");
    let (steady, _) = run(true);
    assert!(steady > 10.0, "{steady}");
}

/// Guards against leases that end in a store outage, and against refusals that an outage adds.
#[test]
fn witnesses_renew_through_outage() {
    let run = |no_witness_renewal| {
        let ablation = ShareAblation {
            no_witness_renewal,
            ..ShareAblation::default()
        };
        let mut sim = RateSim::new(15, &[(100.0, 100.0)], settings(ablation), 8);
        sim.run_until(6 * SECOND);
        sim.set_load(0, on(3, 80.0));
        sim.run_until(12 * SECOND);
        sim.store_down = true;
        let calls = sim.store_calls;
        sim.run_until(30 * SECOND);
        assert_eq!(sim.violations, 0);
        let per_instance = (sim.store_calls - calls) as f64 / 18.0 / 15.0;
        (
            sim.count(0, 12 * SECOND, 29 * SECOND).wrongful_percent(),
            per_instance,
        )
    };
    let (refused, calls) = run(false);
    assert!(refused < 1.0, "{refused}");
    assert!(calls < 1.0, "{calls}");
    let (refused, _) = run(true);
    assert!(refused > 10.0, "{refused}");
}

/// Guards against a dead owner's share that is never reclaimed, and against reusing it too early.
#[test]
fn dead_owner_is_reclaimed() {
    let mut sim = RateSim::new(15, &[(100.0, 100.0)], ShareSettings::default(), 9);
    sim.run_until(6 * SECOND);
    sim.set_load(0, on(3, 80.0));
    sim.run_until(12 * SECOND);
    sim.kill(3);
    sim.set_load(0, on(4, 80.0));
    sim.run_until(73 * SECOND);
    assert_eq!(sim.violations, 0);
    let after = sim.count(0, 12 * SECOND, 72 * SECOND);
    assert!(after.wrongful_percent() < 1.0, "{after:?}");
    let table = sim.table().expect("the table is written");
    assert_eq!(table.owners.len(), 14);
    assert_eq!(table.owners.values().sum::<u32>(), TOTAL_UNITS);
}

/// Guards against a drained instance whose share stays unusable until its lease ends.
#[test]
fn drain_returns_share() {
    let mut sim = RateSim::new(15, &[(100.0, 100.0)], ShareSettings::default(), 10);
    sim.set_load(0, spread(80.0));
    sim.run_until(8 * SECOND);
    sim.drain(5);
    sim.run_until(10 * SECOND);
    assert!(sim.shard(5).is_some_and(|shard| shard.is_drained()));
    let table = sim.table().expect("the table is written");
    assert_eq!(table.owners.len(), 14);
    assert!(table.revoked.is_empty());
    assert_eq!(table.owners.values().sum::<u32>(), TOTAL_UNITS);
    assert_eq!(sim.violations, 0);
}

/// Guards against a restarted instance that never gets units of the share.
#[test]
fn new_incarnation_joins() {
    let mut sim = RateSim::new(6, &[(100.0, 60.0)], ShareSettings::default(), 12);
    sim.set_load(0, spread(300.0));
    sim.run_until(6 * SECOND);
    sim.kill(2);
    sim.start(2);
    sim.run_until(16 * SECOND);
    let me = sim.shard(2).expect("the shard runs").incarnation().clone();
    assert!(sim.table().expect("the table is written").units(&me) > 0);
    assert_eq!(sim.violations, 0);
}

/// Guards against a transfer that changes the total number of units.
#[test]
fn transfer_moves_units() {
    let names = ["a", "b", "c"].map(incarnation);
    let mut table = ShareTable::first(names[0].clone(), vec![names[0].instance.clone()]);
    table.transfer_units(&names[0], 700_000, &names[1..]);
    assert_eq!(table.units(&names[0]), 300_000);
    assert_eq!(table.units(&names[1]), 350_000);
    assert_eq!(table.units(&names[2]), 350_000);
    table.transfer_units(&names[0], 300_000, &names[1..2]);
    assert_eq!(table.owners.len(), 2);
    assert_eq!(table.check(), Ok(()));
}

#[derive(Debug, Clone)]
enum Fault {
    Freeze(usize, u64),
    Restart(usize, u64),
    Cut(usize),
    StoreCut(usize),
    StoreDown(bool),
    Bundle(f64, f64),
    Move(usize),
    Drain(usize),
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..6usize;
    prop_oneof![
        (node.clone(), 100..8000u64).prop_map(|(node, ms)| Fault::Freeze(node, ms)),
        (node.clone(), 0..3000u64).prop_map(|(node, ms)| Fault::Restart(node, ms)),
        node.clone().prop_map(Fault::Cut),
        node.clone().prop_map(Fault::StoreCut),
        any::<bool>().prop_map(Fault::StoreDown),
        (20.0..200.0f64, 10.0..100.0f64).prop_map(|(rate, burst)| Fault::Bundle(rate, burst)),
        node.clone().prop_map(Fault::Move),
        node.prop_map(Fault::Drain),
        Just(Fault::Heal),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against sequences of faults that make the fleet admit more than the bound.
    #[test]
    fn bound_holds_through_faults(
        seed in 0..u64::MAX,
        faults in prop::collection::vec((fault(), 100..3000u64), 1..12),
    ) {
        let mut sim = RateSim::new(6, &[(100.0, 60.0)], ShareSettings::default(), seed);
        sim.loss = 0.05;
        sim.duplicates = 0.05;
        sim.late = 0.02;
        sim.lost_answers = 0.1;
        sim.set_load(0, spread(300.0));
        sim.run_until(6 * SECOND);
        for (fault, pause) in faults {
            match fault {
                Fault::Freeze(node, ms) => sim.freeze(node, ms * MS),
                Fault::Restart(node, ms) => {
                    sim.kill(node);
                    sim.restart_after(node, ms * MS);
                }
                Fault::Cut(node) => sim.set_group(node, 1),
                Fault::StoreCut(node) => sim.set_store_cut(node, true),
                Fault::StoreDown(down) => sim.store_down = down,
                // A bundle can be accepted only while the store answers.
                Fault::Bundle(rate, burst) if !sim.store_down => sim.accept_bundle(&[(rate, burst)]),
                Fault::Bundle(..) => {}
                Fault::Move(node) => sim.set_load(0, on(node, 300.0)),
                Fault::Drain(node) => sim.drain(node),
                Fault::Heal => {
                    sim.store_down = false;
                    for node in 0..6 {
                        sim.set_group(node, 0);
                        sim.set_store_cut(node, false);
                    }
                }
            }
            sim.run_until(sim.now + pause * MS);
        }
        sim.run_until(sim.now + 6 * SECOND);
        prop_assert_eq!(sim.violations, 0);
        prop_assert!(sim.table().is_none_or(|table| table.check().is_ok()));
    }
}
