//! Guards against callers that run the daemon out of memory or descriptors. A program of its own,
//! whose cases run one after the other, so that no other load is in the measured process.

mod caller_crowd;
mod limited_daemon;

mod crowd_bounds;
mod single_callers;
