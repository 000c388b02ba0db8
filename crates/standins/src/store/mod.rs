//! A stand-in for the platform's store, with revisioned keys, leases, watches and an instance list.

pub mod calls;
pub mod config;
pub mod faults;
pub mod handle;
pub mod program;
pub mod shared;
pub mod state;

mod routes;

pub use calls::CallCounts;
pub use config::StoreConfig;
pub use faults::StoreFaults;
pub use faults::StoreOutage;
pub use handle::StoreHandle;
pub use handle::start;
