//! Limits the number of statements that an instance runs on an endpoint at once.
//!
//! An endpoint's slots serve the whole fleet. Each instance lowers its limit while answers take
//! longer than the target latency, and raises it while the limit is reached and answers are within
//! the target. Requests then wait at the instance, where they are ordered by priority and can be
//! refused in time, and the queue at the endpoint stays short.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::admission_queue::AdmissionPace;
use crate::admission_queue::AdmissionQueue;
use crate::admission_queue::AdmissionRequest;
use crate::monotonic_time::MonotonicTime;
use crate::pace_sample::WorkKind;

/// Maximum number of statements that an instance runs at once on a new endpoint.
const MAX_INITIAL_LIMIT: f64 = 3.0;

/// Sum of the initial limits of all instances, in statements per slot of an endpoint.
const INITIAL_STATEMENTS_PER_SLOT: f64 = 8.0;

/// Minimum limit. With a limit below one, each statement is followed by a pause in which other
/// instances use the endpoint, and the limit is the fraction of time in which a statement runs.
const MIN_LIMIT: f64 = 0.02;

/// Maximum limit; no endpoint in use has more slots.
const MAX_LIMIT: f64 = 12.0;

/// Maximum pause between statements. It is below the usual request timeout of callers, about one
/// second.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Factor applied to the limit when the smoothed latency exceeds the target.
const DECREASE_FACTOR: f64 = 0.96;

/// Factor applied to the limit when the endpoint's queue is full.
const QUEUE_FULL_FACTOR: f64 = 0.7;

/// Factor applied instead of [`QUEUE_FULL_FACTOR`] to a limit of at most one, when answers are too
/// rare for small steps.
const LOW_LIMIT_QUEUE_FULL_FACTOR: f64 = 0.4;

/// Added to the limit for an answer within the target while the limit is reached.
const INCREASE_STEP: f64 = 0.1;

/// Factor applied for an answer within the target to a limit below one.
const LOW_LIMIT_INCREASE_FACTOR: f64 = 1.3;

/// Time in which a limit below one doubles without any answers. An instance that shares an endpoint
/// with a hundred others gets an answer only every few seconds, so raising the limit by answers
/// alone, of which it would need about ten, takes too long.
const DOUBLING_TIME: Duration = Duration::from_millis(500);

/// Latency in milliseconds that is assumed before the first answer, handshake included.
const INITIAL_LATENCY_MS: f64 = 30.0;

/// Weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// A place in the queue, ordered by priority, 0 first, and then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    priority: u8,
    number: u64,
}

/// The limiter of one endpoint.
#[derive(Debug, Clone)]
pub struct StatementLimiter {
    limit: f64,
    running: usize,
    waiting: BTreeSet<QueueTicket>,
    /// Queue that is fair between teams and refuses early; used in place of `waiting` if present.
    admission: Option<AdmissionQueue>,
    next_number: u64,
    latency_ms: f64,
    paused_until: MonotonicTime,
    /// Time up to which the limit has been raised for elapsed time.
    increased_at: Option<MonotonicTime>,
}

impl StatementLimiter {
    /// Creates the limiter of an endpoint whose slots are shared by `instances`.
    pub fn new(slots: u32, instances: usize) -> Self {
        let even = f64::from(slots) * INITIAL_STATEMENTS_PER_SLOT / instances.max(1) as f64;
        Self {
            limit: even.clamp(MIN_LIMIT, MAX_INITIAL_LIMIT),
            running: 0,
            waiting: BTreeSet::new(),
            admission: None,
            next_number: 0,
            latency_ms: INITIAL_LATENCY_MS,
            paused_until: MonotonicTime::default(),
            increased_at: None,
        }
    }

    /// Makes the queue fair between teams, and lets it refuse requests that would wait too long.
    #[must_use]
    pub fn with_admission(mut self) -> Self {
        self.admission = Some(AdmissionQueue::default());
        self
    }

    /// Adds a request to the queue. Returns `None` if it cannot be expected to start within its
    /// waiting time.
    pub fn offer(&mut self, request: &AdmissionRequest, now: MonotonicTime) -> Option<QueueTicket> {
        let pace = self.admission_pace(now);
        match &mut self.admission {
            Some(queue) => Some(QueueTicket {
                priority: request.priority,
                number: queue.enqueue(request, pace, now)?,
            }),
            None => Some(self.enqueue(request.priority)),
        }
    }

    /// Returns whether a queued request cannot be expected to start in time any more.
    pub fn is_hopeless(&mut self, ticket: QueueTicket, now: MonotonicTime) -> bool {
        let pace = self.admission_pace(now);
        let queue = self.admission.as_mut();
        queue.is_some_and(|queue| queue.is_hopeless(ticket.number, pace, now))
    }

    /// Records the time for which a statement of the queue occupied the limiter.
    pub fn record_work(&mut self, kind: WorkKind, held: Duration, now: MonotonicTime) {
        if let Some(queue) = &mut self.admission {
            queue.record_work(kind, held, now);
        }
    }

    fn admission_pace(&self, now: MonotonicTime) -> AdmissionPace {
        AdmissionPace {
            limit: self.limit,
            has_capacity: self.has_capacity(now),
            pause: self.pause(now),
        }
    }

    /// Returns the number of statements that may run at once; below one, the fraction of the time in
    /// which one may run.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Adds a request to the queue; priority 0 is served first.
    pub fn enqueue(&mut self, priority: u8) -> QueueTicket {
        let ticket = QueueTicket {
            priority,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(ticket);
        ticket
    }

    /// Starts the statement of a queued request if there is capacity and the request is the first
    /// in the queue. Returns whether it started.
    pub fn try_acquire(&mut self, ticket: QueueTicket, now: MonotonicTime) -> bool {
        let is_first = match &self.admission {
            Some(queue) => queue.first() == Some(ticket.number),
            None => self.waiting.first() == Some(&ticket),
        };
        let allowed = self.has_capacity(now) && is_first;
        if allowed {
            match &mut self.admission {
                Some(queue) => queue.start(ticket.number),
                None => {
                    self.waiting.remove(&ticket);
                }
            }
            self.running += 1;
        }
        allowed
    }

    /// Returns the remaining pause after the last statement.
    pub fn pause(&self, now: MonotonicTime) -> Duration {
        self.paused_until.saturating_since(now)
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        match &mut self.admission {
            Some(queue) => queue.cancel(ticket.number),
            None => {
                self.waiting.remove(&ticket);
            }
        }
    }

    /// Starts a statement without queueing, for statements inside a transaction.
    pub fn acquire_unqueued(&mut self) {
        self.running += 1;
    }

    /// Records the end of a statement.
    pub fn release(&mut self, now: MonotonicTime) {
        self.running = self.running.saturating_sub(1);
        self.start_pause(now);
    }

    /// Starts the pause that a limit below one requires.
    fn start_pause(&mut self, now: MonotonicTime) {
        self.increase_by_time(now);
        if self.limit < 1.0 {
            let pause_ms = self.latency_ms * (1.0 / self.limit - 1.0);
            let pause = Duration::from_secs_f64(pause_ms / 1_000.0);
            self.paused_until = now + pause.min(MAX_PAUSE);
        }
    }

    fn increase_by_time(&mut self, now: MonotonicTime) {
        let since = self.increased_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_since(since).as_secs_f64();
        if self.limit < 1.0 {
            let factor = (elapsed / DOUBLING_TIME.as_secs_f64()).exp2();
            self.limit = (self.limit * factor).min(1.0);
        }
    }

    /// Returns whether one more statement may start now.
    pub fn has_capacity(&self, now: MonotonicTime) -> bool {
        (self.running as f64) < self.limit.floor().max(1.0) && self.pause(now).is_zero()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        let queue = self.admission.as_ref();
        queue.map_or(self.waiting.len(), AdmissionQueue::len)
    }

    /// Adapts the limit to the latency of an answer.
    pub fn record_latency(&mut self, latency: Duration, target: Duration, now: MonotonicTime) {
        self.increase_by_time(now);
        let sample = latency.as_secs_f64() * 1_000.0;
        self.latency_ms += LATENCY_WEIGHT * (sample - self.latency_ms);
        if self.latency_ms > target.as_secs_f64() * 1_000.0 {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if self.limit < 1.0 {
            self.limit *= LOW_LIMIT_INCREASE_FACTOR;
        } else if !self.has_capacity(now) || self.waiting() > 0 {
            self.limit = (self.limit + INCREASE_STEP).min(MAX_LIMIT);
        }
    }

    /// Lowers the limit after the answer that the endpoint's queue is full.
    pub fn back_off(&mut self, now: MonotonicTime) {
        self.increase_by_time(now);
        let factor = match self.limit > 1.0 {
            true => QUEUE_FULL_FACTOR,
            false => LOW_LIMIT_QUEUE_FULL_FACTOR,
        };
        self.limit = (self.limit * factor).max(MIN_LIMIT);
        self.start_pause(now);
    }
}
