//! Small stand-ins for database endpoints, for a store, and for the users' platform, with faults that tests switch
//! while they run.

pub mod endpoint;
pub mod free_ports;
pub mod platform;
pub mod store;

mod http;
