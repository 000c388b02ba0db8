//! The lowest times that kinds of work were seen to take, by availability zone of the endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ZoneId;
use crate::monotonic_time::MonotonicTime;
use crate::pace_sample::WorkKind;

/// Maximum number of kinds; further ones are ignored, which bounds the memory to about 1 MB.
const MAX_KINDS: usize = 4_096;

/// Time after which a lowest time is replaced by that of the following period, so that work that
/// became longer does not count as slow for good.
const ROTATION_PERIOD: Duration = Duration::from_secs(30);

/// Maximum network distance to another zone in milliseconds: a round trip and its variation. A
/// zone whose endpoints take longer than that is slow, not far.
const MAX_DISTANCE_MS: f32 = 8.0;

/// Added to both sides of a ratio, because scheduling alone delays short statements by this time.
const SCHEDULING_MS: f32 = 3.0;

/// Maximum pace of a statement, so that a hung one weighs no more than a very slow one.
const MAX_PACE: f32 = 20.0;

#[derive(Debug, Clone)]
struct LowestTime {
    zone: ZoneId,
    current_ms: f32,
    former_ms: f32,
}

impl LowestTime {
    fn millis(&self) -> f32 {
        self.current_ms.min(self.former_ms)
    }
}

/// The lowest times by kind, with the network distances that follow from them.
#[derive(Debug, Clone, Default)]
pub struct WorkTimes {
    kinds: BTreeMap<WorkKind, Vec<LowestTime>>,
    distances_ms: BTreeMap<ZoneId, f32>,
    rotated_at: Option<MonotonicTime>,
}

impl WorkTimes {
    /// Records the time of a statement at an endpoint of a zone.
    pub fn record(&mut self, kind: WorkKind, zone: &ZoneId, millis: f32) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return;
        }
        let times = self.kinds.entry(kind).or_default();
        match times.iter_mut().find(|lowest| lowest.zone == *zone) {
            Some(lowest) => lowest.current_ms = lowest.current_ms.min(millis),
            None => times.push(LowestTime {
                zone: zone.clone(),
                current_ms: millis,
                former_ms: f32::INFINITY,
            }),
        }
    }

    /// Forgets lowest times that are too old, and derives the network distances anew.
    pub fn update(&mut self, now: MonotonicTime) {
        let since = *self.rotated_at.get_or_insert(now);
        if now.saturating_since(since) >= ROTATION_PERIOD {
            self.rotated_at = Some(now);
            for times in self.kinds.values_mut() {
                for lowest in times.iter_mut() {
                    lowest.former_ms = lowest.current_ms;
                    lowest.current_ms = f32::INFINITY;
                }
                times.retain(|lowest| lowest.former_ms.is_finite());
            }
            self.kinds.retain(|_, times| !times.is_empty());
        }
        // The kind that is closest to its lowest time anywhere shows the distance of a zone: the
        // others are further off by what its endpoints take longer.
        self.distances_ms.clear();
        for times in self.kinds.values().filter(|times| times.len() > 1) {
            let least = times.iter().map(LowestTime::millis);
            let least = least.fold(f32::INFINITY, f32::min);
            for lowest in times {
                let excess = (lowest.millis() - least).min(MAX_DISTANCE_MS);
                let distance = self.distances_ms.entry(lowest.zone.clone());
                let distance = distance.or_insert(excess);
                *distance = distance.min(excess);
            }
        }
    }

    /// Returns the time of a statement relative to the lowest time of its kind, without the network
    /// distance of the endpoint's zone.
    pub fn pace(&self, kind: WorkKind, zone: &ZoneId, millis: f32) -> f32 {
        let times = self.kinds.get(&kind).map_or(&[][..], Vec::as_slice);
        let lowest = times
            .iter()
            .map(|lowest| lowest.millis() - self.distance(&lowest.zone))
            .fold(f32::INFINITY, f32::min)
            .max(0.0);
        let own = (millis - self.distance(zone)).max(0.0);
        let pace = (own + SCHEDULING_MS) / (lowest + SCHEDULING_MS);
        pace.clamp(1.0, MAX_PACE)
    }

    fn distance(&self, zone: &ZoneId) -> f32 {
        self.distances_ms.get(zone).copied().unwrap_or(0.0)
    }
}
