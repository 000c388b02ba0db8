//! Guards against reporting outcomes to callers that are not known to be true.

use session_core::caller_statement::AccessMode;
use session_core::request_outcome::CallerVerdict;
use session_core::request_outcome::EndpointRefusal;
use session_core::request_outcome::OutcomeScope;
use session_core::request_outcome::StatementFault;
use session_core::request_outcome::may_repeat;
use session_core::request_outcome::verdict;

const REFUSALS: [EndpointRefusal; 10] = [
    EndpointRefusal::Busy,
    EndpointRefusal::UnknownName,
    EndpointRefusal::Lagging,
    EndpointRefusal::ReadOnly,
    EndpointRefusal::WrongEndpoint,
    EndpointRefusal::ConnectionLimit,
    EndpointRefusal::Failed,
    EndpointRefusal::TimedOut,
    EndpointRefusal::Malformed,
    EndpointRefusal::Other,
];

const SCOPES: [OutcomeScope; 5] = [
    OutcomeScope::Single(AccessMode::Read),
    OutcomeScope::Single(AccessMode::Write),
    OutcomeScope::Inside,
    OutcomeScope::Commit(AccessMode::Read),
    OutcomeScope::Commit(AccessMode::Write),
];

fn faults() -> Vec<StatementFault> {
    let mut faults = vec![
        StatementFault::NotSent,
        StatementFault::Broken,
        StatementFault::Overdue,
    ];
    faults.extend(REFUSALS.map(StatementFault::Refused));
    faults
}

/// Whether the verdict tells the caller that its statement had no effect.
fn reports_not_applied(verdict: CallerVerdict) -> bool {
    matches!(
        verdict,
        CallerVerdict::Busy
            | CallerVerdict::Aborted
            | CallerVerdict::ReadOnly
            | CallerVerdict::Lagging
    )
}

/// Whether the statement may have been applied although it was not acknowledged.
fn may_be_applied(scope: OutcomeScope, fault: StatementFault) -> bool {
    let writes = matches!(
        scope,
        OutcomeScope::Single(AccessMode::Write) | OutcomeScope::Commit(AccessMode::Write)
    );
    let not_applied = matches!(
        fault,
        StatementFault::NotSent
            | StatementFault::Refused(
                EndpointRefusal::Busy
                    | EndpointRefusal::UnknownName
                    | EndpointRefusal::Lagging
                    | EndpointRefusal::ReadOnly
                    | EndpointRefusal::WrongEndpoint
                    | EndpointRefusal::ConnectionLimit
            )
    );
    writes && !not_applied
}

/// No combination may report "not applied" if the statement may have been applied.
#[test]
fn not_applied_is_never_false() {
    for scope in SCOPES {
        for fault in faults() {
            let verdict = verdict(scope, fault);
            assert!(
                !(may_be_applied(scope, fault) && reports_not_applied(verdict)),
                "{scope:?} with {fault:?} reports {verdict:?}"
            );
        }
    }
}

/// A write that may have run, or a statement inside a transaction, must not be repeated.
#[test]
fn repeats_are_safe() {
    for scope in SCOPES {
        for fault in faults() {
            if !may_repeat(scope, fault) {
                continue;
            }
            assert!(matches!(scope, OutcomeScope::Single(_)), "{scope:?}");
            assert!(!may_be_applied(scope, fault), "{scope:?} with {fault:?}");
        }
    }
}

/// A read outside a transaction whose connection broke must be repeated; such reads are half of the
/// system's retries.
#[test]
fn broken_read_is_repeated() {
    let read = OutcomeScope::Single(AccessMode::Read);
    assert!(may_repeat(read, StatementFault::Broken));
    assert!(!may_repeat(
        OutcomeScope::Single(AccessMode::Write),
        StatementFault::Broken
    ));
}
