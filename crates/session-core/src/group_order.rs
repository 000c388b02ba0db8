//! The last decision about who leads a group, as it is kept in the store.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;

/// How far a change of the primary has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderPhase {
    /// Nobody may use a primary of the group.
    Pending,
    /// The target is the primary.
    Open,
}

/// Who leads a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupOrder {
    /// The endpoint that leads or is about to.
    pub target: EndpointId,
    /// The one that led before.
    pub former: Option<EndpointId>,
    /// How far the change has come.
    pub phase: OrderPhase,
    /// The fencing token of the instance that decided it.
    pub token: u64,
}
