//! The scarce slots of a service: who runs next, decided by one coordinator for each service.

pub mod rendezvous;
