//! Counts of good and bad requests over sliding windows, in bounded memory.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::timers::MonotonicTime;

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;

/// The length of a bucket and the span that its ring covers, in seconds, from fine to coarse.
///
/// The last span covers the longest window that an objective may have.
const RINGS: [(u64, u64); 5] = [
    (5, 5 * MINUTE),
    (MINUTE, HOUR),
    (5 * MINUTE, 6 * HOUR),
    (HOUR, 72 * HOUR),
    (12 * HOUR, 92 * 24 * HOUR),
];

/// What happened within a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnCounts {
    /// Requests that were answered.
    pub good: u64,
    /// Requests that were refused inside the team's rate, or whose outcome is unknown.
    pub bad: u64,
    /// Requests that do not count, such as those above the team's rate.
    pub excluded: u64,
    /// Time without a primary, in milliseconds.
    pub absent_ms: u64,
}

impl BurnCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: BurnCounts) {
        self.good += other.good;
        self.bad += other.bad;
        self.excluded += other.excluded;
        self.absent_ms += other.absent_ms;
    }
}

#[derive(Debug, Clone, Default)]
struct BucketRing {
    buckets: VecDeque<(u64, BurnCounts)>,
}

/// Sliding counts of one team on one service, or of one service.
///
/// The sum over a window includes the whole bucket that the window starts in.
#[derive(Debug, Clone, Default)]
pub struct BurnWindow {
    rings: [BucketRing; RINGS.len()],
    pending: BurnCounts,
    pending_bucket: u64,
}

impl BurnWindow {
    /// Adds counts at a time; a time before the latest one counts as the latest.
    pub fn add(&mut self, counts: BurnCounts, now: MonotonicTime) {
        let bucket = seconds(now) / RINGS[0].0;
        if bucket > self.pending_bucket {
            self.flush();
            self.pending_bucket = bucket;
        }
        self.pending.add(counts);
    }

    /// Returns the counts of the last `span` until `now`.
    pub fn sum(&self, span: Duration, now: MonotonicTime) -> BurnCounts {
        let span = span.as_secs();
        let covering = RINGS.iter().position(|&(_, covered)| covered >= span);
        let index = covering.unwrap_or(RINGS.len() - 1);
        let oldest = seconds(now).saturating_sub(span);
        let mut sum = BurnCounts::default();
        for &(bucket, counts) in &self.rings[index].buckets {
            if bucket >= oldest / RINGS[index].0 {
                sum.add(counts);
            }
        }
        if self.pending_bucket >= oldest / RINGS[0].0 {
            sum.add(self.pending);
        }
        sum
    }

    /// Moves the counts of the current short bucket into every ring.
    ///
    /// A record then costs one addition, not one for each ring.
    fn flush(&mut self) {
        let counts = std::mem::take(&mut self.pending);
        if counts == BurnCounts::default() {
            return;
        }
        let time = self.pending_bucket * RINGS[0].0;
        for (ring, (length, span)) in self.rings.iter_mut().zip(RINGS) {
            let bucket = time / length;
            match ring.buckets.back_mut() {
                Some((last, sum)) if *last == bucket => sum.add(counts),
                _ => ring.buckets.push_back((bucket, counts)),
            }
            let oldest = bucket.saturating_sub(span / length);
            while ring
                .buckets
                .front()
                .is_some_and(|&(first, _)| first < oldest)
            {
                ring.buckets.pop_front();
            }
        }
    }
}

fn seconds(time: MonotonicTime) -> u64 {
    time.as_nanos() / 1_000_000_000
}
