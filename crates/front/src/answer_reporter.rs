//! Reports answers of endpoints that do not belong to the awaited statement.

use std::cell::Cell;

use prometheus::IntCounterVec;
use session_core::answer_check::AnswerFault;
use session_core::answer_check::ExpectedAnswer;
use session_core::ids::EndpointId;

use crate::caller_session::log_excerpt;
use crate::endpoint_connection::EndpointAnswer;

thread_local! {
    /// Number of connections that this thread has opened.
    static CONNECTIONS: Cell<u64> = const { Cell::new(0) };
}

/// Counts the unexpected answers on one connection, and logs the first one.
#[derive(Debug, Clone)]
pub struct AnswerReporter {
    counter: IntCounterVec,
    /// Number of the connection in log lines.
    pub connection: u64,
    endpoint: EndpointId,
    /// Whether one was logged. The connection is replaced soon after the first.
    logged: Cell<bool>,
}

impl AnswerReporter {
    /// Creates the reporter of a new connection, which increases `counter` by fault.
    pub fn new(counter: &IntCounterVec, endpoint: &EndpointId) -> Self {
        let connection = CONNECTIONS.get() + 1;
        CONNECTIONS.set(connection);
        Self {
            counter: counter.clone(),
            connection,
            endpoint: endpoint.clone(),
            logged: Cell::new(false),
        }
    }

    /// Reports an answer that is not that of the awaited statement.
    pub fn report_answer(
        &self,
        fault: AnswerFault,
        expected: ExpectedAnswer,
        answer: &EndpointAnswer,
    ) {
        if !self.count(fault) {
            return;
        }
        let (Ok(end) | Err((_, end))) = &answer.result;
        tracing::warn!(
            event = "answer_unexpected",
            endpoint = %self.endpoint,
            connection = self.connection,
            %fault,
            ?expected,
            rows = answer.rows.len(),
            end = log_excerpt(end),
            state = ?answer.state,
        );
    }

    /// Reports bytes that are no answer to the awaited statement.
    pub fn report_bytes(&self, fault: AnswerFault) {
        if !self.count(fault) {
            return;
        }
        tracing::warn!(
            event = "answer_unexpected",
            endpoint = %self.endpoint,
            connection = self.connection,
            %fault,
        );
    }

    /// Counts an answer and returns whether to log it.
    fn count(&self, fault: AnswerFault) -> bool {
        self.counter.with_label_values(&[&fault.to_string()]).inc();
        !self.logged.replace(true)
    }
}
