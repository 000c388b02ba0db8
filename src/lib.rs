//! A database proxy with session consistency.
//!
//! Modules are grouped by how long their state lives: a request, a connection, a version of the
//! operators' configuration, or a process.

pub mod cmd;
pub mod connection;
pub mod process;
pub mod request;
pub mod version;
