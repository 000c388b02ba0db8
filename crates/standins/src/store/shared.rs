//! State shared by the request handlers and the handle of a stand-in store.

use std::sync::Mutex;
use std::time::Instant;

use store_wire::InstanceList;
use tokio::sync::watch;

use crate::endpoint::shared::lock;
use crate::store::calls::CallCounts;
use crate::store::config::StoreConfig;
use crate::store::faults::StoreFaults;
use crate::store::state::StoreState;

/// State shared by the request handlers and the handle of a stand-in store.
#[derive(Debug)]
pub struct StoreShared {
    /// The faults in force.
    pub faults: watch::Sender<StoreFaults>,
    /// Revision of the last change; wakes waiting watches.
    pub changed: watch::Sender<u64>,
    /// Number of calls received.
    pub calls: Mutex<CallCounts>,
    /// The instance list.
    pub instances: Mutex<InstanceList>,
    state: Mutex<StoreState>,
}

impl StoreShared {
    /// Creates the state of a store with no keys.
    pub fn new(config: &StoreConfig) -> Self {
        Self {
            faults: watch::Sender::new(config.faults),
            changed: watch::Sender::new(0),
            calls: Mutex::default(),
            instances: Mutex::new(InstanceList {
                instances: config.instances.clone(),
            }),
            state: Mutex::default(),
        }
    }

    /// Ends expired leases, runs `action` on the state and returns its result; wakes watches if the
    /// revision has changed.
    pub fn update<T>(&self, action: impl FnOnce(&mut StoreState) -> T) -> T {
        let (result, revision) = {
            let mut state = lock(&self.state);
            state.end_expired(Instant::now());
            let result = action(&mut state);
            (result, state.revision())
        };
        self.changed
            .send_if_modified(|known| std::mem::replace(known, revision.max(*known)) < revision);
        result
    }

    /// Ends the lease with this id now, or all leases for `None`.
    pub fn expire_leases(&self, only: Option<&str>) {
        self.update(|state| {
            for id in state.leases() {
                if only.is_none_or(|only| only == id) {
                    state.end_lease(&id);
                }
            }
        });
    }

    /// Returns whether the answer to the current call is to be lost; if so, decrements
    /// `lose_answers`.
    pub fn take_lost_answer(&self) -> bool {
        let mut taken = false;
        self.faults.send_if_modified(|faults| {
            taken = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            taken
        });
        taken
    }
}
