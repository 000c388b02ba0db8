//! Checks that the slots of a service are shared fairly and that each request ends exactly once.

use std::time::Duration;

use proptest::prelude::*;
use tamaracklb::process::slots::messages::PermitId;
use tamaracklb::process::slots::messages::SlotClass;
use tamaracklb::process::slots::queue::QueueOrder;
use tamaracklb::process::slots::queue::QueueSettings;
use tamaracklb::process::slots::queue::SlotAction;
use tamaracklb::process::slots::queue::SlotQueue;
use tamaracklb::process::slots::queue::SlotRequest;
use tamaracklb::process::slots::rendezvous::RendezvousMember;
use tamaracklb::process::slots::rendezvous::rendezvous_order;
use tamaracklb::process::slots::rendezvous::spread_order;
use tamaracklb::process::timers::MonotonicTime;
use tamaracklb::request::refusal::RequestRefusal;
use tamaracklb::version::units::SlotCount;

use crate::slot_sim::SECOND;
use crate::slot_sim::SlotLoad;
use crate::slot_sim::SlotSim;
use crate::slot_sim::TeamResult;
use crate::slot_sim::endpoint_id;
use crate::slot_sim::team_id;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

fn queue(slots: u32, settings: QueueSettings) -> SlotQueue {
    let mut queue = SlotQueue::new(settings);
    queue.set_endpoints(&[(endpoint_id(0), SlotCount(slots))]);
    queue
}

fn request(team: usize, number: u64, deadline_ms: u64) -> SlotRequest {
    SlotRequest {
        id: id(number),
        team: team_id(team),
        class: SlotClass::Write,
        eligible: vec![endpoint_id(0)],
        deadline: at(deadline_ms),
    }
}

fn id(number: u64) -> PermitId {
    PermitId {
        instance: format!("instance-{}", number % 3)
            .parse()
            .expect("valid id"),
        number,
    }
}

fn granted(actions: &[SlotAction]) -> Vec<u64> {
    let grants = actions.iter().filter_map(|action| match action {
        SlotAction::Grant { id, .. } => Some(id.number),
        SlotAction::Refuse { .. } => None,
    });
    grants.collect()
}

fn refused(actions: &[SlotAction]) -> Vec<(u64, RequestRefusal)> {
    let refusals = actions.iter().filter_map(|action| match action {
        SlotAction::Refuse { id, refusal } => Some((id.number, *refusal)),
        SlotAction::Grant { .. } => None,
    });
    refusals.collect()
}

/// Returns the loads of eight teams that use 0.35 of the replicas' slots and 0.25 of the primary's.
fn loads(slots: f64) -> Vec<SlotLoad> {
    let reads = 2.0 * slots * 0.35 / 0.010;
    let writes = slots * 0.25 / 0.012;
    [0.25, 0.20, 0.15, 0.10, 0.10, 0.08, 0.07, 0.05]
        .map(|fraction| SlotLoad {
            rate: fraction * (reads + writes),
            writes: writes / (reads + writes),
            read_ms: 8.0,
            write_ms: 10.0,
            weight: fraction * 8.0,
            limit: None,
        })
        .to_vec()
}

/// Returns the lowest percentage of its requests that one of the other teams keeps, and the p99
/// wait of all of them in ms.
///
/// The small teams send too few requests for a p99 per team in a short run; `limits_bench` measures
/// that over a longer one.
fn others(settings: &QueueSettings, loads: &[SlotLoad], noisy: usize) -> (f64, f64) {
    let mut sim = SlotSim::new(15, 3, loads, settings.clone(), 11);
    sim.run_until(45 * SECOND);
    let mut all = TeamResult::default();
    let mut kept = 100.0_f64;
    for team in (0..loads.len()).filter(|&team| team != noisy) {
        kept = kept.min(sim.results[team].served_percent());
        all.waits.extend(&sim.results[team].waits);
    }
    (kept, all.p99_ms())
}

/// Guards against a team at five times its usual rate that delays the other teams.
#[test]
fn noisy_team_does_not_delay_others() {
    let usual = loads(3.0);
    let mut noisy = usual.clone();
    noisy[1].rate *= 5.0;
    let run = |settings: QueueSettings| {
        let (_, before) = others(&settings, &usual, 1);
        let (kept, after) = others(&settings, &noisy, 1);
        (kept, after / before)
    };
    let (kept, ratio) = run(QueueSettings::default());
    assert!(kept >= 98.0, "{kept}");
    assert!(ratio <= 1.5, "{ratio}");
    let (_, ratio) = run(QueueSettings {
        order: QueueOrder::Arrival,
        ..QueueSettings::default()
    });
    assert!(ratio > 1.5, "in order of arrival: {ratio}");
    let (_, ratio) = run(QueueSettings {
        keeps_reserve: false,
        ..QueueSettings::default()
    });
    assert!(ratio > 1.5, "without reserve: {ratio}");
}

/// Guards against charging teams per request and not per slot time.
#[test]
fn slot_time_is_charged() {
    let run = |order| {
        let settings = QueueSettings {
            order,
            keeps_reserve: false,
            refuses_early: false,
            length_per_slot: 1000,
            ..QueueSettings::default()
        };
        let mut queue = queue(1, settings);
        let mut actions = Vec::new();
        for number in 0..600 {
            let team = usize::try_from(number % 2).expect("small");
            actions.extend(queue.push(request(team, number, 1_000_000), at(0)));
        }
        let (mut now, mut used) = (0, [0, 0]);
        let mut running = granted(&actions);
        while now < 600 {
            let number = running.pop().expect("a request runs");
            let long = number % 2 == 1;
            let time = if long { 50 } else { 5 };
            now += time;
            used[usize::from(long)] += time;
            let spent = Duration::from_millis(time);
            running = granted(&queue.release(&id(number), Some(spent), at(now)));
        }
        used[1] as f64 / used[0] as f64
    };
    let ratio = run(QueueOrder::SlotTime);
    assert!(ratio < 1.5, "{ratio}");
    let ratio = run(QueueOrder::Arrival);
    assert!(ratio > 8.0, "{ratio}");
}

/// Guards against queueing a request whose deadline cannot be met.
#[test]
fn unmeetable_deadline_is_refused_early() {
    for refuses_early in [true, false] {
        let mut queue = queue(
            1,
            QueueSettings {
                refuses_early,
                ..QueueSettings::default()
            },
        );
        queue.push(request(0, 0, 10_000), at(0));
        queue.release(&id(0), Some(Duration::from_millis(100)), at(100));
        for number in 1..6 {
            queue.push(request(0, number, 10_000), at(100));
        }
        let actions = queue.push(request(0, 6, 250), at(100));
        let early = refused(&actions) == vec![(6, RequestRefusal::QueueDeadline)];
        assert_eq!(early, refuses_early);
        let actions = queue.tick(at(251));
        assert_eq!(refused(&actions).len(), usize::from(!refuses_early));
    }
}

/// Guards against a team that fills the queue and so has the other teams refused.
#[test]
fn longest_queue_loses_when_full() {
    let settings = QueueSettings {
        length_per_slot: 8,
        refuses_early: false,
        ..QueueSettings::default()
    };
    let mut queue = queue(1, settings);
    for number in 0..9 {
        assert!(refused(&queue.push(request(0, number, 10_000), at(0))).is_empty());
    }
    let actions = queue.push(request(1, 20, 10_000), at(0));
    assert_eq!(refused(&actions), vec![(8, RequestRefusal::QueueFull)]);
    assert_eq!(queue.waiting(), 8);
}

/// Guards against slots that stay in use after a request was cancelled or an instance died.
#[test]
fn cancelled_and_dead_free_slots() {
    let mut queue = queue(1, QueueSettings::default());
    assert_eq!(granted(&queue.push(request(0, 0, 10_000), at(0))), vec![0]);
    queue.push(request(0, 1, 10_000), at(0));
    queue.push(request(0, 2, 10_000), at(0));
    queue.cancel(&id(1));
    let dead = "instance-0".parse().expect("valid id");
    assert_eq!(granted(&queue.remove_instance(&dead, at(5))), vec![2]);
    assert_eq!(queue.waiting(), 0);
    assert_eq!(queue.used(&endpoint_id(0)), 1);
}

/// Guards against requests that hang when the coordinator dies or is partitioned, and against
/// overfilling the endpoints' own queues in the meantime.
#[test]
fn service_continues_without_coordinator() {
    for cut in [false, true] {
        let mut sim = SlotSim::new(15, 3, &loads(3.0), QueueSettings::default(), 3);
        sim.loss = 0.01;
        sim.run_until(8 * SECOND);
        let coordinator = sim.coordinator().expect("an instance is the coordinator");
        if cut {
            sim.set_cut(coordinator, true);
        } else {
            sim.kill(coordinator);
        }
        sim.run_until(12 * SECOND);
        if !cut {
            assert!(sim.coordinator().is_some_and(|next| next != coordinator));
        }
        assert!(sim.local_runs > 0);
        assert!(sim.endpoint_queue_max <= 15, "{}", sim.endpoint_queue_max);
        let before = sim.results.iter().map(|r| r.offered).sum::<u64>();
        sim.run_until(15 * SECOND);
        let settled = sim.results.iter().map(|r| r.ran + r.refused).sum::<u64>();
        let ran = sim.results.iter().map(|r| r.ran).sum::<u64>();
        // Requests of the dead instance itself never finish.
        assert!(settled + 20 >= before, "{settled} of {before}");
        assert!(ran as f64 >= 0.98 * settled as f64, "{ran} of {settled}");
    }
}

fn members(count: usize) -> Vec<RendezvousMember> {
    let member = |n: usize| RendezvousMember {
        instance: format!("instance-{n}").parse().expect("valid id"),
        zone: format!("zone-{}", n % 3).parse().expect("valid id"),
    };
    (0..count).map(member).collect()
}

/// Removing a member must not change the order of the remaining ones.
#[test]
fn order_is_stable_when_member_leaves() {
    let all = members(15);
    let order = rendezvous_order("studio-db", &all);
    let rest = all
        .iter()
        .filter(|m| m.instance != order[4])
        .cloned()
        .collect::<Vec<_>>();
    let mut expected = order.clone();
    expected.remove(4);
    assert_eq!(rendezvous_order("studio-db", &rest), expected);
}

/// Guards against a prefix of the order whose members are all in one zone.
#[test]
fn prefix_spreads_over_zones() {
    let all = members(15);
    for service in ["a", "b", "c", "d"] {
        let order = spread_order(service, &all);
        for prefix in [3, 6, 9] {
            let zone = |z: usize| {
                let of = |id: &&_| {
                    all.iter()
                        .any(|m| m.instance == **id && m.zone.as_str() == format!("zone-{z}"))
                };
                order[..prefix].iter().filter(of).count()
            };
            assert_eq!([zone(0), zone(1), zone(2)], [prefix / 3; 3]);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against more permits than slots, and against requests that end twice or never end.
    #[test]
    fn every_request_ends_once(steps in prop::collection::vec((0..4u8, 0..4usize, 0..60u64), 1..200)) {
        let mut queue = queue(2, QueueSettings::default());
        let (mut now, mut next) = (0, 0);
        let (mut running, mut waiting) = (Vec::new(), std::collections::BTreeSet::new());
        for (step, team, pause) in steps {
            now += pause;
            let actions = match step {
                0 | 1 => {
                    next += 1;
                    waiting.insert(next);
                    queue.push(request(team, next, now + 200), at(now))
                }
                2 if !running.is_empty() => {
                    let number = running.remove(team % running.len());
                    queue.release(&id(number), None, at(now))
                }
                _ => queue.tick(at(now)),
            };
            for number in granted(&actions) {
                prop_assert!(waiting.remove(&number));
                running.push(number);
            }
            for (number, _) in refused(&actions) {
                prop_assert!(waiting.remove(&number));
            }
            prop_assert!(running.len() <= 2);
            prop_assert_eq!(waiting.len(), queue.waiting());
        }
        now += 10_000;
        let late = refused(&queue.tick(at(now)));
        prop_assert!(late.iter().all(|(number, _)| waiting.remove(number)));
        prop_assert!(waiting.is_empty());
    }
}
