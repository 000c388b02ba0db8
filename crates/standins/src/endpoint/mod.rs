//! A stand-in for one database endpoint of a group.
//!
//! It serves the PostgreSQL protocol, stores a small key-value table in memory and replicates its log
//! to the other endpoints of its group.

pub mod config;
pub mod connection_guard;
pub mod cursor;
pub mod faults;
pub mod handle;
pub mod log;
pub mod parser;
pub mod program;
pub mod reply;
pub mod run;
pub mod session;
pub mod shared;
pub mod state;
pub mod statement;
pub mod status;
pub mod tokens;
pub mod transaction;

mod admin;
mod link;
mod listener;

pub use config::EndpointConfig;
pub use faults::EndpointFaults;
pub use handle::EndpointHandle;
pub use handle::start;
