//! An instance that vouches for the owners of a shard.

use crate::process::shares::incarnation::InstanceIncarnation;
use crate::process::shares::messages::ShareMessage;
use crate::process::shares::table::ShareTable;

/// The part of an instance as witness: the newest table that it has seen.
#[derive(Debug, Clone, Default)]
pub struct ShareWitness {
    table: Option<ShareTable>,
    has_read_store: bool,
}

impl ShareWitness {
    /// Creates a witness that vouches for nobody yet.
    ///
    /// `vouch_unread` skips the read after a start; tests use it to show that the read is needed.
    pub fn new(vouch_unread: bool) -> Self {
        Self {
            table: None,
            has_read_store: vouch_unread,
        }
    }

    /// Returns the table that it answers by.
    pub fn table(&self) -> Option<&ShareTable> {
        self.table.as_ref()
    }

    /// Returns whether it has read the store since it started.
    pub fn has_read_store(&self) -> bool {
        self.has_read_store
    }

    /// Takes a table that is or was in the store.
    pub fn learn(&mut self, table: &ShareTable, from_store: bool) {
        self.has_read_store |= from_store;
        if self
            .table
            .as_ref()
            .is_none_or(|t| t.version < table.version)
        {
            self.table = Some(table.clone());
        }
    }

    /// Answers a renewal.
    ///
    /// It vouches only for the version it holds itself: once a majority holds a version, nobody
    /// can renew by an older one, whose witnesses or revocations may differ.
    pub fn renew(
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
