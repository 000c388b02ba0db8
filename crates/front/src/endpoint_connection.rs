//! A connection to an endpoint. Statements on it run one after another.

use std::fmt;
use std::io;
use std::time::Duration;

use platform::endpoint_codec;
use platform::endpoint_codec::EndpointCommand;
use prometheus::IntCounterVec;
use session_core::answer_matching::AnswerMatching;
use session_core::caller_statement::AccessMode;
use session_core::endpoint_entry::EndpointEntry;
use session_core::ids::EndpointId;
use session_core::ids::TeamId;
use session_core::log_point::LogPoint;
use session_core::memory_account::MemoryPart;
use session_core::monotonic_time::MonotonicTime;
use session_core::request_outcome::EndpointRefusal;
use session_core::request_outcome::StatementFault;
use session_core::session_state::SessionState;
use session_core::session_values::ConnectionValues;
use session_core::session_values::ReplayStep;
use tokio::time::timeout;

use crate::answer_reporter::AnswerReporter;
use crate::caller_memory::ConnectionMemory;
use crate::endpoint_channel;
use crate::endpoint_channel::EndpointChannel;
use crate::host_channel::HostChannel;
use crate::instance_limits::CONNECT_TIMEOUT;

/// The answer of an endpoint to one statement.
#[derive(Debug, Clone)]
pub struct EndpointAnswer {
    /// Rows, as the endpoint sent them.
    pub rows: Vec<String>,
    /// The receipt, or the endpoint's refusal with its text.
    pub result: Result<String, (EndpointRefusal, String)>,
    /// Transaction state after the statement.
    pub state: SessionState,
    /// Log position, as the endpoint sent it.
    pub position: String,
    /// When the statement was sent.
    pub sent_at: MonotonicTime,
    /// Time that the endpoint took, as measured by the instance that is connected to it. The time for
    /// which the answer was not read because there was no memory for it does not count.
    pub took: Duration,
}

impl EndpointAnswer {
    /// Returns the log position, if the endpoint sent one.
    pub fn point(&self) -> Option<LogPoint> {
        endpoint_codec::parse_position(&self.position)
    }
}

/// The caller whose memory an answer is charged to.
#[derive(Debug, Clone, Copy)]
pub struct AnswerBudget<'a> {
    /// Memory of the caller's connection.
    pub memory: &'a ConnectionMemory,
    /// Whether the answer is read only as far as there is memory for it. The outcome of a write or
    /// a commit must not wait: if its time passed meanwhile, it would be unknown.
    pub waits: bool,
}

/// Errors of opening a connection.
#[derive(Debug)]
pub enum ConnectError {
    /// The endpoint refused the start-up.
    Refused(EndpointRefusal),
    /// The connection failed.
    Io(io::Error),
    /// The endpoint did not answer in time.
    Overdue,
    /// The endpoint's host could not connect to it.
    AtHost,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Refused(refusal) => write!(f, "refused: {refusal:?}"),
            ConnectError::Io(error) => write!(f, "{error}"),
            ConnectError::Overdue => write!(f, "no answer"),
            ConnectError::AtHost => write!(f, "host is not connected"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// How commands reach the endpoint.
#[derive(Debug)]
enum ConnectionTransport {
    /// A connection of this instance.
    Direct(Box<EndpointChannel>),
    /// A connection that the endpoint's host keeps.
    Shared(HostChannel),
}

/// An open connection whose start-up the endpoint accepted.
#[derive(Debug)]
pub struct EndpointConnection {
    transport: ConnectionTransport,
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Team whose statements run on it.
    pub team: Option<TeamId>,
    /// Session values and prepared names that the endpoint holds for this connection. They follow its
    /// answers.
    values: ConnectionValues,
    /// Transaction state after the last answer.
    pub state: SessionState,
    broken: bool,
    /// Whether the values are uncertain, so that the connection must not be used for another
    /// session.
    uncertain: bool,
}

impl EndpointConnection {
    /// Opens a connection to an endpoint for a team. Unexpected answers on it are counted by fault in
    /// `counter`.
    ///
    /// # Errors
    ///
    /// See [`ConnectError`].
    pub async fn open(
        entry: &EndpointEntry,
        team: Option<TeamId>,
        counter: &IntCounterVec,
    ) -> Result<Self, ConnectError> {
        let reporter = AnswerReporter::new(counter, &entry.id);
        match timeout(CONNECT_TIMEOUT, Self::start(entry, team, reporter)).await {
            Ok(opened) => opened,
            Err(_) => Err(ConnectError::Overdue),
        }
    }

    async fn start(
        entry: &EndpointEntry,
        team: Option<TeamId>,
        reporter: AnswerReporter,
    ) -> Result<Self, ConnectError> {
        let channel = EndpointChannel::open(entry, team.clone(), reporter).await?;
        Ok(Self {
            transport: ConnectionTransport::Direct(Box::new(channel)),
            endpoint: entry.id.clone(),
            team,
            values: ConnectionValues::default(),
            state: SessionState::Idle,
            broken: false,
            uncertain: false,
        })
    }

    /// Creates a connection from a channel of the endpoint's host.
    pub fn shared(
        channel: HostChannel,
        endpoint: EndpointId,
        team: Option<TeamId>,
        values: ConnectionValues,
    ) -> Self {
        Self {
            transport: ConnectionTransport::Shared(channel),
            endpoint,
            team,
            values,
            state: SessionState::Idle,
            broken: false,
            uncertain: false,
        }
    }

    /// Returns whether another session may use the connection.
    pub fn is_reusable(&self) -> bool {
        let is_worn = match &self.transport {
            ConnectionTransport::Direct(channel) => channel.is_worn(),
            // Its host decides.
            ConnectionTransport::Shared(_) => false,
        };
        !self.broken && !self.uncertain && !is_worn && self.state == SessionState::Idle
    }

    /// Returns whether the last fault says nothing about the endpoint, because the way to the host
    /// or the host itself caused it.
    pub fn has_host_fault(&self) -> bool {
        match &self.transport {
            ConnectionTransport::Direct(_) => false,
            ConnectionTransport::Shared(channel) => channel.has_host_fault(),
        }
    }

    /// Returns the session values and prepared names that the endpoint holds for this connection.
    pub fn values(&self) -> &ConnectionValues {
        &self.values
    }

    /// Returns a connection of a host to it, and closes one of this instance.
    pub fn finish(mut self) {
        let is_reusable = self.is_reusable();
        if let ConnectionTransport::Shared(channel) = &mut self.transport
            && is_reusable
        {
            channel.set_reusable();
        }
    }

    /// Marks the connection as unusable, for example when its session values are uncertain.
    pub fn mark_broken(&mut self) {
        self.broken = true;
    }

    /// Returns whether the endpoint closed the connection or sent data while it was idle.
    pub fn is_stale(&self) -> bool {
        match &self.transport {
            ConnectionTransport::Direct(channel) => channel.is_stale(),
            ConnectionTransport::Shared(channel) => channel.is_lost(),
        }
    }

    /// Returns the number of the connection in log lines, if it is one of this instance.
    pub fn number(&self) -> Option<u64> {
        match &self.transport {
            ConnectionTransport::Direct(channel) => Some(channel.reporter.connection),
            ConnectionTransport::Shared(_) => None,
        }
    }

    /// Runs one statement.
    ///
    /// # Errors
    ///
    /// Returns how far the statement may have got; the connection is then broken.
    pub async fn run(
        &mut self,
        command: EndpointCommand,
        time: Duration,
    ) -> Result<EndpointAnswer, StatementFault> {
        let mut answers = self.run_all(vec![command], time, None).await?;
        answers.pop().ok_or(StatementFault::Broken)
    }

    /// Sends several statements at once and returns their answers in order. If one of them is refused,
    /// the transaction has been rolled back; if that one was to restore a session's state, no other
    /// session can use the connection. The answers are charged to the budget, which the caller of this
    /// function then sets to what it keeps of them.
    ///
    /// # Errors
    ///
    /// Returns how far the last statement may have got; the connection is then broken.
    pub async fn run_all(
        &mut self,
        commands: Vec<EndpointCommand>,
        time: Duration,
        budget: Option<AnswerBudget<'_>>,
    ) -> Result<Vec<EndpointAnswer>, StatementFault> {
        self.run_matching(commands, time, AnswerMatching::Lenient, budget)
            .await
    }

    async fn run_matching(
        &mut self,
        commands: Vec<EndpointCommand>,
        time: Duration,
        matching: AnswerMatching,
        budget: Option<AnswerBudget<'_>>,
    ) -> Result<Vec<EndpointAnswer>, StatementFault> {
        self.broken = true;
        let steps = replay_steps(&commands);
        let answers = match &mut self.transport {
            ConnectionTransport::Direct(channel) => {
                let exchange = channel.exchange(commands, self.state, matching, budget);
                let answered = timeout(time, exchange).await;
                answered.unwrap_or(Err(StatementFault::Overdue))?
            }
            ConnectionTransport::Shared(channel) => {
                let answers = channel.run(commands, time).await?;
                if let Some(budget) = budget {
                    let bytes = answers
                        .iter()
                        .flat_map(|a| &a.rows)
                        .map(|row| endpoint_channel::row_bytes(row))
                        .sum();
                    budget.memory.set(MemoryPart::Output, bytes);
                }
                answers
            }
        };
        self.broken = false;
        for (index, step) in &steps {
            // A refusal does not show what the endpoint holds.
            match answers.get(*index).map(|answer| &answer.result) {
                Some(Ok(_)) => self.values.apply(step),
                Some(Err(_)) | None => self.uncertain = true,
            }
        }
        if let Some(last) = answers.last() {
            self.state = match first_refusal(&answers) {
                // The channel has rolled the transaction back.
                Some(_) => SessionState::Idle,
                None => last.state,
            };
        }
        Ok(answers)
    }

    /// Returns whether a copy of an earlier acknowledgement may arrive.
    pub fn may_repeat_acknowledgements(&self) -> bool {
        match &self.transport {
            ConnectionTransport::Direct(channel) => channel.has_acknowledged(),
            // Only its host knows.
            ConnectionTransport::Shared(_) => true,
        }
    }

    /// Queries the endpoint for its log position, without a slot. The values of the connection stay. The
    /// rollback tells the answer from a copy of an earlier one, as its own answer has another shape.
    ///
    /// # Errors
    ///
    /// Returns how far the query may have got, or the refusal.
    pub async fn query_position(
        &mut self,
        time: Duration,
    ) -> Result<EndpointAnswer, StatementFault> {
        let begin = EndpointCommand::Begin {
            mode: AccessMode::Read,
            floor: None,
        };
        let commands = vec![begin, EndpointCommand::Rollback];
        let answers = self.run_matching(commands, time, AnswerMatching::Strict, None);
        let answer = answers.await?.swap_remove(0);
        match &answer.result {
            Ok(_) => Ok(answer),
            Err((refusal, _)) => Err(StatementFault::Refused(*refusal)),
        }
    }
}

/// Returns the first refusal among the answers to statements that were sent at once.
pub fn first_refusal(answers: &[EndpointAnswer]) -> Option<&(EndpointRefusal, String)> {
    answers
        .iter()
        .find_map(|answer| answer.result.as_ref().err())
}

/// Returns the commands that restore a session's state, with their positions among all.
fn replay_steps(commands: &[EndpointCommand]) -> Vec<(usize, ReplayStep)> {
    let commands = commands.iter().enumerate();
    let steps = commands.filter_map(|(index, command)| match command {
        EndpointCommand::Replay(step) => Some((index, step.clone())),
        _ => None,
    });
    steps.collect()
}
