//! A transaction of one client on the stand-in endpoint.

use std::collections::BTreeMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::log::ClientStatement;
use crate::endpoint::log::KeyChange;
use crate::endpoint::reply::SqlError;
use crate::endpoint::shared::EndpointShared;

/// Time after which waiting for a row lock fails as a deadlock.
const LOCK_WAIT: Duration = Duration::from_secs(1);

/// A transaction. Reads see committed data and the transaction's own changes, and changed rows stay
/// locked until it ends. A transaction that is dropped is rolled back.
#[derive(Debug)]
pub struct ClientTransaction {
    shared: Arc<EndpointShared>,
    id: u64,
    changes: BTreeMap<String, Option<String>>,
    statements: Vec<ClientStatement>,
    locks: Vec<String>,
    /// Whether the client started it with `BEGIN`.
    pub explicit: bool,
    /// Whether it was started as read only.
    pub read_only: bool,
    /// Whether a statement in it failed.
    pub failed: bool,
}

impl ClientTransaction {
    /// Starts a transaction.
    pub fn new(shared: &Arc<EndpointShared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            id: shared.next_transaction.fetch_add(1, Ordering::Relaxed),
            changes: BTreeMap::new(),
            statements: Vec::new(),
            locks: Vec::new(),
            explicit: false,
            read_only: false,
            failed: false,
        }
    }

    /// Records a write statement; returns an error on a replica or in a read-only transaction.
    pub fn start_write(&mut self, statement: ClientStatement) -> Result<(), SqlError> {
        if self.read_only || !self.shared.state().is_primary() {
            return Err(SqlError::read_only());
        }
        self.statements.push(statement);
        Ok(())
    }

    /// Returns the value of a key, or `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<String> {
        match self.changes.get(key) {
            Some(value) => value.clone(),
            None => self.shared.state().table().get(key).cloned(),
        }
    }

    /// Returns all rows, ordered by key.
    pub fn rows(&self) -> BTreeMap<String, String> {
        let mut rows = self.shared.state().table().clone();
        for (key, value) in &self.changes {
            match value {
                Some(value) => rows.insert(key.clone(), value.clone()),
                None => rows.remove(key),
            };
        }
        rows
    }

    /// Sets or removes the value of a key, whose row must be locked.
    pub fn put(&mut self, key: &str, value: Option<String>) {
        self.changes.insert(key.to_owned(), value);
    }

    /// Locks a row; waits while another transaction holds the lock, and returns an error if that takes
    /// too long.
    pub async fn lock_row(&mut self, key: &str) -> Result<(), SqlError> {
        let deadline = Instant::now() + LOCK_WAIT;
        let mut changed = self.shared.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if self.try_lock_row(key) {
                return Ok(());
            }
            let waited = tokio::time::timeout_at(deadline.into(), changed.changed()).await;
            if waited.is_err() {
                return Err(SqlError::new("40P01", "deadlock detected"));
            }
        }
    }

    fn try_lock_row(&mut self, key: &str) -> bool {
        let mut state = self.shared.state();
        match state.row_locks.entry(key.to_owned()) {
            Entry::Occupied(holder) => *holder.get() == self.id,
            Entry::Vacant(free) => {
                free.insert(self.id);
                self.locks.push(key.to_owned());
                true
            }
        }
    }

    /// Commits the transaction; returns whether it had write statements. Returns an error if the
    /// endpoint is no longer the primary.
    pub fn commit(mut self) -> Result<bool, SqlError> {
        if self.statements.is_empty() {
            return Ok(false);
        }
        let changes = std::mem::take(&mut self.changes);
        let changes = changes
            .into_iter()
            .map(|(key, value)| KeyChange { key, value })
            .collect();
        let statements = std::mem::take(&mut self.statements);
        let now = Instant::now();
        if self
            .shared
            .update(|state| state.commit(changes, statements, now))
        {
            Ok(true)
        } else {
            Err(SqlError::read_only())
        }
    }
}

impl Drop for ClientTransaction {
    fn drop(&mut self) {
        if !self.locks.is_empty() {
            let locks = std::mem::take(&mut self.locks);
            self.shared.update(|state| {
                for key in &locks {
                    state.row_locks.remove(key);
                }
            });
        }
    }
}
