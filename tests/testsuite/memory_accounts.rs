//! Guards against callers that hold more memory than the machine has, and against closing callers
//! that behave.

use std::time::Duration;

use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use session_core::memory_account::HolderId;
use session_core::memory_account::MemoryAccount;
use session_core::memory_account::MemoryPart;
use session_core::memory_account::ShortagePatience;
use session_core::monotonic_time::MonotonicTime;
use session_core::units::ByteSize;

const LIMIT: ByteSize = ByteSize(1_000);
const ALLOWANCE: ByteSize = ByteSize(100);

const PATIENCE: ShortagePatience = ShortagePatience {
    wait: Duration::from_millis(250),
    stall: Duration::from_millis(2_000),
};

const PARTS: [MemoryPart; 4] = [
    MemoryPart::Input,
    MemoryPart::Request,
    MemoryPart::Output,
    MemoryPart::State,
];

fn account() -> MemoryAccount {
    MemoryAccount::new(Some(LIMIT), ALLOWANCE)
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// What is within the allowance must be granted even if all else is taken.
#[test]
fn allowance_is_always_granted() {
    let mut account = account();
    let greedy = account.open(at(0));
    assert!(account.try_set(greedy, MemoryPart::Input, ByteSize(1_100)));
    let ordinary = account.open(at(0));
    assert!(account.try_set(ordinary, MemoryPart::Input, ByteSize(100)));
    assert!(!account.try_set(ordinary, MemoryPart::Input, ByteSize(101)));
    assert!(account.try_set(greedy, MemoryPart::Input, ByteSize(1_099)));
    assert!(account.try_set(ordinary, MemoryPart::Input, ByteSize(101)));
}

/// State may stay for the whole life of a session, so it must leave room for messages.
#[test]
fn state_leaves_room_for_messages() {
    let mut account = account();
    let ids: Vec<HolderId> = (0..10).map(|_| account.open(at(0))).collect();
    let granted = ids.iter();
    let granted = granted.filter(|id| account.try_set(**id, MemoryPart::State, ByteSize(250)));
    assert_eq!(granted.count(), 2);
    let sender = account.open(at(0));
    assert!(account.try_set(sender, MemoryPart::Input, ByteSize(500)));
}

/// Without a shortage nobody may be closed, and in one only the largest holder without progress;
/// never a connection within its allowance, or one with a running statement.
#[test]
fn largest_stalled_holder_is_closed() {
    let mut account = account();
    let [ordinary, small, large, moving, busy] = [(); 5].map(|()| account.open(at(0)));
    account.set(ordinary, MemoryPart::State, ByteSize(100));
    account.set(small, MemoryPart::Output, ByteSize(150));
    account.set(large, MemoryPart::Output, ByteSize(250));
    account.set(moving, MemoryPart::Output, ByteSize(300));
    account.set(busy, MemoryPart::Output, ByteSize(350));
    account.set_busy(busy, true, at(0));
    account.record_progress(moving, at(1_500));
    assert_eq!(account.choose_stalled(PATIENCE, at(3_000)), None);
    account.begin_wait(at(2_000));
    account.begin_wait(at(2_100));
    account.begin_wait(at(2_900));
    assert_eq!(account.choose_stalled(PATIENCE, at(2_200)), None);
    assert_eq!(account.choose_stalled(PATIENCE, at(3_000)), Some(large));
    assert_eq!(account.choose_stalled(PATIENCE, at(3_000)), Some(small));
    // Each of the two that have waited long enough has one that makes room for it.
    assert_eq!(account.choose_stalled(PATIENCE, at(3_000)), None);
    account.close(large);
    account.close(small);
    assert_eq!(account.choose_stalled(PATIENCE, at(3_500)), Some(moving));
    account.close(moving);
    assert_eq!(account.choose_stalled(PATIENCE, at(60_000)), None);
}

/// What had to be taken beyond the limit must be brought back by closing those that stall.
#[test]
fn excess_is_closed() {
    let mut account = account();
    let ids = [(); 4].map(|()| account.open(at(0)));
    for id in ids {
        account.set(id, MemoryPart::Output, ByteSize(500));
    }
    let mut closed = 0;
    while account.choose_stalled(PATIENCE, at(2_000)).is_some() {
        closed += 1;
    }
    assert_eq!(closed, 2, "{} of {LIMIT}", account.charged());
}

/// Of connections that have not started, the oldest must be closed first; sessions never.
#[test]
fn oldest_unstarted_is_closed() {
    let mut account = account();
    let [session, first, second] = [(); 3].map(|()| account.open(at(0)));
    account.record_start(session);
    assert_eq!(account.choose_unstarted(), Some(first));
    assert_eq!(account.choose_unstarted(), Some(second));
    assert_eq!(account.choose_unstarted(), None);
}

proptest! {
    /// Whatever connections request, what they were granted beyond their allowances must stay
    /// within the limit, and nothing may stay charged after they ended.
    #[test]
    fn grants_stay_within_the_limit(
        steps in proptest::collection::vec((0_usize..8, 0_usize..5, 0_u64..1_500), 0..200)
    ) {
        let mut account = account();
        let mut open: Vec<(HolderId, [u64; 4])> =
            (0..8).map(|_| (account.open(at(0)), [0; 4])).collect();
        for (index, part, bytes) in steps {
            let (id, held) = &mut open[index];
            match PARTS.get(part) {
                Some(kind) => {
                    if account.try_set(*id, *kind, ByteSize(bytes)) {
                        held[part] = bytes;
                    }
                }
                None => {
                    account.close(*id);
                    *id = account.open(at(0));
                    *held = [0; 4];
                }
            }
            let beyond = |held: &[u64; 4]| held.iter().sum::<u64>().saturating_sub(ALLOWANCE.0);
            let expected: u64 = open.iter().map(|(_, held)| beyond(held)).sum();
            prop_assert_eq!(account.charged().0, expected);
            prop_assert!(expected <= LIMIT.0);
        }
        for (id, _) in open {
            account.close(id);
        }
        prop_assert_eq!(account.charged().0, 0);
    }
}
