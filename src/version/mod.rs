//! One version of the operators' configuration.

pub mod bundle;
pub mod ids;
pub mod units;
