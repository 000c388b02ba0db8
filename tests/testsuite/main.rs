//! Feature tests, one file a feature.

mod bundle_faults;
mod log_points;
