//! A simulated limiter of three statements at once, under the load of several streams of requests.

use std::collections::HashMap;
use std::time::Duration;

use session_core::admission_queue::AdmissionRequest;
use session_core::monotonic_time::MonotonicTime;
use session_core::pace_sample::WorkKind;
use session_core::statement_limiter::QueueTicket;
use session_core::statement_limiter::StatementLimiter;

pub const SLOTS: f64 = 3.0;

pub const WAIT: Duration = Duration::from_millis(100);

/// Requests of one team at regular times.
#[derive(Debug, Clone, Copy)]
pub struct RequestStream {
    pub team: &'static str,
    pub priority: u8,
    pub rate_per_s: f64,
    pub work_ms: u64,
}

/// What became of the requests of a stream.
#[derive(Debug, Clone, Default)]
pub struct StreamOutcome {
    pub sent: usize,
    /// Time from the arrival of each served request to its start.
    pub waits_ms: Vec<u64>,
    /// Time from the arrival of each refused request to its refusal.
    pub refusals_ms: Vec<u64>,
}

impl StreamOutcome {
    pub fn served_ratio(&self) -> f64 {
        self.waits_ms.len() as f64 / self.sent as f64
    }
}

struct Waiting {
    stream: usize,
    arrived_ms: u64,
    ticket: QueueTicket,
}

pub fn request(team: &str, priority: u8, work_ms: u64, refusals: u32) -> AdmissionRequest {
    AdmissionRequest {
        team: Some(team.parse().expect("an id")),
        kind: WorkKind(work_ms as u32),
        priority,
        refusals,
        wait: WAIT,
    }
}

pub fn limiter(admits_fairly: bool) -> StatementLimiter {
    let limiter = StatementLimiter::new(4, 1);
    match admits_fairly {
        true => limiter.with_admission(),
        false => limiter,
    }
}

/// Runs the streams for `end_ms` and returns the outcome of each.
pub fn run_streams(
    admits_fairly: bool,
    streams: &[RequestStream],
    end_ms: u64,
) -> Vec<StreamOutcome> {
    let mut limiter = limiter(admits_fairly);
    let mut outcomes = vec![StreamOutcome::default(); streams.len()];
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut ends: HashMap<u64, Vec<u64>> = HashMap::new();
    for now_ms in 0..end_ms {
        let now = MonotonicTime::from_millis(now_ms);
        for work_ms in ends.remove(&now_ms).unwrap_or_default() {
            let held = Duration::from_millis(work_ms);
            limiter.record_work(WorkKind(work_ms as u32), held, now);
            limiter.release(now);
        }
        for (index, stream) in streams.iter().enumerate() {
            let outcome = &mut outcomes[index];
            while (outcome.sent as f64) < stream.rate_per_s * now_ms as f64 / 1_000.0 {
                outcome.sent += 1;
                let request = request(stream.team, stream.priority, stream.work_ms, 0);
                match limiter.offer(&request, now) {
                    Some(ticket) => waiting.push(Waiting {
                        stream: index,
                        arrived_ms: now_ms,
                        ticket,
                    }),
                    None => outcome.refusals_ms.push(0),
                }
            }
        }
        while let Some(index) = waiting
            .iter()
            .position(|request| limiter.try_acquire(request.ticket, now))
        {
            let request = waiting.remove(index);
            let waited_ms = now_ms - request.arrived_ms;
            outcomes[request.stream].waits_ms.push(waited_ms);
            let work_ms = streams[request.stream].work_ms;
            ends.entry(now_ms + work_ms).or_default().push(work_ms);
        }
        waiting.retain(|request| {
            let waited_ms = now_ms - request.arrived_ms;
            let is_over = waited_ms >= WAIT.as_millis() as u64;
            let is_refused = is_over || limiter.is_hopeless(request.ticket, now);
            if is_refused {
                limiter.cancel(request.ticket);
                outcomes[request.stream].refusals_ms.push(waited_ms);
            }
            !is_refused
        });
    }
    outcomes
}
