//! The platform: the store, the services, the duty calls and the operator's configuration.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::group::Service;
use crate::group::Sheet;
use crate::http::Call;
use crate::json::Json;
use crate::record;
use crate::store::Store;

/// Called with the holder and the target of each promotion call.
pub type PromotionHook = Box<dyn Fn(&str, &str) + Send + Sync>;

pub struct Platform {
    pub store: Arc<Store>,
    pub folder: PathBuf,
    services: Mutex<Vec<Arc<Service>>>,
    hook: Mutex<Option<PromotionHook>>,
}

impl Platform {
    pub fn start() -> Arc<Self> {
        let folder = run_folder();
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Arc::new(Platform {
            store: Store::start(),
            folder,
            services: Mutex::default(),
            hook: Mutex::default(),
        })
    }

    /// Starts the services of a small deployment, three backends each; returns the first one.
    pub fn add_services(&self, sheet: &Sheet) -> Arc<Service> {
        let mut started = self.services.lock().unwrap();
        for name in SERVICES {
            let mut sheet = sheet.clone();
            sheet.service = name.to_owned();
            let zones = ["zone-a", "zone-b", "zone-c"];
            started.push(Service::start(sheet, Arc::clone(&self.store), &zones));
        }
        Arc::clone(&started[0])
    }

    pub fn on_promotion(&self, hook: PromotionHook) {
        *self.hook.lock().unwrap() = Some(hook);
    }

    /// Serves `POST /promotion` and does not check the fence.
    pub fn promotion(&self, call: &Call) -> Option<(u16, String)> {
        let body = Json::parse(&call.body).unwrap_or(Json::Null);
        let header = |name: &str| call.headers.get(name).cloned().unwrap_or_default();
        let token: u64 = header("fencing-token").parse().unwrap_or(0);
        let holder = header("duty-holder");
        let target = body.get("Id").text().to_owned();
        let services = self.services.lock().unwrap();
        let service = services
            .iter()
            .find(|service| service.sheet.service == body.get("Service").text())?;
        let group = service.group.lock().unwrap();
        let is_running = group.backends.get(&target).is_some_and(|b| b.running);
        let status = if is_running { 200 } else { 409 };
        record!("platform: promotion of {target} by {holder}, generation number {token}: {status}");
        if let Some(hook) = self.hook.lock().unwrap().as_ref() {
            hook(&holder, &target);
        }
        if is_running {
            let service = Arc::clone(service);
            std::thread::spawn(move || {
                std::thread::sleep(service.sheet.promote);
                service.promote(&target);
            });
        }
        Some((status, "{}".to_owned()))
    }

    /// Sends a configuration.
    pub fn configure(&self, configuration: &str) {
        record!("operator: op/config = {configuration}");
        self.store.put("op/config", configuration);
    }
}

/// The services of a small deployment; the cases use the first one.
pub const SERVICES: [&str; 3] = ["db", "db-2", "db-3"];

/// A service like those of the small deployments.
pub fn small_sheet(service: &str) -> Sheet {
    Sheet {
        service: service.to_owned(),
        sync_replicas: 1,
        lag: Duration::from_millis(60),
        promote: Duration::from_millis(1_000),
        slots: 3,
        work: Duration::from_millis(8),
        handshake: Duration::from_millis(12),
    }
}

/// Folder of the settings files and logs of a run.
pub fn run_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// A route of a configuration: the database, the kind, and whether it needs no key.
pub struct Route {
    pub host: &'static str,
    pub kind: &'static str,
    pub public: bool,
}

/// Returns a configuration with one service and two tenants, whose keys are `key-a` and `key-b`.
pub fn configuration(version: u64, sheet: &Sheet, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"Name\":\"r-{0}\",\"Host\":\"{0}\",\"Prefix\":\"/\",\"Kind\":\"{1}\",\"TimeoutMs\":800,\"TargetLatencyMs\":200,\"Priority\":1,\"Service\":\"{2}\",\"MaxAttempts\":2,\"MaxStalenessMs\":1500,\"Public\":{3}}}",
                route.host, route.kind, sheet.service, route.public
            )
        })
        .collect();
    let services: Vec<String> = SERVICES
        .iter()
        .map(|name| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":64,\"SyncReplicas\":{}}}",
                sheet.sync_replicas
            )
        })
        .collect();
    let tenants: Vec<String> = ["a", "b"]
        .iter()
        .map(|name| {
            format!("{{\"Name\":\"tenant-{name}\",\"ApiKeys\":[\"key-{name}\"],\"Priority\":1,\"RatePerS\":400,\"Burst\":400}}")
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"TransactionIdleMs\":3000}},\"Tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
