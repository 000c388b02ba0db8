//! Runs seeds of the fault soak: overlapping faults, planned work that must not cut off requests,
//! and regression seeds that failed before.

use std::path::PathBuf;
use std::time::Duration;

use soak::fault_schedule;
use soak::fault_schedule::ScheduleKind;
use soak::soak_run::SoakPlan;
use soak::soak_run::SoakVerdict;
use soak::soak_run::run_seed;

/// Size of the runs in which the regression seeds failed.
const REGRESSION_INSTANCES: usize = 5;
const REGRESSION_CALLERS: usize = 6;
const REGRESSION_TIME: Duration = Duration::from_secs(10);

/// Number of connections that each endpoint accepts in runs in which instances share them.
const SCARCE_CONNECTIONS: u32 = 6;

/// Length of the runs with changes of the group, and of those with releases in place.
const CHANGES_TIME: Duration = Duration::from_secs(22);
const RELEASES_TIME: Duration = Duration::from_secs(26);

/// Size of a run.
struct SoakSize {
    instances: usize,
    callers: usize,
    connections: Option<u32>,
    answer_faults: bool,
    hostile: bool,
    fault_time: Duration,
}

async fn run_small(seed: u64) -> SoakVerdict {
    run_sized(seed, 3, 3, Duration::from_secs(6)).await
}

async fn run_regression(seed: u64) -> SoakVerdict {
    run_sized(
        seed,
        REGRESSION_INSTANCES,
        REGRESSION_CALLERS,
        REGRESSION_TIME,
    )
    .await
}

async fn run_sized(
    seed: u64,
    instances: usize,
    callers: usize,
    fault_time: Duration,
) -> SoakVerdict {
    let kind = fault_schedule::kind_of(seed);
    let size = SoakSize {
        instances,
        callers,
        connections: None,
        answer_faults: false,
        hostile: false,
        fault_time,
    };
    run_kind(kind, seed, size).await
}

/// Runs a seed with so few connections that the instances share them.
async fn run_scarce(kind: ScheduleKind, seed: u64) -> SoakVerdict {
    let size = SoakSize {
        connections: Some(SCARCE_CONNECTIONS),
        ..regression_size(REGRESSION_CALLERS, REGRESSION_TIME)
    };
    run_kind(kind, seed, size).await
}

fn regression_size(callers: usize, fault_time: Duration) -> SoakSize {
    SoakSize {
        instances: REGRESSION_INSTANCES,
        callers,
        connections: None,
        answer_faults: false,
        hostile: false,
        fault_time,
    }
}

/// Runs a seed with changes of the group, at the size in which the seeds below failed.
async fn run_changes(seed: u64) -> SoakVerdict {
    let kind = ScheduleKind::Changes;
    run_kind(kind, seed, regression_size(4, CHANGES_TIME)).await
}

/// Runs a seed with releases in place, at the size in which the seed below failed.
async fn run_releases(seed: u64) -> SoakVerdict {
    let kind = ScheduleKind::Releases;
    run_kind(kind, seed, regression_size(4, RELEASES_TIME)).await
}

async fn run_kind(kind: ScheduleKind, seed: u64, size: SoakSize) -> SoakVerdict {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let plan = SoakPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_tamaracklb-front")),
        seed,
        kind,
        instances: size.instances,
        callers: size.callers,
        connections: size.connections,
        answer_faults: size.answer_faults,
        hostile: size.hostile,
        fault_time: size.fault_time,
        folder: folder.path().to_owned(),
    };
    run_seed(&plan).await.expect("run the seed")
}

/// No guarantee may be violated while links, processes, endpoints and the store fail at the same
/// time.
#[tokio::test(flavor = "multi_thread")]
async fn faults_violate_no_guarantee() {
    let verdict = run_small(3).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.served > 100, "{verdict}");
}

/// Stops, reloads, new configurations and draining primaries must not cut off any request.
#[tokio::test(flavor = "multi_thread")]
async fn planned_work_cuts_nothing() {
    let verdict = run_small(4).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.served > 100, "{verdict}");
}

/// No guarantee may be violated while the hosts of shared connections fail with everything else.
#[tokio::test(flavor = "multi_thread")]
async fn faults_of_hosts_violate_no_guarantee() {
    let verdict = run_scarce(ScheduleKind::Faults, 3).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.served > 100, "{verdict}");
}

/// Stops of hosts and draining primaries must not cut off any request on shared connections.
#[tokio::test(flavor = "multi_thread")]
async fn planned_work_on_hosts_cuts_nothing() {
    let verdict = run_scarce(ScheduleKind::Planned, 4).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.served > 100, "{verdict}");
}

/// Runs a seed with damaged answers beside its faults, or with hostile callers, on two instances.
async fn run_answers(seed: u64, answer_faults: bool, hostile: bool, scarce: bool) -> SoakVerdict {
    let size = SoakSize {
        instances: 2,
        callers: 3,
        connections: scarce.then_some(1),
        answer_faults,
        hostile,
        fault_time: Duration::from_secs(6),
    };
    run_kind(fault_schedule::kind_of(seed), seed, size).await
}

/// No caller may get the answer of another statement while endpoints send answers twice, late, in
/// pieces or not at all, beside other faults.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_answers_stay_apart() {
    let verdict = run_answers(3, true, false, false).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.copied_answers > 0 && verdict.broken_answers > 0);
    assert!(verdict.served > 100, "{verdict}");
}

/// No endpoint may run a statement that nobody sent, whatever callers put in their texts.
#[tokio::test(flavor = "multi_thread")]
async fn hostile_texts_run_unchanged() {
    let verdict = run_answers(4, false, true, false).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.served > 100, "{verdict}");
}

/// Both must hold while instances share connections.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_answers_of_hosts_stay_apart() {
    let verdict = run_answers(5, true, true, true).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.copied_answers > 0);
    assert!(verdict.served > 100, "{verdict}");
}

/// No guarantee may be violated, and a configuration must come into force, while the store comes back
/// from older copies. With this seed, instances refused an added route for good.
#[tokio::test(flavor = "multi_thread")]
async fn drills_violate_no_guarantee() {
    let size = regression_size(4, Duration::from_secs(12));
    let verdict = run_kind(ScheduleKind::Drills, 5_000, size).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.served > 100, "{verdict}");
}

/// Regression test: with seed 3, the stand-in let a lagging replica report the term of a promotion
/// that it had not applied yet, so reads from it were stale.
#[tokio::test(flavor = "multi_thread")]
async fn lagging_replica_keeps_its_term() {
    let verdict = run_regression(3).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
}

/// Regression test: with seed 13, a change was abandoned after the former primary had been demoted.
/// Later the seed failed because an order was opened before the promotion of that primary took
/// effect.
#[tokio::test(flavor = "multi_thread")]
async fn demoted_group_is_served() {
    let verdict = run_regression(13).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
}

/// Regression test: seed 23 failed for the same reasons as seed 13.
#[tokio::test(flavor = "multi_thread")]
async fn second_demoted_group_is_served() {
    let verdict = run_regression(23).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
}

/// Regression test: with seed 12, acknowledged writes were lost while endpoints joined, left and
/// received nothing during changes of the primary.
#[tokio::test(flavor = "multi_thread")]
async fn changes_lose_nothing() {
    let verdict = run_changes(12).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.promotions > 0, "{verdict}");
}

/// Regression test: seed 13 failed like seed 12, and reads from the primary were stale.
#[tokio::test(flavor = "multi_thread")]
async fn changes_serve_nothing_stale() {
    let verdict = run_changes(13).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.promotions > 0, "{verdict}");
}

/// Regression test: with seed 44, writes that only a successor in place had received were lost before
/// it was registered.
#[tokio::test(flavor = "multi_thread")]
async fn releases_lose_nothing() {
    let verdict = run_releases(44).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.promotions > 0, "{verdict}");
}
