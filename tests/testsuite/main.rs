//! Feature tests, one file a feature.

mod caller_copy;
mod caller_ending;
mod caller_faults;
mod caller_fixture;
mod caller_path;
mod caller_startup;
mod caller_state;
mod isolation_evidence;
mod log_points;
mod membership_view;
mod peer_links;
mod raw_caller;
mod scripted_endpoint;
