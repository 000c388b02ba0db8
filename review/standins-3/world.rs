//! A small deployment: the store, three backends and some daemons.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Client;
use crate::fleet::Front;
use crate::fleet::KEY;
use crate::fleet::OTHER_KEY;
use crate::freezer::Freezer;
use crate::group::Group;
use crate::group::SERVICE;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub struct World {
    pub record: Arc<Record>,
    pub group: Arc<Group>,
    pub store: Arc<Store>,
    pub fronts: Vec<Front>,
    pub freezer: Arc<Freezer>,
}

/// Maximum number of connections of a service, as in the site file.
pub const MAX_CONNECTIONS: u64 = 46;

/// Returns a configuration in which the tenant has these keys.
pub fn configuration(version: u64, connections: u64, keys: &[&str]) -> Json {
    let route = |host: &str, kind: &str, timeout: u64, target: u64, staleness: Option<u64>| {
        let mut fields = vec![
            ("Name", Json::text(host)),
            ("Host", Json::text(host)),
            ("Kind", Json::text(kind)),
            ("TimeoutMs", Json::number(timeout)),
            ("TargetLatencyMs", Json::number(target)),
            ("Priority", Json::number(1)),
            ("Service", Json::text(SERVICE)),
            ("Public", Json::Bool(false)),
        ];
        fields.extend(staleness.map(|limit| ("MaxStalenessMs", Json::number(limit))));
        Json::table(fields)
    };
    let service = Json::table(vec![
        ("Name", Json::text(SERVICE)),
        ("MaxConnections", Json::number(connections)),
        ("SyncReplicas", Json::number(1)),
    ]);
    let tenant = Json::table(vec![
        ("Name", Json::text("nypu920")),
        (
            "ApiKeys",
            Json::List(keys.iter().map(|key| Json::text(key)).collect()),
        ),
        ("RatePerS", Json::number(900)),
        ("Burst", Json::number(900)),
    ]);
    Json::table(vec![
        ("Version", Json::number(version)),
        (
            "Routes",
            Json::List(vec![
                route("linear", "primary", 1_000, 200, None),
                route("bounded", "bounded_staleness", 2_000, 600, Some(1_500)),
                route("own", "read_your_writes", 1_000, 400, Some(2_500)),
            ]),
        ),
        ("Services", Json::List(vec![service])),
        (
            "Limits",
            Json::table(vec![("TransactionIdleMs", Json::number(3_000))]),
        ),
        ("Tenants", Json::List(vec![tenant])),
    ])
}

impl World {
    /// Starts a deployment with a daemon in each of the given zones. Returns `None` if it does not come
    /// into service.
    pub fn start(
        record: Arc<Record>,
        folder: &Path,
        zones: &[&str],
        backend_zones: [&str; 3],
    ) -> Option<World> {
        Self::start_with(record, folder, zones, backend_zones, MAX_CONNECTIONS)
    }

    /// As [`World::start`], with a limit on the connections to each backend.
    pub fn start_with(
        record: Arc<Record>,
        folder: &Path,
        zones: &[&str],
        backend_zones: [&str; 3],
        connections: u64,
    ) -> Option<World> {
        let group = Group::start(&record, backend_zones);
        let (store, platform) = Store::start(&group, &record);
        let freezer = Arc::new(Freezer::new(&record));
        let (armed, accepting) = (Arc::clone(&freezer), Arc::clone(&freezer));
        let cloud = store.serve_promotions(move || armed.is_armed(), move || accepting.accept());
        group.lock().max_connections = connections as usize;
        let first = configuration(7, connections, &[KEY, OTHER_KEY])
            .to_string()
            .into_bytes();
        store.lock().content.put("op/config", first, 0);
        // The pages set no first era. A store that counts its drills begins with 0.
        let era = std::env::var("FIRST_ERA").ok();
        store.lock().era = era.and_then(|text| text.parse().ok()).unwrap_or(0);
        group.maintain(&store);
        let fronts = zones.iter().enumerate();
        let fronts = fronts
            .map(|(number, zone)| Front::start(folder, number as u8, zone, platform, cloud))
            .collect();
        let world = World {
            record,
            group,
            store,
            fronts,
            freezer,
        };
        world
            .await_service(Duration::from_secs(15))
            .then_some(world)
    }

    /// Waits until each daemon serves a write.
    pub fn await_service(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        self.fronts.iter().all(|front| {
            loop {
                if front.is_ready()
                    && let Ok(mut client) =
                        Client::open(&self.record, "probe", front.callers, "linear")
                    && client
                        .request("WRITE warm 1")
                        .1
                        .is_ok_and(|answer| answer.is_ok())
                {
                    return true;
                }
                if Instant::now() >= end {
                    return false;
                }
                thread::sleep(Duration::from_millis(100));
            }
        })
    }
}
