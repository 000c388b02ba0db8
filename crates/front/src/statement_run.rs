//! Runs a statement of a session on an endpoint, and retries it if that is safe.

use std::time::Duration;

use platform::caller_codec::CallerReply;
use platform::caller_limits::CONNECTION_ALLOWANCE;
use platform::endpoint_codec;
use platform::endpoint_codec::EndpointCommand;
use platform::endpoint_codec::ForwardedStatement;
use session_core::caller_statement::AccessMode;
use session_core::caller_statement::CallerStatement;
use session_core::ids::EndpointId;
use session_core::ids::TeamId;
use session_core::loan_pacer::REQUEST_PAUSE;
use session_core::memory_account::MemoryPart;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::prepared_name::PreparedName;
use session_core::request_outcome;
use session_core::request_outcome::CallerVerdict;
use session_core::request_outcome::OutcomeScope;
use session_core::request_outcome::StatementFault;
use session_core::serving_rules::DatabaseRoute;
use session_core::serving_rules::TeamLimit;
use session_core::session_state::SessionState;

use crate::caller_session::CallerSession;
use crate::caller_session::EndReason;
use crate::caller_session::SessionRefusal;
use crate::caller_session::log_excerpt;
use crate::cold_endpoints;
use crate::endpoint_connection;
use crate::endpoint_connection::AnswerBudget;
use crate::endpoint_connection::EndpointAnswer;
use crate::endpoint_pool::PooledConnection;
use crate::instance_limits::QUEUE_FRACTION;
use crate::instance_limits::TOKEN_WAIT;
use crate::peer_link;
use crate::request_attempt::AttemptOutcome;
use crate::request_attempt::EndpointStatement;
use crate::request_attempt::RequestProgress;
use crate::request_route::ChosenEndpoint;
use crate::request_route::RouteRefusal;

/// What a row on the wire has in addition to its text, at most.
const ROW_BYTES: usize = 16;

/// Fraction of the target latency within which a request that has been sent may be retried.
const RETRY_FRACTION: f64 = 0.6;

impl CallerSession {
    pub(crate) async fn serve_statement(
        &mut self,
        id: &str,
        statement: CallerStatement,
        arrived: MonotonicTime,
    ) -> Result<(), EndReason> {
        let Some(statement) = self.endpoint_statement(statement) else {
            self.refuse_request(
                id,
                CallerVerdict::UnknownName,
                "unknown_prepared_name",
                arrived,
            );
            self.fail_transaction();
            return Ok(());
        };
        if let Err(error) = endpoint_codec::check_statement(id, &statement.forwarded) {
            self.fail_transaction();
            self.refuse_unsendable(id, &error, arrived);
            return Ok(());
        }
        let (route, team) = match self.transaction_access() {
            Ok(access) => access,
            Err(refusal) => return self.refuse_access(id, &refusal, arrived).await,
        };
        let running = self
            .transaction
            .as_ref()
            .is_some_and(|transaction| transaction.connection.is_some());
        if running {
            self.run_in_transaction(id, statement, arrived).await;
            return Ok(());
        }
        match self.run_first(id, statement, arrived, route, team).await {
            Some(refusal) => self.refuse_access(id, &refusal, arrived).await,
            None => Ok(()),
        }
    }

    /// Refuses a request whose key or route is not accepted, and ends the session unless the
    /// refusal is temporary.
    async fn refuse_access(
        &mut self,
        id: &str,
        refusal: &SessionRefusal,
        arrived: MonotonicTime,
    ) -> Result<(), EndReason> {
        self.transaction = None;
        self.refuse_request(id, refusal.verdict, refusal.reason, arrived);
        match refusal.verdict {
            CallerVerdict::Busy => Ok(()),
            _ => self.end_after_answer(refusal.reason).await,
        }
    }

    async fn end_after_answer(&mut self, reason: &'static str) -> Result<(), EndReason> {
        self.flush().await?;
        Err(reason)
    }

    fn endpoint_statement(&self, statement: CallerStatement) -> Option<EndpointStatement> {
        match statement {
            CallerStatement::Direct { mode, text } => Some(EndpointStatement {
                mode,
                forwarded: ForwardedStatement::Direct(text),
                definition: None,
            }),
            CallerStatement::Execute { name, arguments } => {
                let definition = self.values.prepared.get(&name)?.clone();
                Some(EndpointStatement {
                    mode: definition.mode,
                    forwarded: ForwardedStatement::Execute {
                        name: PreparedName::new(&definition),
                        arguments,
                    },
                    definition: Some(definition),
                })
            }
            CallerStatement::Commit => Some(EndpointStatement {
                mode: AccessMode::Read,
                forwarded: ForwardedStatement::Commit,
                definition: None,
            }),
            _ => None,
        }
    }

    fn fail_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
    }

    /// Runs a statement on the connection of its open transaction.
    async fn run_in_transaction(
        &mut self,
        id: &str,
        statement: EndpointStatement,
        arrived: MonotonicTime,
    ) {
        let Some(transaction) = &mut self.transaction else {
            return;
        };
        let Some(connection) = &mut transaction.connection else {
            return;
        };
        let is_commit = statement.forwarded == ForwardedStatement::Commit;
        if self.instance.is_evacuation_overdue(&connection.endpoint) {
            self.drop_transaction(is_commit);
            self.refuse_request(id, CallerVerdict::Aborted, "zone_evacuated", arrived);
            return;
        }
        transaction.wrote |= statement.mode == AccessMode::Write;
        let scope = match (is_commit, transaction.wrote) {
            (true, true) => OutcomeScope::Commit(AccessMode::Write),
            (true, false) => OutcomeScope::Commit(AccessMode::Read),
            (false, _) => OutcomeScope::Inside,
        };
        let time = transaction.statement_time;
        let endpoint = connection.endpoint.clone();
        // The caller may have set values or prepared names since the last statement.
        let definition = statement.definition.as_ref();
        let steps = connection.values().missing_steps(&self.values, definition);
        let mut commands: Vec<EndpointCommand> =
            steps.into_iter().map(EndpointCommand::Replay).collect();
        commands.push(EndpointCommand::Pass {
            id: id.to_owned(),
            floor: None,
            statement: statement.forwarded,
        });
        // The statements of a transaction cannot move to another endpoint.
        if !cold_endpoints::admit_statement(&self.instance, &endpoint) {
            self.drop_transaction(is_commit);
            let verdict = request_outcome::verdict(scope, StatementFault::NotSent);
            self.refuse_request(id, verdict, RouteRefusal::Cold.reason(), arrived);
            return;
        }
        let sent_at = now();
        let permit = self.instance.pool.acquire_unqueued(&endpoint);
        let budget = AnswerBudget {
            memory: &self.memory,
            waits: !scope.commits_writes(),
        };
        let result = connection.run_all(commands, time, Some(budget)).await;
        let number = connection.number();
        let is_host_fault = connection.has_host_fault();
        drop(permit);
        match result.and_then(|answers| statement_answer(answers, is_commit)) {
            Ok(answer) => {
                self.record_answer(&endpoint, &answer, scope);
                if answer.state == SessionState::Idle {
                    self.transaction = None;
                } else if answer.result.is_err() {
                    self.drop_transaction(false);
                }
                self.send_answer(id, scope, &endpoint, number, answer, arrived);
            }
            Err(fault) => {
                if !is_host_fault {
                    self.record_fault(&endpoint, fault, scope, sent_at);
                }
                self.drop_transaction(is_commit);
                self.send_fault(id, scope, &endpoint, fault, arrived);
            }
        }
    }

    /// Drops the connection of a transaction. Unless `ended`, the transaction stays failed until
    /// the caller ends it.
    fn drop_transaction(&mut self, ended: bool) {
        if ended {
            self.transaction = None;
        } else if let Some(transaction) = &mut self.transaction {
            transaction.connection = None;
            transaction.failed = true;
        }
    }

    /// Runs a single statement or the first one of a transaction. Returns a refusal if the session
    /// lost its access meanwhile.
    async fn run_first(
        &mut self,
        id: &str,
        statement: EndpointStatement,
        arrived: MonotonicTime,
        route: DatabaseRoute,
        team: Option<TeamId>,
    ) -> Option<SessionRefusal> {
        if !self.reserve_answer(&statement, &route, arrived).await {
            self.fail_transaction();
            self.refuse_request(id, CallerVerdict::Busy, "memory_short", arrived);
            return None;
        }
        if let Some(team) = &team
            && !self.admit(team, &route, arrived).await
        {
            self.fail_transaction();
            self.refuse_request(id, CallerVerdict::Busy, "team_rate_exceeded", arrived);
            return None;
        }
        let scope = self.first_statement_scope(&statement);
        let mut progress = RequestProgress {
            id,
            arrived,
            excluded: Vec::new(),
            attempts: 0,
            first_sent_at: None,
            last_fault: None,
        };
        let mut reason = "no_endpoint";
        self.busy = None;
        loop {
            let route = match self.access() {
                Ok((route, current)) if current == team => route,
                Ok(_) => return Some(SessionRefusal::MOVED_KEY),
                Err(refusal) => return Some(refusal),
            };
            let outcome = self
                .attempt(
                    &statement,
                    &route,
                    team.as_ref(),
                    &mut progress,
                    &mut reason,
                )
                .await;
            match outcome {
                AttemptOutcome::Answered(answer, connection, chosen) => {
                    self.finish_first(
                        &statement, &route, scope, answer, connection, team, *chosen, &progress,
                    );
                    return None;
                }
                AttemptOutcome::Failed(fault) => {
                    let endpoint = progress.excluded.last().cloned();
                    self.fail_transaction();
                    self.send_first_fault(&progress, scope, endpoint, fault);
                    return None;
                }
                AttemptOutcome::Retry(pause) => {
                    let fraction = match progress.first_sent_at {
                        Some(_) => RETRY_FRACTION,
                        None => QUEUE_FRACTION,
                    };
                    let end = arrived + route.target_latency.mul_f64(fraction);
                    if now() + pause < end {
                        tokio::time::sleep(pause).await;
                        continue;
                    }
                }
                AttemptOutcome::Refused => {}
            }
            if let Some(team) = &team {
                self.instance.rates.give_back(team);
            }
            self.fail_transaction();
            self.refuse_unserved(&progress, scope, reason);
            return None;
        }
    }

    /// Returns the budget of the answer to a statement outside a running transaction.
    pub(crate) fn answer_budget(&self, scope: OutcomeScope) -> AnswerBudget<'_> {
        AnswerBudget {
            memory: &self.memory,
            waits: !scope.commits_writes(),
        }
    }

    /// Returns the scope of a single statement or of the first one of a transaction. A commit that
    /// comes first commits no writes.
    pub(crate) fn first_statement_scope(&self, statement: &EndpointStatement) -> OutcomeScope {
        match (&self.transaction, &statement.forwarded) {
            (Some(_), ForwardedStatement::Commit) => OutcomeScope::Commit(AccessMode::Read),
            (Some(_), _) => OutcomeScope::Inside,
            (None, _) => OutcomeScope::Single(statement.mode),
        }
    }

    /// Waits until there is memory for an answer as large as that to the last read, if that exceeded
    /// the allowance. Otherwise, callers that request large answers would wait for memory while they
    /// occupy the endpoint's connections. Returns whether the statement may run; writes always may,
    /// as their answers are short.
    async fn reserve_answer(
        &mut self,
        statement: &EndpointStatement,
        route: &DatabaseRoute,
        arrived: MonotonicTime,
    ) -> bool {
        let reads =
            statement.mode == AccessMode::Read && statement.forwarded != ForwardedStatement::Commit;
        if !reads || self.answer_bytes as u64 <= CONNECTION_ALLOWANCE.0 {
            return true;
        }
        let end = arrived + route.target_latency.mul_f64(QUEUE_FRACTION);
        let reserved = self.memory.wait_set(MemoryPart::Output, self.answer_bytes);
        let reserved = tokio::time::timeout(end.saturating_since(now()), reserved).await;
        if reserved.is_err() {
            // The next answer may be small, so the expectation must not refuse for good.
            self.answer_bytes /= 2;
        }
        reserved.is_ok()
    }

    /// Takes a token of the team's rate, requesting a loan if needed. Returns whether the operation
    /// is admitted.
    async fn admit(&self, team: &TeamId, route: &DatabaseRoute, arrived: MonotonicTime) -> bool {
        let Some(limit) = self.team_limit(team) else {
            return true;
        };
        let rates = &self.instance.rates;
        self.instance.update_lending();
        rates.record_demand(team);
        let instances = self.instance.view.borrow().members.len();
        if rates.take(team, &limit, instances) {
            return true;
        }
        // Without a leader, waits for the full queue time, in which one may be elected.
        let queue_time = route.target_latency.mul_f64(QUEUE_FRACTION);
        let wait = match self.instance.view.borrow().leader {
            Some(_) => TOKEN_WAIT.min(queue_time),
            None => queue_time,
        };
        let end = arrived + wait;
        let mut lent = rates.subscribe();
        rates.begin_wait(team);
        let mut admitted = false;
        while !admitted && now() < end {
            if rates.may_request() {
                peer_link::request_loans(&self.instance, false);
            }
            let pause = end.saturating_since(now()).min(REQUEST_PAUSE);
            let changed = tokio::time::timeout(pause, lent.changed()).await;
            if matches!(changed, Ok(Err(_))) {
                break;
            }
            admitted = rates.take(team, &limit, instances);
        }
        rates.end_wait(team);
        if !admitted {
            tracing::info!(
                event = "rate_exhausted",
                database = log_excerpt(&self.database),
                team = %team,
                rate_per_s = limit.rate.0,
                burst = limit.burst.0,
                instances,
                leads = self.instance.leads(),
            );
        }
        admitted
    }

    fn team_limit(&self, team: &TeamId) -> Option<TeamLimit> {
        let view = self.instance.view.borrow();
        view.rules.as_ref()?.teams.get(team).copied()
    }

    #[allow(clippy::too_many_arguments)]
    fn finish_first(
        &mut self,
        statement: &EndpointStatement,
        route: &DatabaseRoute,
        scope: OutcomeScope,
        answer: EndpointAnswer,
        connection: Box<PooledConnection>,
        team: Option<TeamId>,
        chosen: ChosenEndpoint,
        progress: &RequestProgress<'_>,
    ) {
        let endpoint = connection.endpoint.clone();
        let number = connection.number();
        let wait = progress
            .first_sent_at
            .map_or(Duration::ZERO, |at| at.saturating_since(progress.arrived));
        self.instance.metrics.wait.observe(wait.as_secs_f64());
        tracing::info!(
            event = "request_routed",
            request = log_excerpt(progress.id),
            endpoint = %endpoint,
            connection = number,
            prepared = statement.forwarded.prepared_name().map(PreparedName::as_str),
            primary = chosen.primary,
            floor = chosen.floor.map(|floor| floor.to_string()),
            floor_age_ms = chosen.floor_age.map(|age| age.as_millis() as u64),
            version = self.version(),
            attempts = progress.attempts,
            waited_ms = wait.as_millis() as u64,
        );
        if let Some(transaction) = &mut self.transaction {
            transaction.wrote |= statement.mode == AccessMode::Write;
            transaction.statement_time = route.statement_time;
            match answer.state {
                SessionState::Idle => self.transaction = None,
                _ if answer.result.is_err() => transaction.failed = true,
                SessionState::Open | SessionState::Failed => {
                    transaction.connection = Some(*connection);
                    transaction.team = team;
                }
            }
        }
        self.send_answer(
            progress.id,
            scope,
            &endpoint,
            number,
            answer,
            progress.arrived,
        );
    }

    fn refuse_unserved(
        &mut self,
        progress: &RequestProgress<'_>,
        scope: OutcomeScope,
        reason: &'static str,
    ) {
        let verdict = match progress.last_fault {
            Some(fault) => request_outcome::verdict(scope, fault),
            None => CallerVerdict::Busy,
        };
        self.refuse_request(progress.id, verdict, reason, progress.arrived);
    }

    fn send_first_fault(
        &mut self,
        progress: &RequestProgress<'_>,
        scope: OutcomeScope,
        endpoint: Option<EndpointId>,
        fault: StatementFault,
    ) {
        match endpoint {
            Some(endpoint) => {
                self.send_fault(progress.id, scope, &endpoint, fault, progress.arrived);
            }
            None => self.refuse_unserved(progress, scope, "endpoint_lost"),
        }
    }

    fn send_fault(
        &mut self,
        id: &str,
        scope: OutcomeScope,
        endpoint: &EndpointId,
        fault: StatementFault,
        arrived: MonotonicTime,
    ) {
        let verdict = request_outcome::verdict(scope, fault);
        tracing::info!(event = "request_broken", request = log_excerpt(id), endpoint = %endpoint, ?scope, ?fault);
        self.refuse_request(id, verdict, "endpoint_lost", arrived);
    }

    /// Sends an endpoint's answer to the caller. `connection` is its number in log lines.
    fn send_answer(
        &mut self,
        id: &str,
        scope: OutcomeScope,
        endpoint: &EndpointId,
        connection: Option<u64>,
        answer: EndpointAnswer,
        arrived: MonotonicTime,
    ) {
        let held = now().saturating_since(arrived);
        self.instance.metrics.latency.observe(held.as_secs_f64());
        let commits = scope.commits_writes();
        match &answer.result {
            Ok(_)
                if commits
                    && !self
                        .instance
                        .may_pass_commit(endpoint, answer.sent_at, answer.point()) =>
            {
                tracing::info!(event = "commit_not_passed", request = log_excerpt(id), endpoint = %endpoint, position = answer.position);
                self.refuse_request(id, CallerVerdict::Unknown, "primary_changed", arrived);
            }
            Ok(receipt) => {
                if commits && let Some(point) = answer.point() {
                    self.floor = self.floor.max(Some(point));
                }
                tracing::info!(
                    event = "request_served",
                    request = log_excerpt(id),
                    endpoint = %endpoint,
                    connection,
                    receipt = log_excerpt(receipt),
                    ?scope,
                    position = answer.position,
                    took_ms = held.as_millis() as u64,
                );
                self.count_outcome("served");
                self.busy_refusals = 0;
                let receipt = receipt.clone();
                let bytes: usize = answer.rows.iter().map(|row| row.len() + ROW_BYTES).sum();
                self.channel.reserve_output(bytes);
                self.answer_bytes = bytes;
                for row in answer.rows {
                    self.queue_reply(CallerReply::Row(row));
                }
                self.queue_reply(CallerReply::Done(receipt));
                self.queue_ready(&answer.position);
            }
            Err((refusal, text)) => {
                let verdict = request_outcome::verdict(scope, StatementFault::Refused(*refusal));
                tracing::info!(event = "endpoint_refused", request = log_excerpt(id), endpoint = %endpoint, ?scope, text);
                self.refuse_request(id, verdict, "endpoint_refused", arrived);
            }
        }
    }

    fn count_outcome(&self, outcome: &str) {
        self.instance
            .metrics
            .statements
            .with_label_values(&[outcome])
            .inc();
    }

    pub(crate) fn record_answer(
        &self,
        endpoint: &EndpointId,
        answer: &EndpointAnswer,
        scope: OutcomeScope,
    ) {
        let acknowledged = answer.result.is_ok() && scope.commits_writes();
        self.instance.record_answer(endpoint, answer, acknowledged);
    }

    pub(crate) fn record_fault(
        &self,
        endpoint: &EndpointId,
        fault: StatementFault,
        scope: OutcomeScope,
        sent_at: MonotonicTime,
    ) {
        let write = scope.commits_writes();
        self.instance.record_fault(endpoint, fault, write, sent_at);
    }
}

/// Returns the answer to the last of the statements of a batch inside a transaction.
///
/// The statement may have run although a step before it was refused, without what its caller had set.
/// The transaction has been rolled back then, unless the statement was its commit.
fn statement_answer(
    mut answers: Vec<EndpointAnswer>,
    is_commit: bool,
) -> Result<EndpointAnswer, StatementFault> {
    let refusal = endpoint_connection::first_refusal(&answers).map(|(refusal, _)| *refusal);
    let answer = answers.pop().ok_or(StatementFault::Broken)?;
    match refusal {
        Some(refusal) if answer.result.is_ok() && !is_commit => {
            Err(StatementFault::Refused(refusal))
        }
        _ => Ok(answer),
    }
}
