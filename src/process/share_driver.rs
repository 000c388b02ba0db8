//! Runs the shards of team rates in a daemon: admission, timers, messages and store calls.

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

/// How many shards the teams are divided into; all instances must use the same number.
pub const SHARE_SHARDS: usize = 4;

/// The longest pause between two attempts of a deferred request.
const DEFER_RETRY: Duration = Duration::from_millis(10);

/// How often each shard does what is due.
pub const TICK_PERIOD: Duration = Duration::from_millis(20);

/// A share message with the shard it is for and the incarnation that sent it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ShareEnvelope {
    /// The number of the shard.
    pub shard: usize,
    /// The sender.
    pub from: InstanceIncarnation,
    /// The message.
    pub message: ShareMessage,
}

/// What the driver needs of the rest of the process.
pub struct SharePorts {
    /// Sends a message to an instance; it may be lost.
    pub send: Box<dyn Fn(InstanceId, ShareEnvelope) + Send + Sync>,
    /// Reads a shard's table from the store.
    pub read: Box<dyn Fn(String) -> BoxFuture<'static, StoreAnswer> + Send + Sync>,
    /// Replaces a shard's table in the store if it still has the stated revision.
    pub write: WriteFn,
}

/// Replaces the table under a key if it still has the stated revision.
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
    /// Creates the shards of an instance whose process starts; `seed` must be new for each start.
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

    /// Returns the incarnation number of each shard, for the heartbeat.
    pub fn incarnations(&self) -> Vec<u64> {
        (0..SHARE_SHARDS)
            .map(|number| self.lock(number).shard.incarnation().number)
            .collect()
    }

    /// Takes the rates of a bundle.
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

    /// Takes the live members of one shard, each with its incarnation in that shard.
    pub fn set_members(&self, number: usize, members: Vec<ShareMember>) {
        self.lock(number).shard.set_members(members);
    }

    /// Charges one request to a team, and waits where share is on its way.
    ///
    /// It waits for `wait` at most, or for the longest deferral once an owner has answered.
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
            // Registered before the attempt, so that a wake between the two is not missed.
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
                answer => {
                    if let Some(deferral) = deferral.take() {
                        deferral.settle();
                    }
                    let refused = answer == AdmissionOutcome::Refused;
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
            // Tokens that accrue wake nobody, so the attempt is repeated after a while as well.
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
            .is_answered(team, arrived, timers::now())
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
        let admission = self
            .lock(number)
            .shard
            .admit(team, attempt, timers::now(), &mut actions);
        self.perform(number, actions);
        admission
    }

    /// Takes a message of another instance.
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

    /// Does what is due in all shards.
    pub fn tick(self: &Arc<Self>) {
        for number in 0..SHARE_SHARDS {
            let mut actions = Vec::new();
            self.lock(number).shard.tick(timers::now(), &mut actions);
            self.perform(number, actions);
        }
    }

    /// Starts to give all shares back.
    pub fn drain(&self) {
        (0..SHARE_SHARDS).for_each(|number| self.lock(number).shard.drain());
    }

    /// Returns whether a stopping instance owns nothing any more.
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
                debug!("shares: store gave no answer for shard {number}");
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

/// A deferred request; dropped without an answer, as when its caller goes away, it is forgotten.
struct Deferral {
    driver: Arc<ShareDriver>,
    number: usize,
    team: TeamId,
    settled: bool,
}

impl Deferral {
    fn new(driver: Arc<ShareDriver>, number: usize, team: &TeamId) -> Self {
        Self {
            driver,
            number,
            team: team.clone(),
            settled: false,
        }
    }

    fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for Deferral {
    fn drop(&mut self) {
        if !self.settled {
            self.driver.lock(self.number).shard.abandon(&self.team);
        }
    }
}

fn shard_of(team: &TeamId) -> usize {
    // The hash must be the same in all instances and versions, which `std`'s hashers do not state.
    let digest = Sha256::digest(team.as_str().as_bytes());
    usize::from(digest[0]) % SHARE_SHARDS
}

fn shard_name(number: usize) -> String {
    format!("shard-{number}")
}

fn store_key(number: usize) -> String {
    format!("shares/{}", shard_name(number))
}
