//! Counts the calls to the stand-in store.

use serde::Deserialize;
use serde::Serialize;

/// The kinds of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Reading a key.
    Get,
    /// Compare-and-swap.
    Cas,
    /// A new lease.
    Lease,
    /// Renewing a lease.
    Renew,
    /// Ending a lease.
    Revoke,
    /// A watch; one that waits counts once.
    Watch,
    /// The instance list.
    Instances,
}

/// How many calls of each kind arrived, failed ones included.
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

    /// Returns the number of all calls.
    pub fn total(&self) -> u64 {
        self.get + self.cas + self.lease + self.renew + self.revoke + self.watch + self.instances
    }
}
