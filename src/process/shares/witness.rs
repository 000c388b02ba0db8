//! The witness of a shard: vouches for its owners' lease renewals.

use crate::process::shares::incarnation::InstanceIncarnation;
use crate::process::shares::messages::ShareMessage;
use crate::process::shares::table::ShareTable;

/// An instance's state as witness: the newest table that it has received.
#[derive(Debug, Clone, Default)]
pub struct ShareWitness {
    table: Option<ShareTable>,
    has_read_store: bool,
}

impl ShareWitness {
    /// Creates a witness without a table.
    ///
    /// `vouch_unread` lets it vouch without having read the store; tests use it to show that the
    /// read is needed.
    pub fn new(vouch_unread: bool) -> Self {
        Self {
            table: None,
            has_read_store: vouch_unread,
        }
    }

    /// Returns the newest table.
    pub fn table(&self) -> Option<&ShareTable> {
        self.table.as_ref()
    }

    /// Returns whether it has read the store since it started.
    pub fn has_read_store(&self) -> bool {
        self.has_read_store
    }

    /// Records a table that is or was in the store; `from_store` if it was read from there.
    pub fn record_table(&mut self, table: &ShareTable, from_store: bool) {
        self.has_read_store |= from_store;
        if self
            .table
            .as_ref()
            .is_none_or(|t| t.version < table.version)
        {
            self.table = Some(table.clone());
        }
    }

    /// Answers an owner's renewal; `None` refuses it.
    ///
    /// A witness vouches only for its own table version. Once a majority has a version, no lease
    /// can be renewed under an older one, whose witnesses or revocations may differ.
    pub fn answer_renewal(
        &self,
        owner: &InstanceIncarnation,
        sequence: u64,
        version: u64,
    ) -> Option<ShareMessage> {
        let Some(table) = &self.table else {
            return Some(ShareMessage::NeedTable { version: 0 });
        };
        if version < table.version {
            return Some(ShareMessage::Table(Box::new(table.clone())));
        }
        if version > table.version {
            return Some(ShareMessage::NeedTable {
                version: table.version,
            });
        }
        let vouches = self.has_read_store && table.units(owner) > 0;
        vouches.then_some(ShareMessage::Vouch { sequence })
    }
}
