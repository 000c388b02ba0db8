//! Counters of the calls that this instance makes to the store.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The kinds of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreCallKind {
    /// Reads a key.
    Get,
    /// Compares and swaps a key.
    CompareAndSwap,
    /// Creates a lease.
    Lease,
    /// Renews a lease.
    Renew,
    /// Ends a lease.
    Revoke,
    /// Watches a prefix; a long poll counts once.
    Watch,
    /// Reads the instance list.
    Instances,
}

impl StoreCallKind {
    /// All kinds.
    pub const ALL: [StoreCallKind; 7] = [
        StoreCallKind::Get,
        StoreCallKind::CompareAndSwap,
        StoreCallKind::Lease,
        StoreCallKind::Renew,
        StoreCallKind::Revoke,
        StoreCallKind::Watch,
        StoreCallKind::Instances,
    ];

    /// Returns the value of the metric label.
    pub fn label(self) -> &'static str {
        match self {
            StoreCallKind::Get => "get",
            StoreCallKind::CompareAndSwap => "cas",
            StoreCallKind::Lease => "lease",
            StoreCallKind::Renew => "renew",
            StoreCallKind::Revoke => "revoke",
            StoreCallKind::Watch => "watch",
            StoreCallKind::Instances => "instances",
        }
    }
}

/// Number of calls of each kind, failed and repeated ones included.
#[derive(Debug, Default)]
pub struct StoreCalls {
    counts: [AtomicU64; StoreCallKind::ALL.len()],
}

impl StoreCalls {
    /// Counts a call.
    pub fn count(&self, kind: StoreCallKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls of a kind.
    pub fn get(&self, kind: StoreCallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of all calls.
    pub fn total(&self) -> u64 {
        StoreCallKind::ALL.iter().map(|kind| self.get(*kind)).sum()
    }
}
