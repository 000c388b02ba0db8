//! Fleet-wide request rates: divides every team's rate and burst among the instances.
//!
//! The store holds one [`table::ShareTable`] for each shard of teams. It assigns fractions of all
//! the shard's rates to owners. Owners lend what they do not need to instances that need more. A
//! loan has a short term that never exceeds the owner's lease, so a lost message or a dead borrower
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
