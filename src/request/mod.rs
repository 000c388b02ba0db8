//! Rules for one statement or transaction: classification, routing, session floor and refusal.

pub use session_core::log_point;
pub mod ports;
pub mod read_route;
pub mod refusal;
pub mod session_floor;
pub mod sql_token;
pub mod statement;
