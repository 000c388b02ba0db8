//! The backends of one service, and the promotion interface of the platform.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;
use crate::record::note;
use crate::store::Store;
use crate::store::read_request;
use crate::store::write_answer;

/// How long replicas are behind, as on the sheet.
const LAG: Duration = Duration::from_millis(60);

/// Time of a promote, as on the sheet.
const PROMOTE_TIME: Duration = Duration::from_millis(1_000);

/// Time after which an old primary that reaches the new one follows it.
const FOLLOW_TIME: Duration = Duration::from_millis(1_000);

/// Work of a read or a write.
const WORK: Duration = Duration::from_millis(8);

/// Pause between two looks at a log.
const LOG_PAUSE: Duration = Duration::from_millis(2);

#[derive(Clone)]
struct Entry {
    writes: Vec<(String, String)>,
    received_at: Instant,
}

struct Backend {
    address: SocketAddr,
    zone: String,
    is_primary: bool,
    term: u64,
    log: Vec<Entry>,
    is_draining: bool,
    has_ended: bool,
    sequence: u64,
}

/// A read, write or commit that a backend has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// The tenant that the connection was opened for.
    pub tenant: String,
    pub text: String,
    /// The values that were set on the connection.
    pub values: BTreeMap<String, String>,
}

/// An accepted call for a promotion.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub service: String,
    pub target: String,
    pub holder: String,
    pub token: u64,
}

struct State {
    backends: BTreeMap<String, Backend>,
    receipts: u64,
    runs: Vec<Run>,
    promotions: Vec<Promotion>,
}

pub struct Group {
    pub service: String,
    store: Arc<Store>,
    state: Mutex<State>,
}

impl Group {
    /// Starts the backends; the first one is the primary.
    pub fn start(service: &str, store: &Arc<Store>, backends: &[(&str, &str)]) -> Arc<Group> {
        let group = Arc::new(Group {
            service: service.to_owned(),
            store: Arc::clone(store),
            state: Mutex::new(State {
                backends: BTreeMap::new(),
                receipts: 0,
                runs: Vec::new(),
                promotions: Vec::new(),
            }),
        });
        for (index, (id, zone)) in backends.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
            let backend = Backend {
                address: listener.local_addr().expect("address"),
                zone: (*zone).to_owned(),
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
                is_draining: false,
                has_ended: false,
                sequence: 0,
            };
            group.lock().backends.insert((*id).to_owned(), backend);
            group.publish(id);
            let served = Arc::clone(&group);
            let id = (*id).to_owned();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    if served.lock().backends[&id].has_ended {
                        return;
                    }
                    let session = Session::new(Arc::clone(&served), &id);
                    std::thread::spawn(move || session.run(stream));
                }
            });
        }
        group
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes the entry of a backend to the store.
    fn publish(&self, id: &str) {
        let entry = {
            let mut state = self.lock();
            let Some(backend) = state.backends.get_mut(id) else {
                return;
            };
            backend.sequence += 1;
            if backend.has_ended {
                None
            } else {
                let role = if backend.is_primary {
                    "primary"
                } else {
                    "replica"
                };
                let state = if backend.is_draining {
                    "draining"
                } else {
                    "ready"
                };
                let fields = vec![
                    ("Service", text(&self.service)),
                    ("Address", text(&backend.address.to_string())),
                    ("Zone", text(&backend.zone)),
                    ("Version", text("v1")),
                    ("Slots", number(3)),
                    ("State", text(state)),
                    ("ColdRemainingMs", number(0)),
                    ("DatabaseRole", text(role)),
                    ("Sequence", number(backend.sequence)),
                    ("born", number(1_790_000_000_000)),
                ];
                Some(object(fields).to_string())
            }
        };
        self.store
            .write_outside(&format!("servers/{id}"), entry.as_deref());
    }

    /// Replaces a backend as planned work does: it reports that it is draining, serves on for the
    /// drain time and a little longer, and ends.
    pub fn release(self: &Arc<Self>, id: &str, drain: Duration, longer: Duration) {
        note(&format!("backend {id} reports draining"));
        self.lock()
            .backends
            .get_mut(id)
            .expect("backend")
            .is_draining = true;
        self.publish(id);
        let (group, id) = (Arc::clone(self), id.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(drain + longer);
            note(&format!("backend {id} ends"));
            group
                .lock()
                .backends
                .get_mut(&id)
                .expect("backend")
                .has_ended = true;
            group.publish(&id);
        });
    }

    /// Returns the id of the primary of the newest term.
    pub fn primary(&self) -> String {
        let state = self.lock();
        let primaries = state
            .backends
            .iter()
            .filter(|(_, b)| b.is_primary && !b.has_ended);
        let newest = primaries.max_by_key(|(_, backend)| backend.term);
        newest.map(|(id, _)| id.clone()).unwrap_or_default()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub fn promotions(&self) -> Vec<Promotion> {
        self.lock().promotions.clone()
    }

    /// Handles a call for a promotion and returns its status.
    fn promote(self: &Arc<Self>, target: &str, holder: &str, token: u64) -> u16 {
        {
            let mut state = self.lock();
            let backend = state.backends.get(target);
            if backend.is_none_or(|backend| backend.has_ended) {
                return 409;
            }
            let promotion = Promotion {
                service: self.service.clone(),
                target: target.to_owned(),
                holder: holder.to_owned(),
                token,
            };
            note(&format!(
                "platform: {holder} promotes {target} of {} with token {token}",
                self.service
            ));
            state.promotions.push(promotion);
            let newest = state.backends.values().map(|b| b.term).max();
            let backend = &state.backends[target];
            if backend.is_primary && Some(backend.term) == newest {
                return 200;
            }
        }
        let (group, target) = (Arc::clone(self), target.to_owned());
        std::thread::spawn(move || group.take_effect(&target));
        200
    }

    fn take_effect(&self, target: &str) {
        std::thread::sleep(PROMOTE_TIME);
        let followers = {
            let mut state = self.lock();
            let term = state.backends.values().map(|b| b.term).max().unwrap_or(0) + 1;
            let new = state.backends.get_mut(target).expect("backend");
            new.is_primary = true;
            new.term = term;
            note(&format!("backend {target} leads term {term}"));
            let others = state
                .backends
                .iter()
                .filter(|(id, _)| id.as_str() != target);
            let (old, replicas): (Vec<_>, Vec<_>) = others.partition(|(_, b)| b.is_primary);
            let names = |all: Vec<(&String, &Backend)>| -> Vec<String> {
                all.into_iter().map(|(id, _)| id.clone()).collect()
            };
            let (old, replicas) = (names(old), names(replicas));
            for id in &replicas {
                state.follow(id, target);
            }
            old
        };
        self.publish(target);
        std::thread::sleep(FOLLOW_TIME);
        for id in followers {
            self.lock().follow(&id, target);
            self.publish(&id);
        }
    }
}

impl State {
    /// Makes a backend a replica of the primary.
    fn follow(&mut self, id: &str, primary: &str) {
        let Some(leader) = self.backends.get(primary).filter(|b| b.is_primary) else {
            return;
        };
        let (term, log) = (leader.term, leader.log.clone());
        let Some(backend) = self.backends.get_mut(id) else {
            return;
        };
        if backend.term >= term && backend.is_primary {
            return;
        }
        let now = Instant::now();
        let kept = backend.log.len().min(log.len());
        let was_primary = backend.is_primary;
        let former = std::mem::take(&mut backend.log);
        backend.log = log;
        for (index, entry) in backend.log.iter_mut().enumerate() {
            entry.received_at = match index < kept {
                true if was_primary => now - LAG,
                true => former[index].received_at,
                false => now,
            };
        }
        backend.is_primary = false;
        backend.term = term;
    }

    /// Returns the number of entries that a backend has applied.
    fn applied(&self, id: &str) -> usize {
        let backend = &self.backends[id];
        if backend.is_primary {
            return backend.log.len();
        }
        let applied = backend
            .log
            .iter()
            .take_while(|entry| entry.received_at.elapsed() >= LAG);
        applied.count()
    }
}

/// Serves `POST /promotion` for the groups.
pub fn serve_promotions(groups: Vec<Arc<Group>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let groups = groups.clone();
            std::thread::spawn(move || serve_caller(stream, &groups));
        }
    });
    address
}

fn serve_caller(stream: TcpStream, groups: &[Arc<Group>]) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let service = request.body.get("Service").as_text();
        let target = request.body.get("Id").as_text();
        let holder = request.header("Duty-Holder");
        let token = request.header("Fencing-Token").parse().unwrap_or(0);
        let group = groups.iter().find(|group| group.service == service);
        let status = group.map_or(404, |group| group.promote(target, holder, token));
        if write_answer(&mut writer, status, "", &Json::Object(vec![]).to_string()).is_err() {
            return;
        }
    }
}

/// A connection to a backend.
struct Session {
    group: Arc<Group>,
    id: String,
    tenant: String,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, bool>,
    /// The open transaction: whether it may write, its writes, and whether it failed.
    transaction: Option<(bool, Vec<(String, String)>, bool)>,
}

impl Session {
    fn new(group: Arc<Group>, id: &str) -> Self {
        Self {
            group,
            id: id.to_owned(),
            tenant: String::new(),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
        }
    }

    fn run(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            if !reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
                return;
            }
            if self.has_ended() {
                return;
            }
            let answer = self.answer(line.trim_end_matches("\r\n"));
            let Some(answer) = answer.filter(|_| !self.has_ended()) else {
                return;
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn has_ended(&self) -> bool {
        self.group.lock().backends[&self.id].has_ended
    }

    fn answer(&mut self, line: &str) -> Option<String> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "STARTUP" => {
                let mut fields = rest.split(' ');
                let service = fields.next()?;
                self.tenant = fields.next()?.to_owned();
                let expected = fields.next().unwrap_or(&self.id);
                match service == self.group.service && expected == self.id {
                    true => Some(self.ready()),
                    false => Some(format!("ERROR WRONGNODE {}\r\n", self.id)),
                }
            }
            "QUERY" => {
                let (id, text) = rest.split_once(' ')?;
                let body = self.statement(id, text);
                Some(format!("{body}{}", self.ready()))
            }
            _ => None,
        }
    }

    fn ready(&self) -> String {
        let state = self.group.lock();
        let letter = match &self.transaction {
            None => "I",
            Some((_, _, false)) => "T",
            Some((_, _, true)) => "E",
        };
        let term = state.backends[&self.id].term;
        format!("READY {letter} {term}.{}\r\n", state.applied(&self.id))
    }

    fn refuse(&mut self, code: &str) -> String {
        if let Some((_, _, failed)) = &mut self.transaction {
            *failed = true;
        }
        format!("ERROR {code} {}\r\n", self.id)
    }

    fn statement(&mut self, id: &str, full: &str) -> String {
        let mut statement = full;
        if let Some(rest) = statement.strip_prefix("WAITFOR ") {
            let (floor, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            statement = rest;
            if !self.wait_for(floor) {
                return self.refuse("LAGGING");
            }
        }
        let failed = self
            .transaction
            .as_ref()
            .is_some_and(|(_, _, failed)| *failed);
        if failed && !matches!(statement, "ROLLBACK" | "COMMIT") {
            return self.refuse("MALFORMED");
        }
        let (word, rest) = statement.split_once(' ').unwrap_or((statement, ""));
        let done = "COMPLETE -\r\n".to_owned();
        match word {
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                self.values.insert(name.to_owned(), value.to_owned());
                done
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                done
            }
            "PREPARE" => {
                let mut fields = rest.splitn(3, ' ');
                let name = fields.next().unwrap_or_default().to_owned();
                self.prepared.insert(name, fields.next() == Some("WRITE"));
                done
            }
            "DEALLOCATE" => {
                self.prepared.remove(rest);
                done
            }
            "BEGIN" => {
                let writes = rest.is_empty();
                if writes && !self.is_primary() {
                    return self.refuse("READONLY");
                }
                self.transaction = Some((writes, Vec::new(), false));
                done
            }
            "ROLLBACK" => {
                self.transaction = None;
                done
            }
            "COMMIT" => self.commit(id),
            "READ" => self.read(id, statement, rest),
            "WRITE" => self.write(id, statement, rest),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.prepared.get(name) {
                    Some(true) => self.write(id, statement, arguments),
                    Some(false) => self.read(id, statement, arguments),
                    None => self.refuse("UNDEFINED"),
                }
            }
            "STATUS" => self.report(),
            "DEMOTE" => {
                let term: u64 = rest.parse().unwrap_or(0);
                let changed = {
                    let mut state = self.group.lock();
                    let backend = state.backends.get_mut(&self.id).expect("backend");
                    let changed = backend.is_primary && backend.term < term;
                    if changed {
                        note(&format!("backend {} is demoted", self.id));
                        backend.is_primary = false;
                        // What a primary has committed stays applied.
                        for entry in &mut backend.log {
                            entry.received_at = Instant::now() - LAG;
                        }
                    }
                    changed
                };
                if changed {
                    self.group.publish(&self.id);
                }
                self.report()
            }
            "PAUSE" | "RESUME" => self.report(),
            _ => self.refuse("MALFORMED"),
        }
    }

    fn is_primary(&self) -> bool {
        self.group.lock().backends[&self.id].is_primary
    }

    fn report(&self) -> String {
        let state = self.group.lock();
        let backend = &state.backends[&self.id];
        let role = if backend.is_primary {
            "primary"
        } else {
            "replica"
        };
        let (term, received) = (backend.term, backend.log.len());
        format!("DATAROW {role} {term} {term}.{received} 0 0 0 1\r\nCOMPLETE -\r\n")
    }

    fn wait_for(&self, floor: &str) -> bool {
        let (term, position) = floor.split_once('.').unwrap_or(("0", "0"));
        let floor: (u64, usize) = (term.parse().unwrap_or(0), position.parse().unwrap_or(0));
        loop {
            {
                let state = self.group.lock();
                let backend = &state.backends[&self.id];
                if (backend.term, backend.log.len()) < floor {
                    return false;
                }
                if (backend.term, state.applied(&self.id)) >= floor {
                    return true;
                }
            }
            std::thread::sleep(LOG_PAUSE);
        }
    }

    fn record(&self, state: &mut State, id: &str, statement: &str) -> String {
        state.runs.push(Run {
            id: id.to_owned(),
            tenant: self.tenant.clone(),
            text: statement.to_owned(),
            values: self.values.clone(),
        });
        state.receipts += 1;
        note(&format!(
            "backend {}: tenant {} {id} {statement} with values {:?}",
            self.id, self.tenant, self.values
        ));
        format!("COMPLETE {}.{}\r\n", self.id, state.receipts)
    }

    /// Returns the value of an item, as this backend has it now.
    fn read(&mut self, id: &str, statement: &str, item: &str) -> String {
        std::thread::sleep(WORK);
        if self
            .transaction
            .as_ref()
            .is_some_and(|(writes, _, _)| *writes)
            && !self.is_primary()
        {
            return self.refuse("READONLY");
        }
        let mut state = self.group.lock();
        let applied = state.applied(&self.id);
        let entries = state.backends[&self.id].log[..applied].iter();
        let own = self.transaction.iter().flat_map(|(_, writes, _)| writes);
        let writes = entries.flat_map(|entry| &entry.writes).chain(own);
        let value = writes.filter(|(name, _)| name == item).last();
        let value = value.map_or("none".to_owned(), |(_, value)| value.clone());
        let receipt = self.record(&mut state, id, statement);
        format!("DATAROW {value}\r\n{receipt}")
    }

    fn write(&mut self, id: &str, statement: &str, arguments: &str) -> String {
        std::thread::sleep(WORK);
        if !self.is_primary() || matches!(&self.transaction, Some((false, _, _))) {
            return self.refuse("READONLY");
        }
        let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        let write = (item.to_owned(), data.to_owned());
        match &mut self.transaction {
            Some((_, writes, _)) => {
                writes.push(write);
                let group = Arc::clone(&self.group);
                let mut state = group.lock();
                self.record(&mut state, id, statement)
            }
            None => self.append(id, statement, vec![write]),
        }
    }

    fn commit(&mut self, id: &str) -> String {
        std::thread::sleep(WORK);
        let Some((_, writes, failed)) = self.transaction.take() else {
            return "ERROR MALFORMED no transaction\r\n".to_owned();
        };
        match (failed, writes.is_empty()) {
            (true, _) => format!("ERROR FAILED {}\r\n", self.id),
            (false, true) => {
                let group = Arc::clone(&self.group);
                let mut state = group.lock();
                self.record(&mut state, id, "COMMIT")
            }
            (false, false) => self.append(id, "COMMIT", writes),
        }
    }

    /// Commits writes and waits until a replica has received them.
    fn append(&mut self, id: &str, statement: &str, writes: Vec<(String, String)>) -> String {
        let group = Arc::clone(&self.group);
        let term = {
            let mut state = group.lock();
            let own = state.backends.get_mut(&self.id).expect("backend");
            if !own.is_primary {
                return format!("ERROR READONLY {}\r\n", self.id);
            }
            let term = own.term;
            own.log.push(Entry {
                writes,
                received_at: Instant::now(),
            });
            term
        };
        loop {
            {
                let mut state = group.lock();
                let log = state.backends[&self.id].log.clone();
                let mut received = false;
                for (other, backend) in &mut state.backends {
                    if *other == self.id || backend.term != term || backend.is_primary {
                        continue;
                    }
                    if backend.has_ended {
                        continue;
                    }
                    while backend.log.len() < log.len() {
                        let mut entry = log[backend.log.len()].clone();
                        entry.received_at = Instant::now();
                        backend.log.push(entry);
                    }
                    received = true;
                }
                if received {
                    return self.record(&mut state, id, statement);
                }
            }
            if !self.is_primary() || self.has_ended() {
                return format!("ERROR FAILED {}\r\n", self.id);
            }
            std::thread::sleep(LOG_PAUSE);
        }
    }
}
