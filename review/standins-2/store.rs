//! The platform's metadata store, with the drill of the eighth letter: it is away for a moment and
//! comes back from an older copy.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::json::Json;
use crate::json::decode_base64;
use crate::json::encode_base64;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record::note;

/// Time of an answer on the users' pages.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Period of the copies, and how long they are kept.
const COPY_PERIOD: Duration = Duration::from_millis(50);
const COPY_LIFE: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Clone)]
struct Lease {
    end: Instant,
    length: Duration,
}

#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
}

struct Inner {
    content: Content,
    copies: Vec<(Instant, Content)>,
    /// What the operator and the backends wrote last.
    outside: BTreeMap<String, Option<Vec<u8>>>,
    last_lease: u64,
    era: u64,
    is_away: bool,
}

pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
    pub address: SocketAddr,
}

type Reply = (u16, Json);

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            revision: self.revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event {
                revision: self.revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let store = Arc::new(Store {
            address: listener.local_addr().expect("address"),
            inner: Mutex::new(Inner {
                content: Content {
                    revision: 100,
                    ..Content::default()
                },
                copies: Vec::new(),
                outside: BTreeMap::new(),
                last_lease: 70_000,
                era: 1,
                is_away: false,
            }),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let kept = Arc::clone(&store);
        std::thread::spawn(move || {
            let mut copied_at = Instant::now();
            loop {
                std::thread::sleep(Duration::from_millis(5));
                let mut inner = kept.lock();
                if inner.is_away {
                    continue;
                }
                if inner.content.expire() {
                    kept.changed.notify_all();
                }
                if copied_at.elapsed() >= COPY_PERIOD {
                    copied_at = Instant::now();
                    let copy = inner.content.clone();
                    inner.copies.push((copied_at, copy));
                    inner.copies.retain(|(at, _)| at.elapsed() < COPY_LIFE);
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// Writes a key of the operator or of a backend, or removes it. Returns when the store confirmed it.
    pub fn write_outside(&self, key: &str, value: Option<&str>) -> Instant {
        loop {
            let mut inner = self.lock();
            let value = value.map(|value| value.as_bytes().to_vec());
            inner.outside.insert(key.to_owned(), value.clone());
            if inner.is_away {
                drop(inner);
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            match value {
                Some(value) => inner.content.put(key, value, 0),
                None => inner.content.remove(key),
            }
            note(&format!(
                "store: {key} written at revision {}",
                inner.content.revision
            ));
            self.changed.notify_all();
            return Instant::now();
        }
    }

    fn revision(&self) -> u64 {
        self.lock().content.revision
    }

    /// Returns the value and the revision of a key.
    pub fn read(&self, key: &str) -> Option<(String, u64)> {
        let inner = self.lock();
        let item = inner.content.items.get(key)?;
        Some((
            String::from_utf8_lossy(&item.value).into_owned(),
            item.revision,
        ))
    }

    /// The drill: the store is away for `away`, and comes back from a copy that is `age` old.
    pub fn drill(&self, away: Duration, age: Duration) {
        let copy = {
            let mut inner = self.lock();
            inner.is_away = true;
            self.changed.notify_all();
            let copies = inner.copies.iter().rev();
            let mut old = copies.filter(|(at, _)| at.elapsed() >= age);
            old.next().cloned()
        };
        let Some((copied_at, mut content)) = copy else {
            crate::record::give_up("there is no copy of that age");
        };
        note(&format!("store: away at revision {}", self.revision()));
        std::thread::sleep(away);
        let mut inner = self.lock();
        // The leases of the copy run on from where they were.
        for lease in content.leases.values_mut() {
            lease.end = Instant::now() + lease.end.saturating_duration_since(copied_at);
        }
        let revision = content.revision;
        inner.content = content;
        inner.copies.clear();
        inner.era += 1;
        inner.is_away = false;
        let outside: Vec<_> = inner.outside.clone().into_iter().collect();
        for (key, value) in outside {
            let present = inner.content.items.get(&key).map(|item| item.value.clone());
            if present != value {
                match value {
                    Some(value) => inner.content.put(&key, value, 0),
                    None => inner.content.remove(&key),
                }
            }
        }
        note(&format!(
            "store: back at revision {revision}, era {}; with what the operator and the backends wrote again at revision {}",
            inner.era, inner.content.revision
        ));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.lock().is_away {
                return;
            }
            std::thread::sleep(ANSWER_TIME);
            let Some((status, body)) = self.answer(&request) else {
                return;
            };
            let era = self.lock().era;
            let header = format!("Store-Era: {era}\r\n");
            if write_answer(&mut writer, status, &header, &body.to_string()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, or `None` if the store went away meanwhile.
    fn answer(&self, request: &Request) -> Option<Reply> {
        let mut inner = self.lock();
        if inner.is_away {
            return None;
        }
        let path = request.path.as_str();
        let prefix = request.query("Prefix");
        Some(match path {
            "/kv-range" => range(&inner.content, &prefix, &request.query("after")),
            "/kv-key" => match inner.content.items.get(&request.query("Key")) {
                Some(item) => (200, item_json(&request.query("Key"), item)),
                None => (404, object(vec![])),
            },
            "/kv-watch" => {
                let after = request.query("after").parse().unwrap_or(0);
                let wait = request.query("WaitMs").parse().unwrap_or(0);
                return self.watch(inner, &prefix, after, Duration::from_millis(wait));
            }
            "/kv-txn" => {
                let reply = change(&mut inner.content, &request.body);
                self.changed.notify_all();
                reply
            }
            "/kv-lease" => {
                let length = request.body.get("TtlMs").as_number().clamp(1_000, 600_000);
                inner.last_lease += 1;
                let id = inner.last_lease;
                let duration = Duration::from_millis(length);
                let lease = Lease {
                    end: Instant::now() + duration,
                    length: duration,
                };
                inner.content.leases.insert(id, lease);
                (
                    200,
                    object(vec![("Lease", number(id)), ("TtlMs", number(length))]),
                )
            }
            _ => {
                let id = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse().ok())
                    .unwrap_or(0);
                if path.starts_with("/kv-keep/") {
                    match inner.content.leases.get_mut(&id) {
                        Some(lease) => {
                            lease.end = Instant::now() + lease.length;
                            let length = lease.length.as_millis() as u64;
                            (200, object(vec![("TtlMs", number(length))]))
                        }
                        None => (404, object(vec![])),
                    }
                } else if path.starts_with("/kv-lease-end/") {
                    inner.content.end_lease(id);
                    self.changed.notify_all();
                    (200, object(vec![]))
                } else {
                    (404, object(vec![]))
                }
            }
        })
    }

    fn watch(
        &self,
        mut inner: MutexGuard<'_, Inner>,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Option<Reply> {
        let end = Instant::now() + wait;
        let era = inner.era;
        loop {
            if inner.is_away || inner.era != era {
                return None;
            }
            // It has no such revision.
            if after > inner.content.revision {
                return Some((410, object(vec![])));
            }
            let events = inner.content.events.iter();
            let events = events.filter(|e| e.revision > after && e.key.starts_with(prefix));
            let events: Vec<Json> = events.map(event_json).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = number(inner.content.revision);
                let fields = vec![("events", Json::List(events)), ("StoreRevision", revision)];
                return Some((200, object(fields)));
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    object(vec![
        ("Key", text(key)),
        ("Value", text(&encode_base64(&item.value))),
        ("Revision", number(item.revision)),
        ("Created", number(item.created)),
        ("Lease", number(item.lease)),
    ])
}

fn event_json(event: &Event) -> Json {
    match &event.item {
        Some(item) => item_json(&event.key, item),
        None => object(vec![
            ("Key", text(&event.key)),
            ("Revision", number(event.revision)),
            ("Deleted", Json::Bool(true)),
        ]),
    }
}

fn range(content: &Content, prefix: &str, after: &str) -> Reply {
    let items = content.items.iter();
    let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
    let items = items.map(|(key, item)| item_json(key, item)).collect();
    let fields = vec![
        ("items", Json::List(items)),
        ("HasMore", Json::Bool(false)),
        ("StoreRevision", number(content.revision)),
    ];
    (200, object(fields))
}

fn change(content: &mut Content, body: &Json) -> Reply {
    let holds = |row: &Json| {
        let item = content.items.get(row.get("Key").as_text());
        item.map_or(0, |item| item.revision) == row.get("Revision").as_number()
    };
    if !body.get("Precondition").list().iter().all(holds) {
        let rows = body.get("Precondition").list().iter();
        let items = rows.filter_map(|row| {
            let key = row.get("Key").as_text();
            content.items.get(key).map(|item| item_json(key, item))
        });
        return (412, object(vec![("items", Json::List(items.collect()))]));
    }
    let puts = body.get("Puts").list();
    let outside = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
    if puts.iter().any(|put| outside(put.get("Key").as_text())) {
        return (403, object(vec![]));
    }
    let lease = |put: &Json| put.get("Lease").as_number();
    if puts
        .iter()
        .any(|put| lease(put) != 0 && !content.leases.contains_key(&lease(put)))
    {
        return (404, object(vec![]));
    }
    for put in puts {
        let key = put.get("Key").as_text();
        content.put(key, decode_base64(put.get("Value").as_text()), lease(put));
        note(&format!(
            "store: {key} written by a front at revision {}",
            content.revision
        ));
    }
    for key in body.get("Remove").list() {
        content.remove(key.as_text());
    }
    (200, object(vec![("Revision", number(content.revision))]))
}

/// An HTTP request.
pub struct Request {
    pub path: String,
    query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Json,
}

impl Request {
    fn query(&self, name: &str) -> String {
        let field = self.query.iter().find(|(key, _)| key == name);
        field.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> &str {
        let header = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        header.map_or("", |(_, value)| value.as_str())
    }
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let target = line.split(' ').nth(1)?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let query = fields
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect();
    let mut request = Request {
        path: path.to_owned(),
        query,
        headers,
        body: Json::Null,
    };
    let length = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
    Some(request)
}

fn unescape(value: &str) -> String {
    let (mut out, mut bytes) = (Vec::new(), value.bytes());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(0), bytes.next().unwrap_or(0)];
        let digits = std::str::from_utf8(&digits).unwrap_or("");
        out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn write_answer(
    writer: &mut TcpStream,
    status: u16,
    header: &str,
    body: &str,
) -> std::io::Result<()> {
    let length = body.len();
    let answer = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{header}Content-Length: {length}\r\n\r\n{body}"
    );
    writer.write_all(answer.as_bytes())
}
