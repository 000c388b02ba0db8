//! Exchanges statements and answers with an endpoint, and checks that each answer belongs to its
//! statement.

use std::io;
use std::time::Duration;

use platform::endpoint_codec;
use platform::endpoint_codec::EndpointCodec;
use platform::endpoint_codec::EndpointCommand;
use platform::endpoint_codec::EndpointMessage;
use platform::line_frame::FrameError;
use session_core::answer_check::AnswerCheck;
use session_core::answer_check::AnswerFault;
use session_core::answer_check::AnswerParts;
use session_core::answer_check::AnswerVerdict;
use session_core::answer_check::ExpectedAnswer;
use session_core::answer_matching::AnswerMatching;
use session_core::caller_statement::AccessMode;
use session_core::endpoint_entry::EndpointEntry;
use session_core::ids::TeamId;
use session_core::memory_account::MemoryPart;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::request_outcome::StatementFault;
use session_core::session_state::SessionState;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::answer_reporter::AnswerReporter;
use crate::endpoint_connection::AnswerBudget;
use crate::endpoint_connection::ConnectError;
use crate::endpoint_connection::EndpointAnswer;
use crate::instance_limits::UNACKNOWLEDGED_TIMEOUT;
use crate::line_channel::LineChannel;
use crate::line_channel::UnreadInput;

/// A connection of this instance to an endpoint.
#[derive(Debug)]
pub struct EndpointChannel {
    line: LineChannel<EndpointCodec>,
    check: AnswerCheck,
    /// Reports unexpected answers.
    pub reporter: AnswerReporter,
}

impl EndpointChannel {
    /// Connects to an endpoint and starts a session for a team.
    ///
    /// # Errors
    ///
    /// See [`ConnectError`].
    pub async fn open(
        entry: &EndpointEntry,
        team: Option<TeamId>,
        reporter: AnswerReporter,
    ) -> Result<Self, ConnectError> {
        let stream = TcpStream::connect(entry.address)
            .await
            .map_err(ConnectError::Io)?;
        stream.set_nodelay(true).map_err(ConnectError::Io)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
            .map_err(ConnectError::Io)?;
        let mut channel = Self {
            line: LineChannel::new(stream, EndpointCodec::default()),
            check: AnswerCheck::default(),
            reporter,
        };
        let startup = EndpointCommand::Startup {
            service: entry.service.clone(),
            team,
            endpoint: entry.id.clone(),
        };
        let io = |error: FrameError| ConnectError::Io(io::Error::other(error.to_string()));
        channel.line.queue(startup).map_err(io)?;
        channel.line.flush().await.map_err(ConnectError::Io)?;
        let mut held_up = Duration::ZERO;
        loop {
            let message = channel.next_message(None, 0, &mut held_up);
            match message.await.map_err(io)? {
                EndpointMessage::Ready { .. } => return Ok(channel),
                EndpointMessage::Refused { refusal, .. } => {
                    return Err(ConnectError::Refused(refusal));
                }
                EndpointMessage::Row(_) | EndpointMessage::Done(_) => {}
            }
        }
    }

    /// Returns whether the endpoint closed the connection or sent data while it was idle.
    pub fn is_stale(&self) -> bool {
        let unread = self.line.unread();
        if unread == UnreadInput::Bytes {
            self.reporter.report_bytes(AnswerFault::Unrequested);
        }
        unread != UnreadInput::Nothing
    }

    /// Returns whether the connection must be replaced after its present use.
    pub fn is_worn(&self) -> bool {
        self.check.is_worn()
    }

    /// Returns whether the endpoint has acknowledged a statement without a receipt.
    pub fn has_acknowledged(&self) -> bool {
        self.check.has_acknowledged()
    }

    /// Sends several statements at once and returns their answers in order. `state` is the transaction
    /// state before them. If one of them is refused, the transaction is rolled back.
    ///
    /// # Errors
    ///
    /// Returns how far the last statement may have got; the connection must not be used again.
    pub async fn exchange(
        &mut self,
        commands: Vec<EndpointCommand>,
        state: SessionState,
        matching: AnswerMatching,
        budget: Option<AnswerBudget<'_>>,
    ) -> Result<Vec<EndpointAnswer>, StatementFault> {
        if matching == AnswerMatching::Strict && self.is_stale() {
            return Err(StatementFault::NotSent);
        }
        let has_refused = self.check.has_refused();
        let answers = self
            .run_statements(commands, state, matching, budget)
            .await?;
        if let Some(last) = answers.last()
            && answers.iter().any(|answer| answer.result.is_err())
        {
            self.end_refused(last.state, has_refused).await?;
        }
        Ok(answers)
    }

    async fn run_statements(
        &mut self,
        commands: Vec<EndpointCommand>,
        mut state: SessionState,
        matching: AnswerMatching,
        budget: Option<AnswerBudget<'_>>,
    ) -> Result<Vec<EndpointAnswer>, StatementFault> {
        let mut expected = Vec::with_capacity(commands.len());
        for command in &commands {
            if let Some(answer) = command.expected_answer(state) {
                state = answer.state;
                expected.push(answer);
            }
        }
        let sent_at = now();
        for command in commands {
            // Nothing of the commands was written, and nothing of them is left to be written.
            self.line
                .queue(command)
                .map_err(|_| StatementFault::NotSent)?;
        }
        self.line
            .flush()
            .await
            .map_err(|_| StatementFault::Broken)?;
        let mut answers = Vec::with_capacity(expected.len());
        for expected in expected {
            let answer = self.read_own_answer(expected, sent_at, matching, budget);
            answers.push(answer.await?);
        }
        Ok(answers)
    }

    /// Rolls the transaction back after a refusal. Unless it was the first on the connection, makes sure
    /// that it is not a copy of an earlier one, by statements whose answers cannot be those of the refused
    /// one. They need no slot of the endpoint.
    async fn end_refused(
        &mut self,
        state: SessionState,
        is_repeated: bool,
    ) -> Result<(), StatementFault> {
        let begin = EndpointCommand::Begin {
            mode: AccessMode::Read,
            floor: None,
        };
        let mut commands = match state {
            SessionState::Idle => vec![],
            SessionState::Open | SessionState::Failed => vec![EndpointCommand::Rollback],
        };
        if is_repeated {
            // With one pair, the refusal and both answers could be copies that arrive in order.
            for _ in 0..2 {
                commands.extend([begin.clone(), EndpointCommand::Rollback]);
            }
        }
        if commands.is_empty() {
            return Ok(());
        }
        let matching = AnswerMatching::AfterRefusal;
        self.run_statements(commands, state, matching, None)
            .await
            .map(drop)
    }

    /// Reads the answer to a statement, and passes over those that belong to another one.
    async fn read_own_answer(
        &mut self,
        expected: ExpectedAnswer,
        sent_at: MonotonicTime,
        matching: AnswerMatching,
        budget: Option<AnswerBudget<'_>>,
    ) -> Result<EndpointAnswer, StatementFault> {
        loop {
            let answer = self.read_answer(sent_at, budget).await?;
            let result = match &answer.result {
                Ok(receipt) => Ok(endpoint_codec::parse_receipt(receipt)),
                Err((_, text)) => Err(text.as_str()),
            };
            let parts = AnswerParts {
                rows: answer.rows.len(),
                result,
                state: answer.state,
            };
            let verdict = self.check.judge(expected, matching, parts);
            let fault = match verdict {
                AnswerVerdict::Own => return Ok(answer),
                AnswerVerdict::PassedOver(fault) | AnswerVerdict::Broken(fault) => fault,
            };
            self.reporter.report_answer(fault, expected, &answer);
            if matches!(verdict, AnswerVerdict::Broken(_)) {
                return Err(StatementFault::Broken);
            }
        }
    }

    async fn read_answer(
        &mut self,
        sent_at: MonotonicTime,
        budget: Option<AnswerBudget<'_>>,
    ) -> Result<EndpointAnswer, StatementFault> {
        let mut rows = Vec::new();
        let mut result = None;
        let mut held = 0;
        let mut held_up = Duration::ZERO;
        loop {
            let message = self.next_message(budget, held, &mut held_up).await;
            match (message.map_err(|_| StatementFault::Broken)?, result.take()) {
                (EndpointMessage::Row(row), None) => {
                    held += row_bytes(&row);
                    rows.push(row);
                }
                (EndpointMessage::Done(receipt), None) => result = Some(Ok(receipt)),
                (EndpointMessage::Refused { refusal, text }, None) => {
                    result = Some(Err((refusal, text)));
                }
                (EndpointMessage::Ready { state, position }, Some(result)) => {
                    return Ok(EndpointAnswer {
                        rows,
                        result,
                        state,
                        position,
                        sent_at,
                        took: now().saturating_since(sent_at + held_up),
                    });
                }
                (EndpointMessage::Ready { .. }, None) if rows.is_empty() => {
                    // Only the answer to the start-up has no result: this is a copy of it.
                    self.reporter.report_bytes(AnswerFault::Unrequested);
                    self.check.record_copy();
                }
                // Rows or a result after the result, or rows without one: parts of two answers.
                _ => {
                    self.reporter.report_bytes(AnswerFault::MessageOrder);
                    return Err(StatementFault::Broken);
                }
            }
        }
    }

    /// Reads the next message. `held` is the size of the answer so far. Adds the time for which there was no
    /// memory to `held_up`.
    async fn next_message(
        &mut self,
        budget: Option<AnswerBudget<'_>>,
        held: usize,
        held_up: &mut Duration,
    ) -> Result<EndpointMessage, FrameError> {
        loop {
            if let Some(message) = self.line.decode()? {
                return Ok(message);
            }
            if let Some(budget) = budget {
                let bytes = held + self.line.input_bytes_ahead();
                let memory = budget.memory;
                if bytes <= memory.held(MemoryPart::Output) {
                    // Reserved before the statement was sent.
                } else if !budget.waits {
                    memory.set(MemoryPart::Output, bytes);
                } else if !memory.try_set(MemoryPart::Output, bytes) {
                    let since = now();
                    memory.wait_set(MemoryPart::Output, bytes).await;
                    *held_up += now().saturating_since(since);
                }
            }
            if self.line.read_some().await? == 0 {
                return Err(FrameError::Io(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }
}

/// Returns what a row of an answer takes in memory.
pub fn row_bytes(row: &str) -> usize {
    size_of::<String>() + row.len()
}
