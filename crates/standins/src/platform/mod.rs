//! A stand-in of the users' platform: its store, its duties and one database group.

pub mod group_state;
mod line_server;
pub mod platform_handle;
mod store_server;
pub mod store_state;
