//! Measures rate shares and slot queues over simulated time, with fixed seeds.
//!
//! `limits_bench` prints tables, `limits_bench --json` one JSON document. The names `rates`, `fleets`
//! and `slots` select parts; without any, all are measured.

mod baselines;
#[allow(dead_code)]
mod rate_sim;
mod report;
mod scenarios;
#[allow(dead_code)]
mod slot_sim;

fn main() {
    let mut parts = std::env::args().skip(1).collect::<Vec<_>>();
    let json = parts.iter().any(|arg| arg == "--json");
    parts.retain(|arg| arg != "--json");
    let report = scenarios::run(|part| parts.is_empty() || parts.iter().any(|arg| arg == part));
    if json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
}
