//! Checks that replicas serve most reads and never below the floor.

use crate::failover_history::check_floors;
use crate::failover_sim::FailoverSim;
use crate::failover_sim::ReadPolicy;
use crate::failover_sim::SimConfig;

/// 13 instances, writes in one session of ten, replicas 20 ms behind, some roaming callers.
fn reading_sessions(stale_reads: bool, policy: ReadPolicy) -> SimConfig {
    let mut config = SimConfig::new(11);
    config.proxies = 13;
    config.duration = 6000;
    config.lag = 20;
    config.writers = 13;
    config.readers = 117;
    config.roaming_percent = 2;
    config.stale_reads = stale_reads;
    config.switches.reads = policy;
    config
}

/// Returns the percentage of reads that replicas served, and whether none was below its floor.
fn replica_share(name: &str, stale_reads: bool, policy: ReadPolicy) -> (f64, bool) {
    let history = FailoverSim::new(reading_sessions(stale_reads, policy)).run();
    let share = 100.0 * history.replica_reads as f64 / history.reads as f64;
    let low_reads = history.low_reads.len();
    println!(
        "{name}: {share:.1} % of {} reads, {low_reads} below their floor",
        history.reads
    );
    (share, check_floors(&history).is_ok())
}

// Guards against routing reads to the primary although a replica may serve them.
#[test]
fn replicas_serve_most_reads() {
    let (stale, floors_hold) = replica_share("floors, stale reads", true, ReadPolicy::Floors);
    assert!(floors_hold && stale >= 95.0);
    let (share, floors_hold) = replica_share("floors", false, ReadPolicy::Floors);
    assert!(floors_hold && share >= 80.0);
    let (none, _) = replica_share("all to the primary", false, ReadPolicy::PrimaryOnly);
    assert!(none < share);
    let after_write = ReadPolicy::PrimaryAfterWrite(500);
    let (_, floors_hold) = replica_share("primary for 500 ms after a write", false, after_write);
    assert!(
        !floors_hold,
        "a roaming session must read below its floor if only recent writes decide"
    );
}
