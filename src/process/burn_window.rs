//! Counts good and bad requests over sliding windows, in bounded memory.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::process::timers::MonotonicTime;

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;

/// Bucket length and covered span of each ring, in seconds, from fine to coarse.
///
/// The last ring covers the longest window that an objective may have.
const RINGS: [(u64, u64); 5] = [
    (10, 5 * MINUTE),
    (2 * MINUTE, HOUR),
    (12 * MINUTE, 6 * HOUR),
    (2 * HOUR, 72 * HOUR),
    (12 * HOUR, 92 * 24 * HOUR),
];

/// The counts of one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BurnCounts {
    /// Requests that were answered.
    pub good: u64,
    /// Requests that were refused within the team's rate, or whose outcome is unknown.
    pub bad: u64,
    /// Requests that do not count, such as those above the team's rate.
    pub excluded: u64,
    /// Time without a primary, in milliseconds.
    pub absent_ms: u64,
}

impl BurnCounts {
    /// Adds other counts to these.
    pub fn add(&mut self, other: BurnCounts) {
        self.good += other.good;
        self.bad += other.bad;
        self.excluded += other.excluded;
        self.absent_ms += other.absent_ms;
    }
}

/// The counts of one bucket; 32 bits hold the requests of one instance in the longest bucket.
#[derive(Debug, Clone, Copy)]
struct CountBucket {
    number: u32,
    good: u32,
    bad: u32,
    excluded: u32,
    absent_ms: u32,
}

impl CountBucket {
    fn new(number: u64) -> Self {
        Self {
            number: saturating_u32(number),
            good: 0,
            bad: 0,
            excluded: 0,
            absent_ms: 0,
        }
    }

    fn add(&mut self, counts: BurnCounts) {
        self.good = self.good.saturating_add(saturating_u32(counts.good));
        self.bad = self.bad.saturating_add(saturating_u32(counts.bad));
        self.excluded = self
            .excluded
            .saturating_add(saturating_u32(counts.excluded));
        self.absent_ms = self
            .absent_ms
            .saturating_add(saturating_u32(counts.absent_ms));
    }

    fn counts(&self) -> BurnCounts {
        BurnCounts {
            good: u64::from(self.good),
            bad: u64::from(self.bad),
            excluded: u64::from(self.excluded),
            absent_ms: u64::from(self.absent_ms),
        }
    }
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

#[derive(Debug, Clone, Default)]
struct BucketRing {
    buckets: VecDeque<CountBucket>,
}

/// Sliding counts of one service, or of one team on a service.
///
/// A sum includes all of the bucket in which its window starts.
#[derive(Debug, Clone, Default)]
pub struct BurnWindow {
    rings: [BucketRing; RINGS.len()],
    pending: BurnCounts,
    pending_bucket: u64,
}

impl BurnWindow {
    /// Adds counts at `now`; a time before the latest one counts as the latest.
    pub fn add(&mut self, counts: BurnCounts, now: MonotonicTime) {
        let bucket = seconds(now) / RINGS[0].0;
        if bucket > self.pending_bucket {
            self.flush();
            self.pending_bucket = bucket;
        }
        self.pending.add(counts);
    }

    /// Returns the counts from `span` before `now` until `now`.
    pub fn sum(&self, span: Duration, now: MonotonicTime) -> BurnCounts {
        let span = span.as_secs();
        let covering = RINGS.iter().position(|&(_, covered)| covered >= span);
        let index = covering.unwrap_or(RINGS.len() - 1);
        let oldest = seconds(now).saturating_sub(span);
        let mut sum = BurnCounts::default();
        for bucket in &self.rings[index].buckets {
            if u64::from(bucket.number) >= oldest / RINGS[index].0 {
                sum.add(bucket.counts());
            }
        }
        if self.pending_bucket >= oldest / RINGS[0].0 {
            sum.add(self.pending);
        }
        sum
    }

    /// Moves the counts of the current short bucket into every ring.
    ///
    /// Recording a request then costs one addition instead of one for each ring.
    fn flush(&mut self) {
        let counts = std::mem::take(&mut self.pending);
        if counts == BurnCounts::default() {
            return;
        }
        let time = self.pending_bucket * RINGS[0].0;
        for (ring, (length, span)) in self.rings.iter_mut().zip(RINGS) {
            let number = time / length;
            if ring
                .buckets
                .back()
                .is_none_or(|last| u64::from(last.number) != number)
            {
                ring.buckets.push_back(CountBucket::new(number));
            }
            if let Some(last) = ring.buckets.back_mut() {
                last.add(counts);
            }
            let oldest = number.saturating_sub(span / length);
            while ring
                .buckets
                .front()
                .is_some_and(|first| u64::from(first.number) < oldest)
            {
                ring.buckets.pop_front();
            }
        }
    }
}

fn seconds(time: MonotonicTime) -> u64 {
    time.as_nanos() / 1_000_000_000
}
