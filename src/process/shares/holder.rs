//! Admits one instance's requests within its share of the rates of a shard.
//!
//! Keeps the token buckets and the owner's lease, and lends, borrows and returns fractions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::process::shares::bucket::BorrowedShare;
use crate::process::shares::bucket::LentShare;
use crate::process::shares::bucket::MIN_FAN_OUT;
use crate::process::shares::bucket::OwnShare;
use crate::process::shares::bucket::TeamBucket;
use crate::process::shares::incarnation::InstanceIncarnation;
use crate::process::shares::messages::LoanGrant;
use crate::process::shares::messages::LoanRequest;
use crate::process::shares::messages::ShareAction;
use crate::process::shares::messages::ShareMessage;
use crate::process::shares::settings::ShareSettings;
use crate::process::shares::table::ShareTable;
use crate::process::shares::table::TOTAL_UNITS;
use crate::process::shares::table::TeamLimit;
use crate::process::timers::MonotonicTime;
use crate::version::ids::InstanceId;
use crate::version::ids::TeamId;

/// The result of an admission attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// One token was charged; the request may run.
    Admitted,
    /// More share is expected: the caller tries again when it is woken, and gives up after
    /// [`ShareSettings::max_defer`].
    Deferred,
    /// The team is above its rate.
    Refused,
}

/// Whether a request is tried for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAttempt {
    /// The request has just arrived.
    First,
    /// An earlier attempt of the same request was deferred.
    Again,
}

/// A transfer of units to other owners that the table does not contain yet.
#[derive(Debug, Clone, Copy)]
struct UnitTransfer {
    /// The units that this owner still uses.
    retained: u32,
    /// The table version from which the transfer starts; a newer version ends it.
    base_version: u64,
}

/// The token buckets of one instance for the teams of one shard, under one lease.
#[derive(Debug, Clone)]
pub struct ShareHolder {
    incarnation: InstanceIncarnation,
    settings: ShareSettings,
    table: Option<Arc<ShareTable>>,
    /// The rates of the bundle in force here.
    limits: BTreeMap<TeamId, TeamLimit>,
    teams: BTreeMap<TeamId, TeamBucket>,
    live: BTreeSet<InstanceIncarnation>,
    lease_end: MonotonicTime,
    next_renewal: MonotonicTime,
    /// When each recent renewal was sent, by its sequence number.
    renewals: BTreeMap<u64, MonotonicTime>,
    /// The send time of the latest renewal that each witness vouched for.
    votes: BTreeMap<InstanceId, MonotonicTime>,
    /// The last number given to a loan request or a renewal.
    last_number: u64,
    transfer: Option<UnitTransfer>,
    draining: bool,
}

impl ShareHolder {
    /// Creates a holder that owns nothing.
    pub fn new(incarnation: InstanceIncarnation, settings: ShareSettings) -> Self {
        Self {
            incarnation,
            settings,
            table: None,
            limits: BTreeMap::new(),
            teams: BTreeMap::new(),
            live: BTreeSet::new(),
            lease_end: MonotonicTime::default(),
            next_renewal: MonotonicTime::default(),
            renewals: BTreeMap::new(),
            votes: BTreeMap::new(),
            last_number: 0,
            transfer: None,
            draining: false,
        }
    }

    /// Returns the newest table that this instance has adopted.
    pub fn table(&self) -> Option<&Arc<ShareTable>> {
        self.table.as_ref()
    }

    /// Returns when the lease on the own units ends.
    pub fn lease_end(&self) -> MonotonicTime {
        self.lease_end
    }

    /// Returns the number of own units in use: those in the table, less any in a pending transfer.
    pub fn units(&self) -> u32 {
        let units = self
            .table
            .as_ref()
            .map_or(0, |table| table.units(&self.incarnation));
        match self.transfer {
            Some(transfer) => units.min(transfer.retained),
            None => units,
        }
    }

    /// Returns the usable fraction of a team's limit, own and borrowed.
    pub fn held_fraction(&self, team: &TeamId, now: MonotonicTime) -> f64 {
        let own = self.own_share(team);
        self.teams.get(team).map_or_else(
            || {
                if now < own.lease_end {
                    own.fraction
                } else {
                    0.0
                }
            },
            |bucket| bucket.held_fraction(&own, now),
        )
    }

    /// Sets the rates of the bundle in force; lower ones apply at once, higher ones once the table
    /// has them.
    pub fn set_limits(&mut self, limits: BTreeMap<TeamId, TeamLimit>, now: MonotonicTime) {
        self.advance_all(now);
        for (team, bucket) in &mut self.teams {
            let Some(limit) = limits.get(team) else {
                bucket.borrowed.clear();
                continue;
            };
            for borrowed in bucket.borrowed.values_mut() {
                if !self.settings.ablation.no_immediate_lowering {
                    borrowed.limit = borrowed.limit.min(*limit);
                }
            }
        }
        self.limits = limits;
        self.open_buckets(now);
        self.cap_all(now);
    }

    /// Creates a bucket for each team, so that an owner's share accrues before the first request.
    ///
    /// Buckets start empty because an earlier owner may have used the burst.
    fn open_buckets(&mut self, now: MonotonicTime) {
        if self.units() == 0 {
            return;
        }
        for team in self.limits.keys() {
            let bucket = self
                .teams
                .entry(team.clone())
                .or_insert_with(|| TeamBucket::new(now));
            if bucket.tokens < 1.0 {
                // The first tokens of a new share accrue soon: defer requests until then.
                bucket.pending_until = bucket.pending_until.max(now + self.settings.max_defer);
            }
        }
    }

    /// Sets the live incarnations; loans are requested only from these.
    pub fn set_live(&mut self, live: BTreeSet<InstanceIncarnation>) {
        self.live = live;
    }

    /// Adopts a table that is or was in the store if it is newer than the current one.
    ///
    /// Returns false if this incarnation lost its units to other owners without transferring them
    /// itself. It must then continue under a new incarnation number.
    pub fn adopt(&mut self, table: &ShareTable, now: MonotonicTime) -> bool {
        if self
            .table
            .as_ref()
            .is_some_and(|t| t.version >= table.version)
        {
            return true;
        }
        self.advance_all(now);
        let owned = self
            .table
            .as_ref()
            .is_some_and(|t| t.units(&self.incarnation) > 0);
        let owns = table.units(&self.incarnation) > 0;
        let transferred_all = self.transfer.is_some_and(|transfer| transfer.retained == 0);
        if self
            .transfer
            .is_some_and(|transfer| table.version > transfer.base_version)
        {
            self.transfer = None;
        }
        if self
            .table
            .as_ref()
            .is_some_and(|t| t.witnesses != table.witnesses)
        {
            self.votes.clear();
        }
        self.table = Some(Arc::new(table.clone()));
        self.next_renewal = now;
        self.open_buckets(now);
        self.cap_all(now);
        !owned || owns || transferred_all
    }

    /// Renews the lease after the store answered a call sent at `sent` with this table version.
    ///
    /// The lease counts from when the call was sent.
    pub fn renew_by_store(&mut self, version: u64, sent: MonotonicTime, now: MonotonicTime) {
        let current = self.table.as_ref().is_some_and(|t| t.version == version);
        if current && self.units() > 0 {
            self.extend_lease(sent + self.settings.lease, now);
        }
    }

    /// Records that a witness vouched for a renewal.
    ///
    /// The lease counts from the latest send time for which a majority of the witnesses vouched.
    pub fn renew_by_witness(&mut self, witness: &InstanceId, sequence: u64, now: MonotonicTime) {
        let Some(&sent) = self.renewals.get(&sequence) else {
            return;
        };
        let Some(table) = &self.table else {
            return;
        };
        if !table.witnesses.contains(witness) || table.units(&self.incarnation) == 0 {
            return;
        }
        let latest = self.votes.entry(witness.clone()).or_insert(sent);
        *latest = (*latest).max(sent);
        let mut times = self.votes.values().copied().collect::<Vec<_>>();
        times.sort_by(|a, b| b.cmp(a));
        if let Some(&sent) = times.get(table.witnesses.len() / 2)
            && !self.settings.ablation.no_witness_renewal
        {
            self.extend_lease(sent + self.settings.lease, now);
        }
    }

    /// Admits, defers or refuses one request.
    pub fn admit(
        &mut self,
        team: &TeamId,
        attempt: AdmissionAttempt,
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) -> AdmissionOutcome {
        if !self.limits.contains_key(team) {
            return AdmissionOutcome::Refused;
        }
        let own = self.own_share(team);
        let settings = &self.settings;
        let bucket = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| TeamBucket::new(now));
        bucket.advance(&own, 1.0 - settings.clock_drift, now);
        let first = attempt == AdmissionAttempt::First;
        if first {
            bucket.record_arrival(settings.demand_window, now);
        }
        let ahead = if first { bucket.waiting as f64 } else { 0.0 };
        let admitted = bucket.tokens >= 1.0 + ahead;
        if admitted {
            bucket.tokens -= 1.0;
        }
        let low = 1.0 + bucket.waiting as f64 + bucket.demand(settings.demand_window, now) * 0.05;
        if bucket.tokens < low {
            self.request_loans(team, !admitted, now, actions);
        }
        let expects = self.expects_share(team, now);
        let Some(bucket) = self.teams.get_mut(team) else {
            return AdmissionOutcome::Refused;
        };
        let max_waiting = 1.0 + self.limits[team].rate.0 * self.settings.max_defer.as_secs_f64();
        let outcome = if admitted {
            AdmissionOutcome::Admitted
        } else if expects && bucket.waiting as f64 <= max_waiting {
            AdmissionOutcome::Deferred
        } else {
            AdmissionOutcome::Refused
        };
        match (attempt, outcome) {
            (AdmissionAttempt::First, AdmissionOutcome::Deferred) => bucket.waiting += 1,
            (AdmissionAttempt::First, _)
            | (AdmissionAttempt::Again, AdmissionOutcome::Deferred) => {}
            (AdmissionAttempt::Again, _) => bucket.waiting = bucket.waiting.saturating_sub(1),
        }
        outcome
    }

    /// Removes a deferred request whose caller gave up.
    pub fn cancel_deferred(&mut self, team: &TeamId) {
        if let Some(bucket) = self.teams.get_mut(team) {
            bucket.waiting = bucket.waiting.saturating_sub(1);
        }
    }

    /// Renews the lease and the loans that are due, and returns idle loans.
    pub fn tick(&mut self, now: MonotonicTime, actions: &mut Vec<ShareAction>) {
        self.advance_all(now);
        if now >= self.next_renewal {
            self.renew(now, actions);
        }
        let mut requests: BTreeMap<InstanceId, Vec<LoanRequest>> = BTreeMap::new();
        for (team, bucket) in &mut self.teams {
            let own = own_share(
                &self.settings,
                self.table.as_deref(),
                &self.incarnation,
                self.transfer,
                self.lease_end,
                &self.limits,
                team,
            );
            let idle = bucket.waiting == 0
                && now.saturating_since(bucket.last_arrival) >= self.settings.idle_return;
            let demand = bucket.demand(self.settings.demand_window, now);
            let idle = idle || self.draining;
            let held = bucket.held_fraction(&own, now);
            let mut ended = Vec::new();
            let mut returned_all = 0.0;
            for (owner, borrowed) in &mut bucket.borrowed {
                if borrowed.fraction <= 0.0
                    && borrowed.outstanding.is_none_or(|(_, sent)| {
                        now.saturating_since(sent) > self.settings.loan_term
                    })
                {
                    ended.push(owner.clone());
                    continue;
                }
                if borrowed.fraction <= 0.0
                    || now.saturating_since(borrowed.requested_at) < self.settings.loan_renewal
                {
                    continue;
                }
                self.last_number += 1;
                let returned = if idle && held > 0.0 {
                    bucket.tokens * borrowed.fraction / held
                } else {
                    0.0
                };
                returned_all += returned;
                requests
                    .entry(owner.instance.clone())
                    .or_default()
                    .push(LoanRequest {
                        team: team.clone(),
                        number: self.last_number,
                        holds: if idle { 0.0 } else { borrowed.fraction },
                        returned,
                        demand: if idle { 0.0 } else { demand },
                    });
                if idle {
                    ended.push(owner.clone());
                } else {
                    borrowed.outstanding = Some((self.last_number, now));
                    borrowed.requested_at = now;
                }
            }
            bucket.tokens -= returned_all;
            for owner in ended {
                bucket.borrowed.remove(&owner);
            }
            bucket.cap_tokens(&own, now);
        }
        for (to, entries) in requests {
            actions.push(ShareAction::Send {
                to,
                message: ShareMessage::Request(entries),
            });
        }
    }

    /// Answers a borrower's loan requests, as owner.
    pub fn on_request(
        &mut self,
        from: &InstanceIncarnation,
        requests: &[LoanRequest],
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) {
        let mut grants = Vec::new();
        for request in requests {
            if let Some(grant) = self.answer_request(from, request, now, actions) {
                grants.push(grant);
            }
        }
        if !grants.is_empty() {
            actions.push(ShareAction::Send {
                to: from.instance.clone(),
                message: ShareMessage::Grant(grants),
            });
        }
    }

    fn answer_request(
        &mut self,
        from: &InstanceIncarnation,
        request: &LoanRequest,
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) -> Option<LoanGrant> {
        let own = self.own_share(&request.team);
        let settings = &self.settings;
        let team = &request.team;
        let bucket = self
            .teams
            .entry(team.clone())
            .or_insert_with(|| TeamBucket::new(now));
        bucket.advance(&own, 1.0 - settings.clock_drift, now);
        if let Some(lent) = bucket.lent.get_mut(from) {
            if request.number <= lent.number {
                return None;
            }
            // The borrower ignores answers to earlier requests, so it holds exactly what it states.
            let back = (lent.fraction - request.holds).max(0.0);
            lent.fraction = lent.fraction.min(request.holds.max(0.0));
            lent.number = request.number;
            lent.demand = request.demand;
            let returned = request.returned.max(0.0).min(back * own.limit.burst.0);
            bucket.tokens += returned;
        }
        bucket.cap_tokens(&own, now);
        if request.demand <= 0.0 {
            return None;
        }
        let left = own.lease_end.saturating_since(now);
        let term = if settings.ablation.no_loan_bound {
            settings.loan_term
        } else {
            settings.loan_term.min(left)
        };
        let refused = LoanGrant {
            team: team.clone(),
            number: request.number,
            fraction: 0.0,
            tokens: 0.0,
            limit: own.limit,
            term_ms: 0,
            keep: 0.0,
            pending_ms: 0,
        };
        if own.fraction <= 0.0
            || term < Duration::from_millis(1)
            || self.draining
            || settings.ablation.no_loans
        {
            return Some(refused);
        }
        let window = settings.demand_window;
        let own_demand = bucket.demand(window, now);
        let lent = bucket
            .lent
            .entry(from.clone())
            .or_insert_with(|| LentShare {
                fraction: 0.0,
                ends: now,
                number: request.number,
                demand: request.demand,
                recalled_at: None,
            });
        lent.ends = lent.ends.max(now + settings.safe_wait(term));
        let held = lent.fraction;
        let total = own_demand + bucket.lent.values().map(|lent| lent.demand).sum::<f64>();
        let target = own.fraction * request.demand / total;
        let free = bucket.free_fraction(&own, now);
        let added = (target - held).clamp(0.0, free);
        let tokens = if free > 0.0 {
            bucket.tokens * added / free
        } else {
            0.0
        };
        if let Some(lent) = bucket.lent.get_mut(from) {
            if !settings.ablation.no_deduction {
                lent.fraction += added;
            }
            if lent.fraction <= target * 1.2 {
                lent.recalled_at = None;
            }
        }
        if !settings.ablation.no_deduction {
            bucket.tokens -= tokens;
        }
        let short = target - held - added > 0.01 * own.fraction;
        let mut pending = if short {
            recall(bucket, Some(from), own.fraction, total, team, now, actions)
        } else {
            Duration::ZERO
        };
        if self.transfer.is_some() {
            // Units in a transfer have no owner until their new owner has the table.
            pending = pending.max(settings.max_defer);
        }
        Some(LoanGrant {
            fraction: added,
            tokens,
            term_ms: u64::try_from(term.as_millis()).unwrap_or(0),
            keep: if held > target * 1.2 {
                target
            } else {
                held + added
            },
            pending_ms: u64::try_from(pending.as_millis()).unwrap_or(0),
            ..refused
        })
    }

    /// Applies an owner's grants, as borrower.
    pub fn on_grant(
        &mut self,
        from: &InstanceIncarnation,
        grants: &[LoanGrant],
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) {
        for grant in grants {
            let own = self.own_share(&grant.team);
            let settings = &self.settings;
            let Some(&limit) = self.limits.get(&grant.team) else {
                continue;
            };
            let Some(bucket) = self.teams.get_mut(&grant.team) else {
                continue;
            };
            bucket.advance(&own, 1.0 - settings.clock_drift, now);
            let Some(borrowed) = bucket.borrowed.get_mut(from) else {
                continue;
            };
            let sent = match borrowed.outstanding {
                Some((number, sent)) if number == grant.number => sent,
                _ if settings.ablation.no_duplicate_check => now,
                _ => continue,
            };
            borrowed.outstanding = None;
            let ends = sent + Duration::from_millis(grant.term_ms);
            if grant.term_ms == 0 || ends <= now {
                continue;
            }
            bucket.answered_at = now;
            borrowed.ends = if settings.ablation.no_lease_check {
                MonotonicTime::from_nanos(u64::MAX)
            } else {
                borrowed.ends.max(ends)
            };
            borrowed.limit = if settings.ablation.no_immediate_lowering {
                grant.limit
            } else {
                grant.limit.min(limit)
            };
            borrowed.fraction += grant.fraction.max(0.0);
            bucket.tokens += grant.tokens.max(0.0);
            let exceeds_keep = borrowed.fraction > grant.keep * 1.01;
            if grant.fraction > 0.0 {
                bucket.request_pause = settings.request_pause;
                bucket.fan_out = MIN_FAN_OUT;
                bucket.next_request = bucket.next_request.min(now + settings.request_pause);
            }
            if grant.pending_ms > 0 {
                let pending = Duration::from_millis(grant.pending_ms);
                let grace = if pending > settings.request_timeout {
                    settings.recovery
                } else {
                    Duration::ZERO
                };
                bucket.pending_until = bucket.pending_until.max(now + pending + grace);
                let pause = bucket
                    .request_pause
                    .min(settings.request_timeout)
                    .max(settings.request_pause);
                bucket.next_request = bucket.next_request.min(now + pause);
            }
            bucket.cap_tokens(&own, now);
            if bucket.waiting > 0 {
                actions.push(ShareAction::Wake(grant.team.clone()));
            }
            if exceeds_keep {
                self.give_back(&grant.team, from, grant.keep, now, actions);
            }
        }
    }

    /// Returns the excess of a loan over the fraction `keep` to its owner.
    pub fn give_back(
        &mut self,
        team: &TeamId,
        owner: &InstanceIncarnation,
        keep: f64,
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) {
        let own = self.own_share(team);
        let settings = &self.settings;
        let Some(bucket) = self.teams.get_mut(team) else {
            return;
        };
        bucket.advance(&own, 1.0 - settings.clock_drift, now);
        let held = bucket.held_fraction(&own, now);
        let demand = bucket.demand(settings.demand_window, now).max(0.01);
        let Some(borrowed) = bucket.borrowed.get_mut(owner) else {
            return;
        };
        let back = borrowed.fraction - keep.max(0.0);
        if back <= 0.0 || held <= 0.0 {
            return;
        }
        let returned = bucket.tokens * back / held;
        self.last_number += 1;
        borrowed.fraction -= back;
        borrowed.outstanding = Some((self.last_number, now));
        borrowed.requested_at = now;
        bucket.tokens -= returned;
        let request = LoanRequest {
            team: team.clone(),
            number: self.last_number,
            holds: borrowed.fraction,
            returned,
            demand,
        };
        bucket.cap_tokens(&own, now);
        actions.push(ShareAction::Send {
            to: owner.instance.clone(),
            message: ShareMessage::Request(vec![request]),
        });
    }

    /// Stops using all but `retained` own units, before the rest is transferred to other owners.
    ///
    /// Returns whether the table may be written: no team's loans exceed the remaining units.
    /// Otherwise the excess is recalled.
    pub fn start_transfer(
        &mut self,
        retained: u32,
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) -> bool {
        self.advance_all(now);
        let Some(table) = &self.table else {
            return false;
        };
        let base_version = table.version;
        self.transfer = Some(UnitTransfer {
            retained,
            base_version,
        });
        let fraction = f64::from(retained) / f64::from(TOTAL_UNITS);
        let mut ready = true;
        for (team, bucket) in &mut self.teams {
            if bucket.lent_fraction() <= fraction {
                continue;
            }
            ready = false;
            let total = bucket.demand(self.settings.demand_window, now)
                + bucket.lent.values().map(|lent| lent.demand).sum::<f64>();
            recall(bucket, None, fraction, total.max(0.01), team, now, actions);
        }
        self.cap_all(now);
        ready
    }

    /// Returns whether a transfer of own units is pending.
    pub fn is_transferring(&self) -> bool {
        self.transfer.is_some()
    }

    /// Stops borrowing and lending, because the process stops.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether [`Self::drain`] was called.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Requests loans from other owners, and recalls lent share that this instance needs itself.
    ///
    /// `urgent`: a request was not admitted, so the shorter pause between rounds applies.
    fn request_loans(
        &mut self,
        team: &TeamId,
        urgent: bool,
        now: MonotonicTime,
        actions: &mut Vec<ShareAction>,
    ) {
        let own = self.own_share(team);
        let settings = &self.settings;
        let (Some(table), Some(bucket)) = (&self.table, self.teams.get_mut(team)) else {
            return;
        };
        let next = if urgent {
            bucket.next_request
        } else {
            bucket.next_early_request
        };
        if now < next || self.draining {
            return;
        }
        bucket.next_early_request = now + settings.early_request_pause;
        let held = bucket.held_fraction(&own, now);
        if held >= 0.9999 {
            return;
        }
        let pause = bucket.request_pause.max(settings.request_pause);
        bucket.next_request = now + pause;
        bucket.request_pause = (pause * 2).min(settings.request_pause_max);
        let demand = bucket.demand(settings.demand_window, now);
        if own.fraction > 0.0 && bucket.lent_fraction() > 0.0 {
            let total = demand + bucket.lent.values().map(|lent| lent.demand).sum::<f64>();
            let target = own.fraction * demand / total;
            if bucket.free_fraction(&own, now) < target * 0.8 {
                let pending = recall(bucket, None, own.fraction, total, team, now, actions);
                let grace = if pending > settings.request_timeout {
                    settings.recovery
                } else {
                    Duration::ZERO
                };
                if pending > Duration::ZERO {
                    bucket.pending_until = bucket.pending_until.max(now + pending + grace);
                }
            }
        }
        // Start with as many owners as the demand needs, and double their number each round.
        let owners = table
            .owners
            .keys()
            .filter(|o| {
                **o != self.incarnation && !table.revoked.contains(*o) && self.live.contains(*o)
            })
            .collect::<Vec<_>>();
        if owners.is_empty() {
            return;
        }
        let fraction = (1.5 * demand / own.limit.rate.0.max(0.001)).min(1.0);
        let needed = (fraction * owners.len() as f64).ceil() as usize;
        let fan_out = needed.max(bucket.fan_out).min(owners.len());
        bucket.fan_out = fan_out * 2;
        let first = usize::try_from(self.incarnation.number % owners.len() as u64).unwrap_or(0);
        for owner in owners.iter().cycle().skip(first).take(fan_out).copied() {
            let borrowed = bucket
                .borrowed
                .entry(owner.clone())
                .or_insert_with(|| BorrowedShare {
                    fraction: 0.0,
                    limit: own.limit,
                    ends: now,
                    outstanding: None,
                    requested_at: now,
                });
            let is_pending = borrowed
                .outstanding
                .is_some_and(|(_, sent)| now.saturating_since(sent) < settings.request_timeout);
            if is_pending {
                continue;
            }
            self.last_number += 1;
            borrowed.outstanding = Some((self.last_number, now));
            borrowed.requested_at = now;
            let request = LoanRequest {
                team: team.clone(),
                number: self.last_number,
                holds: borrowed.fraction,
                returned: 0.0,
                demand,
            };
            actions.push(ShareAction::Send {
                to: owner.instance.clone(),
                message: ShareMessage::Request(vec![request]),
            });
        }
    }

    /// Returns whether this instance owns units under a lease, or a live instance can lend some.
    fn has_share_source(&self, now: MonotonicTime) -> bool {
        let Some(table) = &self.table else {
            return false;
        };
        if self.units() > 0 {
            return now < self.lease_end;
        }
        let is_lender = |owner: &&InstanceIncarnation| {
            !table.revoked.contains(*owner) && self.live.contains(*owner)
        };
        table.owners.keys().any(|owner| is_lender(&owner))
    }

    /// Returns whether an owner decided on a team's share after a request arrived: this instance
    /// under its lease, or another one by a grant.
    pub fn is_decided(&self, team: &TeamId, arrived: MonotonicTime, now: MonotonicTime) -> bool {
        let owns = self.units() > 0 && now < self.lease_end;
        owns || self
            .teams
            .get(team)
            .is_some_and(|bucket| bucket.answered_at >= arrived)
    }

    /// Returns whether a team may soon have more share.
    fn expects_share(&self, team: &TeamId, now: MonotonicTime) -> bool {
        // Without a table, a lease or an owner, whether the team is above its rate is unknown.
        if !self.has_share_source(now) || self.transfer.is_some() {
            return true;
        }
        self.teams.get(team).is_some_and(|bucket| {
            // Answers can be late on a busy processor. A loan request is repeated after
            // `request_timeout`, but counts as pending up to `max_defer`.
            let is_requested = |borrowed: &BorrowedShare| {
                borrowed
                    .outstanding
                    .is_some_and(|(_, sent)| now.saturating_since(sent) < self.settings.max_defer)
            };
            now < bucket.pending_until || bucket.borrowed.values().any(is_requested)
        })
    }

    fn renew(&mut self, now: MonotonicTime, actions: &mut Vec<ShareAction>) {
        self.next_renewal = now + self.settings.lease / 3;
        let Some(table) = &self.table else {
            return;
        };
        self.last_number += 1;
        let sequence = self.last_number;
        self.renewals.insert(sequence, now);
        let horizon = self.settings.lease;
        self.renewals
            .retain(|_, sent| now.saturating_since(*sent) < horizon);
        let message = ShareMessage::Renew {
            sequence,
            version: table.version,
        };
        // An instance without units only keeps its table current: one witness is enough.
        let all = table.units(&self.incarnation) > 0;
        let pick = usize::try_from(sequence).unwrap_or(0) % table.witnesses.len().max(1);
        for (index, witness) in table.witnesses.iter().enumerate() {
            if all || index == pick {
                actions.push(ShareAction::Send {
                    to: witness.clone(),
                    message: message.clone(),
                });
            }
        }
    }

    fn extend_lease(&mut self, end: MonotonicTime, now: MonotonicTime) {
        if end > self.lease_end {
            self.advance_all(now);
            self.lease_end = end;
        }
    }

    fn own_share(&self, team: &TeamId) -> OwnShare {
        own_share(
            &self.settings,
            self.table.as_deref(),
            &self.incarnation,
            self.transfer,
            self.lease_end,
            &self.limits,
            team,
        )
    }

    fn advance_all(&mut self, now: MonotonicTime) {
        self.for_each_bucket(|bucket, own, speed| bucket.advance(own, speed, now));
    }

    fn cap_all(&mut self, now: MonotonicTime) {
        self.for_each_bucket(|bucket, own, _| bucket.cap_tokens(own, now));
    }

    fn for_each_bucket(&mut self, action: impl Fn(&mut TeamBucket, &OwnShare, f64)) {
        let speed = 1.0 - self.settings.clock_drift;
        for (team, bucket) in &mut self.teams {
            let own = own_share(
                &self.settings,
                self.table.as_deref(),
                &self.incarnation,
                self.transfer,
                self.lease_end,
                &self.limits,
                team,
            );
            action(bucket, &own, speed);
        }
    }
}

/// Returns an owner's share of one team's limit.
fn own_share(
    settings: &ShareSettings,
    table: Option<&ShareTable>,
    incarnation: &InstanceIncarnation,
    transfer: Option<UnitTransfer>,
    lease_end: MonotonicTime,
    limits: &BTreeMap<TeamId, TeamLimit>,
    team: &TeamId,
) -> OwnShare {
    let units = table.map_or(0, |table| table.units(incarnation));
    let units = transfer.map_or(units, |transfer| units.min(transfer.retained));
    let in_table = table.and_then(|table| table.teams.get(team)).copied();
    let limit = match (in_table, limits.get(team)) {
        (Some(table), Some(_)) if settings.ablation.no_immediate_lowering => table,
        (Some(table), Some(bundle)) => table.min(*bundle),
        _ => TeamLimit {
            rate: Default::default(),
            burst: Default::default(),
        },
    };
    let lease_end = if settings.ablation.no_lease_check {
        MonotonicTime::from_nanos(u64::MAX)
    } else {
        lease_end
    };
    OwnShare {
        fraction: f64::from(units) / f64::from(TOTAL_UNITS),
        lease_end,
        limit,
    }
}

/// Recalls the excess from borrowers whose loans are above their target.
///
/// A borrower's target is `fraction` times its portion of the `total` demand. Returns the time
/// until the excess is free: the remaining term of the loan if a borrower does not answer.
fn recall(
    bucket: &mut TeamBucket,
    except: Option<&InstanceIncarnation>,
    fraction: f64,
    total: f64,
    team: &TeamId,
    now: MonotonicTime,
    actions: &mut Vec<ShareAction>,
) -> Duration {
    /// Expected time until a borrower returns what was recalled.
    const ANSWER_TIME_MS: u64 = 20;
    /// Time after a recall at which a borrower counts as silent.
    const SILENCE_MS: u64 = 50;
    let mut pending = Duration::ZERO;
    for (borrower, lent) in &mut bucket.lent {
        let target = fraction * lent.demand / total;
        if Some(borrower) == except || lent.fraction <= target * 1.2 + 0.005 * fraction {
            continue;
        }
        let since = *lent.recalled_at.get_or_insert(now);
        let silent = now.saturating_since(since) > Duration::from_millis(SILENCE_MS);
        let wait = if silent {
            lent.ends.saturating_since(now)
        } else {
            Duration::from_millis(ANSWER_TIME_MS)
        };
        pending = pending.max(wait);
        actions.push(ShareAction::Send {
            to: borrower.instance.clone(),
            message: ShareMessage::Recall {
                team: team.clone(),
                keep: target,
            },
        });
    }
    pending
}
