//! Connections from callers and to endpoints.

pub mod answer_marker;
pub mod caller_identity;
pub mod caller_memory;
pub mod caller_session;
pub mod caller_stream;
pub mod cancel_registry;
pub mod endpoint_lease;
pub mod endpoint_link;
pub mod endpoint_pool;
pub mod exchange;
pub mod listener;
pub mod listener_config;
pub mod local_answer;
pub mod prepared_statement;
pub mod request_batch;
pub mod scram;
pub mod service_rules;
pub mod startup;
pub mod statement_answer;
pub mod wire_frame;
pub mod wire_reply;
pub mod withdrawal_monitor;

mod answer_reporter;
mod session_admission;
mod session_answer;
mod session_outcome;
mod session_request;
