//! Feature tests, one file a feature.

mod log_points;
mod standin_endpoint;
