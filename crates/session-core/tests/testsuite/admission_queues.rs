//! Guards against teams and priorities that crowd others out of an endpoint's queue, and against
//! requests that wait in vain.

use std::time::Duration;

use session_core::monotonic_time::MonotonicTime;
use session_core::pace_sample::WorkKind;
use session_core::statement_limiter::StatementLimiter;

use crate::loaded_limiter;
use crate::loaded_limiter::RequestStream;
use crate::loaded_limiter::SLOTS;
use crate::loaded_limiter::StreamOutcome;
use crate::loaded_limiter::WAIT;
use crate::loaded_limiter::run_streams;

const END_MS: u64 = 5_000;

fn stream(team: &'static str, priority: u8, rate_per_s: f64, work_ms: u64) -> RequestStream {
    RequestStream {
        team,
        priority,
        rate_per_s,
        work_ms,
    }
}

/// Returns the average number of slots that a stream used.
fn slots_used(outcome: &StreamOutcome, work_ms: u64) -> f64 {
    outcome.waits_ms.len() as f64 * work_ms as f64 / END_MS as f64
}

fn mean_ms(times_ms: &[u64]) -> f64 {
    times_ms.iter().sum::<u64>() as f64 / times_ms.len().max(1) as f64
}

/// A team that sends four times what the endpoint can run must not take the place of a small team,
/// as it does in the queue by arrival, nor leave the endpoint idle.
#[test]
fn crowding_team_leaves_room() {
    let streams = [stream("crowd", 1, 600.0, 20), stream("small", 1, 30.0, 20)];
    let by_arrival = run_streams(false, &streams, END_MS);
    assert!(
        by_arrival[1].served_ratio() < 0.5,
        "{}",
        by_arrival[1].served_ratio()
    );
    let fair = run_streams(true, &streams, END_MS);
    assert!(fair[1].served_ratio() > 0.97, "{}", fair[1].served_ratio());
    assert!(
        mean_ms(&fair[1].waits_ms) < 30.0,
        "{}",
        mean_ms(&fair[1].waits_ms)
    );
    let used = slots_used(&fair[0], 20) + slots_used(&fair[1], 20);
    assert!(used > 0.95 * SLOTS, "{used}");
}

/// Short statements must get their part of the time although long ones of another team wait, and
/// the long ones must get what is left.
#[test]
fn long_work_leaves_room() {
    let streams = [stream("long", 1, 60.0, 55), stream("short", 1, 200.0, 5)];
    let outcomes = run_streams(true, &streams, END_MS);
    assert!(
        outcomes[1].served_ratio() > 0.95,
        "{}",
        outcomes[1].served_ratio()
    );
    let used = slots_used(&outcomes[0], 55);
    assert!((1.7..2.1).contains(&used), "{used}");
}

/// Teams that both send too much must get the same time, not the same number of statements.
#[test]
fn teams_share_time() {
    let streams = [stream("long", 1, 100.0, 55), stream("short", 1, 900.0, 5)];
    let outcomes = run_streams(true, &streams, END_MS);
    let used = [slots_used(&outcomes[0], 55), slots_used(&outcomes[1], 5)];
    assert!(
        used.iter().all(|slots| (1.2..1.8).contains(slots)),
        "{used:?}"
    );
}

/// Urgent requests must be served before less urgent ones, which still get a part of the work even
/// if the urgent ones alone are too many.
#[test]
fn urgent_work_goes_first() {
    for (urgent_per_s, least_ratio, least_slots) in [(120.0, 0.97, 0.4), (300.0, 0.4, 0.1)] {
        let streams = [
            stream("urgent", 0, urgent_per_s, 20),
            stream("batch", 2, 100.0, 20),
        ];
        let outcomes = run_streams(true, &streams, END_MS);
        let ratio = outcomes[0].served_ratio();
        assert!(ratio > least_ratio, "{urgent_per_s}: {ratio}");
        let used = slots_used(&outcomes[1], 20);
        assert!(used > least_slots, "{urgent_per_s}: {used}");
    }
}

/// Requests that cannot be served must be refused at once, and none after its waiting time.
#[test]
fn hopeless_requests_are_refused_at_once() {
    let streams = [stream("crowd", 1, 600.0, 20)];
    let outcomes = run_streams(true, &streams, END_MS);
    let refusals_ms = &outcomes[0].refusals_ms;
    let at_once = refusals_ms.iter().filter(|held_ms| **held_ms == 0).count();
    assert!(
        at_once as f64 > 0.95 * refusals_ms.len() as f64,
        "{at_once}"
    );
    let longest_ms = refusals_ms.iter().max().copied().unwrap_or_default();
    assert!(longest_ms <= WAIT.as_millis() as u64, "{longest_ms}");
}

/// Load within what the endpoint can run must not be refused by a wrong estimate.
#[test]
fn served_load_is_not_refused() {
    let streams = [
        stream("a", 0, 40.0, 20),
        stream("b", 1, 40.0, 20),
        stream("c", 2, 15.0, 55),
    ];
    for outcome in run_streams(true, &streams, END_MS) {
        assert!(outcome.refusals_ms.is_empty(), "{outcome:?}");
    }
}

/// Without an answer within the last second the pace is not known, so nothing may be refused by it.
#[test]
fn unknown_pace_refuses_nothing() {
    let now = MonotonicTime::from_millis;
    let mut limiter = loaded_limiter::limiter(true);
    let offer = |limiter: &mut StatementLimiter, at| {
        limiter.offer(&loaded_limiter::request("a", 1, 50, 0), at)
    };
    limiter.record_work(WorkKind(50), Duration::from_millis(50), now(1_000));
    let tickets: Vec<_> = (0..20)
        .filter_map(|_| offer(&mut limiter, now(1_000)))
        .collect();
    assert!(tickets.len() < 12, "{}", tickets.len());
    assert!(offer(&mut limiter, now(2_500)).is_some());
}

/// Of the callers that return after refusals, those with the most must start first.
#[test]
fn most_refused_caller_returns_first() {
    let now = MonotonicTime::from_millis(1_000);
    let mut limiter = loaded_limiter::limiter(true);
    let tickets = [0, 3, 1].map(|refusals| {
        let request = loaded_limiter::request("a", 1, 10, refusals);
        limiter.offer(&request, now).expect("a ticket")
    });
    for index in [1, 2, 0] {
        let started = tickets.map(|ticket| limiter.clone().try_acquire(ticket, now));
        assert_eq!(started.iter().position(|started| *started), Some(index));
        assert!(limiter.try_acquire(tickets[index], now));
    }
}
