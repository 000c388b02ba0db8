//! A stand-in for the users' platform: its store, its promotion service and one database group, with
//! callers and daemon processes for tests.

pub mod answer_faults;
pub mod daemon_process;
pub mod group_state;
pub mod hostile_texts;
pub mod line_caller;
mod line_reader;
mod line_server;
pub mod platform_handle;
pub mod promotion_effect;
pub mod sample_configuration;
pub mod store_copy;
mod store_server;
pub mod store_state;
