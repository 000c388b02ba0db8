//! Plays two seeds of the fault soak: overlapping faults, and planned work that must cut nothing.

use std::path::PathBuf;
use std::time::Duration;

use soak::soak_run::SoakPlan;
use soak::soak_run::SoakVerdict;
use soak::soak_run::run_seed;

async fn play(seed: u64) -> SoakVerdict {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let plan = SoakPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_tamaracklb-front")),
        seed,
        instances: 3,
        callers: 3,
        time: Duration::from_secs(6),
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
