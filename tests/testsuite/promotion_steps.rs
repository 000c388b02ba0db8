//! Guards against promotions that lose an acknowledged commit.

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use session_core::endpoint_entry::GroupRole;
use session_core::ids::EndpointId;
use session_core::log_point::LogPoint;
use session_core::log_point::LogTerm;
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

/// Returns the next step if the holders of all acknowledged commits are in the survey.
fn known_step(members: &[SurveyedEndpoint]) -> PromotionStep {
    step(members, true, None)
}

/// Returns the next step if a replica that left may have held the only copy of a commit.
fn unknown_step(members: &[SurveyedEndpoint]) -> PromotionStep {
    step(members, false, None)
}

fn step(members: &[SurveyedEndpoint], known: bool, earlier: Option<u64>) -> PromotionStep {
    let group = SurveyedGroup {
        members,
        former: Some(&id("p")),
        holders_known: known,
        earlier_point: earlier.map(|position| LogPoint::new(1, position)),
    };
    group.next_step()
}

fn promotes(name: &str) -> PromotionStep {
    PromotionStep::Promote {
        target: id(name),
        former_may_acknowledge: false,
    }
}

fn promotes_unanswered(name: &str) -> PromotionStep {
    PromotionStep::Promote {
        target: id(name),
        former_may_acknowledge: true,
    }
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
    let members = [primary("p", 9), replica("a", 9), replica("b", 7)];
    assert_eq!(known_step(&members), demotes_former());
    let members = [replica("p", 9), replica("a", 9), replica("b", 7)];
    assert_eq!(known_step(&members), promotes("a"));
    assert_eq!(unknown_step(&members), promotes("a"));
}

/// The replica with the longest log must be promoted, since it may have the only copy of a commit.
#[test]
fn longest_log_is_promoted() {
    let members = [replica("a", 5), replica("b", 8), silent("p")];
    assert_eq!(known_step(&members), promotes_unanswered("b"));
    let members = [replica("a", 5), replica("b", 8), replica("p", 9)];
    assert_eq!(known_step(&members), promotes("b"));
}

/// If the primary and a replica do not answer, an acknowledged commit may exist only on them, so
/// the promotion must wait.
#[test]
fn silent_replica_blocks() {
    let members = [replica("a", 5), silent("b"), silent("p")];
    assert_eq!(known_step(&members), PromotionStep::Wait);
}

/// If a replica does not answer, the primary is demoted first: its log then shows how far the
/// target must have received.
#[test]
fn demoted_primary_sets_required_position() {
    let members = [primary("p", 9), replica("a", 9), silent("b")];
    assert_eq!(step(&members, true, Some(8)), demotes_former());
    let members = [replica("p", 9), replica("a", 8), silent("b")];
    assert_eq!(known_step(&members), promotes("p"));
}

/// A replica that has left may have held the only copy of a commit. A replica whose log is shorter
/// than that of the former primary must not be promoted then.
#[test]
fn left_replica_is_considered() {
    let members = [replica("p", 9), replica("a", 8)];
    assert_eq!(unknown_step(&members), promotes("p"));
    let members = [silent("p"), replica("a", 8)];
    assert_eq!(unknown_step(&members), PromotionStep::Wait);
    // Once the former primary is gone as well, there is nothing to wait for.
    assert_eq!(unknown_step(&members[1..]), promotes_unanswered("a"));
    let mut dropped = silent("p");
    dropped.listed = false;
    let members = [dropped, replica("a", 8)];
    assert_eq!(unknown_step(&members), promotes_unanswered("a"));
}

/// A primary must not be demoted if no other endpoint could take over.
#[test]
fn useless_demotion_is_avoided() {
    let members = [primary("p", 9), replica("a", 5)];
    assert_eq!(step(&members, false, Some(8)), PromotionStep::Wait);
    assert_eq!(step(&members, false, Some(5)), demotes_former());
    let members = [primary("p", 9), silent("a"), silent("b")];
    assert_eq!(step(&members, true, Some(8)), PromotionStep::Wait);
}

/// A former primary that restarted without its log does not show which commits it acknowledged.
#[test]
fn lost_log_is_no_measure() {
    let members = [replica("p", 0), replica("a", 5), replica("b", 8)];
    assert_eq!(unknown_step(&members), promotes_unanswered("b"));
    let members = [replica("p", 0), replica("a", 5), silent("b")];
    assert_eq!(known_step(&members), PromotionStep::Wait);
}

/// An endpoint that the registry lists no longer may still replicate and hold the only copy of a
/// commit, but instances could not use it as the primary.
#[test]
fn unlisted_endpoint_counts() {
    let mut unlisted = replica("b", 8);
    unlisted.listed = false;
    let members = [replica("a", 5), unlisted.clone(), silent("p")];
    assert_eq!(known_step(&members), PromotionStep::Wait);
    let members = [replica("a", 8), unlisted, silent("p")];
    assert_eq!(known_step(&members), promotes_unanswered("a"));
}

/// A draining replica must not be promoted if another replica has the same position.
#[test]
fn staying_replica_is_preferred() {
    let mut leaving = replica("a", 9);
    leaving.draining = true;
    let members = [leaving.clone(), replica("b", 9), silent("p")];
    assert_eq!(known_step(&members), promotes_unanswered("b"));
    let members = [leaving, replica("b", 9), replica("p", 9)];
    assert_eq!(known_step(&members), promotes("b"));
}

/// A promotion that took effect after its order was abandoned must be detected.
#[test]
fn earlier_promotion_is_found() {
    let mut leader = primary("b", 9);
    if let Some(report) = &mut leader.report {
        report.term = LogTerm(2);
    }
    let members = [replica("p", 9), replica("a", 9), leader];
    assert_eq!(known_step(&members), PromotionStep::Leads(id("b")));
}

/// Number of endpoints that the group of the model starts with, its primary included.
const FIRST_ENDPOINTS: usize = 3;

/// Maximum number of endpoints in the model.
const MAX_ENDPOINTS: usize = 6;

#[derive(Debug, Clone)]
struct ModelEndpoint {
    received: u64,
    present: bool,
    deaf: bool,
    /// Whether the leader reaches it.
    answers: bool,
}

impl ModelEndpoint {
    fn joining() -> Self {
        Self {
            received: 0,
            present: true,
            deaf: false,
            answers: true,
        }
    }
}

/// A group whose first endpoint is the primary to be replaced, with a leader that follows the steps.
#[derive(Debug)]
struct GroupModel {
    endpoints: Vec<ModelEndpoint>,
    demoted: bool,
    /// Whether instances have stopped passing acknowledgements on.
    unused: bool,
    /// Highest commit whose acknowledgement reached a caller.
    acknowledged: u64,
    /// Number of joins, departures and restarts so far.
    changes: u64,
    holders_known: bool,
    /// Reports of the last survey, and what was known and the number of changes then.
    survey: Option<(Vec<SurveyedEndpoint>, bool, bool, u64)>,
    earlier: Option<u64>,
    promoted: Option<usize>,
    /// Whether the leader follows the steps; otherwise it promotes the second endpoint at once.
    follows_steps: bool,
}

impl GroupModel {
    fn new(follows_steps: bool) -> Self {
        Self {
            endpoints: vec![ModelEndpoint::joining(); FIRST_ENDPOINTS],
            demoted: false,
            unused: false,
            acknowledged: 0,
            changes: 0,
            holders_known: true,
            survey: None,
            earlier: None,
            promoted: None,
            follows_steps,
        }
    }

    /// The primary writes a commit, which the replicas that can receive it get with all before it.
    fn commit(&mut self) {
        if self.demoted {
            return;
        }
        self.endpoints[0].received += 1;
        let written = self.endpoints[0].received;
        let mut received = false;
        for replica in &mut self.endpoints[1..] {
            if replica.present && !replica.deaf {
                replica.received = written;
                received = true;
            }
        }
        if received && !self.unused {
            self.acknowledged = written;
            self.holders_known = true;
        }
    }

    fn record_departure(&mut self) {
        self.changes += 1;
        self.holders_known = false;
    }

    fn take_survey(&mut self) {
        let endpoints = self.endpoints.iter().enumerate();
        let present = endpoints.filter(|(_, endpoint)| endpoint.present);
        let members = present.map(|(index, endpoint)| {
            let name = member_name(index);
            match (endpoint.answers, index == 0 && !self.demoted) {
                (false, _) => silent(&name),
                (true, true) => primary(&name, endpoint.received),
                (true, false) => replica(&name, endpoint.received),
            }
        });
        self.survey = Some((
            members.collect(),
            self.holders_known,
            self.unused,
            self.changes,
        ));
    }

    /// Takes the step that follows from the last survey.
    fn act(&mut self) {
        let Some((members, known, was_unused, changes)) = self.survey.take() else {
            return;
        };
        if !self.follows_steps {
            self.promoted = Some(1);
            return;
        }
        let next = step(&members, known, self.earlier);
        let former = members.iter().find(|member| member.id == id("p"));
        let report = former.and_then(|former| former.report);
        self.earlier = report.map(|report| report.received.position.0);
        match next {
            PromotionStep::Demote { .. } => self.demoted |= self.endpoints[0].answers,
            PromotionStep::Promote {
                target,
                former_may_acknowledge,
            } => {
                if former_may_acknowledge && !was_unused {
                    self.unused = true;
                } else if changes == self.changes {
                    let found = (0..self.endpoints.len()).find(|n| id(&member_name(*n)) == target);
                    self.promoted = found;
                }
            }
            PromotionStep::Leads(_) | PromotionStep::Wait => {}
        }
    }

    fn turn(&mut self, choice: u8) {
        let index = usize::from(choice >> 4) % self.endpoints.len();
        let replica = index.max(1);
        match choice & 0x0f {
            0..=3 => self.commit(),
            4 if self.endpoints.len() < MAX_ENDPOINTS => {
                self.changes += 1;
                self.endpoints.push(ModelEndpoint::joining());
            }
            5 if self.endpoints[replica].present => {
                self.record_departure();
                self.endpoints[replica].present = false;
            }
            6 if self.endpoints[replica].present => {
                self.record_departure();
                self.endpoints[replica].received = 0;
            }
            7 | 8 => self.endpoints[replica].deaf ^= true,
            9 => self.endpoints[index].answers ^= true,
            10..=12 => self.take_survey(),
            _ => self.act(),
        }
    }
}

fn member_name(index: usize) -> String {
    ["p", "a", "b", "c", "d", "e"][index].to_owned()
}

/// Plays the choices and returns how many acknowledged commits the promoted endpoint lacks, or `None`
/// if none was promoted.
fn lost_commits(choices: &[u8], follows_steps: bool) -> Option<u64> {
    let mut model = GroupModel::new(follows_steps);
    for choice in choices {
        model.turn(*choice);
        if let Some(promoted) = model.promoted {
            let held = model.endpoints[promoted].received;
            return Some(model.acknowledged.saturating_sub(held));
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    /// No order of commits, joins, departures, restarts, faults and surveys loses an acknowledged
    /// commit.
    #[test]
    fn no_acknowledged_commit_is_lost(choices in proptest::collection::vec(any::<u8>(), 1..60)) {
        prop_assert!(lost_commits(&choices, true).unwrap_or(0) == 0);
    }

    /// Without faults, an endpoint is promoted after a few surveys.
    #[test]
    fn calm_group_is_promoted(commits in 0_usize..20) {
        let mut choices = vec![0_u8; commits];
        choices.extend([10, 15, 10, 15]);
        prop_assert_eq!(lost_commits(&choices, true), Some(0));
    }
}

/// `lost_commits` must count a commit that a promotion without steps loses.
#[test]
fn unsafe_promotion_is_caught() {
    // The first replica receives nothing and is promoted all the same.
    assert_eq!(lost_commits(&[0x17, 0, 10, 15], false), Some(1));
    assert_eq!(lost_commits(&[0x17, 0, 10, 15, 10, 15], true), Some(0));
}
