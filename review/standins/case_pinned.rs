//! A query of a primary's position resets a connection whose session values are still assumed.

use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::machine::Machine;
use crate::platform::configuration;
use crate::platform::small_sheet;
use crate::platform::Platform;
use crate::platform::Route;
use crate::record;
use crate::writers::Writers;
use crate::Verdict;

pub fn run(trouble: bool) -> Verdict {
    let platform = Platform::start();
    let sheet = small_sheet("db");
    let service = platform.add_services(&sheet);
    let routes = [
        Route {
            host: "orders",
            kind: "primary",
            public: false,
        },
        Route {
            host: "catalogue",
            kind: "primary",
            public: true,
        },
    ];
    platform.configure(&configuration(7, &sheet, &routes));
    let mut first = Machine::new(&platform, "front-a-2", "zone-a", 0.17);
    let mut second = Machine::new(&platform, "front-a-1", "zone-a", 0.17);
    first.start();
    if !first.wait_ready(Duration::from_secs(10)) {
        return Verdict::CannotRun("front-a-2 is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    second.start();
    if !second.wait_ready(Duration::from_secs(10)) {
        return Verdict::CannotRun("front-a-1 is not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    let writers = Writers::start(&[first.port], "orders", Duration::from_millis(100));
    let opened = Client::open(second.port, "visitor", "catalogue", "-");
    let Ok(mut visitor) = opened else {
        return Verdict::CannotRun("no session".to_owned());
    };
    match visitor.query("SET language es") {
        Ok(answer) if answer.succeeded() => {}
        other => return Verdict::CannotRun(format!("SET: {other:?}")),
    }
    let start = Instant::now();
    let (mut killed, mut restarted) = (false, false);
    let mut served = 0;
    while start.elapsed() < Duration::from_secs(16) {
        if trouble && !killed && start.elapsed() > Duration::from_secs(5) {
            record!("disruption: front-a-2, which last wrote to the store under a condition, is killed");
            first.kill();
            killed = true;
        }
        if killed && !restarted && start.elapsed() > Duration::from_millis(8_500) {
            first.start();
            restarted = true;
        }
        match visitor.query("READ price") {
            Ok(answer) => served += u32::from(answer.succeeded()),
            Err(error) => return Verdict::CannotRun(format!("the visitor's session: {error}")),
        }
        std::thread::sleep(Duration::from_millis(700));
    }
    writers.finish();
    let group = service.group.lock().unwrap();
    let runs = group.runs.iter().filter(|run| run.request.starts_with("visitor"));
    let wrong: Vec<String> = runs
        .filter(|run| run.values.get("language").map(String::as_str) != Some("es"))
        .map(|run| run.request.clone())
        .collect();
    record!("{served} reads of the visitor were served; without its value: {wrong:?}");
    match wrong.first() {
        Some(first) => Verdict::Broken(format!(
            "PINNED: {} statements ran without the value that SET had acknowledged, the first is {first}",
            wrong.len()
        )),
        None if served < 10 => Verdict::CannotRun("too few reads were served".to_owned()),
        None => Verdict::Held,
    }
}
