//! A database service: one primary and its replicas, their logs, and what they ran.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::line_server;
use crate::record;
use crate::store::Store;

/// How a service behaves, from the sheet of a small deployment.
#[derive(Clone)]
pub struct Sheet {
    pub service: String,
    /// Replicas that have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// How far replicas are behind in applying what they have received.
    pub lag: Duration,
    /// Time from a promotion call to its effect.
    pub promote: Duration,
    /// Slots of a backend, and the time of a read, write, commit or status in one.
    pub slots: usize,
    pub work: Duration,
    /// Time of a new connection in a slot.
    pub handshake: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    pub term: u64,
    pub request: String,
    pub writes: Vec<(String, String)>,
}

#[derive(Clone)]
pub struct Entry {
    pub commit: Commit,
    /// When a replica applies it.
    pub applies_at: Instant,
}

pub struct Backend {
    pub port: u16,
    pub zone: String,
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    pub paused: u64,
    pub draining: bool,
    pub running: bool,
    /// The primary from which it receives nothing; `*` for any.
    pub cut_from: Option<String>,
    pub slots: Arc<Slots>,
}

/// Slots of a backend; a request waits for a free one.
pub struct Slots {
    free: Mutex<usize>,
    freed: std::sync::Condvar,
}

impl Slots {
    fn new(count: usize) -> Arc<Self> {
        Arc::new(Slots {
            free: Mutex::new(count),
            freed: std::sync::Condvar::new(),
        })
    }

    pub fn work(&self, time: Duration) {
        let mut free = self.free.lock().unwrap();
        while *free == 0 {
            free = self.freed.wait(free).unwrap();
        }
        *free -= 1;
        drop(free);
        std::thread::sleep(time);
        *self.free.lock().unwrap() += 1;
        self.freed.notify_one();
    }
}

/// A statement that a backend ran.
#[derive(Clone)]
pub struct Run {
    pub request: String,
    pub values: BTreeMap<String, String>,
}

#[derive(Default)]
pub struct Group {
    pub backends: BTreeMap<String, Backend>,
    pub runs: Vec<Run>,
}

/// Called for each command that the system sends to a backend.
pub type CommandHook = Box<dyn Fn(&str, &str) + Send + Sync>;

pub struct Service {
    pub sheet: Sheet,
    pub group: Mutex<Group>,
    pub store: Arc<Store>,
    pub hook: Mutex<Option<CommandHook>>,
    next_port: AtomicUsize,
}

impl Service {
    pub fn start(sheet: Sheet, store: Arc<Store>, zones: &[&str]) -> Arc<Self> {
        let service = Arc::new(Service {
            sheet,
            group: Mutex::default(),
            store,
            hook: Mutex::default(),
            next_port: AtomicUsize::new(1),
        });
        for (index, zone) in zones.iter().enumerate() {
            service.add(zone, index == 0);
        }
        let following = Arc::clone(&service);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(2));
            following.replicate();
        });
        service
    }

    /// Starts a backend and registers it; returns its id.
    pub fn add(self: &Arc<Self>, zone: &str, primary: bool) -> String {
        let number = self.next_port.fetch_add(1, Ordering::SeqCst);
        let id = format!("i-{}-{number}", self.sheet.service);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("a bound port").port();
        {
            let mut group = self.group.lock().unwrap();
            let term = group.backends.values().map(|b| b.term).max().unwrap_or(3);
            let backend = Backend {
                port,
                zone: zone.to_owned(),
                primary,
                term,
                log: Vec::new(),
                paused: 0,
                draining: false,
                running: true,
                cut_from: None,
                slots: Slots::new(self.sheet.slots),
            };
            group.backends.insert(id.clone(), backend);
        }
        line_server::serve(listener, Arc::clone(self), id.clone());
        self.replicate();
        self.register(&id);
        record!("backend {id} starts at 127.0.0.1:{port} in {zone}");
        id
    }

    /// Writes the entry of a backend into the store.
    pub fn register(&self, id: &str) {
        let text = {
            let group = self.group.lock().unwrap();
            let Some(backend) = group.backends.get(id) else {
                return;
            };
            format!(
                "{{\"Service\":\"{}\",\"Address\":\"127.0.0.1:{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\"State\":\"{}\",\"ColdRemainingMs\":0,\"DatabaseRole\":\"{}\",\"Sequence\":1,\"born\":1790000000000}}",
                self.sheet.service,
                backend.port,
                backend.zone,
                self.sheet.slots,
                if backend.draining { "draining" } else { "ready" },
                if backend.primary { "primary" } else { "replica" },
            )
        };
        let key = format!("servers/{id}");
        if self.store.value(&key).as_deref() != Some(text.as_str()) {
            self.store.put(&key, &text);
        }
    }

    /// Reports a backend as draining.
    pub fn drain(&self, id: &str) {
        if let Some(backend) = self.group.lock().unwrap().backends.get_mut(id) {
            backend.draining = true;
        }
        record!("backend {id} reports draining");
        self.register(id);
    }

    /// Ends a backend.
    pub fn leave(&self, id: &str) {
        if let Some(backend) = self.group.lock().unwrap().backends.get_mut(id) {
            backend.running = false;
            backend.primary = false;
        }
        self.store.remove(&format!("servers/{id}"));
        record!("backend {id} has left");
    }

    /// Sets the primary from which a backend receives nothing; `*` for any.
    pub fn set_cut(&self, id: &str, primary: Option<&str>) {
        record!("disruption: {id} receives nothing from {primary:?}");
        if let Some(backend) = self.group.lock().unwrap().backends.get_mut(id) {
            backend.cut_from = primary.map(str::to_owned);
        }
    }

    /// Returns the primary of the newest term.
    pub fn primary(&self) -> Option<String> {
        newest_primary(&self.group.lock().unwrap())
    }

    /// Returns the acknowledged writes that the newest primary's log lacks.
    pub fn lost(&self, acknowledged: &[String]) -> Vec<String> {
        let group = self.group.lock().unwrap();
        let Some(primary) = newest_primary(&group) else {
            return Vec::new();
        };
        let log = &group.backends[&primary].log;
        let is_lost = |id: &&String| !log.iter().any(|entry| entry.commit.request == **id);
        acknowledged.iter().filter(is_lost).cloned().collect()
    }

    /// Sends the log of each primary to the replicas of its term.
    pub fn replicate(&self) {
        let mut group = self.group.lock().unwrap();
        let primaries: Vec<(String, u64, Vec<Entry>)> = group
            .backends
            .iter()
            .filter(|(_, b)| b.primary && b.running)
            .map(|(id, b)| (id.clone(), b.term, b.log.clone()))
            .collect();
        let applies_at = Instant::now() + self.sheet.lag;
        for (id, term, log) in primaries {
            for replica in group.backends.values_mut() {
                let cut_from = replica.cut_from.as_deref();
                let is_cut = cut_from.is_some_and(|cut| cut == "*" || cut == id);
                let follows = !replica.primary && !is_cut && replica.term == term;
                if follows && replica.running && replica.paused == 0 {
                    receive(replica, &log, applies_at);
                }
            }
        }
    }

    /// Makes a backend the primary of the next term, with what it has received.
    pub fn promote(self: &Arc<Self>, target: &str) {
        {
            let mut group = self.group.lock().unwrap();
            if newest_primary(&group).as_deref() == Some(target) {
                return;
            }
            let newest = group.backends.values().map(|b| b.term).max().unwrap_or(0);
            let now = Instant::now();
            let log = match group.backends.get_mut(target) {
                Some(backend) if backend.running => {
                    backend.primary = true;
                    backend.term = newest + 1;
                    backend.paused = 0;
                    for entry in &mut backend.log {
                        entry.applies_at = entry.applies_at.min(now);
                    }
                    backend.log.clone()
                }
                _ => return,
            };
            let applies_at = now + self.sheet.lag;
            for (id, other) in &mut group.backends {
                if id != target && other.running && !other.primary {
                    other.term = newest + 1;
                    other.paused = 0;
                    receive(other, &log, applies_at);
                }
            }
            record!("backend {target} leads term {}", newest + 1);
        }
        self.register(target);
        // The old primary continues until DEMOTE, or until a second after it reaches the new one.
        let service = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(1));
            service.step_down();
        });
    }

    /// Turns primaries of older terms into replicas of the newest one.
    pub fn step_down(&self) {
        let mut changed = Vec::new();
        {
            let mut group = self.group.lock().unwrap();
            let Some(newest) = newest_primary(&group) else {
                return;
            };
            let (term, log) = {
                let primary = &group.backends[&newest];
                (primary.term, primary.log.clone())
            };
            let applies_at = Instant::now() + self.sheet.lag;
            for (id, other) in &mut group.backends {
                if *id != newest && other.running && other.term < term {
                    other.primary = false;
                    other.term = term;
                    other.paused = 0;
                    receive(other, &log, applies_at);
                    record!("backend {id} follows {newest} in term {term}");
                    changed.push(id.clone());
                }
            }
        }
        for id in changed {
            self.register(&id);
        }
    }
}

/// Replaces a replica's log by a primary's, keeping what it has applied of it.
fn receive(replica: &mut Backend, log: &[Entry], applies_at: Instant) {
    let known = replica
        .log
        .iter()
        .zip(log)
        .take_while(|(own, new)| own.commit == new.commit)
        .count();
    replica.log.truncate(known);
    for entry in &log[known..] {
        replica.log.push(Entry {
            commit: entry.commit.clone(),
            applies_at,
        });
    }
}

pub fn newest_primary(group: &Group) -> Option<String> {
    let primaries = group.backends.iter().filter(|(_, b)| b.primary && b.running);
    primaries.max_by_key(|(_, b)| b.term).map(|(id, _)| id.clone())
}

impl Backend {
    /// Returns how many commits are visible to reads.
    pub fn applied(&self) -> usize {
        let now = Instant::now();
        if self.primary {
            return self.log.len();
        }
        let visible = self.log.iter().take_while(|entry| entry.applies_at <= now);
        visible.count()
    }

    /// Returns the position of the applied log.
    pub fn position(&self) -> (u64, usize) {
        let applied = self.applied();
        let term = match applied == self.log.len() {
            true => self.term,
            false => applied.checked_sub(1).map_or(0, |at| self.log[at].commit.term),
        };
        (term, applied)
    }

    pub fn read(&self, item: &str) -> String {
        let visible = self.log[..self.applied()].iter();
        let mut writes = visible.flat_map(|entry| &entry.commit.writes);
        writes
            .rfind(|(name, _)| name == item)
            .map_or("0".to_owned(), |(_, value)| value.clone())
    }
}
