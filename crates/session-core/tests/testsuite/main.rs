//! Tests of the decision code with many deciders over simulated time.

mod paced_fleet;

mod endpoint_paces;
