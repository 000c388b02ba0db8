//! Guards against an answer of an endpoint that is taken for that of another statement. A model endpoint
//! answers the statements of a connection in order and sends copies of earlier answers at any moment.

use std::collections::VecDeque;

use proptest::prelude::*;
use session_core::answer_check::AnswerCheck;
use session_core::answer_check::AnswerKind;
use session_core::answer_check::AnswerParts;
use session_core::answer_check::AnswerVerdict;
use session_core::answer_check::ExpectedAnswer;
use session_core::answer_matching::AnswerMatching;
use session_core::session_state::SessionState;

/// Statements that the model connection runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ModelStatement {
    /// A read or write.
    Run,
    /// A read or write that the endpoint refuses.
    Refused,
    /// A statement about the session.
    Step,
    /// A statement about the session that the endpoint refuses.
    RefusedStep,
    /// A transaction whose beginning the endpoint refuses, with one statement.
    RefusedTransaction,
    /// A transaction with this many statements, and its commit.
    Transaction(usize),
    /// A query of the endpoint's position.
    Position,
}

/// An answer of the model endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ModelAnswer {
    /// Number of the statement that it answers.
    statement: usize,
    rows: usize,
    result: Result<Option<String>, String>,
    state: SessionState,
}

/// Endpoint that sends copies.
struct ModelEndpoint {
    sent: Vec<ModelAnswer>,
    /// For each position in the sequence of answers: which earlier answers are sent again before it.
    copies: VecDeque<Vec<prop::sample::Index>>,
    output: VecDeque<ModelAnswer>,
    /// Number of copies that were sent.
    copied: usize,
}

impl ModelEndpoint {
    fn answer(&mut self, answer: ModelAnswer) {
        for index in self.copies.pop_front().unwrap_or_default() {
            if !self.sent.is_empty() {
                self.output.push_back(index.get(&self.sent).clone());
                self.copied += 1;
            }
        }
        self.sent.push(answer.clone());
        self.output.push_back(answer);
    }
}

/// What the model connection expects of a statement, and how the endpoint answers it.
struct SentStatement {
    expected: ExpectedAnswer,
    refused: bool,
}

struct ModelConnection {
    endpoint: ModelEndpoint,
    check: AnswerCheck,
    statements: usize,
    state: SessionState,
}

/// The connection must not be used again.
struct Broken;

impl ModelConnection {
    fn new(copies: Vec<Vec<prop::sample::Index>>) -> Self {
        Self {
            endpoint: ModelEndpoint {
                sent: Vec::new(),
                copies: copies.into(),
                output: VecDeque::new(),
                copied: 0,
            },
            check: AnswerCheck::default(),
            statements: 0,
            state: SessionState::Idle,
        }
    }

    fn expect(&self, kind: AnswerKind, state: SessionState) -> SentStatement {
        SentStatement {
            expected: ExpectedAnswer { kind, state },
            refused: false,
        }
    }

    /// Sends statements at once and returns the number of each with the answer that it got.
    fn exchange(
        &mut self,
        statements: &[SentStatement],
        matching: AnswerMatching,
    ) -> Result<Vec<(usize, ModelAnswer)>, Broken> {
        let first = self.statements;
        if matching == AnswerMatching::Strict && !self.endpoint.output.is_empty() {
            return Err(Broken);
        }
        for sent in statements {
            let number = self.statements;
            self.statements += 1;
            let result = match (sent.refused, sent.expected.kind) {
                (true, _) => Err("BUSY".to_owned()),
                (false, AnswerKind::Receipt) => Ok(Some(format!("r{number}"))),
                (false, _) => Ok(None),
            };
            self.endpoint.answer(ModelAnswer {
                statement: number,
                rows: usize::from(sent.expected.kind == AnswerKind::Report && !sent.refused),
                result,
                state: sent.expected.state,
            });
        }
        let mut answers = Vec::new();
        for (index, sent) in statements.iter().enumerate() {
            answers.push((first + index, self.read(sent.expected, matching)?));
        }
        Ok(answers)
    }

    fn read(
        &mut self,
        expected: ExpectedAnswer,
        matching: AnswerMatching,
    ) -> Result<ModelAnswer, Broken> {
        loop {
            // An answer that does not come breaks the connection after a time.
            let answer = self.endpoint.output.pop_front().ok_or(Broken)?;
            let result = match &answer.result {
                Ok(receipt) => Ok(receipt.as_deref()),
                Err(text) => Err(text.as_str()),
            };
            let parts = AnswerParts {
                rows: answer.rows,
                result,
                state: answer.state,
            };
            match self.check.judge(expected, matching, parts) {
                AnswerVerdict::Own => return Ok(answer),
                AnswerVerdict::PassedOver(_) => {}
                AnswerVerdict::Broken(_) => return Err(Broken),
            }
        }
    }

    /// Runs one statement with a receipt and checks that the answer is its own.
    fn run(&mut self, refused: bool) -> Result<(), Broken> {
        let has_refused = self.check.has_refused();
        let mut sent = self.expect(AnswerKind::Receipt, self.state);
        sent.refused = refused;
        let answers = self.exchange(&[sent], AnswerMatching::Lenient)?;
        let (number, answer) = &answers[0];
        if answer.result.is_ok() {
            assert_eq!(answer.statement, *number, "{answer:?}");
            return Ok(());
        }
        self.end_refused(has_refused)?;
        assert!(refused, "{number} ran and seemed to be refused");
        Ok(())
    }

    /// Rolls back after a refusal and confirms it, as the daemon does.
    fn end_refused(&mut self, is_repeated: bool) -> Result<(), Broken> {
        let acknowledged = |state| self.expect(AnswerKind::Acknowledgement, state);
        let mut statements = match self.state {
            SessionState::Idle => vec![],
            SessionState::Open | SessionState::Failed => vec![acknowledged(SessionState::Idle)],
        };
        if is_repeated {
            for _ in 0..2 {
                statements.push(acknowledged(SessionState::Open));
                statements.push(acknowledged(SessionState::Idle));
            }
        }
        self.state = SessionState::Idle;
        self.exchange(&statements, AnswerMatching::AfterRefusal)
            .map(drop)
    }

    /// Runs steps of the session and begins a transaction, if `refuses_begin` says whether it is
    /// refused, as the daemon prepares a connection.
    fn prepare(
        &mut self,
        mut statements: Vec<SentStatement>,
        refuses_begin: Option<bool>,
    ) -> Result<(), Broken> {
        let begin = |refused| SentStatement {
            refused,
            ..self.expect(AnswerKind::Acknowledgement, SessionState::Open)
        };
        if self.check.has_acknowledged() {
            statements.push(begin(refuses_begin.unwrap_or(false)));
            statements.push(self.expect(AnswerKind::Acknowledgement, SessionState::Idle));
        }
        statements.extend(refuses_begin.map(begin));
        let answers = self.exchange(&statements, AnswerMatching::Lenient)?;
        // The preparation ends with a refusal, and nothing of the caller's is sent.
        match answers.iter().all(|(_, answer)| answer.result.is_ok()) {
            true => Ok(()),
            false => Err(Broken),
        }
    }

    fn run_model(&mut self, statement: ModelStatement) -> Result<(), Broken> {
        match statement {
            ModelStatement::Run => self.run(false),
            ModelStatement::Refused => self.run(true),
            ModelStatement::Step => {
                let step = self.expect(AnswerKind::Acknowledgement, self.state);
                self.prepare(vec![step], None)
            }
            ModelStatement::RefusedStep => {
                let mut step = self.expect(AnswerKind::Acknowledgement, self.state);
                step.refused = true;
                self.prepare(vec![step], None)?;
                panic!("a copy stands for a step that was refused");
            }
            ModelStatement::RefusedTransaction => {
                self.prepare(Vec::new(), Some(true))?;
                panic!("a copy stands for a transaction that was refused");
            }
            ModelStatement::Transaction(count) => {
                self.prepare(Vec::new(), Some(false))?;
                self.state = SessionState::Open;
                for _ in 0..count {
                    self.run(false)?;
                }
                self.state = SessionState::Idle;
                self.run(false)
            }
            ModelStatement::Position => {
                let copied = self.copies_before();
                let begin = self.expect(AnswerKind::Acknowledgement, SessionState::Open);
                let end = self.expect(AnswerKind::Acknowledgement, SessionState::Idle);
                let answers = self.exchange(&[begin, end], AnswerMatching::Strict)?;
                self.assert_current(&answers[0], copied);
                Ok(())
            }
        }
    }

    /// Returns the number of copies that were sent and read before the next exchange.
    fn copies_before(&self) -> usize {
        self.endpoint
            .copied
            .saturating_sub(self.endpoint.output.len())
    }

    /// Checks an answer without a receipt. Two copies in one exchange can replace one.
    fn assert_current(&self, (number, answer): &(usize, ModelAnswer), copied: usize) {
        let is_certain = self.endpoint.copied - copied <= 1;
        assert!(!is_certain || answer.statement == *number, "{answer:?}");
    }
}

fn model_statement() -> impl Strategy<Value = ModelStatement> {
    prop_oneof![
        4 => Just(ModelStatement::Run),
        2 => Just(ModelStatement::Refused),
        2 => Just(ModelStatement::Step),
        2 => (0..3_usize).prop_map(ModelStatement::Transaction),
        1 => Just(ModelStatement::Position),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    /// Whatever copies an endpoint sends, a statement with a receipt gets its own answer or refusal, or
    /// none. A position is current, unless more than one copy arrives in its exchange.
    #[test]
    fn answers_belong_to_their_statements(
        statements in prop::collection::vec(model_statement(), 1..12),
        copies in prop::collection::vec(
            prop_oneof![
                6 => Just(Vec::new()),
                2 => prop::collection::vec(any::<prop::sample::Index>(), 1..4),
            ],
            0..40,
        ),
    ) {
        run_statements(ModelConnection::new(copies), statements);
    }

    /// A copy must not stand for a step that is refused: the refusal would be taken for that of the
    /// next statement, which runs without the step.
    #[test]
    fn refused_steps_stay_apart(
        statements in prop::collection::vec(refused_or_other(), 1..12),
        copies in single_copies(),
    ) {
        run_statements(ModelConnection::new(copies), statements);
    }
}

fn refused_or_other() -> impl Strategy<Value = ModelStatement> {
    prop_oneof![
        model_statement(),
        Just(ModelStatement::RefusedStep),
        Just(ModelStatement::RefusedTransaction),
    ]
}

fn single_copies() -> impl Strategy<Value = Vec<Vec<prop::sample::Index>>> {
    let copies = prop::collection::vec(any::<prop::sample::Index>(), 0..2);
    prop::collection::vec(copies, 0..40)
}

fn run_statements(mut connection: ModelConnection, statements: Vec<ModelStatement>) {
    for statement in statements {
        if connection.run_model(statement).is_err() {
            break;
        }
    }
}

/// A report is requested on a new connection, as copies of earlier ones may arrive on any other.
#[test]
fn report_on_new_connection() {
    let mut connection = ModelConnection::new(Vec::new());
    let report = connection.expect(AnswerKind::Report, SessionState::Idle);
    let answers = connection.exchange(&[report], AnswerMatching::Lenient);
    let answers = answers.ok().expect("the report arrives");
    assert_eq!(answers[0].0, answers[0].1.statement);
}

/// An endpoint that copies both answers of a position's exchange must not have the copies taken for the
/// next position, which would then lack the commits between them.
#[test]
fn copied_position_exchange() {
    let mut connection = ModelConnection::new(Vec::new());
    assert!(connection.run_model(ModelStatement::Position).is_ok());
    let copies = connection.endpoint.sent.clone();
    connection.endpoint.output.extend(copies);
    let begin = connection.expect(AnswerKind::Acknowledgement, SessionState::Open);
    let end = connection.expect(AnswerKind::Acknowledgement, SessionState::Idle);
    let answers = connection.exchange(&[begin, end], AnswerMatching::Strict);
    if let Ok(answers) = answers {
        assert_eq!(answers[0].0, answers[0].1.statement);
    }
}
