//! Keeps an instance's lease and its member key in the store.

use std::cell::Cell;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;

use platform::store_client::LeaseId;
use platform::store_client::StoreChange;
use platform::store_error::StoreError;
use session_core::monotonic_time::now;
use session_core::store_revision::StoreRevision;

use crate::fleet_keys;
use crate::fleet_keys::MemberValue;
use crate::instance::Instance;
use crate::instance_limits::LEASE_TIME;
use crate::instance_limits::REGISTRATION_PAUSE;
use crate::instance_limits::REGISTRATION_SPREAD;
use crate::instance_limits::RENEWAL_PAUSE;
use crate::instance_limits::RENEWAL_PERIOD;
use crate::instance_limits::STORE_PAUSE;
use crate::instance_limits::STORE_TIMEOUT;

/// Lease that this instance holds, if any.
#[derive(Debug, Default)]
pub struct StoreLease {
    lease: Cell<Option<LeaseId>>,
    released: Cell<bool>,
}

impl StoreLease {
    /// Forgets the lease, which is not renewed or replaced any more, and returns it.
    pub fn release(&self) -> Option<LeaseId> {
        self.released.set(true);
        self.lease.take()
    }

    /// Returns the current lease, if there is one.
    pub fn get(&self) -> Option<LeaseId> {
        self.lease.get()
    }
}

/// Registers this instance and renews its lease until it is released; registers again if the lease
/// is lost.
pub async fn keep_lease(instance: Rc<Instance>) {
    let mut pause = STORE_PAUSE;
    while !instance.lease.released.get() {
        match register(&instance).await {
            Ok(lease) => {
                pause = STORE_PAUSE;
                instance.lease.lease.set(Some(lease));
                renew_until_lost(&instance, lease).await;
                instance.lease.lease.set(None);
            }
            Err(error) => {
                tracing::warn!(event = "registration_failed", %error);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(REGISTRATION_PAUSE);
                instance.await_store().await;
            }
        }
    }
}

/// Writes the member key with a new lease.
///
/// A write without an answer may be done seconds later. It must not replace the key of a later
/// registration, whose lease is renewed: without its key, an instance that uses primaries would not
/// be awaited by the leader. Each write therefore depends on the revision of the key that it
/// replaces, which no later state of the key has again while it exists, and the key exists until its
/// lease ends.
async fn register(instance: &Instance) -> Result<LeaseId, StoreError> {
    let requested_at = now();
    let lease = instance
        .store
        .grant_lease(LEASE_TIME, STORE_TIMEOUT)
        .await?;
    let settings = &instance.settings;
    let value = MemberValue {
        address: settings.peer_address,
        zone: settings.zone.clone(),
        processor: settings.processor,
    };
    let value = encode(&value)?;
    let key = fleet_keys::member_key(&settings.zone, &settings.instance);
    let known = instance.view.borrow().key_revision(&key);
    // The view may not have reached the era of the store yet.
    let is_current = known.era() == instance.store.era().era;
    let mut replaced = Some(known).filter(|_| is_current).unwrap_or_default();
    let revision = loop {
        let change = StoreChange {
            conditions: vec![(key.clone(), replaced)],
            puts: vec![(key.clone(), value.clone(), Some(lease))],
            ..StoreChange::default()
        };
        match instance.store.change(change, STORE_TIMEOUT).await {
            Ok(revision) => break revision,
            Err(StoreError::Conflict(items)) => {
                let current = items.iter().find(|item| item.key == key);
                let current = current.map_or_else(StoreRevision::default, |item| item.revision);
                if current == replaced {
                    return Err(StoreError::Conflict(items));
                }
                replaced = current;
            }
            Err(error) => return Err(error),
        }
    };
    tracing::info!(event = "registered", lease = lease.0, %revision, %replaced);
    {
        let mut view = instance.view.borrow_mut();
        view.renewed_at = Some(requested_at);
        view.registered_at = revision;
        view.registered_since = Some(now());
        view.first_registered_at.get_or_insert(revision);
    }
    instance.notify_view_change();
    Ok(lease)
}

/// Renews the lease until it is lost or released, or until the store has come back from a copy. The
/// copy may lack the lease or the member key, although it may still hold one of them.
async fn renew_until_lost(instance: &Instance, lease: LeaseId) {
    let era = instance.view.borrow().registered_at.era();
    let mut eras = instance.store.subscribe_era();
    let mut pause = RENEWAL_PERIOD;
    loop {
        // The guard that the receiver returns would block the sender.
        let era_ended = async { eras.wait_for(|known| known.era != era).await.is_ok() };
        let is_outdated = tokio::time::timeout(pause, era_ended).await;
        if is_outdated == Ok(true) {
            tracing::warn!(event = "registration_outdated", %era, lease = lease.0);
            tokio::time::sleep(spread_delay(instance)).await;
            return;
        }
        let requested_at = now();
        let renewed = instance.store.renew_lease(lease, STORE_TIMEOUT).await;
        if instance.lease.released.get() {
            return;
        }
        match renewed {
            Ok(()) => {
                instance.view.borrow_mut().renewed_at = Some(requested_at);
                pause = RENEWAL_PERIOD;
            }
            Err(StoreError::NotFound) => {
                tracing::warn!(event = "lease_lost", lease = lease.0);
                instance.view.borrow_mut().renewed_at = None;
                return;
            }
            Err(error) => {
                tracing::info!(event = "renewal_failed", %error);
                pause = RENEWAL_PAUSE;
            }
        }
    }
}

/// Returns the part of [`REGISTRATION_SPREAD`] after which this instance registers again.
fn spread_delay(instance: &Instance) -> Duration {
    let mut hasher = DefaultHasher::new();
    instance.settings.instance.hash(&mut hasher);
    let fraction = hasher.finish() as f64 / u64::MAX as f64;
    REGISTRATION_SPREAD.mul_f64(fraction)
}

/// Encodes a value of one of the daemon's keys as JSON.
pub fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(value).map_err(|error| StoreError::BadAnswer(error.to_string()))
}
