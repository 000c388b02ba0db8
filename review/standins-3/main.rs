//! Runs one case of the review against the daemon of the deploy file.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod fleet;
mod freezer;
mod group;
mod json;
mod record;
mod store;
mod world;

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use record::Record;

/// What a case found.
pub enum Finding {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, trouble, temporary] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD TROUBLE TEMPORARY_FOLDER");
        std::process::exit(2);
    };
    let trouble = trouble != "0";
    let record = Arc::new(Record::create(Path::new(record)));
    let temporary = PathBuf::from(temporary);
    record.show(&format!("case {case}, disruption: {trouble}"));
    let finding = cases::run(case, &record, &temporary, trouble);
    let (code, text) = match finding {
        Finding::Broken(text) => (1, format!("BROKEN: {text}")),
        Finding::Held(text) => (0, format!("held: {text}")),
        Finding::NotRun(text) => (2, format!("could not run: {text}")),
    };
    record.show(&text);
    record.flush();
    std::process::exit(code);
}
