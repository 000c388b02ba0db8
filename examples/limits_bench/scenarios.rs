//! The measured scenarios and the baselines they are compared with.

use tamaracklb::process::slots::queue::QueueOrder;
use tamaracklb::process::slots::queue::QueueSettings;

use crate::report::BenchReport;
use crate::report::ReportRow;
use crate::slot_sim::SlotLoad;
use crate::slot_sim::SlotSim;

/// The parts of the load that the eight teams have inside their rates.
const TEAM_PARTS: [f64; 8] = [0.25, 0.20, 0.15, 0.10, 0.10, 0.08, 0.07, 0.05];

pub fn run_all() -> BenchReport {
    let mut report = BenchReport::default();
    measure_slots(&mut report);
    report
}

fn figures(figures: &[(&str, f64)]) -> Vec<(String, f64)> {
    figures
        .iter()
        .map(|&(name, value)| (name.to_owned(), value))
        .collect()
}

fn team_loads(slots: f64, replica_use: f64, primary_use: f64) -> Vec<SlotLoad> {
    let reads = 2.0 * slots * replica_use / 0.010;
    let writes = slots * primary_use / 0.012;
    TEAM_PARTS
        .iter()
        .map(|part| SlotLoad {
            rate: part * (reads + writes),
            writes: writes / (reads + writes),
            read_ms: 8.0,
            write_ms: 10.0,
            weight: part * 8.0,
            limit: None,
        })
        .collect()
}

fn measure_slots(report: &mut BenchReport) {
    // The parts of the replicas' and the primary's slots that all teams use at their rates.
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
        let mut five = usual.clone();
        five[noisy].rate *= 5.0;
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
        let mut limited = five.clone();
        limited[noisy].limit = Some(usual[noisy].rate);
        let cases = [
            ("five times its rate", limited),
            ("five times its rate, no limiter", five),
            ("long reads", long_reads),
            ("long writes", long_writes),
        ];
        for (name, order) in [
            ("slot time", QueueOrder::SlotTime),
            ("first come", QueueOrder::Arrival),
            ("even split", QueueOrder::EvenSplit),
        ] {
            let settings = QueueSettings {
                order,
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
                let mut kept = f64::MAX;
                let mut ratio = 0.0_f64;
                let mut ratio_at_rate = 0.0_f64;
                let mut p99 = 0.0_f64;
                for team in (0..loads.len()).filter(|&team| team != noisy) {
                    kept = kept.min(with.results[team].kept_percent());
                    ratio = ratio.max(with.results[team].p99_ms() / without.results[team].p99_ms());
                    let before = at_rate.results[team].p99_ms();
                    ratio_at_rate = ratio_at_rate.max(with.results[team].p99_ms() / before);
                    p99 = p99.max(with.results[team].p99_ms());
                }
                report.slots.push(ReportRow {
                    scenario: format!("{deployment}, {case}"),
                    variant: name.to_owned(),
                    figures: figures(&[
                        ("kept_percent_worst", kept),
                        ("p99_ratio_absent", ratio),
                        ("p99_ratio_at_rate", ratio_at_rate),
                        ("p99_ms_worst", p99),
                        ("p99_ms_without", without.results[0].p99_ms()),
                        ("noisy_kept_percent", with.results[noisy].kept_percent()),
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
