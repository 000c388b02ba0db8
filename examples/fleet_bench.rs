//! Measures the CPU time, memory, peer traffic and store calls per daemon of idle fleets of several
//! sizes, each in one process.
//!
//! The stand-ins run in the same process, so the measured CPU time is an upper bound.

use std::time::Duration;

use tamaracklb::cmd::dev_system::DevSystem;

const SIZES: [usize; 4] = [2, 5, 10, 15];
const SETTLE_TIME: Duration = Duration::from_secs(5);
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Clock ticks per second in /proc/self/stat, which Linux fixes at 100 for user space.
const TICKS_PER_S: f64 = 100.0;

/// Positions of utime and stime among the fields after the program name.
const FIELD_UTIME: usize = 11;
const FIELD_STIME: usize = 12;

struct Usage {
    cpu_s: f64,
    resident_kb: f64,
    store_calls: u64,
    peer_bytes: u64,
}

fn main() {
    println!(
        "{:>8} {:>12} {:>12} {:>14} {:>12}",
        "daemons", "CPU %", "MB", "peer B/s", "store/s"
    );
    println!(
        "{:>8} {:>12} {:>12} {:>14} {:>12}",
        "", "per daemon", "per daemon", "per daemon", "per daemon"
    );
    let base = resident_kb();
    for size in SIZES {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(measure(size, base));
        runtime.shutdown_timeout(Duration::from_secs(1));
    }
}

async fn measure(size: usize, base_kb: f64) {
    let system = DevSystem::start(size).await.expect("a system");
    tokio::time::sleep(SETTLE_TIME).await;
    let before = usage(&system);
    tokio::time::sleep(MEASURE_TIME).await;
    let after = usage(&system);
    let daemons = size as f64;
    let seconds = MEASURE_TIME.as_secs_f64();
    println!(
        "{size:>8} {:>12.2} {:>12.1} {:>14.0} {:>12.2}",
        (after.cpu_s - before.cpu_s) / seconds / daemons * 100.0,
        (after.resident_kb - base_kb) / 1024.0 / daemons,
        (after.peer_bytes - before.peer_bytes) as f64 / seconds / daemons,
        (after.store_calls - before.store_calls) as f64 / seconds / daemons,
    );
    system.stop().await;
}

fn usage(system: &DevSystem) -> Usage {
    let sent = |daemon: &tamaracklb::process::daemon::Daemon| {
        daemon
            .components()
            .mesh
            .get()
            .map_or(0, |mesh| mesh.sent_bytes())
    };
    Usage {
        cpu_s: cpu_seconds(),
        resident_kb: resident_kb(),
        store_calls: system.store.calls().total(),
        peer_bytes: system.daemons.iter().map(sent).sum(),
    }
}

fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program name may contain spaces, so the fields are counted from its end.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let fields: Vec<f64> = fields
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0.0))
        .collect();
    let ticks = |index: usize| fields.get(index).copied().unwrap_or(0.0);
    (ticks(FIELD_UTIME) + ticks(FIELD_STIME)) / TICKS_PER_S
}

fn resident_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0.0)
}
