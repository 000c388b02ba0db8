//! Decides which change a share table needs next, and when it is safe to write it.

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

/// A live instance as the membership lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareMember {
    /// Its current incarnation.
    pub incarnation: InstanceIncarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it is stopping; it then becomes neither owner nor witness.
    pub leaving: bool,
}

/// The state of the deciding instance on which changes of a table depend.
#[derive(Debug)]
pub struct ReconcilerView<'a> {
    /// The shard's name, the key of the rendezvous order.
    pub shard: &'a str,
    /// The index of the deciding instance in the rendezvous order.
    pub rank: Option<usize>,
    /// The live instances.
    pub members: &'a [ShareMember],
    /// The bundle in force here.
    pub bundle: BundleVersion,
    /// Its rates for the shard's teams.
    pub limits: &'a BTreeMap<TeamId, TeamLimit>,
}

/// A reason to change the table. Each has its own delay, counted from when it was first observed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum ChangeCause {
    Bundle(BundleVersion),
    Dead(InstanceIncarnation),
    Reclaim(InstanceIncarnation),
    WitnessDead(InstanceId),
    WitnessCount,
    WitnessesSettled,
}

/// Decides on changes that any instance may make: rates, witnesses, revoking and reclaiming units.
#[derive(Debug, Clone)]
pub struct ShareReconciler {
    settings: ShareSettings,
    /// The newest version that each instance acknowledged.
    acks: BTreeMap<InstanceId, u64>,
    /// When each current cause was first observed.
    causes: BTreeMap<ChangeCause, MonotonicTime>,
    /// The version in which each revoked owner was first observed as revoked.
    revoked_in: BTreeMap<InstanceIncarnation, u64>,
    /// When a version was first found acknowledged by majorities of its witnesses.
    acknowledged_since: BTreeMap<u64, MonotonicTime>,
}

impl ShareReconciler {
    /// Creates a reconciler without recorded acknowledgements.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            acks: BTreeMap::new(),
            causes: BTreeMap::new(),
            revoked_in: BTreeMap::new(),
            acknowledged_since: BTreeMap::new(),
        }
    }

    /// Records that an instance acknowledged a table version.
    pub fn record_ack(&mut self, instance: &InstanceId, version: u64) {
        let acknowledged = self.acks.entry(instance.clone()).or_default();
        *acknowledged = (*acknowledged).max(version);
    }

    /// Returns the witnesses that have not acknowledged the table.
    ///
    /// The table is sent to them early, so that the leases of older versions have ended when the
    /// next change is due.
    pub fn missing_acks(&self, table: &ShareTable) -> Vec<InstanceId> {
        let sets = table.witnesses.iter().chain(&table.previous_witnesses);
        let missing = sets.filter(|w| !self.has_acknowledged(w, table.version));
        let missing = missing.collect::<BTreeSet<_>>();
        missing.into_iter().cloned().collect()
    }

    /// Returns the next version of the table if a change is due and safe.
    pub fn decide(
        &mut self,
        table: &ShareTable,
        view: &ReconcilerView,
        now: MonotonicTime,
    ) -> Option<ShareTable> {
        self.record_table(table, now);
        let mut causes = BTreeSet::new();
        let next = self.next_change(table, view, now, &mut causes);
        self.causes.retain(|cause, _| causes.contains(cause));
        next.filter(|next| next.check().is_ok())
    }

    fn next_change(
        &mut self,
        table: &ShareTable,
        view: &ReconcilerView,
        now: MonotonicTime,
        causes: &mut BTreeSet<ChangeCause>,
    ) -> Option<ShareTable> {
        let no_delay = Duration::ZERO;
        if table.bundle < view.bundle {
            let cause = ChangeCause::Bundle(view.bundle);
            let due = self.is_due(cause, no_delay, view, now, causes);
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

    /// Applies the bundle's rates: lower ones at once, higher ones when the leases of older
    /// versions have ended.
    fn change_rates(
        &self,
        table: &ShareTable,
        view: &ReconcilerView,
        now: MonotonicTime,
    ) -> Option<ShareTable> {
        let mut next = table.next();
        if self.older_leases_ended(table, table.version, now) {
            next.teams = view.limits.clone();
            next.bundle = view.bundle;
            return Some(next);
        }
        next.teams = table
            .teams
            .iter()
            .filter_map(|(team, limit)| Some((team.clone(), limit.min(*view.limits.get(team)?))))
            .collect();
        if next.teams == *view.limits {
            next.bundle = view.bundle;
        }
        (next.teams != table.teams || next.bundle != table.bundle).then_some(next)
    }

    /// Transfers the units of revoked owners once no lease on them can be used or renewed.
    fn reclaim(
        &mut self,
        table: &ShareTable,
        view: &ReconcilerView,
        now: MonotonicTime,
        causes: &mut BTreeSet<ChangeCause>,
    ) -> Option<ShareTable> {
        let recipients = self.recipients(table, view);
        let mut next = table.next();
        for owner in &table.revoked {
            let version = self.revoked_in.get(owner).copied().unwrap_or(table.version);
            let leases_ended = self.settings.ablation.no_revocation_wait
                || self.older_leases_ended(table, version, now);
            let cause = ChangeCause::Reclaim(owner.clone());
            if !leases_ended || !self.is_due(cause, Duration::ZERO, view, now, causes) {
                continue;
            }
            let units = table.owners.get(owner).copied().unwrap_or(0);
            next.transfer_units(owner, units, &recipients);
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
            let acknowledged = self.is_acknowledged(table, table.version);
            let cause = ChangeCause::WitnessesSettled;
            if acknowledged && self.is_due(cause, Duration::ZERO, view, now, causes) {
                let mut next = table.next();
                next.previous_witnesses.clear();
                return Some(next);
            }
            return None;
        }
        let mut due = false;
        let is_alive = |w: &InstanceId| {
            let mut members = view.members.iter();
            members.any(|m| m.incarnation.instance == *w && !m.leaving)
        };
        for witness in table.witnesses.iter().filter(|w| !is_alive(w)) {
            let cause = ChangeCause::WitnessDead(witness.clone());
            due |= self.is_due(cause, self.settings.witness_replace, view, now, causes);
        }
        let wanted = self.settings.witnesses.min(view.members.len());
        if table.witnesses.len() < wanted {
            let delay = self.settings.revoke_after;
            due |= self.is_due(ChangeCause::WitnessCount, delay, view, now, causes);
        }
        if !due || !self.is_acknowledged(table, table.version) {
            return None;
        }
        let mut next = table.next();
        let mut witnesses = table
            .witnesses
            .iter()
            .filter(|w| is_alive(w))
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

    /// Returns who may get units; see [`share_recipients`].
    fn recipients(&self, table: &ShareTable, view: &ReconcilerView) -> Vec<InstanceIncarnation> {
        share_recipients(table, view.shard, view.members, self.settings.max_owners)
    }

    /// Returns whether majorities of all sets of witnesses acknowledged the version here.
    pub fn is_acknowledged(&self, table: &ShareTable, version: u64) -> bool {
        table.is_held_by(|witness| self.has_acknowledged(witness, version))
    }

    /// Returns whether every lease renewed under a version before this one has ended.
    pub fn older_leases_ended(&self, table: &ShareTable, version: u64, now: MonotonicTime) -> bool {
        let wait = self.settings.safe_wait(self.settings.lease);
        table.version >= version
            && self
                .acknowledged_since
                .get(&version)
                .is_some_and(|&since| now.saturating_since(since) > wait)
    }

    fn has_acknowledged(&self, instance: &InstanceId, version: u64) -> bool {
        self.acks
            .get(instance)
            .is_some_and(|&acknowledged| acknowledged >= version)
    }

    fn record_table(&mut self, table: &ShareTable, now: MonotonicTime) {
        self.revoked_in
            .retain(|owner, _| table.revoked.contains(owner));
        for owner in &table.revoked {
            self.revoked_in
                .entry(owner.clone())
                .or_insert(table.version);
        }
        let mut versions = self.revoked_in.values().copied().collect::<BTreeSet<_>>();
        versions.insert(table.version);
        self.acknowledged_since
            .retain(|version, _| versions.contains(version));
        for version in versions {
            if self.is_acknowledged(table, version) {
                self.acknowledged_since.entry(version).or_insert(now);
            }
        }
    }

    /// Records a cause and returns whether it has lasted long enough for this instance to act.
    ///
    /// Instances wait in rank order, so that a later one acts only if the earlier ones did not.
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

/// Returns who may get units of a table: its live owners, then other members up to `max_owners`.
///
/// Members that are leaving and revoked owners get none.
pub fn share_recipients(
    table: &ShareTable,
    shard: &str,
    members: &[ShareMember],
    max_owners: usize,
) -> Vec<InstanceIncarnation> {
    let owns = |m: &ShareMember| table.units(&m.incarnation) > 0;
    let mut recipients = members
        .iter()
        .filter(|m| owns(m) && !m.leaving)
        .map(|m| m.incarnation.clone())
        .collect::<Vec<_>>();
    for instance in spread_order(shard, &zone_members(members)) {
        let Some(member) = members.iter().find(|m| m.incarnation.instance == instance) else {
            continue;
        };
        if recipients.len() < max_owners && !owns(member) && !member.leaving {
            recipients.push(member.incarnation.clone());
        }
    }
    recipients.retain(|recipient| !table.revoked.contains(recipient));
    recipients
}

/// Returns the members that are not leaving, as input for rendezvous hashing.
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
