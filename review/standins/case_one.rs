//! A promotion call that a cut has held up arrives after the next leader's.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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

/// Length of the cut; the sheets give 5.5 s for `core_cut` and `node_cut`.
const CUT: Duration = Duration::from_millis(5_500);

pub fn run(trouble: &str) -> Verdict {
    let platform = Platform::start();
    let sheet = small_sheet("db");
    let service = platform.add_services(&sheet);
    let routes = [Route {
        host: "orders",
        kind: "primary",
        public: false,
    }];
    platform.configure(&configuration(7, &sheet, &routes));
    let mut machines: Vec<Machine> = [("front-a-1", "zone-a"), ("front-b-1", "zone-b"), ("front-c-1", "zone-c")]
        .iter()
        .map(|(name, zone)| Machine::new(&platform, name, zone, 0.17))
        .collect();
    for machine in &mut machines {
        machine.start();
    }
    if !machines.iter_mut().all(|m| m.wait_ready(Duration::from_secs(10))) {
        return Verdict::CannotRun("the machines are not ready".to_owned());
    }
    let ports: Vec<u16> = machines.iter().map(|m| m.port).collect();
    let writers = Writers::start(&ports, "orders", Duration::from_millis(40));
    std::thread::sleep(Duration::from_secs(2));
    // The first planned replacement of the primary; the leader's call goes through.
    if !release(&platform, &service) {
        return Verdict::CannotRun("the first primary was not replaced".to_owned());
    }
    std::thread::sleep(Duration::from_secs(4));
    // The second one; the leader is cut off from the platform meanwhile.
    let leader = platform.store.value("tamaracklb/leader").unwrap_or_default();
    let leader = Json::parse(&leader).unwrap_or(Json::Null);
    let leader = leader.get("instance").text().to_owned();
    let Some(leading) = machines.iter().find(|m| m.name == leader) else {
        return Verdict::CannotRun("nobody leads".to_owned());
    };
    let link = Arc::clone(&leading.link);
    if trouble != "0" {
        let armed = AtomicBool::new(true);
        let hook = move |_: &str, command: &str| {
            if command == "PAUSE" && armed.swap(false, Ordering::SeqCst) {
                record!("disruption: {leader} is cut off from the platform for {CUT:?}");
                link.cut();
                let link = Arc::clone(&link);
                std::thread::spawn(move || {
                    std::thread::sleep(CUT);
                    record!("disruption: the cut ends");
                    link.heal();
                });
            }
        };
        *service.hook.lock().unwrap() = Some(Box::new(hook));
    }
    release(&platform, &service);
    std::thread::sleep(CUT + Duration::from_secs(4));
    let acknowledged = writers.finish();
    std::thread::sleep(Duration::from_millis(500));
    verdict(&service, &acknowledged)
}

/// Replaces the primary as planned; returns whether another one serves within 9 s.
fn release(platform: &Arc<Platform>, service: &Arc<Service>) -> bool {
    let Some(former) = service.primary() else {
        return false;
    };
    let zone = service.group.lock().unwrap().backends[&former].zone.clone();
    service.add(&zone, false);
    std::thread::sleep(Duration::from_millis(500));
    service.drain(&former);
    let leaving = Arc::clone(service);
    let id = former.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(8));
        leaving.leave(&id);
    });
    let end = Instant::now() + Duration::from_secs(9);
    while Instant::now() < end {
        let order = platform.store.value("tamaracklb/order/db").unwrap_or_default();
        let order = Json::parse(&order).unwrap_or(Json::Null);
        if order.get("phase").text() == "open" && order.get("target").text() != former {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

fn verdict(service: &Service, acknowledged: &[String]) -> Verdict {
    let group = service.group.lock().unwrap();
    let mut newest = 0;
    let mut broken = None;
    for call in &group.promotions {
        if call.token < newest {
            broken = Some(format!(
                "ONE: {} sends generation number {} for {} after the platform has seen {newest}",
                call.holder, call.token, call.target
            ));
        }
        newest = newest.max(call.token);
    }
    let primary = crate::group::newest_primary(&group);
    let log = primary.as_ref().map(|id| &group.backends[id].log);
    let lost: Vec<&String> = acknowledged
        .iter()
        .filter(|id| log.is_none_or(|log| !log.iter().any(|e| e.commit.request == **id)))
        .collect();
    record!(
        "{} promotion calls, {} acknowledged writes, {} of them not in the log of {primary:?}: {lost:?}",
        group.promotions.len(),
        acknowledged.len(),
        lost.len()
    );
    match broken {
        Some(what) => Verdict::Broken(what),
        None if group.promotions.len() < 2 => {
            Verdict::CannotRun("the second primary was not replaced".to_owned())
        }
        None => Verdict::Held,
    }
}
