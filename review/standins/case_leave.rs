//! A replica leaves as planned while the other one receives nothing; that one is then promoted.

use std::time::Duration;

use crate::group::newest_primary;
use crate::machine::Machine;
use crate::platform::configuration;
use crate::platform::small_sheet;
use crate::platform::Platform;
use crate::platform::Route;
use crate::record;
use crate::writers::Writers;
use crate::Verdict;

/// How long the other replica receives nothing; the sheets give 6.5 s.
const DEAF: Duration = Duration::from_millis(6_500);

/// Time from the start of that to the exit of the leaving replica.
const DEAF_BEFORE: Duration = Duration::from_millis(1_000);

/// Time from the report of the leaving replica that it drains to its exit; `DrainMs` is 7 s.
const DRAIN: Duration = Duration::from_millis(8_000);

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
    let ports: Vec<u16> = machines.iter().map(|m| m.port).collect();
    let writers = Writers::start(&ports, "orders", Duration::from_millis(300));
    std::thread::sleep(Duration::from_secs(2));
    let replicas: Vec<String> = {
        let group = service.group.lock().unwrap();
        let replicas = group.backends.iter().filter(|(_, b)| !b.primary);
        replicas.map(|(id, _)| id.clone()).collect()
    };
    let [leaving, staying] = replicas.as_slice() else {
        return Verdict::CannotRun("not two replicas".to_owned());
    };
    service.drain(leaving);
    std::thread::sleep(DRAIN - DEAF_BEFORE);
    if trouble {
        service.set_cut(staying, Some("*"));
    }
    std::thread::sleep(DEAF_BEFORE);
    service.leave(leaving);
    std::thread::sleep(DEAF - DEAF_BEFORE);
    if trouble {
        service.set_cut(staying, None);
    }
    std::thread::sleep(Duration::from_secs(5));
    let acknowledged = writers.finish();
    std::thread::sleep(Duration::from_millis(500));
    let lost = service.lost(&acknowledged);
    let primary = newest_primary(&service.group.lock().unwrap());
    record!("{} acknowledged writes, not in the log of {primary:?}: {lost:?}", acknowledged.len());
    match lost.first() {
        Some(first) => Verdict::Broken(format!(
            "LOST: {} acknowledged commits are not in the log of the promoted {}, the first is {first}",
            lost.len(),
            primary.unwrap_or_default()
        )),
        None if acknowledged.len() < 50 => Verdict::CannotRun("too few writes".to_owned()),
        None => Verdict::Held,
    }
}
