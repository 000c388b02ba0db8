//! Which instances make up the fleet, as seen from one of them.
//!
//! The platform's list lags, so that an instance on it may be gone and one missing from it may be
//! at work. Answers to heartbeats are the other piece of evidence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::slots::rendezvous::RendezvousMember;
use crate::process::timers::MonotonicTime;
use crate::version::ids::InstanceId;
use crate::version::ids::ZoneId;

/// An instance that answered no heartbeat for this long takes part in nothing.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// How long an instance that the platform does not list stays known after its last answer.
pub const UNLISTED_LIMIT: Duration = Duration::from_secs(60);

/// Where an instance can be reached.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MemberRecord {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The availability zone it stands in.
    pub zone: ZoneId,
    /// Where it answers peers.
    pub address: SocketAddr,
}

impl MemberRecord {
    /// Returns the members as rendezvous hashing takes them.
    pub fn rendezvous_members(records: &[MemberRecord]) -> Vec<RendezvousMember> {
        let member_of = |record: &MemberRecord| RendezvousMember {
            instance: record.instance.clone(),
            zone: record.zone.clone(),
        };
        records.iter().map(member_of).collect()
    }
}

#[derive(Debug, Clone)]
struct MemberState {
    record: MemberRecord,
    listed: bool,
    leaving: bool,
    added_at: MonotonicTime,
    heard_at: Option<MonotonicTime>,
    incarnation: Option<u64>,
}

impl MemberState {
    fn is_silent(&self, now: MonotonicTime) -> bool {
        let last = self.heard_at.unwrap_or(self.added_at);
        now.saturating_since(last) > SILENCE_LIMIT
    }
}

/// The instances known to one instance, without itself.
#[derive(Debug)]
pub struct MembershipView {
    own: MemberRecord,
    members: BTreeMap<InstanceId, MemberState>,
}

impl MembershipView {
    /// Creates a view that knows only its own instance.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
        }
    }

    /// Returns the record of the own instance.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Takes the platform's list or the store's registrations; `true` marks a leaving instance.
    pub fn set_listed(&mut self, listed: Vec<(MemberRecord, bool)>, now: MonotonicTime) {
        for state in self.members.values_mut() {
            state.listed = false;
        }
        for (record, leaving) in listed {
            if record.instance != self.own.instance {
                self.list_member(record, leaving, now);
            }
        }
        self.forget_departed(now);
    }

    fn list_member(&mut self, record: MemberRecord, leaving: bool, now: MonotonicTime) {
        let known = self.members.get_mut(&record.instance);
        match known {
            Some(state) if state.record == record => {
                state.listed = true;
                state.leaving |= leaving;
            }
            _ => {
                let state = MemberState {
                    record: record.clone(),
                    listed: true,
                    leaving,
                    added_at: now,
                    heard_at: None,
                    incarnation: None,
                };
                self.members.insert(record.instance, state);
            }
        }
    }

    fn forget_departed(&mut self, now: MonotonicTime) {
        self.members.retain(|_, state| {
            let heard = state.heard_at.unwrap_or(state.added_at);
            state.listed || now.saturating_since(heard) <= UNLISTED_LIMIT
        });
    }

    /// Records the answer to a heartbeat that was sent at `requested_at`.
    ///
    /// Returns whether the instance has restarted since it was last heard.
    pub fn record_answer(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        draining: bool,
        requested_at: MonotonicTime,
    ) -> bool {
        let Some(state) = self.members.get_mut(instance) else {
            return false;
        };
        let restarted = state.incarnation.is_some_and(|known| known != incarnation);
        state.heard_at = state.heard_at.max(Some(requested_at));
        state.incarnation = Some(incarnation);
        // A new process at the same name is not leaving until it says so itself.
        state.leaving = draining || (state.leaving && !restarted);
        restarted
    }

    /// Adds an instance that sent a heartbeat and is not known yet.
    pub fn record_unlisted(&mut self, record: MemberRecord, now: MonotonicTime) {
        if record.instance != self.own.instance && !self.members.contains_key(&record.instance) {
            self.list_member(record.clone(), false, now);
            if let Some(state) = self.members.get_mut(&record.instance) {
                state.listed = false;
            }
        }
    }

    /// Returns all known instances, those that are silent included.
    pub fn known(&self) -> Vec<MemberRecord> {
        self.members
            .values()
            .map(|state| state.record.clone())
            .collect()
    }

    /// Returns the instances that take part at `now`, the own one included, sorted by name.
    pub fn live(&self, now: MonotonicTime) -> Vec<MemberRecord> {
        let takes_part = |state: &&MemberState| !state.leaving && !state.is_silent(now);
        let mut live: Vec<MemberRecord> = self
            .members
            .values()
            .filter(takes_part)
            .map(|state| state.record.clone())
            .collect();
        live.push(self.own.clone());
        live.sort();
        live
    }

    /// Returns whether an instance takes part at `now`.
    pub fn is_live(&self, instance: &InstanceId, now: MonotonicTime) -> bool {
        *instance == self.own.instance
            || self
                .members
                .get(instance)
                .is_some_and(|state| !state.leaving && !state.is_silent(now))
    }

    /// Returns where an instance answers peers.
    pub fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.members.get(instance).map(|state| state.record.address)
    }
}
