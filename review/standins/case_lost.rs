//! A new leader resumes the replicas that its own change of a primary needs paused.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crate::group::Service;
use crate::json::Json;
use crate::machine::Machine;
use crate::platform::configuration;
use crate::platform::small_sheet;
use crate::platform::Platform;
use crate::platform::Route;
use crate::record;
use crate::writers::Writers;
use crate::Verdict;

/// How long the promoted replica receives nothing; the sheets give 6.5 s.
const DEAF: Duration = Duration::from_millis(2_000);

/// Time from the promotion call to the start of that.
const DEAF_AFTER: Duration = Duration::from_millis(300);

/// Time from the kill of the leader to the report of the primary that it drains; the leader's lease
/// ends up to a second later.
const DRAIN_AFTER: Duration = Duration::from_millis(500);

/// Replacements of a primary in a run.
const ROUNDS: usize = 5;

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
    let ports: Vec<u16> = machines.iter().flat_map(|m| [m.port, m.port]).collect();
    let writers = Writers::start(&ports, "orders", Duration::from_millis(40));
    std::thread::sleep(Duration::from_secs(2));
    let mut replaced = 0;
    for _ in 0..ROUNDS {
        let Some(former) = service.primary() else {
            return Verdict::CannotRun("no primary".to_owned());
        };
        if let Err(why) = replace(&platform, &service, &mut machines, &former, trouble) {
            return Verdict::CannotRun(why);
        }
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

/// Replaces a primary as planned. With trouble, the leader is killed just before, and the replica
/// that is then promoted receives nothing for a while.
fn replace(
    platform: &Arc<Platform>,
    service: &Arc<Service>,
    machines: &mut [Machine],
    former: &str,
    trouble: bool,
) -> Result<(), String> {
    let leader = platform.store.value("tamaracklb/leader").unwrap_or_default();
    let leader = Json::parse(&leader).unwrap_or(Json::Null);
    let leader = leader.get("instance").text().to_owned();
    let leading = machines.iter().position(|m| m.name == leader);
    let leading = leading.ok_or("nobody leads")?;
    if trouble {
        let (armed, deaf) = (AtomicBool::new(true), Arc::clone(service));
        platform.on_promotion(Box::new(move |_, target| {
            if !armed.swap(false, Ordering::SeqCst) {
                return;
            }
            let (service, target) = (Arc::clone(&deaf), target.to_owned());
            std::thread::spawn(move || {
                std::thread::sleep(DEAF_AFTER);
                service.set_cut(&target, Some("*"));
                std::thread::sleep(DEAF);
                service.set_cut(&target, None);
            });
        }));
    }
    let zone = service.group.lock().unwrap().backends[former].zone.clone();
    service.add(&zone, false);
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        record!("disruption: {leader}, the leader, is killed");
        machines[leading].kill();
        std::thread::sleep(DRAIN_AFTER);
    }
    service.drain(former);
    std::thread::sleep(Duration::from_millis(3_000));
    if trouble {
        machines[leading].start();
    }
    std::thread::sleep(Duration::from_millis(5_000));
    service.leave(former);
    std::thread::sleep(Duration::from_millis(1_000));
    Ok(())
}

