//! Which change a share table needs next, and when it is safe to write it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::process::shares::incarnation::InstanceIncarnation;
use crate::process::shares::settings::ShareSettings;
use crate::process::shares::table::ShareTable;
use crate::process::shares::table::TeamLimit;
use crate::process::slots::rendezvous::RendezvousMember;
use crate::process::slots::rendezvous::spread_order;
use crate::process::timers::MonotonicTime;
use crate::version::ids::BundleVersion;
use crate::version::ids::InstanceId;
use crate::version::ids::TeamId;
use crate::version::ids::ZoneId;

/// A live instance as the membership sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareMember {
    /// Its present incarnation.
    pub incarnation: InstanceIncarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is stopping, so that it gets nothing new.
    pub leaving: bool,
}

/// What the changes of a table depend on.
#[derive(Debug)]
pub struct ReconcilerView<'a> {
    /// The shard's name, which orders the instances.
    pub shard: &'a str,
    /// The place of the deciding instance in the rendezvous order.
    pub rank: Option<usize>,
    /// The live instances.
    pub members: &'a [ShareMember],
    /// The bundle in force here.
    pub bundle: BundleVersion,
    /// Its rates for the shard's teams.
    pub limits: &'a BTreeMap<TeamId, TeamLimit>,
}

/// A reason to change the table, each with its own delay.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum ChangeCause {
    Bundle(BundleVersion),
    Dead(InstanceIncarnation),
    Reclaim(InstanceIncarnation),
    WitnessDead(InstanceId),
    WitnessCount,
    WitnessesSettled,
}

/// Decides on the changes that any instance may make: revocation, reclaim, rates and witnesses.
#[derive(Debug, Clone)]
pub struct ShareReconciler {
    settings: ShareSettings,
    acks: BTreeMap<InstanceId, u64>,
    causes: BTreeMap<ChangeCause, MonotonicTime>,
    revoked_in: BTreeMap<InstanceIncarnation, u64>,
    known_since: BTreeMap<u64, MonotonicTime>,
}

impl ShareReconciler {
    /// Creates a reconciler that knows of no acknowledgement.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            acks: BTreeMap::new(),
            causes: BTreeMap::new(),
            revoked_in: BTreeMap::new(),
            known_since: BTreeMap::new(),
        }
    }

    /// Counts the acknowledgement of a table version by an instance.
    pub fn record_ack(&mut self, instance: &InstanceId, version: u64) {
        let known = self.acks.entry(instance.clone()).or_default();
        *known = (*known).max(version);
    }

    /// Returns the witnesses that have not acknowledged the table.
    ///
    /// They are told early, so that the next change finds the table settled.
    pub fn missing_acks(&self, table: &ShareTable) -> Vec<InstanceId> {
        let sets = table.witnesses.iter().chain(&table.previous_witnesses);
        let missing = sets.filter(|w| !self.knows(w, table.version));
        let missing = missing.collect::<BTreeSet<_>>();
        missing.into_iter().cloned().collect()
    }

    /// Returns the next version of the table where one is due and safe.
    pub fn decide(
        &mut self,
        table: &ShareTable,
        view: &ReconcilerView,
        now: MonotonicTime,
    ) -> Option<ShareTable> {
        self.observe(table, now);
        let mut causes = BTreeSet::new();
        let next = self.change(table, view, now, &mut causes);
        self.causes.retain(|cause, _| causes.contains(cause));
        next.filter(|next| next.check().is_ok())
    }

    fn change(
        &mut self,
        table: &ShareTable,
        view: &ReconcilerView,
        now: MonotonicTime,
        causes: &mut BTreeSet<ChangeCause>,
    ) -> Option<ShareTable> {
        let instant = Duration::ZERO;
        if table.bundle < view.bundle {
            let cause = ChangeCause::Bundle(view.bundle);
            let due = self.is_due(cause, instant, view, now, causes);
            if let Some(next) = self.change_rates(table, view, now).filter(|_| due) {
                return Some(next);
            }
        }
        let live = view
            .members
            .iter()
            .map(|m| &m.incarnation)
            .collect::<BTreeSet<_>>();
        let mut next = table.next();
        for owner in table.owners.keys() {
            if live.contains(owner) || table.revoked.contains(owner) {
                continue;
            }
            let cause = ChangeCause::Dead(owner.clone());
            if self.is_due(cause, self.settings.revoke_after, view, now, causes) {
                next.revoked.insert(owner.clone());
            }
        }
        if next.revoked != table.revoked {
            return Some(next);
        }
        if let Some(next) = self.reclaim(table, view, now, causes) {
            return Some(next);
        }
        self.change_witnesses(table, view, now, causes)
    }

    /// Applies the bundle's rates: lower ones at once, higher ones when the table is settled.
    fn change_rates(
        &self,
        table: &ShareTable,
        view: &ReconcilerView,
        now: MonotonicTime,
    ) -> Option<ShareTable> {
        let mut next = table.next();
        if self.is_settled(table, table.version, now) {
            next.teams = view.limits.clone();
            next.bundle = view.bundle;
            return Some(next);
        }
        next.teams = table
            .teams
            .iter()
            .filter_map(|(team, limit)| Some((team.clone(), limit.lower(*view.limits.get(team)?))))
            .collect();
        if next.teams == *view.limits {
            next.bundle = view.bundle;
        }
        (next.teams != table.teams || next.bundle != table.bundle).then_some(next)
    }

    /// Gives the units of revoked owners to others once nobody can use or renew them.
    fn reclaim(
        &mut self,
        table: &ShareTable,
        view: &ReconcilerView,
        now: MonotonicTime,
        causes: &mut BTreeSet<ChangeCause>,
    ) -> Option<ShareTable> {
        let takers = self.takers(table, view);
        let mut next = table.next();
        for owner in &table.revoked {
            let version = self.revoked_in.get(owner).copied().unwrap_or(table.version);
            let settled =
                self.settings.ablation.no_revocation_wait || self.is_settled(table, version, now);
            let cause = ChangeCause::Reclaim(owner.clone());
            if !settled || !self.is_due(cause, Duration::ZERO, view, now, causes) {
                continue;
            }
            let units = table.owners.get(owner).copied().unwrap_or(0);
            next.give(owner, units, &takers);
        }
        (next.owners != table.owners).then_some(next)
    }

    fn change_witnesses(
        &mut self,
        table: &ShareTable,
        view: &ReconcilerView,
        now: MonotonicTime,
        causes: &mut BTreeSet<ChangeCause>,
    ) -> Option<ShareTable> {
        if !table.previous_witnesses.is_empty() {
            let settled = self.is_known(table, table.version);
            let cause = ChangeCause::WitnessesSettled;
            if settled && self.is_due(cause, Duration::ZERO, view, now, causes) {
                let mut next = table.next();
                next.previous_witnesses.clear();
                return Some(next);
            }
            return None;
        }
        let mut due = false;
        let alive = |w: &InstanceId| {
            let mut members = view.members.iter();
            members.any(|m| m.incarnation.instance == *w && !m.leaving)
        };
        for witness in table.witnesses.iter().filter(|w| !alive(w)) {
            let cause = ChangeCause::WitnessDead(witness.clone());
            due |= self.is_due(cause, self.settings.witness_replace, view, now, causes);
        }
        let wanted = self.settings.witnesses.min(view.members.len());
        if table.witnesses.len() < wanted {
            let delay = self.settings.revoke_after;
            due |= self.is_due(ChangeCause::WitnessCount, delay, view, now, causes);
        }
        if !due || !self.is_known(table, table.version) {
            return None;
        }
        let mut next = table.next();
        let mut witnesses = table
            .witnesses
            .iter()
            .filter(|w| alive(w))
            .cloned()
            .collect::<Vec<_>>();
        for candidate in spread_order(view.shard, &zone_members(view.members)) {
            if witnesses.len() < wanted && !witnesses.contains(&candidate) {
                witnesses.push(candidate);
            }
        }
        next.previous_witnesses = std::mem::replace(&mut next.witnesses, witnesses);
        Some(next)
    }

    /// Returns who gets units: live members, those that own something first when there are enough.
    fn takers(&self, table: &ShareTable, view: &ReconcilerView) -> Vec<InstanceIncarnation> {
        share_recipients(table, view.shard, view.members, self.settings.max_owners)
    }

    /// Whether every set of witnesses holds the version, as far as acknowledged here.
    pub fn is_known(&self, table: &ShareTable, version: u64) -> bool {
        table.is_known_by(|witness| self.knows(witness, version))
    }

    /// Whether no lease handed out before that version can still hold.
    pub fn is_settled(&self, table: &ShareTable, version: u64, now: MonotonicTime) -> bool {
        let wait = self.settings.safe_wait(self.settings.lease);
        table.version >= version
            && self
                .known_since
                .get(&version)
                .is_some_and(|&since| now.saturating_since(since) > wait)
    }

    fn knows(&self, instance: &InstanceId, version: u64) -> bool {
        self.acks
            .get(instance)
            .is_some_and(|&known| known >= version)
    }

    fn observe(&mut self, table: &ShareTable, now: MonotonicTime) {
        self.revoked_in
            .retain(|owner, _| table.revoked.contains(owner));
        for owner in &table.revoked {
            self.revoked_in
                .entry(owner.clone())
                .or_insert(table.version);
        }
        let mut versions = self.revoked_in.values().copied().collect::<BTreeSet<_>>();
        versions.insert(table.version);
        self.known_since
            .retain(|version, _| versions.contains(version));
        for version in versions {
            if self.is_known(table, version) {
                self.known_since.entry(version).or_insert(now);
            }
        }
    }

    /// Whether a cause lasts long enough for this instance to act, the first in order first.
    fn is_due(
        &mut self,
        cause: ChangeCause,
        delay: Duration,
        view: &ReconcilerView,
        now: MonotonicTime,
        causes: &mut BTreeSet<ChangeCause>,
    ) -> bool {
        let since = *self.causes.entry(cause.clone()).or_insert(now);
        causes.insert(cause);
        let Some(rank) = view.rank.and_then(|rank| u32::try_from(rank).ok()) else {
            return false;
        };
        now.saturating_since(since) >= delay + self.settings.reconciler_stagger * rank
    }
}

/// Returns who may get units of a table: its live owners, and others while there is room.
pub fn share_recipients(
    table: &ShareTable,
    shard: &str,
    members: &[ShareMember],
    max_owners: usize,
) -> Vec<InstanceIncarnation> {
    let owns = |m: &ShareMember| table.units(&m.incarnation) > 0;
    let mut takers = members
        .iter()
        .filter(|m| owns(m) && !m.leaving)
        .map(|m| m.incarnation.clone())
        .collect::<Vec<_>>();
    for instance in spread_order(shard, &zone_members(members)) {
        let Some(member) = members.iter().find(|m| m.incarnation.instance == instance) else {
            continue;
        };
        if takers.len() < max_owners && !owns(member) && !member.leaving {
            takers.push(member.incarnation.clone());
        }
    }
    takers.retain(|taker| !table.revoked.contains(taker));
    takers
}

/// Returns members in the form that rendezvous hashing takes.
pub fn zone_members(members: &[ShareMember]) -> Vec<RendezvousMember> {
    members
        .iter()
        .filter(|member| !member.leaving)
        .map(|member| RendezvousMember {
            instance: member.incarnation.instance.clone(),
            zone: member.zone.clone(),
        })
        .collect()
}
