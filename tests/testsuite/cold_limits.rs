//! Guards against instances that together send a cold endpoint more than its bound.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session_core::cold_limit::ColdAllowance;
use session_core::cold_limit::ColdLimit;
use session_core::cold_limit::ColdQuery;
use session_core::cold_limit::DepartedMembers;
use session_core::cold_limit::MemberStanding;
use session_core::cold_limit::SLOT_WINDOW;
use session_core::ids::EndpointId;
use session_core::ids::InstanceId;
use session_core::monotonic_time::MonotonicTime;
use session_core::units::RequestRate;

const INSTANCES: usize = 15;
const SLOTS: u32 = 11;
const STEP_MS: u64 = 5;
const STEPS: u64 = 8_000;
const START_MS: u64 = 20_000;

/// Maximum age of a view that an instance uses.
const VIEW_AGE_MS: u64 = 3_800;

/// Length of a lease and the time before its end at which an instance stops, in milliseconds.
const LEASE_MS: u64 = 9_000;
const LEASE_MARGIN_MS: u64 = 1_000;

fn name(index: usize) -> InstanceId {
    format!("front-{index}").parse().expect("the name is valid")
}

fn endpoint() -> EndpointId {
    "db-1".parse().expect("the name is valid")
}

fn time(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// A change of the members at the store: who joined or left, and when.
#[derive(Debug, Clone, Copy)]
struct StoreChange {
    at: u64,
    index: usize,
    joined: bool,
}

/// One instance with its own view of the members.
struct SimulatedInstance {
    limit: ColdLimit,
    members: BTreeSet<InstanceId>,
    departed: DepartedMembers,
    /// Number of the store's changes that the view has, and the time up to which it is complete.
    applied: usize,
    synced_at: u64,
    replaced_at: u64,
    /// When it registered, while it holds a lease.
    registered_at: Option<u64>,
    renewed_at: u64,
    /// Until when it receives nothing from the store and cannot renew.
    cut_until: u64,
    lag: u64,
}

struct SimulatedFleet {
    changes: Vec<StoreChange>,
    instances: Vec<SimulatedInstance>,
    /// Leases at the store: when they end, by instance.
    leases: BTreeMap<usize, u64>,
}

impl SimulatedFleet {
    fn new(rng: &mut ChaCha8Rng) -> Self {
        let instance = |lag, cut_until| SimulatedInstance {
            limit: ColdLimit::default(),
            members: BTreeSet::new(),
            departed: DepartedMembers::default(),
            applied: 0,
            synced_at: 0,
            replaced_at: 0,
            registered_at: None,
            renewed_at: 0,
            cut_until,
            lag,
        };
        Self {
            changes: Vec::new(),
            instances: (0..INSTANCES)
                .map(|_| {
                    let start = START_MS + rng.random_range(0..4_000);
                    instance(rng.random_range(0..VIEW_AGE_MS), start)
                })
                .collect(),
            leases: BTreeMap::new(),
        }
    }

    /// Ends expired leases, and registers and renews those that reach the store.
    fn step_leases(&mut self, now: u64) {
        let ended: Vec<usize> = self
            .leases
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(index, _)| *index)
            .collect();
        for index in ended {
            self.remove(index, now);
        }
        for index in 0..INSTANCES {
            if self.instances[index].cut_until > now {
                continue;
            }
            let instance = &mut self.instances[index];
            if instance.registered_at.is_none() || !self.leases.contains_key(&index) {
                instance.registered_at = Some(now);
                self.changes.push(StoreChange {
                    at: now,
                    index,
                    joined: true,
                });
            } else if now < instance.renewed_at + 4_000 {
                continue;
            }
            instance.renewed_at = now;
            self.leases.insert(index, now + LEASE_MS);
        }
    }

    fn remove(&mut self, index: usize, now: u64) {
        if self.leases.remove(&index).is_some() {
            self.changes.push(StoreChange {
                at: now,
                index,
                joined: false,
            });
        }
    }

    /// Passes the changes on that are older than the instance's lag. After a cut it receives a
    /// complete view, which does not show the changes in between.
    fn step_view(&mut self, index: usize, now: u64) {
        let instance = &mut self.instances[index];
        if instance.cut_until > now {
            return;
        }
        let known_at = now.saturating_sub(instance.lag).max(instance.synced_at);
        let after_cut = now.saturating_sub(instance.synced_at) > VIEW_AGE_MS;
        let changes = self.changes[instance.applied..].iter();
        for change in changes.take_while(|change| change.at <= known_at) {
            instance.applied += 1;
            let member = name(change.index);
            if change.joined {
                instance.members.insert(member);
            } else {
                instance.members.remove(&member);
                if !after_cut {
                    instance.departed.record(member, time(now));
                }
            }
        }
        if after_cut {
            instance.replaced_at = now;
        }
        instance.synced_at = known_at;
    }

    /// Lets an instance send a statement if it may. Returns the slot that it used.
    fn send(&mut self, index: usize, now: u64) -> Option<u32> {
        let instance = &mut self.instances[index];
        let (own, endpoint) = (name(index), endpoint());
        let registered = instance
            .registered_at
            .filter(|_| now < instance.renewed_at + LEASE_MS - LEASE_MARGIN_MS)
            .filter(|registered_at| instance.synced_at >= *registered_at);
        let standing = registered.map(|registered_at| MemberStanding {
            synced_at: time(instance.synced_at),
            registered_at: time(registered_at),
            replaced_at: time(instance.replaced_at),
        });
        let held = instance.departed.held(time(now));
        let query = ColdQuery {
            endpoint: &endpoint,
            slots: SLOTS,
            own: &own,
            standing,
            members: instance.members.iter().chain(held),
        };
        instance.limit.take_slot(query, time(now))
    }

    /// Cuts an instance off, or ends its lease as a stop or a kill with a restart does.
    fn disturb(&mut self, rng: &mut ChaCha8Rng, now: u64) {
        let index = rng.random_range(0..INSTANCES);
        match rng.random_range(0..3) {
            0 => self.instances[index].cut_until = now + rng.random_range(500..15_000),
            1 => {
                self.instances[index].lag = rng.random_range(0..VIEW_AGE_MS);
            }
            _ => {
                // A killed instance keeps its lease, a stopped one ends it.
                if rng.random_bool(0.5) {
                    self.remove(index, now);
                }
                let lag = self.instances[index].lag;
                let away_until = now + rng.random_range(0..8_000);
                self.instances[index] = SimulatedInstance {
                    limit: ColdLimit::default(),
                    members: BTreeSet::new(),
                    departed: DepartedMembers::default(),
                    applied: 0,
                    synced_at: 0,
                    replaced_at: now,
                    registered_at: None,
                    renewed_at: 0,
                    cut_until: away_until,
                    lag,
                };
            }
        }
    }
}

/// Returns the first statement that used a slot again within [`SLOT_WINDOW`]. Without one, there are
/// at most as many statements in any second as slots.
fn first_double_use(sent: &[(u64, u32)]) -> Option<(u64, u32)> {
    let mut used_at = BTreeMap::new();
    let window = SLOT_WINDOW.as_millis() as u64;
    sent.iter().copied().find(|(at, slot)| {
        let former = used_at.insert(*slot, *at);
        former.is_some_and(|former| *at < former + window)
    })
}

/// Plays a fleet whose instances all want to send at every step; returns the times and slots of the
/// statements.
fn play(seed: u64, disturbances: bool) -> Vec<(u64, u32)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = SimulatedFleet::new(&mut rng);
    let mut sent = Vec::new();
    for step in 0..STEPS {
        let now = START_MS + step * STEP_MS;
        fleet.step_leases(now);
        if disturbances && rng.random_bool(0.01) {
            fleet.disturb(&mut rng, now);
        }
        for index in 0..INSTANCES {
            fleet.step_view(index, now);
            if let Some(slot) = fleet.send(index, now) {
                sent.push((now, slot));
            }
        }
    }
    sent
}

/// Instances that join, leave, are cut off, lose their leases and restart see different members.
/// Together they must not exceed the bound in any second.
#[test]
fn different_views_keep_the_bound() {
    for seed in 0..16 {
        let sent = play(seed, true);
        assert_eq!(first_double_use(&sent), None, "seed {seed}");
        assert!(sent.len() > 100, "seed {seed}: only {} sent", sent.len());
    }
}

/// All instances start at once and want to send: the bound must hold, and must then be used.
#[test]
fn common_start_keeps_and_uses_the_bound() {
    let sent = play(100, false);
    assert_eq!(first_double_use(&sent), None);
    let late = sent.iter().filter(|(at, _)| *at >= 40_000).count();
    // Each slot is used every 1.25 s, in 20 s.
    let expected = SLOTS as usize * 16;
    assert!(
        (expected * 9 / 10..=expected + 11).contains(&late),
        "{late}"
    );
}

/// A service without a rate for cold endpoints must be served as before.
#[test]
fn missing_rate_is_no_bound() {
    let allowance = ColdAllowance {
        overage: 1.5,
        slack: 5.0,
    };
    assert_eq!(allowance.slots(RequestRate(0.0)), None);
    assert_eq!(allowance.slots(RequestRate(4.0)), Some(11));
}

/// An instance that sees only itself, because it has just registered or its view does not show who
/// has left, must not use the whole bound.
#[test]
fn lone_view_waits() {
    let (own, endpoint) = (name(0), endpoint());
    let query = |registered_at, replaced_at| ColdQuery {
        endpoint: &endpoint,
        slots: SLOTS,
        own: &own,
        standing: Some(MemberStanding {
            synced_at: time(99_900),
            registered_at: time(registered_at),
            replaced_at: time(replaced_at),
        }),
        members: [&own].into_iter(),
    };
    let now = time(100_000);
    let mut limit = ColdLimit::default();
    assert_eq!(limit.take_slot(query(95_000, 10_000), now), None);
    assert_eq!(limit.take_slot(query(90_000, 99_000), now), None);
    let taken = (0..20).filter_map(|_| limit.take_slot(query(90_000, 10_000), now));
    assert_eq!(taken.count(), SLOTS as usize);
    let later = now + Duration::from_millis(1_000);
    assert_eq!(limit.take_slot(query(90_000, 10_000), later), None);
}
