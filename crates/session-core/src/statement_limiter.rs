//! Bounds how many statements an instance runs on an endpoint at once.
//!
//! An endpoint's slots serve the whole fleet. Each instance lowers its bound while answers take
//! longer than the target and raises it while the bound is reached, so that requests wait where
//! they can be ranked and refused in time, and the queue at the endpoint stays short.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::monotonic_time::MonotonicTime;

/// The highest bound at the start.
const FIRST_BOUND: f64 = 3.0;

/// Statements for each slot of an endpoint that all instances together begin with.
const FIRST_FACTOR: f64 = 8.0;

/// The lowest bound. Below one, a statement is followed by a pause in which others have the
/// endpoint, so that the bound is the part of the time in which a statement runs.
const LOWEST_BOUND: f64 = 0.02;

/// The highest bound; no endpoint has more slots today.
const HIGHEST_BOUND: f64 = 12.0;

/// The longest pause between statements; a caller's request is over in about a second.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Factor of the bound for an answer above the target.
const NARROW_FACTOR: f64 = 0.96;

/// Factor of the bound for a full queue at the endpoint.
const FULL_FACTOR: f64 = 0.7;

/// That factor while the bound is below one, where answers are too rare for small steps.
const SCARCE_FULL_FACTOR: f64 = 0.4;

/// Added to the bound for an answer within the target while the bound is reached.
const WIDEN_STEP: f64 = 0.1;

/// Factor of the bound for an answer within the target while the bound is below one.
const WIDEN_FACTOR: f64 = 1.3;

/// In which time a bound below one doubles by itself: instances that share an endpoint with a
/// hundred others get an answer every few seconds, and cannot wait for ten of them.
const DOUBLING_TIME: Duration = Duration::from_millis(500);

/// Latency assumed before the first answer, a handshake included.
const FIRST_LATENCY_MS: f64 = 30.0;

/// Weight of a new answer in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// The rank of a waiting request: its priority, 0 first, then the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket {
    priority: u8,
    number: u64,
}

/// The limiter of one endpoint.
#[derive(Debug, Clone)]
pub struct StatementLimiter {
    bound: f64,
    running: usize,
    waiting: BTreeSet<QueueTicket>,
    next_number: u64,
    latency_ms: f64,
    rests_until: MonotonicTime,
    /// Up to when the bound has widened by itself.
    widened_at: Option<MonotonicTime>,
}

impl StatementLimiter {
    /// Creates the limiter of an endpoint with the given slots, which the instances share.
    pub fn new(slots: u32, instances: usize) -> Self {
        let even = f64::from(slots) * FIRST_FACTOR / instances.max(1) as f64;
        Self {
            bound: even.clamp(LOWEST_BOUND, FIRST_BOUND),
            running: 0,
            waiting: BTreeSet::new(),
            next_number: 0,
            latency_ms: FIRST_LATENCY_MS,
            rests_until: MonotonicTime::default(),
            widened_at: None,
        }
    }

    /// Joins the queue.
    pub fn enqueue(&mut self, priority: u8) -> QueueTicket {
        let ticket = QueueTicket {
            priority,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(ticket);
        ticket
    }

    /// Enters where there is room and nobody goes first.
    pub fn try_acquire(&mut self, ticket: QueueTicket, now: MonotonicTime) -> bool {
        let may = self.has_capacity(now) && self.waiting.first() == Some(&ticket);
        if may {
            self.waiting.remove(&ticket);
            self.running += 1;
        }
        may
    }

    /// Returns the rest of the pause after the last statement.
    pub fn pause(&self, now: MonotonicTime) -> Duration {
        self.rests_until.saturating_since(now)
    }

    /// Leaves the queue.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        self.waiting.remove(&ticket);
    }

    /// Enters without waiting, as a statement inside a transaction does.
    pub fn acquire_unqueued(&mut self) {
        self.running += 1;
    }

    /// Ends a statement.
    pub fn release(&mut self, now: MonotonicTime) {
        self.running = self.running.saturating_sub(1);
        self.rest(now);
    }

    /// Pauses as long as the bound asks for.
    fn rest(&mut self, now: MonotonicTime) {
        self.widen_by_time(now);
        if self.bound < 1.0 {
            let rest_ms = self.latency_ms * (1.0 / self.bound - 1.0);
            let rest = Duration::from_secs_f64(rest_ms / 1_000.0);
            self.rests_until = now + rest.min(LONGEST_PAUSE);
        }
    }

    fn widen_by_time(&mut self, now: MonotonicTime) {
        let since = self.widened_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_since(since).as_secs_f64();
        if self.bound < 1.0 {
            let factor = (elapsed / DOUBLING_TIME.as_secs_f64()).exp2();
            self.bound = (self.bound * factor).min(1.0);
        }
    }

    /// Whether one more statement may run.
    pub fn has_capacity(&self, now: MonotonicTime) -> bool {
        (self.running as f64) < self.bound.floor().max(1.0) && self.pause(now).is_zero()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the latency of an answer.
    pub fn record_latency(&mut self, latency: Duration, target: Duration, now: MonotonicTime) {
        self.widen_by_time(now);
        let sample = latency.as_secs_f64() * 1_000.0;
        self.latency_ms += LATENCY_WEIGHT * (sample - self.latency_ms);
        if self.latency_ms > target.as_secs_f64() * 1_000.0 {
            self.bound = (self.bound * NARROW_FACTOR).max(LOWEST_BOUND);
        } else if self.bound < 1.0 {
            self.bound *= WIDEN_FACTOR;
        } else if !self.has_capacity(now) || !self.waiting.is_empty() {
            self.bound = (self.bound + WIDEN_STEP).min(HIGHEST_BOUND);
        }
    }

    /// Takes the answer that the endpoint's queue is full.
    pub fn back_off(&mut self, now: MonotonicTime) {
        self.widen_by_time(now);
        let factor = match self.bound > 1.0 {
            true => FULL_FACTOR,
            false => SCARCE_FULL_FACTOR,
        };
        self.bound = (self.bound * factor).max(LOWEST_BOUND);
        self.rest(now);
    }
}
