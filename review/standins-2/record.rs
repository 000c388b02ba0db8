//! The record of a run, the processes that it started and the time limit of a run.

use std::fs::File;
use std::io::Write;
use std::process::Command;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

/// Time after which a run is given up.
const RUN_LIMIT: Duration = Duration::from_secs(112);

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn begin(path: &str) {
    START.get_or_init(Instant::now);
    match File::create(path) {
        Ok(file) => *RECORD.lock().unwrap() = Some(file),
        Err(error) => give_up(&format!("{path}: {error}")),
    }
    std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
    std::thread::spawn(|| {
        std::thread::sleep(RUN_LIMIT);
        give_up("the run takes too long");
    });
}

pub fn elapsed() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Writes a line to the record.
pub fn note(line: &str) {
    let at = elapsed().as_secs_f64();
    let mut record = RECORD
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    if let Some(file) = record.as_mut() {
        let _ = writeln!(file, "{at:9.3} {line}");
    }
}

pub fn add_process(id: u32) {
    PROCESSES.lock().unwrap().push(id);
}

pub fn remove_process(id: u32) {
    PROCESSES.lock().unwrap().retain(|other| *other != id);
}

/// Sends a signal to a process that this run started.
pub fn signal(id: u32, name: &str) {
    let sent = Command::new("kill")
        .args(["-s", name, &id.to_string()])
        .status();
    if !sent.is_ok_and(|status| status.success()) {
        note(&format!("signal {name} to process {id} was not sent"));
    }
}

fn end(code: i32) -> ! {
    let mut processes = PROCESSES
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let processes: Vec<u32> = processes.drain(..).collect();
    for id in processes {
        let _ = Command::new("kill")
            .args(["-s", "KILL", &id.to_string()])
            .status();
    }
    std::process::exit(code)
}

/// Ends the run because it cannot say anything.
pub fn give_up(reason: &str) -> ! {
    note(&format!("could not run: {reason}"));
    eprintln!("could not run: {reason}");
    end(2)
}

/// Ends the run with its result.
pub fn finish(broken: &[String]) -> ! {
    for line in broken.iter().take(20) {
        note(&format!("BROKEN {line}"));
    }
    let result = match broken.len() {
        0 => "the rule held".to_owned(),
        count => format!("the rule was broken {count} times, first: {}", broken[0]),
    };
    note(&result);
    println!("{result}");
    end(i32::from(!broken.is_empty()))
}
