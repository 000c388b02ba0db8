//! Feature tests, one file a feature.

mod bundle_faults;
mod key_verifiers;
mod log_points;
