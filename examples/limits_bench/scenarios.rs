//! The measured scenarios, with the baselines that they are compared with.

use tamaracklb::process::shares::settings::ShareSettings;
use tamaracklb::process::slots::queue::QueueOrder;
use tamaracklb::process::slots::queue::QueueSettings;

use crate::baselines::rate_over_n;
use crate::baselines::store_counter;
use crate::rate_sim::RateSim;
use crate::rate_sim::RefusalCount;
use crate::rate_sim::SECOND;
use crate::rate_sim::TeamLoad;
use crate::report::BenchReport;
use crate::report::ReportRow;
use crate::slot_sim::SlotLoad;
use crate::slot_sim::SlotSim;

/// Fractions of the total load that the eight teams send while they stay within their rates.
const TEAM_FRACTIONS: [f64; 8] = [0.25, 0.20, 0.15, 0.10, 0.10, 0.08, 0.07, 0.05];

/// Measures the groups of scenarios for whose names `selected` returns true.
pub fn run(selected: impl Fn(&str) -> bool) -> BenchReport {
    let mut report = BenchReport::default();
    if selected("rates") {
        measure_rates(&mut report);
    }
    if selected("fleets") {
        measure_fleets(&mut report);
    }
    if selected("slots") {
        measure_slots(&mut report);
    }
    report
}

/// Measures one team with a rate of 100/s and a burst of 100 whose whole load is on one of 15
/// instances, and the baselines.
fn measure_rates(report: &mut BenchReport) {
    for load in [50.0, 90.0, 100.0, 150.0] {
        let runs = std::thread::scope(|scope| {
            let runs = (0..3).map(|seed| scope.spawn(move || rate_windows(load, seed)));
            let runs = runs.collect::<Vec<_>>();
            let windows = runs.into_iter().map(|run| run.join().expect("no panic"));
            windows.collect::<Vec<_>>()
        });
        let names = ["steady", "load moves", "instance dies", "store goes down"];
        for (index, name) in names.into_iter().enumerate() {
            let mut sum = RefusalCount::default();
            let mut worst = 0.0_f64;
            for run in &runs {
                let count = run[index];
                sum.offered += count.offered;
                sum.admitted += count.admitted;
                sum.ideal += count.ideal;
                sum.wrongful += count.wrongful;
                sum.wait_p99_ms = sum.wait_p99_ms.max(count.wait_p99_ms);
                worst = worst.max(count.wrongful_percent());
            }
            report.rates.push(ReportRow {
                scenario: format!("15 instances, load {load} of 100/s, {name}"),
                variant: "shares".to_owned(),
                figures: figures(&[
                    ("wrongful_percent", sum.wrongful_percent()),
                    ("wrongful_percent_worst", worst),
                    ("shortfall_percent", sum.shortfall_percent()),
                    ("defer_p99_ms", sum.wait_p99_ms),
                ]),
            });
        }
        let split = rate_over_n(15.0, 100.0, 100.0, load, 1);
        let counter = store_counter(8, 100.0, 100.0, load, false, 1);
        let outage = store_counter(8, 100.0, 100.0, load, true, 1);
        for (name, variant, count) in [
            ("steady", "rate/N", split),
            ("steady, 8 teams", "counter", counter),
            ("store goes down, 8 teams", "counter", outage),
        ] {
            report.rates.push(ReportRow {
                scenario: format!("15 instances, load {load} of 100/s, {name}"),
                variant: variant.to_owned(),
                figures: figures(&[
                    (
                        "wrongful_percent",
                        100.0 * count.wrongful as f64 / count.offered as f64,
                    ),
                    (
                        "store_calls_per_instance_second",
                        count.store_calls as f64 / 60.0 / 15.0,
                    ),
                ]),
            });
        }
    }
}

/// Simulates a team's load on a single instance. Returns the counts while the load is steady, and
/// in the minute after it moved, after its instance died and after the store went down.
fn rate_windows(load: f64, seed: u64) -> [RefusalCount; 4] {
    let mut sim = RateSim::new(15, &[(100.0, 100.0)], ShareSettings::default(), seed);
    let load_on = |node| TeamLoad {
        rate: load,
        node: Some(node),
    };
    let minute = 60 * SECOND;
    sim.run_until(8 * SECOND);
    sim.set_load(0, load_on(3));
    sim.run_until(320 * SECOND);
    sim.set_load(0, load_on(7));
    sim.run_until(400 * SECOND);
    sim.kill(7);
    sim.set_load(0, load_on(9));
    sim.run_until(480 * SECOND);
    sim.start(7);
    sim.run_until(500 * SECOND);
    sim.store_down = true;
    sim.run_until(562 * SECOND);
    assert_eq!(sim.violations, 0);
    [
        sim.count(0, 20 * SECOND, 320 * SECOND),
        sim.count(0, 320 * SECOND, 320 * SECOND + minute),
        sim.count(0, 400 * SECOND, 400 * SECOND + minute),
        sim.count(0, 500 * SECOND, 500 * SECOND + minute),
    ]
}

/// Measures the store calls, the messages and the wrongful refusals of fleets of several sizes,
/// with eight teams whose load is spread over all instances.
fn measure_fleets(report: &mut BenchReport) {
    for nodes in [15, 60, 530] {
        let mut sim = RateSim::new(nodes, &[(200.0, 200.0); 8], ShareSettings::default(), 5);
        sim.run_until(8 * SECOND);
        for team in 0..8 {
            sim.set_load(
                team,
                TeamLoad {
                    rate: 160.0,
                    node: None,
                },
            );
        }
        sim.run_until(12 * SECOND);
        let (messages, bytes, calls) = (sim.messages, sim.message_bytes, sim.store_calls);
        sim.run_until(32 * SECOND);
        let per_instance_second = |count: u64| count as f64 / 20.0 / nodes as f64;
        let mut sum = RefusalCount::default();
        for team in 0..8 {
            let count = sim.count(team, 12 * SECOND, 31 * SECOND);
            sum.offered += count.offered;
            sum.wrongful += count.wrongful;
        }
        report.rates.push(ReportRow {
            scenario: format!("{nodes} instances, 8 teams, load spread, 0.8 of rate"),
            variant: "shares".to_owned(),
            figures: figures(&[
                ("wrongful_percent", sum.wrongful_percent()),
                (
                    "store_calls_per_instance_second",
                    per_instance_second(sim.store_calls - calls),
                ),
                (
                    "store_calls_second",
                    per_instance_second(sim.store_calls - calls) * nodes as f64,
                ),
                (
                    "messages_per_instance_second",
                    per_instance_second(sim.messages - messages),
                ),
                (
                    "bytes_per_instance_second",
                    per_instance_second(sim.message_bytes - bytes),
                ),
            ]),
        });
    }
}

fn figures(figures: &[(&str, f64)]) -> Vec<(String, f64)> {
    figures
        .iter()
        .map(|&(name, value)| (name.to_owned(), value))
        .collect()
}

/// Returns the loads of the teams that together use the given fractions of the replicas' and the
/// primary's slots.
fn team_loads(slots: f64, replica_use: f64, primary_use: f64) -> Vec<SlotLoad> {
    let reads = 2.0 * slots * replica_use / 0.010;
    let writes = slots * primary_use / 0.012;
    TEAM_FRACTIONS
        .iter()
        .map(|fraction| SlotLoad {
            rate: fraction * (reads + writes),
            writes: writes / (reads + writes),
            read_ms: 8.0,
            write_ms: 10.0,
            weight: fraction * 8.0,
            limit: None,
        })
        .collect()
}

/// Measures what the other teams get while one team sends too much or holds slots for long, with
/// each order of the queue.
fn measure_slots(report: &mut BenchReport) {
    // Slots per endpoint, and the fractions of the replicas' and the primary's slots that all teams
    // together use at their rates.
    for (deployment, slots, replica_use, primary_use) in [
        ("9 slots, use 0.35/0.25", 3, 0.35, 0.25),
        ("6 slots, use 0.35/0.25", 2, 0.35, 0.25),
        ("9 slots, use 0.50/0.35", 3, 0.50, 0.35),
        ("6 slots, use 0.50/0.35", 2, 0.50, 0.35),
    ] {
        let usual = team_loads(slots as f64, replica_use, primary_use);
        let noisy = 1;
        let mut quiet = usual.clone();
        quiet[noisy].rate = 0.0;
        let mut overload = usual.clone();
        overload[noisy].rate *= 5.0;
        let mut long_reads = usual.clone();
        long_reads[noisy] = SlotLoad {
            rate: 0.4,
            writes: 0.0,
            read_ms: 800.0,
            ..usual[noisy]
        };
        let mut long_writes = usual.clone();
        long_writes[noisy] = SlotLoad {
            rate: 0.2,
            writes: 1.0,
            write_ms: 400.0,
            ..usual[noisy]
        };
        let mut limited = overload.clone();
        limited[noisy].limit = Some(usual[noisy].rate);
        let cases = [
            ("five times its rate", limited),
            ("five times its rate, no limiter", overload),
            ("long reads", long_reads),
            ("long writes", long_writes),
        ];
        for (name, order, keeps_reserve) in [
            ("slot time", QueueOrder::SlotTime, true),
            ("no reserve", QueueOrder::SlotTime, false),
            ("first come", QueueOrder::Arrival, true),
            ("even split", QueueOrder::EvenSplit, true),
        ] {
            let settings = QueueSettings {
                order,
                keeps_reserve,
                ..QueueSettings::default()
            };
            let sims = std::thread::scope(|scope| {
                let all = [&quiet, &usual]
                    .into_iter()
                    .chain(cases.iter().map(|(_, loads)| loads));
                let runs = all.map(|loads| scope.spawn(|| run_slots(slots, loads, &settings)));
                let runs = runs.collect::<Vec<_>>();
                let sims = runs.into_iter().map(|run| run.join().expect("no panic"));
                sims.collect::<Vec<_>>()
            });
            let (without, at_rate) = (&sims[0], &sims[1]);
            for ((case, loads), with) in cases.iter().zip(&sims[2..]) {
                let mut served = f64::MAX;
                let mut ratio = 0.0_f64;
                let mut ratio_at_rate = 0.0_f64;
                let mut p99 = 0.0_f64;
                for team in (0..loads.len()).filter(|&team| team != noisy) {
                    served = served.min(with.results[team].served_percent());
                    ratio = ratio.max(with.results[team].p99_ms() / without.results[team].p99_ms());
                    let p99_at_rate = at_rate.results[team].p99_ms();
                    ratio_at_rate = ratio_at_rate.max(with.results[team].p99_ms() / p99_at_rate);
                    p99 = p99.max(with.results[team].p99_ms());
                }
                report.slots.push(ReportRow {
                    scenario: format!("{deployment}, {case}"),
                    variant: name.to_owned(),
                    figures: figures(&[
                        ("kept_percent_worst", served),
                        ("p99_ratio_absent", ratio),
                        ("p99_ratio_at_rate", ratio_at_rate),
                        ("p99_ms_worst", p99),
                        ("p99_ms_without", without.results[0].p99_ms()),
                        ("noisy_kept_percent", with.results[noisy].served_percent()),
                        ("endpoint_queue_max", with.endpoint_queue_max as f64),
                    ]),
                });
            }
        }
    }
}

fn run_slots(slots: usize, loads: &[SlotLoad], settings: &QueueSettings) -> SlotSim {
    let mut sim = SlotSim::new(15, slots, loads, settings.clone(), 11);
    sim.run_until(205 * crate::slot_sim::SECOND);
    sim
}
