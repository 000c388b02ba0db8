//! Runs seeds of the fault soak and prints the guarantees that were violated.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use soak::fault_schedule;
use soak::fault_schedule::ScheduleKind;
use soak::soak_run::SoakPlan;
use soak::soak_run::run_seed;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Maximum number of violations of one guarantee that are printed.
const MAX_PRINTED: usize = 5;

/// Maximum number of characters of a violation that are printed, as statements may be long.
const MAX_PRINTED_CHARS: usize = 800;

/// Runs seeds of the fault soak. Exits with 0 if no guarantee was violated, with 1 if one was, and
/// with 2 if a seed could not be run.
#[derive(FromArgs)]
struct SoakArgs {
    /// path of the daemon's program
    #[argh(option, default = "PathBuf::from(\"target/release/tamaracklb-front\")")]
    program: PathBuf,
    /// the first seed
    #[argh(option, default = "1")]
    from: u64,
    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds during which faults begin
    #[argh(option, default = "12")]
    seconds: u64,
    /// number of daemon instances
    #[argh(option, default = "5")]
    instances: usize,
    /// number of connections that each endpoint accepts; fewer than instances are shared
    #[argh(option)]
    connections: Option<u32>,
    /// inject changes of the group: endpoints join, leave, restart and fall deaf or silent
    #[argh(switch)]
    changes: bool,
    /// replace endpoints in place, one after the other, beside faults that lose no log
    #[argh(switch)]
    releases: bool,
    /// evacuate and lose availability zones, beside dead leaders and processes
    #[argh(switch)]
    evacuations: bool,
    /// let the store come back from older copies, beside replaced primaries and other faults
    #[argh(switch)]
    drills: bool,
    /// damage answers of endpoints beside the other faults: send them twice, in pieces, cut off or not
    #[argh(switch)]
    answer_faults: bool,
    /// let callers send hostile texts, send requests ahead and leave at any time
    #[argh(switch)]
    hostile: bool,
    /// number of callers of each kind
    #[argh(option, default = "6")]
    callers: usize,
}

/// Runs one seed, prints its verdict and returns whether all guarantees held.
fn check_seed(args: &SoakArgs, seed: u64) -> io::Result<bool> {
    let folder = tempfile::tempdir()?;
    let kinds = [
        (args.releases, ScheduleKind::Releases),
        (args.changes, ScheduleKind::Changes),
        (args.evacuations, ScheduleKind::Evacuations),
        (args.drills, ScheduleKind::Drills),
    ];
    let requested = kinds.into_iter().find(|(is_set, _)| *is_set);
    let kind = requested.map_or_else(|| fault_schedule::kind_of(seed), |(_, kind)| kind);
    let plan = SoakPlan {
        program: args.program.clone(),
        seed,
        kind,
        instances: args.instances,
        callers: args.callers,
        connections: args.connections,
        answer_faults: args.answer_faults,
        hostile: args.hostile,
        fault_time: Duration::from_secs(args.seconds),
        folder: folder.path().to_owned(),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let verdict = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        // Dropping the run ends the processes that it started.
        tokio::select! {
            verdict = run_seed(&plan) => verdict,
            _ = terminate.recv() => Err(io::ErrorKind::Interrupted.into()),
            _ = interrupt.recv() => Err(io::ErrorKind::Interrupted.into()),
        }
    })?;
    println!("seed {seed} ({kind}): {verdict}");
    let mut printed: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in &verdict.violations {
        let count = printed.entry(violation.guarantee).or_default();
        *count += 1;
        if *count <= MAX_PRINTED {
            let text: String = violation.to_string();
            let printed: String = text.chars().take(MAX_PRINTED_CHARS).collect();
            println!("  {printed}");
        }
    }
    for (guarantee, count) in printed.iter().filter(|(_, count)| **count > MAX_PRINTED) {
        println!("  {guarantee}: {count} in all");
    }
    if !verdict.violations.is_empty() {
        println!("  logs: {}", folder.keep().display());
    }
    Ok(verdict.violations.is_empty())
}

fn main() -> ExitCode {
    let args: SoakArgs = argh::from_env();
    let mut failed = Vec::new();
    for seed in args.from..args.from + args.seeds {
        match check_seed(&args, seed) {
            Ok(true) => {}
            Ok(false) => failed.push(seed),
            Err(error) => {
                eprintln!("soak: seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{} seeds, broken: {failed:?}", args.seeds);
    match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
