//! What instances and the slot coordinator of a service tell each other.

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
    /// It runs on the primary.
    Write,
    /// It runs on any endpoint that is named as eligible.
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

/// A request for a permit, unique in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PermitId {
    /// The instance that asks.
    pub instance: InstanceId,
    /// A number that rises with every request of its process.
    pub number: u64,
}

/// What a request needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PermitQuery {
    /// The team that pays for the slot time.
    pub team: TeamId,
    /// How it uses the service.
    pub class: SlotClass,
    /// The endpoints that may serve it, the preferred one first.
    pub eligible: Vec<EndpointId>,
    /// How long it waits from now, in ms.
    pub wait_ms: u64,
}

/// A permit that an instance holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct HeldPermit {
    /// Its number at the holder.
    pub number: u64,
    /// The team that it counts for.
    pub team: TeamId,
    /// The endpoint that it names.
    pub endpoint: EndpointId,
}

/// A message about permits of one service; the link names the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotMessage {
    /// Asks for a permit; asking again changes nothing.
    Request { number: u64, query: PermitQuery },
    /// The request waits in the queue.
    Queued { number: u64 },
    /// The request may run on the endpoint.
    Grant { number: u64, endpoint: EndpointId },
    /// The request did not run and will not.
    Refuse {
        number: u64,
        refusal: RequestRefusal,
    },
    /// The request ended after this slot time, in microseconds.
    Release { number: u64, used_us: u64 },
    /// The caller gave up.
    Cancel { number: u64 },
    /// All permits that the sender holds; others granted to it a while ago have ended.
    Held { permits: Vec<HeldPermit> },
}
