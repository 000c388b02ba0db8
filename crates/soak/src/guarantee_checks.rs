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
use crate::observed_history::WriteOutcome;

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
    let mut counts: HashMap<(&str, &str), usize> = HashMap::new();
    for (item, value) in primary.log.iter().flat_map(|commit| &commit.writes) {
        *counts.entry((item, value)).or_default() += 1;
    }
    for write in &history.writes {
        let value = write.value.to_string();
        let count = counts.get(&(write.item.as_str(), value.as_str())).copied();
        let count = count.unwrap_or(0);
        let observed = || format!("{} = {value}, {count} times in the log", write.item);
        match write.outcome {
            WriteOutcome::Acknowledged if count == 0 => {
                let loss = describe_loss(group, &write.item, &value);
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
fn describe_loss(group: &GroupState, item: &str, value: &str) -> String {
    let write = (item.to_owned(), value.to_owned());
    let mut text = String::new();
    for effect in &group.effects {
        if let Some(holders) = effect.lacking.get(&write) {
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
        let expected = ("v".to_owned(), request.set_value.clone());
        if !request.set_value.is_empty() && !run.values.contains(&expected) {
            report(
                "values follow their session",
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
