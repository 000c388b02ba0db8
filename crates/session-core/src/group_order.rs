//! The order that names the primary of a group, as it is stored.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::store_revision::StoreRevision;

/// How far a change of the primary has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderPhase {
    /// No instance may use a primary of the group.
    Pending,
    /// The target is the primary.
    Open,
}

/// The latest order of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupOrder {
    /// The endpoint that is the primary or is being promoted.
    pub target: EndpointId,
    /// Address of the target, where its log is found again if another endpoint takes it over.
    #[serde(default)]
    pub target_address: Option<SocketAddr>,
    /// The previous primary, if any.
    pub former: Option<EndpointId>,
    /// Address of the previous primary.
    #[serde(default)]
    pub former_address: Option<SocketAddr>,
    /// How far the change has come.
    pub phase: OrderPhase,
    /// The fencing token of the leader that wrote the order.
    pub token: StoreRevision,
}
