//! The time for which statements occupy a limiter, by kind of work.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;
use crate::pace_sample::WorkKind;

/// Time in milliseconds that is assumed of a kind before its first statement.
const INITIAL_WORK_MS: f64 = 30.0;

/// Weight of a new sample in the smoothed time.
const WORK_WEIGHT: f64 = 0.2;

/// Maximum number of kinds; further ones share the initial time.
const MAX_KINDS: usize = 1_024;

/// Time for which a finished statement shows the present pace.
const PACE_WINDOW: Duration = Duration::from_secs(1);

/// The observed times of statements at one endpoint.
#[derive(Debug, Clone, Default)]
pub struct WorkPace {
    expected_ms: BTreeMap<WorkKind, f64>,
    finished: VecDeque<(MonotonicTime, f64)>,
}

impl WorkPace {
    /// Records the time for which a statement occupied the limiter.
    pub fn record(&mut self, kind: WorkKind, held: Duration, now: MonotonicTime) {
        let held_ms = held.as_secs_f64() * 1_000.0;
        self.finished.push_back((now, held_ms));
        self.forget(now);
        if self.expected_ms.len() < MAX_KINDS || self.expected_ms.contains_key(&kind) {
            let expected_ms = self.expected_ms.entry(kind).or_insert(held_ms);
            *expected_ms += WORK_WEIGHT * (held_ms - *expected_ms);
        }
    }

    /// Returns the expected time of a statement in milliseconds.
    pub fn expected_ms(&self, kind: WorkKind) -> f64 {
        let expected_ms = self.expected_ms.get(&kind).copied();
        expected_ms.unwrap_or(INITIAL_WORK_MS).max(1.0)
    }

    /// Returns how many statements ran at once in the last second, on average, or `None` if none
    /// finished.
    pub fn parallel(&mut self, now: MonotonicTime) -> Option<f64> {
        self.forget(now);
        let finished_ms: f64 = self.finished.iter().map(|(_, held_ms)| held_ms).sum();
        let window_ms = PACE_WINDOW.as_secs_f64() * 1_000.0;
        (!self.finished.is_empty()).then_some(finished_ms / window_ms)
    }

    fn forget(&mut self, now: MonotonicTime) {
        while let Some((at, _)) = self.finished.front()
            && now.saturating_since(*at) > PACE_WINDOW
        {
            self.finished.pop_front();
        }
    }
}
