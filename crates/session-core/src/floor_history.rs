//! Log points of a primary by the time of their queries, from which floors for bounded reads and
//! the replication delays of replicas are derived.

use std::collections::VecDeque;
use std::time::Duration;

use crate::log_point::LogPoint;
use crate::monotonic_time::MonotonicTime;

/// Samples closer together than this replace each other, which bounds the length of the history.
const SAMPLE_SPACING: Duration = Duration::from_millis(20);

/// Samples older than this are dropped; no configured route accepts staler reads.
const SAMPLE_LIFE: Duration = Duration::from_secs(20);

/// A log point of the primary that covers all commits acknowledged before `requested_at`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FloorSample {
    /// Send time of the query that the primary answered with the point.
    pub requested_at: MonotonicTime,
    /// The point.
    pub point: LogPoint,
}

/// Samples of one group, oldest first.
#[derive(Debug, Clone, Default)]
pub struct FloorHistory {
    samples: VecDeque<FloorSample>,
}

impl FloorHistory {
    /// Records an answer of an endpoint that was the primary when the query was sent. Answers to
    /// queries older than the newest sample are ignored.
    pub fn record(&mut self, requested_at: MonotonicTime, point: LogPoint) {
        let sample = FloorSample {
            requested_at,
            point,
        };
        while self
            .samples
            .front()
            .is_some_and(|first| requested_at.saturating_since(first.requested_at) > SAMPLE_LIFE)
        {
            self.samples.pop_front();
        }
        let Some(last) = self.samples.back().copied() else {
            self.samples.push_back(sample);
            return;
        };
        if requested_at < last.requested_at {
            return;
        }
        let close = requested_at.saturating_since(last.requested_at) < SAMPLE_SPACING;
        let previous = self.samples.len().checked_sub(2);
        let anchored = previous
            .and_then(|index| self.samples.get(index))
            .is_some_and(|before| {
                requested_at.saturating_since(before.requested_at) < 2 * SAMPLE_SPACING
            });
        if close && anchored {
            self.samples.pop_back();
        }
        self.samples.push_back(FloorSample {
            requested_at,
            point: point.max(last.point),
        });
    }

    /// Returns the oldest sample that covers every commit acknowledged before `since`.
    pub fn floor_since(&self, since: MonotonicTime) -> Option<FloorSample> {
        self.samples
            .iter()
            .find(|sample| sample.requested_at >= since)
            .copied()
    }

    /// Returns the newest sample.
    pub fn newest(&self) -> Option<FloorSample> {
        self.samples.back().copied()
    }

    /// Returns when the primary first reported a later point than `point`.
    pub fn passed_at(&self, point: LogPoint) -> Option<MonotonicTime> {
        self.samples
            .iter()
            .find(|sample| sample.point > point)
            .map(|sample| sample.requested_at)
    }

    /// Returns when the primary first reported `point` or a later one.
    pub fn reached_at(&self, point: LogPoint) -> Option<MonotonicTime> {
        self.samples
            .iter()
            .find(|sample| sample.point >= point)
            .map(|sample| sample.requested_at)
    }
}
