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
mod caller_path;
mod caller_startup;
mod caller_state;
mod daemon_settings;
mod decision_journal;
mod isolation_evidence;
mod key_verifiers;
mod log_points;
mod membership_view;
mod operator_commands;
mod peer_links;
mod program_run;
mod raw_caller;
mod scripted_endpoint;
mod standin_endpoint;
