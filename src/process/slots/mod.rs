//! The scarce slots of a service: who runs next, decided by one coordinator for each service.

pub mod client;
pub mod coordinator;
pub mod messages;
pub mod queue;
pub mod rendezvous;
