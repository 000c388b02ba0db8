//! Measures rate shares and slot queues over simulated time, with fixed seeds.
//!
//! `limits_bench` prints tables, `limits_bench --json` one JSON document.

mod baselines;
#[allow(dead_code)]
mod rate_sim;
mod report;
mod scenarios;
#[allow(dead_code)]
mod slot_sim;

fn main() {
    let json = std::env::args().any(|arg| arg == "--json");
    let report = scenarios::run_all();
    if json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
}
