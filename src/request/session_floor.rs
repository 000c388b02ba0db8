//! The point below which a session must not read, and how a session without a token gets one.

use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogPoint;
use crate::request::refusal::RequestRefusal;

/// The floor of one session; it only rises.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SessionFloor {
    point: Option<LogPoint>,
}

impl SessionFloor {
    /// Returns the floor, or `None` where the session has none yet and must ask the group.
    pub fn point(self) -> Option<LogPoint> {
        self.point
    }

    /// Raises the floor to a confirmed point, a caller's token or the result of a round.
    ///
    /// Points that a replica reports never come here: they may not be confirmed.
    pub fn raise(&mut self, point: LogPoint) {
        self.point = Some(self.point.map_or(point, |floor| floor.max(point)));
    }

    /// Whether an endpoint that holds `point` may serve a read of this session.
    pub fn allows(self, point: LogPoint) -> bool {
        self.point.is_some_and(|floor| point >= floor)
    }
}

/// Identifies one waiter of [`FloorWaiters`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FloorId(pub u64);

/// The end of one wait for a floor.
pub type FloorOutcome = (FloorId, Result<LogPoint, RequestRefusal>);

#[derive(Debug, Clone, Copy)]
struct FloorWaiter {
    id: FloorId,
    joined_at: MonotonicTime,
    deadline: MonotonicTime,
}

/// Sessions that wait for the highest point of a majority of a group.
///
/// Only reports that were asked for after a session joined count for it, so one round of queries
/// serves all that joined before it was sent.
#[derive(Debug, Clone, Default)]
pub struct FloorWaiters {
    waiters: Vec<FloorWaiter>,
    next_id: u64,
}

impl FloorWaiters {
    /// Adds a session that started by now.
    pub fn join(&mut self, now: MonotonicTime, deadline: MonotonicTime) -> FloorId {
        self.next_id += 1;
        let id = FloorId(self.next_id);
        self.waiters.push(FloorWaiter {
            id,
            joined_at: now,
            deadline,
        });
        id
    }

    /// Removes a session that is gone.
    pub fn cancel(&mut self, id: FloorId) {
        self.waiters.retain(|waiter| waiter.id != id);
    }

    /// Returns when the last of the waiting sessions joined; a report asked for from then on
    /// serves them all.
    pub fn wanted_since(&self) -> Option<MonotonicTime> {
        self.waiters.iter().map(|waiter| waiter.joined_at).max()
    }

    /// Ends the waits that the reports decide, given as (asked at, point) of each endpoint.
    pub fn settle(
        &mut self,
        reports: &[(MonotonicTime, LogPoint)],
        majority: usize,
        now: MonotonicTime,
    ) -> Vec<FloorOutcome> {
        let mut ended = Vec::new();
        self.waiters.retain(|waiter| {
            let points = reports
                .iter()
                .filter(|(requested_at, _)| *requested_at >= waiter.joined_at)
                .map(|&(_, point)| point);
            if points.clone().count() >= majority {
                ended.push((waiter.id, Ok(points.max().unwrap_or_default())));
                false
            } else if waiter.deadline <= now {
                ended.push((waiter.id, Err(RequestRefusal::NoEndpoint)));
                false
            } else {
                true
            }
        });
        ended
    }
}
