//! Feature tests, one file a feature.

mod caller_ending;
mod caller_fixture;
mod caller_path;
mod isolation_evidence;
mod log_points;
mod membership_view;
mod peer_links;
mod scripted_endpoint;
