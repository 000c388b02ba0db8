//! Guards against statements that reach an availability zone which has been evacuated.

use std::path::PathBuf;
use std::time::Duration;

use soak::fault_schedule::ScheduleKind;
use soak::soak_run::SoakPlan;
use soak::soak_run::SoakVerdict;
use soak::soak_run::run_seed;

/// Length of the runs. An evacuation takes up to 12 s.
const FAULT_TIME: Duration = Duration::from_secs(18);

async fn run_evacuations(seed: u64) -> SoakVerdict {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let plan = SoakPlan {
        program: PathBuf::from(env!("CARGO_BIN_EXE_tamaracklb-front")),
        seed,
        kind: ScheduleKind::Evacuations,
        instances: 5,
        callers: 3,
        connections: None,
        answer_faults: false,
        hostile: false,
        fault_time: FAULT_TIME,
        folder: folder.path().to_owned(),
    };
    run_seed(&plan).await.expect("run the seed")
}

/// Zones are evacuated, also several at a time, and lost, also during an evacuation. No statement may
/// reach an evacuated zone after 5 s, and no other guarantee may be violated.
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_zones_get_nothing() {
    let verdict = run_evacuations(2).await;
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(verdict.served > 100, "{verdict}");
}
