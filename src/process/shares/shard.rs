//! Combines the roles of one instance in a shard: holder, witness and reconciler of its table.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::process::shares::holder::AdmissionAttempt;
use crate::process::shares::holder::AdmissionOutcome;
use crate::process::shares::holder::ShareHolder;
use crate::process::shares::incarnation::InstanceIncarnation;
use crate::process::shares::messages::ShareAction;
use crate::process::shares::messages::ShareMessage;
use crate::process::shares::messages::StoreAnswer;
use crate::process::shares::reconciler::ReconcilerView;
use crate::process::shares::reconciler::ShareMember;
use crate::process::shares::reconciler::ShareReconciler;
use crate::process::shares::reconciler::share_recipients;
use crate::process::shares::reconciler::zone_members;
use crate::process::shares::settings::ShareSettings;
use crate::process::shares::table::ShareTable;
use crate::process::shares::table::TOTAL_UNITS;
use crate::process::shares::table::TeamLimit;
use crate::process::shares::witness::ShareWitness;
use crate::process::slots::rendezvous::rendezvous_order;
use crate::process::slots::rendezvous::spread_order;
use crate::process::timers::MonotonicTime;
use crate::version::ids::BundleVersion;
use crate::version::ids::InstanceId;
use crate::version::ids::TeamId;

/// Pause after the first read that found no table; it doubles with each further one, up to 1.6 s.
const FIRST_ABSENT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of times that [`FIRST_ABSENT_PAUSE`] doubles.
const MAX_ABSENT_STEPS: u32 = 5;

/// Number of instances, the first in rank order, that decide on revocations, rates and witnesses.
const ACTING_RANKS: usize = 5;

/// A pending store call; there is at most one for each shard.
#[derive(Debug, Clone)]
struct StoreCall {
    sent: MonotonicTime,
    /// The table that the call writes; `None` for a read.
    written: Option<Box<ShareTable>>,
}

/// The state of one instance in one shard of teams.
///
/// The process calls [`ShareShard::tick`] every 20 ms and answers every store action exactly once.
#[derive(Debug, Clone)]
pub struct ShareShard {
    name: String,
    incarnation: InstanceIncarnation,
    settings: ShareSettings,
    rng: ChaCha8Rng,
    holder: ShareHolder,
    witness: ShareWitness,
    reconciler: ShareReconciler,
    members: Vec<ShareMember>,
    /// The index of this instance in the rendezvous order of the shard.
    rank: Option<usize>,
    bundle: BundleVersion,
    limits: BTreeMap<TeamId, TeamLimit>,
    /// The newest table version whose revision is known, and that revision.
    revision: (u64, u64),
    /// Whether the table must be read before the next write.
    needs_read: bool,
    /// Number of consecutive store calls without an answer.
    failures: u32,
    call: Option<StoreCall>,
    /// Whether the last read found no table.
    absent: bool,
    absent_reads: u32,
    next_read: MonotonicTime,
    next_push: MonotonicTime,
    /// When this instance first observed a member to which it should transfer units.
    join_seen_at: Option<MonotonicTime>,
}

impl ShareShard {
    /// Creates the state of a process that starts, with a random incarnation number.
    pub fn new(name: String, instance: InstanceId, settings: ShareSettings, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = InstanceIncarnation {
            instance,
            number: rng.random(),
        };
        Self {
            holder: ShareHolder::new(incarnation.clone(), settings.clone()),
            witness: ShareWitness::new(settings.ablation.no_witness_read),
            reconciler: ShareReconciler::new(settings.clone()),
            name,
            incarnation,
            settings,
            rng,
            members: Vec::new(),
            rank: None,
            bundle: BundleVersion(0),
            limits: BTreeMap::new(),
            revision: (0, 0),
            needs_read: false,
            failures: 0,
            call: None,
            absent: false,
            absent_reads: 0,
            next_read: MonotonicTime::default(),
            next_push: MonotonicTime::default(),
            join_seen_at: None,
        }
    }

    /// Returns the incarnation that the heartbeats of this instance must name.
    pub fn incarnation(&self) -> &InstanceIncarnation {
        &self.incarnation
    }

    /// Returns the holder, which admits requests.
    pub fn holder(&self) -> &ShareHolder {
        &self.holder
    }

    /// Sets the bundle in force and its rates for the shard's teams; older bundles are ignored.
    pub fn set_bundle(
        &mut self,
        bundle: BundleVersion,
        limits: BTreeMap<TeamId, TeamLimit>,
        now: MonotonicTime,
    ) {
        if bundle > self.bundle {
            self.bundle = bundle;
            self.limits = limits.clone();
            self.holder.set_limits(limits, now);
        }
    }

    /// Sets the live instances.
    pub fn set_members(&mut self, members: Vec<ShareMember>) {
        if members == self.members {
            return;
        }
        let live = members.iter().map(|m| m.incarnation.clone()).collect();
        self.holder.set_live(live);
        self.members = members;
        let order = rendezvous_order(&self.name, &zone_members(&self.members));
        self.rank = order.iter().position(|id| *id == self.incarnation.instance);
    }

    /// Admits, defers or refuses one request.
    pub fn admit(
        &mut self,
        team: &TeamId,
        attempt: AdmissionAttempt,
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) -> AdmissionOutcome {
        self.holder.admit(team, attempt, now, actions)
    }

    /// Removes a deferred request whose caller gave up.
    pub fn cancel_deferred(&mut self, team: &TeamId) {
        self.holder.cancel_deferred(team);
    }

    /// Starts to transfer all units to other owners, because the process stops.
    pub fn drain(&mut self) {
        self.holder.drain();
    }

    /// Returns whether a stopping instance owns no units and has no store call pending.
    pub fn is_drained(&self) -> bool {
        self.holder.is_draining()
            && self.call.is_none()
            && self
                .holder
                .table()
                .is_none_or(|t| t.units(&self.incarnation) == 0)
    }

    /// Carries out everything that is due.
    pub fn tick(&mut self, now: MonotonicTime, actions: &mut Vec<ShareAction>) {
        let mut out = Vec::new();
        self.holder.tick(now, &mut out);
        if let Some(table) = self.holder.table().cloned() {
            self.push_table(&table, now, &mut out);
            self.change_table(&table, now, &mut out);
        }
        self.read_if_due(now, &mut out);
        self.route(out, now, actions);
    }

    /// Handles a message from another instance.
    pub fn on_message(
        &mut self,
        from: &InstanceIncarnation,
        message: ShareMessage,
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) {
        let mut out = Vec::new();
        self.handle(from, message, now, &mut out);
        self.route(out, now, actions);
    }

    /// Handles the answer to the pending store call.
    pub fn on_store(
        &mut self,
        answer: StoreAnswer,
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) {
        let Some(call) = self.call.take() else {
            return;
        };
        let mut out = Vec::new();
        match (answer, call.written) {
            (StoreAnswer::Value(Some((revision, table))), _) => {
                self.record_stored(&table, revision, call.sent, now);
            }
            (StoreAnswer::Value(None), _) => {
                self.absent = true;
                self.failures = 0;
                self.next_read = now + self.absent_pause();
            }
            (StoreAnswer::Written { revision }, Some(table)) => {
                self.record_stored(&table, revision, call.sent, now);
                self.announce(&table, &mut out);
            }
            (StoreAnswer::Conflict, _) => {
                // Another instance wrote a table, so the next call must read it.
                self.absent = false;
                self.needs_read = true;
                self.next_read = now;
            }
            // An unanswered write may have taken effect, so the next call is a read.
            _ => {
                let backoff = Duration::from_millis(1000 << self.failures.min(3));
                self.next_read = now + backoff.mul_f64(self.rng.random_range(0.8..1.2));
                self.failures += 1;
                self.needs_read = true;
            }
        }
        self.route(out, now, actions);
    }

    /// Returns how long to wait after a read found no table.
    ///
    /// The first pauses are short because no request is admitted until the first table exists.
    fn absent_pause(&mut self) -> Duration {
        let steps = self.absent_reads.min(MAX_ABSENT_STEPS);
        self.absent_reads += 1;
        FIRST_ABSENT_PAUSE * (1 << steps)
    }

    fn record_stored(
        &mut self,
        table: &ShareTable,
        revision: u64,
        sent: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.absent = false;
        self.absent_reads = 0;
        self.failures = 0;
        self.needs_read = false;
        self.revision = self.revision.max((table.version, revision));
        self.witness.record_table(table, true);
        self.adopt(table, now);
        self.holder.renew_by_store(table.version, sent, now);
    }

    fn handle(
        &mut self,
        from: &InstanceIncarnation,
        message: ShareMessage,
        now: MonotonicTime,
        out: &mut Vec<ShareAction>,
    ) {
        let to = from.instance.clone();
        match message {
            ShareMessage::Request(requests) => self.holder.on_request(from, &requests, now, out),
            ShareMessage::Grant(grants) => self.holder.on_grant(from, &grants, now, out),
            ShareMessage::Recall { team, keep } => {
                self.holder.give_back(&team, from, keep, now, out);
            }
            ShareMessage::Renew { sequence, version } => {
                if let Some(message) = self.witness.answer_renewal(from, sequence, version) {
                    out.push(ShareAction::Send { to, message });
                }
            }
            ShareMessage::Vouch { sequence } => {
                self.holder.renew_by_witness(&to, sequence, now);
            }
            ShareMessage::NeedTable { version } => {
                if let Some(table) = self.holder.table().filter(|t| t.version > version) {
                    let message = ShareMessage::Table(Box::new(ShareTable::clone(table)));
                    out.push(ShareAction::Send { to, message });
                }
            }
            ShareMessage::Table(table) => {
                self.witness.record_table(&table, false);
                self.adopt(&table, now);
                let version = self.witness.table().map_or(0, |table| table.version);
                let message = ShareMessage::TableAck { version };
                out.push(ShareAction::Send { to, message });
            }
            ShareMessage::TableAck { version } => self.reconciler.record_ack(&to, version),
        }
    }

    /// Handles messages to this instance itself, and passes on the rest.
    fn route(&mut self, out: Vec<ShareAction>, now: MonotonicTime, actions: &mut Vec<ShareAction>) {
        for action in out {
            match action {
                ShareAction::Send { to, message } if to == self.incarnation.instance => {
                    let mut more = Vec::new();
                    let incarnation = self.incarnation.clone();
                    self.handle(&incarnation, message, now, &mut more);
                    self.route(more, now, actions);
                }
                action => actions.push(action),
            }
        }
    }

    fn adopt(&mut self, table: &ShareTable, now: MonotonicTime) {
        if !self.holder.adopt(table, now) {
            // Others took over the units while this process was silent: use a new incarnation.
            self.incarnation.number = self.rng.random();
            let mut holder = ShareHolder::new(self.incarnation.clone(), self.settings.clone());
            holder.set_limits(self.limits.clone(), now);
            holder.set_live(self.members.iter().map(|m| m.incarnation.clone()).collect());
            holder.adopt(table, now);
            self.holder = holder;
        }
    }

    fn announce(&self, table: &ShareTable, out: &mut Vec<ShareAction>) {
        let mut receivers = table.witnesses.clone();
        receivers.extend(table.previous_witnesses.iter().cloned());
        receivers.extend(table.owners.keys().map(|owner| owner.instance.clone()));
        receivers.sort();
        receivers.dedup();
        for to in receivers {
            let message = ShareMessage::Table(Box::new(ShareTable::clone(table)));
            out.push(ShareAction::Send { to, message });
        }
    }

    /// Sends the table to witnesses that have not acknowledged it.
    ///
    /// Only the first two instances in rank order do so, the second five times less often.
    fn push_table(&mut self, table: &ShareTable, now: MonotonicTime, out: &mut Vec<ShareAction>) {
        if now < self.next_push {
            return;
        }
        let rank = self.rank.unwrap_or(usize::MAX);
        let factor = if rank == 0 { 1 } else { 5 };
        self.next_push = now + self.settings.reconciler_stagger / 5 * factor;
        if rank > 1 {
            return;
        }
        for to in self.reconciler.missing_acks(table) {
            let message = ShareMessage::Table(Box::new(ShareTable::clone(table)));
            out.push(ShareAction::Send { to, message });
        }
    }

    fn change_table(&mut self, table: &ShareTable, now: MonotonicTime, out: &mut Vec<ShareAction>) {
        let view = ReconcilerView {
            shard: &self.name,
            rank: self.rank,
            members: &self.members,
            bundle: self.bundle,
            limits: &self.limits,
        };
        // Only the first few instances act, so the cost does not grow with the fleet.
        let acts = self.rank.is_some_and(|rank| rank < ACTING_RANKS);
        let mut next = acts
            .then(|| self.reconciler.decide(table, &view, now))
            .flatten();
        if self.call.is_some() {
            return;
        }
        if next.is_none() {
            next = self.plan_transfer(table, now, out);
        }
        if let Some(next) = next {
            let (version, revision) = self.revision;
            if version == table.version && !self.needs_read {
                self.write(next, revision, now, out);
            } else {
                self.needs_read = true;
            }
        }
    }

    /// Returns a table that transfers units to instances that joined, or all units if the process
    /// stops; `None` if no transfer is due or loans must be returned first.
    fn plan_transfer(
        &mut self,
        table: &ShareTable,
        now: MonotonicTime,
        out: &mut Vec<ShareAction>,
    ) -> Option<ShareTable> {
        let units = table.units(&self.incarnation);
        if units == 0 || now >= self.holder.lease_end() {
            return None;
        }
        let is_full = table.owners.len() >= self.settings.max_owners;
        if is_full && !self.holder.is_draining() && !self.holder.is_transferring() {
            return None;
        }
        let mut recipients =
            share_recipients(table, &self.name, &self.members, self.settings.max_owners);
        let fair_units = TOTAL_UNITS / u32::try_from(recipients.len().max(1)).unwrap_or(1);
        recipients.retain(|recipient| *recipient != self.incarnation);
        let mut retained = 0;
        if !self.holder.is_draining() {
            recipients.retain(|recipient| table.units(recipient) < fair_units / 2);
            let largest = table.owners.iter().max_by_key(|(_, units)| **units);
            let is_largest = largest.is_some_and(|(owner, _)| *owner == self.incarnation);
            if !is_largest || units <= fair_units + fair_units / 2 || recipients.is_empty() {
                self.join_seen_at = None;
                // The write of a pending transfer may still take effect: end it by a newer version.
                return self.holder.is_transferring().then(|| table.next());
            }
            let since = *self.join_seen_at.get_or_insert(now);
            if now.saturating_since(since) < self.settings.reconciler_stagger / 2 {
                return None;
            }
            retained = fair_units;
        }
        if recipients.is_empty() || !self.holder.start_transfer(retained, now, out) {
            return None;
        }
        let mut next = table.next();
        next.transfer_units(&self.incarnation, units - retained, &recipients);
        next.check().is_ok().then_some(next)
    }

    /// Reads the table when a read is due, or creates it if it is absent and this instance is the
    /// first in rank order.
    fn read_if_due(&mut self, now: MonotonicTime, out: &mut Vec<ShareAction>) {
        if self.call.is_some() || now < self.next_read {
            return;
        }
        if self.absent && self.rank == Some(0) && self.bundle > BundleVersion(0) {
            let mut witnesses = spread_order(&self.name, &zone_members(&self.members));
            witnesses.truncate(self.settings.witnesses);
            let table = ShareTable {
                bundle: self.bundle,
                teams: self.limits.clone(),
                ..ShareTable::first(self.incarnation.clone(), witnesses)
            };
            self.next_read = now + self.settings.reconciler_stagger;
            self.write(table, 0, now, out);
            return;
        }
        let table = self.holder.table();
        let is_witness = table.is_some_and(|t| {
            t.witnesses.contains(&self.incarnation.instance)
                || t.previous_witnesses.contains(&self.incarnation.instance)
        });
        let unread = is_witness && !self.witness.has_read_store();
        let owns = self.holder.units() > 0;
        let half = self.settings.lease / 2;
        let lapsing = owns && self.holder.lease_end() < now + half;
        let pause = if table.is_none() || unread || lapsing || self.needs_read {
            self.settings.lease.mul_f64(self.rng.random_range(0.5..0.6))
        } else if is_witness {
            self.settings
                .witness_read
                .mul_f64(self.rng.random_range(0.8..1.2))
        } else {
            return;
        };
        self.next_read = now + pause;
        self.call = Some(StoreCall {
            sent: now,
            written: None,
        });
        out.push(ShareAction::Read);
    }

    fn write(
        &mut self,
        table: ShareTable,
        expected_revision: u64,
        now: MonotonicTime,
        out: &mut Vec<ShareAction>,
    ) {
        let table = Box::new(table);
        self.call = Some(StoreCall {
            sent: now,
            written: Some(table.clone()),
        });
        out.push(ShareAction::Write {
            expected_revision,
            table,
        });
    }
}
