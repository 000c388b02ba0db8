//! Maps the ways in which a statement can fail to the verdict that its caller gets.

use serde::Deserialize;
use serde::Serialize;

use crate::caller_statement::AccessMode;

/// Why an endpoint refused a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRefusal {
    /// The endpoint's queue is full.
    Busy,
    /// The endpoint does not know the prepared name.
    UnknownName,
    /// The endpoint's log has not reached the floor.
    Lagging,
    /// The endpoint is not the primary.
    ReadOnly,
    /// The connection reached another endpoint than the intended one.
    WrongEndpoint,
    /// The endpoint accepts no more connections.
    ConnectionLimit,
    /// The statement ran and failed.
    Failed,
    /// The statement ran for too long.
    TimedOut,
    /// The transaction cannot continue, or the text could not be parsed.
    Malformed,
    /// Any other code.
    Other,
}

/// How one statement at an endpoint ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StatementFault {
    /// The endpoint answered with a refusal.
    Refused(EndpointRefusal),
    /// The connection broke before the statement was sent.
    NotSent,
    /// The connection broke or stopped answering after the statement was sent.
    Broken,
    /// No answer came within the statement's timeout.
    Overdue,
}

/// The position of a statement in a transaction, which determines what a failure of it means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OutcomeScope {
    /// A single read or write outside a transaction.
    Single(AccessMode),
    /// A statement inside a transaction whose commit was not sent.
    Inside,
    /// The commit of a transaction; `Write` if the transaction has written.
    Commit(AccessMode),
}

impl OutcomeScope {
    /// Returns whether the statement commits writes.
    pub fn commits_writes(self) -> bool {
        matches!(
            self,
            OutcomeScope::Single(AccessMode::Write) | OutcomeScope::Commit(AccessMode::Write)
        )
    }
}

/// The outcome that is reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallerVerdict {
    /// Not applied: overload, or no endpoint is available.
    Busy,
    /// Not applied: the transaction was rolled back.
    Aborted,
    /// Not applied: the endpoint is no longer the primary.
    ReadOnly,
    /// Not applied: no endpoint has reached the floor.
    Lagging,
    /// The statement ran and failed.
    Failed,
    /// The statement ran for too long.
    TimedOut,
    /// Whether the statement was applied is unknown.
    Unknown,
    /// The statement does not fit the state of the session.
    Malformed,
    /// The caller's key is not accepted.
    Denied,
    /// No route has the database name.
    UnknownDatabase,
    /// The prepared name is not known.
    UnknownName,
    /// The message is too large.
    TooLarge,
}

/// Returns whether the same statement may be sent again, to this or another endpoint.
pub fn may_repeat(scope: OutcomeScope, fault: StatementFault) -> bool {
    match scope {
        OutcomeScope::Inside | OutcomeScope::Commit(_) => false,
        OutcomeScope::Single(mode) => match fault {
            StatementFault::NotSent => true,
            StatementFault::Broken => mode == AccessMode::Read,
            StatementFault::Overdue => false,
            StatementFault::Refused(refusal) => was_executed(refusal) == Some(false),
        },
    }
}

/// Returns whether the refused statement was executed, or `None` if the refusal does not show it.
fn was_executed(refusal: EndpointRefusal) -> Option<bool> {
    match refusal {
        EndpointRefusal::Busy
        | EndpointRefusal::UnknownName
        | EndpointRefusal::Lagging
        | EndpointRefusal::ReadOnly
        | EndpointRefusal::WrongEndpoint
        | EndpointRefusal::ConnectionLimit => Some(false),
        EndpointRefusal::Failed | EndpointRefusal::TimedOut => Some(true),
        EndpointRefusal::Malformed | EndpointRefusal::Other => None,
    }
}

/// Returns the verdict for the caller. It is `Unknown` if writes may have been committed without a
/// confirmation.
pub fn verdict(scope: OutcomeScope, fault: StatementFault) -> CallerVerdict {
    match fault {
        StatementFault::Refused(refusal) => refusal_verdict(scope, refusal),
        StatementFault::NotSent => match scope {
            OutcomeScope::Single(_) => CallerVerdict::Busy,
            OutcomeScope::Inside | OutcomeScope::Commit(_) => CallerVerdict::Aborted,
        },
        StatementFault::Broken => match scope {
            OutcomeScope::Single(AccessMode::Read) => CallerVerdict::Aborted,
            OutcomeScope::Inside | OutcomeScope::Commit(AccessMode::Read) => CallerVerdict::Aborted,
            OutcomeScope::Single(AccessMode::Write) | OutcomeScope::Commit(AccessMode::Write) => {
                CallerVerdict::Unknown
            }
        },
        StatementFault::Overdue => match scope {
            OutcomeScope::Single(AccessMode::Write) | OutcomeScope::Commit(AccessMode::Write) => {
                CallerVerdict::Unknown
            }
            OutcomeScope::Single(AccessMode::Read)
            | OutcomeScope::Inside
            | OutcomeScope::Commit(AccessMode::Read) => CallerVerdict::TimedOut,
        },
    }
}

fn refusal_verdict(scope: OutcomeScope, refusal: EndpointRefusal) -> CallerVerdict {
    let writes = scope.commits_writes();
    match refusal {
        EndpointRefusal::Busy
        | EndpointRefusal::WrongEndpoint
        | EndpointRefusal::ConnectionLimit
        | EndpointRefusal::UnknownName => CallerVerdict::Busy,
        EndpointRefusal::Lagging => CallerVerdict::Lagging,
        EndpointRefusal::ReadOnly => CallerVerdict::ReadOnly,
        EndpointRefusal::Failed => CallerVerdict::Failed,
        EndpointRefusal::TimedOut => CallerVerdict::TimedOut,
        EndpointRefusal::Malformed => CallerVerdict::Malformed,
        EndpointRefusal::Other if writes => CallerVerdict::Unknown,
        EndpointRefusal::Other => CallerVerdict::Aborted,
    }
}
