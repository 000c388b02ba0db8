//! Two simple rate limiters that serve as baselines for the rate shares.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::rate_sim::CheckBucket;
use crate::rate_sim::SECOND;

/// Number of writes per second that the store accepts in total.
const STORE_WRITES_PER_S: f64 = 300.0;

/// Counts of one simulated minute of a baseline.
#[derive(Debug, Clone, Copy, Default)]
pub struct BaselineCount {
    /// Number of requests that arrived.
    pub offered: u64,
    /// Number of requests that were refused although one bucket for the whole fleet admits them.
    pub wrongful: u64,
    /// Number of calls to the store.
    pub store_calls: u64,
}

/// Simulates instances that each have a bucket of rate/N and burst/N. One of them receives the
/// whole load.
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

/// Simulates one counter per team in the store, which every request writes. All teams have the same
/// load; `down` makes the store unreachable.
pub fn store_counter(
    teams: u64,
    rate: f64,
    burst: f64,
    load: f64,
    down: bool,
    seed: u64,
) -> BaselineCount {
    let mut store = CheckBucket::new(STORE_WRITES_PER_S);
    let mut buckets = vec![CheckBucket::new(burst); usize::try_from(teams).expect("few teams")];
    let mut ideal = buckets.clone();
    let mut count = BaselineCount::default();
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1);
    for at in arrivals(load * teams as f64, seed) {
        let team = rng.random_range(0..buckets.len());
        store.advance(at, STORE_WRITES_PER_S, STORE_WRITES_PER_S);
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

/// Returns Poisson arrival times of one minute, in ns, for a load in requests per second.
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
