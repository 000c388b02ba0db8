//! One version of the operators' configuration.

pub mod bundle;
pub mod bundle_diff;
pub mod bundle_envelope;
pub mod bundle_parser;
pub mod bundle_store;
pub mod config_fault;
pub mod fault_list;
pub mod ids;
pub mod key_verifier;
pub mod secret_text;
pub mod signer_key;
pub mod units;
pub mod yaml_node;
pub mod yaml_reader;
