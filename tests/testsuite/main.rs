//! Feature tests, one file a feature.

mod bundle_diffs;
mod bundle_faults;
mod bundle_signatures;
mod bundle_versions;
mod caller_copy;
mod caller_ending;
mod caller_faults;
mod caller_fixture;
mod caller_hostility;
mod caller_path;
mod caller_standins;
mod caller_startup;
mod caller_state;
mod daemon_settings;
mod isolation_evidence;
mod key_verifiers;
mod log_points;
mod membership_view;
mod peer_links;
mod raw_caller;
mod scripted_endpoint;
mod standin_endpoint;
mod standin_fixture;
