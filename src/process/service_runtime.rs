//! What an instance keeps for one service: the view of its group and the use of its slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::process::endpoint_control::ControlTarget;
use crate::process::endpoint_control::EndpointControl;
use crate::process::failover::failover_limits::FailoverLimits;
use crate::process::failover::group_controller::WatchSettings;
use crate::process::failover::group_view::GroupMember;
use crate::process::group_watcher::EventFn;
use crate::process::group_watcher::GroupWatcher;
use crate::process::group_watcher::WatchedEndpoint;
use crate::request::refusal::RequestRefusal;
use crate::version::bundle::EndpointConfig;
use crate::version::bundle::ServiceConfig;
use crate::version::ids::EndpointId;
use crate::version::secret_text::SecretText;

/// The credentials of an instance at endpoints.
#[derive(Debug, Clone)]
pub struct EndpointLogin {
    /// The user name.
    pub user: String,
    /// The password.
    pub password: SecretText,
}

#[derive(Debug, Clone)]
struct EndpointSlots {
    address: SocketAddr,
    total: usize,
    free: Arc<Semaphore>,
    control: Arc<EndpointControl>,
}

/// One service on one instance.
pub struct ServiceRuntime {
    /// The watcher of its group.
    pub watcher: Arc<GroupWatcher>,
    login: EndpointLogin,
    config: Mutex<Arc<ServiceConfig>>,
    endpoints: Mutex<BTreeMap<EndpointId, EndpointSlots>>,
}

impl ServiceRuntime {
    /// Creates the runtime of a service that appears in a bundle.
    pub fn new(
        config: &ServiceConfig,
        login: EndpointLogin,
        settings: WatchSettings,
        seed: u64,
        on_event: EventFn,
    ) -> Self {
        let mut endpoints = BTreeMap::new();
        let watched = update_endpoints(&mut endpoints, config, &login);
        let limits = FailoverLimits::default();
        let watcher = GroupWatcher::new(watched, settings, limits, seed, on_event);
        Self {
            watcher: Arc::new(watcher),
            login,
            config: Mutex::new(Arc::new(config.clone())),
            endpoints: Mutex::new(endpoints),
        }
    }

    /// Takes the service's part of a newer bundle.
    pub fn set_config(&self, config: &ServiceConfig) {
        let watched = update_endpoints(&mut self.lock_endpoints(), config, &self.login);
        self.watcher.set_endpoints(watched);
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(config.clone());
    }

    /// Returns the service's part of the bundle in force.
    pub fn config(&self) -> Arc<ServiceConfig> {
        self.config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the address of an endpoint.
    pub fn address_of(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.lock_endpoints()
            .get(endpoint)
            .map(|slots| slots.address)
    }

    /// Returns the share of an endpoint's slots that this instance uses.
    pub fn load_of(&self, endpoint: &EndpointId) -> f64 {
        let endpoints = self.lock_endpoints();
        endpoints.get(endpoint).map_or(0.0, |slots| {
            let used = slots.total.saturating_sub(slots.free.available_permits());
            used as f64 / slots.total.max(1) as f64
        })
    }

    /// Waits for a slot of an endpoint.
    pub async fn take_slot(
        &self,
        endpoint: &EndpointId,
        limit: Duration,
    ) -> Result<OwnedSemaphorePermit, RequestRefusal> {
        let free = self
            .lock_endpoints()
            .get(endpoint)
            .map(|slots| slots.free.clone());
        let free = free.ok_or(RequestRefusal::NoEndpoint)?;
        match tokio::time::timeout(limit, free.acquire_owned()).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(RequestRefusal::NoEndpoint),
            Err(_) => Err(RequestRefusal::QueueDeadline),
        }
    }

    fn lock_endpoints(&self) -> MutexGuard<'_, BTreeMap<EndpointId, EndpointSlots>> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Brings the endpoints in line with a bundle and returns them for the watcher.
fn update_endpoints(
    endpoints: &mut BTreeMap<EndpointId, EndpointSlots>,
    config: &ServiceConfig,
    login: &EndpointLogin,
) -> Vec<WatchedEndpoint> {
    endpoints.retain(|id, slots| {
        let still = |endpoint: &EndpointConfig| {
            endpoint.id == *id
                && endpoint.address == slots.address
                && endpoint.slots.0 as usize == slots.total
        };
        config.endpoints.iter().any(still)
    });
    let watch = |endpoint: &EndpointConfig| {
        let slots = endpoints
            .entry(endpoint.id.clone())
            .or_insert_with(|| EndpointSlots {
                address: endpoint.address,
                total: endpoint.slots.0 as usize,
                free: Arc::new(Semaphore::new(endpoint.slots.0 as usize)),
                control: Arc::new(EndpointControl::new(ControlTarget {
                    address: endpoint.address,
                    database: config.id.to_string(),
                    user: login.user.clone(),
                    password: login.password.clone(),
                })),
            });
        WatchedEndpoint {
            member: GroupMember {
                endpoint: endpoint.id.clone(),
                zone: endpoint.zone.clone(),
                leaving: endpoint.leaving,
            },
            control: slots.control.clone(),
        }
    };
    config.endpoints.iter().map(watch).collect()
}
