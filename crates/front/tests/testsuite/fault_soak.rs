//! Plays seeds of the fault soak: overlapping faults, planned work that must cut nothing, and seeds
//! that failed once.

use std::path::PathBuf;
use std::time::Duration;

use soak::soak_run::SoakPlan;
use soak::soak_run::SoakVerdict;
use soak::soak_run::run_seed;

/// The size of the runs in which the regression seeds failed.
const FOUND_INSTANCES: usize = 5;
const FOUND_CALLERS: usize = 6;
const FOUND_TIME: Duration = Duration::from_secs(10);

async fn play(seed: u64) -> SoakVerdict {
    play_sized(seed, 3, 3, Duration::from_secs(6)).await
}

async fn play_found(seed: u64) -> SoakVerdict {
    play_sized(seed, FOUND_INSTANCES, FOUND_CALLERS, FOUND_TIME).await
}

async fn play_sized(seed: u64, instances: usize, callers: usize, time: Duration) -> SoakVerdict {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let plan = SoakPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_tamaracklb-front")),
        seed,
        instances,
        callers,
        time,
        folder: folder.path().to_owned(),
    };
    run_seed(&plan).await.expect("the run can be done")
}

/// No promise may break while links, processes, endpoints and the store misbehave at once.
#[tokio::test(flavor = "multi_thread")]
async fn faults_break_no_promise() {
    let verdict = play(3).await;
    assert!(verdict.broken.is_empty(), "{:#?}", verdict.broken);
    assert!(verdict.served > 100, "{verdict}");
}

/// Stops, reloads, new configurations and leaving primaries must cut no request.
#[tokio::test(flavor = "multi_thread")]
async fn planned_work_cuts_nothing() {
    let verdict = play(4).await;
    assert!(verdict.broken.is_empty(), "{:#?}", verdict.broken);
    assert!(verdict.served > 100, "{verdict}");
}

/// Seed 3 failed as the stand-in let a lagging replica report the term of a promotion that it had
/// not applied yet, so that reads there were stale.
#[tokio::test(flavor = "multi_thread")]
async fn lagging_replica_keeps_its_term() {
    let verdict = play_found(3).await;
    assert!(verdict.broken.is_empty(), "{:#?}", verdict.broken);
}

/// Seed 13 failed as a change was given up after its former primary had been demoted, and later as
/// an order was opened before the promotion of that primary took effect.
#[tokio::test(flavor = "multi_thread")]
async fn demoted_group_is_served() {
    let verdict = play_found(13).await;
    assert!(verdict.broken.is_empty(), "{:#?}", verdict.broken);
}

/// Seed 23 failed for the causes of seed 13.
#[tokio::test(flavor = "multi_thread")]
async fn second_demoted_group_is_served() {
    let verdict = play_found(23).await;
    assert!(verdict.broken.is_empty(), "{:#?}", verdict.broken);
}
