//! Bounds the commits of a group whose acknowledgements reached callers.
//!
//! Every acknowledgement is passed on by an instance, which knows the log point that came with it. A
//! leader that collects these points from all instances, after they stopped using the primary,
//! knows a point that covers each acknowledged commit, whichever endpoints received it. What an
//! instance that has left passed on is covered by a point that the primary reported afterwards.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::floor_history::FloorSample;
use crate::ids::ServiceId;
use crate::log_point::LogPoint;
use crate::monotonic_time::MonotonicTime;
use crate::store_revision::StoreRevision;

/// One registration of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceLife {
    /// Address for datagrams of other instances.
    pub address: SocketAddr,
    /// Store revision at which its member key was written.
    pub registered_at: StoreRevision,
}

/// The registrations of one process at an address, from the first to the present one. A process
/// whose lease ended registers again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ProcessLives {
    /// Revision of its first registration.
    pub first: StoreRevision,
    /// Revision of its present registration.
    pub last: StoreRevision,
}

/// Report of an instance that has stopped using the primary of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CommitReport {
    /// The group.
    pub service: ServiceId,
    /// Revision of the pending order that made it stop.
    pub pending: StoreRevision,
    /// Revision of the open order under which it passed `passed` on.
    pub opened: StoreRevision,
    /// Highest log point that came with an acknowledgement that it passed on, if any.
    pub passed: Option<LogPoint>,
}

/// Instances that have left, as far as this instance has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DepartureLog {
    /// Time before which instances may have left without being seen.
    watched_since: Option<MonotonicTime>,
    left: BTreeMap<InstanceLife, MonotonicTime>,
}

/// The commits whose acknowledgements reached callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AcknowledgedPoint {
    /// Highest point that is known to cover acknowledged commits.
    pub known: Option<LogPoint>,
    /// Whether it covers all of them.
    pub complete: bool,
    /// Whether it covers all of them as soon as the other instances have reported.
    pub sampled: bool,
}

/// What an instance knows of the acknowledged commits of one group, since its order was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct CommitEvidence {
    /// Revision of the open order.
    opened: StoreRevision,
    /// Highest point that an instance passed on, this one included.
    passed: Option<LogPoint>,
    /// Earliest point of the primary after the last departure.
    sample: Option<FloorSample>,
    /// Newest pending order for which the process at each address reported.
    reports: BTreeMap<SocketAddr, (ProcessLives, StoreRevision)>,
}

impl DepartureLog {
    /// Maximum number of departures that are kept.
    const MAX_DEPARTURES: usize = 1_000;

    /// Records that instances may have joined and left before `at` without being seen.
    pub fn record_gap(&mut self, at: MonotonicTime) {
        self.watched_since = self.watched_since.max(Some(at));
    }

    /// Records that an instance has left.
    pub fn record(&mut self, life: InstanceLife, at: MonotonicTime) {
        if self.left.len() >= Self::MAX_DEPARTURES {
            self.left.clear();
            self.record_gap(at);
        }
        self.left.insert(life, at);
    }

    /// Returns whether an instance may have left unseen at `since` or later.
    fn has_gap(&self, since: MonotonicTime) -> bool {
        self.watched_since.is_none_or(|at| at >= since)
    }

    fn left_since(&self, since: MonotonicTime) -> impl Iterator<Item = &InstanceLife> {
        let left = self.left.iter().filter(move |(_, at)| **at >= since);
        left.map(|(life, _)| life)
    }
}

impl CommitEvidence {
    /// Starts anew if a later order was opened. The new primary has every commit that was
    /// acknowledged before.
    fn begin(&mut self, opened: StoreRevision) {
        if opened > self.opened {
            self.opened = opened;
            self.passed = None;
            self.sample = None;
            self.reports.retain(|_, (_, pending)| *pending > opened);
        }
    }

    /// Records the point that came with an acknowledgement that this instance passes on.
    pub fn record_passed(&mut self, opened: StoreRevision, point: LogPoint) {
        self.begin(opened);
        self.passed = self.passed.max(Some(point));
    }

    /// Records a point of the primary. It covers every commit acknowledged before it was requested.
    pub fn record_sample(
        &mut self,
        opened: StoreRevision,
        sample: FloorSample,
        departures: &DepartureLog,
    ) {
        self.begin(opened);
        let covers = |sample: &FloorSample| {
            let since = sample.requested_at;
            !departures.has_gap(since) && departures.left_since(since).next().is_none()
        };
        if !self.sample.as_ref().is_some_and(covers) && covers(&sample) {
            self.sample = Some(sample);
        }
    }

    /// Returns this instance's report for a pending order.
    pub fn report(&self, service: &ServiceId, pending: StoreRevision) -> CommitReport {
        CommitReport {
            service: service.clone(),
            pending,
            opened: self.opened,
            passed: self.passed,
        }
    }

    /// Records the report of another instance.
    pub fn record_report(
        &mut self,
        address: SocketAddr,
        process: ProcessLives,
        report: &CommitReport,
    ) {
        self.begin(report.opened);
        // Commits acknowledged under an earlier order are covered by each sample of a later one.
        if report.opened == self.opened {
            self.passed = self.passed.max(report.passed);
        }
        let (known, pending) = self
            .reports
            .entry(address)
            .or_insert((process, StoreRevision::default()));
        // A report of an earlier process may arrive late.
        if process.last >= known.last {
            if process.first > known.last {
                *pending = StoreRevision::default();
            }
            *known = process;
            *pending = report.pending.max(*pending);
        }
    }

    /// Returns what covers the acknowledged commits. It is complete if each of `members`, the
    /// instances that may have used the primary before the pending order, has reported for it.
    pub fn acknowledged(
        &self,
        pending: Option<StoreRevision>,
        members: &HashSet<InstanceLife>,
        departures: &DepartureLog,
    ) -> AcknowledgedPoint {
        let sample = self.sample.as_ref();
        let known = self.passed.max(sample.map(|sample| sample.point));
        let has_reported = |life: &InstanceLife| {
            let report = self.reports.get(&life.address);
            report.is_some_and(|(process, reported)| {
                let lives = process.first..=process.last;
                lives.contains(&life.registered_at) && pending.is_some_and(|p| *reported >= p)
            })
        };
        // A process whose lease ended reports after it has registered again.
        let may_report = |life: &InstanceLife| members.iter().any(|m| m.address == life.address);
        let sampled = sample.is_some_and(|sample| {
            let since = sample.requested_at;
            let mut left = departures.left_since(since);
            !departures.has_gap(since) && left.all(|life| has_reported(life) || may_report(life))
        });
        let left = sample.map(|sample| departures.left_since(sample.requested_at));
        let reported = left.into_iter().flatten().chain(members).all(has_reported);
        AcknowledgedPoint {
            known,
            complete: sampled && pending.is_some() && reported,
            sampled,
        }
    }
}
