//! Feature tests, one file a feature.

mod isolation_evidence;
mod log_points;
mod membership_view;
mod peer_links;
