//! A copy of the content of the store, from which it comes back in a drill.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::platform::store_state::StoreState;
use crate::platform::store_state::StoredEvent;
use crate::platform::store_state::StoredItem;

/// Prefixes of the keys that operators and endpoints write, and write again after a drill.
const OWNED_PREFIXES: [&str; 2] = ["op/", "servers/"];

fn is_owned(key: &str) -> bool {
    OWNED_PREFIXES.iter().any(|prefix| key.starts_with(prefix))
}

/// A copy of the content of the store.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    items: BTreeMap<String, StoredItem>,
    events: Vec<StoredEvent>,
    revision: u64,
    dropped: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    copied_at: Instant,
}

impl StoreCopy {
    /// Copies the present content.
    pub fn of(store: &StoreState) -> Self {
        Self {
            items: store.items.clone(),
            events: store.events.clone(),
            revision: store.revision,
            dropped: store.dropped,
            leases: store.leases.clone(),
            copied_at: Instant::now(),
        }
    }

    /// Begins the next era of the store with the copied content. The copied leases run on from where
    /// they were. If `rewrites` is set, the operators and the endpoints write their keys again.
    pub fn restore(&self, store: &mut StoreState, rewrites: bool) {
        let recent = Self::of(store);
        let age = self.copied_at.elapsed();
        let leases = self.leases.iter();
        let leases = leases.map(|(id, (end, length))| (*id, (*end + age, *length)));
        store.leases = leases.collect();
        store.items = self.items.clone();
        store.events = self.events.clone();
        store.revision = self.revision;
        store.dropped = self.dropped;
        store.era += 1;
        if rewrites {
            recent.rewrite(store);
        }
    }

    /// Lets the operators and the endpoints write the keys again that they had written by this copy.
    pub fn rewrite(&self, store: &mut StoreState) {
        let copied = store.items.keys();
        let removed = copied.filter(|key| is_owned(key) && !self.items.contains_key(*key));
        for key in removed.cloned().collect::<Vec<_>>() {
            store.remove(&key);
        }
        for (key, item) in self.items.iter().filter(|(key, _)| is_owned(key)) {
            let present = store.items.get(key).map(|item| &item.value);
            if present != Some(&item.value) {
                store.put(key, item.value.clone(), 0);
            }
        }
    }

    /// Removes an item from the copy, as if it had been written later.
    pub fn remove(&mut self, key: &str) {
        self.items.remove(key);
        self.events.retain(|event| event.key != key);
    }
}
