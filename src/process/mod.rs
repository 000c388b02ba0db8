//! One running instance: what lives as long as its process.

pub mod bundle_feed;
pub mod bundle_intake;
pub mod bundle_submission;
pub mod control_error;
pub mod digest_table;
pub mod endpoint_control;
pub mod endpoint_status;
pub mod failover;
pub mod group_watcher;
pub mod log_setup;
pub mod peers;
pub mod setting_fields;
pub mod settings;
pub mod settings_parser;
pub mod share_driver;
pub mod shares;
pub mod slots;
pub mod store_calls;
pub mod store_client;
pub mod store_error;
pub mod store_transport;
pub mod timers;
