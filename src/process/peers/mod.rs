//! Links between the instances of a fleet.
//!
//! Instances communicate over QUIC with mutual TLS. Each message is a postcard-encoded enum on its
//! own stream, so that a lost or slow message does not delay others.

pub mod fleet_links;
pub mod isolation_monitor;
pub mod membership_view;
pub mod peer_digest;
pub mod peer_error;
pub mod peer_identity;
pub mod peer_mesh;
pub mod peer_message;
