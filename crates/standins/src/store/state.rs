//! Keys and leases of a stand-in store.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use store_wire::CasRequest;
use store_wire::KeyEntry;
use store_wire::WatchEvent;

/// Why a compare-and-swap was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CasRefusal {
    /// The key has this revision instead of the expected one.
    Conflict { revision: u64 },
    /// The lease does not exist or has expired.
    LeaseNotFound,
}

#[derive(Debug)]
struct StoredKey {
    revision: u64,
    value: Option<String>,
    lease: Option<String>,
}

#[derive(Debug)]
struct StoredLease {
    ttl: Duration,
    end: Instant,
}

/// Keys and leases of a stand-in store; removed keys stay as tombstones for watches.
#[derive(Debug, Default)]
pub struct StoreState {
    revision: u64,
    keys: BTreeMap<String, StoredKey>,
    leases: BTreeMap<String, StoredLease>,
    leases_granted: u64,
}

impl StoreState {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entry of a key, or `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<KeyEntry> {
        let stored = self.keys.get(key)?;
        Some(KeyEntry {
            key: key.to_owned(),
            revision: stored.revision,
            value: stored.value.clone()?,
        })
    }

    /// Writes a key if it has the expected revision; returns its new revision.
    pub fn compare_and_swap(&mut self, request: CasRequest) -> Result<u64, CasRefusal> {
        let revision = self.get(&request.key).map_or(0, |entry| entry.revision);
        if revision != request.expected_revision {
            return Err(CasRefusal::Conflict { revision });
        }
        if let Some(lease) = &request.lease
            && !self.leases.contains_key(lease)
        {
            return Err(CasRefusal::LeaseNotFound);
        }
        self.write(request.key, Some(request.value), request.lease);
        Ok(self.revision)
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, ttl: Duration, time: Instant) -> String {
        self.leases_granted += 1;
        let id = format!("lease-{}", self.leases_granted);
        let lease = StoredLease {
            ttl,
            end: time + ttl,
        };
        self.leases.insert(id.clone(), lease);
        id
    }

    /// Renews a lease; returns whether it exists.
    pub fn renew_lease(&mut self, id: &str, time: Instant) -> bool {
        match self.leases.get_mut(id) {
            Some(lease) => {
                lease.end = time + lease.ttl;
                true
            }
            None => false,
        }
    }

    /// Ends a lease and removes its keys.
    pub fn end_lease(&mut self, id: &str) {
        if self.leases.remove(id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write(key, None, None);
        }
    }

    /// Ends the leases that have expired; returns whether there were any.
    pub fn end_expired(&mut self, time: Instant) -> bool {
        let expired: Vec<String> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.end <= time)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.end_lease(id);
        }
        !expired.is_empty()
    }

    /// Returns the ids of the current leases.
    pub fn leases(&self) -> Vec<String> {
        self.leases.keys().cloned().collect()
    }

    /// Returns the last change of each key with this prefix that changed after a revision, in order of
    /// revisions.
    pub fn changes_after(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        let mut events: Vec<WatchEvent> = self
            .keys
            .iter()
            .filter(|(key, stored)| key.starts_with(prefix) && stored.revision > after)
            .map(|(key, stored)| WatchEvent {
                key: key.clone(),
                revision: stored.revision,
                value: stored.value.clone(),
            })
            .collect();
        events.sort_by_key(|event| event.revision);
        events
    }

    fn write(&mut self, key: String, value: Option<String>, lease: Option<String>) {
        self.revision += 1;
        let stored = StoredKey {
            revision: self.revision,
            value,
            lease,
        };
        self.keys.insert(key, stored);
    }
}
