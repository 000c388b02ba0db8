//! A daemon that starts after the store came back from a copy in which a withdrawn key is valid.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Finding;
use crate::fleet::Client;
use crate::fleet::KEY;
use crate::fleet::OTHER_KEY;
use crate::record::Record;
use crate::world::MAX_CONNECTIONS;
use crate::world::World;
use crate::world::configuration;

/// How long the store is away in the drill.
const AWAY_TIME: Duration = Duration::from_secs(1);

/// Time after the return of the store at which the operator has written the configuration again.
const OPERATOR_TIME: Duration = Duration::from_secs(2);

/// Bound of the site for the use of a withdrawn key.
const REVOKE_TIME: Duration = Duration::from_secs(5);

/// How long the withdrawn key is tried.
const TRY_TIME: Duration = Duration::from_secs(8);

pub fn run(record: &Arc<Record>, folder: &Path, trouble: bool) -> Finding {
    let zones = ["lagos-a", "lagos-b", "lagos-c"];
    let Some(mut world) = World::start(Arc::clone(record), folder, &zones, zones) else {
        return Finding::NotRun("no service at the start".to_owned());
    };
    thread::sleep(Duration::from_secs(2));
    let copy = world.store.copy();
    record.show("the store is copied");
    thread::sleep(Duration::from_millis(200));
    let second = configuration(9, MAX_CONNECTIONS, &[OTHER_KEY])
        .to_string()
        .into_bytes();
    world
        .store
        .lock()
        .content
        .put("op/config", second.clone(), 0);
    let confirmed = Instant::now();
    record.show("the configuration that takes the key away is confirmed");
    thread::sleep(Duration::from_millis(4_500));
    if trouble {
        record.show("the store is away");
        world.store.lock().away = true;
        thread::sleep(AWAY_TIME);
        world.store.restore(&copy, false);
        world.store.lock().away = false;
    } else {
        thread::sleep(AWAY_TIME);
    }
    record.show("a daemon is killed and starts again");
    world.fronts[0].kill();
    world.fronts[0].start_again();
    let back = Instant::now();
    let mut is_rewritten = !trouble;
    let reader = world.fronts[0].callers;
    let (mut sent, mut served, mut broken) = (0, 0, Vec::new());
    while back.elapsed() < TRY_TIME {
        if !is_rewritten && back.elapsed() >= OPERATOR_TIME {
            record.show("the operator has written the configuration again");
            world
                .store
                .lock()
                .content
                .put("op/config", second.clone(), 0);
            is_rewritten = true;
        }
        if let Ok(mut client) = Client::open_with(record, "holder", reader, "linear", KEY) {
            let at = Instant::now();
            let (id, _) = client.request("READ page");
            sent += 1;
            let state = world.group.lock();
            let run = state.runs.iter().find(|run| run.id == id);
            if let Some(run) = run.filter(|_| at.saturating_duration_since(confirmed) > REVOKE_TIME)
            {
                let late = at.saturating_duration_since(confirmed).as_millis();
                let text = format!(
                    "{id} was sent {late} ms after it and ran at {}",
                    run.backend
                );
                record.write(&format!("BROKEN {text}"));
                broken.push(text);
            }
        }
        if let Ok(mut client) = Client::open_with(record, "other", reader, "linear", OTHER_KEY) {
            let (_, answer) = client.request("READ page");
            served += u32::from(answer.is_ok_and(|answer| answer.is_ok()));
        }
        thread::sleep(Duration::from_millis(25));
    }
    record.show(&format!(
        "{sent} requests with the withdrawn key, {served} served with another"
    ));
    match broken.first() {
        Some(first) => Finding::Broken(format!(
            "CONFIG: {} requests ran with a key that had been withdrawn; the first: {first}",
            broken.len()
        )),
        None if served == 0 => Finding::NotRun("the daemon served nobody".to_owned()),
        None => Finding::Held("no request ran with the withdrawn key".to_owned()),
    }
}
