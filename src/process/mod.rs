//! One running instance: what lives as long as its process.

pub mod bundle_submission;
pub mod burn_page;
pub mod burn_report;
pub mod burn_window;
pub mod decision_journal;
pub mod endpoint_status;
pub mod failover;
pub mod http_server;
pub mod instance_status;
pub mod journal_decision;
pub mod log_setup;
pub mod metrics;
pub mod peers;
pub mod setting_fields;
pub mod settings;
pub mod settings_parser;
pub mod shares;
pub mod slots;
pub mod timers;
pub mod wall_time;
