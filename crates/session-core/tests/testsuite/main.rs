//! Tests of the decision code with many deciders over simulated time.

mod loaded_limiter;
mod paced_fleet;

mod admission_queues;
mod answer_checks;
mod endpoint_paces;
