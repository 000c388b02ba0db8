//! The least log position that a session's reads must see, and how a session without a token
//! obtains one.

use crate::process::timers::MonotonicTime;
use crate::request::log_point::LogPoint;
use crate::request::refusal::RequestRefusal;

/// The floor of one session; it never decreases.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SessionFloor {
    point: Option<LogPoint>,
}

impl SessionFloor {
    /// Returns the floor, or `None` if the session has none yet and must query the group.
    pub fn point(self) -> Option<LogPoint> {
        self.point
    }

    /// Raises the floor to a confirmed point, a caller's token or the result of a round of queries.
    ///
    /// Must not be called with points that a replica reports, because they may be unconfirmed.
    pub fn raise(&mut self, point: LogPoint) {
        self.point = Some(self.point.map_or(point, |floor| floor.max(point)));
    }

    /// Returns whether an endpoint that holds `point` may serve a read of this session.
    pub fn allows(self, point: LogPoint) -> bool {
        self.point.is_some_and(|floor| point >= floor)
    }
}

/// Identifies one waiter of [`FloorWaiters`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FloorId(pub u64);

/// The result of one wait for a floor.
pub type FloorOutcome = (FloorId, Result<LogPoint, RequestRefusal>);

#[derive(Debug, Clone, Copy)]
struct FloorWaiter {
    id: FloorId,
    joined_at: MonotonicTime,
    deadline: MonotonicTime,
}

/// Sessions that wait for the highest point that a majority of a group reports.
///
/// A report counts for a session only if it was requested after the session joined, so one round
/// of queries serves every session that joined before the round was sent.
#[derive(Debug, Clone, Default)]
pub struct FloorWaiters {
    waiters: Vec<FloorWaiter>,
    next_id: u64,
}

impl FloorWaiters {
    /// Adds a session that starts to wait at `now` and fails at `deadline`.
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

    /// Removes a session that has ended.
    pub fn cancel(&mut self, id: FloorId) {
        self.waiters.retain(|waiter| waiter.id != id);
    }

    /// Returns when the last waiting session joined; a report requested at or after that time
    /// serves all of them.
    pub fn last_joined_at(&self) -> Option<MonotonicTime> {
        self.waiters.iter().map(|waiter| waiter.joined_at).max()
    }

    /// Ends the waits that have enough reports or have passed their deadline.
    ///
    /// `reports` holds the time of the request and the reported point of each endpoint.
    pub fn complete_waits(
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
