//! Guards against clients that run the daemon out of memory or descriptors. A program of its own,
//! whose cases run one after the other, so that no other load is in the measured process.

#[allow(dead_code)]
#[path = "../testsuite/program_run.rs"]
mod program_run;

mod bounded_daemon;
mod caller_crowd;

mod caller_bounds;
mod http_bounds;
