//! Guards against a keeper and its deputy that both lend everything, and against neither lending.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prop_assert;
use proptest::proptest;
use session_core::monotonic_time::MonotonicTime;
use session_core::rate_deputy::DeputyMandate;
use session_core::rate_deputy::DeputyWatch;

const TOKEN: u64 = 7;
const STEP: Duration = Duration::from_millis(10);
const STEPS: usize = 1_200;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// What is wrong in one second.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    Lossy,
    /// Messages of one direction or the other are held up for this many steps.
    Held(usize, usize),
    KeeperFrozen,
    DeputyFrozen,
    KeeperDead,
}

fn troubles() -> impl proptest::strategy::Strategy<Value = Vec<Trouble>> {
    use proptest::prelude::*;
    let trouble = prop_oneof![
        3 => Just(Trouble::None),
        1 => Just(Trouble::Lossy),
        2 => (0_usize..250, 0_usize..250).prop_map(|(to, back)| Trouble::Held(to, back)),
        1 => Just(Trouble::KeeperFrozen),
        1 => Just(Trouble::DeputyFrozen),
    ];
    proptest::collection::vec(trouble, STEPS / 100)
}

type Watch = (usize, MonotonicTime, Option<MonotonicTime>);
type Watched = (usize, MonotonicTime, MonotonicTime);

/// Plays the troubles; calls `check` with the time and whether each side may lend as if the other
/// did not. The deputy's clock differs from the keeper's.
fn play(troubles: &[Trouble], mut check: impl FnMut(usize, bool, bool)) {
    let deputy_address = address(2);
    let mut watch = DeputyWatch::default();
    let mut mandate = DeputyMandate::default();
    let mut to_deputy: VecDeque<Watch> = VecDeque::new();
    let mut to_keeper: VecDeque<Watched> = VecDeque::new();
    for step in 0..STEPS {
        let trouble = troubles[step / 100];
        let elapsed = STEP * u32::try_from(step).unwrap_or(u32::MAX);
        let keeper_now = MonotonicTime::from_millis(5_000) + elapsed;
        let deputy_now = MonotonicTime::from_millis(90_000) + elapsed;
        let keeper_runs = !matches!(trouble, Trouble::KeeperFrozen | Trouble::KeeperDead);
        let deputy_runs = trouble != Trouble::DeputyFrozen;
        let (held_to, held_back) = match trouble {
            Trouble::Held(to, back) => (to, back),
            _ => (0, 0),
        };
        let lost = |number: usize| trouble == Trouble::Lossy && !number.is_multiple_of(3);
        // A side that thaws may lend before it reads what has arrived.
        let alone = keeper_runs && watch.lends_alone(keeper_now);
        let lends = deputy_runs && mandate.lends(Some(TOKEN), deputy_now);
        check(step, alone, lends);
        if deputy_runs {
            while to_deputy.front().is_some_and(|(due, ..)| *due <= step) {
                let Some((_, sent, confirmed)) = to_deputy.pop_front() else {
                    break;
                };
                if mandate.take(TOKEN, confirmed, deputy_now) && !lost(step / 10) {
                    to_keeper.push_back((step + held_back, sent, deputy_now));
                }
            }
        }
        if keeper_runs {
            while to_keeper.front().is_some_and(|(due, ..)| *due <= step) {
                let Some((_, sent, stamp)) = to_keeper.pop_front() else {
                    break;
                };
                watch.answered(deputy_address, sent, stamp, keeper_now);
            }
            if step.is_multiple_of(10) {
                let chosen = watch.choose([deputy_address].into_iter(), keeper_now);
                if chosen.is_some() && !lost(step / 10) {
                    to_deputy.push_back((step + held_to, keeper_now, watch.confirmed()));
                }
            }
        }
        let alone = keeper_runs && watch.lends_alone(keeper_now);
        let lends = deputy_runs && mandate.lends(Some(TOKEN), deputy_now);
        check(step, alone, lends);
    }
}

proptest! {
    /// A keeper must never lend everything while its deputy lends, whatever is lost, held up or
    /// frozen.
    #[test]
    fn never_lend_twice(troubles in troubles()) {
        let mut both = None;
        play(&troubles, |step, alone, lends| {
            if alone && lends {
                both.get_or_insert(step);
            }
        });
        prop_assert!(both.is_none(), "both lend at step {both:?}");
    }
}

/// A dead keeper must be stood in for within 0.7 s, for the time of an election.
#[test]
fn deputy_stands_in() {
    let mut troubles = vec![Trouble::None; 3];
    troubles.resize(STEPS / 100, Trouble::KeeperDead);
    let mut lending = Vec::new();
    play(&troubles, |step, _, lends| {
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

/// A deputy must stop where the store names a newer leader.
#[test]
fn newer_leader_ends_the_mandate() {
    let mut mandate = DeputyMandate::default();
    let start = MonotonicTime::from_millis(1_000);
    assert!(mandate.take(TOKEN, Some(start), start));
    let later = start + Duration::from_millis(900);
    assert!(mandate.lends(None, later));
    assert!(mandate.lends(Some(TOKEN), later));
    assert!(!mandate.lends(Some(TOKEN + 1), later));
    assert!(!mandate.take(TOKEN - 1, Some(later), later));
}
