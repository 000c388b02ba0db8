//! Small stand-ins for the platform's database endpoints and store, with faults that tests switch
//! while they run.

pub mod endpoint;
pub mod store;

mod http;
