//! The two simple ways to limit a rate, which the shares are compared with.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::rate_sim::CheckBucket;
use crate::rate_sim::SECOND;

/// Writes that the store takes in a second, for everything.
const STORE_WRITES: f64 = 300.0;

/// What a baseline did in a minute with one team's load on one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct BaselineCount {
    pub offered: u64,
    pub wrongful: u64,
    pub store_calls: u64,
}

/// Each instance has a bucket of rate/N and burst/N.
pub fn rate_over_n(nodes: f64, rate: f64, burst: f64, load: f64, seed: u64) -> BaselineCount {
    let mut own = CheckBucket::new(burst / nodes);
    let mut ideal = CheckBucket::new(burst);
    let mut count = BaselineCount::default();
    for at in arrivals(load, seed) {
        own.advance(at, rate / nodes, burst / nodes);
        ideal.advance(at, rate, burst);
        let admitted = own.try_charge();
        count.offered += 1;
        count.wrongful += u64::from(ideal.try_charge() && !admitted);
    }
    count
}

/// Every request writes one counter in the store, which serves `teams` teams with the same load.
pub fn store_counter(
    teams: u64,
    rate: f64,
    burst: f64,
    load: f64,
    down: bool,
    seed: u64,
) -> BaselineCount {
    let mut store = CheckBucket::new(STORE_WRITES);
    let mut buckets = vec![CheckBucket::new(burst); usize::try_from(teams).expect("few teams")];
    let mut ideal = buckets.clone();
    let mut count = BaselineCount::default();
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1);
    for at in arrivals(load * teams as f64, seed) {
        let team = rng.random_range(0..buckets.len());
        store.advance(at, STORE_WRITES, STORE_WRITES);
        buckets[team].advance(at, rate, burst);
        ideal[team].advance(at, rate, burst);
        let written = !down && store.try_charge();
        let admitted = written && buckets[team].try_charge();
        count.store_calls += 1;
        count.offered += 1;
        count.wrongful += u64::from(ideal[team].try_charge() && !admitted);
    }
    count
}

/// Returns the arrival times of a minute.
fn arrivals(load: f64, seed: u64) -> Vec<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0;
    let mut times = Vec::new();
    while at < 60 * SECOND {
        at += (-(1.0 - rng.random::<f64>()).ln() / load * 1e9) as u64;
        times.push(at);
    }
    times
}
