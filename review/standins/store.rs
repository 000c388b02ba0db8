//! The platform's metadata store: items, leases, watches and transactions.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Call;
use crate::json::from_base64;
use crate::json::to_base64;
use crate::json::Json;
use crate::record;

/// Time of an answer in the small deployments.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// Chooses the transactions whose answers are lost and that are done later, by machine and keys.
pub type LateRule = Box<dyn Fn(&str, &[String]) -> Option<Duration> + Send + Sync>;

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    late: Mutex<Option<LateRule>>,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value: value.clone(),
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.events.push(Event {
            key: key.to_owned(),
            value: Some(value),
            revision: self.revision,
            created,
            lease,
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event {
                key: key.to_owned(),
                value: None,
                revision: self.revision,
                created: 0,
                lease: 0,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            record!("store: lease {lease} has ended, {key} is removed");
            self.remove(&key);
        }
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Store::default());
        store.state.lock().unwrap().revision = 100;
        let expiring = Arc::clone(&store);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(10));
            let mut state = expiring.state.lock().unwrap();
            let now = Instant::now();
            let ended: Vec<u64> = state
                .leases
                .iter()
                .filter(|(_, (_, end))| *end <= now)
                .map(|(lease, _)| *lease)
                .collect();
            for lease in ended {
                state.end_lease(lease);
                expiring.changed.notify_all();
            }
        });
        store
    }

    pub fn set_late(&self, rule: Option<LateRule>) {
        *self.late.lock().unwrap() = rule;
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Returns the value of an item as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    pub fn answer(self: &Arc<Self>, machine: &str, call: &Call) -> Option<(u16, String)> {
        std::thread::sleep(ANSWER_TIME);
        let number = |name: &str| call.query.get(name).and_then(|t| t.parse().ok());
        let prefix = call.query.get("Prefix").cloned().unwrap_or_default();
        let reply = match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/kv-key") => self.read(call.query.get("Key").map_or("", |key| key)),
            ("GET", "/kv-range") => self.range(&prefix, call.query.get("after")),
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
                self.watch(&prefix, number("after").unwrap_or(0), wait)
            }
            ("POST", "/kv-txn") => {
                let body = Json::parse(&call.body).unwrap_or(Json::Null);
                let keys: Vec<String> = body
                    .get("Puts")
                    .list()
                    .iter()
                    .map(|put| put.get("Key").text().to_owned())
                    .collect();
                let late = self.late.lock().unwrap();
                if let Some(time) = late.as_ref().and_then(|rule| rule(machine, &keys)) {
                    record!("store: the answer to {machine} putting {keys:?} is lost, done in {time:?}");
                    let store = Arc::clone(self);
                    std::thread::spawn(move || {
                        std::thread::sleep(time);
                        let (status, _) = store.change(&body);
                        record!("store: the late put of {keys:?} is done, status {status}");
                    });
                    return None;
                }
                drop(late);
                let reply = self.change(&body);
                for key in keys {
                    let value = self.value(&key).unwrap_or_default();
                    record!("store: {machine} puts {key} = {value}, status {}", reply.0);
                }
                reply
            }
            ("POST", "/kv-lease") => {
                let body = Json::parse(&call.body).unwrap_or(Json::Null);
                let length = body.get("TtlMs").number();
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = 9_000 + state.next_lease;
                let ttl = Duration::from_millis(length);
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{length}}}"))
            }
            (_, path) => match path.rsplit_once('/') {
                Some(("/kv-keep", lease)) => self.keep(lease.parse().unwrap_or(0)),
                Some(("/kv-lease-end", lease)) => {
                    let lease = lease.parse().unwrap_or(0);
                    record!("store: {machine} ends lease {lease}");
                    self.state.lock().unwrap().end_lease(lease);
                    self.changed.notify_all();
                    (200, "{}".to_owned())
                }
                _ => (404, "{}".to_owned()),
            },
        };
        Some(reply)
    }

    fn read(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, item_text(key, item)),
            None => (404, format!("{{\"StoreRevision\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: Option<&String>) -> (u16, String) {
        const PAGE: usize = 500;
        let state = self.state.lock().unwrap();
        let rest: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && after.is_none_or(|a| *key > a))
            .take(PAGE + 1)
            .map(|(key, item)| item_text(key, item))
            .collect();
        let more = rest.len() > PAGE;
        let items = rest[..rest.len().min(PAGE)].join(",");
        let revision = state.revision;
        let body =
            format!("{{\"items\":[{items}],\"HasMore\":{more},\"StoreRevision\":{revision}}}");
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .map(event_text)
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}");
                return (200, body);
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&lease) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                let length = ttl.as_millis();
                (200, format!("{{\"Lease\":{lease},\"TtlMs\":{length}}}"))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn change(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let conditions = body.get("Precondition").list();
        let holds = conditions.iter().all(|row| {
            let revision = state.items.get(row.get("Key").text()).map_or(0, |i| i.revision);
            revision == row.get("Revision").number()
        });
        if !holds {
            let items: Vec<String> = conditions
                .iter()
                .map(|row| row.get("Key").text())
                .filter_map(|key| state.items.get(key).map(|item| item_text(key, item)))
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("Puts").list();
        let leases_exist = puts.iter().all(|put| {
            let lease = put.get("Lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        });
        if !leases_exist {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = from_base64(put.get("Value").text());
            state.put(put.get("Key").text(), value, put.get("Lease").number());
        }
        for key in body.get("Remove").list() {
            state.remove(key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"Revision\":{}}}", state.revision))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn event_text(event: &Event) -> String {
    match &event.value {
        Some(value) => format!(
            "{{\"Key\":\"{}\",\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
            event.key,
            to_base64(value),
            event.revision,
            event.created,
            event.lease
        ),
        None => format!(
            "{{\"Key\":\"{}\",\"Revision\":{},\"Deleted\":true}}",
            event.key, event.revision
        ),
    }
}
