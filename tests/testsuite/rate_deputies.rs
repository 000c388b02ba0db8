//! Guards against a lender and its deputy both lending the whole rate, and against neither lending.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prop_assert;
use proptest::proptest;
use session_core::monotonic_time::MonotonicTime;
use session_core::rate_deputy::DeputyLease;
use session_core::rate_deputy::DeputyMonitor;

const TOKEN: u64 = 7;
const STEP: Duration = Duration::from_millis(10);
const STEPS: usize = 1_200;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The fault that is injected in one second.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PeerFault {
    None,
    Lossy,
    /// Messages to the deputy and back are delayed by these numbers of steps.
    Held(usize, usize),
    LenderFrozen,
    DeputyFrozen,
    LenderDead,
}

fn faults() -> impl proptest::strategy::Strategy<Value = Vec<PeerFault>> {
    use proptest::prelude::*;
    let fault = prop_oneof![
        3 => Just(PeerFault::None),
        1 => Just(PeerFault::Lossy),
        2 => (0_usize..250, 0_usize..250).prop_map(|(to, back)| PeerFault::Held(to, back)),
        1 => Just(PeerFault::LenderFrozen),
        1 => Just(PeerFault::DeputyFrozen),
    ];
    proptest::collection::vec(fault, STEPS / 100)
}

/// Message to the deputy: step of arrival, time of sending, last confirmed time stamp of the
/// deputy.
type Watch = (usize, MonotonicTime, Option<MonotonicTime>);
/// Answer of the deputy: step of arrival, time of sending of the message that it answers, time
/// stamp.
type Watched = (usize, MonotonicTime, MonotonicTime);

/// Simulates a lender and its deputy under the faults. Calls `check` with the step, whether the
/// lender is the sole lender, and whether the deputy lends. The deputy's clock differs from the
/// lender's.
fn simulate(faults: &[PeerFault], mut check: impl FnMut(usize, bool, bool)) {
    let deputy_address = address(2);
    let mut monitor = DeputyMonitor::default();
    let mut lease = DeputyLease::default();
    let mut to_deputy: VecDeque<Watch> = VecDeque::new();
    let mut to_lender: VecDeque<Watched> = VecDeque::new();
    for step in 0..STEPS {
        let fault = faults[step / 100];
        let elapsed = STEP * u32::try_from(step).unwrap_or(u32::MAX);
        let lender_now = MonotonicTime::from_millis(5_000) + elapsed;
        let deputy_now = MonotonicTime::from_millis(90_000) + elapsed;
        let lender_runs = !matches!(fault, PeerFault::LenderFrozen | PeerFault::LenderDead);
        let deputy_runs = fault != PeerFault::DeputyFrozen;
        let (held_to, held_back) = match fault {
            PeerFault::Held(to, back) => (to, back),
            _ => (0, 0),
        };
        let lost = |number: usize| fault == PeerFault::Lossy && !number.is_multiple_of(3);
        // A process that resumes after a freeze may lend before it reads the messages that arrived.
        let sole = lender_runs && monitor.is_sole_lender(lender_now);
        let lends = deputy_runs && lease.may_lend(Some(TOKEN.into()), deputy_now);
        check(step, sole, lends);
        if deputy_runs {
            while to_deputy.front().is_some_and(|(due, ..)| *due <= step) {
                let Some((_, sent, confirmed)) = to_deputy.pop_front() else {
                    break;
                };
                if lease.record_message(TOKEN.into(), confirmed, deputy_now) && !lost(step / 10) {
                    to_lender.push_back((step + held_back, sent, deputy_now));
                }
            }
        }
        if lender_runs {
            while to_lender.front().is_some_and(|(due, ..)| *due <= step) {
                let Some((_, sent, stamp)) = to_lender.pop_front() else {
                    break;
                };
                monitor.record_answer(deputy_address, sent, stamp, lender_now);
            }
            if step.is_multiple_of(10) {
                let chosen = monitor.choose([deputy_address].into_iter(), lender_now);
                if chosen.is_some() && !lost(step / 10) {
                    to_deputy.push_back((step + held_to, lender_now, monitor.confirmed()));
                }
            }
        }
        let sole = lender_runs && monitor.is_sole_lender(lender_now);
        let lends = deputy_runs && lease.may_lend(Some(TOKEN.into()), deputy_now);
        check(step, sole, lends);
    }
}

proptest! {
    /// A lender must never be the sole lender while its deputy lends, even if messages are lost or
    /// delayed or a process is frozen.
    #[test]
    fn never_lend_twice(faults in faults()) {
        let mut both = None;
        simulate(&faults, |step, sole, lends| {
            if sole && lends {
                both.get_or_insert(step);
            }
        });
        prop_assert!(both.is_none(), "both lend at step {both:?}");
    }
}

/// The deputy must lend within 0.7 s after the lender died, and only for the time of an election.
#[test]
fn deputy_stands_in() {
    let mut faults = vec![PeerFault::None; 3];
    faults.resize(STEPS / 100, PeerFault::LenderDead);
    let mut lending = Vec::new();
    simulate(&faults, |step, _, lends| {
        if lends {
            lending.push(step);
        }
    });
    let first = lending.first().copied().expect("the deputy lends");
    let last = lending.last().copied().expect("the deputy lends");
    assert!((300..=370).contains(&first), "{first}");
    assert!(last - first >= 150, "{first} to {last}");
    assert!(last <= 300 + 260, "{last}");
}

/// A deputy must stop lending once the store names a newer leader.
#[test]
fn newer_leader_ends_deputy_lease() {
    let mut lease = DeputyLease::default();
    let start = MonotonicTime::from_millis(1_000);
    assert!(lease.record_message(TOKEN.into(), Some(start), start));
    let later = start + Duration::from_millis(900);
    assert!(lease.may_lend(None, later));
    assert!(lease.may_lend(Some(TOKEN.into()), later));
    assert!(!lease.may_lend(Some((TOKEN + 1).into()), later));
    assert!(!lease.record_message((TOKEN - 1).into(), Some(later), later));
}
