//! Messages between the instances and the slot coordinator of a service.

use serde::Deserialize;
use serde::Serialize;

use crate::request::ports::RequestClass;
use crate::request::refusal::RequestRefusal;
use crate::version::ids::EndpointId;
use crate::version::ids::InstanceId;
use crate::version::ids::TeamId;

/// Whether a request needs the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotClass {
    /// Runs on the primary.
    Write,
    /// Runs on any eligible endpoint.
    Read,
}

impl From<RequestClass> for SlotClass {
    fn from(class: RequestClass) -> Self {
        match class {
            RequestClass::Write => SlotClass::Write,
            RequestClass::Read | RequestClass::StaleRead => SlotClass::Read,
        }
    }
}

/// Identifies a permit and its request, unique in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PermitId {
    /// The requesting instance.
    pub instance: InstanceId,
    /// Increases with every request of the instance's process.
    pub number: u64,
}

/// The terms of a request for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PermitQuery {
    /// The team that is charged for the slot time.
    pub team: TeamId,
    /// Whether the request needs the primary.
    pub class: SlotClass,
    /// The endpoints that may serve it, the preferred one first.
    pub eligible: Vec<EndpointId>,
    /// Maximum time in the queue from now, in ms.
    pub wait_ms: u64,
}

/// A permit that an instance holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HeldPermit {
    /// The number of its request at the holding instance.
    pub number: u64,
    /// The team that is charged for it.
    pub team: TeamId,
    /// The endpoint on which it permits a request to run.
    pub endpoint: EndpointId,
}

/// A message about permits of one service; the link identifies the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotMessage {
    /// Requests a permit; a repetition returns the state of the request.
    Request { number: u64, query: PermitQuery },
    /// The request waits in the queue.
    Queued { number: u64 },
    /// The request may run on the endpoint.
    Grant { number: u64, endpoint: EndpointId },
    /// The request did not run and will not run.
    Refuse {
        number: u64,
        refusal: RequestRefusal,
    },
    /// The request ended after this slot time, in microseconds.
    Release { number: u64, used_us: u64 },
    /// The caller gave up.
    Cancel { number: u64 },
    /// All permits that the sender holds. Others granted to it have ended, unless the grant is
    /// still in transit.
    Held { permits: Vec<HeldPermit> },
}
