//! Runs one case of the review: the system's own processes against stand-ins of the platform, the
//! backends and the clients.

mod case_join;
mod case_leave;
mod case_lost;
mod case_pinned;
mod case_stale;
mod client;
mod group;
mod http;
mod json;
mod line_server;
mod machine;
mod platform;
mod record;
mod store;
mod writers;

use std::time::Duration;

/// Time after which a run is given up; a script may take 120 seconds.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// How a run ended.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, trouble, record_path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE TROUBLE RECORD");
        std::process::exit(2);
    };
    if let Err(error) = record::open(record_path) {
        eprintln!("{record_path}: {error}");
        std::process::exit(2);
    }
    std::thread::spawn(|| {
        std::thread::sleep(RUN_LIMIT);
        finish(Verdict::CannotRun("the run took too long".to_owned()));
    });
    std::panic::set_hook(Box::new(|panic| {
        finish(Verdict::CannotRun(format!("the stand-ins failed: {panic}")));
    }));
    record!("case {case}, TROUBLE={trouble}");
    let verdict = match case.as_str() {
        "join" => case_join::run(trouble != "0"),
        "leave" => case_leave::run(trouble != "0"),
        "lost" => case_lost::run(trouble != "0"),
        "stale" => case_stale::run(trouble != "0"),
        "pinned" => case_pinned::run(trouble != "0"),
        _ => Verdict::CannotRun(format!("no case {case}")),
    };
    finish(verdict);
}

/// Ends all processes that the run has started, and exits with the status of the verdict.
fn finish(verdict: Verdict) -> ! {
    machine::end_all();
    let folder = platform::run_folder();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs: {}", folder.display());
    }
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(what) => (1, format!("the rule was broken: {what}")),
        Verdict::CannotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record!("{text}");
    println!("{text}");
    std::process::exit(status);
}
