//! Random clients and disruptions (exploration; no case of its own).

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Finding;
use crate::fleet::Client;
use crate::fleet::Signal;
use crate::record::Record;
use crate::world::World;

pub struct Random(u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
    fn ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from + 1))
    }
}

/// What a client sent and got.
struct Sent {
    id: String,
    text: String,
    definition: Option<String>,
    values: BTreeMap<String, String>,
    database: &'static str,
    session: usize,
    /// Client's number of the transaction.
    transaction: Option<u64>,
    /// First byte of the statement or its transaction.
    begun: Instant,
    row: Option<String>,
    receipt: Option<String>,
}

static LIVES: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(1);

#[derive(Default)]
struct Ledger {
    sent: Vec<Sent>,
    /// Acknowledged writes and when.
    acked: Vec<(String, u64, Instant, usize)>,
    /// Writes to which a promise was given.
    promised: Vec<(String, u64, String)>,
    served: u64,
    failed: u64,
}

const PROMISES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "WRONGNODE",
    "CONNLIMIT",
];

struct Caller {
    number: usize,
    database: &'static str,
    client: Client,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, String>,
    ledger: Arc<Mutex<Ledger>>,
    random: Random,
    next_value: u64,
    transactions: u64,
    sets: bool,
    /// Number of the connection among all.
    life: usize,
}

impl Caller {
    /// Sends a statement; returns the error code, or `None` in `Err` if the session is lost.
    fn run(
        &mut self,
        text: String,
        begun: Option<Instant>,
        transaction: Option<u64>,
    ) -> Result<Result<(), String>, ()> {
        let begun = begun.unwrap_or_else(Instant::now);
        let definition = text
            .strip_prefix("EXECUTE ")
            .and_then(|rest| self.prepared.get(rest.split(' ').next()?).cloned());
        let values = self.values.clone();
        let (id, answer) = self.client.request(&text);
        let mut ledger = self.ledger.lock().expect("lock");
        let Ok(answer) = answer else {
            ledger.failed += 1;
            return Err(());
        };
        let sent = Sent {
            id,
            text,
            definition,
            values,
            database: self.database,
            session: self.life,
            transaction,
            begun,
            row: answer.rows.first().cloned(),
            receipt: answer.result.clone().ok(),
        };
        ledger.sent.push(sent);
        match answer.result {
            Ok(_) => {
                ledger.served += 1;
                Ok(Ok(()))
            }
            Err(error) => {
                ledger.failed += 1;
                Ok(Err(error.split(' ').next().unwrap_or_default().to_owned()))
            }
        }
    }

    fn local(&mut self) -> Result<Result<(), String>, ()> {
        match self.random.below(4) {
            0 | 1 => {
                let name = ["lang", "tz"][self.random.below(2) as usize].to_owned();
                let value = format!("v{}", self.random.below(1_000_000));
                let done = self.run(format!("SET {name} {value}"), None, None)?;
                if done.is_ok() {
                    self.values.insert(name, value);
                }
                Ok(done)
            }
            2 => {
                let name = format!("p{}", self.random.below(3));
                let mode = ["READ", "WRITE"][self.random.below(2) as usize];
                let shape = format!("q{}", self.random.below(6));
                let done = self.run(format!("PREPARE {name} {mode} {shape}"), None, None)?;
                if done.is_ok() {
                    self.prepared.insert(name, format!("{mode} {shape}"));
                }
                Ok(done)
            }
            _ => {
                let name = format!("p{}", self.random.below(3));
                let done = self.run(format!("DEALLOCATE {name}"), None, None)?;
                if done.is_ok() {
                    self.prepared.remove(&name);
                }
                Ok(done)
            }
        }
    }

    /// Returns a data statement and the value that it writes, if it does.
    fn statement(&mut self, may_write: bool) -> (String, Option<u64>) {
        let item = format!("w{}", self.random.below(8));
        let names: Vec<(String, String)> = self.prepared.clone().into_iter().collect();
        let writes = may_write && self.random.chance(35);
        let mode = if writes { "WRITE" } else { "READ" };
        let own = format!("w{}", self.number);
        if writes {
            self.next_value += 1;
        }
        let value = self.next_value;
        let named = names
            .into_iter()
            .find(|(_, definition)| definition.starts_with(mode));
        let text = match (named.filter(|_| self.random.chance(50)), writes) {
            (Some((name, _)), true) => format!("EXECUTE {name} {own} {value}"),
            (Some((name, _)), false) => format!("EXECUTE {name} {item}"),
            (None, true) => format!("WRITE {own} {value}"),
            (None, false) => format!("READ {item}"),
        };
        (text, writes.then_some(value))
    }

    fn settle(&mut self, written: &[u64], outcome: &Result<Result<(), String>, ()>) {
        let item = format!("w{}", self.number);
        let mut ledger = self.ledger.lock().expect("lock");
        for value in written {
            match outcome {
                Ok(Ok(())) => ledger
                    .acked
                    .push((item.clone(), *value, Instant::now(), self.life)),
                Ok(Err(code)) if PROMISES.contains(&code.as_str()) => {
                    ledger.promised.push((item.clone(), *value, code.clone()));
                }
                _ => {}
            }
        }
    }

    fn operate(&mut self) -> Result<(), ()> {
        if self.random.chance(15) {
            return self.local().map(|_| ());
        }
        if self.random.chance(60) {
            let (text, value) = self.statement(true);
            let outcome = self.run(text, None, None);
            let written: Vec<u64> = value.into_iter().collect();
            self.settle(&written, &outcome);
            return outcome.map(|_| ());
        }
        let reads = self.random.chance(40);
        let begun = Instant::now();
        self.transactions += 1;
        let number = Some(self.transactions);
        let begin = if reads { "BEGIN READ" } else { "BEGIN" };
        if self.run(begin.to_owned(), Some(begun), number)?.is_err() {
            return Ok(());
        }
        let mut written = Vec::new();
        for _ in 0..1 + self.random.below(4) {
            if self.sets && self.random.chance(30) {
                let _ = self.local()?;
            }
            let (text, value) = self.statement(!reads);
            written.extend(value);
            let outcome = self.run(text, Some(begun), number);
            match &outcome {
                Ok(Ok(())) => {}
                Ok(Err(_)) => {
                    self.settle(&written, &outcome);
                    let _ = self.run("ROLLBACK".to_owned(), Some(begun), number)?;
                    return Ok(());
                }
                Err(()) => return Err(()),
            }
            let pause = if self.random.chance(10) {
                self.random.ms(200, 1500)
            } else {
                self.random.ms(0, 60)
            };
            thread::sleep(pause);
        }
        if self.random.chance(5) {
            return Err(());
        }
        if self.random.chance(15) {
            let _ = self.run("ROLLBACK".to_owned(), Some(begun), number)?;
            self.settle(&written, &Ok(Err("ABORTED".to_owned())));
            return Ok(());
        }
        let outcome = self.run("COMMIT".to_owned(), Some(begun), number);
        self.settle(&written, &outcome);
        outcome.map(|_| ())
    }
}

pub fn run(record: &Arc<Record>, folder: &Path, trouble: bool) -> Finding {
    let number = |name: &str, default: u64| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let seed = number("SEED", 1);
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    for _ in 0..5 {
        random.next();
    }
    let connections = number(
        "CONNECTIONS",
        if random.chance(40) {
            4 + random.below(4)
        } else {
            46
        },
    );
    let zones = [
        "lagos-a", "lagos-a", "lagos-b", "lagos-b", "lagos-c", "lagos-c",
    ];
    let zones = &zones[..(3 + random.below(4)) as usize];
    let backends = ["lagos-a", "lagos-b", "lagos-c"];
    let started = World::start_with(Arc::clone(record), folder, zones, backends, connections);
    let Some(mut world) = started else {
        return Finding::NotRun("no service at the start".to_owned());
    };
    record.show(&format!(
        "seed {seed}, {} fronts, {connections} connections",
        zones.len()
    ));
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    let stopping = Arc::new(AtomicBool::new(false));
    let addresses: Vec<_> = world.fronts.iter().map(|front| front.callers).collect();
    let threads: Vec<_> = (0..8)
        .map(|session| {
            let (record, ledger) = (Arc::clone(record), Arc::clone(&ledger));
            let (stopping, addresses) = (Arc::clone(&stopping), addresses.clone());
            let mut own = Random(random.next() | 1);
            let sets = number("SETS", 1) == 1;
            thread::spawn(move || {
                let mut next_value = 0;
                let mut transactions = 0;
                while !stopping.load(Ordering::Relaxed) {
                    let database = ["linear", "bounded", "own", "own"][own.below(4) as usize];
                    let address = addresses[own.below(addresses.len() as u64) as usize];
                    let name = format!("s{session}");
                    let Ok(client) = Client::open(&record, &name, address, database) else {
                        thread::sleep(own.ms(20, 100));
                        continue;
                    };
                    let mut caller = Caller {
                        number: session,
                        database,
                        client,
                        values: BTreeMap::new(),
                        prepared: HashMap::new(),
                        ledger: Arc::clone(&ledger),
                        random: Random(own.next() | 1),
                        next_value,
                        transactions,
                        sets,
                        life: LIVES.fetch_add(1, Ordering::Relaxed),
                    };
                    let limit = 5 + own.below(200);
                    for _ in 0..limit {
                        if stopping.load(Ordering::Relaxed) || caller.operate().is_err() {
                            break;
                        }
                        thread::sleep(own.ms(1, 25));
                    }
                    next_value = caller.next_value + 1;
                    transactions = caller.transactions;
                }
            })
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(number("SECONDS", 60));
    let mut copy = world.store.copy();
    let mut copied_at = Instant::now();
    while Instant::now() < end {
        thread::sleep(random.ms(200, 3_000));
        if !trouble {
            continue;
        }
        if copied_at.elapsed() > Duration::from_secs(5) {
            copy = world.store.copy();
            copied_at = Instant::now();
        }
        for _ in 0..1 + random.below(2) {
            disrupt(&mut world, record, &mut random, &copy);
        }
    }
    for backend in &mut world.group.lock().backends {
        backend.cut = false;
        backend.deaf = false;
    }
    for front in &world.fronts {
        front.signal(Signal::Continue);
    }
    thread::sleep(Duration::from_secs(9));
    stopping.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().ok();
    }
    check(&world, record, &ledger.lock().expect("lock"))
}

fn disrupt(
    world: &mut World,
    record: &Arc<Record>,
    random: &mut Random,
    copy: &crate::store::Copy,
) {
    let group = Arc::clone(&world.group);
    let store = Arc::clone(&world.store);
    let leader = group.lock().leader();
    let living: Vec<usize> = {
        let state = group.lock();
        let indices = 0..state.backends.len();
        indices
            .filter(|index| !state.backends[*index].gone)
            .collect()
    };
    let any = living[random.below(living.len() as u64) as usize];
    let time = random.ms(300, 6_000);
    // KINDS limits the disruptions, for example to "2,11,12".
    let kinds: Vec<u64> = std::env::var("KINDS").map_or_else(
        |_| (0..23).collect(),
        |text| {
            text.split(',')
                .filter_map(|kind| kind.parse().ok())
                .collect()
        },
    );
    let kind = kinds[random.below(kinds.len() as u64) as usize];
    record.write(&format!(
        "disruption {kind} for {time:?}, backend {any}, leader {leader:?}"
    ));
    let later = |time: Duration, action: Box<dyn FnOnce() + Send>| {
        thread::spawn(move || {
            thread::sleep(time);
            action();
        });
    };
    match (kind, leader) {
        (0 | 1, Some(leader)) => {
            let time = time.min(Duration::from_secs(5));
            group.lock().backends[leader].cut = true;
            later(
                time,
                Box::new(move || group.lock().backends[leader].cut = false),
            );
        }
        (2 | 3, Some(leader)) if group.lock().backends.iter().all(|b| b.alive || b.gone) => {
            group.darken(leader);
            later(time, Box::new(move || group.revive(leader)));
        }
        (4, Some(leader))
            if leader != any && group.lock().backends.iter().all(|b| b.alive || b.gone) =>
        {
            group.darken(any);
            later(time, Box::new(move || group.revive(any)));
        }
        (17 | 18, Some(leader)) if living.len() == 3 => {
            let old = if kind == 17 { leader } else { any };
            let zone = group.lock().backends[old].zone.clone();
            group.add(&zone);
            let pause = random.ms(300, 1_500);
            let stay = random.ms(7_100, 9_000);
            later(
                pause,
                Box::new(move || {
                    group.lock().backends[old].draining = true;
                    thread::sleep(stay);
                    group.retire(old);
                }),
            );
        }
        (19, Some(leader)) if leader != any => group.rebear(any),
        (20, _) => {
            group.lock().busy_percent = 5 + random.below(60);
            later(time, Box::new(move || group.lock().busy_percent = 0));
        }
        (21 | 22, _) => {
            group.lock().lost_percent = 2 + random.below(30);
            later(time, Box::new(move || group.lock().lost_percent = 0));
        }
        (5, _) => {
            group.lock().lag = Duration::from_millis(60 * (1 + random.below(30)));
            later(
                time,
                Box::new(move || group.lock().lag = Duration::from_millis(60)),
            );
        }
        (6, Some(leader)) if leader != any => {
            group.lock().backends[any].deaf = true;
            later(
                time,
                Box::new(move || group.lock().backends[any].deaf = false),
            );
        }
        (7, _) => {
            store.lock().away = true;
            let time = time.min(Duration::from_millis(4_500));
            later(time, Box::new(move || store.lock().away = false));
        }
        (8, _) => {
            store.lock().slow = Duration::from_millis(50 + random.below(200));
            later(time, Box::new(move || store.lock().slow = Duration::ZERO));
        }
        (9, _) => {
            store.lock().loses = true;
            later(time / 3, Box::new(move || store.lock().loses = false));
        }
        (10, _) => {
            store.lock().late = Some(random.ms(1_000, 5_000));
            later(time / 3, Box::new(move || store.lock().late = None));
        }
        (11, _) => {
            store.lock().away = true;
            thread::sleep(random.ms(100, 1_000));
            store.restore(copy, true);
            store.lock().away = false;
        }
        (12 | 13, _) => {
            let index = random.below(world.fronts.len() as u64) as usize;
            world.fronts[index].kill();
            thread::sleep(random.ms(50, 600));
            world.fronts[index].start_again();
        }
        (14, _) => {
            let index = random.below(world.fronts.len() as u64) as usize;
            world.fronts[index].signal(Signal::Stop);
            thread::sleep(time);
            world.fronts[index].signal(Signal::Continue);
        }
        (15, _) => {
            let index = random.below(world.fronts.len() as u64) as usize;
            world.fronts[index].signal(Signal::Term);
            let end = Instant::now() + Duration::from_secs(6);
            while !world.fronts[index].has_ended() && Instant::now() < end {
                thread::sleep(Duration::from_millis(10));
            }
            world.fronts[index].kill();
            world.fronts[index].start_again();
        }
        (16, _) => {
            for front in &mut world.fronts {
                front.kill();
            }
            for front in &mut world.fronts {
                front.start_again();
            }
        }
        _ => {}
    }
}

fn check(world: &World, record: &Arc<Record>, ledger: &Ledger) -> Finding {
    let state = world.group.lock();
    let mut faults: Vec<String> = Vec::new();
    let Some(leader) = state.leader() else {
        return Finding::NotRun("no primary at the end".to_owned());
    };
    let log = state.writes(leader);
    let mut counts: HashMap<&(String, String), u64> = HashMap::new();
    for write in &log {
        *counts.entry(write).or_default() += 1;
    }
    for (item, value, _, _) in &ledger.acked {
        match counts
            .get(&(item.clone(), value.to_string()))
            .copied()
            .unwrap_or(0)
        {
            0 => faults.push(format!("LOST {item} {value}")),
            1 => {}
            count => faults.push(format!("TWICE {item} {value}: {count}")),
        }
    }
    for (item, value, code) in &ledger.promised {
        if counts.contains_key(&(item.clone(), value.to_string())) {
            faults.push(format!("REFUSED {item} {value} after {code}"));
        }
    }
    for effect in &state.effects {
        let held: std::collections::HashSet<_> = effect.writes.iter().collect();
        for (item, value, at, _) in &ledger.acked {
            if *at < effect.at && !held.contains(&(item.clone(), value.to_string())) {
                faults.push(format!(
                    "LOST at the promotion of {}: {item} {value}",
                    effect.backend
                ));
            }
        }
    }
    let mut runs: HashMap<&str, Vec<&crate::group::Run>> = HashMap::new();
    for run in &state.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let mut connections: HashMap<(usize, u64), (u64, u64)> = HashMap::new();
    for sent in &ledger.sent {
        let word = sent.text.split(' ').next().unwrap_or_default();
        let is_data = matches!(word, "READ" | "WRITE" | "EXECUTE" | "COMMIT");
        for run in runs
            .get(sent.id.as_str())
            .into_iter()
            .flatten()
            .filter(|_| is_data)
        {
            let text = match (&sent.definition, word) {
                (Some(_), "EXECUTE") => {
                    let rest = |text: &str| text.splitn(3, ' ').nth(2).map(str::to_owned);
                    rest(&run.text) == rest(&sent.text) && run.text.starts_with("EXECUTE")
                }
                _ => run.text == sent.text,
            };
            if !text || (word == "EXECUTE" && run.definition != sent.definition) {
                faults.push(format!(
                    "UNASKED {} sent {:?} ran {:?} as {:?}",
                    sent.id, sent.text, run.text, run.definition
                ));
            }
            if word != "COMMIT" && run.values != sent.values {
                faults.push(format!(
                    "PINNED {} {} ran at {} with {:?}, acknowledged {:?}",
                    sent.id, sent.text, run.backend, run.values, sent.values
                ));
            }
            if run.transaction.is_some() != sent.transaction.is_some() {
                faults.push(format!(
                    "PINNED {} {}: transaction {:?} ran in {:?}",
                    sent.id, sent.text, sent.transaction, run.transaction
                ));
            }
            if let (Some(own), Some(ran)) = (sent.transaction, run.transaction)
                && sent.receipt.is_some()
            {
                let place = (run.connection, ran);
                let first = *connections.entry((sent.session, own)).or_insert(place);
                if first != place {
                    faults.push(format!(
                        "PINNED {} {}: ran at {place:?}, began at {first:?}",
                        sent.id, sent.text
                    ));
                }
            }
        }
        let Some(receipt) = sent.receipt.as_ref().filter(|_| is_data) else {
            continue;
        };
        let own = runs
            .get(sent.id.as_str())
            .into_iter()
            .flatten()
            .find(|run| run.receipt == *receipt);
        match own {
            None => faults.push(format!(
                "MIXED {} {}: receipt {receipt}",
                sent.id, sent.text
            )),
            Some(run) if run.row != sent.row => {
                faults.push(format!(
                    "MIXED {} {}: row {:?} for {:?}",
                    sent.id, sent.text, sent.row, run.row
                ));
            }
            Some(_) => {}
        }
        let Some(row) = &sent.row else { continue };
        let item = sent
            .text
            .split(' ')
            .find(|word| word.starts_with('w'))
            .unwrap_or_default();
        let limit = match sent.database {
            "linear" => Duration::ZERO,
            "bounded" => Duration::from_millis(1_500),
            _ => Duration::from_millis(2_500),
        };
        let newest = ledger.acked.iter().filter(|(name, _, at, session)| {
            let own = sent.database == "own" && *session == sent.session && *at < sent.begun;
            name == item && (*at + limit < sent.begun || own && sent.session == *session)
        });
        let newest = newest.map(|(_, value, _, _)| *value).max().unwrap_or(0);
        if row.parse::<u64>().unwrap_or(0) < newest {
            faults.push(format!(
                "STALE {} {} on {}: {row} < {newest}",
                sent.id, sent.text, sent.database
            ));
        }
    }
    record.show(&format!(
        "served {}, failed {}, acknowledged {}, promotions {}",
        ledger.served,
        ledger.failed,
        ledger.acked.len(),
        state.effects.len()
    ));
    for fault in &faults {
        record.write(&format!("BROKEN {fault}"));
    }
    for fault in faults.iter().take(6) {
        println!("  {fault}");
    }
    match faults.is_empty() {
        true => Finding::Held("no fault".to_owned()),
        false => Finding::Broken(format!("{} faults", faults.len())),
    }
}
