//! Decisions on acknowledgement and promotion for one database group.
//!
//! This module does no I/O and reads no clock: [`group_controller::GroupController`] is given the
//! answers of endpoints and the time, and returns the calls to make. The daemon and the simulation
//! tests drive the same code.

pub mod call_failure;
pub mod confirmation_tracker;
pub mod failover_limits;
pub mod failure_detector;
pub mod failure_evidence;
pub mod group_controller;
pub mod group_event;
pub mod group_view;
pub mod promotion_plan;
