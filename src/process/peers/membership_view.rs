//! One instance's view of the fleet's membership.
//!
//! The platform's list of instances lags: it may include an instance that has stopped and miss one
//! that is running. The view therefore also uses the answers to heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::slots::rendezvous::RendezvousMember;
use crate::process::timers::MonotonicTime;
use crate::version::ids::InstanceId;
use crate::version::ids::ZoneId;

/// Time without an answer to a heartbeat after which an instance no longer counts as live.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after its last answer for which an instance that the platform does not list stays known.
pub const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// The name, zone and address of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct MemberRecord {
    /// The name of the instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The address at which it answers peers.
    pub address: SocketAddr,
}

impl MemberRecord {
    /// Converts records to the input of rendezvous hashing.
    pub fn rendezvous_members(records: &[MemberRecord]) -> Vec<RendezvousMember> {
        let member_of = |record: &MemberRecord| RendezvousMember {
            instance: record.instance.clone(),
            zone: record.zone.clone(),
        };
        records.iter().map(member_of).collect()
    }
}

/// What is known of another instance.
#[derive(Debug, Clone)]
struct MemberState {
    record: MemberRecord,
    listed: bool,
    leaving: bool,
    added_at: MonotonicTime,
    answered_at: Option<MonotonicTime>,
    incarnation: Option<u64>,
}

impl MemberState {
    fn is_silent(&self, now: MonotonicTime) -> bool {
        let last = self.answered_at.unwrap_or(self.added_at);
        now.saturating_since(last) > SILENCE_TIMEOUT
    }
}

/// The record of this instance, and all other instances known to it.
#[derive(Debug)]
pub struct MembershipView {
    own: MemberRecord,
    members: BTreeMap<InstanceId, MemberState>,
}

impl MembershipView {
    /// Creates a view that contains only this instance.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
        }
    }

    /// Returns the record of this instance.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Replaces the listed instances with the platform's list or the store's registrations.
    ///
    /// The flag of each entry is `true` if the instance is leaving. Instances that are no longer
    /// listed stay known for [`UNLISTED_RETENTION`] after their last answer.
    pub fn set_listed(&mut self, listed: Vec<(MemberRecord, bool)>, now: MonotonicTime) {
        for state in self.members.values_mut() {
            state.listed = false;
        }
        for (record, leaving) in listed {
            if record.instance != self.own.instance {
                self.list_member(record, leaving, now);
            }
        }
        self.remove_departed(now);
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
                    answered_at: None,
                    incarnation: None,
                };
                self.members.insert(record.instance, state);
            }
        }
    }

    fn remove_departed(&mut self, now: MonotonicTime) {
        self.members.retain(|_, state| {
            let last = state.answered_at.unwrap_or(state.added_at);
            state.listed || now.saturating_since(last) <= UNLISTED_RETENTION
        });
    }

    /// Records the answer to a heartbeat that was sent at `requested_at`.
    ///
    /// Returns whether the instance has restarted since its last answer.
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
        state.answered_at = state.answered_at.max(Some(requested_at));
        state.incarnation = Some(incarnation);
        // After a restart, the instance is leaving only if its new process reports it.
        state.leaving = draining || (state.leaving && !restarted);
        restarted
    }

    /// Adds an instance that is not known yet but sent or answered a heartbeat.
    pub fn record_unlisted(&mut self, record: MemberRecord, now: MonotonicTime) {
        if record.instance != self.own.instance && !self.members.contains_key(&record.instance) {
            self.list_member(record.clone(), false, now);
            if let Some(state) = self.members.get_mut(&record.instance) {
                state.listed = false;
            }
        }
    }

    /// Returns all known other instances, including silent ones.
    pub fn known(&self) -> Vec<MemberRecord> {
        self.members
            .values()
            .map(|state| state.record.clone())
            .collect()
    }

    /// Returns the instances that are live at `now`, including this one, sorted by name.
    pub fn live(&self, now: MonotonicTime) -> Vec<MemberRecord> {
        let is_live = |state: &&MemberState| !state.leaving && !state.is_silent(now);
        let mut live: Vec<MemberRecord> = self
            .members
            .values()
            .filter(is_live)
            .map(|state| state.record.clone())
            .collect();
        live.push(self.own.clone());
        live.sort();
        live
    }

    /// Returns whether an instance is live at `now`: it is known, answers and is not leaving.
    pub fn is_live(&self, instance: &InstanceId, now: MonotonicTime) -> bool {
        *instance == self.own.instance
            || self
                .members
                .get(instance)
                .is_some_and(|state| !state.leaving && !state.is_silent(now))
    }

    /// Returns the address at which another instance answers peers.
    pub fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.members.get(instance).map(|state| state.record.address)
    }
}
