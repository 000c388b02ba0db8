//! End-to-end tests: the built daemon against a stand-in of the users' platform.

mod fleet;
mod promotion_gate;
mod test_writers;

mod acknowledged_commits;
mod cold_endpoints;
mod daemon_stop;
mod degraded_endpoints;
mod fault_soak;
mod instance_sizes;
mod key_withdrawal;
mod large_configuration;
mod late_promotions;
mod line_borders;
mod log_volume;
mod member_keys;
mod odd_entries;
mod prepared_names;
mod primary_changes;
mod relayed_changes;
mod repeated_answers;
mod session_state;
mod shared_connections;
mod silent_leader;
mod store_drills;
mod store_faults;
mod zone_evacuations;
