//! Guards what a leader concludes from the reports of instances about acknowledged commits.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use session_core::commit_evidence::AcknowledgedPoint;
use session_core::commit_evidence::CommitEvidence;
use session_core::commit_evidence::CommitReport;
use session_core::commit_evidence::DepartureLog;
use session_core::commit_evidence::InstanceLife;
use session_core::commit_evidence::ProcessLives;
use session_core::floor_history::FloorSample;
use session_core::log_point::LogPoint;
use session_core::monotonic_time::MonotonicTime;

/// Revisions of the open order and of the pending one.
const OPENED: u64 = 10;
const PENDING: u64 = 20;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn life(port: u16, registered_at: u64) -> InstanceLife {
    InstanceLife {
        address: address(port),
        registered_at: registered_at.into(),
    }
}

/// A leader with the member at port 1, which registered at revision 5.
struct TestLeader {
    evidence: CommitEvidence,
    departures: DepartureLog,
    members: HashSet<InstanceLife>,
}

impl TestLeader {
    fn new() -> Self {
        let mut departures = DepartureLog::default();
        departures.record_gap(at(1));
        let mut leader = Self {
            evidence: CommitEvidence::default(),
            departures,
            members: HashSet::from([life(1, 5)]),
        };
        leader.sample(2, 100);
        leader
    }

    fn sample(&mut self, millis: u64, position: u64) {
        let sample = FloorSample {
            requested_at: at(millis),
            point: LogPoint::new(1, position),
        };
        self.evidence
            .record_sample(OPENED.into(), sample, &self.departures);
    }

    /// Records a report of the process at a port with these registrations.
    fn report(&mut self, port: u16, first: u64, last: u64, opened: u64, passed: u64) {
        let report = CommitReport {
            service: "orders".parse().expect("the name is valid"),
            pending: PENDING.into(),
            opened: opened.into(),
            passed: Some(LogPoint::new(1, passed)),
        };
        let process = ProcessLives {
            first: first.into(),
            last: last.into(),
        };
        self.evidence.record_report(address(port), process, &report);
    }

    fn acknowledged(&self) -> AcknowledgedPoint {
        let pending = Some(PENDING.into());
        self.evidence
            .acknowledged(pending, &self.members, &self.departures)
    }

    /// Returns the position that covers all acknowledged commits, if it is known.
    fn covered(&self) -> Option<u64> {
        let point = self.acknowledged();
        point.known.filter(|_| point.complete).map(|p| p.position.0)
    }
}

/// The point is complete once every member has reported, and covers what each passed on.
#[test]
fn all_members_report() {
    let mut leader = TestLeader::new();
    leader
        .evidence
        .record_passed(OPENED.into(), LogPoint::new(1, 105));
    assert_eq!(leader.covered(), None);
    leader.report(1, 5, 5, OPENED, 110);
    assert_eq!(leader.covered(), Some(110));
    leader.members.insert(life(2, 6));
    assert_eq!(leader.covered(), None);
}

/// What an instance that left passed on is known only from a later point of the primary.
#[test]
fn departure_needs_sample() {
    let mut leader = TestLeader::new();
    leader.report(1, 5, 5, OPENED, 110);
    leader.departures.record(life(2, 6), at(3));
    assert_eq!(leader.covered(), None);
    assert!(!leader.acknowledged().sampled);
    leader.sample(3, 130);
    assert_eq!(leader.covered(), None);
    leader.sample(4, 140);
    assert_eq!(leader.covered(), Some(140));
    leader.departures.record_gap(at(5));
    assert_eq!(leader.covered(), None);
}

/// An instance whose lease ended still knows what it passed on, and reports it under its next
/// registration.
#[test]
fn registered_again_reports() {
    let mut leader = TestLeader::new();
    leader.departures.record(life(1, 5), at(3));
    leader.members = HashSet::from([life(1, 15)]);
    assert!(leader.acknowledged().sampled);
    assert_eq!(leader.covered(), None);
    leader.report(1, 5, 15, OPENED, 110);
    assert_eq!(leader.covered(), Some(110));
}

/// Another process at the same address knows nothing of what the one before it passed on.
#[test]
fn restarted_process_is_no_witness() {
    let mut leader = TestLeader::new();
    leader.departures.record(life(1, 5), at(3));
    leader.members = HashSet::from([life(1, 15)]);
    leader.report(1, 15, 15, OPENED, 100);
    assert_eq!(leader.covered(), None);
    // A report that the earlier process sent arrives late.
    leader.report(1, 5, 5, OPENED, 110);
    assert_eq!(leader.covered(), None);
}

/// Points that were passed on under an earlier order do not count: the log of the present primary
/// has what they covered, perhaps at lower positions.
#[test]
fn earlier_order_is_covered() {
    let mut leader = TestLeader::new();
    leader.report(1, 5, 5, OPENED - 1, 400);
    assert_eq!(leader.covered(), Some(100));
}
