//! What this instance has seen of an endpoint, and the choice of one for a read.

use std::time::Duration;

use crate::floor_history::FloorHistory;
use crate::floor_history::FloorSample;
use crate::log_point::LogPoint;
use crate::monotonic_time::MonotonicTime;

/// Latency assumed of an endpoint before its first answer.
const FIRST_LATENCY_MS: f64 = 20.0;

/// Weight of a new answer in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Over which time without answers a smoothed latency fades.
const LATENCY_FADE: Duration = Duration::from_millis(1_000);

/// The age at which an observed replication delay is asked for again.
const PROBE_AGE: Duration = Duration::from_millis(300);

/// Latency added for an endpoint of another zone: a round trip, and the price of its bytes.
const OTHER_ZONE_MS: f64 = 8.0;

/// Latency added where a new connection is needed; the handshake takes about this long.
const CONNECT_MS: f64 = 30.0;

/// Replication delay assumed of a replica that did not answer lately.
const ASSUMED_LAG: Duration = Duration::from_millis(400);

/// How long an observed replication delay is believed.
const LAG_LIFE: Duration = Duration::from_secs(2);

/// Added to an observed delay, since it varies from commit to commit.
const LAG_MARGIN: Duration = Duration::from_millis(60);

/// How long an endpoint is passed over after a failed connection.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);

/// How long a replica is passed over for floors after it lacked one.
const LAGGING_PAUSE: Duration = Duration::from_millis(400);

/// How long an endpoint is passed over after its queue was full.
const BUSY_PAUSE: Duration = Duration::from_millis(30);

/// One endpoint as this instance sees it.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// Requests of this instance that wait for it or run on it.
    pub outstanding: u32,
    latency_ms: Option<(MonotonicTime, f64)>,
    last_point: Option<LogPoint>,
    lag: Option<(MonotonicTime, Duration)>,
    failed_until: Option<MonotonicTime>,
    lagging_until: Option<MonotonicTime>,
    busy_until: Option<MonotonicTime>,
}

impl EndpointLoad {
    /// Takes an answer with the point that the endpoint reported behind it.
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

    /// Takes the position that the endpoint reported.
    pub fn record_position(&mut self, point: LogPoint, history: &FloorHistory, now: MonotonicTime) {
        self.last_point = Some(point);
        let behind = history
            .passed_at(point)
            .map_or(Duration::ZERO, |at| now.saturating_since(at));
        self.lag = Some((now, behind));
    }

    /// Takes a connection that could not be opened or broke.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.failed_until = Some(now + FAILURE_PAUSE);
    }

    /// Takes the answer that the log lacks a floor.
    pub fn record_missing_floor(&mut self, now: MonotonicTime) {
        self.lagging_until = Some(now + LAGGING_PAUSE);
    }

    /// Takes the answer that the queue is full.
    pub fn record_busy(&mut self, now: MonotonicTime) {
        self.busy_until = Some(now + BUSY_PAUSE);
    }

    /// Whether a connection failed a moment ago.
    pub fn is_failing(&self, now: MonotonicTime) -> bool {
        self.failed_until.is_some_and(|until| now < until)
    }

    /// Whether the endpoint is expected to have applied the floor by now.
    pub fn holds(&self, floor: &FloorSample, now: MonotonicTime) -> bool {
        if self.last_point.is_some_and(|point| point >= floor.point) {
            return true;
        }
        if self.lagging_until.is_some_and(|until| now < until) {
            return false;
        }
        let age = now.saturating_since(floor.requested_at);
        let lag = match self.lag {
            Some((at, lag)) if now.saturating_since(at) < LAG_LIFE => lag + LAG_MARGIN,
            _ => ASSUMED_LAG,
        };
        age > lag
    }

    /// Returns the smoothed latency, which fades towards the first assumption without answers, so
    /// that an endpoint is tried again after it was slow.
    fn expected_latency_ms(&self, now: MonotonicTime) -> f64 {
        self.latency_ms.map_or(FIRST_LATENCY_MS, |(at, smoothed)| {
            let age = now.saturating_since(at).as_secs_f64();
            let faded = (-age / LATENCY_FADE.as_secs_f64()).exp();
            FIRST_LATENCY_MS + (smoothed - FIRST_LATENCY_MS) * faded
        })
    }

    /// Whether the replication delay should be asked for, since a request was kept away by it.
    pub fn wants_probe(&self, now: MonotonicTime) -> bool {
        self.lag
            .is_some_and(|(at, _)| now.saturating_since(at) >= PROBE_AGE)
    }

    /// Returns the expected time of one more request, in milliseconds.
    pub fn cost_ms(&self, same_zone: bool, connected: bool, now: MonotonicTime) -> f64 {
        let latency = self.expected_latency_ms(now);
        let mut cost = latency * f64::from(self.outstanding + 1);
        if !same_zone {
            cost += OTHER_ZONE_MS;
        }
        if !connected {
            cost += CONNECT_MS;
        }
        if self.busy_until.is_some_and(|until| now < until) {
            cost += 4.0 * latency;
        }
        cost
    }
}
