//! One statement or transaction: admission, routing, confirmation and outcome.

pub mod log_point;
pub mod ports;
pub mod refusal;
