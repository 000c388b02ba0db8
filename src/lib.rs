//! A database proxy with session consistency.
//!
//! Modules are grouped by the lifetime of their state: one request, one connection, one version of
//! the operators' configuration (a bundle), or the whole process.

pub mod cmd;
pub mod connection;
pub mod process;
pub mod request;
pub mod version;
