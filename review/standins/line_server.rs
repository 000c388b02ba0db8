//! The wire protocol of a backend.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::group::Backend;
use crate::group::Commit;
use crate::group::Entry;
use crate::group::Run;
use crate::group::Service;
use crate::record;

/// Time of a message to another zone and back.
const ROUND_TRIP: Duration = Duration::from_micros(2_800);

struct Connection {
    service: Arc<Service>,
    id: String,
    team: String,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (bool, String)>,
    /// The open transaction: whether it may write, and its writes.
    transaction: Option<(bool, Vec<(String, String)>)>,
    failed: bool,
}

pub fn serve(listener: TcpListener, service: Arc<Service>, id: String) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let connection = Connection {
                service: Arc::clone(&service),
                id: id.clone(),
                team: String::new(),
                values: BTreeMap::new(),
                prepared: BTreeMap::new(),
                transaction: None,
                failed: false,
            };
            std::thread::spawn(move || {
                let _ = connection.run(stream);
            });
        }
    });
}

impl Connection {
    fn run(mut self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut line = String::new();
        // The opening of the connection.
        std::thread::sleep(ROUND_TRIP);
        while reader.read_line(&mut line)? > 0 {
            std::thread::sleep(ROUND_TRIP);
            if !self.with(|backend| backend.running) {
                return Ok(());
            }
            let answer = self.answer(line.trim_end_matches(['\r', '\n']));
            let Some((answer, close)) = answer else {
                return Ok(());
            };
            stream.write_all(answer.as_bytes())?;
            if close {
                return Ok(());
            }
            line.clear();
        }
        Ok(())
    }

    fn with<T>(&self, action: impl FnOnce(&mut Backend) -> T) -> T {
        let mut group = self.service.group.lock().unwrap();
        action(group.backends.get_mut(&self.id).expect("a known backend"))
    }

    fn work(&self, time: Duration) {
        let slots = self.with(|backend| Arc::clone(&backend.slots));
        slots.work(time);
    }

    /// Returns the answer and whether to close the connection then; `None` closes it at once.
    fn answer(&mut self, line: &str) -> Option<(String, bool)> {
        let mut words = line.splitn(3, ' ');
        match (words.next()?, words.next(), words.next()) {
            ("STARTUP", Some(service), rest) => {
                let mut fields = rest.unwrap_or_default().split(' ');
                self.team = fields.next().unwrap_or_default().to_owned();
                let expected = fields.next().unwrap_or(&self.id);
                if service != self.service.sheet.service || expected != self.id {
                    return Some((format!("ERROR WRONGNODE {}\r\n", self.id), true));
                }
                self.work(self.service.sheet.handshake);
                Some((self.ready(), false))
            }
            ("QUERY", Some(id), Some(text)) => {
                let body = self.statement(id, text)?;
                Some((format!("{body}{}", self.ready()), false))
            }
            _ => None,
        }
    }

    fn ready(&self) -> String {
        let state = match (&self.transaction, self.failed) {
            (None, _) => 'I',
            (Some(_), false) => 'T',
            (Some(_), true) => 'E',
        };
        let (term, number) = self.with(|backend| backend.position());
        format!("READY {state} {term}.{number}\r\n")
    }

    fn refuse(&mut self, code: &str) -> Option<String> {
        self.failed = self.transaction.is_some();
        Some(format!("ERROR {code} {}\r\n", self.id))
    }

    fn statement(&mut self, id: &str, text: &str) -> Option<String> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("WAITFOR ") {
            let (floor, rest) = rest.split_once(' ')?;
            text = rest;
            if !self.reaches(floor)? {
                return self.refuse("LAGGING");
            }
        }
        if self.failed && text != "ROLLBACK" && text != "COMMIT" {
            return self.refuse("MALFORMED");
        }
        let complete = Some("COMPLETE -\r\n".to_owned());
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "SET" => {
                let (name, value) = rest.split_once(' ')?;
                self.values.insert(name.to_owned(), value.to_owned());
                complete
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                complete
            }
            "PREPARE" => {
                let mut fields = rest.splitn(3, ' ');
                let name = fields.next()?.to_owned();
                let writes = fields.next()? == "WRITE";
                let shape = fields.next()?.to_owned();
                self.prepared.insert(name, (writes, shape));
                complete
            }
            "DEALLOCATE" => {
                self.prepared.remove(rest);
                complete
            }
            "BEGIN" if rest.is_empty() && !self.with(|b| b.primary) => self.refuse("READONLY"),
            "BEGIN" => {
                self.transaction = Some((rest.is_empty(), Vec::new()));
                complete
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.failed = false;
                complete
            }
            "COMMIT" => self.commit(id),
            "READ" => self.read(id, text, rest),
            "WRITE" => self.write(id, text, rest),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ')?;
                match self.prepared.get(name).map(|(writes, _)| *writes) {
                    Some(true) => self.write(id, text, arguments),
                    Some(false) => self.read(id, text, arguments),
                    None => self.refuse("UNDEFINED"),
                }
            }
            _ => self.command(word, rest),
        }
    }

    /// Waits until the backend has applied a position; false if its log lacks it.
    fn reaches(&self, floor: &str) -> Option<bool> {
        let (term, number) = floor.split_once('.')?;
        let floor: (u64, usize) = (term.parse().ok()?, number.parse().ok()?);
        loop {
            let (received, applied) = self.with(|b| ((b.term, b.log.len()), b.position()));
            if received < floor {
                return Some(false);
            }
            if applied >= floor {
                return Some(true);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn ran(&self, id: &str, text: &str, rows: Vec<String>) {
        let (role, seen) = self.with(|b| (if b.primary { "primary" } else { "replica" }, b.applied()));
        record!(
            "{} ({role}) runs {id} of {}: {text}; values {:?}, rows {rows:?}, commits {seen}",
            self.id,
            self.team,
            self.values
        );
        self.service.group.lock().unwrap().runs.push(Run {
            request: id.to_owned(),
            values: self.values.clone(),
        });
    }

    fn receipt(&self, id: &str) -> String {
        format!("COMPLETE {}.{id}\r\n", self.id)
    }

    fn read(&mut self, id: &str, text: &str, item: &str) -> Option<String> {
        if let Some((true, _)) = self.transaction {
            if !self.with(|b| b.primary) {
                return self.refuse("READONLY");
            }
        }
        self.work(self.service.sheet.work);
        let value = self.with(|backend| backend.read(item));
        self.ran(id, text, vec![value.clone()]);
        Some(format!("DATAROW {value}\r\n{}", self.receipt(id)))
    }

    fn write(&mut self, id: &str, text: &str, arguments: &str) -> Option<String> {
        if !self.with(|b| b.primary) || matches!(self.transaction, Some((false, _))) {
            return self.refuse("READONLY");
        }
        let (item, value) = arguments.split_once(' ').unwrap_or((arguments, ""));
        let write = (item.to_owned(), value.to_owned());
        self.work(self.service.sheet.work);
        self.ran(id, text, Vec::new());
        match &mut self.transaction {
            Some((_, writes)) => writes.push(write),
            None => self.replicated(id, vec![write])?,
        }
        Some(self.receipt(id))
    }

    fn commit(&mut self, id: &str) -> Option<String> {
        let Some((_, writes)) = self.transaction.take() else {
            return self.refuse("MALFORMED");
        };
        if std::mem::take(&mut self.failed) {
            return Some(format!("ERROR ABORTED {}\r\n", self.id));
        }
        if !writes.is_empty() {
            if !self.with(|b| b.primary) {
                return Some(format!("ERROR READONLY {}\r\n", self.id));
            }
            self.work(self.service.sheet.work);
            self.replicated(id, writes)?;
        }
        Some(self.receipt(id))
    }

    /// Commits and waits until enough replicas have received it; `None` if they never will.
    fn replicated(&self, id: &str, writes: Vec<(String, String)>) -> Option<()> {
        let (term, number) = self.with(|backend| {
            let commit = Commit {
                term: backend.term,
                request: id.to_owned(),
                writes,
            };
            backend.log.push(Entry {
                commit,
                applies_at: Instant::now(),
            });
            (backend.term, backend.log.len())
        });
        record!("{} commits {id} as {term}.{number}", self.id);
        if self.service.sheet.sync_replicas == 0 {
            return Some(());
        }
        loop {
            std::thread::sleep(Duration::from_millis(1));
            let group = self.service.group.lock().unwrap();
            let own = &group.backends[&self.id];
            if !own.running || !own.primary || own.term != term {
                return None;
            }
            let received = group.backends.values().any(|other| {
                !other.primary && other.running && other.term == term && other.log.len() >= number
            });
            if received {
                return Some(());
            }
        }
    }

    /// Runs a command of the system.
    fn command(&mut self, word: &str, rest: &str) -> Option<String> {
        if let Some(hook) = self.service.hook.lock().unwrap().as_ref() {
            hook(&self.id, word);
        }
        let term: u64 = rest.parse().unwrap_or(0);
        match word {
            "STATUS" => self.work(self.service.sheet.work),
            "PAUSE" => self.with(|b| {
                if term > b.term {
                    b.paused = term;
                }
            }),
            "RESUME" => self.with(|b| b.paused = 0),
            "DEMOTE" => {
                let demoted = self.with(|b| {
                    let demoted = b.primary && b.term < term;
                    if demoted {
                        b.primary = false;
                        let now = Instant::now();
                        for entry in &mut b.log {
                            entry.applies_at = entry.applies_at.min(now);
                        }
                    }
                    demoted
                });
                self.service.step_down();
                if demoted {
                    self.service.register(&self.id);
                }
            }
            _ => return self.refuse("MALFORMED"),
        }
        let row = self.with(|b| {
            let role = if b.primary { "primary" } else { "replica" };
            let (term, received, paused) = (b.term, b.log.len(), b.paused);
            format!("{role} {term} {term}.{received} {paused} 0 0 1")
        });
        if word != "STATUS" {
            record!("{} is sent {word} {rest}: {row}", self.id);
        }
        Some(format!("DATAROW {row}\r\nCOMPLETE -\r\n"))
    }
}
