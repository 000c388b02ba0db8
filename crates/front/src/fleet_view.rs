//! An instance's local copy of the fleet, the endpoints and the configuration in the store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use platform::configuration;
use platform::evacuation;
use platform::registry;
use platform::store_client::StoreItem;
use session_core::cold_limit::DepartedMembers;
use session_core::commit_evidence::DepartureLog;
use session_core::commit_evidence::InstanceLife;
use session_core::commit_evidence::ProcessLives;
use session_core::endpoint_entry::EndpointEntry;
use session_core::evacuated_zones::EvacuatedZones;
use session_core::evacuated_zones::ZoneEvacuation;
use session_core::group_order::GroupOrder;
use session_core::ids::EndpointId;
use session_core::ids::InstanceId;
use session_core::ids::ServiceId;
use session_core::ids::ZoneId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::primary_permit;
use session_core::primary_permit::PermitRefusal;
use session_core::relay_tree::MAX_RELAY_AGE;
use session_core::serving_rules::ServingRules;
use session_core::store_revision::StoreRevision;

use crate::fleet_keys;
use crate::fleet_keys::FleetKey;
use crate::fleet_keys::LeaderValue;
use crate::fleet_keys::MemberValue;
use crate::instance_limits::LEASE_MARGIN;
use crate::instance_limits::LEASE_TIME;
use crate::packed_value::PackedValue;
use crate::relay_message::RelayItem;
use crate::relay_message::ViewItems;

/// Time after which an endpoint whose entry is missing is dropped. Entries that lapsed during a
/// store outage are back within about two seconds.
const MISSING_TIME: Duration = Duration::from_millis(2_500);

/// Time for which a dropped primary is still asked for its log, and others for the commits that it
/// acknowledged, when it is replaced.
const DROPPED_TIME: Duration = Duration::from_secs(15);

/// Maximum number of removed items kept for followers.
const MAX_REMOVALS: usize = 300;

/// A decoded value with the revision of its last change.
#[derive(Debug, Clone)]
pub struct Revised<T> {
    /// Store revision of the change.
    pub revision: StoreRevision,
    /// Decoded value.
    pub value: T,
    /// When this instance received the change.
    pub seen_at: MonotonicTime,
}

impl Revised<MemberValue> {
    /// Returns the registration of the member.
    pub fn life(&self) -> InstanceLife {
        InstanceLife {
            address: self.value.address,
            registered_at: self.revision,
        }
    }
}

/// View of the store, changed only by applying items of the store.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Current configuration, once one has been read.
    pub rules: Option<Rc<ServingRules>>,
    /// Registered endpoints.
    pub endpoints: HashMap<EndpointId, EndpointEntry>,
    /// Order of each group, by service.
    pub orders: HashMap<ServiceId, Revised<GroupOrder>>,
    /// Groups whose order was written in an earlier era of the store, which may have lost a later order
    /// since. The value is the time up to which this instance knew every order of that era.
    former_orders: HashMap<ServiceId, Option<MonotonicTime>>,
    /// Members of the fleet by name.
    pub members: BTreeMap<InstanceId, Revised<MemberValue>>,
    /// Availability zones that operators evacuate.
    pub evacuated: EvacuatedZones,
    /// The current leader.
    pub leader: Option<Revised<LeaderValue>>,
    /// Time up to which the view holds every change that the store accepted.
    pub synced_at: Option<MonotonicTime>,
    /// When the last successful renewal of this instance's lease was sent.
    pub renewed_at: Option<MonotonicTime>,
    /// Revision at which this instance's member key was written.
    pub registered_at: StoreRevision,
    /// When the store had acknowledged the registration at that revision.
    pub registered_since: Option<MonotonicTime>,
    /// When this instance last received a complete view, which does not show who has left.
    pub replaced_at: Option<MonotonicTime>,
    /// Members that have left a short time ago.
    pub departed_members: DepartedMembers,
    /// Revision at which this process registered first.
    pub first_registered_at: Option<StoreRevision>,
    /// Revision up to which changes have been applied.
    pub revision: StoreRevision,
    /// Draining endpoints and when their drain began, or `None` if it had already begun in the
    /// first entry that this process read.
    draining: HashMap<EndpointId, Option<MonotonicTime>>,
    /// Cold endpoints, and when they are warm according to their last entries.
    cold: HashMap<EndpointId, MonotonicTime>,
    /// Evacuated zones whose requests the copy of the store lacked, and since when. Operators write them
    /// again.
    missing_evacuations: HashMap<ZoneId, MonotonicTime>,
    /// Endpoints whose entries are missing, and since when.
    missing: HashMap<EndpointId, MonotonicTime>,
    /// Entries of endpoints that were dropped, and when. Such an endpoint may still run.
    dropped: HashMap<EndpointId, (EndpointEntry, MonotonicTime)>,
    /// When the view became recent after it had not been, or after the start.
    recent_since: MonotonicTime,
    /// When this instance first read the whole view.
    watched_since: Option<MonotonicTime>,
    /// Instances that have left, which may have passed acknowledgements on.
    pub departures: DepartureLog,
    /// All items as the store sent them, with those removed since `history_start`.
    items: BTreeMap<String, RelayItem>,
    /// Revision before which removals are unknown.
    history_start: StoreRevision,
}

impl FleetView {
    /// Replaces the content by a complete view of the store. Items that it lacks are removed unless
    /// they are newer. The view holds every change up to `known_at`.
    pub fn replace(&mut self, view: ViewItems, known_at: MonotonicTime) {
        // An answer of an earlier era came late.
        if view.revision.era() < self.revision.era() {
            return;
        }
        if view.revision.era() > self.revision.era() {
            self.begin_era(&view);
        }
        self.drop_replaced(&view);
        let present: HashSet<&str> = view.items.iter().map(|item| item.key.as_str()).collect();
        let removed: Vec<RelayItem> = self
            .items
            .values()
            .filter(|item| item.value.is_some() && item.revision <= view.revision)
            .filter(|item| !present.contains(item.key.as_str()))
            .map(|item| RelayItem {
                key: item.key.clone(),
                value: None,
                revision: view.revision,
            })
            .collect();
        let revision = view.revision;
        for item in removed.into_iter().chain(view.items) {
            self.apply(item);
        }
        // Instances may have joined and left since the previous revision.
        self.departures.record_gap(now());
        self.watched_since.get_or_insert_with(now);
        self.replaced_at = Some(now());
        self.history_start = self.history_start.max(revision);
        self.revision = self.revision.max(revision);
        self.record_sync(known_at);
    }

    /// Prepares the view for the first items of a later era. The store has lost the changes after its
    /// copy, among them orders that other instances may still follow. The known orders therefore stay
    /// in use as they would without the store, until the leader has confirmed or replaced them.
    fn begin_era(&mut self, view: &ViewItems) {
        if self.synced_at.is_none() {
            return;
        }
        let lost = self
            .items
            .values()
            .filter(|item| item.value.is_some() && item.revision.number() > view.revision.number());
        tracing::warn!(
            event = "store_era_begun",
            era = %view.revision.era(),
            former = %self.revision,
            revision = %view.revision,
            lost_items = lost.count(),
        );
        let evidence = self.evidence(now());
        for service in self.orders.keys() {
            let known = self.former_orders.entry(service.clone());
            known.or_insert(evidence);
        }
    }

    /// Drops known items that a complete view holds at an earlier revision, although it is not older.
    /// A read that may be outdated can bring such an item from before the present era.
    fn drop_replaced(&mut self, view: &ViewItems) {
        for item in &view.items {
            let known = self.items.get(&item.key).map(|known| known.revision);
            if known.is_some_and(|known| item.revision < known && known <= view.revision) {
                self.items.remove(&item.key);
            }
        }
    }

    /// Returns the revision of the last known change of a key, or none if the key does not exist.
    pub fn key_revision(&self, key: &str) -> StoreRevision {
        let item = self.items.get(key).filter(|item| item.value.is_some());
        item.map_or_else(StoreRevision::default, |item| item.revision)
    }

    /// Returns `false` and the items that changed after a revision, or `true` and all existing
    /// items if some removals since then are unknown.
    pub fn items_after(&self, revision: StoreRevision) -> (bool, Vec<RelayItem>) {
        let complete = revision < self.history_start;
        let items = self.items.values().filter(|item| match complete {
            true => item.value.is_some(),
            false => item.revision > revision,
        });
        (complete, items.cloned().collect())
    }

    /// Applies the changes in the answer of a watch, which holds every change up to `known_at`.
    pub fn update(&mut self, view: ViewItems, known_at: MonotonicTime) {
        let revision = view.revision;
        // Changes of another era do not continue this view.
        if revision.era() != self.revision.era() {
            return;
        }
        for item in view.items {
            self.apply(item);
        }
        self.revision = self.revision.max(revision);
        self.record_sync(known_at);
    }

    /// Records that the view holds every change up to `known_at`.
    fn record_sync(&mut self, known_at: MonotonicTime) {
        let at = now();
        if !self.is_recent(at) {
            self.recent_since = at;
        }
        self.synced_at = self.synced_at.max(Some(known_at));
    }

    fn is_recent(&self, at: MonotonicTime) -> bool {
        let synced_at = self.synced_at;
        synced_at.is_some_and(|synced_at| at.saturating_since(synced_at) <= MAX_RELAY_AGE)
    }

    /// Returns since when this instance has had a recent view, or `None` if it has none.
    pub fn in_touch_since(&self, at: MonotonicTime) -> Option<MonotonicTime> {
        self.is_recent(at).then_some(self.recent_since)
    }

    /// Applies a part of the items, such as the members that an instance reads at its start. They
    /// are no evidence: the view may lack other changes.
    pub fn add_items(&mut self, items: Vec<RelayItem>) {
        for item in items {
            self.apply(item);
        }
    }

    /// Applies an item that this instance has just written.
    pub fn apply_written(&mut self, key: &str, value: Vec<u8>, revision: StoreRevision) {
        let item = StoreItem {
            key: key.to_owned(),
            value: Some(value),
            revision,
        };
        self.apply(item.into());
    }

    fn apply(&mut self, item: RelayItem) {
        if item.revision.era() < self.revision.era() {
            return;
        }
        let known = self.items.get(&item.key).map(|known| known.revision);
        if known.is_some_and(|known| known >= item.revision) {
            return;
        }
        let value = match item.value.as_ref().map(PackedValue::unpack).transpose() {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(event = "item_unreadable", key = item.key, %error);
                return;
            }
        };
        self.prune_removals(item.revision);
        let mut kept = item.clone();
        let item = StoreItem {
            key: item.key,
            value,
            revision: item.revision,
        };
        // A copy of the store may be older than the known item.
        let is_restored = known.is_some_and(|known| known.era() < item.revision.era());
        if item.key == configuration::CONFIGURATION_KEY {
            let is_newest = self.apply_configuration(&item);
            // Followers and starting instances get the newest known configuration.
            if let Some(known) = self.items.get(&item.key).filter(|_| !is_newest) {
                kept.value = known.value.clone();
            }
        } else if item.key.starts_with(registry::ENDPOINT_PREFIX) {
            self.apply_endpoint(&item, is_restored);
        } else if let Some(zone) = evacuation::parse_evacuation(&item.key) {
            match zone {
                Ok(zone) => self.apply_evacuation(zone, &item, is_restored),
                Err(error) => {
                    tracing::warn!(event = "evacuation_ignored", key = item.key, %error);
                }
            }
        }
        let key = fleet_keys::parse_key(&item.key);
        self.items.insert(kept.key.clone(), kept);
        if let Some(key) = key {
            self.apply_fleet_key(key, &item);
        }
    }

    fn apply_evacuation(&mut self, zone: ZoneId, item: &StoreItem, is_restored: bool) {
        let revision = item.revision;
        self.missing_evacuations.remove(&zone);
        if item.value.is_none() && is_restored {
            self.missing_evacuations.insert(zone, now());
            return;
        }
        if item.value.is_none() {
            if self.evacuated.end(&zone) {
                tracing::info!(event = "evacuation_ended", %zone, %revision);
            }
            return;
        }
        let endpoints = self.endpoints.values().filter(|e| e.zone == zone).count();
        let evacuation = ZoneEvacuation {
            revision,
            accepted_after: self.synced_at,
        };
        tracing::info!(event = "evacuation_begun", %zone, %revision, endpoints);
        self.evacuated.begin(zone, evacuation);
    }

    /// Drops all kept removals once there are more than [`MAX_REMOVALS`].
    fn prune_removals(&mut self, revision: StoreRevision) {
        let removed = self.items.values().filter(|item| item.value.is_none());
        if removed.count() > MAX_REMOVALS {
            self.items.retain(|_, item| item.value.is_some());
            self.history_start = self.history_start.max(revision);
        }
    }

    /// Puts a configuration in force if it is newer. Returns whether it is the newest known one.
    fn apply_configuration(&mut self, item: &StoreItem) -> bool {
        let current = self.rules.as_ref().map(|rules| rules.version);
        let Some(value) = &item.value else {
            tracing::warn!(event = "configuration_missing", revision = %item.revision);
            return false;
        };
        match configuration::parse_configuration(value) {
            Ok(rules) if current.is_some_and(|version| version >= rules.version) => {
                tracing::info!(
                    event = "configuration_ignored",
                    version = rules.version.0,
                    in_force = current.map(|version| version.0),
                    revision = %item.revision,
                );
                current == Some(rules.version)
            }
            Ok(rules) => {
                tracing::info!(
                    event = "configuration_in_force",
                    version = rules.version.0,
                    former = current.map(|version| version.0),
                    revision = %item.revision,
                    routes = rules.routes.len(),
                    teams = rules.teams.len(),
                );
                self.rules = Some(Rc::new(rules));
                true
            }
            Err(error) => {
                tracing::error!(event = "configuration_refused", revision = %item.revision, %error);
                false
            }
        }
    }

    fn apply_endpoint(&mut self, item: &StoreItem, is_restored: bool) {
        let Some(value) = &item.value else {
            let id = item.key.trim_start_matches(registry::ENDPOINT_PREFIX);
            if let Ok(id) = id.parse::<EndpointId>()
                && self.endpoints.contains_key(&id)
            {
                tracing::info!(event = "endpoint_missing", endpoint = %id, revision = %item.revision);
                self.missing.entry(id).or_insert_with(now);
            }
            return;
        };
        match registry::parse_entry(&item.key, value) {
            Ok(mut entry) => {
                let former = self.endpoints.get(&entry.id);
                // A process never takes back that it drains; the copy is older than its report.
                entry.draining |= is_restored
                    && former.is_some_and(|former| former.draining && former.born == entry.born);
                if former.is_none_or(|former| differs(former, &entry)) {
                    tracing::info!(
                        event = "endpoint_entry",
                        endpoint = %entry.id,
                        service = %entry.service,
                        zone = %entry.zone,
                        address = %entry.address,
                        role = ?entry.role,
                        draining = entry.draining,
                        born = entry.born,
                        cold_ms = entry.cold_time.as_millis() as u64,
                        restarted = former.is_some_and(|former| former.born != entry.born),
                        revision = %item.revision,
                    );
                }
                let since = former.is_some_and(|former| !former.draining).then(now);
                if entry.draining {
                    self.draining.entry(entry.id.clone()).or_insert(since);
                } else {
                    self.draining.remove(&entry.id);
                }
                if entry.is_cold() {
                    self.cold.insert(entry.id.clone(), now() + entry.cold_time);
                } else {
                    self.cold.remove(&entry.id);
                }
                self.missing.remove(&entry.id);
                self.dropped.remove(&entry.id);
                self.endpoints.insert(entry.id.clone(), entry);
            }
            Err(error) => {
                tracing::warn!(event = "endpoint_entry_ignored", key = item.key, %error);
            }
        }
    }

    fn apply_fleet_key(&mut self, key: FleetKey, item: &StoreItem) {
        match key {
            FleetKey::Leader => self.leader = decode(item),
            FleetKey::Member(name) => {
                let member = decode::<MemberValue>(item);
                if member.is_none() && self.has_member_key(&name) {
                    return;
                }
                let is_replaced = member.is_some();
                if member.is_none() {
                    self.departed_members.record(name.clone(), now());
                }
                let former = match member {
                    Some(member) => self.members.insert(name, member),
                    None => self.members.remove(&name),
                };
                match (former, is_replaced) {
                    (Some(former), false) => self.departures.record(former.life(), now()),
                    // The instance restarted, or joined and left, perhaps more than once between two
                    // updates.
                    (Some(_), true) | (None, false) => self.departures.record_gap(now()),
                    (None, true) => {}
                }
            }
            FleetKey::Order(service) => self.apply_order(service, item),
        }
    }

    /// Applies an order. One that was written in an earlier era does not replace a later one of which
    /// this instance knows; if it knows none, the order permits nothing until it is confirmed.
    fn apply_order(&mut self, service: ServiceId, item: &StoreItem) {
        let is_former = self.former_orders.contains_key(&service);
        let Some(order) = decode::<GroupOrder>(item) else {
            if !is_former {
                self.orders.remove(&service);
            }
            return;
        };
        // Up to the copy, revisions have the same numbers in both eras.
        let place = |order: &Revised<GroupOrder>| (order.value.token, order.revision.number());
        let known = self.orders.get(&service).filter(|_| is_former);
        let is_ignored = known.is_some_and(|known| place(known) >= place(&order));
        tracing::info!(
            event = "group_order",
            service = %service,
            target = %order.value.target,
            phase = ?order.value.phase,
            token = %order.value.token,
            revision = %order.revision,
            is_ignored,
        );
        if is_ignored {
            return;
        }
        // A process that has seen no earlier era may have started after the store came back from a copy.
        // Versions before eras wrote tokens of era 0 in each era; nothing tells these from lost ones.
        if order.value.token.era() >= order.revision.era() {
            self.former_orders.remove(&service);
        } else {
            self.former_orders.entry(service.clone()).or_insert(None);
        }
        self.orders.insert(service, order);
    }

    /// Returns whether the order of a group was written in an earlier era of the store, which may have
    /// lost a later one.
    pub fn must_confirm(&self, service: &ServiceId) -> bool {
        let order = self.orders.get(service);
        order.is_some_and(|order| order.value.token.era() < self.revision.era())
    }

    /// Returns the number of groups whose order is of an earlier era of the store.
    pub fn unconfirmed_orders(&self) -> usize {
        self.former_orders.len()
    }

    /// Returns whether a key of a member exists. There are two keys while an instance is replaced by
    /// a version that names its zone in the key.
    fn has_member_key(&self, name: &InstanceId) -> bool {
        let mut present = self.items.values().filter(|item| item.value.is_some());
        present.any(|item| match fleet_keys::parse_key(&item.key) {
            Some(FleetKey::Member(other)) => other == *name,
            _ => false,
        })
    }

    /// Drops endpoints whose entries have been missing for [`MISSING_TIME`], provided that the view
    /// is recent.
    pub fn drop_missing(&mut self, at: MonotonicTime) {
        if self
            .synced_at
            .is_none_or(|synced_at| at.saturating_since(synced_at) > MISSING_TIME)
        {
            return;
        }
        let is_recent = |since: &MonotonicTime| at.saturating_since(*since) < MISSING_TIME;
        let lapsed = self
            .missing_evacuations
            .extract_if(|_, since| !is_recent(since));
        for (zone, _) in lapsed {
            tracing::info!(event = "evacuation_ended", %zone, reason = "not_written_again");
            self.evacuated.end(&zone);
        }
        let (kept, dropped): (HashMap<_, _>, HashMap<_, _>) = self
            .missing
            .drain()
            .partition(|(_, since)| is_recent(since));
        self.missing = kept;
        for id in dropped.into_keys() {
            tracing::info!(event = "endpoint_gone", endpoint = %id);
            self.draining.remove(&id);
            self.cold.remove(&id);
            if let Some(entry) = self.endpoints.remove(&id) {
                self.dropped.insert(id, (entry, at));
            }
        }
        self.dropped
            .retain(|_, (_, since)| at.saturating_since(*since) < DROPPED_TIME);
    }

    /// Returns the entry of an endpoint that is listed or was dropped a short time ago.
    pub fn known_entry(&self, id: &EndpointId) -> Option<&EndpointEntry> {
        let dropped = self.dropped.get(id).map(|(entry, _)| entry);
        self.endpoints.get(id).or(dropped)
    }

    /// Returns whether an endpoint is cold. An entry arrives later than the endpoint wrote it, so the
    /// time in the entry has not ended earlier at the endpoint.
    pub fn is_cold(&self, id: &EndpointId, at: MonotonicTime) -> bool {
        self.cold.get(id).is_some_and(|until| at < *until)
    }

    /// Returns whether an endpoint has been gone for so long that its log counts as lost.
    pub fn is_lost(&self, id: &EndpointId, at: MonotonicTime) -> bool {
        let lost_since = |since: MonotonicTime| at.saturating_since(since) >= DROPPED_TIME;
        self.known_entry(id).is_none() && self.watched_since.is_some_and(lost_since)
    }

    /// Returns the registrations of this process.
    pub fn process_lives(&self) -> ProcessLives {
        ProcessLives {
            first: self.first_registered_at.unwrap_or(self.registered_at),
            last: self.registered_at,
        }
    }

    /// Returns the revision of the open order of a service if it names this endpoint as the primary,
    /// which this instance may use at `now` and could use at `since`.
    pub fn opened_revision(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        since: MonotonicTime,
    ) -> Option<StoreRevision> {
        let order = self.orders.get(service)?;
        let is_primary = self.has_been_primary_since(service, endpoint, since);
        is_primary.then_some(order.revision)
    }

    /// Returns whether an endpoint has been draining for `limit` or longer, so that it gets no more
    /// requests even if it has no replacement.
    pub fn is_drain_overdue(&self, id: &EndpointId, limit: Duration, at: MonotonicTime) -> bool {
        self.draining
            .get(id)
            .is_some_and(|since| since.is_none_or(|since| at.saturating_since(since) >= limit))
    }

    /// Returns the endpoints of a service.
    pub fn group<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a EndpointEntry> + 'a {
        self.endpoints
            .values()
            .filter(move |entry| entry.service == *service)
    }

    /// Returns the time up to which this instance knows every order.
    ///
    /// Returns `None` if the leader might change a primary without waiting for this instance:
    /// because its lease may have ended, because it has not yet read the changes before its
    /// registration, although the leader assumes that it has read them, or because it has not
    /// registered in the present era of the store.
    pub fn evidence(&self, at: MonotonicTime) -> Option<MonotonicTime> {
        let renewed_at = self.renewed_at?;
        let registered = at.saturating_since(renewed_at) < LEASE_TIME - LEASE_MARGIN
            && self.revision.era() == self.registered_at.era()
            && self.revision >= self.registered_at;
        self.synced_at.filter(|_| registered)
    }

    /// Returns the primary of a service if this instance may use it at `now`.
    ///
    /// # Errors
    ///
    /// Returns the reason why no primary may be used.
    pub fn usable_primary(
        &self,
        service: &ServiceId,
        now: MonotonicTime,
    ) -> Result<EndpointId, PermitRefusal> {
        let order = self.orders.get(service).map(|order| &order.value);
        let evidence = match self.former_orders.get(service) {
            Some(former) => *former,
            None => self.evidence(now),
        };
        primary_permit::usable_primary(order, evidence, now)
    }

    /// Returns whether an endpoint may be used as the primary and was the primary already at
    /// `since`.
    pub fn has_been_primary_since(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        since: MonotonicTime,
    ) -> bool {
        let order = self.orders.get(service);
        order.is_some_and(|order| order.seen_at <= since)
            && self.usable_primary(service, now()).as_ref() == Ok(endpoint)
    }

    /// Returns the primary that the order of a service names, whether or not this instance may use
    /// it.
    ///
    /// # Errors
    ///
    /// Returns the reason why no primary is known.
    pub fn ordered_primary(&self, service: &ServiceId) -> Result<EndpointId, PermitRefusal> {
        let order = self.orders.get(service).map(|order| &order.value);
        primary_permit::ordered_primary(order)
    }
}

/// Returns whether an entry differs by more than the time for which the endpoint is still cold.
fn differs(former: &EndpointEntry, entry: &EndpointEntry) -> bool {
    let aligned = EndpointEntry {
        cold_time: entry.cold_time,
        ..former.clone()
    };
    aligned != *entry || former.is_cold() != entry.is_cold()
}

/// Decodes a value that the daemon wrote. A value that cannot be decoded is logged and counts as
/// missing.
fn decode<T: serde::de::DeserializeOwned>(item: &StoreItem) -> Option<Revised<T>> {
    let value = item.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(value) => Some(Revised {
            revision: item.revision,
            value,
            seen_at: now(),
        }),
        Err(error) => {
            tracing::error!(event = "store_value_unreadable", key = item.key, %error);
            None
        }
    }
}
