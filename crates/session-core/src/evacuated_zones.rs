//! Tracks the availability zones that operators evacuate, and how long their endpoints may be used.
//!
//! An evacuation counts from when the store accepted it, which an instance does not know. It counts
//! from a time that is not later instead: the time up to which the view was complete before the
//! change that brought the evacuation. An evacuation that the view does not hold yet was accepted
//! after the view was complete, and nothing is used on a view that is older than [`use_time`]. So each
//! statement that is sent later than that after the acceptance finds the evacuation in the view, and
//! its use ended.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ZoneId;
use crate::monotonic_time::MonotonicTime;
use crate::store_revision::StoreRevision;

/// Fraction of the evacuation time in which the primary of an evacuated zone and open transactions
/// may still be used. The rest is for statements that are under way when it ends.
const USE_FRACTION: f64 = 0.8;

/// Returns for how long an evacuated zone may still be used, given the time of evacuations. A view that
/// is older than that may lack an evacuation that must be in force.
pub fn use_time(evacuation_time: Duration) -> Duration {
    evacuation_time.mul_f64(USE_FRACTION)
}

/// One evacuation as an instance knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// Store revision of the request.
    pub revision: StoreRevision,
    /// A time before which the store had not accepted the request, or `None` if the request was in
    /// the first view.
    pub accepted_after: Option<MonotonicTime>,
}

impl ZoneEvacuation {
    /// Returns when nothing of the zone may be used any more; the zero time if that holds from the
    /// start.
    pub fn use_end(&self, time: Duration) -> MonotonicTime {
        let end = self.accepted_after.map(|at| at + use_time(time));
        end.unwrap_or_default()
    }
}

/// The evacuated zones.
#[derive(Debug, Clone, Default)]
pub struct EvacuatedZones(BTreeMap<ZoneId, ZoneEvacuation>);

impl EvacuatedZones {
    /// Records a request. One that is written again counts from the first time, since the zone may
    /// have been evacuated all the while.
    pub fn begin(&mut self, zone: ZoneId, evacuation: ZoneEvacuation) {
        let revision = evacuation.revision;
        self.0.entry(zone).or_insert(evacuation).revision = revision;
    }

    /// Records that a request was withdrawn. Returns whether the zone was evacuated.
    pub fn end(&mut self, zone: &ZoneId) -> bool {
        self.0.remove(zone).is_some()
    }

    /// Returns the evacuation of a zone, if there is one.
    pub fn get(&self, zone: &ZoneId) -> Option<&ZoneEvacuation> {
        self.0.get(zone)
    }

    /// Returns the evacuations by zone.
    pub fn iter(&self) -> impl Iterator<Item = (&ZoneId, &ZoneEvacuation)> {
        self.0.iter()
    }
}
