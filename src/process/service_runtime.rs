//! The state of one service on an instance: the watcher of its group and the use of its slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::process::endpoint_control::ControlTarget;
use crate::process::endpoint_control::EndpointControl;
use crate::process::failover::failover_limits::FailoverLimits;
use crate::process::failover::group_controller::WatchSettings;
use crate::process::failover::group_view::GroupMember;
use crate::process::group_watcher::EventFn;
use crate::process::group_watcher::GroupWatcher;
use crate::process::group_watcher::WatchedEndpoint;
use crate::process::slot_driver::SlotDriver;
use crate::process::slot_driver::SlotPlan;
use crate::process::slot_driver::SlotSendFn;
use crate::version::bundle::EndpointConfig;
use crate::version::bundle::ServiceConfig;
use crate::version::bundle::TeamConfig;
use crate::version::ids::EndpointId;
use crate::version::secret_text::SecretText;

/// The credentials with which an instance logs in to endpoints.
#[derive(Debug, Clone)]
pub struct EndpointLogin {
    /// The user name.
    pub user: String,
    /// The password.
    pub password: SecretText,
}

#[derive(Debug, Clone)]
struct EndpointAccess {
    address: SocketAddr,
    control: Arc<EndpointControl>,
}

/// The runtime of one service on an instance.
pub struct ServiceRuntime {
    /// The watcher of its group.
    pub watcher: Arc<GroupWatcher>,
    /// The permits for its slots.
    pub slots: Arc<SlotDriver>,
    login: EndpointLogin,
    config: Mutex<Arc<ServiceConfig>>,
    endpoints: Mutex<BTreeMap<EndpointId, EndpointAccess>>,
}

impl ServiceRuntime {
    /// Creates the runtime of a service that is new in the bundle.
    pub fn new(
        config: &ServiceConfig,
        teams: &[TeamConfig],
        login: EndpointLogin,
        settings: WatchSettings,
        on_event: EventFn,
        send: SlotSendFn,
    ) -> Self {
        let instance = settings.instance.clone();
        let slots = SlotDriver::new(config.id.clone(), instance, slot_plan(config, teams), send);
        let mut endpoints = BTreeMap::new();
        let watched = update_endpoints(&mut endpoints, config, &login);
        let limits = FailoverLimits::default();
        let watcher = GroupWatcher::new(watched, settings, limits, rand::random(), on_event);
        Self {
            watcher: Arc::new(watcher),
            slots: Arc::new(slots),
            login,
            config: Mutex::new(Arc::new(config.clone())),
            endpoints: Mutex::new(endpoints),
        }
    }

    /// Applies the configuration of the service and the teams from a newer bundle.
    pub fn set_config(&self, config: &ServiceConfig, teams: &[TeamConfig]) {
        self.slots.set_plan(slot_plan(config, teams));
        let watched = update_endpoints(&mut self.lock_endpoints(), config, &self.login);
        self.watcher.set_endpoints(watched);
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(config.clone());
    }

    /// Returns the service's configuration in the bundle in force.
    pub fn config(&self) -> Arc<ServiceConfig> {
        self.config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the address of an endpoint, or `None` if it is not in the bundle.
    pub fn address_of(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        self.lock_endpoints()
            .get(endpoint)
            .map(|access| access.address)
    }

    fn lock_endpoints(&self) -> MutexGuard<'_, BTreeMap<EndpointId, EndpointAccess>> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn slot_plan(config: &ServiceConfig, teams: &[TeamConfig]) -> SlotPlan {
    let endpoints = config.endpoints.iter();
    SlotPlan {
        slots: endpoints
            .map(|endpoint| (endpoint.id.clone(), endpoint.slots))
            .collect(),
        weights: teams
            .iter()
            .map(|team| (team.id.clone(), team.weight))
            .collect(),
    }
}

/// Applies the endpoints of a bundle and returns them for the watcher.
///
/// An endpoint with an unchanged address keeps its control connections.
fn update_endpoints(
    endpoints: &mut BTreeMap<EndpointId, EndpointAccess>,
    config: &ServiceConfig,
    login: &EndpointLogin,
) -> Vec<WatchedEndpoint> {
    endpoints.retain(|id, access| {
        let is_unchanged =
            |endpoint: &EndpointConfig| endpoint.id == *id && endpoint.address == access.address;
        config.endpoints.iter().any(is_unchanged)
    });
    let watched_endpoint = |endpoint: &EndpointConfig| {
        let access = endpoints
            .entry(endpoint.id.clone())
            .or_insert_with(|| EndpointAccess {
                address: endpoint.address,
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
            control: access.control.clone(),
        }
    };
    config.endpoints.iter().map(watched_endpoint).collect()
}
