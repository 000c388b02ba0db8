//! Guards against admitting more than a team's rate, and against refusals below it.

use std::time::Duration;

use proptest::prop_assert;
use proptest::proptest;
use session_core::ids::TeamId;
use session_core::monotonic_time::MonotonicTime;
use session_core::rate_lender::LendingMode;
use session_core::rate_lender::RateLender;
use session_core::rate_share::RateShare;
use session_core::serving_rules::TeamLimit;
use session_core::units::RequestBurst;
use session_core::units::RequestRate;

const INSTANCES: usize = 13;
const WINDOW: Duration = Duration::from_secs(5);

fn limit(rate: f64) -> TeamLimit {
    TeamLimit {
        rate: RequestRate(rate),
        burst: RequestBurst(rate),
    }
}

fn team() -> TeamId {
    "team".parse().expect("the name is valid")
}

/// Runs a load (requests per second by instance) for 20 s and returns the times of the admitted
/// requests in ms. A new lender starts at step `new_lender_at`; every `lost`th answer is lost, none
/// if it is 0.
fn run(load: &[f64], limit: &TeamLimit, new_lender_at: Option<u64>, lost: u64) -> Vec<u64> {
    let start = MonotonicTime::from_millis(1_000);
    let mut lender = RateLender::new(LendingMode::Alone, start);
    let mut shares = vec![RateShare::new(start); INSTANCES];
    let mut due = [0.0; INSTANCES];
    let mut admitted = Vec::new();
    let mut requested = 0_u64;
    for step in 0..2_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        if new_lender_at == Some(step) {
            lender = RateLender::new(LendingMode::Alone, now);
        }
        for (index, rate) in load.iter().enumerate() {
            due[index] += rate / 100.0;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                let share = &mut shares[index];
                share.record_demand(now);
                let mut taken = share.take(limit, INSTANCES, now);
                if !taken {
                    requested += 1;
                    let wanted = share.wanted(1, now);
                    let lent = lender.lend(&team(), limit, wanted, now);
                    // The tokens of a lost answer are lost as well.
                    if lost == 0 || !requested.is_multiple_of(lost) {
                        share.borrow(lent, now);
                        taken = share.take(limit, INSTANCES, now);
                    }
                }
                if taken {
                    admitted.push(step * 10);
                }
            }
        }
    }
    admitted
}

/// Returns how many requests `run` sends.
fn count_offered(load: &[f64]) -> usize {
    run(load, &limit(1e6), None, 0).len()
}

fn max_in_window(times: &[u64]) -> usize {
    let window = u64::try_from(WINDOW.as_millis()).unwrap_or(u64::MAX);
    times
        .iter()
        .enumerate()
        .map(|(first, start)| {
            times[first..]
                .iter()
                .take_while(|t| **t < start + window)
                .count()
        })
        .max()
        .unwrap_or(0)
}

/// A load below the rate must be admitted, whether on one instance or on all of them.
#[test]
fn load_below_the_rate_is_admitted() {
    for spread in [1, 3, INSTANCES] {
        let mut load = vec![0.0; INSTANCES];
        for rate in load.iter_mut().take(spread) {
            *rate = 24.0 / spread as f64;
        }
        let admitted = run(&load, &limit(40.0), None, 0);
        let refused = count_offered(&load) - admitted.len();
        // The target for a steady state is one wrongful refusal in a thousand.
        assert!(
            refused * 1_000 <= count_offered(&load),
            "{refused} refused on {spread} instances"
        );
    }
}

proptest! {
    /// No distribution of the load, change of the lender or loss of answers may exceed rate and
    /// burst.
    #[test]
    fn rate_is_kept(
        load in proptest::collection::vec(0.0_f64..80.0, INSTANCES),
        rate in 5.0_f64..150.0,
        new_lender_at in proptest::option::of(0_u64..2_000),
        lost in 0_u64..5,
    ) {
        let limit = limit(rate);
        let admitted = run(&load, &limit, new_lender_at, lost);
        let allowed = rate * WINDOW.as_secs_f64() + rate + INSTANCES as f64;
        prop_assert!((max_in_window(&admitted) as f64) <= allowed);
    }
}
