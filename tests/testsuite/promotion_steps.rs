//! Guards against promotions that lose an acknowledged commit.

use session_core::commit_evidence::AcknowledgedPoint;
use session_core::endpoint_entry::GroupRole;
use session_core::ids::EndpointId;
use session_core::log_point::LogPoint;
use session_core::log_point::LogTerm;
use session_core::promotion_step;
use session_core::promotion_step::EndpointReport;
use session_core::promotion_step::PromotionStep;
use session_core::promotion_step::SurveyedEndpoint;
use session_core::promotion_step::SurveyedGroup;

fn id(name: &str) -> EndpointId {
    name.parse().expect("the name is valid")
}

fn replica(name: &str, position: u64) -> SurveyedEndpoint {
    SurveyedEndpoint {
        id: id(name),
        report: Some(EndpointReport {
            role: GroupRole::Replica,
            term: LogTerm(1),
            received: LogPoint::new(1, position),
            paused_term: LogTerm(0),
        }),
        draining: false,
        listed: true,
        evacuated: false,
    }
}

fn primary(name: &str, position: u64) -> SurveyedEndpoint {
    let mut endpoint = replica(name, position);
    if let Some(report) = &mut endpoint.report {
        report.role = GroupRole::Primary;
    }
    endpoint
}

fn silent(name: &str) -> SurveyedEndpoint {
    SurveyedEndpoint {
        report: None,
        ..replica(name, 0)
    }
}

/// An order that may have been superseded by a lost one is confirmed only if every endpoint shows that its
/// target leads. Else reads could go on at a primary that was replaced.
#[test]
fn sole_leader_is_confirmed_by_all() {
    let newer = |mut endpoint: SurveyedEndpoint| {
        if let Some(report) = &mut endpoint.report {
            report.term = LogTerm(2);
        }
        endpoint
    };
    let leads = |others: Vec<SurveyedEndpoint>| {
        let mut members = vec![primary("p", 5)];
        members.extend(others);
        promotion_step::is_sole_leader(&members, &id("p"))
    };
    assert!(leads(vec![replica("a", 5), replica("b", 3)]));
    assert!(!leads(vec![replica("a", 5), silent("b")]));
    assert!(!leads(vec![replica("a", 5), newer(replica("b", 3))]));
    assert!(!leads(vec![newer(primary("a", 5)), replica("b", 3)]));
    assert!(!leads(vec![primary("a", 5), replica("b", 3)]));
    let former = [replica("p", 5), replica("a", 5)];
    assert!(!promotion_step::is_sole_leader(&former, &id("p")));
    assert!(!promotion_step::is_sole_leader(
        &[replica("a", 5)],
        &id("p")
    ));
}

/// The group of a test, whose former primary is `p`.
struct TestGroup {
    members: Vec<SurveyedEndpoint>,
    successor: Option<EndpointId>,
    former_lost: bool,
    former_unused: bool,
    former_may_return: bool,
    known: Option<u64>,
    complete: bool,
    sampled: bool,
    earlier: Option<u64>,
}

impl TestGroup {
    /// Nothing is known but the endpoints' reports.
    fn new<const N: usize>(members: [SurveyedEndpoint; N]) -> Self {
        Self {
            members: members.into(),
            successor: None,
            former_lost: false,
            former_unused: false,
            former_may_return: false,
            known: None,
            complete: false,
            sampled: true,
            earlier: None,
        }
    }

    /// This endpoint is listed at the address of the former primary.
    fn successor(mut self, name: &str) -> Self {
        self.successor = Some(id(name));
        self
    }

    /// All instances have stopped and reported; none passed more than this position on.
    fn acknowledged(mut self, position: u64) -> Self {
        self.known = Some(position);
        self.complete = true;
        self.former_unused = true;
        self
    }

    /// Commits up to this position were acknowledged, and perhaps more.
    fn known(mut self, position: u64) -> Self {
        self.known = Some(position);
        self
    }

    /// An instance that left may have passed any commit on.
    fn unsampled(mut self) -> Self {
        self.sampled = false;
        self
    }

    fn unused(mut self) -> Self {
        self.former_unused = true;
        self
    }

    fn lost(mut self) -> Self {
        self.former_lost = true;
        self
    }

    fn earlier(mut self, position: u64) -> Self {
        self.earlier = Some(position);
        self
    }

    fn step(&self) -> PromotionStep {
        let point = |position: u64| LogPoint::new(1, position);
        let group = SurveyedGroup {
            members: &self.members,
            former: Some(&id("p")),
            successor: self.successor.as_ref(),
            former_lost: self.former_lost,
            former_unused: self.former_unused,
            former_may_return: self.former_may_return,
            acknowledged: AcknowledgedPoint {
                known: self.known.map(point),
                complete: self.complete,
                sampled: self.sampled,
            },
            earlier_point: self.earlier.map(point),
        };
        group.next_step()
    }
}

fn promotes(name: &str) -> PromotionStep {
    PromotionStep::Promote(id(name))
}

fn stops_use(name: &str) -> PromotionStep {
    PromotionStep::StopUse(id(name))
}

fn demotes_former() -> PromotionStep {
    PromotionStep::Demote {
        endpoint: id("p"),
        term: LogTerm(2),
    }
}

/// A primary that answers must be a replica before another endpoint is promoted, or it could
/// acknowledge a commit through an endpoint that joins or is resumed meanwhile.
#[test]
fn former_stops_first() {
    let group = TestGroup::new([primary("p", 9), replica("a", 9), replica("b", 7)]);
    assert_eq!(group.known(9).step(), demotes_former());
    let group = TestGroup::new([replica("p", 9), replica("a", 9), replica("b", 7)]);
    assert_eq!(group.step(), promotes("a"));
}

/// A primary that does not answer may still acknowledge commits, so the instances must stop using it
/// and report before another endpoint is promoted.
#[test]
fn silent_former_is_stopped() {
    let members = || [replica("a", 5), replica("b", 8), silent("p")];
    assert_eq!(TestGroup::new(members()).step(), PromotionStep::Wait);
    let group = TestGroup::new(members()).known(6).unsampled();
    assert_eq!(group.step(), PromotionStep::Wait);
    let group = TestGroup::new(members()).known(6);
    assert_eq!(group.step(), stops_use("b"));
    assert_eq!(group.unused().step(), PromotionStep::Wait);
    let group = TestGroup::new(members()).acknowledged(7);
    assert_eq!(group.step(), promotes("b"));
}

/// The replica with the longest log is promoted, since unknown outcomes may be kept only there.
#[test]
fn longest_log_is_promoted() {
    let group = TestGroup::new([replica("a", 5), replica("b", 8), silent("p")]);
    assert_eq!(group.acknowledged(5).step(), promotes("b"));
    let group = TestGroup::new([replica("a", 5), replica("b", 8), replica("p", 9)]);
    assert_eq!(group.acknowledged(5).step(), promotes("b"));
}

/// If the primary and a replica do not answer, an acknowledged commit may exist only on them, so
/// the promotion must wait unless the commits that the callers heard of are elsewhere.
#[test]
fn silent_replica_blocks() {
    let members = || [replica("a", 5), silent("b"), silent("p")];
    assert_eq!(
        TestGroup::new(members()).unused().step(),
        PromotionStep::Wait
    );
    let group = TestGroup::new(members()).known(5).unused();
    assert_eq!(group.step(), PromotionStep::Wait);
    let group = TestGroup::new(members()).acknowledged(6);
    assert_eq!(group.step(), PromotionStep::Wait);
    let group = TestGroup::new(members()).acknowledged(5);
    assert_eq!(group.step(), promotes("a"));
}

/// A primary that answers is demoted first: its log then shows how far the target must have
/// received, unless the instances have reported how far it acknowledged.
#[test]
fn demoted_primary_sets_required_position() {
    let group = TestGroup::new([primary("p", 9), replica("a", 9), silent("b")]);
    assert_eq!(group.earlier(8).step(), demotes_former());
    let members = || [replica("p", 9), replica("a", 8), silent("b")];
    assert_eq!(TestGroup::new(members()).step(), promotes("p"));
    assert_eq!(TestGroup::new(members()).known(8).step(), promotes("p"));
    let group = TestGroup::new(members()).acknowledged(8);
    assert_eq!(group.step(), promotes("a"));
    let group = TestGroup::new(members()).acknowledged(9);
    assert_eq!(group.step(), promotes("p"));
}

/// A replica that has left, or one that is not registered yet, may hold the only copy of a commit. A
/// replica whose log is shorter than what was acknowledged must not be promoted then.
#[test]
fn left_replica_is_considered() {
    let group = TestGroup::new([replica("p", 9), replica("a", 8)]);
    assert_eq!(group.step(), promotes("p"));
    let group = TestGroup::new([silent("p"), replica("a", 8)]);
    assert_eq!(group.acknowledged(9).step(), PromotionStep::Wait);
    let mut dropped = silent("p");
    dropped.listed = false;
    let group = TestGroup::new([dropped, replica("a", 8)]);
    assert_eq!(group.acknowledged(9).step(), PromotionStep::Wait);
    let group = TestGroup::new([replica("a", 8)]);
    assert_eq!(group.acknowledged(9).step(), PromotionStep::Wait);
    // Once the former primary and its log are lost, there is nothing to wait for.
    let group = TestGroup::new([replica("a", 8)]).lost();
    assert_eq!(group.step(), stops_use("a"));
    assert_eq!(group.acknowledged(9).step(), promotes("a"));
    let group = TestGroup::new([replica("a", 8), silent("b")]).lost();
    assert_eq!(group.acknowledged(9).step(), PromotionStep::Wait);
}

/// A primary must not be demoted if no other endpoint could take over.
#[test]
fn useless_demotion_is_avoided() {
    let members = || [primary("p", 9), replica("a", 5)];
    assert_eq!(
        TestGroup::new(members()).earlier(8).step(),
        PromotionStep::Wait
    );
    assert_eq!(
        TestGroup::new(members()).known(6).step(),
        PromotionStep::Wait
    );
    assert_eq!(
        TestGroup::new(members()).earlier(5).step(),
        demotes_former()
    );
    assert_eq!(TestGroup::new(members()).known(5).step(), demotes_former());
    let group = TestGroup::new([primary("p", 9), silent("a"), silent("b")]);
    assert_eq!(group.earlier(8).step(), PromotionStep::Wait);
}

/// While callers wait for a change, a primary that answers again must lead again at once if no replica
/// follows it: after a restart of all instances during a cut, nobody knows which of its commits were
/// acknowledged, and the group had no primary for 5.9 s until its replicas had caught up.
#[test]
fn reached_primary_returns() {
    let members = || [primary("p", 122), replica("a", 95), replica("b", 95)];
    let mut group = TestGroup::new(members()).earlier(122);
    assert_eq!(group.step(), PromotionStep::Wait);
    group.former_may_return = true;
    assert_eq!(group.step(), demotes_former());
    let group = TestGroup::new([replica("p", 122), replica("a", 95), replica("b", 95)]);
    assert_eq!(group.step(), promotes("p"));
    let mut group = TestGroup::new(members());
    group.members[0].evacuated = true;
    group.former_may_return = true;
    assert_eq!(group.step(), PromotionStep::Wait);
}

/// A former primary that restarted without its log does not show which commits it acknowledged.
#[test]
fn lost_log_is_no_measure() {
    let members = || [replica("p", 0), replica("a", 5), replica("b", 8)];
    assert_eq!(TestGroup::new(members()).known(8).step(), stops_use("b"));
    let group = TestGroup::new(members()).acknowledged(8);
    assert_eq!(group.step(), promotes("b"));
    let group = TestGroup::new(members()).acknowledged(9);
    assert_eq!(group.step(), PromotionStep::Wait);
    let group = TestGroup::new([replica("p", 0), replica("a", 0)]).acknowledged(9);
    assert_eq!(group.step(), PromotionStep::Wait);
}

/// The endpoint at the address of a former primary that has ended shows its log, unless another one
/// has more.
#[test]
fn successor_shows_the_log() {
    let members = || [replica("s", 9), replica("a", 8)];
    assert_eq!(TestGroup::new(members()).step(), PromotionStep::Wait);
    assert_eq!(
        TestGroup::new(members()).successor("s").step(),
        promotes("s")
    );
    let group = TestGroup::new([replica("s", 9), replica("a", 8), silent("p")]);
    assert_eq!(group.successor("s").step(), promotes("s"));
    let group = TestGroup::new([replica("s", 0), replica("a", 8)]);
    assert_eq!(group.successor("s").step(), PromotionStep::Wait);
    let group = TestGroup::new(members()).successor("s").known(10);
    assert_eq!(group.step(), PromotionStep::Wait);
}

/// An endpoint that the registry lists no longer cannot be used as the primary.
#[test]
fn unlisted_endpoint_is_not_promoted() {
    let mut unlisted = replica("b", 8);
    unlisted.listed = false;
    let group = TestGroup::new([replica("a", 5), unlisted.clone(), silent("p")]);
    assert_eq!(group.acknowledged(8).step(), PromotionStep::Wait);
    let group = TestGroup::new([replica("a", 8), unlisted, silent("p")]);
    assert_eq!(group.acknowledged(8).step(), promotes("a"));
}

/// A draining replica must not be promoted if another replica has the same position.
#[test]
fn staying_replica_is_preferred() {
    let mut leaving = replica("a", 9);
    leaving.draining = true;
    let group = TestGroup::new([leaving.clone(), replica("b", 9), silent("p")]);
    assert_eq!(group.acknowledged(9).step(), promotes("b"));
    let group = TestGroup::new([leaving, replica("b", 9), replica("p", 9)]);
    assert_eq!(group.step(), promotes("b"));
}

/// A primary of an evacuated zone must be replaced by an endpoint that can be used: its demotion would
/// only cost time if the other endpoints that could follow it are evacuated as well.
#[test]
fn endpoint_outside_evacuated_zones_leads() {
    let evacuated = |endpoint: SurveyedEndpoint| SurveyedEndpoint {
        evacuated: true,
        ..endpoint
    };
    let members = |outside| {
        let inside = [primary("p", 9), replica("a", 9)].map(evacuated);
        [inside[0].clone(), inside[1].clone(), outside]
    };
    let group = TestGroup::new(members(replica("b", 9))).known(9);
    assert_eq!(group.step(), demotes_former());
    let group = TestGroup::new(members(replica("b", 7))).known(9);
    assert_eq!(group.step(), PromotionStep::Wait);
    let demoted = [replica("p", 9), replica("a", 9)].map(evacuated);
    let [p, a] = demoted;
    let group = TestGroup::new([p.clone(), a.clone(), replica("b", 9)]);
    assert_eq!(group.step(), promotes("b"));
    // Acknowledged commits go before the evacuation.
    let group = TestGroup::new([p, a.clone(), replica("b", 8)]);
    assert_eq!(group.step(), promotes("a"));
    let group = TestGroup::new([silent("p"), a, replica("b", 8)]).acknowledged(9);
    assert_eq!(group.step(), promotes("a"));
}

/// A promotion that took effect after its order was abandoned must be detected.
#[test]
fn earlier_promotion_is_found() {
    let mut leader = primary("b", 9);
    if let Some(report) = &mut leader.report {
        report.term = LogTerm(2);
    }
    let group = TestGroup::new([replica("p", 9), replica("a", 9), leader]);
    assert_eq!(group.step(), PromotionStep::Leads(id("b")));
}

/// A primary of an earlier term that answers while the later ones are silent does not lead.
#[test]
fn superseded_primary_does_not_lead() {
    let group = TestGroup::new([silent("p"), primary("a", 9), silent("b")]);
    assert_eq!(group.acknowledged(9).step(), promotes("a"));
    let group = TestGroup::new([silent("p"), primary("a", 5), silent("b")]);
    assert_eq!(group.acknowledged(9).step(), PromotionStep::Wait);
}
