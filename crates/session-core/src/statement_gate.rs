//! Bounds how many statements an instance runs on an endpoint at once.
//!
//! An endpoint's slots serve the whole fleet. Each instance lowers its bound while answers take
//! longer than the target and raises it while the bound is reached, so that requests wait where
//! they can be ranked and refused in time, and the queue at the endpoint stays short.

use std::collections::BTreeSet;
use std::time::Duration;

/// The bound at the start.
const FIRST_BOUND: f64 = 3.0;

/// The highest bound; no endpoint has more slots today.
const HIGHEST_BOUND: f64 = 12.0;

/// Factor of the bound for an answer above the target.
const NARROW_FACTOR: f64 = 0.96;

/// Factor of the bound for a full queue at the endpoint.
const FULL_FACTOR: f64 = 0.7;

/// Added to the bound for an answer within the target while the bound is reached.
const WIDEN_STEP: f64 = 0.1;

/// Weight of a new answer in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// The rank of a waiting request: its priority, 0 first, then the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct GateTicket {
    priority: u8,
    number: u64,
}

/// The gate of one endpoint.
#[derive(Debug, Clone)]
pub struct StatementGate {
    bound: f64,
    running: usize,
    waiting: BTreeSet<GateTicket>,
    next_number: u64,
    latency_ms: f64,
}

impl Default for StatementGate {
    fn default() -> Self {
        Self {
            bound: FIRST_BOUND,
            running: 0,
            waiting: BTreeSet::new(),
            next_number: 0,
            latency_ms: 0.0,
        }
    }
}

impl StatementGate {
    /// Joins the queue.
    pub fn join(&mut self, priority: u8) -> GateTicket {
        let ticket = GateTicket {
            priority,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(ticket);
        ticket
    }

    /// Enters where there is room and nobody goes first.
    pub fn try_enter(&mut self, ticket: GateTicket) -> bool {
        let may = self.has_room() && self.waiting.first() == Some(&ticket);
        if may {
            self.waiting.remove(&ticket);
            self.running += 1;
        }
        may
    }

    /// Leaves the queue.
    pub fn forget(&mut self, ticket: GateTicket) {
        self.waiting.remove(&ticket);
    }

    /// Enters without waiting, as a statement inside a transaction does.
    pub fn enter(&mut self) {
        self.running += 1;
    }

    /// Ends a statement.
    pub fn leave(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Whether one more statement may run.
    pub fn has_room(&self) -> bool {
        (self.running as f64) < self.bound.floor()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the latency of an answer.
    pub fn adapt(&mut self, latency: Duration, target: Duration) {
        let sample = latency.as_secs_f64() * 1_000.0;
        self.latency_ms += LATENCY_WEIGHT * (sample - self.latency_ms);
        if self.latency_ms > target.as_secs_f64() * 1_000.0 {
            self.bound = (self.bound * NARROW_FACTOR).max(1.0);
        } else if !self.has_room() || !self.waiting.is_empty() {
            self.bound = (self.bound + WIDEN_STEP).min(HIGHEST_BOUND);
        }
    }

    /// Takes the answer that the endpoint's queue is full.
    pub fn narrow(&mut self) {
        self.bound = (self.bound * FULL_FACTOR).max(1.0);
    }
}
