//! One attempt of a first statement: endpoint, limiter, connection, session state, statement.

use std::time::Duration;

use platform::caller_codec::SessionState;
use platform::endpoint_codec::EndpointCommand;
use platform::endpoint_codec::ForwardedStatement;
use session_core::caller_statement::AccessMode;
use session_core::caller_statement::StatementShape;
use session_core::ids::EndpointId;
use session_core::ids::TeamId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::request_outcome;
use session_core::request_outcome::EndpointRefusal;
use session_core::request_outcome::OutcomeScope;
use session_core::request_outcome::StatementFault;
use session_core::serving_rules::DatabaseRoute;

use crate::caller_session::CallerSession;
use crate::endpoint_connection::EndpointAnswer;
use crate::endpoint_pool::PoolError;
use crate::endpoint_pool::PooledConnection;
use crate::instance_limits::QUEUE_FRACTION;
use crate::instance_limits::ROUTE_PAUSE;
use crate::instance_limits::SERVICE_TIME_FRACTION;
use crate::request_route;
use crate::request_route::ChosenEndpoint;
use crate::request_route::RouteQuery;

/// Pause before a request goes to an endpoint whose queue was full.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// The least time to wait for a connection.
const LEAST_WAIT: Duration = Duration::from_millis(5);

/// A statement that goes to an endpoint.
pub(crate) struct EndpointStatement {
    pub mode: AccessMode,
    pub passed: ForwardedStatement,
    pub shape: Option<StatementShape>,
}

/// The progress of a request through its attempts.
pub(crate) struct RequestProgress<'a> {
    pub id: &'a str,
    pub arrived: MonotonicTime,
    pub excluded: Vec<EndpointId>,
    pub attempts: u32,
    pub offered_at: Option<MonotonicTime>,
    pub last_fault: Option<StatementFault>,
}

/// What an attempt led to.
pub(crate) enum AttemptOutcome {
    /// The endpoint answered; the connection goes on in a transaction or back to the pool.
    Answered(EndpointAnswer, Box<PooledConnection>, Box<ChosenEndpoint>),
    /// It did not run, and may run elsewhere or later.
    Again(Duration),
    /// The caller must hear how far it came.
    Ended(StatementFault),
}

impl CallerSession {
    /// Tries to run a first statement once.
    pub(crate) async fn attempt(
        &mut self,
        statement: &EndpointStatement,
        route: &DatabaseRoute,
        team: Option<&TeamId>,
        progress: &mut RequestProgress<'_>,
        reason: &mut &'static str,
    ) -> AttemptOutcome {
        let begun = self.transaction.as_ref().map(|t| (t.mode, t.arrived));
        let query = RouteQuery {
            route,
            team,
            mode: begun.map_or(statement.mode, |(mode, _)| mode),
            floor: self.floor,
            arrived: begun.map_or(progress.arrived, |(_, arrived)| arrived),
            excluded: &progress.excluded,
        };
        let chosen = match request_route::choose_endpoint(&self.instance, &query) {
            Ok(chosen) => chosen,
            Err(refusal) => {
                *reason = refusal.reason();
                progress.excluded.clear();
                return AttemptOutcome::Again(ROUTE_PAUSE);
            }
        };
        let endpoint = chosen.entry.id.clone();
        let outstanding = self.instance.pool.count_outstanding(&endpoint);
        let queue_end = progress.arrived + route.target_latency.mul_f64(QUEUE_FRACTION);
        let wait = queue_end.saturating_since(now()).max(LEAST_WAIT);
        let limit = self.instance.connection_limit(&route.service);
        let instances = self.instance.view.borrow().members.len();
        let pool = &self.instance.pool;
        let Some(permit) = pool
            .acquire_permit(&chosen.entry, instances, route.priority, wait)
            .await
        else {
            *reason = "endpoint_busy";
            progress.excluded.push(endpoint);
            return AttemptOutcome::Again(Duration::ZERO);
        };
        let wait = queue_end.saturating_since(now()).max(LEAST_WAIT);
        let obtained = pool
            .obtain(&chosen.entry, team, &self.values, limit, wait)
            .await;
        let mut connection = match obtained {
            Ok(connection) => connection,
            Err(PoolError::Exhausted) => {
                *reason = "connections_in_use";
                tracing::info!(event = "connections_exhausted", request = progress.id, endpoint = %endpoint, primary = chosen.primary, limit = limit.used);
                progress.excluded.push(endpoint);
                return AttemptOutcome::Again(Duration::ZERO);
            }
            Err(PoolError::Connect(error)) => {
                *reason = "endpoint_not_connected";
                tracing::info!(event = "endpoint_not_connected", request = progress.id, endpoint = %endpoint, %error);
                self.instance.record_connect_failure(&endpoint, &error);
                self.instance.pool.back_off(&endpoint);
                progress.excluded.push(endpoint);
                return AttemptOutcome::Again(Duration::ZERO);
            }
        };
        // The permission may have ended while the request waited for its connection.
        if chosen.primary && !self.instance.may_use_primary(&route.service, &endpoint) {
            *reason = "primary_changed";
            return AttemptOutcome::Again(ROUTE_PAUSE);
        }
        let statement_floor = match begun {
            Some((mode, _)) => {
                let begin = EndpointCommand::Begin {
                    mode,
                    floor: chosen.floor,
                };
                if let Err(end) = self
                    .prepare(&mut connection, statement, Some(begin), route, progress)
                    .await
                {
                    return end;
                }
                None
            }
            None => {
                if let Err(end) = self
                    .prepare(&mut connection, statement, None, route, progress)
                    .await
                {
                    return end;
                }
                chosen.floor
            }
        };
        progress.attempts += 1;
        progress.offered_at.get_or_insert_with(now);
        let command = EndpointCommand::Pass {
            id: progress.id.to_owned(),
            floor: statement_floor,
            statement: statement.passed.clone(),
        };
        let scope = self.first_scope(statement);
        let sent_at = now();
        let result = connection.run(command, route.statement_time).await;
        drop((outstanding, permit));
        match result {
            Ok(answer) => {
                let latency = now().saturating_since(answer.sent_at);
                let target = route.target_latency.mul_f64(SERVICE_TIME_FRACTION);
                self.instance
                    .pool
                    .record_latency(&endpoint, latency, target);
                self.record_answer(&endpoint, &answer, scope);
                match &answer.end {
                    Err((refusal, _)) if is_repeatable(*refusal) => {
                        progress.last_fault = Some(StatementFault::Refused(*refusal));
                        *reason = "endpoint_refused";
                        self.retry_refused(&mut connection, &endpoint, *refusal, progress)
                            .await
                    }
                    _ => AttemptOutcome::Answered(answer, Box::new(connection), Box::new(chosen)),
                }
            }
            Err(fault) => {
                self.record_fault(&endpoint, fault, scope, sent_at);
                progress.excluded.push(endpoint);
                progress.last_fault = Some(fault);
                match request_outcome::may_repeat(scope, fault) {
                    true => AttemptOutcome::Again(Duration::ZERO),
                    false => AttemptOutcome::Ended(fault),
                }
            }
        }
    }

    /// Brings a connection into the state of the session and opens the transaction.
    async fn prepare(
        &self,
        connection: &mut PooledConnection,
        statement: &EndpointStatement,
        begin: Option<EndpointCommand>,
        route: &DatabaseRoute,
        progress: &mut RequestProgress<'_>,
    ) -> Result<(), AttemptOutcome> {
        let replay = connection
            .values
            .replay(&self.values, statement.shape.as_ref());
        let mut commands: Vec<_> = replay.into_iter().map(EndpointCommand::Replay).collect();
        let replayed = commands.len();
        commands.extend(begin);
        if commands.is_empty() {
            return Ok(());
        }
        let endpoint = connection.endpoint.clone();
        let answers = match connection.run_all(commands, route.statement_time).await {
            Ok(answers) => answers,
            Err(fault) => {
                self.record_fault(&endpoint, fault, OutcomeScope::Inside, now());
                progress.excluded.push(endpoint);
                progress.last_fault = Some(StatementFault::NotSent);
                return Err(AttemptOutcome::Again(Duration::ZERO));
            }
        };
        let refused = answers
            .iter()
            .enumerate()
            .find_map(|(index, answer)| Some((index, answer.end.as_ref().err()?)));
        let Some((index, (refusal, text))) = refused else {
            return Ok(());
        };
        tracing::info!(event = "preparation_refused", request = progress.id, endpoint = %endpoint, ?refusal, text);
        let refusal = *refusal;
        progress.last_fault = Some(StatementFault::Refused(refusal));
        if index < replayed {
            connection.give_up();
        }
        Err(self
            .retry_refused(connection, &endpoint, refusal, progress)
            .await)
    }

    /// Decides where a statement that did not run goes next.
    async fn retry_refused(
        &self,
        connection: &mut PooledConnection,
        endpoint: &EndpointId,
        refusal: EndpointRefusal,
        progress: &mut RequestProgress<'_>,
    ) -> AttemptOutcome {
        if connection.state != SessionState::Idle
            && !connection.is_broken()
            && connection
                .run(EndpointCommand::Rollback, BUSY_PAUSE * 4)
                .await
                .is_err()
        {
            tracing::debug!(event = "rollback_by_close", request = progress.id, endpoint = %endpoint);
        }
        let pool = &self.instance.pool;
        match refusal {
            EndpointRefusal::Lagging => {
                pool.with_load(endpoint, |load| load.record_missing_floor(now()));
                progress.excluded.push(endpoint.clone());
                AttemptOutcome::Again(Duration::ZERO)
            }
            EndpointRefusal::UnknownName => {
                connection.give_up();
                AttemptOutcome::Again(Duration::ZERO)
            }
            EndpointRefusal::Busy => {
                pool.back_off(endpoint);
                pool.with_load(endpoint, |load| load.record_busy(now()));
                AttemptOutcome::Again(BUSY_PAUSE)
            }
            _ => {
                progress.excluded.push(endpoint.clone());
                AttemptOutcome::Again(ROUTE_PAUSE)
            }
        }
    }
}

/// Whether a refusal of the first statement leaves nothing behind, so that it may run again.
fn is_repeatable(refusal: EndpointRefusal) -> bool {
    request_outcome::may_repeat(
        OutcomeScope::Single(AccessMode::Write),
        StatementFault::Refused(refusal),
    )
}
