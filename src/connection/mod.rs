//! One connection of a caller or to an endpoint.
