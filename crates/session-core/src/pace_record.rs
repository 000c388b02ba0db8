//! The recent statements of one endpoint, and the fraction of its load that it gets.

use std::collections::VecDeque;
use std::time::Duration;

use crate::failure_count::FailureCount;
use crate::monotonic_time::MonotonicTime;
use crate::observed_pace::ObservedPace;
use crate::pace_sample::WorkKind;

/// Minimum number of samples for a judgement. Of five, three must be slow to raise the median and
/// four to raise the quartile, so that a single slow answer moves nothing.
const MIN_SAMPLES: usize = 5;

/// Maximum number of samples that are kept. Fewer span less than a second at busy endpoints, and a
/// burst then counts as slowness.
const MAX_SAMPLES: usize = 128;

/// Age up to which all samples count towards the pace. Older ones only make up the minimum.
const PACE_WINDOW: Duration = Duration::from_millis(600);

/// Age up to which all samples count towards the failure ratio.
const FAILURE_WINDOW: Duration = Duration::from_millis(1_000);

/// Number of samples that count towards the failure ratio at any age up to [`SAMPLE_LIFE`].
const FAILURE_SAMPLES: u32 = 8;

/// Age after which a sample says nothing about the endpoint any more.
const SAMPLE_LIFE: Duration = Duration::from_secs(8);

/// Time after a reduction from which samples show its effect: digests reach the instances within
/// 0.5 s, and their next reports take up to 0.5 s.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Excess over the group's best endpoint above which the load is reduced.
const REDUCE_EXCESS: f64 = 1.7;

/// Excess below which the load is raised again.
const RAISE_EXCESS: f64 = 1.3;

/// Factor of a reduction of an endpoint that is busier than others. Load that is moved at once in
/// proportion to the times in a queue comes back from the next endpoint.
const BUSY_REDUCTION: f64 = 0.85;

/// Admitted fraction above which a reduction is the first one.
const FIRST_ADMITTED: f64 = 0.8;

/// Lowest factor of one reduction. With lower ones, the load that is moved at once fills the other
/// endpoints of a group at two thirds of its capacity, and the load swings.
const LARGEST_REDUCTION: f64 = 0.5;

/// Admitted fraction below which an endpoint counts as slow.
const SLOW_ADMITTED: f64 = 0.5;

/// Admitted fraction from which a slow endpoint counts as recovered.
const RECOVERED_ADMITTED: f64 = 0.95;

/// Time after a recovery for which reads are still sent to the endpoint on purpose,
/// because instances prefer endpoints to which they are connected.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Increase of the admitted fraction per second. From the lowest fraction the full load is back
/// after 5 s, and within the delay of the observations it rises by a quarter only.
const RAISE_PER_S: f64 = 0.2;

/// Increase per second while nothing is observed.
const IDLE_RAISE_PER_S: f64 = 0.05;

/// Time without samples after which the endpoint counts as not observed.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Lowest admitted fraction.
const MIN_ADMITTED: f64 = 0.03;

/// Time constant of the smoothed number of samples per second.
const RATE_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct TimedSample {
    at: MonotonicTime,
    kind: WorkKind,
    took_ms: Option<f32>,
}

/// How many times more a statement costs on an endpoint than on the best one of its group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadExcess {
    /// The factor by which the endpoint itself is slower, or worse by its failures.
    pub own: f64,
    /// The factor with the time in the endpoint's queue.
    pub queued: f64,
    /// Whether failures contribute to it.
    pub is_failing: bool,
    /// The even share of its group's load, relative to the load of this endpoint.
    pub even_part: f64,
}

/// The recent statements of one endpoint, and the fraction of its load that it gets.
#[derive(Debug, Clone)]
pub struct PaceRecord {
    samples: VecDeque<TimedSample>,
    uncounted: u32,
    rate_per_s: f64,
    admitted: f64,
    judged_from: MonotonicTime,
    /// Whether the last excess called for a reduction. Only a second one reduces the load: when all
    /// endpoints become slow or recover, the first one to show it differs from the others briefly.
    was_excessive: bool,
    is_slow: bool,
    recovered_at: Option<MonotonicTime>,
}

impl Default for PaceRecord {
    fn default() -> Self {
        Self::with_admitted(1.0)
    }
}

impl PaceRecord {
    /// Creates the record of an endpoint that gets a fraction of its load.
    pub fn with_admitted(admitted: f64) -> Self {
        Self {
            samples: VecDeque::new(),
            uncounted: 0,
            rate_per_s: 0.0,
            admitted,
            judged_from: MonotonicTime::default(),
            was_excessive: false,
            is_slow: admitted < SLOW_ADMITTED,
            recovered_at: None,
        }
    }

    /// Records the time of a statement, or `None` if it failed.
    pub fn record(&mut self, kind: WorkKind, took_ms: Option<f32>, at: MonotonicTime) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(TimedSample { at, kind, took_ms });
        self.uncounted += 1;
    }

    /// Returns the fraction of its load that the endpoint gets.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Returns the smoothed number of samples per second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Updates the smoothed number of samples per second after `elapsed`.
    pub fn update_rate(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64().max(0.001);
        let rate = f64::from(std::mem::take(&mut self.uncounted)) / elapsed;
        let weight = 1.0 - (-elapsed / RATE_TIME.as_secs_f64()).exp();
        self.rate_per_s += weight * (rate - self.rate_per_s);
    }

    /// Returns the pace of the answered statements, given that of each, or `None` if there are too
    /// few.
    pub fn pace(
        &self,
        now: MonotonicTime,
        pace_of: impl Fn(WorkKind, f32) -> f32,
    ) -> Option<ObservedPace> {
        let answered = self.judged(now).filter_map(|sample| {
            let took_ms = sample.took_ms?;
            Some((sample.at, pace_of(sample.kind, took_ms)))
        });
        let paces: Vec<f32> = answered
            .enumerate()
            .take_while(|(index, (at, _))| {
                *index < MIN_SAMPLES || now.saturating_since(*at) <= PACE_WINDOW
            })
            .map(|(_, (_, pace))| pace)
            .collect();
        if paces.len() < MIN_SAMPLES {
            return None;
        }
        Some(ObservedPace::of(&paces))
    }

    /// Returns how many of the recent statements failed.
    pub fn failures(&self, now: MonotonicTime) -> FailureCount {
        let mut count = FailureCount::default();
        for sample in self.judged(now) {
            let is_old = now.saturating_since(sample.at) > FAILURE_WINDOW;
            if is_old && count.total >= FAILURE_SAMPLES {
                break;
            }
            count.total += 1;
            count.failed += u32::from(sample.took_ms.is_none());
        }
        count
    }

    /// Returns the samples that are judged, newest first.
    fn judged(&self, now: MonotonicTime) -> impl Iterator<Item = &TimedSample> {
        let oldest = (now - SAMPLE_LIFE).max(self.judged_from);
        let samples = self.samples.iter().rev();
        samples.take_while(move |sample| sample.at >= oldest)
    }

    /// Adapts the admitted fraction to the endpoint's excess over the best one of its group, which
    /// is `None` if there are too few samples.
    pub fn adapt(&mut self, excess: Option<LoadExcess>, elapsed: Duration, now: MonotonicTime) {
        let elapsed = elapsed.as_secs_f64();
        let is_excessive =
            excess.is_some_and(|excess| excess.own.max(excess.queued) > REDUCE_EXCESS);
        let was_excessive = std::mem::replace(&mut self.was_excessive, is_excessive);
        match excess {
            Some(excess) if is_excessive && was_excessive => {
                // An endpoint with more than its even share of the load is first brought back to it.
                let is_crowded =
                    self.admitted > FIRST_ADMITTED && excess.even_part < 1.0 && !excess.is_failing;
                let factor = match excess.own > REDUCE_EXCESS {
                    true if is_crowded => excess.even_part.clamp(LARGEST_REDUCTION, BUSY_REDUCTION),
                    true => (1.0 / excess.own).max(LARGEST_REDUCTION),
                    false => BUSY_REDUCTION,
                };
                self.admitted = (self.admitted * factor).max(MIN_ADMITTED);
                if self.admitted > MIN_ADMITTED {
                    self.judged_from = now + SETTLE_TIME;
                }
            }
            Some(excess) if excess.own.max(excess.queued) < RAISE_EXCESS => {
                self.raise(RAISE_PER_S * elapsed);
            }
            Some(_) => {}
            None if self.is_idle(now) => self.raise(IDLE_RAISE_PER_S * elapsed),
            None => {}
        }
    }

    /// Multiplies the admitted fraction by a factor.
    pub fn scale(&mut self, factor: f64, now: MonotonicTime) {
        self.admitted = (self.admitted * factor).clamp(MIN_ADMITTED, 1.0);
        if self.admitted < SLOW_ADMITTED {
            self.is_slow = true;
        } else if self.is_slow && self.admitted >= RECOVERED_ADMITTED {
            self.is_slow = false;
            self.recovered_at = Some(now);
        }
    }

    /// Returns whether the endpoint is slow or failing, or has not recovered yet.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns whether the endpoint recovered recently.
    pub fn is_returning(&self, now: MonotonicTime) -> bool {
        self.recovered_at
            .is_some_and(|at| now.saturating_since(at) < RETURN_TIME)
    }

    fn raise(&mut self, step: f64) {
        self.admitted = (self.admitted + step).min(1.0);
    }

    fn is_idle(&self, now: MonotonicTime) -> bool {
        let newest = self.samples.back();
        newest.is_none_or(|sample| now.saturating_since(sample.at) > IDLE_TIME)
    }
}
