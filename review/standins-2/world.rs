//! A small deployment: the store, one service of three backends, fronts and the operator.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::front::Front;
use crate::group;
use crate::group::Group;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record::note;
use crate::store::Store;

/// Name of the service.
pub const SERVICE: &str = "studio-db";

/// Names of the databases: a route of each kind.
pub const PRIMARY: &str = "spread";
pub const BOUNDED: &str = "proof";
pub const OWN_WRITES: &str = "artwork";

/// Figures of the sheet.
pub const DRAIN_TIME: Duration = Duration::from_millis(7_000);
pub const REVOKE_TIME: Duration = Duration::from_millis(5_000);
pub const APPLY_TIME: Duration = Duration::from_millis(3_000);

pub struct World {
    pub store: Arc<Store>,
    pub group: Arc<Group>,
    pub fronts: Vec<Front>,
    pub tenants: Vec<(String, Vec<String>)>,
    version: u64,
    cloud: SocketAddr,
    folder: PathBuf,
}

impl World {
    /// Starts a deployment with fronts of these names and zones, and waits until they are ready.
    pub fn start(tenants: &[(&str, &[&str])], fronts: &[(&str, &str)]) -> World {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        if let Err(error) = std::fs::create_dir_all(&folder) {
            crate::record::give_up(&format!("{}: {error}", folder.display()));
        }
        let store = Store::start();
        let backends = [("i-1", "lagos-a"), ("i-2", "lagos-b"), ("i-3", "lagos-c")];
        let group = Group::start(SERVICE, &store, &backends);
        let cloud = group::serve_promotions(vec![Arc::clone(&group)]);
        let tenants = tenants.iter().map(|(name, keys)| {
            let keys = keys.iter().map(|key| (*key).to_owned()).collect();
            ((*name).to_owned(), keys)
        });
        let mut world = World {
            tenants: tenants.collect(),
            store,
            group,
            fronts: Vec::new(),
            version: 5,
            cloud,
            folder,
        };
        world.send_configuration();
        for (name, zone) in fronts {
            world.add_front(name, zone);
        }
        for front in &world.fronts {
            front.await_ready();
        }
        world
    }

    pub fn add_front(&mut self, name: &str, zone: &str) {
        let front = Front::start(&self.folder, name, zone, self.store.address, self.cloud);
        self.fronts.push(front);
    }

    /// Returns the name of the leader and the revision of its key.
    pub fn leader(&self) -> Option<(String, u64)> {
        let (value, revision) = self.store.read("tamaracklb/leader")?;
        let value = Json::parse(&value)?;
        Some((value.get("instance").as_text().to_owned(), revision))
    }

    /// Returns the number of the front that leads, once there is one.
    pub fn await_leader(&self) -> usize {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let leader = self.leader();
            let number =
                leader.and_then(|(name, _)| self.fronts.iter().position(|f| f.name == name));
            match number {
                Some(number) => return number,
                None if Instant::now() >= end => crate::record::give_up("no front leads"),
                None => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    /// Sends a new version of the configuration. Returns when the store confirmed it.
    pub fn send_configuration(&mut self) -> Instant {
        self.version += 2;
        let route = |name: &str, host: &str, kind: &str, timeout: u64, target: u64, stale: u64| {
            object(vec![
                ("Name", text(name)),
                ("Host", text(host)),
                ("Prefix", text("/")),
                ("Kind", text(kind)),
                ("TimeoutMs", number(timeout)),
                ("TargetLatencyMs", number(target)),
                ("Priority", number(1)),
                ("Service", text(SERVICE)),
                ("MaxAttempts", number(2)),
                ("MaxStalenessMs", number(stale)),
                ("Public", Json::Bool(false)),
            ])
        };
        let idle = format!("idle-{}", self.version);
        let routes = vec![
            route("r-1", PRIMARY, "primary", 1_000, 200, 0),
            route("r-2", BOUNDED, "bounded_staleness", 2_000, 600, 1_500),
            route("r-3", OWN_WRITES, "read_your_writes", 1_000, 400, 2_500),
            // What an operator changes most: a route that nobody uses yet.
            route("r-4", &idle, "primary", 1_000, 200, 0),
        ];
        let tenants = self.tenants.iter().map(|(name, keys)| {
            object(vec![
                ("Name", text(name)),
                (
                    "ApiKeys",
                    Json::List(keys.iter().map(|key| text(key)).collect()),
                ),
                ("Priority", number(1)),
                ("RatePerS", number(500)),
                ("Burst", number(500)),
            ])
        });
        let service = object(vec![
            ("Name", text(SERVICE)),
            ("HealthPath", text("/health")),
            ("MaxConnections", number(46)),
            ("Protocol", text("h1")),
            ("Tls", Json::Bool(false)),
            ("SyncReplicas", number(1)),
        ]);
        let configuration = object(vec![
            ("Version", number(self.version)),
            ("Routes", Json::List(routes)),
            ("Services", Json::List(vec![service])),
            ("Limits", object(vec![("TransactionIdleMs", number(3_000))])),
            ("Tenants", Json::List(tenants.collect())),
        ]);
        note(&format!(
            "operator: version {} with keys {:?}",
            self.version, self.tenants
        ));
        let confirmed_at = self
            .store
            .write_outside("op/config", Some(&configuration.to_string()));
        note(&format!("operator: version {} is confirmed", self.version));
        confirmed_at
    }

    /// Sends versions in quick succession.
    pub fn send_configurations(&mut self, count: u32, gap: Duration) {
        for _ in 0..count {
            self.send_configuration();
            std::thread::sleep(gap);
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // The fronts' logs are kept on request.
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
