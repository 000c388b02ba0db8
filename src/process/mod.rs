//! One running instance: what lives as long as its process.

pub mod endpoint_status;
pub mod failover;
pub mod log_setup;
pub mod peers;
pub mod setting_fields;
pub mod settings;
pub mod settings_parser;
pub mod shares;
pub mod slots;
pub mod timers;
