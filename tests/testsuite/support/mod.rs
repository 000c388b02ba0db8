//! Helpers that several tests share.

pub mod admin_client;
pub mod bundle_text;
pub mod child_process;
pub mod copying_server;
pub mod group;
pub mod operation_history;
pub mod running_system;
pub mod system_builder;
