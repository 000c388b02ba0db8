//! Guards against small instances as relays for larger ones, and against cycles of relays.

use std::time::Duration;

use proptest::prop_assert;
use proptest::proptest;
use session_core::ids::InstanceId;
use session_core::ids::ZoneId;
use session_core::instance_rank::RankedInstance;
use session_core::relay_tree::MAX_FOLLOWERS;
use session_core::relay_tree::queries_positions;
use session_core::relay_tree::relay_parent;
use session_core::relay_tree::relay_substitute;
use session_core::units::ProcessorShare;

fn names(count: usize) -> Vec<InstanceId> {
    let name = |number| {
        format!("front-{number}")
            .parse()
            .expect("the name is valid")
    };
    (0..count).map(name).collect()
}

fn zone() -> ZoneId {
    "zone-a".parse().expect("the name is valid")
}

proptest! {
    /// The parent of an instance must be at least as large, and each chain of relays must end at
    /// the one instance that watches the store, which is one of the largest.
    #[test]
    fn relays_lead_to_the_largest(processors in proptest::collection::vec(0_u32..4, 1..60)) {
        let names = names(processors.len());
        let members: Vec<_> = names
            .iter()
            .zip(&processors)
            .map(|(name, processor)| RankedInstance { processor: ProcessorShare(*processor), name })
            .collect();
        let largest = processors.iter().max().copied().unwrap_or(0);
        for member in &members {
            let mut current = *member;
            let mut steps = 0;
            while let Some(parent) = relay_parent(current, &zone(), members.iter().copied()) {
                let next = members.iter().find(|m| m.name == parent).copied();
                let next = next.expect("a parent is a member");
                prop_assert!(next.processor >= current.processor);
                current = next;
                steps += 1;
                prop_assert!(steps < members.len());
            }
            prop_assert!(current.processor.0 == largest);
        }
    }
}

/// Levels of the relay tree of the largest zone of a fleet of 533 instances in eleven zones.
const MAX_LEVELS: usize = 4;

/// Pattern: all instances of a fleet start at once, and each needs the whole view. One instance of
/// a zone reads it from the store; each other one must get it over few relays, and no relay may
/// send it to many.
#[test]
fn restart_reads_are_spread() {
    for count in [1, 7, 49, 68, 107] {
        let names = names(count);
        let member = |(number, name)| RankedInstance {
            processor: ProcessorShare(120 + number as u32 % 3),
            name,
        };
        let members: Vec<_> = names.iter().enumerate().map(member).collect();
        let parent_of = |member: RankedInstance<'_>| {
            let parent = relay_parent(member, &zone(), members.iter().copied())?;
            members.iter().find(|other| other.name == parent).copied()
        };
        let roots = members.iter().filter(|m| parent_of(**m).is_none());
        assert_eq!(roots.count(), 1);
        for member in &members {
            let levels = std::iter::successors(Some(*member), |m| parent_of(*m)).count();
            assert!(levels <= MAX_LEVELS, "{levels} levels of {count} instances");
            let followers = members.iter().filter(|m| parent_of(**m) == Some(*member));
            assert!(followers.count() <= MAX_FOLLOWERS);
        }
    }
}

/// Pattern: the store answers nobody, and every instance of the fleet tries to watch it. Only the
/// root of each zone may go on querying primaries; an instance that took over for a dead root, and
/// gets answers, must do so as well.
#[test]
fn outage_multiplies_no_queries() {
    let old = Some(Duration::from_secs(3));
    let young = Some(Duration::from_millis(700));
    let names = names(60);
    let member = |name| RankedInstance {
        processor: ProcessorShare(120),
        name,
    };
    let members: Vec<_> = names.iter().map(member).collect();
    let is_root =
        |own: &RankedInstance<'_>| relay_parent(*own, &zone(), members.iter().copied()).is_none();
    let queries = |age| {
        let queriers = members
            .iter()
            .filter(|own| queries_positions(true, is_root(own), age));
        queriers.count()
    };
    assert_eq!(queries(old), 1);
    assert_eq!(queries(None), 1);
    assert_eq!(queries(young), members.len());
    assert!(!queries_positions(false, false, young));
}

/// Pattern: the store turns the first instance of a zone away and answers the others. It has no relay, and
/// must hear what the others hear: a change of a primary waits for its acknowledgement.
#[test]
fn refused_root_has_a_substitute() {
    let names = names(4);
    let other: ZoneId = "zone-b".parse().expect("the name is valid");
    let member = |index: usize, processor| RankedInstance {
        processor: ProcessorShare(processor),
        name: &names[index],
    };
    let zone = zone();
    let mates = [(&zone, member(1, 1)), (&zone, member(2, 2))];
    let others = [(&other, member(3, 9))];
    let all = mates.into_iter().chain(others);
    assert_eq!(relay_substitute(&zone, all), Some(&names[2]));
    // The zone has no other member that answers.
    assert_eq!(relay_substitute(&zone, others.into_iter()), Some(&names[3]));
    assert_eq!(relay_substitute(&zone, std::iter::empty()), None);
}
