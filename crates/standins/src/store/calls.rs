//! Counts the calls to a stand-in store.

use serde::Deserialize;
use serde::Serialize;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Reading a key.
    Get,
    /// Compare-and-swap of a key.
    Cas,
    /// Granting a lease.
    Lease,
    /// Renewing a lease.
    Renew,
    /// Revoking a lease.
    Revoke,
    /// Watching a prefix; a watch that waits counts once.
    Watch,
    /// Reading the instance list.
    Instances,
}

/// Number of calls of each kind that were received, including failed ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallCounts {
    /// Reads of a key.
    pub get: u64,
    /// Compare-and-swaps.
    pub cas: u64,
    /// New leases.
    pub lease: u64,
    /// Renewals.
    pub renew: u64,
    /// Revocations.
    pub revoke: u64,
    /// Watches.
    pub watch: u64,
    /// Reads of the instance list.
    pub instances: u64,
}

impl CallCounts {
    /// Counts a call.
    pub fn count(&mut self, kind: CallKind) {
        let counter = match kind {
            CallKind::Get => &mut self.get,
            CallKind::Cas => &mut self.cas,
            CallKind::Lease => &mut self.lease,
            CallKind::Renew => &mut self.renew,
            CallKind::Revoke => &mut self.revoke,
            CallKind::Watch => &mut self.watch,
            CallKind::Instances => &mut self.instances,
        };
        *counter += 1;
    }

    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.get + self.cas + self.lease + self.renew + self.revoke + self.watch + self.instances
    }
}
