//! Tracks the latency, replication delay and failures of an endpoint, from which its cost for a
//! read is estimated.

use std::time::Duration;

use crate::floor_history::FloorHistory;
use crate::floor_history::FloorSample;
use crate::log_point::LogPoint;
use crate::monotonic_time::MonotonicTime;

/// Latency in milliseconds that is assumed of an endpoint before its first answer.
const INITIAL_LATENCY_MS: f64 = 20.0;

/// Weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Time constant with which the smoothed latency decays while no answers arrive.
const LATENCY_DECAY_TIME: Duration = Duration::from_millis(1_000);

/// Age at which an observed replication delay is queried again.
const PROBE_AGE: Duration = Duration::from_millis(300);

/// Cost in milliseconds added for an endpoint of another zone: a round trip and the price of the
/// transferred bytes.
const CROSS_ZONE_COST_MS: f64 = 8.0;

/// Cost in milliseconds added if a new connection is needed; the handshake takes about this long.
const CONNECT_COST_MS: f64 = 30.0;

/// Replication delay assumed of a replica without a recent observation.
const ASSUMED_LAG: Duration = Duration::from_millis(400);

/// Replication delay assumed of a replica that was never observed. It is short because all known
/// floors are young after a restart, and reads that no replica may serve crowd the primary. A
/// replica that lacks the floor says so without running the read.
const INITIAL_LAG: Duration = Duration::from_millis(60);

/// How long an observed replication delay is used.
const LAG_LIFE: Duration = Duration::from_secs(2);

/// Margin added to an observed replication delay, which varies from commit to commit.
const LAG_MARGIN: Duration = Duration::from_millis(60);

/// How long an endpoint counts as failing after a failed connection.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);

/// How long a replica is assumed to lack floors that it has not reported, after it lacked one.
const LAGGING_PAUSE: Duration = Duration::from_millis(400);

/// How long the cost of an endpoint is raised after its queue was full.
const BUSY_PAUSE: Duration = Duration::from_millis(30);

/// What this instance has observed of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// Number of requests of this instance that wait for the endpoint or run on it.
    pub outstanding: u32,
    latency_ms: Option<(MonotonicTime, f64)>,
    last_point: Option<LogPoint>,
    lag: Option<(MonotonicTime, Duration)>,
    failed_until: Option<MonotonicTime>,
    lagging_until: Option<MonotonicTime>,
    busy_until: Option<MonotonicTime>,
}

impl EndpointLoad {
    /// Records an answer and the log point that the endpoint reported with it.
    pub fn record_answer(
        &mut self,
        latency: Duration,
        point: Option<LogPoint>,
        history: &FloorHistory,
        now: MonotonicTime,
    ) {
        let sample = latency.as_secs_f64() * 1_000.0;
        let smoothed = self.latency_ms.map_or(sample, |(_, smoothed)| smoothed);
        self.latency_ms = Some((now, smoothed + LATENCY_WEIGHT * (sample - smoothed)));
        self.failed_until = None;
        if let Some(point) = point {
            self.record_position(point, history, now);
        }
    }

    /// Records a log point that the endpoint reported, and the replication delay that follows from
    /// it.
    pub fn record_position(&mut self, point: LogPoint, history: &FloorHistory, now: MonotonicTime) {
        self.last_point = Some(point);
        let lag = history
            .passed_at(point)
            .map_or(Duration::ZERO, |at| now.saturating_since(at));
        self.lag = Some((now, lag));
    }

    /// Records a connection that could not be opened or broke.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.failed_until = Some(now + FAILURE_PAUSE);
    }

    /// Records the answer that the endpoint's log has not reached a floor.
    pub fn record_missing_floor(&mut self, now: MonotonicTime) {
        self.lagging_until = Some(now + LAGGING_PAUSE);
    }

    /// Records the answer that the endpoint's queue is full.
    pub fn record_busy(&mut self, now: MonotonicTime) {
        self.busy_until = Some(now + BUSY_PAUSE);
    }

    /// Returns whether a connection failed recently and no answer has come since.
    pub fn is_failing(&self, now: MonotonicTime) -> bool {
        self.failed_until.is_some_and(|until| now < until)
    }

    /// Returns whether the endpoint is expected to have reached the floor by now.
    pub fn has_reached(&self, floor: &FloorSample, now: MonotonicTime) -> bool {
        if self.last_point.is_some_and(|point| point >= floor.point) {
            return true;
        }
        if self.lagging_until.is_some_and(|until| now < until) {
            return false;
        }
        let age = now.saturating_since(floor.requested_at);
        let lag = match self.lag {
            Some((at, lag)) if now.saturating_since(at) < LAG_LIFE => lag + LAG_MARGIN,
            Some(_) => ASSUMED_LAG,
            None => INITIAL_LAG,
        };
        age > lag
    }

    /// Returns whether the endpoint has reached the floor for certain, so that a read at this floor
    /// does not wait there for its log.
    pub fn has_passed(&self, floor: &FloorSample, now: MonotonicTime) -> bool {
        if self.last_point.is_some_and(|point| point >= floor.point) {
            return true;
        }
        let lag = match self.lag {
            Some((at, lag)) if now.saturating_since(at) < LAG_LIFE => lag + LAG_MARGIN,
            _ => Duration::ZERO,
        };
        now.saturating_since(floor.requested_at) > lag.max(ASSUMED_LAG)
    }

    /// Returns the smoothed latency in milliseconds. Without answers it decays towards the initial
    /// assumption, so that an endpoint is tried again after it was slow.
    fn expected_latency_ms(&self, now: MonotonicTime) -> f64 {
        self.latency_ms
            .map_or(INITIAL_LATENCY_MS, |(at, smoothed)| {
                let age = now.saturating_since(at).as_secs_f64();
                let decay = (-age / LATENCY_DECAY_TIME.as_secs_f64()).exp();
                INITIAL_LATENCY_MS + (smoothed - INITIAL_LATENCY_MS) * decay
            })
    }

    /// Returns whether the observed replication delay is old enough to be queried again, for an
    /// endpoint that a request did not use because of it.
    pub fn is_probe_due(&self, now: MonotonicTime) -> bool {
        self.lag
            .is_some_and(|(at, _)| now.saturating_since(at) >= PROBE_AGE)
    }

    /// Returns the expected cost of one more request, in milliseconds.
    pub fn cost_ms(&self, same_zone: bool, connected: bool, now: MonotonicTime) -> f64 {
        self.cost_at(self.expected_latency_ms(now), same_zone, connected, now)
    }

    /// Returns the expected cost of one more request in milliseconds if the endpoint's latency is
    /// accounted for by the zone's digest: an instance's own few answers are of work of different
    /// length, and would keep it from an endpoint that has recovered.
    pub fn paced_cost_ms(&self, same_zone: bool, connected: bool, now: MonotonicTime) -> f64 {
        self.cost_at(INITIAL_LATENCY_MS, same_zone, connected, now)
    }

    fn cost_at(&self, latency: f64, same_zone: bool, connected: bool, now: MonotonicTime) -> f64 {
        let mut cost = latency * f64::from(self.outstanding + 1);
        if !same_zone {
            cost += CROSS_ZONE_COST_MS;
        }
        if !connected {
            cost += CONNECT_COST_MS;
        }
        if self.busy_until.is_some_and(|until| now < until) {
            cost += 4.0 * latency;
        }
        cost
    }
}
