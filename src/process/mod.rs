//! One running instance: what lives as long as its process.

pub mod endpoint_status;
pub mod peers;
pub mod timers;
