//! Divides the slots of a service's endpoints among teams; one coordinator per service grants them.

pub mod client;
pub mod coordinator;
pub mod messages;
pub mod queue;
pub mod rendezvous;
