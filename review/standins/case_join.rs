//! A backend that starts during a change of the primary receives commits that the promoted one lacks.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crate::group::Service;
use crate::machine::Machine;
use crate::platform::configuration;
use crate::platform::small_sheet;
use crate::platform::Platform;
use crate::platform::Route;
use crate::record;
use crate::writers::Writers;
use crate::Verdict;

/// How long the primary is partitioned from its replicas; the sheets give 5 s.
const CUT: Duration = Duration::from_millis(5_000);

/// Time from the promotion call to the start of the new backend.
const START_AFTER: Duration = Duration::from_millis(200);

/// Time from the start of a new backend to the report of the old one that it drains.
const DRAIN_AFTER: Duration = Duration::from_millis(1_000);

/// Changes of the primary in a run.
const ROUNDS: usize = 4;

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
    let names = [("front-a-1", "zone-a"), ("front-b-1", "zone-b"), ("front-c-1", "zone-c")];
    let mut machines: Vec<Machine> = names
        .iter()
        .map(|(name, zone)| Machine::new(&platform, name, zone, 0.17))
        .collect();
    for machine in &mut machines {
        machine.start();
    }
    if !machines.iter_mut().all(|m| m.wait_ready(Duration::from_secs(10))) {
        return Verdict::CannotRun("the machines are not ready".to_owned());
    }
    let ports: Vec<u16> = machines.iter().flat_map(|m| [m.port; 4]).collect();
    let writers = Writers::start(&ports, "orders", Duration::from_millis(60));
    std::thread::sleep(Duration::from_secs(2));
    let mut replaced = 0;
    for _ in 0..ROUNDS {
        let Some(former) = service.primary() else {
            return Verdict::CannotRun("no primary".to_owned());
        };
        match trouble {
            true => cut_and_release(&platform, &service, &former),
            false => release(&service, &former),
        }
        std::thread::sleep(Duration::from_secs(9));
        service.leave(&former);
        std::thread::sleep(Duration::from_secs(1));
        replaced += usize::from(service.primary().is_some_and(|primary| primary != former));
        if !service.lost(&writers.acknowledged.lock().unwrap()).is_empty() {
            break;
        }
    }
    let acknowledged = writers.finish();
    std::thread::sleep(Duration::from_millis(500));
    let lost = service.lost(&acknowledged);
    record!("{replaced} replacements, {} acknowledged writes, lost: {lost:?}", acknowledged.len());
    match lost.first() {
        Some(first) => Verdict::Broken(format!(
            "LOST: {} acknowledged commits are not in the log of the promoted backend, the first is {first}",
            lost.len()
        )),
        None if acknowledged.len() < 100 || replaced < ROUNDS => {
            Verdict::CannotRun("a primary was not replaced, or there were too few writes".to_owned())
        }
        None => Verdict::Held,
    }
}

/// Replaces a primary as planned: the new backend starts first, then the old one drains.
fn release(service: &Arc<Service>, former: &str) {
    let zone = service.group.lock().unwrap().backends[former].zone.clone();
    service.add(&zone, false);
    std::thread::sleep(DRAIN_AFTER);
    service.drain(former);
}

/// Partitions a primary from its replicas, and replaces it as planned while the system reacts.
fn cut_and_release(platform: &Arc<Platform>, service: &Arc<Service>, former: &str) {
    let (armed, releasing) = (AtomicBool::new(true), Arc::clone(service));
    let old = former.to_owned();
    platform.on_promotion(Box::new(move |_, _| {
        if armed.swap(false, Ordering::SeqCst) {
            let (service, former) = (Arc::clone(&releasing), old.clone());
            std::thread::spawn(move || {
                std::thread::sleep(START_AFTER);
                release(&service, &former);
            });
        }
    }));
    let replicas: Vec<String> = {
        let group = service.group.lock().unwrap();
        let running = group.backends.iter().filter(|(_, b)| b.running);
        running.map(|(id, _)| id.clone()).filter(|id| id != former).collect()
    };
    record!("disruption: {former} is partitioned from its replicas for {CUT:?}");
    for id in &replicas {
        service.set_cut(id, Some(former));
    }
    let service = Arc::clone(service);
    std::thread::spawn(move || {
        std::thread::sleep(CUT);
        for id in &replicas {
            service.set_cut(id, None);
        }
    });
}
