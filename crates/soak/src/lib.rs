//! A randomized fault soak. It runs processes of the front daemon between callers and a stand-in of
//! the platform, injects faults from outside, and checks the daemon's guarantees against what the
//! callers and the endpoints observed.

pub mod fault_schedule;
pub mod guarantee_checks;
pub mod link_proxy;
pub mod observed_history;
mod observed_session;
mod soak_callers;
mod soak_faults;
pub mod soak_run;
