//! A randomized fault soak: processes of the front daemon between callers and a stand-in of the
//! platform, with faults from outside, and checks of the promises from what both ends saw.

pub mod fault_schedule;
pub mod guarantee_checks;
pub mod link_proxy;
pub mod observed_history;
mod soak_callers;
mod soak_faults;
pub mod soak_run;
