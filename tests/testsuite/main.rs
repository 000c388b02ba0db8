//! Feature tests, one file a feature.

mod failover_gap;
mod failover_history;
mod failover_sim;
mod group_model;
mod log_points;
mod read_share;
