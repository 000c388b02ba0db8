//! Decision logic of a session-consistent proxy, independent of I/O and of protocols.
//!
//! Every function takes its inputs and the time as arguments, so that the daemon, property tests
//! and simulated fleets run the same code.

pub mod admission_queue;
pub mod answer_check;
pub mod answer_matching;
pub mod caller_statement;
pub mod cold_limit;
pub mod collector_choice;
pub mod commit_evidence;
pub mod connection_host;
pub mod connection_share;
pub mod endpoint_entry;
pub mod endpoint_load;
pub mod endpoint_pace;
pub mod evacuated_zones;
pub mod failure_count;
pub mod failure_detector;
pub mod floor_history;
pub mod group_order;
pub mod host_clock;
pub mod host_exclusion;
pub mod ids;
pub mod instance_rank;
pub mod loan_pacer;
pub mod loan_requests;
pub mod log_point;
pub mod memory_account;
pub mod monotonic_time;
pub mod observed_pace;
pub mod pace_collector;
pub mod pace_digest;
pub mod pace_record;
pub mod pace_report;
pub mod pace_sample;
pub mod prepared_name;
pub mod primary_permit;
pub mod promotion_step;
pub mod rate_deputy;
pub mod rate_lender;
pub mod rate_share;
pub mod relay_tree;
pub mod request_outcome;
pub mod secret_text;
pub mod serving_rules;
pub mod session_state;
pub mod session_values;
pub mod statement_limiter;
pub mod store_era;
pub mod store_revision;
pub mod units;
pub mod work_pace;
pub mod work_times;
