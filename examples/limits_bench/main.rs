//! Measures rate shares and slot queues in simulated time, with fixed seeds.
//!
//! `limits_bench` prints tables, `limits_bench --json` prints one JSON document. The arguments
//! `rates`, `fleets` and `slots` select groups of scenarios; without any of them, all are measured.

mod baselines;
#[allow(dead_code)]
mod rate_sim;
mod report;
mod scenarios;
#[allow(dead_code)]
mod slot_sim;

fn main() {
    let mut groups = std::env::args().skip(1).collect::<Vec<_>>();
    let json = groups.iter().any(|arg| arg == "--json");
    groups.retain(|arg| arg != "--json");
    let report = scenarios::run(|group| groups.is_empty() || groups.iter().any(|arg| arg == group));
    if json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
}
