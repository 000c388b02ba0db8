//! Feature tests, one file a feature.

mod bundle_diffs;
mod bundle_faults;
mod bundle_signatures;
mod bundle_versions;
mod daemon_settings;
mod caller_ending;
mod caller_fixture;
mod caller_path;
mod isolation_evidence;
mod key_verifiers;
mod log_points;
mod membership_view;
mod peer_links;
mod standin_endpoint;
mod scripted_endpoint;
