//! Decides whether an instance may still trust its bundle.
//!
//! An instance that cannot learn of a new bundle cannot know whether a key was withdrawn. It may
//! go on only with fresh evidence: it read the store itself, a peer did, or a majority of the
//! fleet answers and nobody in it can read the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::timers::MonotonicTime;
use crate::version::ids::BundleVersion;
use crate::version::ids::InstanceId;

/// How long a view of the store counts.
pub const EVIDENCE_LIMIT: Duration = Duration::from_secs(3);

/// What an instance knows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreEvidence {
    /// This instance read the store within the limit.
    Direct,
    /// A peer read the store within the limit, and this instance has the bundle that the peer has.
    Relayed,
    /// A majority of the fleet answers, and none of it can read the store.
    Outage,
    /// None of these; a key may have been withdrawn.
    Isolated,
}

impl StoreEvidence {
    /// Whether requests may be accepted.
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

#[derive(Debug, Clone, Copy)]
struct PeerView {
    requested_at: MonotonicTime,
    store_seen_at: Option<MonotonicTime>,
    bundle: BundleVersion,
}

/// Collects evidence about the store from this instance and its peers.
#[derive(Debug)]
pub struct IsolationMonitor {
    own: InstanceId,
    members: BTreeSet<InstanceId>,
    store_seen_at: Option<MonotonicTime>,
    views: BTreeMap<InstanceId, PeerView>,
}

impl IsolationMonitor {
    /// Creates a monitor that has seen nothing yet.
    pub fn new(own: InstanceId) -> Self {
        let members = BTreeSet::from([own.clone()]);
        Self {
            own,
            members,
            store_seen_at: None,
            views: BTreeMap::new(),
        }
    }

    /// Replaces the set of instances that make up the fleet.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = InstanceId>) {
        self.members = members.into_iter().collect();
        self.members.insert(self.own.clone());
        self.views.retain(|id, _| self.members.contains(id));
    }

    /// Records a successful read of the bundle key that was sent at `sent_at`.
    pub fn record_store_read(&mut self, sent_at: MonotonicTime) {
        self.store_seen_at = self.store_seen_at.max(Some(sent_at));
    }

    /// Records a peer's answer to a heartbeat that was sent at `requested_at`.
    ///
    /// The time of the question counts, so that an answer that waited while this process was
    /// paused is as old as it really is.
    pub fn record_peer(
        &mut self,
        peer: InstanceId,
        requested_at: MonotonicTime,
        store_age: Option<Duration>,
        bundle: BundleVersion,
    ) {
        let store_seen_at = store_age.map(|age| {
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
                    store_seen_at,
                    bundle,
                },
            );
        }
    }

    /// Returns how long ago this instance read the store, or knows that a peer did.
    pub fn store_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.store_seen_at.map(|at| now.saturating_since(at))
    }

    /// Returns how old the newest view of the store is, this instance's own or a peer's.
    pub fn newest_view_age(&self, now: MonotonicTime) -> Option<Duration> {
        let peers = self.views.values().filter_map(|view| view.store_seen_at);
        peers
            .chain(self.store_seen_at)
            .max()
            .map(|at| now.saturating_since(at))
    }

    /// Judges the evidence at `now` for an instance that has the bundle `bundle` in force.
    pub fn evidence(&self, now: MonotonicTime, bundle: BundleVersion) -> StoreEvidence {
        let fresh = |at: MonotonicTime| now.saturating_since(at) <= EVIDENCE_LIMIT;
        if self.store_seen_at.is_some_and(fresh) {
            return StoreEvidence::Direct;
        }
        let answered: Vec<&PeerView> = self
            .views
            .values()
            .filter(|view| fresh(view.requested_at))
            .collect();
        let relayed = |view: &&PeerView| view.store_seen_at.is_some_and(fresh);
        if answered
            .iter()
            .any(|view| relayed(view) && view.bundle <= bundle)
        {
            return StoreEvidence::Relayed;
        }
        let majority = self.members.len() / 2 + 1;
        let nobody_sees_store = !answered.iter().any(relayed);
        let newest_known = answered.iter().all(|view| view.bundle <= bundle);
        if answered.len() + 1 >= majority && nobody_sees_store && newest_known {
            return StoreEvidence::Outage;
        }
        StoreEvidence::Isolated
    }
}
