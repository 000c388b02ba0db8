//! Keeps an instance's lease and its member key in the store.

use std::cell::Cell;
use std::rc::Rc;

use platform::store_client::LeaseId;
use platform::store_client::StoreChange;
use platform::store_error::StoreError;
use session_core::monotonic_time::now;

use crate::fleet_keys;
use crate::fleet_keys::MemberValue;
use crate::instance::Instance;
use crate::instance_limits::LEASE_TIME;
use crate::instance_limits::REGISTRATION_PAUSE;
use crate::instance_limits::RENEWAL_PAUSE;
use crate::instance_limits::RENEWAL_PERIOD;
use crate::instance_limits::STORE_PAUSE;
use crate::instance_limits::STORE_TIMEOUT;

/// Lease that this instance holds, if any.
#[derive(Debug, Default)]
pub struct StoreLease {
    lease: Cell<Option<LeaseId>>,
}

impl StoreLease {
    /// Returns the current lease, if there is one.
    pub fn get(&self) -> Option<LeaseId> {
        self.lease.get()
    }
}

/// Registers this instance and renews its lease until the process ends; registers again if the
/// lease is lost.
pub async fn keep_lease(instance: Rc<Instance>) {
    let mut pause = STORE_PAUSE;
    loop {
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

async fn register(instance: &Instance) -> Result<LeaseId, StoreError> {
    let requested_at = now();
    let lease = instance
        .store
        .grant_lease(LEASE_TIME, STORE_TIMEOUT)
        .await?;
    let value = MemberValue {
        address: instance.settings.peer_address,
        zone: instance.settings.zone.clone(),
        processor: instance.settings.processor,
    };
    let settings = &instance.settings;
    let key = fleet_keys::member_key(&settings.zone, &settings.instance);
    let change = StoreChange {
        puts: vec![(key, encode(&value)?, Some(lease))],
        ..StoreChange::default()
    };
    let revision = instance.store.change(change, STORE_TIMEOUT).await?;
    tracing::info!(event = "registered", lease = lease.0, revision);
    {
        let mut view = instance.view.borrow_mut();
        view.renewed_at = Some(requested_at);
        view.registered_at = revision;
    }
    instance.notify_view_change();
    Ok(lease)
}

async fn renew_until_lost(instance: &Instance, lease: LeaseId) {
    let mut pause = RENEWAL_PERIOD;
    loop {
        tokio::time::sleep(pause).await;
        let requested_at = now();
        match instance.store.renew_lease(lease, STORE_TIMEOUT).await {
            Ok(()) => {
                instance.view.borrow_mut().renewed_at = Some(requested_at);
                pause = RENEWAL_PERIOD;
            }
            Err(StoreError::NotFound) => {
                tracing::warn!(event = "lease_lost", lease = lease.0);
                return;
            }
            Err(error) => {
                tracing::info!(event = "renewal_failed", %error);
                pause = RENEWAL_PAUSE;
            }
        }
    }
}

/// Encodes a value of one of the daemon's keys as JSON.
pub fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(value).map_err(|error| StoreError::BadAnswer(error.to_string()))
}
