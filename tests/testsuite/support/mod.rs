//! What several feature tests use.

pub mod group;
