//! A session value that is set in a transaction whose primary loses the lead.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Finding;
use crate::fleet::Client;
use crate::record::Record;
use crate::world::World;

/// How long the primary is cut off from its replicas.
const CUT_TIME: Duration = Duration::from_secs(5);

/// Pause between two steps of a transaction.
const STEP_PAUSE: Duration = Duration::from_millis(250);

/// How long single reads follow.
const READ_TIME: Duration = Duration::from_secs(14);

pub fn run(record: &Arc<Record>, folder: &Path, trouble: bool) -> Finding {
    let zones = ["lagos-a", "lagos-b"];
    let backends = ["lagos-a", "lagos-b", "lagos-c"];
    let Some(world) = World::start(Arc::clone(record), folder, &zones, backends) else {
        return Finding::NotRun("no service at the start".to_owned());
    };
    let stopping = Arc::new(AtomicBool::new(false));
    for number in 0..6 {
        let (record, stopping) = (Arc::clone(record), Arc::clone(&stopping));
        let address = world.fronts[number % 2].callers;
        thread::spawn(move || write_steadily(&record, &stopping, number, address));
    }
    let disruption = {
        let (group, record) = (Arc::clone(&world.group), Arc::clone(record));
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(4));
            if !trouble {
                return;
            }
            record.show("the primary is cut off from its replicas");
            group.lock().backends[0].cut = true;
            thread::sleep(CUT_TIME);
            group.lock().backends[0].cut = false;
            record.show("the cut heals");
        })
    };
    let finding = observe(&world, record);
    stopping.store(true, Ordering::Relaxed);
    disruption.join().ok();
    let state = world.group.lock();
    let promotions = state.promotions.len();
    record.show(&format!("{promotions} promotions"));
    match finding {
        Finding::Held(_) if trouble && promotions == 0 => {
            Finding::NotRun("the primary was not replaced".to_owned())
        }
        finding => finding,
    }
}

/// Writes until the case ends. The writes hang while the primary is cut off.
fn write_steadily(
    record: &Arc<Record>,
    stopping: &AtomicBool,
    number: usize,
    address: std::net::SocketAddr,
) {
    let name = format!("writer-{number}");
    let mut value = 0;
    while !stopping.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::open(record, &name, address, "linear") else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        while !stopping.load(Ordering::Relaxed) {
            value += 1;
            let (_, answer) = client.request(&format!("WRITE w{number} {value}"));
            thread::sleep(Duration::from_millis(150));
            if answer.is_err() {
                break;
            }
        }
    }
}

/// Sets values in transactions until one fails after its first statement, then reads, and compares the
/// values with which each statement runs with those that were acknowledged.
fn observe(world: &World, record: &Arc<Record>) -> Finding {
    let opened = Client::open(record, "session", world.fronts[0].callers, "own");
    let Ok(mut session) = opened else {
        return Finding::NotRun("the session was refused".to_owned());
    };
    let mut acknowledged = String::new();
    let mut number = 0;
    let mut set = |session: &mut Client, acknowledged: &mut String| {
        number += 1;
        let value = format!("l{number}");
        let (_, answer) = session.request(&format!("SET lang {value}"));
        let is_done = answer.is_ok_and(|answer| answer.is_ok());
        if is_done {
            *acknowledged = value;
        }
        is_done
    };
    if !set(&mut session, &mut acknowledged) {
        return Finding::NotRun("SET was refused".to_owned());
    }
    let (mut checked, mut broken) = (0, Vec::new());
    let mut check = |id: &str, acknowledged: &str| {
        let state = world.group.lock();
        let run = state.runs.iter().rev().find(|run| run.id == id);
        let Some(run) = run else { return };
        checked += 1;
        let held = run.values.get("lang").map_or("nothing", String::as_str);
        if held != acknowledged {
            let text = format!(
                "{} ran {} {} with lang {held}, but lang {acknowledged} was acknowledged",
                run.backend, run.id, run.text
            );
            record.write(&format!("BROKEN {text}"));
            broken.push(text);
        }
    };
    let end = Instant::now() + Duration::from_secs(16);
    let mut has_failed = false;
    'transactions: while Instant::now() < end && !has_failed {
        let _ = session.request("BEGIN");
        let (id, first) = session.request("READ page");
        let Ok(first) = first else {
            return Finding::NotRun("the session was closed".to_owned());
        };
        if first.is_ok() {
            check(&id, &acknowledged);
            for _ in 0..4 {
                thread::sleep(STEP_PAUSE);
                if !set(&mut session, &mut acknowledged) {
                    return Finding::NotRun("SET was refused".to_owned());
                }
                let (id, answer) = session.request("READ page");
                let Ok(answer) = answer else {
                    return Finding::NotRun("the session was closed".to_owned());
                };
                if !answer.is_ok() {
                    let _ = session.request("ROLLBACK");
                    has_failed = true;
                    continue 'transactions;
                }
                check(&id, &acknowledged);
            }
        }
        let last = if first.is_ok() { "COMMIT" } else { "ROLLBACK" };
        let _ = session.request(last);
        if !first.is_ok() {
            thread::sleep(Duration::from_millis(50));
        }
    }
    record.show(&format!(
        "a transaction failed after its first statement: {has_failed}"
    ));
    let end = Instant::now() + READ_TIME;
    while Instant::now() < end {
        let (id, answer) = session.request("READ page");
        if answer.is_err() {
            return Finding::NotRun("the session was closed".to_owned());
        }
        check(&id, &acknowledged);
        thread::sleep(Duration::from_millis(20));
    }
    match broken.first() {
        Some(first) => Finding::Broken(format!(
            "PINNED: {} of {checked} statements ran with other values; the first: {first}",
            broken.len()
        )),
        None => Finding::Held(format!(
            "{checked} statements ran with the acknowledged values"
        )),
    }
}
