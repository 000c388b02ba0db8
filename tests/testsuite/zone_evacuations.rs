//! Guards against endpoints of evacuated zones that are used after the time of the evacuation.

use std::time::Duration;

use session_core::evacuated_zones::EvacuatedZones;
use session_core::evacuated_zones::ZoneEvacuation;
use session_core::ids::ZoneId;
use session_core::monotonic_time::MonotonicTime;

/// Time of evacuations in these tests.
const EVACUATION_TIME: Duration = Duration::from_millis(5_000);

/// Age of the view up to which an instance serves requests that need a key.
const MAX_VIEW_AGE: Duration = Duration::from_millis(3_800);

fn zone() -> ZoneId {
    "zone-a".parse().expect("the name is valid")
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_nanos(millis * 1_000_000)
}

fn evacuation(revision: u64, accepted_after: Option<MonotonicTime>) -> ZoneEvacuation {
    ZoneEvacuation {
        revision: revision.into(),
        accepted_after,
    }
}

/// Whenever an instance learns of an evacuation, and however old its view was, it must stop before the
/// time of the evacuation is over: one that counted from when it learned of it would be late by the age
/// of its view.
#[test]
fn late_news_shorten_the_use() {
    let accepted = at(10_000);
    for age in (0..3_800).step_by(100) {
        // The view was complete up to this time before the change arrived.
        let synced_at = at(10_000 - age);
        let mut zones = EvacuatedZones::default();
        zones.begin(zone(), evacuation(7, Some(synced_at)));
        let end = zones.get(&zone()).map(|e| e.use_end(EVACUATION_TIME));
        assert!(end < Some(accepted + EVACUATION_TIME), "{age} ms");
        // Until it learned of it, its view was recent enough to be used.
        assert!(synced_at + MAX_VIEW_AGE < accepted + EVACUATION_TIME);
    }
}

/// A process that starts while a zone is evacuated does not know since when, and must not use the zone.
#[test]
fn start_leaves_at_once() {
    let mut zones = EvacuatedZones::default();
    zones.begin(zone(), evacuation(7, None));
    let end = zones.get(&zone()).map(|e| e.use_end(EVACUATION_TIME));
    assert_eq!(end, Some(MonotonicTime::default()));
}

/// A request that is written again must not extend the use of the zone, and one that was withdrawn must
/// not end the use of the zone after the next one.
#[test]
fn repeated_requests_count_once() {
    let mut zones = EvacuatedZones::default();
    zones.begin(zone(), evacuation(7, Some(at(1_000))));
    zones.begin(zone(), evacuation(9, Some(at(4_000))));
    assert_eq!(zones.get(&zone()), Some(&evacuation(9, Some(at(1_000)))));
    assert!(zones.end(&zone()));
    assert!(!zones.end(&zone()));
    assert_eq!(zones.get(&zone()), None);
    zones.begin(zone(), evacuation(12, Some(at(8_000))));
    assert_eq!(zones.get(&zone()), Some(&evacuation(12, Some(at(8_000)))));
}
