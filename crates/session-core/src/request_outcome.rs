//! What a caller may be promised after each end of a statement.

use crate::caller_statement::AccessMode;

/// What an endpoint answered instead of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointRefusal {
    /// Its queue is full.
    Busy,
    /// It does not know a prepared name.
    UnknownName,
    /// Its log lacks the floor.
    Lagging,
    /// It is not the primary.
    ReadOnly,
    /// It is another endpoint than the one that was meant.
    WrongEndpoint,
    /// It takes no more connections.
    ConnectionLimit,
    /// The statement ran and failed.
    Failed,
    /// The statement ran for too long.
    TimedOut,
    /// The transaction cannot go on, or the text was not understood.
    Malformed,
    /// Any other code.
    Other,
}

/// How one statement at an endpoint ended without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StatementFault {
    /// The endpoint answered with a refusal.
    Refused(EndpointRefusal),
    /// The connection broke before the statement was sent.
    NotSent,
    /// The connection broke or fell silent after the statement was sent.
    Broken,
    /// No answer came within the time of a statement.
    Overdue,
}

/// The statement, as far as its outcome is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OutcomeScope {
    /// A single read or write outside a transaction.
    Single(AccessMode),
    /// A statement inside a transaction whose commit was not sent.
    Inside,
    /// The commit of a transaction that wrote or only read.
    Commit(AccessMode),
}

impl OutcomeScope {
    /// Whether the statement makes writes permanent.
    pub fn commits_writes(self) -> bool {
        matches!(
            self,
            OutcomeScope::Single(AccessMode::Write) | OutcomeScope::Commit(AccessMode::Write)
        )
    }
}

/// What the caller hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallerVerdict {
    /// Nothing of the attempt is kept: overload or no endpoint.
    Busy,
    /// Nothing of the attempt is kept: the transaction was rolled back.
    Aborted,
    /// Nothing of the attempt is kept: the endpoint is no longer the primary.
    ReadOnly,
    /// Nothing of the attempt is kept: no endpoint holds the floor.
    Lagging,
    /// The statement ran and failed.
    Failed,
    /// The statement ran for too long.
    TimedOut,
    /// The effect is unknown.
    Unknown,
    /// The statement does not fit the state of the session.
    Malformed,
    /// The key is not accepted.
    Denied,
    /// No route has the database name.
    UnknownDatabase,
    /// A prepared name is not known.
    UnknownName,
    /// The message is too large.
    TooLarge,
}

/// Whether another endpoint or a later moment may run the same statement again.
pub fn may_repeat(scope: OutcomeScope, fault: StatementFault) -> bool {
    match scope {
        OutcomeScope::Inside | OutcomeScope::Commit(_) => false,
        OutcomeScope::Single(mode) => match fault {
            StatementFault::NotSent => true,
            StatementFault::Broken => mode == AccessMode::Read,
            StatementFault::Overdue => false,
            StatementFault::Refused(refusal) => ran(refusal) == Some(false),
        },
    }
}

/// Whether the statement ran, where the refusal tells.
fn ran(refusal: EndpointRefusal) -> Option<bool> {
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

/// Returns what the caller hears, which never promises more than is known.
pub fn verdict(scope: OutcomeScope, fault: StatementFault) -> CallerVerdict {
    match fault {
        StatementFault::Refused(refusal) => refused(scope, refusal),
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

fn refused(scope: OutcomeScope, refusal: EndpointRefusal) -> CallerVerdict {
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
