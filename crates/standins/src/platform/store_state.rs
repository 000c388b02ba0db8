//! Items, leases and change history of the store in the stand-in of the platform.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// An item of the store.
#[derive(Debug, Clone)]
pub struct StoredItem {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
    /// The lease that it belongs to; 0 for none.
    pub lease: u64,
}

/// A change of an item.
#[derive(Debug, Clone)]
pub struct StoredEvent {
    /// Revision of the change.
    pub revision: u64,
    /// Key of the item.
    pub key: String,
    /// The new value, or `None` if the item was removed.
    pub value: Option<Vec<u8>>,
}

/// A fault of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Calls are answered with 503.
    Busy,
    /// Calls are not answered.
    Silent,
    /// Transactions take effect but are not answered.
    AnswersLost,
    /// Transactions are not answered, and take effect after this time if their conditions still hold.
    ChangesLate(Duration),
}

/// State of the store.
#[derive(Debug, Default)]
pub struct StoreState {
    /// Items by key.
    pub items: BTreeMap<String, StoredItem>,
    /// Changes in order of their revisions.
    pub events: Vec<StoredEvent>,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision up to which the history was dropped.
    pub dropped: u64,
    /// The current fault.
    pub fault: StoreFault,
    /// Number of calls received.
    pub calls: u64,
    /// Number of transactions that took effect late, or will.
    pub late_changes: u64,
    /// Number of times that the store has come back from a copy, which its answers tell.
    pub era: u64,
    /// End and length of each lease.
    pub(crate) leases: HashMap<u64, (Instant, Duration)>,
}

impl StoreState {
    /// Writes an item under a lease, or under none for 0.
    pub fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let item = StoredItem {
            value: value.clone(),
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.events.push(StoredEvent {
            revision: self.revision,
            key: key.to_owned(),
            value: Some(value),
        });
    }

    /// Removes an item if it exists.
    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(StoredEvent {
                revision: self.revision,
                key: key.to_owned(),
                value: None,
            });
        }
    }

    /// Drops the change history; a watch from an older revision then fails with status 410.
    pub fn drop_history(&mut self) {
        self.dropped = self.revision;
        self.events.clear();
    }

    /// Grants a lease of this length and returns its id.
    pub fn grant(&mut self, length: Duration) -> u64 {
        let lease = 1_000 + self.leases.len() as u64 + self.revision;
        let lease = (lease..)
            .find(|id| !self.leases.contains_key(id))
            .unwrap_or(lease);
        self.leases.insert(lease, (Instant::now() + length, length));
        lease
    }

    /// Renews a lease; returns whether it exists.
    pub fn renew(&mut self, lease: u64) -> bool {
        match self.leases.get_mut(&lease) {
            Some((end, length)) => {
                *end = Instant::now() + *length;
                true
            }
            None => false,
        }
    }

    /// Returns whether a lease exists; the id 0 (no lease) always does.
    pub fn has_lease(&self, lease: u64) -> bool {
        lease == 0 || self.leases.contains_key(&lease)
    }

    /// Ends a lease and removes its items.
    pub fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Ends the leases that have expired.
    pub fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end(lease);
        }
    }
}
