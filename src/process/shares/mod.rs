//! Fleet-wide request rates: how the instances divide every team's rate and burst.
//!
//! The store keeps one [`table::ShareTable`] for each shard of teams. It assigns fractions of all
//! the shard's rates to owners. Owners lend what they do not need to the instances that do, for a
//! short term that never outlasts the owner's lease, so that a lost message or a dead borrower
//! costs a fraction only until the term ends.

pub mod bucket;
pub mod holder;
pub mod incarnation;
pub mod messages;
pub mod reconciler;
pub mod settings;
pub mod shard;
pub mod table;
pub mod witness;
