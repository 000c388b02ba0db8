//! Checks the daemon's guarantees against what callers and endpoints observed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use standins::platform::group_state::ExecutedStatement;
use standins::platform::group_state::GroupState;

use crate::observed_history::ObservedHistory;
use crate::observed_history::ObservedRequest;
use crate::observed_history::TransactionScope;
use crate::observed_history::WriteOutcome;
use crate::soak_callers::leading_number;

/// Time for which a withdrawn key may still be used, as the daemon's settings allow.
const REVOCATION_TIME: Duration = Duration::from_millis(5_000);

/// Time after sending in which a request that no endpoint executed may lose its connection during
/// planned work: a session may be closed while its request is in transit. The limit comes from the
/// users' platform.
const CONNECTION_LOSS_GRACE: Duration = Duration::from_millis(200);

/// Window over which executed requests are counted. This limit and the two tolerances below come
/// from the users' platform.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Fraction by which the requests in a window may exceed the team's rate and burst.
const RATE_OVERAGE: f64 = 0.1;

/// Number of requests that a window may have beyond that fraction.
const RATE_SLACK: f64 = 20.0;

/// Time in which an evacuated availability zone must be left, from the users' platform.
const EVACUATION_TIME: Duration = Duration::from_millis(5_000);

/// Requests per second to a cold endpoint in the configuration of runs that have any.
pub const COLD_RATE: u32 = 20;

/// Statements that a cold endpoint may receive in any second, by the rules of the users' platform: 1.5
/// times the rate, and 5.
pub const COLD_BOUND: usize = 35;

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuaranteeViolation {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// Observation that violates it.
    pub observed: String,
}

impl fmt::Display for GuaranteeViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.observed)
    }
}

/// Returns the violations of a run. `rates` has the rate of each team per second, which is also its
/// burst.
pub fn check_guarantees(
    history: &ObservedHistory,
    group: &GroupState,
    rates: &HashMap<String, u32>,
) -> Vec<GuaranteeViolation> {
    let mut violations = Vec::new();
    let mut report = |guarantee, observed| {
        violations.push(GuaranteeViolation {
            guarantee,
            observed,
        })
    };
    for violation in &history.violations {
        report("what callers heard", violation.clone());
    }
    check_writes(history, group, &mut report);
    check_statements(history, group, &mut report);
    check_transactions(history, group, &mut report);
    check_answers(history, group, &mut report);
    check_rates(&group.executed_statements, rates, &mut report);
    check_evacuations(history, group, &mut report);
    check_cold_spells(history, group, &mut report);
    check_promotions(group, &mut report);
    violations
}

fn check_writes(
    history: &ObservedHistory,
    group: &GroupState,
    report: &mut impl FnMut(&'static str, String),
) {
    let primary = group.primary().and_then(|id| group.endpoints.get(&id));
    let Some(primary) = primary else {
        report("a primary", "no endpoint is primary at the end".to_owned());
        return;
    };
    let mut counts: HashMap<(&str, u64), usize> = HashMap::new();
    for (item, value) in primary.log.iter().flat_map(|commit| &commit.writes) {
        *counts.entry((item, leading_number(value))).or_default() += 1;
    }
    for write in &history.writes {
        let value = write.value;
        let count = counts.get(&(write.item.as_str(), value)).copied();
        let count = count.unwrap_or(0);
        let observed = || format!("{} = {value}, {count} times in the log", write.item);
        match write.outcome {
            WriteOutcome::Acknowledged if count == 0 => {
                let loss = describe_loss(group, &write.item, value);
                report(
                    "no acknowledged write is lost",
                    format!("{}{loss}", observed()),
                );
            }
            WriteOutcome::NotApplied if count > 0 => {
                report("refused writes are not kept", observed())
            }
            _ if count > 1 => report("nothing runs twice", observed()),
            _ => {}
        }
    }
}

/// Names the promotions whose targets lacked a write, and the endpoints that held it then.
fn describe_loss(group: &GroupState, item: &str, value: u64) -> String {
    let mut text = String::new();
    for effect in &group.effects {
        let mut lacking = effect.lacking.iter();
        let write = lacking.find(|((i, v), _)| i == item && leading_number(v) == value);
        if let Some((_, holders)) = write {
            let at = effect.at.duration_since(SystemTime::UNIX_EPOCH);
            let at = at.map_or(0, |at| at.as_millis());
            let target = &effect.target;
            let holders = holders.join(", ");
            text += &format!("; lacked by {target}, promoted at {at} ms, and held by {holders}");
        }
    }
    text
}

fn check_statements(
    history: &ObservedHistory,
    group: &GroupState,
    report: &mut impl FnMut(&'static str, String),
) {
    let executed: HashSet<&str> = group
        .executed_statements
        .iter()
        .map(|statement| statement.id.as_str())
        .collect();
    for (id, time) in &history.unanswered {
        if executed.contains(id.as_str()) || *time > CONNECTION_LOSS_GRACE {
            report("planned work cuts nothing", format!("{id} after {time:?}"));
        }
    }
    for run in &group.executed_statements {
        let Some(request) = history.requests.get(&run.id) else {
            report("nothing unasked runs", format!("{run:?}"));
            continue;
        };
        if run.team != request.team {
            report(
                "nothing runs for another team",
                format!("{run:?} was {request:?}"),
            );
        }
        if !run.values.iter().map(|(n, v)| (n, v)).eq(&request.values) {
            report(
                "values follow their session",
                format!("{run:?} was {request:?}"),
            );
        }
        if !is_unchanged(run, request) {
            report(
                "statements run unchanged",
                format!("{run:?} was {request:?}"),
            );
        }
        let withdrawn = history.key_gaps.iter().any(|gap| {
            gap.team == request.team
                && request.sent_at > gap.from + REVOCATION_TIME
                && gap.to.is_none_or(|to| request.sent_at < to)
        });
        if withdrawn {
            report("withdrawn keys are dead", format!("{run:?}"));
        }
    }
}

/// Returns whether a statement ran as its caller sent it. Only the name of a prepared statement may
/// differ; its definition may not.
fn is_unchanged(run: &ExecutedStatement, request: &ObservedRequest) -> bool {
    let arguments = |text: &str| {
        let executed = text.strip_prefix("EXECUTE ")?;
        executed.split_once(' ').map(|(_, rest)| rest.to_owned())
    };
    match arguments(&request.text) {
        Some(sent) => {
            arguments(&run.text) == Some(sent)
                && run.definition.is_some()
                && run.definition == request.definition
        }
        None => run.text == request.text,
    }
}

/// Reports statements that ran in the transaction of another session, outside their own, or in a
/// transaction that their session did not begin, and commits that nobody asked for.
fn check_transactions(
    history: &ObservedHistory,
    group: &GroupState,
    report: &mut impl FnMut(&'static str, String),
) {
    const GUARANTEE: &str = "transactions stay apart";
    // The session transaction of each transaction at an endpoint, and the reverse with the id of its
    // last statement.
    let mut owners: HashMap<u64, &TransactionScope> = HashMap::new();
    let mut last_runs: HashMap<&str, (u64, &str)> = HashMap::new();
    let runs = group.executed_statements.iter();
    for run in runs.chain(&group.executed_commits) {
        let Some(request) = history.requests.get(&run.id) else {
            continue;
        };
        let observed = || format!("{run:?} was {request:?}");
        match (run.transaction, &request.scope) {
            (None, TransactionScope::Inside(_)) => report(GUARANTEE, observed()),
            (Some(number), scope) => {
                if *scope == TransactionScope::Outside {
                    report(GUARANTEE, observed());
                }
                let owner = owners.entry(number).or_insert(scope);
                if **owner != *scope {
                    report(GUARANTEE, format!("{} beside {owner:?}", observed()));
                }
                let TransactionScope::Inside(begin) = scope else {
                    continue;
                };
                // Only the first statement may run again, in a transaction that begins anew.
                let last = last_runs.insert(begin, (number, &run.id));
                if last.is_some_and(|(known, id)| known != number && id != run.id) {
                    report(GUARANTEE, format!("{} after {last:?}", observed()));
                }
            }
            (None, _) => {}
        }
    }
    for commit in &group.executed_commits {
        let request = history.requests.get(&commit.id);
        if request.is_none_or(|request| request.text != "COMMIT") {
            report("nothing unasked runs", format!("{commit:?}"));
        }
    }
}

/// Reports successful answers that do not have the receipt of their own statement, or other rows than
/// the endpoint sent for it.
fn check_answers(
    history: &ObservedHistory,
    group: &GroupState,
    report: &mut impl FnMut(&'static str, String),
) {
    let mut rows: HashMap<(&str, &str), Vec<Vec<&String>>> = HashMap::new();
    for run in &group.executed_statements {
        let sent = rows.entry((&run.endpoint, &run.id)).or_default();
        sent.push(run.row.iter().collect());
    }
    for answer in &history.answers {
        let text = history.requests.get(&answer.id).map(|r| r.text.as_str());
        let receipt = answer.last_line.strip_prefix("COMPLETE ");
        // The parts of a receipt are the endpoint, any others and the id of the request.
        let endpoint = receipt.and_then(|receipt| {
            let rest = receipt
                .strip_suffix(answer.id.as_str())?
                .strip_suffix('.')?;
            rest.split('.').next()
        });
        let Some(endpoint) = endpoint else {
            report(
                "answers have their receipts",
                format!("{text:?} was answered with {answer:?}"),
            );
            continue;
        };
        let sent = rows.get(&(endpoint, answer.id.as_str()));
        let is_sent = match (sent, text) {
            (None, Some("COMMIT")) => answer.rows.is_empty(),
            (Some(sent), _) => sent
                .iter()
                .any(|rows| answer.rows.iter().eq(rows.iter().copied())),
            (None, _) => false,
        };
        if !is_sent {
            report(
                "answers have their rows",
                format!("{text:?} was answered with {answer:?}, sent: {sent:?}"),
            );
        }
    }
}

fn check_rates(
    statements: &[ExecutedStatement],
    rates: &HashMap<String, u32>,
    report: &mut impl FnMut(&'static str, String),
) {
    for (team, rate) in rates {
        let rate = f64::from(*rate);
        let limit = (rate * RATE_WINDOW.as_secs_f64() + rate) * (1.0 + RATE_OVERAGE) + RATE_SLACK;
        let mut counted = HashSet::new();
        let mut times: Vec<Instant> = statements
            .iter()
            .filter(|statement| statement.team == *team && counted.insert(statement.id.as_str()))
            .map(|statement| statement.executed_at)
            .collect();
        times.sort_unstable();
        let in_window = |first: usize| {
            let end = times[first] + RATE_WINDOW;
            times[first..].iter().take_while(|at| **at < end).count()
        };
        let most = (0..times.len()).map(in_window).max().unwrap_or(0);
        if most as f64 > limit {
            report(
                "rates are kept",
                format!("{most} of {team} in 5 s, {limit} allowed"),
            );
        }
    }
}

/// Reports the last statement that arrived too late in each evacuation, and how many there were.
fn check_evacuations(
    history: &ObservedHistory,
    group: &GroupState,
    report: &mut impl FnMut(&'static str, String),
) {
    for evacuation in &history.evacuations {
        let left_by = evacuation.from + EVACUATION_TIME;
        let late = group.received_statements.iter().filter(|statement| {
            statement.zone == evacuation.zone
                && statement.received_at > left_by
                && evacuation.to.is_none_or(|to| statement.received_at < to)
        });
        let late: Vec<_> = late.collect();
        if let Some(last) = late.last() {
            let (count, after) = (late.len(), last.received_at - evacuation.from);
            let observed = format!("{count} statements, the last one after {after:?}: {last:?}");
            report("evacuated zones are left", observed);
        }
    }
}

fn check_cold_spells(
    history: &ObservedHistory,
    group: &GroupState,
    report: &mut impl FnMut(&'static str, String),
) {
    for spell in &history.cold_spells {
        let times: Vec<Instant> = group
            .received_statements
            .iter()
            .filter(|statement| statement.endpoint == spell.endpoint)
            .map(|statement| statement.received_at)
            .filter(|at| (spell.from..spell.to).contains(at))
            .collect();
        let in_second = |first: usize| {
            let end = times[first] + Duration::from_secs(1);
            times[first..].iter().take_while(|at| **at < end).count()
        };
        let most = (0..times.len()).map(in_second).max().unwrap_or(0);
        if most > COLD_BOUND {
            let observed = format!("{most} in a second at {}", spell.endpoint);
            report("cold endpoints are spared", observed);
        }
    }
}

fn check_promotions(group: &GroupState, report: &mut impl FnMut(&'static str, String)) {
    let mut previous: Option<(u64, &str)> = None;
    for (target, holder, token) in &group.promotions {
        let replaced = previous.replace((*token, holder));
        let Some((known, known_holder)) = replaced else {
            continue;
        };
        if *token < known || (*token == known && holder != known_holder) {
            let observed = format!(
                "{holder} promoted {target} with {token} after {known_holder} with {known}"
            );
            report("one instance leads", observed);
        }
    }
}
