//! A group of three backends with a replicated log, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
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

use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "huvo11a";

/// Time that a read or a write takes.
const WORK_TIME: Duration = Duration::from_millis(3);

/// Silence after which the entry of a backend is removed: three ping intervals.
const SILENCE: Duration = Duration::from_millis(3_600);

/// Start of the first backends.
const BORN: u64 = 1_796_000_000_000;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
struct Entry {
    term: u64,
    writes: Vec<(String, String)>,
    /// When reads on this backend see it.
    visible_at: Instant,
}

pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub term: u64,
    pub primary: bool,
    log: Vec<Entry>,
    /// Whether the process runs and its machine is reachable.
    pub alive: bool,
    /// Number of times that the process came back.
    life: u32,
    dark_since: Option<Instant>,
    /// Whether it is cut off from the other backends.
    pub cut: bool,
    /// Whether the other backends' new entries reach it.
    pub deaf: bool,
    pub draining: bool,
    /// Whether it has left for good.
    pub gone: bool,
    born: u64,
    /// Whether its pings reach the store.
    pub pings: bool,
    met_leader_at: Option<Instant>,
}

/// A statement that a backend ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub backend: String,
    pub text: String,
    pub values: BTreeMap<String, String>,
    pub row: Option<String>,
    pub receipt: String,
    pub definition: Option<String>,
    pub connection: u64,
    /// Number of the transaction on its connection, if it ran in one.
    pub transaction: Option<u64>,
}

/// A call that was taken.
#[derive(Debug, Clone)]
pub struct Call {
    pub backend: String,
    pub holder: String,
    pub token: u64,
    /// Whether it names another backend than the present primary.
    pub replaces: bool,
}

/// What a backend's log held when its promotion took effect.
pub struct Effect {
    pub backend: String,
    pub at: Instant,
    pub writes: Vec<(String, String)>,
}

pub struct State {
    pub backends: Vec<Backend>,
    /// Time between the receipt of an entry and its application at a replica.
    pub lag: Duration,
    /// Time between a promotion call and its effect.
    pub promote_time: Duration,
    pub runs: Vec<Run>,
    /// Accepted promotion calls: backend, holder and token.
    pub promotions: Vec<(String, String, u64)>,
    /// Promotion calls in the order of their arrival.
    pub calls: Vec<Call>,
    pub effects: Vec<Effect>,
    pub max_connections: usize,
    /// Percentages of statements that are refused because the queue is full, and of those whose answers
    /// are lost.
    pub busy_percent: u64,
    pub lost_percent: u64,
    draws: u64,
    open: Vec<usize>,
    receipts: u64,
    connections: u64,
}

pub struct Group {
    state: Mutex<State>,
    pub record: Arc<Record>,
}

impl State {
    pub fn index(&self, id: &str) -> Option<usize> {
        self.backends.iter().position(|backend| backend.id == id)
    }

    /// Returns the backend that leads the newest term and runs.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..self.backends.len())
            .filter(|i| self.backends[*i].primary && self.backends[*i].alive);
        leaders.max_by_key(|i| self.backends[*i].term)
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.backends[a], &self.backends[b]);
        a.alive && b.alive && !a.cut && !b.cut && !b.deaf
    }

    /// Lets the replicas that a primary reaches receive its log. Returns how many have its last entry.
    fn replicate(&mut self, leader: usize) -> usize {
        let (term, lag) = (self.backends[leader].term, self.lag);
        let mut holders = 0;
        for index in 0..self.backends.len() {
            let replica = &self.backends[index];
            let follows = !replica.primary && replica.term <= term;
            if index == leader || !follows || !self.reaches(leader, index) {
                continue;
            }
            let [source, replica] = self
                .backends
                .get_disjoint_mut([leader, index])
                .expect("two");
            replica.term = term;
            let equal = replica.log.iter().zip(&source.log);
            let equal = equal.take_while(|(a, b)| (a.term, &a.writes) == (b.term, &b.writes));
            let common = match replica.log.last() {
                // The common case: the log is a prefix.
                Some(last)
                    if source.log.get(replica.log.len() - 1).is_some_and(|entry| {
                        (entry.term, &entry.writes) == (last.term, &last.writes)
                    }) =>
                {
                    replica.log.len()
                }
                _ => equal.count(),
            };
            replica.log.truncate(common);
            let visible_at = Instant::now() + lag;
            let missing = source.log[common..].iter();
            replica.log.extend(missing.map(|entry| Entry {
                visible_at,
                ..entry.clone()
            }));
            holders += 1;
        }
        holders
    }

    fn position(&self, index: usize) -> String {
        let backend = &self.backends[index];
        format!("{}.{}", backend.term, backend.log.len())
    }

    /// Returns all writes in the log of a backend.
    pub fn writes(&self, index: usize) -> Vec<(String, String)> {
        let log = self.backends[index].log.iter();
        log.flat_map(|entry| entry.writes.clone()).collect()
    }

    fn read(&self, index: usize, item: &str) -> String {
        let now = Instant::now();
        let log = self.backends[index].log.iter().rev();
        let visible = log.filter(|entry| entry.visible_at <= now);
        let mut writes = visible.flat_map(|entry| entry.writes.iter().rev());
        let found = writes.find(|(name, _)| name == item);
        found.map_or_else(|| "0".to_owned(), |(_, data)| data.clone())
    }

    fn draw(&mut self, percent: u64) -> bool {
        self.draws ^= self.draws << 13;
        self.draws ^= self.draws >> 7;
        self.draws ^= self.draws << 17;
        percent > 0 && (self.draws >> 20) % 100 < percent
    }

    fn demote(&mut self, index: usize) {
        self.backends[index].primary = false;
    }
}

impl Group {
    pub fn start(record: &Arc<Record>, zones: [&str; 3]) -> Arc<Group> {
        let mut backends = Vec::new();
        let mut listeners = Vec::new();
        for (index, zone) in zones.into_iter().enumerate() {
            let listener = TcpListener::bind(("127.0.0.1", 0)).expect("bind a backend");
            backends.push(Backend {
                id: format!("i-7f3a91c{index}"),
                address: listener.local_addr().expect("address of a backend"),
                zone: zone.to_owned(),
                term: 3,
                primary: index == 0,
                log: Vec::new(),
                alive: true,
                life: 0,
                dark_since: None,
                cut: false,
                deaf: false,
                draining: false,
                gone: false,
                born: BORN,
                pings: true,
                met_leader_at: None,
            });
            listeners.push(listener);
        }
        let state = State {
            backends,
            lag: Duration::from_millis(60),
            promote_time: Duration::from_millis(1_000),
            runs: Vec::new(),
            promotions: Vec::new(),
            calls: Vec::new(),
            effects: Vec::new(),
            max_connections: 46,
            busy_percent: 0,
            lost_percent: 0,
            draws: 88_172_645_463_325_252,
            open: vec![0; 3],
            receipts: 0,
            connections: 0,
        };
        let group = Arc::new(Group {
            state: Mutex::new(state),
            record: Arc::clone(record),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = Arc::clone(&group);
            thread::spawn(move || group.accept(index, listener));
        }
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock the group")
    }

    /// Lets a backend go dark.
    pub fn darken(&self, index: usize) {
        let mut state = self.lock();
        state.backends[index].alive = false;
        state.backends[index].dark_since = Some(Instant::now());
        self.record
            .write(&format!("{} goes dark", state.backends[index].id));
    }

    /// Lets a dark backend come back with its log, as a replica if another one was promoted.
    pub fn revive(&self, index: usize) {
        let mut state = self.lock();
        let newest = state
            .leader()
            .map_or(0, |leader| state.backends[leader].term);
        let backend = &mut state.backends[index];
        if backend.gone {
            return;
        }
        backend.alive = true;
        backend.life += 1;
        backend.dark_since = None;
        backend.primary &= backend.term >= newest;
        self.record.write(&format!(
            "{} comes back, primary: {}",
            backend.id, backend.primary
        ));
    }

    /// Starts another backend as a replica. Returns its index.
    pub fn add(self: &Arc<Self>, zone: &str) -> usize {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("bind a backend");
        let mut state = self.lock();
        let index = state.backends.len();
        state.open.push(0);
        state.backends.push(Backend {
            id: format!("i-{:02x}4e1b07", 0x60 - index),
            address: listener.local_addr().expect("address of a backend"),
            zone: zone.to_owned(),
            term: 0,
            primary: false,
            log: Vec::new(),
            alive: true,
            life: 0,
            dark_since: None,
            cut: false,
            deaf: false,
            draining: false,
            gone: false,
            born: BORN + index as u64,
            pings: true,
            met_leader_at: None,
        });
        self.record
            .write(&format!("{} starts", state.backends[index].id));
        let group = Arc::clone(self);
        thread::spawn(move || group.accept(index, listener));
        index
    }

    /// Ends a backend for good; its log is lost.
    pub fn retire(&self, index: usize) {
        let mut state = self.lock();
        let backend = &mut state.backends[index];
        (backend.alive, backend.gone, backend.primary) = (false, true, false);
        backend.life += 1;
        backend.log.clear();
        self.record.write(&format!("{} has left", backend.id));
    }

    /// Starts a replica again under its id, without its log.
    pub fn rebear(&self, index: usize) {
        let mut state = self.lock();
        let backend = &mut state.backends[index];
        if backend.primary {
            return;
        }
        backend.life += 1;
        backend.born += 1;
        backend.term = 0;
        backend.log.clear();
        self.record
            .write(&format!("{} starts again without its log", backend.id));
    }

    fn accept(self: Arc<Self>, index: usize, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let group = Arc::clone(&self);
            thread::spawn(move || Session::serve(group, index, stream));
        }
    }

    /// Keeps the replication and the entries in the store up to date.
    pub fn maintain(self: &Arc<Self>, store: &Arc<Store>) {
        let (group, store) = (Arc::clone(self), Arc::clone(store));
        thread::spawn(move || {
            let mut published: HashMap<String, (String, Instant)> = HashMap::new();
            let mut sequence = 0;
            loop {
                group.step(&store, &mut published, &mut sequence);
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    fn step(
        &self,
        store: &Store,
        published: &mut HashMap<String, (String, Instant)>,
        sequence: &mut u64,
    ) {
        let mut state = self.lock();
        if let Some(leader) = state.leader() {
            state.replicate(leader);
            let term = state.backends[leader].term;
            for index in 0..state.backends.len() {
                let is_former = state.backends[index].primary && state.backends[index].term < term;
                if index == leader || !is_former || !state.reaches(leader, index) {
                    state.backends[index].met_leader_at = None;
                    continue;
                }
                let met_at = *state.backends[index]
                    .met_leader_at
                    .get_or_insert_with(Instant::now);
                if met_at.elapsed() >= Duration::from_secs(1) {
                    state.demote(index);
                }
            }
        }
        for index in 0..state.backends.len() {
            let backend = &state.backends[index];
            let role = if backend.primary {
                "primary"
            } else {
                "replica"
            };
            let status = if backend.draining {
                "draining"
            } else {
                "ready"
            };
            let key = format!("servers/{}", backend.id);
            let known = published.get(&key);
            let is_silent = !backend.alive || !backend.pings;
            if is_silent {
                if known.is_some_and(|(_, at)| backend.gone || at.elapsed() >= SILENCE) {
                    published.remove(&key);
                    store.lock().content.remove(&key);
                    self.record
                        .write(&format!("entry of {} is removed", backend.id));
                }
                continue;
            }
            let content = format!("{role} {status}");
            let is_due =
                known.is_none_or(|(known, at)| *known != content || at.elapsed() >= HEARTBEAT);
            if !is_due {
                continue;
            }
            let mut shared = store.lock();
            if shared.away {
                continue;
            }
            *sequence += 1;
            let entry = Json::table(vec![
                ("Service", Json::text(SERVICE)),
                ("Address", Json::Text(backend.address.to_string())),
                ("Zone", Json::text(&backend.zone)),
                ("Version", Json::text("v1")),
                ("Slots", Json::number(3)),
                ("State", Json::text(status)),
                ("ColdRemainingMs", Json::number(0)),
                ("DatabaseRole", Json::text(role)),
                ("Sequence", Json::number(*sequence)),
                ("born", Json::number(backend.born)),
            ]);
            shared.content.put(&key, entry.to_string().into_bytes(), 0);
            drop(shared);
            if known.is_none_or(|(known, _)| *known != content) {
                self.record
                    .write(&format!("{} reports {content}", backend.id));
            }
            published.insert(key, (content, Instant::now()));
        }
    }

    /// Takes a promotion call and returns its status.
    pub fn promote(self: &Arc<Self>, body: &Json, headers: &HashMap<String, String>) -> u16 {
        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
        let holder = header("duty-holder");
        let token = header("fencing-token").parse().unwrap_or(0);
        let mut state = self.lock();
        let target = body.get("Id").as_str().to_owned();
        let Some(index) = state.index(&target).filter(|i| state.backends[*i].alive) else {
            self.record.write(&format!(
                "promotion of {target} by {holder} token {token}: 409"
            ));
            return 409;
        };
        self.record.write(&format!(
            "promotion of {target} by {holder} token {token}: 200"
        ));
        let replaces = state.leader() != Some(index);
        let call = Call {
            backend: target.clone(),
            holder: holder.clone(),
            token,
            replaces,
        };
        state.calls.push(call);
        if !replaces {
            return 200;
        }
        state.promotions.push((target, holder, token));
        let time = state.promote_time;
        drop(state);
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(time);
            let mut state = group.lock();
            let newest = state.backends.iter().map(|backend| backend.term).max();
            let backend = &mut state.backends[index];
            if !backend.alive {
                return;
            }
            backend.term = newest.unwrap_or(0) + 1;
            backend.primary = true;
            let now = Instant::now();
            backend
                .log
                .iter_mut()
                .for_each(|entry| entry.visible_at = entry.visible_at.min(now));
            let (id, term, length) = (backend.id.clone(), backend.term, backend.log.len());
            let writes = backend
                .log
                .iter()
                .flat_map(|entry| entry.writes.clone())
                .collect();
            let effect = Effect {
                backend: id.clone(),
                at: now,
                writes,
            };
            state.effects.push(effect);
            group
                .record
                .write(&format!("{id} leads term {term} with {length} entries"));
            state.replicate(index);
        });
        200
    }
}

struct Session {
    group: Arc<Group>,
    index: usize,
    life: u32,
    number: u64,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, (bool, String)>,
    /// Whether the open transaction may write, and what it wrote.
    transaction: Option<(bool, Vec<(String, String)>)>,
    transactions: u64,
    failed: bool,
    /// Whether the connection counts.
    started: bool,
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.started {
            self.group.lock().open[self.index] -= 1;
        }
    }
}

impl Session {
    fn serve(group: Arc<Group>, index: usize, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let (life, number) = {
            let mut state = group.lock();
            state.connections += 1;
            (state.backends[index].life, state.connections)
        };
        let mut session = Session {
            group,
            index,
            life,
            number,
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            transaction: None,
            transactions: 0,
            failed: false,
            started: false,
        };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if !reader.read_line(&mut line).is_ok_and(|size| size > 0) {
                return;
            }
            let Some(answer) = session.answer(line.trim_end_matches("\r\n")) else {
                return;
            };
            if !session.runs() || reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits while the backend is dark. Returns whether it is still the process of this connection.
    fn runs(&self) -> bool {
        loop {
            {
                let state = self.group.lock();
                let backend = &state.backends[self.index];
                if backend.alive || backend.gone {
                    return !backend.gone && backend.life == self.life;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns the answer to a line, or `None` to close the connection.
    fn answer(&mut self, line: &str) -> Option<String> {
        if !self.runs() {
            return None;
        }
        let id = self.group.lock().backends[self.index].id.clone();
        let mut words = line.splitn(3, ' ');
        match (words.next()?, words.next()?, words.next()) {
            ("STARTUP", service, rest) => {
                let expected = rest.unwrap_or_default().split(' ').nth(1);
                if service != SERVICE || expected.is_some_and(|expected| expected != id) {
                    return Some(format!("ERROR WRONGNODE {id}\r\n"));
                }
                if !self.started {
                    let mut state = self.group.lock();
                    if state.open[self.index] >= state.max_connections {
                        return Some(format!("ERROR CONNLIMIT {id}\r\n"));
                    }
                    state.open[self.index] += 1;
                    self.started = true;
                }
                Some(self.ready())
            }
            ("QUERY", request, Some(text)) => {
                let body = self.run(request, text)?;
                Some(format!("{body}{}", self.ready()))
            }
            _ => None,
        }
    }

    fn ready(&self) -> String {
        let state = match (&self.transaction, self.failed) {
            (None, _) => "I",
            (Some(_), false) => "T",
            (Some(_), true) => "E",
        };
        let group = self.group.lock();
        format!("READY {state} {}\r\n", group.position(self.index))
    }

    fn refuse(&mut self, request: &str, text: &str, code: &str) -> Option<String> {
        self.failed = self.transaction.is_some();
        let id = self.group.lock().backends[self.index].id.clone();
        if text != "STATUS" {
            let number = self.number;
            self.group.record.write(&format!(
                "{id} connection {number} refuses {request} {text}: {code}"
            ));
        }
        Some(format!("ERROR {code} {id}\r\n"))
    }

    fn is_primary(&self) -> bool {
        self.group.lock().backends[self.index].primary
    }

    fn run(&mut self, request: &str, arrived: &str) -> Option<String> {
        let mut text = arrived;
        if let Some(rest) = arrived.strip_prefix("WAITFOR ") {
            let (floor, rest) = rest.split_once(' ')?;
            text = rest;
            if !self.await_floor(floor)? {
                return self.refuse(request, arrived, "LAGGING");
            }
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.failed && !matches!(word, "ROLLBACK" | "COMMIT") {
            return self.refuse(request, text, "MALFORMED");
        }
        let lost_lead =
            self.transaction.as_ref().is_some_and(|(plain, _)| *plain) && !self.is_primary();
        let wrote = self
            .transaction
            .as_ref()
            .is_some_and(|(_, writes)| !writes.is_empty());
        if lost_lead && !self.failed && word != "ROLLBACK" && (word != "COMMIT" || wrote) {
            if word == "COMMIT" {
                let refused = self.refuse(request, text, "READONLY");
                (self.transaction, self.failed) = (None, false);
                return refused;
            }
            return self.refuse(request, text, "READONLY");
        }
        if matches!(
            word,
            "READ" | "WRITE" | "EXECUTE" | "COMMIT" | "BEGIN" | "STATUS"
        ) {
            let is_busy = {
                let mut state = self.group.lock();
                let percent = state.busy_percent;
                state.draw(percent)
            };
            if is_busy && !(self.failed && word == "COMMIT") {
                return self.refuse(request, text, "BUSY");
            }
        }
        let done = Some("COMPLETE -\r\n".to_owned());
        match word {
            "SET" => {
                let (name, value) = rest.split_once(' ')?;
                self.values.insert(name.to_owned(), value.to_owned());
                let number = self.number;
                self.group
                    .record
                    .write(&format!("connection {number} holds {text}"));
                done
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                done
            }
            "PREPARE" => {
                let mut fields = rest.splitn(3, ' ');
                let name = fields.next()?.to_owned();
                let writes = fields.next()? == "WRITE";
                self.prepared
                    .insert(name, (writes, fields.next()?.to_owned()));
                done
            }
            "BEGIN" if rest.is_empty() && !self.is_primary() => {
                self.refuse(request, arrived, "READONLY")
            }
            "BEGIN" => {
                self.transaction = Some((rest.is_empty(), Vec::new()));
                self.transactions += 1;
                done
            }
            "ROLLBACK" => {
                (self.transaction, self.failed) = (None, false);
                done
            }
            "COMMIT" => {
                let open = self.transaction.is_some().then_some(self.transactions);
                let (_, writes) = self.transaction.take()?;
                if std::mem::take(&mut self.failed) {
                    return self.refuse(request, text, "ABORTED");
                }
                if !writes.is_empty() {
                    self.commit(writes)?;
                }
                self.complete_in(request, text, None, open)
            }
            "READ" => self.read(request, text, rest),
            "WRITE" => self.write(request, text, rest),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ')?;
                match self.prepared.get(name).map(|(writes, _)| *writes) {
                    Some(true) => self.write(request, text, arguments),
                    Some(false) => self.read(request, text, arguments),
                    None => self.refuse(request, text, "UNDEFINED"),
                }
            }
            "STATUS" | "DEMOTE" => self.command(word, rest),
            _ => self.refuse(request, text, "MALFORMED"),
        }
    }

    fn await_floor(&self, floor: &str) -> Option<bool> {
        let (term, number) = floor.split_once('.')?;
        let (term, number): (u64, usize) = (term.parse().ok()?, number.parse().ok()?);
        loop {
            {
                let state = self.group.lock();
                let backend = &state.backends[self.index];
                if (backend.term, backend.log.len()) < (term, number) {
                    return Some(false);
                }
                let now = Instant::now();
                let mut needed = backend.log.iter().take(number);
                if needed.all(|entry| entry.visible_at <= now) {
                    return Some(true);
                }
            }
            thread::sleep(Duration::from_millis(3));
        }
    }

    fn read(&mut self, request: &str, text: &str, item: &str) -> Option<String> {
        thread::sleep(WORK_TIME);
        let row = self.group.lock().read(self.index, item);
        self.complete(request, text, Some(row))
    }

    fn write(&mut self, request: &str, text: &str, arguments: &str) -> Option<String> {
        let (item, data) = arguments.split_once(' ')?;
        let write = (item.to_owned(), data.to_owned());
        if let Some((plain, writes)) = &mut self.transaction {
            if !*plain {
                return self.refuse(request, text, "READONLY");
            }
            writes.push(write);
            return self.complete(request, text, None);
        }
        if !self.is_primary() {
            return self.refuse(request, text, "READONLY");
        }
        thread::sleep(WORK_TIME);
        self.commit(vec![write])?;
        self.complete(request, text, None)
    }

    /// Commits writes and waits until one replica has received them. Returns `None` if the backend lost
    /// the lead before.
    fn commit(&self, writes: Vec<(String, String)>) -> Option<()> {
        let (term, number) = {
            let mut state = self.group.lock();
            let backend = &mut state.backends[self.index];
            if !backend.primary || !backend.alive {
                return None;
            }
            let term = backend.term;
            backend.log.push(Entry {
                term,
                writes,
                visible_at: Instant::now(),
            });
            (term, backend.log.len())
        };
        loop {
            {
                let mut state = self.group.lock();
                let backend = &state.backends[self.index];
                if !backend.primary || backend.term != term || backend.life != self.life {
                    return None;
                }
                if state.replicate(self.index) > 0 {
                    self.group.record.write(&format!(
                        "{} has committed {term}.{number}",
                        state.backends[self.index].id
                    ));
                    return Some(());
                }
            }
            thread::sleep(Duration::from_millis(3));
        }
    }

    fn complete(&self, request: &str, text: &str, row: Option<String>) -> Option<String> {
        let open = self.transaction.is_some().then_some(self.transactions);
        self.complete_in(request, text, row, open)
    }

    fn complete_in(
        &self,
        request: &str,
        text: &str,
        row: Option<String>,
        transaction: Option<u64>,
    ) -> Option<String> {
        let name = text
            .strip_prefix("EXECUTE ")
            .and_then(|rest| rest.split(' ').next());
        let definition = name.and_then(|name| self.prepared.get(name));
        let definition = definition
            .map(|(writes, shape)| format!("{} {shape}", if *writes { "WRITE" } else { "READ" }));
        let mut state = self.group.lock();
        state.receipts += 1;
        let id = state.backends[self.index].id.clone();
        let receipt = format!("7.{}.{id}.{request}", state.receipts);
        self.group.record.write(&format!(
            "{id} connection {} runs {request} {text} with {:?}, row {row:?}",
            self.number, self.values
        ));
        state.runs.push(Run {
            id: request.to_owned(),
            backend: id,
            text: text.to_owned(),
            values: self.values.clone(),
            row: row.clone(),
            receipt: receipt.clone(),
            definition,
            connection: self.number,
            transaction,
        });
        let percent = state.lost_percent;
        if state.draw(percent) {
            return None;
        }
        let row = row.map_or_else(String::new, |row| format!("DATAROW {row}\r\n"));
        Some(format!("{row}COMPLETE {receipt}\r\n"))
    }

    fn command(&self, word: &str, rest: &str) -> Option<String> {
        let mut state = self.group.lock();
        if word == "DEMOTE" {
            let term: u64 = rest.parse().ok()?;
            let backend = &state.backends[self.index];
            self.group
                .record
                .write(&format!("{} is sent DEMOTE {term}", backend.id));
            if backend.primary && backend.term < term {
                state.demote(self.index);
            }
        }
        let backend = &state.backends[self.index];
        let role = if backend.primary {
            "primary"
        } else {
            "replica"
        };
        let (term, length) = (backend.term, backend.log.len());
        Some(format!(
            "DATAROW {role} {term} {term}.{length} 0 0 0 1\r\nCOMPLETE -\r\n"
        ))
    }
}
