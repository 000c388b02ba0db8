//! Counts the calls that this instance makes to the store.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The kinds of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreCallKind {
    /// Reading a key.
    Get,
    /// Compare-and-swap.
    CompareAndSwap,
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

    /// Returns the name used in metrics.
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

/// The number of calls of each kind, those that failed or were repeated included.
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
    pub fn of(&self, kind: StoreCallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of all calls.
    pub fn total(&self) -> u64 {
        StoreCallKind::ALL.iter().map(|kind| self.of(*kind)).sum()
    }
}
