//! A daemon that starts after the store came back from a copy that lacks the last order.

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
use crate::record::Record;
use crate::world::World;

/// How long the primary is dark at least, and until it is replaced at most.
const DARK_TIME: Duration = Duration::from_millis(3_600);
const MAX_DARK_TIME: Duration = Duration::from_millis(6_800);

/// How long the store is away in the drill.
const AWAY_TIME: Duration = Duration::from_secs(1);

/// How long reads are compared after the drill.
const READ_TIME: Duration = Duration::from_secs(12);

pub fn run(record: &Arc<Record>, folder: &Path, trouble: bool) -> Finding {
    let zones = ["lagos-a", "lagos-b", "lagos-c"];
    let Some(mut world) = World::start(Arc::clone(record), folder, &zones, zones) else {
        return Finding::NotRun("no service at the start".to_owned());
    };
    let stopping = Arc::new(AtomicBool::new(false));
    let acknowledged: Arc<Mutex<u64>> = Arc::default();
    {
        let (record, stopping) = (Arc::clone(record), Arc::clone(&stopping));
        let (address, acknowledged) = (world.fronts[1].callers, Arc::clone(&acknowledged));
        thread::spawn(move || write_steadily(&record, &stopping, address, &acknowledged));
    }
    thread::sleep(Duration::from_secs(4));
    let copy = world.store.copy();
    record.show("the store is copied");
    thread::sleep(Duration::from_millis(200));
    record.show("the primary goes dark");
    world.group.darken(0);
    let dark = Instant::now();
    thread::sleep(DARK_TIME);
    while world.group.lock().leader().is_none() && dark.elapsed() < MAX_DARK_TIME {
        thread::sleep(Duration::from_millis(20));
    }
    record.show("the former primary is back");
    world.group.revive(0);
    if world.group.lock().leader() == Some(0) {
        return Finding::NotRun("the primary was not replaced in time".to_owned());
    }
    thread::sleep(Duration::from_millis(700));
    if trouble {
        record.show("the store is away");
        world.store.lock().away = true;
        thread::sleep(AWAY_TIME);
        world.store.restore(&copy, true);
        world.store.lock().away = false;
    }
    record.show("a daemon is killed and starts again");
    world.fronts[0].kill();
    world.fronts[0].start_again();
    let reader = world.fronts[0].callers;
    let end = Instant::now() + READ_TIME;
    let (mut compared, mut stale) = (0, Vec::new());
    while Instant::now() < end {
        let Ok(mut client) = Client::open(record, "reader", reader, "linear") else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        while Instant::now() < end {
            let before = *acknowledged.lock().expect("lock");
            let (id, answer) = client.request("READ page");
            let Ok(answer) = answer else { break };
            if let Some(row) = answer.rows.first().filter(|_| answer.is_ok()) {
                compared += 1;
                let value: u64 = row.parse().unwrap_or(0);
                if value < before {
                    let state = world.group.lock();
                    let run = state.runs.iter().rev().find(|run| run.id == id);
                    let backend = run.map(|run| run.backend.clone()).unwrap_or_default();
                    let text = format!(
                        "{id} read {value} at {backend}, but {before} was acknowledged before it was sent"
                    );
                    record.write(&format!("BROKEN {text}"));
                    stale.push(text);
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
    stopping.store(true, Ordering::Relaxed);
    record.show(&format!("promotions: {:?}", world.group.lock().promotions));
    match stale.first() {
        Some(first) => Finding::Broken(format!(
            "STALE: {} of {compared} reads on a primary route; the first: {first}",
            stale.len()
        )),
        None if compared < 50 => Finding::NotRun(format!("only {compared} reads were served")),
        None => Finding::Held(format!("{compared} reads saw each acknowledged write")),
    }
}

/// Writes rising numbers and records the last acknowledged one.
fn write_steadily(
    record: &Arc<Record>,
    stopping: &AtomicBool,
    address: std::net::SocketAddr,
    acknowledged: &Mutex<u64>,
) {
    let mut value = 0;
    while !stopping.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::open(record, "writer", address, "linear") else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        while !stopping.load(Ordering::Relaxed) {
            value += 1;
            let (_, answer) = client.request(&format!("WRITE page {value}"));
            match answer {
                Ok(answer) if answer.is_ok() => *acknowledged.lock().expect("lock") = value,
                Ok(_) => {}
                Err(_) => break,
            }
            thread::sleep(Duration::from_millis(8));
        }
    }
}
