//! Feature tests, one file a feature.

mod bundle_diffs;
mod bundle_faults;
mod bundle_signatures;
mod bundle_submissions;
mod bundle_versions;
mod burn_report;
mod caller_copy;
mod caller_ending;
mod caller_faults;
mod caller_fixture;
mod caller_fuzzing;
mod caller_path;
mod caller_standins;
mod caller_startup;
mod caller_state;
mod cold_limits;
mod commit_reports;
mod daemon_program;
mod daemon_settings;
mod decision_journal;
mod endpoint_adapter;
mod failover_gap;
mod failover_history;
mod failover_rules;
mod failover_sim;
mod floor_samples;

mod free_ports;
mod graceful_stop;
mod group_model;
mod group_watchers;
mod http_port;
mod instance_ranks;
mod isolation_evidence;
mod key_verifiers;
mod key_withdrawal;
mod linear_history;
mod loan_pacing;
mod log_points;
mod membership_view;
mod operations_page;
mod operator_commands;
mod peer_links;
mod platform_codecs;
mod primary_permits;
mod program_run;
mod promotion_calls;
mod promotion_orders;
mod promotion_steps;
mod rate_deputies;
mod rate_loans;
mod rate_shares;
#[allow(dead_code)]
#[path = "../../examples/limits_bench/rate_sim.rs"]
mod rate_sim;
mod raw_caller;
mod read_share;
mod request_outcomes;
mod scripted_endpoint;
mod session_replay;
mod share_start;
mod slot_queue;
#[allow(dead_code)]
#[path = "../../examples/limits_bench/slot_sim.rs"]
mod slot_sim;
mod soak_checks;
mod standin_endpoint;
mod standin_faults;
mod standin_fixture;
mod statement_limiters;
mod store_adapter;
mod store_commands;
mod support;
mod whole_system;
