//! Small stand-ins for database endpoints, for a store and for the users' platform, which tests and
//! the fault soak run against. Their faults can be changed while they run.

pub mod endpoint;
pub mod free_ports;
pub mod platform;
pub mod store;

mod http;
