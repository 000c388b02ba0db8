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

fn team_loads(slots: f64) -> Vec<SlotLoad> {
    // All teams at their rates use half of the replicas' slots and 0.35 of the primary's.
    let reads = 2.0 * slots * 0.5 / 0.010;
    let writes = slots * 0.35 / 0.012;
    TEAM_PARTS
        .iter()
        .map(|part| SlotLoad {
            rate: part * (reads + writes),
            writes: writes / (reads + writes),
            read_ms: 8.0,
            write_ms: 10.0,
        })
        .collect()
}

fn measure_slots(report: &mut BenchReport) {
    for (deployment, slots) in [("9 slots", 3), ("6 slots", 2)] {
        let usual = team_loads(slots as f64);
        let noisy = 1;
        let mut quiet = usual.clone();
        quiet[noisy].rate = 0.0;
        let mut five = usual.clone();
        five[noisy].rate *= 5.0;
        let mut long_reads = usual.clone();
        long_reads[noisy] = SlotLoad {
            rate: 1.0,
            writes: 0.0,
            read_ms: 800.0,
            write_ms: 0.0,
        };
        let mut long_writes = usual.clone();
        long_writes[noisy] = SlotLoad {
            rate: 0.5,
            writes: 1.0,
            read_ms: 0.0,
            write_ms: 400.0,
        };
        let cases = [
            ("five times its rate", five),
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
            let without = run_slots(slots, &quiet, &settings);
            for (case, loads) in &cases {
                let with = run_slots(slots, loads, &settings);
                let mut kept = f64::MAX;
                let mut ratio = 0.0_f64;
                let mut p99 = 0.0_f64;
                for team in (0..loads.len()).filter(|&team| team != noisy) {
                    kept = kept.min(with.results[team].kept_percent());
                    ratio = ratio.max(with.results[team].p99_ms() / without.results[team].p99_ms());
                    p99 = p99.max(with.results[team].p99_ms());
                }
                report.slots.push(ReportRow {
                    scenario: format!("{deployment}, {case}"),
                    variant: name.to_owned(),
                    figures: figures(&[
                        ("kept_percent_worst", kept),
                        ("p99_ratio_worst", ratio),
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
    sim.run_until(65 * crate::slot_sim::SECOND);
    sim
}
