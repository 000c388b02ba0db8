//! One statement or transaction: admission, routing, confirmation and outcome.

pub mod log_point;
pub mod ports;
pub mod read_route;
pub mod refusal;
pub mod session_floor;
pub mod sql_token;
pub mod statement;
