//! Links between the instances of a fleet.
//!
//! Instances talk over QUIC with mutual TLS. Each message is one postcard-encoded enum on a stream
//! of its own, so that a lost or slow message delays no other.

pub mod fleet_links;
pub mod isolation_monitor;
pub mod membership_view;
pub mod peer_digest;
pub mod peer_error;
pub mod peer_identity;
pub mod peer_mesh;
pub mod peer_message;
