//! Drives the shards of team rates of a daemon: admission, timers, messages and store calls.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::Notify;
use tracing::debug;

use crate::process::shares::holder::AdmissionAttempt;
use crate::process::shares::holder::AdmissionOutcome;
use crate::process::shares::incarnation::InstanceIncarnation;
use crate::process::shares::messages::ShareAction;
use crate::process::shares::messages::ShareMessage;
use crate::process::shares::messages::StoreAnswer;
use crate::process::shares::reconciler::ShareMember;
use crate::process::shares::settings::ShareSettings;
use crate::process::shares::shard::ShareShard;
use crate::process::shares::table::ShareTable;
use crate::process::shares::table::TeamLimit;
use crate::process::timers;
use crate::process::timers::MonotonicTime;
use crate::request::refusal::RequestRefusal;
use crate::version::bundle::BundleConfig;
use crate::version::ids::InstanceId;
use crate::version::ids::TeamId;

/// Number of shards into which teams are divided; all instances must use the same number.
pub const SHARE_SHARDS: usize = 4;

/// Longest pause between two attempts to admit a deferred request.
const DEFER_RETRY: Duration = Duration::from_millis(10);

/// Period of [`ShareDriver::tick`].
pub const TICK_PERIOD: Duration = Duration::from_millis(20);

/// A share message with its shard and the incarnation of its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ShareEnvelope {
    /// The shard's number.
    pub shard: usize,
    /// The sender.
    pub from: InstanceIncarnation,
    /// The message.
    pub message: ShareMessage,
}

/// The functions through which the driver uses the peers and the store.
pub struct SharePorts {
    /// Sends a message to an instance; messages may be lost.
    pub send: Box<dyn Fn(InstanceId, ShareEnvelope) + Send + Sync>,
    /// Reads the share table under a store key.
    pub read: Box<dyn Fn(String) -> BoxFuture<'static, StoreAnswer> + Send + Sync>,
    /// Replaces the share table under a store key.
    pub write: WriteFn,
}

/// Replaces the table under a key if the key is still at the expected revision.
pub type WriteFn =
    Box<dyn Fn(String, u64, Box<ShareTable>) -> BoxFuture<'static, StoreAnswer> + Send + Sync>;

struct ShardState {
    shard: ShareShard,
    wakers: HashMap<TeamId, Arc<Notify>>,
}

/// The shards of one instance.
pub struct ShareDriver {
    shards: Vec<Mutex<ShardState>>,
    settings: ShareSettings,
    ports: SharePorts,
}

impl ShareDriver {
    /// Creates the shards of an instance; `seed` must differ for each start of the process.
    pub fn new(
        instance: &InstanceId,
        settings: ShareSettings,
        seed: u64,
        ports: SharePorts,
    ) -> Self {
        let new_shard = |number: usize| {
            let seed = seed.wrapping_add(number as u64);
            let shard =
                ShareShard::new(shard_name(number), instance.clone(), settings.clone(), seed);
            Mutex::new(ShardState {
                shard,
                wakers: HashMap::new(),
            })
        };
        Self {
            shards: (0..SHARE_SHARDS).map(new_shard).collect(),
            settings,
            ports,
        }
    }

    /// Returns this instance's incarnation number in each shard, for the heartbeat.
    pub fn incarnations(&self) -> Vec<u64> {
        (0..SHARE_SHARDS)
            .map(|number| self.lock(number).shard.incarnation().number)
            .collect()
    }

    /// Applies the team rates of a bundle.
    pub fn set_bundle(&self, config: &BundleConfig) {
        let now = timers::now();
        let mut limits = vec![BTreeMap::new(); SHARE_SHARDS];
        for team in &config.teams {
            let limit = TeamLimit {
                rate: team.rate,
                burst: team.burst,
            };
            limits[shard_of(&team.id)].insert(team.id.clone(), limit);
        }
        for (number, limits) in limits.into_iter().enumerate() {
            self.lock(number)
                .shard
                .set_bundle(config.version, limits, now);
        }
    }

    /// Sets the live members of one shard, each with its incarnation in that shard.
    pub fn set_members(&self, number: usize, members: Vec<ShareMember>) {
        self.lock(number).shard.set_members(members);
    }

    /// Charges one request to a team's rate, and waits while a requested share has not arrived yet.
    ///
    /// Waits at most `wait`, or the shorter of `wait` and `max_defer` once an owner has answered.
    /// Returns [`RequestRefusal::AboveRate`] if the request is refused or no token is available by
    /// then.
    pub async fn admit(
        self: &Arc<Self>,
        team: &TeamId,
        wait: Duration,
    ) -> Result<(), RequestRefusal> {
        let number = shard_of(team);
        let arrived = timers::now();
        let mut deferral = None;
        loop {
            let notify = self.waker(number, team);
            let notified = notify.notified();
            tokio::pin!(notified);
            // Registered before the attempt, so that a wake-up during the attempt is not missed.
            notified.as_mut().enable();
            let attempt = if deferral.is_none() {
                AdmissionAttempt::First
            } else {
                AdmissionAttempt::Again
            };
            match self.try_admit(number, team, attempt) {
                AdmissionOutcome::Deferred => {
                    deferral.get_or_insert_with(|| Deferral::new(self.clone(), number, team));
                }
                outcome => {
                    if let Some(deferral) = deferral.take() {
                        deferral.complete();
                    }
                    let refused = outcome == AdmissionOutcome::Refused;
                    return if refused {
                        Err(RequestRefusal::AboveRate)
                    } else {
                        Ok(())
                    };
                }
            }
            let left = self
                .deferral_end(number, team, arrived, wait)
                .saturating_since(timers::now());
            if left.is_zero() {
                return Err(RequestRefusal::AboveRate);
            }
            // Accruing tokens cause no wake-up, so the attempt is also repeated after a pause.
            let _ = tokio::time::timeout(left.min(DEFER_RETRY), notified).await;
        }
    }

    fn deferral_end(
        &self,
        number: usize,
        team: &TeamId,
        arrived: MonotonicTime,
        wait: Duration,
    ) -> MonotonicTime {
        let state = self.lock(number);
        if state
            .shard
            .holder()
            .is_decided(team, arrived, timers::now())
        {
            arrived + self.settings.max_defer.min(wait)
        } else {
            arrived + wait
        }
    }

    fn try_admit(
        self: &Arc<Self>,
        number: usize,
        team: &TeamId,
        attempt: AdmissionAttempt,
    ) -> AdmissionOutcome {
        let mut actions = Vec::new();
        let outcome = self
            .lock(number)
            .shard
            .admit(team, attempt, timers::now(), &mut actions);
        self.perform(number, actions);
        outcome
    }

    /// Handles a message of another instance; ignores one for an unknown shard.
    pub fn on_message(self: &Arc<Self>, envelope: ShareEnvelope) {
        let number = envelope.shard;
        if number >= SHARE_SHARDS {
            return;
        }
        let mut actions = Vec::new();
        let now = timers::now();
        let from = &envelope.from;
        self.lock(number)
            .shard
            .on_message(from, envelope.message, now, &mut actions);
        self.perform(number, actions);
    }

    /// Runs the due work of all shards; called every [`TICK_PERIOD`].
    pub fn tick(self: &Arc<Self>) {
        for number in 0..SHARE_SHARDS {
            let mut actions = Vec::new();
            self.lock(number).shard.tick(timers::now(), &mut actions);
            self.perform(number, actions);
        }
    }

    /// Starts to return all shares.
    pub fn drain(&self) {
        (0..SHARE_SHARDS).for_each(|number| self.lock(number).shard.drain());
    }

    /// Returns whether a draining instance has returned all shares.
    pub fn is_drained(&self) -> bool {
        (0..SHARE_SHARDS).all(|number| self.lock(number).shard.is_drained())
    }

    fn perform(self: &Arc<Self>, number: usize, actions: Vec<ShareAction>) {
        for action in actions {
            match action {
                ShareAction::Send { to, message } => {
                    let from = self.lock(number).shard.incarnation().clone();
                    (self.ports.send)(
                        to,
                        ShareEnvelope {
                            shard: number,
                            from,
                            message,
                        },
                    );
                }
                ShareAction::Read => self.call_store(number, (self.ports.read)(store_key(number))),
                ShareAction::Write {
                    expected_revision,
                    table,
                } => {
                    let call = (self.ports.write)(store_key(number), expected_revision, table);
                    self.call_store(number, call);
                }
                ShareAction::Wake(team) => self.wake(number, &team),
            }
        }
    }

    fn call_store(self: &Arc<Self>, number: usize, call: BoxFuture<'static, StoreAnswer>) {
        let driver = self.clone();
        tokio::spawn(async move {
            let answer = call.await;
            if answer == StoreAnswer::Unknown {
                debug!("shares: no answer from the store for shard {number}");
            }
            let mut actions = Vec::new();
            driver
                .lock(number)
                .shard
                .on_store(answer, timers::now(), &mut actions);
            driver.perform(number, actions);
        });
    }

    fn waker(&self, number: usize, team: &TeamId) -> Arc<Notify> {
        self.lock(number)
            .wakers
            .entry(team.clone())
            .or_default()
            .clone()
    }

    fn wake(&self, number: usize, team: &TeamId) {
        if let Some(notify) = self.lock(number).wakers.get(team) {
            notify.notify_waiters();
        }
    }

    fn lock(&self, number: usize) -> MutexGuard<'_, ShardState> {
        self.shards[number]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A deferred request; dropping it before its outcome is known, for example because its caller
/// disconnects, removes it from the shard.
struct Deferral {
    driver: Arc<ShareDriver>,
    number: usize,
    team: TeamId,
    completed: bool,
}

impl Deferral {
    fn new(driver: Arc<ShareDriver>, number: usize, team: &TeamId) -> Self {
        Self {
            driver,
            number,
            team: team.clone(),
            completed: false,
        }
    }

    fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for Deferral {
    fn drop(&mut self) {
        if !self.completed {
            self.driver
                .lock(self.number)
                .shard
                .cancel_deferred(&self.team);
        }
    }
}

fn shard_of(team: &TeamId) -> usize {
    // The hash must be the same in all instances and versions, which `std`'s hashers do not
    // guarantee.
    let digest = Sha256::digest(team.as_str().as_bytes());
    usize::from(digest[0]) % SHARE_SHARDS
}

fn shard_name(number: usize) -> String {
    format!("shard-{number}")
}

fn store_key(number: usize) -> String {
    format!("shares/{}", shard_name(number))
}
