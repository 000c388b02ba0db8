//! The platform's store and its promotion call over HTTP.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::group::Group;
use crate::json::Json;
use crate::json::from_base64;
use crate::json::to_base64;
use crate::record::Record;

/// How long an answer of the store takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
pub struct Item {
    pub value: Vec<u8>,
    pub revision: u64,
    pub lease: u64,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    key: String,
    value: Option<Vec<u8>>,
}

#[derive(Clone, Default)]
pub struct Content {
    pub items: BTreeMap<String, Item>,
    events: Vec<Event>,
    pub revision: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl Content {
    pub fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let item = Item {
            value: value.clone(),
            revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.events.push(Event {
            revision,
            key: key.to_owned(),
            value: Some(value),
        });
    }

    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.events.push(Event {
                revision,
                key: key.to_owned(),
                value: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        for key in of_lease.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        for lease in ended.map(|(lease, _)| *lease).collect::<Vec<_>>() {
            self.end_lease(lease);
        }
    }
}

#[derive(Default)]
pub struct State {
    pub content: Content,
    pub era: u64,
    /// Whether the store answers nobody.
    pub away: bool,
    /// Whether the store refuses everybody.
    pub busy: bool,
    /// By how much answers take longer.
    pub slow: Duration,
    /// Whether transactions are done and not answered.
    pub loses: bool,
    /// Whether transactions are not answered, and done after this time.
    pub late: Option<Duration>,
}

pub struct Store {
    state: Mutex<State>,
    group: Arc<Group>,
    record: Arc<Record>,
}

/// A copy of the content, from which the store comes back in a drill.
pub struct Copy {
    content: Content,
    copied_at: Instant,
}

impl Store {
    pub fn start(group: &Arc<Group>, record: &Arc<Record>) -> (Arc<Store>, SocketAddr) {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let store = Arc::new(Store {
            state: Mutex::default(),
            group: Arc::clone(group),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock the store")
    }

    pub fn copy(&self) -> Copy {
        Copy {
            content: self.lock().content.clone(),
            copied_at: Instant::now(),
        }
    }

    /// Comes back from a copy in the next era. What the operator and the backends wrote is written
    /// again, the backends' entries at once and the operator's if `operator` is set. Leases of the copy run
    /// on from where they were.
    pub fn restore(&self, copy: &Copy, operator: bool) {
        let mut state = self.lock();
        let is_owned =
            |key: &str| key.starts_with("op/") && operator || key.starts_with("servers/");
        let owned = std::mem::take(&mut state.content.items);
        let next_lease = state.content.next_lease;
        state.content = copy.content.clone();
        state.content.next_lease = next_lease;
        let age = copy.copied_at.elapsed();
        state
            .content
            .leases
            .values_mut()
            .for_each(|(end, _)| *end += age);
        state.era += 1;
        let lost: Vec<String> = state.content.items.keys().cloned().collect();
        for key in lost
            .iter()
            .filter(|key| is_owned(key) && !owned.contains_key(*key))
        {
            state.content.remove(key);
        }
        for (key, item) in owned.into_iter().filter(|(key, _)| is_owned(key)) {
            let present = state.content.items.get(&key);
            if present.is_none_or(|present| present.value != item.value) {
                state.content.put(&key, item.value, 0);
            }
        }
        let order = state
            .content
            .items
            .iter()
            .find(|(key, _)| key.contains("/order/"));
        let order = order.map(|(_, item)| String::from_utf8_lossy(&item.value).into_owned());
        let (era, revision) = (state.era, state.content.revision);
        self.record.write(&format!(
            "store is back, {} ms old, era {era}, revision {revision}, order {order:?}",
            age.as_millis()
        ));
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = BufReader::new(stream);
        while let Some((path, headers, body)) = read_request(&mut reader) {
            let reply = self.answer(&path, &headers, &body);
            // A store that is away answers nothing on a connection that it had.
            let Some((status, body)) = reply else {
                thread::sleep(Duration::from_secs(3));
                return;
            };
            let (body, era) = (body.to_string(), self.lock().era);
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        self: &Arc<Self>,
        path: &str,
        headers: &HashMap<String, String>,
        body: &str,
    ) -> Option<(u16, Json)> {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        if path == "/promotion" {
            return self.promote(headers, body);
        }
        let slow = self.lock().slow;
        thread::sleep(ANSWER_TIME + slow);
        if self.lock().busy {
            return Some((503, Json::table(vec![])));
        }
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, unescape(value)))
            .collect();
        let prefix = query.get("Prefix").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        if path == "/kv-watch" {
            let (after, wait) = (number("after")?, number("WaitMs")?);
            return self.watch(&prefix, after, Duration::from_millis(wait));
        }
        let mut state = self.lock();
        if state.away {
            return None;
        }
        let content = &mut state.content;
        content.expire();
        if path == "/kv-range" {
            let items = content
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix));
            let items = items.map(|(key, item)| item_json(key, item)).collect();
            return Some((
                200,
                Json::table(vec![
                    ("items", Json::List(items)),
                    ("HasMore", Json::Bool(false)),
                    ("StoreRevision", Json::number(content.revision)),
                ]),
            ));
        }
        if path == "/kv-txn" {
            let change = Json::parse(body)?;
            if let Some(late) = state.late {
                let store = Arc::clone(self);
                thread::spawn(move || {
                    thread::sleep(late);
                    let mut state = store.lock();
                    state.content.expire();
                    apply(&mut state.content, &change);
                });
                return None;
            }
            let loses = state.loses;
            let reply = apply(&mut state.content, &change);
            return Some(reply).filter(|_| !loses);
        }
        if path == "/kv-lease" {
            let length = Json::parse(body)?.get("TtlMs").as_u64().max(1_000);
            content.next_lease += 1;
            let lease = 77_000 + content.next_lease;
            let length = Duration::from_millis(length);
            content
                .leases
                .insert(lease, (Instant::now() + length, length));
            return Some((200, lease_json(lease, length)));
        }
        if let Some(lease) = path
            .strip_prefix("/kv-keep/")
            .and_then(|id| id.parse().ok())
        {
            let Some((end, length)) = content.leases.get_mut(&lease) else {
                return Some((404, Json::table(vec![])));
            };
            *end = Instant::now() + *length;
            return Some((200, lease_json(lease, *length)));
        }
        if let Some(lease) = path
            .strip_prefix("/kv-lease-end/")
            .and_then(|id| id.parse().ok())
        {
            content.end_lease(lease);
            return Some((200, Json::table(vec![])));
        }
        Some((404, Json::table(vec![])))
    }

    fn promote(&self, headers: &HashMap<String, String>, body: &str) -> Option<(u16, Json)> {
        let body = Json::parse(body)?;
        Some((self.group.promote(&body, headers), Json::table(vec![])))
    }

    /// Serves promotion calls on an address of their own. `accepted` is called with each connection
    /// before anything is read from it, and returns what is to be done before that in a thread of the
    /// connection.
    pub fn serve_promotions(
        self: &Arc<Self>,
        is_urgent: impl Fn() -> bool + Send + 'static,
        accepted: impl Fn() -> Option<Box<dyn FnOnce(&TcpStream) + Send>> + Send + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("bind the promotion call");
        let address = listener
            .local_addr()
            .expect("address of the promotion call");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        let store = Arc::clone(self);
        thread::spawn(move || {
            loop {
                let Ok((stream, _)) = listener.accept() else {
                    if !is_urgent() {
                        thread::sleep(Duration::from_millis(2));
                    }
                    continue;
                };
                let action = accepted();
                let store = Arc::clone(&store);
                thread::spawn(move || {
                    if let Some(action) = action {
                        action(&stream);
                    }
                    stream.set_nonblocking(false).expect("a socket");
                    store.serve(stream);
                });
            }
        });
        address
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, Json)> {
        let end = Instant::now() + wait;
        let era = self.lock().era;
        loop {
            {
                let mut state = self.lock();
                // A watch that waits when the store goes away is cut.
                if state.away || state.era != era {
                    return None;
                }
                let content = &mut state.content;
                content.expire();
                if after > content.revision {
                    return Some((410, Json::table(vec![])));
                }
                let newer = content.events.iter().filter(|event| event.revision > after);
                let events: Vec<Json> = newer
                    .filter(|event| event.key.starts_with(prefix))
                    .map(|event| match &event.value {
                        Some(value) => Json::table(vec![
                            ("Key", Json::text(&event.key)),
                            ("Value", Json::Text(to_base64(value))),
                            ("Revision", Json::number(event.revision)),
                        ]),
                        None => Json::table(vec![
                            ("Key", Json::text(&event.key)),
                            ("Revision", Json::number(event.revision)),
                            ("Deleted", Json::Bool(true)),
                        ]),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= end {
                    return Some((
                        200,
                        Json::table(vec![
                            ("events", Json::List(events)),
                            ("StoreRevision", Json::number(content.revision)),
                        ]),
                    ));
                }
            }
            thread::sleep(Duration::from_millis(3));
        }
    }
}

fn lease_json(lease: u64, length: Duration) -> Json {
    let length = Json::number(length.as_millis() as u64);
    Json::table(vec![("Lease", Json::number(lease)), ("TtlMs", length)])
}

fn item_json(key: &str, item: &Item) -> Json {
    Json::table(vec![
        ("Key", Json::text(key)),
        ("Value", Json::Text(to_base64(&item.value))),
        ("Revision", Json::number(item.revision)),
        ("Lease", Json::number(item.lease)),
    ])
}

fn apply(content: &mut Content, body: &Json) -> (u16, Json) {
    let rows = body.get("Precondition").items();
    let is_met = |row: &Json| {
        let item = content.items.get(row.get("Key").as_str());
        item.map_or(0, |item| item.revision) == row.get("Revision").as_u64()
    };
    if !rows.iter().all(is_met) {
        let keys = rows.iter().map(|row| row.get("Key").as_str());
        let items = keys.filter_map(|key| Some(item_json(key, content.items.get(key)?)));
        return (
            412,
            Json::table(vec![("items", Json::List(items.collect()))]),
        );
    }
    let puts = body.get("Puts").items();
    let has_lease = |put: &Json| {
        let lease = put.get("Lease").as_u64();
        lease == 0 || content.leases.contains_key(&lease)
    };
    if !puts.iter().all(has_lease) {
        return (404, Json::table(vec![]));
    }
    for put in puts {
        let value = from_base64(put.get("Value").as_str());
        content.put(put.get("Key").as_str(), value, put.get("Lease").as_u64());
    }
    for key in body.get("Remove").items() {
        content.remove(key.as_str());
    }
    (
        200,
        Json::table(vec![("Revision", Json::number(content.revision))]),
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Request = (String, HashMap<String, String>, String);

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|size| *size > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|size| *size > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((path, headers, String::from_utf8_lossy(&body).into_owned()))
}
