//! Guards against hosts of endpoint connections that are overloaded, that instances disagree about,
//! or that open more connections than an endpoint accepts.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prop_assert;
use proptest::proptest;
use session_core::connection_host::DIRECT_FRACTION;
use session_core::connection_host::MAX_CANDIDATES;
use session_core::connection_host::connection_hosts;
use session_core::connection_host::host_connections;
use session_core::connection_host::may_use_another;
use session_core::host_clock::FORWARD_TIME;
use session_core::host_clock::HostClock;
use session_core::host_exclusion::HostExclusion;
use session_core::ids::EndpointId;
use session_core::ids::InstanceId;
use session_core::instance_rank::RankedInstance;
use session_core::monotonic_time::MonotonicTime;
use session_core::units::ConnectionCount;
use session_core::units::ProcessorShare;

/// Members of one zone of a fleet of 100 and of the largest fleet, which has 11 zones.
const ZONE_SIZES: [usize; 4] = [3, 33, 48, 177];

fn names(count: usize) -> Vec<InstanceId> {
    let name = |number| format!("front-{number}").parse();
    (0..count)
        .map(|number| name(number).expect("a valid name"))
        .collect()
}

fn endpoints(count: usize) -> Vec<EndpointId> {
    let id = |number| format!("db-{number}").parse();
    (0..count)
        .map(|number| id(number).expect("a valid id"))
        .collect()
}

/// Returns members of which every seventh is large.
fn members(names: &[InstanceId]) -> Vec<RankedInstance<'_>> {
    let ranked = |(number, name)| RankedInstance {
        processor: ProcessorShare(if number % 7 == 0 { 500 } else { 84 }),
        name,
    };
    names.iter().enumerate().map(ranked).collect()
}

/// The endpoints of a zone must be spread over its larger instances, so that none forwards the
/// statements of the whole zone.
#[test]
fn hosts_are_spread() {
    for size in ZONE_SIZES {
        let names = names(size);
        let members = members(&names);
        let mut counts: HashMap<&InstanceId, usize> = HashMap::new();
        for endpoint in endpoints(78) {
            let hosts = connection_hosts(&endpoint, members.iter().copied());
            assert_eq!(hosts.len(), MAX_CANDIDATES);
            *counts.entry(hosts[0]).or_default() += 1;
        }
        let most = counts.values().max().copied().unwrap_or(0);
        let even = 78.0 / (size as f64 / 3.0).max(3.0);
        assert!((most as f64) < 2.0 * even + 4.0, "{size}: {most}");
        let smallest = members.iter().filter(|m| m.processor.0 == 84).count();
        let small_hosts = counts.keys().filter(|name| {
            let member = members.iter().find(|member| member.name == **name);
            member.is_some_and(|member| member.processor.0 == 84)
        });
        assert!(small_hosts.count() <= smallest / 2 + 1);
    }
}

/// When one member leaves, hardly any endpoint other than its own may change its host: each change
/// opens new connections for all teams.
#[test]
fn departure_moves_few_hosts() {
    for size in [33, 177] {
        let names = names(size);
        let members = members(&names);
        let endpoints = endpoints(78);
        for gone in (0..size).step_by(4) {
            let remaining = || {
                let others = members.iter().enumerate();
                others
                    .filter(|(number, _)| *number != gone)
                    .map(|(_, m)| *m)
            };
            let mut moved = 0;
            for endpoint in &endpoints {
                let before = connection_hosts(endpoint, members.iter().copied());
                let after = connection_hosts(endpoint, remaining());
                let was_host = before[0] == &names[gone];
                if was_host {
                    assert!(after[0] == before[1] || !before.contains(&after[0]));
                }
                moved += usize::from(after[0] != before[0] && !was_host);
            }
            // The eligible members change by at most the one that takes the place of the other.
            assert!(moved <= 78 * 3 / size.min(45) + 4, "{size} {gone}: {moved}");
        }
    }
}

/// Teams that use all connections of a host that they may must leave some for another team.
#[test]
fn greedy_teams_leave_connections() {
    for limit in 2..160 {
        for teams in 1..limit / 3 {
            let mut used = vec![0_usize; teams];
            let mut in_use = 0;
            let mut grew = true;
            while grew {
                grew = false;
                for team in &mut used {
                    if may_use_another(*team, limit - in_use) {
                        *team += 1;
                        in_use += 1;
                        grew = true;
                    }
                }
            }
            assert!(may_use_another(0, limit - in_use), "{limit} {teams}");
        }
        assert!(may_use_another(0, 1) && !may_use_another(0, 0));
    }
}

proptest! {
    /// No command may be forwarded later than the bound after it was sent, whatever the clocks of the
    /// two instances say and however long the host's messages were held up before. Otherwise a host
    /// that was frozen would run statements of an instance that may no longer use the primary.
    #[test]
    fn late_commands_are_dropped(
        offset_ms in 0_u64..10_000_000,
        delays_ms in proptest::collection::vec((0_u64..3_000, 0_u64..8_000), 1..20),
        bytes in 0_usize..100_000,
    ) {
        let mut clock = None;
        let mut at_ms = 1_000;
        for (delay_ms, pause_ms) in delays_ms {
            let stamp = MonotonicTime::from_millis(offset_ms + at_ms);
            let received_at = MonotonicTime::from_millis(at_ms + delay_ms);
            let known = HostClock::after_message(clock, stamp, received_at);
            clock = Some(known);
            at_ms += delay_ms + pause_ms;
            let deadline = known.forward_deadline(MonotonicTime::from_millis(at_ms), bytes);
            let host_now = MonotonicTime::from_millis(offset_ms + at_ms);
            let bound = FORWARD_TIME + Duration::from_millis(2 * bytes as u64 / 1_000 + 1);
            prop_assert!(deadline <= host_now + bound);
        }
    }
}

/// A message that was not held up must leave the whole time for the command, also after one that was.
#[test]
fn quick_message_gives_the_time() {
    let at = MonotonicTime::from_millis;
    let late = HostClock::after_message(None, at(5_000), at(2_000));
    let quick = HostClock::after_message(Some(late), at(6_900), at(2_000));
    assert_eq!(
        quick.forward_deadline(at(2_100), 0),
        at(7_000) + FORWARD_TIME
    );
    let late = HostClock::after_message(Some(quick), at(6_950), at(3_000));
    assert_eq!(late, quick);
    let drifted = HostClock::after_message(Some(quick), at(11_000), at(7_500));
    assert_eq!(drifted.reached(at(7_500)), at(11_000));
}

/// A host that stays silent must hold up requests ever more rarely, and one that was used again must
/// be passed over only shortly.
#[test]
fn exclusions_grow() {
    let start = MonotonicTime::from_millis(1_000);
    let first = HostExclusion::after_failure(None, start);
    let again = start + Duration::from_millis(10);
    assert_eq!(HostExclusion::after_failure(Some(first), again), first);
    let mut exclusion = first;
    let mut at = start;
    let mut attempts = 0;
    while at < start + Duration::from_secs(300) {
        if !exclusion.applies(at) {
            exclusion = HostExclusion::after_failure(Some(exclusion), at);
            attempts += 1;
        }
        at = at + Duration::from_millis(50);
    }
    assert!((10..=15).contains(&attempts), "{attempts}");
    assert!(!first.applies(start + Duration::from_millis(1_001)));
}

/// The first host, one that takes over from it and the direct connections together must stay within
/// what the endpoint accepts.
#[test]
fn parts_fit_the_limit() {
    for accepted in 4..400 {
        let host = |rank| host_connections(ConnectionCount(accepted), rank);
        let direct = (f64::from(accepted) * DIRECT_FRACTION) as usize;
        assert!(host(0) + host(1) + direct <= accepted as usize);
        assert!(host(0) * 2 <= accepted as usize);
        assert!(host(2) >= 1);
    }
}
