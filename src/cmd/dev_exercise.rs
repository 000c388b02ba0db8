//! `tamaracklb dev --exercise`: runs a short mixed load during which the primary fails, and
//! checks the guarantees to callers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use standins::endpoint::EndpointFaults;
use standins::endpoint::EndpointHandle;
use standins::endpoint::log::ClientStatement;

use crate::cmd::CmdStatus;
use crate::cmd::cmd_error::CmdError;
use crate::cmd::dev_system::DevSystem;
use crate::cmd::dev_system::SERVICE;
use crate::cmd::dev_system::TEAMS;
use crate::cmd::exercise_client::ClientPlan;
use crate::cmd::exercise_client::ClientReport;
use crate::cmd::exercise_client::WriteOutcome;
use crate::cmd::exercise_client::WriteRecord;
use crate::process::metrics::ReadCounts;

/// Time between the start of the system and the load.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time between the start of the load and the failure of the primary.
const HEALTHY_TIME: Duration = Duration::from_secs(2);
/// Duration of the load.
const TOTAL_TIME: Duration = Duration::from_secs(9);
/// Time between the end of the load and the comparison with the endpoints' logs.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const CLIENT_PAUSE: Duration = Duration::from_millis(5);
const CLIENTS_PER_TEAM: usize = 3;

/// Maximum number of refusals whose times are printed.
const MAX_SHOWN_REFUSALS: usize = 5;

/// Maximum failover gap of a successful exercise.
const MAX_FAILOVER_GAP: Duration = Duration::from_secs(5);

/// Minimum fraction of reads that replicas serve.
const MIN_REPLICA_FRACTION: f64 = 0.8;

/// Minimum fraction of writes acknowledged before the failure, for the worst-served team.
const MIN_TEAM_FRACTION: f64 = 0.98;

struct ExerciseRun {
    reports: Vec<(String, ClientReport)>,
    failed_at: Instant,
    reads: ReadCounts,
}

struct Verdict {
    name: &'static str,
    passed: bool,
    detail: String,
}

/// Runs the exercise and prints its measurements and verdicts; succeeds if every check passed.
pub async fn run_exercise(
    system: &DevSystem,
    output: &mut dyn Write,
) -> Result<CmdStatus, CmdError> {
    tokio::time::sleep(WARM_UP).await;
    let run = run_load(system).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let mut verdicts = report_measurements(&run, output)?;
    verdicts.extend(check_guarantees(&run, &system.endpoints));
    for verdict in &verdicts {
        let word = if verdict.passed { "held" } else { "FAILED" };
        writeln!(output, "{word:>6}  {}: {}", verdict.name, verdict.detail)?;
    }
    let all_passed = verdicts.iter().all(|verdict| verdict.passed);
    Ok(if all_passed {
        CmdStatus::Success
    } else {
        CmdStatus::Negative
    })
}

async fn run_load(system: &DevSystem) -> ExerciseRun {
    let end = Instant::now() + TOTAL_TIME;
    let clients = client_plans(system).into_iter().map(|plan| {
        let team = plan.team.clone();
        tokio::spawn(async move { (team, plan.run(end).await) })
    });
    let clients: Vec<_> = clients.collect();
    tokio::time::sleep(HEALTHY_TIME).await;
    let failed_at = Instant::now();
    // A frozen primary exchanges no traffic with anyone until it is unfrozen after the load.
    let faults = EndpointFaults {
        freeze: true,
        ..EndpointFaults::default()
    };
    system.endpoints[0].set_faults(faults);
    let mut reports = Vec::new();
    for client in clients {
        reports.extend(client.await.ok());
    }
    system.endpoints[0].set_faults(EndpointFaults::default());
    let mut reads = ReadCounts::default();
    for daemon in &system.daemons {
        let counts = daemon.components().metrics.read_counts();
        reads.replica += counts.replica;
        reads.primary += counts.primary;
    }
    ExerciseRun {
        reports,
        failed_at,
        reads,
    }
}

fn client_plans(system: &DevSystem) -> Vec<ClientPlan> {
    let addresses: Vec<_> = system
        .daemons
        .iter()
        .map(|daemon| daemon.caller_address())
        .collect();
    let mut plans = Vec::new();
    for (team, key) in TEAMS {
        for number in 0..CLIENTS_PER_TEAM {
            plans.push(ClientPlan {
                name: format!("{team}-{number}"),
                team: team.to_owned(),
                key: key.to_owned(),
                service: SERVICE.to_owned(),
                write_address: addresses[number % addresses.len()],
                read_address: addresses[(number + 1) % addresses.len()],
                pause: CLIENT_PAUSE,
            });
        }
    }
    plans
}

/// Prints the four measurements and compares each with its limit.
fn report_measurements(
    run: &ExerciseRun,
    output: &mut dyn Write,
) -> Result<Vec<Verdict>, CmdError> {
    let reads = run.reads.replica + run.reads.primary;
    let replica_fraction = run.reads.replica as f64 / reads.max(1) as f64;
    let gap = failover_gap(run);
    let worst = worst_team_fraction(run);
    let refused = count_writes(run, WriteOutcome::AboveRate);
    writeln!(
        output,
        "reads served by replicas   {:.1} % of {reads}",
        replica_fraction * 100.0
    )?;
    match gap {
        Some(gap) => writeln!(output, "failover gap               {} ms", gap.as_millis())?,
        None => writeln!(
            output,
            "failover gap               no write after the failure"
        )?,
    }
    writeln!(
        output,
        "worst-served team          {:.1} % before the failure",
        worst * 100.0
    )?;
    writeln!(output, "refused inside the rate    {refused}")?;
    Ok(vec![
        Verdict {
            name: "replica reads",
            passed: replica_fraction >= MIN_REPLICA_FRACTION,
            detail: format!(
                "{:.1} %, at least {:.0} %",
                replica_fraction * 100.0,
                MIN_REPLICA_FRACTION * 100.0
            ),
        },
        Verdict {
            name: "failover gap",
            passed: gap.is_some_and(|gap| gap <= MAX_FAILOVER_GAP),
            detail: format!("at most {} ms", MAX_FAILOVER_GAP.as_millis()),
        },
        Verdict {
            name: "worst-served team",
            passed: worst >= MIN_TEAM_FRACTION,
            detail: format!("at least {:.0} %", MIN_TEAM_FRACTION * 100.0),
        },
        Verdict {
            name: "no refusal inside the rate",
            passed: refused == 0,
            detail: refusal_detail(run, refused),
        },
    ])
}

/// Describes how many writes were refused and when, in ms relative to the failure.
fn refusal_detail(run: &ExerciseRun, refused: usize) -> String {
    let above = all_writes(run).filter(|write| write.outcome == WriteOutcome::AboveRate);
    let millis = |write: &WriteRecord| match write.ended_at.checked_duration_since(run.failed_at) {
        Some(after) => format!("+{} ms", after.as_millis()),
        None => format!("-{} ms", (run.failed_at - write.ended_at).as_millis()),
    };
    let times: Vec<String> = above.take(MAX_SHOWN_REFUSALS).map(millis).collect();
    format!("{refused} refused {}", times.join(" "))
}

fn all_writes(run: &ExerciseRun) -> impl Iterator<Item = &WriteRecord> {
    run.reports.iter().flat_map(|(_, report)| &report.writes)
}

fn count_writes(run: &ExerciseRun, outcome: WriteOutcome) -> usize {
    all_writes(run)
        .filter(|write| write.outcome == outcome)
        .count()
}

/// Returns the longest time between two acknowledged writes that ends after the failure.
fn failover_gap(run: &ExerciseRun) -> Option<Duration> {
    let acknowledged = all_writes(run)
        .filter(|write| write.outcome == WriteOutcome::Acknowledged)
        .map(|write| write.ended_at);
    let mut times: Vec<Instant> = acknowledged.collect();
    times.sort();
    // Writes in progress at the failure may still be acknowledged, so every gap that ends after it
    // counts.
    let gaps = times.windows(2).filter(|pair| pair[1] > run.failed_at);
    gaps.map(|pair| pair[1] - pair[0]).max()
}

/// Returns, for the worst-served team, the fraction of writes before the failure that were
/// acknowledged.
fn worst_team_fraction(run: &ExerciseRun) -> f64 {
    let mut teams: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (team, report) in &run.reports {
        let (served, offered) = teams.entry(team).or_default();
        for write in report
            .writes
            .iter()
            .filter(|write| write.ended_at < run.failed_at)
        {
            *offered += 1;
            *served += usize::from(write.outcome == WriteOutcome::Acknowledged);
        }
    }
    let fractions = teams
        .values()
        .map(|(served, offered)| *served as f64 / (*offered).max(1) as f64);
    fractions.fold(1.0, f64::min)
}

/// Compares the answers that callers received with the statements that the endpoints executed.
fn check_guarantees(run: &ExerciseRun, endpoints: &[EndpointHandle]) -> Vec<Verdict> {
    let executed = executed_counts(endpoints);
    let surviving = surviving_keys(endpoints);
    let lost = all_writes(run)
        .filter(|write| write.outcome == WriteOutcome::Acknowledged)
        .filter(|write| !surviving.contains(&write.key))
        .count();
    let false_refusals = all_writes(run)
        .filter(|write| {
            matches!(
                write.outcome,
                WriteOutcome::NotRun | WriteOutcome::AboveRate
            )
        })
        .filter(|write| executed.contains_key(&write.key))
        .count();
    let repeated = executed.values().filter(|&&count| count > 1).count();
    let stale: usize = run
        .reports
        .iter()
        .map(|(_, report)| report.stale_reads.len())
        .sum();
    let reads: usize = run.reports.iter().map(|(_, report)| report.reads).sum();
    let exposed_keys = endpoints
        .iter()
        .flat_map(EndpointHandle::received_credentials)
        .filter(|credential| {
            TEAMS
                .iter()
                .any(|(team, key)| credential.user == *team || credential.password == *key)
        })
        .count();
    let verdict = |name, faults: usize, detail| Verdict {
        name,
        passed: faults == 0,
        detail,
    };
    vec![
        verdict(
            "no acknowledged write lost",
            lost,
            format!(
                "{lost} of {} lost",
                count_writes(run, WriteOutcome::Acknowledged)
            ),
        ),
        verdict(
            "read-your-writes",
            stale,
            format!("{stale} of {reads} reads too old"),
        ),
        verdict(
            "nothing run twice",
            repeated,
            format!("{repeated} writes run more than once"),
        ),
        verdict(
            "refusals that say not run",
            false_refusals,
            format!(
                "{false_refusals} of {} had run",
                count_writes(run, WriteOutcome::NotRun)
            ),
        ),
        verdict(
            "keys kept from endpoints",
            exposed_keys,
            format!("{exposed_keys} shown"),
        ),
    ]
}

/// Returns the key that a statement inserts; `None` for any other statement.
fn inserted_key(statement: &ClientStatement) -> Option<String> {
    let key = statement.parameters.first()?.clone();
    key.filter(|_| statement.text.starts_with("INSERT INTO kv"))
}

/// Returns the number of times each key was written, over all endpoints and terms.
fn executed_counts(endpoints: &[EndpointHandle]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for write in endpoints.iter().flat_map(EndpointHandle::executed) {
        for statement in &write.statements {
            if let Some(key) = inserted_key(statement) {
                *counts.entry(key).or_default() += 1;
            }
        }
    }
    counts
}

/// Returns the keys in the log of the primary with the highest term.
fn surviving_keys(endpoints: &[EndpointHandle]) -> BTreeSet<String> {
    let primary = endpoints
        .iter()
        .filter(|endpoint| endpoint.report().role == "primary");
    let Some(primary) = primary.max_by_key(|endpoint| endpoint.report().term) else {
        return BTreeSet::new();
    };
    let entries = primary.log();
    let changes = entries.iter().flat_map(|entry| &entry.changes);
    changes.map(|change| change.key.clone()).collect()
}
