//! Decides whether an instance may still use its bundle.
//!
//! An instance that cannot receive a new bundle cannot know whether a key was withdrawn. It may
//! serve requests only with recent evidence: it has read the store itself, a peer has, or a
//! majority of the fleet answers and none of it can read the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::timers::MonotonicTime;
use crate::version::ids::BundleVersion;
use crate::version::ids::InstanceId;

/// Maximum age of a store read or of a peer's answer that counts as evidence.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(3);

/// The evidence that an instance's bundle is up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreEvidence {
    /// This instance has read the store within [`MAX_EVIDENCE_AGE`].
    Direct,
    /// A peer has read the store within [`MAX_EVIDENCE_AGE`], and its bundle is not newer than that
    /// of this instance.
    Relayed,
    /// A majority of the fleet answers, and none of it can read the store.
    Outage,
    /// There is no such evidence; a key may have been withdrawn.
    Isolated,
}

impl StoreEvidence {
    /// Returns whether requests may be accepted.
    pub fn allows_requests(self) -> bool {
        self != StoreEvidence::Isolated
    }
}

impl fmt::Display for StoreEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreEvidence::Direct => "direct",
            StoreEvidence::Relayed => "relayed",
            StoreEvidence::Outage => "outage",
            StoreEvidence::Isolated => "isolated",
        })
    }
}

/// A peer's last answer to a heartbeat.
#[derive(Debug, Clone, Copy)]
struct PeerView {
    requested_at: MonotonicTime,
    store_read_at: Option<MonotonicTime>,
    bundle: BundleVersion,
}

/// Collects evidence about the store from this instance and its peers.
#[derive(Debug)]
pub struct IsolationMonitor {
    own: InstanceId,
    members: BTreeSet<InstanceId>,
    store_read_at: Option<MonotonicTime>,
    views: BTreeMap<InstanceId, PeerView>,
}

impl IsolationMonitor {
    /// Creates a monitor without evidence, for a fleet of one instance.
    pub fn new(own: InstanceId) -> Self {
        let members = BTreeSet::from([own.clone()]);
        Self {
            own,
            members,
            store_read_at: None,
            views: BTreeMap::new(),
        }
    }

    /// Replaces the set of instances among which a majority is counted; `own` is always included.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = InstanceId>) {
        self.members = members.into_iter().collect();
        self.members.insert(self.own.clone());
        self.views.retain(|id, _| self.members.contains(id));
    }

    /// Records a successful read of the bundle from the store; `sent_at` is when it was requested.
    pub fn record_store_read(&mut self, sent_at: MonotonicTime) {
        self.store_read_at = self.store_read_at.max(Some(sent_at));
    }

    /// Records a peer's answer to a heartbeat that was sent at `requested_at`.
    ///
    /// The age of the answer is counted from `requested_at`, so that an answer that was delayed by a
    /// pause of this process does not count as recent.
    pub fn record_peer(
        &mut self,
        peer: InstanceId,
        requested_at: MonotonicTime,
        store_age: Option<Duration>,
        bundle: BundleVersion,
    ) {
        let store_read_at = store_age.map(|age| {
            let nanos = u64::try_from(age.as_nanos()).unwrap_or(u64::MAX);
            MonotonicTime::from_nanos(requested_at.as_nanos().saturating_sub(nanos))
        });
        let newer = self
            .views
            .get(&peer)
            .is_none_or(|view| view.requested_at <= requested_at);
        if newer {
            self.views.insert(
                peer,
                PeerView {
                    requested_at,
                    store_read_at,
                    bundle,
                },
            );
        }
    }

    /// Returns how long ago this instance last read the store; `None` if it never did.
    pub fn store_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.store_read_at.map(|at| now.saturating_since(at))
    }

    /// Returns the time since the last known read of the store by this instance or a peer.
    pub fn newest_view_age(&self, now: MonotonicTime) -> Option<Duration> {
        let peers = self.views.values().filter_map(|view| view.store_read_at);
        peers
            .chain(self.store_read_at)
            .max()
            .map(|at| now.saturating_since(at))
    }

    /// Returns the evidence at `now` for an instance with the bundle version `bundle` in force.
    pub fn evidence(&self, now: MonotonicTime, bundle: BundleVersion) -> StoreEvidence {
        let fresh = |at: MonotonicTime| now.saturating_since(at) <= MAX_EVIDENCE_AGE;
        if self.store_read_at.is_some_and(fresh) {
            return StoreEvidence::Direct;
        }
        let answered: Vec<&PeerView> = self
            .views
            .values()
            .filter(|view| fresh(view.requested_at))
            .collect();
        let relayed = |view: &&PeerView| view.store_read_at.is_some_and(fresh);
        if answered
            .iter()
            .any(|view| relayed(view) && view.bundle <= bundle)
        {
            return StoreEvidence::Relayed;
        }
        let majority = self.members.len() / 2 + 1;
        let no_peer_reads_store = !answered.iter().any(relayed);
        let newest_known = answered.iter().all(|view| view.bundle <= bundle);
        if answered.len() + 1 >= majority && no_peer_reads_store && newest_known {
            return StoreEvidence::Outage;
        }
        StoreEvidence::Isolated
    }
}
