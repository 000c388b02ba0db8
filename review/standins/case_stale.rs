//! A machine whose member key is gone, because a late write tied it to an ended lease, goes on using
//! the former primary.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::machine::Machine;
use crate::platform::configuration;
use crate::platform::small_sheet;
use crate::platform::Platform;
use crate::platform::Route;
use crate::record;
use crate::Verdict;

/// Time after which the lost write is done; the pages give 1 to 6 s.
const LATE: Duration = Duration::from_millis(2_000);

/// Length of the cut; the sheets give 5.5 s for `core_cut`.
const CUT: Duration = Duration::from_millis(5_500);

pub fn run(trouble: bool) -> Verdict {
    let platform = Platform::start();
    let sheet = small_sheet("db");
    let service = platform.add_services(&sheet);
    let routes = [Route {
        host: "orders",
        kind: "primary",
        public: false,
    }];
    platform.configure(&configuration(7, &sheet, &routes));
    let machine = |name: &str, zone: &str| Machine::new(&platform, name, zone, 0.17);
    let (mut first, mut second) = (machine("front-a-1", "zone-a"), machine("front-b-1", "zone-b"));
    let mut third = machine("front-c-1", "zone-c");
    first.start();
    second.start();
    if !first.wait_ready(Duration::from_secs(10)) || !second.wait_ready(Duration::from_secs(10)) {
        return Verdict::CannotRun("the machines are not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        record!("disruption: the store loses the answer to one write of front-c-1 and does it late");
        let armed = AtomicBool::new(true);
        platform.store.set_late(Some(Box::new(move |machine, keys| {
            let chosen = machine == "front-c-1" && keys.iter().any(|k| k.contains("/member/"));
            (chosen && armed.swap(false, Ordering::SeqCst)).then_some(LATE)
        })));
    }
    third.start();
    if !third.wait_ready(Duration::from_secs(10)) {
        return Verdict::CannotRun("front-c-1 is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_millis(11_000));
    platform.store.set_late(None);
    let members = platform.store.keys("tamaracklb/member/");
    let ready = third.wait_ready(Duration::from_millis(100));
    record!("members {members:?}; front-c-1 is ready: {ready}");
    let (mut writer, mut reader) = match (
        Client::open(first.port, "writer", "orders", "key-a"),
        Client::open(third.port, "reader", "orders", "key-b"),
    ) {
        (Ok(writer), Ok(reader)) => (writer, reader),
        _ => return Verdict::CannotRun("no session".to_owned()),
    };
    let start = Instant::now();
    let mut released = false;
    let (mut written, mut reads, mut stale) = (0, 0, Vec::new());
    let mut number = 0;
    while start.elapsed() < Duration::from_secs(10) {
        if !released && start.elapsed() > Duration::from_secs(2) {
            released = true;
            let Some(former) = service.primary() else {
                return Verdict::CannotRun("no primary".to_owned());
            };
            let zone = service.group.lock().unwrap().backends[&former].zone.clone();
            service.add(&zone, false);
            std::thread::sleep(Duration::from_millis(500));
            if trouble {
                record!("disruption: front-c-1 is cut off from the store for {CUT:?}");
                third.link.cut();
                let link = Arc::clone(&third.link);
                std::thread::spawn(move || {
                    std::thread::sleep(CUT);
                    record!("disruption: the cut ends");
                    link.heal();
                });
            }
            service.drain(&former);
        }
        number += 1;
        match writer.query(&format!("WRITE counter {number}")) {
            Ok(answer) if answer.succeeded() => written = number,
            Ok(_) => {}
            Err(error) => return Verdict::CannotRun(format!("the writer's session: {error}")),
        }
        match reader.query("READ counter") {
            Ok(answer) if answer.succeeded() => {
                reads += 1;
                let row = answer.rows.first().cloned().unwrap_or_default();
                if row.parse::<u64>().unwrap_or(0) < written {
                    record!("STALE: {} reads {row} after {written} was acknowledged", answer.request);
                    stale.push(answer.request);
                }
            }
            Ok(_) => {}
            Err(_) => match Client::open(third.port, "reader2", "orders", "key-b") {
                Ok(client) => reader = client,
                Err(error) => return Verdict::CannotRun(format!("the reader's session: {error}")),
            },
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record!("{reads} reads on the route of kind primary, {} of them stale", stale.len());
    match stale.first() {
        Some(first) => Verdict::Broken(format!(
            "STALE: {} reads on a route of kind primary lack an acknowledged commit, the first is {first}",
            stale.len()
        )),
        None if reads < 20 => Verdict::CannotRun("too few reads were served".to_owned()),
        None => Verdict::Held,
    }
}
