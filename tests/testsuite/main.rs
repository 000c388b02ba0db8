//! Feature tests, one file a feature.

mod caller_ending;
mod caller_fixture;
mod caller_path;
mod log_points;
mod scripted_endpoint;
