//! Guards against promotions that lose an acknowledged commit.

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use session_core::endpoint_entry::GroupRole;
use session_core::ids::EndpointId;
use session_core::log_point::LogPoint;
use session_core::log_point::LogTerm;
use session_core::promotion_step::EndpointReport;
use session_core::promotion_step::PromotionStep;
use session_core::promotion_step::SurveyedEndpoint;
use session_core::promotion_step::next_step;

fn id(name: &str) -> EndpointId {
    name.parse().expect("the name is valid")
}

fn replica(name: &str, position: u64, paused_term: u64) -> SurveyedEndpoint {
    SurveyedEndpoint {
        id: id(name),
        report: Some(EndpointReport {
            role: GroupRole::Replica,
            term: LogTerm(1),
            received: LogPoint::new(1, position),
            paused_term: LogTerm(paused_term),
        }),
        draining: false,
    }
}

fn primary(name: &str, position: u64) -> SurveyedEndpoint {
    let mut endpoint = replica(name, position, 0);
    if let Some(report) = &mut endpoint.report {
        report.role = GroupRole::Primary;
    }
    endpoint
}

fn silent(name: &str) -> SurveyedEndpoint {
    SurveyedEndpoint {
        id: id(name),
        report: None,
        draining: false,
    }
}

/// The other replica must be paused before the target is promoted, or it could acknowledge a commit
/// that the target does not have.
#[test]
fn others_pause_first() {
    let members = [primary("p", 9), replica("a", 9, 0), replica("b", 7, 0)];
    let step = next_step(&members, Some(&id("p")));
    let expected = PromotionStep::Pause {
        endpoints: vec![id("b")],
        term: LogTerm(2),
    };
    assert_eq!(step, expected);
    let members = [primary("p", 9), replica("a", 9, 0), replica("b", 7, 2)];
    assert_eq!(
        next_step(&members, Some(&id("p"))),
        PromotionStep::Promote(id("a"))
    );
}

/// The replica with the longest log must be promoted, since it may have the only copy of a commit.
#[test]
fn longest_log_is_promoted() {
    let members = [replica("a", 5, 2), replica("b", 8, 2), silent("p")];
    assert_eq!(
        next_step(&members, Some(&id("p"))),
        PromotionStep::Promote(id("b"))
    );
}

/// If the primary and a replica do not answer, an acknowledged commit may exist only on them, so
/// the promotion must wait.
#[test]
fn silent_replica_blocks() {
    let members = [replica("a", 5, 2), silent("b"), silent("p")];
    assert_eq!(next_step(&members, Some(&id("p"))), PromotionStep::Wait);
}

/// If a replica does not answer, the primary is demoted first: its log then shows how far the
/// target must have received.
#[test]
fn demoted_primary_sets_required_position() {
    let members = [primary("p", 9), replica("a", 9, 0), silent("b")];
    let expected = PromotionStep::Demote {
        endpoint: id("p"),
        term: LogTerm(2),
    };
    assert_eq!(next_step(&members, Some(&id("p"))), expected);
    let members = [replica("p", 9, 0), replica("a", 8, 0), silent("b")];
    assert_eq!(
        next_step(&members, Some(&id("p"))),
        PromotionStep::Promote(id("p"))
    );
}

/// A draining replica must not be promoted if another replica has the same position.
#[test]
fn staying_replica_is_preferred() {
    let mut leaving = replica("a", 9, 2);
    leaving.draining = true;
    let members = [leaving, replica("b", 9, 2), silent("p")];
    assert_eq!(
        next_step(&members, Some(&id("p"))),
        PromotionStep::Promote(id("b"))
    );
}

/// A promotion that took effect after its order was abandoned must be detected.
#[test]
fn earlier_promotion_is_found() {
    let mut leader = primary("b", 9);
    if let Some(report) = &mut leader.report {
        report.term = LogTerm(2);
    }
    let members = [replica("p", 9, 0), replica("a", 9, 0), leader];
    assert_eq!(
        next_step(&members, Some(&id("p"))),
        PromotionStep::Leads(id("b"))
    );
}

#[derive(Debug, Clone, Copy)]
struct ReplicaState {
    received: u64,
    paused: bool,
}

/// Runs commits and promotion steps in the order of `choices`, and returns how many acknowledged
/// commits the promoted replica does not have. A commit is acknowledged once a replica that is not
/// paused has received it. Without `follows_steps`, replica a is promoted at once.
fn lost_commits(choices: &[u8], leader_dies_at: usize, follows_steps: bool) -> u64 {
    let names = ["a", "b", "c"];
    let mut replicas = [ReplicaState {
        received: 0,
        paused: false,
    }; 3];
    let mut acknowledged = 0;
    let mut written = 0;
    let mut reports: Vec<SurveyedEndpoint> = Vec::new();
    for (turn, choice) in choices.iter().enumerate() {
        if turn < leader_dies_at {
            written += 1;
            let receivers = usize::from(*choice);
            for (index, replica) in replicas.iter_mut().enumerate() {
                if !replica.paused && receivers & (1 << index) != 0 {
                    replica.received = written;
                    acknowledged = written;
                }
            }
        }
        if choice & 0x40 == 0 {
            continue;
        }
        reports.clear();
        for (name, sim) in names.iter().zip(&replicas) {
            reports.push(replica(name, sim.received, if sim.paused { 2 } else { 0 }));
        }
        let step = match follows_steps {
            true => next_step(&reports, Some(&id("p"))),
            false => PromotionStep::Promote(id("a")),
        };
        match step {
            PromotionStep::Pause { endpoints, .. } => {
                for endpoint in endpoints {
                    let index = names.iter().position(|name| *name == endpoint.as_str());
                    if let Some(index) = index {
                        replicas[index].paused = true;
                    }
                }
            }
            PromotionStep::Promote(target) => {
                let index = names.iter().position(|name| *name == target.as_str());
                let held = index.map_or(0, |index| replicas[index].received);
                return acknowledged - held.min(acknowledged);
            }
            _ => {}
        }
    }
    0
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// No order of commits, pauses and surveys loses an acknowledged commit.
    #[test]
    fn no_acknowledged_commit_is_lost(
        choices in proptest::collection::vec(any::<u8>(), 1..60),
        leader_dies_at in 0_usize..60,
    ) {
        prop_assert!(lost_commits(&choices, leader_dies_at, true) == 0);
    }
}

/// `lost_commits` must count a commit that a promotion without a pause loses.
#[test]
fn unsafe_promotion_is_caught() {
    // Only replica c receives the first commit, and replica a is promoted at once.
    assert_eq!(lost_commits(&[0x44], 1, false), 1);
}
