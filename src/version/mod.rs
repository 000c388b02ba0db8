//! The operators' configuration: parsing, signing, verifying and comparing bundles.

pub mod bundle;
pub mod bundle_diff;
pub mod bundle_envelope;
pub mod bundle_parser;
pub mod bundle_store;
pub mod config_fault;
pub mod fault_list;
pub use session_core::ids;
pub mod key_verifier;
pub use session_core::secret_text;
pub mod signer_key;
pub use session_core::units;
pub mod yaml_node;
pub mod yaml_reader;
