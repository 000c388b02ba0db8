//! One statement or transaction: admission, routing, confirmation and outcome.

pub mod log_point;
pub mod ports;
pub mod refusal;
pub mod sql_token;
pub mod statement;
