//! Feature tests, one file a feature.

mod log_points;
mod rate_shares;
#[allow(dead_code)]
#[path = "../../examples/limits_bench/rate_sim.rs"]
mod rate_sim;
mod slot_queue;
#[allow(dead_code)]
#[path = "../../examples/limits_bench/slot_sim.rs"]
mod slot_sim;
