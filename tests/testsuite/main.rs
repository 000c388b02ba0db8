//! Feature tests, one file a feature.

mod bundle_diffs;
mod bundle_faults;
mod bundle_signatures;
mod bundle_versions;
mod caller_ending;
mod caller_fixture;
mod caller_path;
mod daemon_settings;
mod endpoint_adapter;
mod isolation_evidence;
mod key_verifiers;
mod log_points;
mod membership_view;
mod peer_links;
mod scripted_endpoint;
mod standin_endpoint;
mod standin_faults;
mod store_adapter;
mod support;
