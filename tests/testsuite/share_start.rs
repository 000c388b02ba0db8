//! Checks that the first share table is written soon after the start, and only once.

use std::collections::BTreeMap;

use tamaracklb::process::shares::messages::ShareAction;
use tamaracklb::process::shares::messages::StoreAnswer;
use tamaracklb::process::shares::reconciler::ShareMember;
use tamaracklb::process::shares::settings::ShareSettings;
use tamaracklb::process::shares::shard::ShareShard;
use tamaracklb::process::shares::table::TeamLimit;
use tamaracklb::process::timers::MonotonicTime;
use tamaracklb::version::ids::BundleVersion;
use tamaracklb::version::units::RequestBurst;
use tamaracklb::version::units::RequestRate;

const SEED: u64 = 5;
const TICK_MS: u64 = 20;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn new_shard() -> ShareShard {
    let settings = ShareSettings::default();
    let mut shard = ShareShard::new("shard-0".to_owned(), "i0".parse().unwrap(), settings, SEED);
    let limit = TeamLimit {
        rate: RequestRate(100.0),
        burst: RequestBurst(100.0),
    };
    let limits = BTreeMap::from([("studio".parse().unwrap(), limit)]);
    shard.set_bundle(BundleVersion(1), limits, at(0));
    shard.set_members(vec![ShareMember {
        incarnation: shard.incarnation().clone(),
        zone: "lagos-a".parse().unwrap(),
        leaving: false,
    }]);
    shard
}

/// Ticks until the shard calls the store, and returns the call and its time in ms.
fn next_call(shard: &mut ShareShard, mut millis: u64) -> (ShareAction, u64) {
    for _ in 0..500 {
        let mut actions = Vec::new();
        shard.tick(at(millis), &mut actions);
        let is_call = |action: &ShareAction| {
            !matches!(action, ShareAction::Send { .. } | ShareAction::Wake(_))
        };
        if let Some(call) = actions.into_iter().find(is_call) {
            return (call, millis);
        }
        millis += TICK_MS;
    }
    panic!("the shard did not call the store");
}

/// Guards against a delay of a second until the first instance of a fleet has a share.
#[test]
fn absent_table_is_written_soon() {
    let mut shard = new_shard();
    let (call, millis) = next_call(&mut shard, 0);
    assert_eq!(call, ShareAction::Read);
    shard.on_store(StoreAnswer::Value(None), at(millis), &mut Vec::new());
    let (call, written) = next_call(&mut shard, millis + TICK_MS);
    assert!(
        matches!(
            call,
            ShareAction::Write {
                expected_revision: 0,
                ..
            }
        ),
        "{call:?}"
    );
    assert!(written - millis <= 100, "{written}");
}

/// Guards against an instance that lost the race for the first table and retries its write on every
/// tick instead of reading the stored table.
#[test]
fn lost_race_leads_to_read() {
    let mut shard = new_shard();
    let (_, millis) = next_call(&mut shard, 0);
    shard.on_store(StoreAnswer::Value(None), at(millis), &mut Vec::new());
    let (call, millis) = next_call(&mut shard, millis + TICK_MS);
    assert!(matches!(call, ShareAction::Write { .. }), "{call:?}");
    shard.on_store(StoreAnswer::Conflict, at(millis), &mut Vec::new());
    let (call, _) = next_call(&mut shard, millis + TICK_MS);
    assert_eq!(call, ShareAction::Read);
}
