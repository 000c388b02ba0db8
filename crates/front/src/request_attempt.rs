//! One attempt to run a single statement or the first one of a transaction: chooses an endpoint,
//! acquires a permit and a connection, prepares the session's state and runs the statement.

use std::time::Duration;

use platform::caller_codec::SessionState;
use platform::endpoint_codec::EndpointCommand;
use platform::endpoint_codec::ForwardedStatement;
use session_core::caller_statement::AccessMode;
use session_core::caller_statement::StatementDefinition;
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
use crate::cold_endpoints;
use crate::endpoint_connection::EndpointAnswer;
use crate::endpoint_pool::PoolError;
use crate::endpoint_pool::PooledConnection;
use crate::instance_limits::QUEUE_FRACTION;
use crate::instance_limits::ROUTE_PAUSE;
use crate::instance_limits::SERVICE_TIME_FRACTION;
use crate::request_route;
use crate::request_route::ChosenEndpoint;
use crate::request_route::RouteQuery;
use crate::request_route::RouteRefusal;

/// Pause before a retry after an endpoint's queue was full.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// Minimum time to wait for a permit or a connection.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// A statement to run on an endpoint.
pub(crate) struct EndpointStatement {
    pub mode: AccessMode,
    pub forwarded: ForwardedStatement,
    pub definition: Option<StatementDefinition>,
}

/// State of a request across its attempts.
pub(crate) struct RequestProgress<'a> {
    pub id: &'a str,
    pub arrived: MonotonicTime,
    pub excluded: Vec<EndpointId>,
    pub attempts: u32,
    pub first_sent_at: Option<MonotonicTime>,
    pub last_fault: Option<StatementFault>,
}

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The endpoint answered. The connection stays with the transaction or returns to the pool.
    Answered(EndpointAnswer, Box<PooledConnection>, Box<ChosenEndpoint>),
    /// The request may be retried after this pause, also on another endpoint.
    Retry(Duration),
    /// The request cannot be served now; it has not run.
    Refused,
    /// The statement must not be retried; the fault is reported to the caller.
    Failed(StatementFault),
}

impl CallerSession {
    /// Tries once to run a single statement or the first one of a transaction. Sets `reason` to the
    /// cause of a retry.
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
            Err(RouteRefusal::Cold) => {
                *reason = RouteRefusal::Cold.reason();
                tracing::info!(event = "cold_share_used", request = progress.id, service = %route.service);
                return AttemptOutcome::Refused;
            }
            Err(refusal) => {
                *reason = refusal.reason();
                progress.excluded.clear();
                return AttemptOutcome::Retry(ROUTE_PAUSE);
            }
        };
        let endpoint = chosen.entry.id.clone();
        let outstanding = self.instance.pool.count_outstanding(&endpoint);
        let queue_end = progress.arrived + route.target_latency.mul_f64(QUEUE_FRACTION);
        let wait = queue_end.saturating_since(now()).max(MIN_WAIT);
        let limit = self.instance.connection_limit(&route.service);
        let instances = self.instance.view.borrow().members.len();
        let pool = &self.instance.pool;
        let Some(permit) = pool
            .acquire_permit(&chosen.entry, instances, route.priority, wait)
            .await
        else {
            *reason = "endpoint_busy";
            progress.excluded.push(endpoint);
            return AttemptOutcome::Retry(Duration::ZERO);
        };
        let wait = queue_end.saturating_since(now()).max(MIN_WAIT);
        let acquired = pool
            .acquire_connection(&chosen.entry, team, &self.values, limit, wait)
            .await;
        let mut connection = match acquired {
            Ok(connection) => connection,
            Err(PoolError::Exhausted) => {
                *reason = "connections_in_use";
                tracing::info!(event = "connections_exhausted", request = progress.id, endpoint = %endpoint, primary = chosen.primary, limit = limit.max_in_use);
                progress.excluded.push(endpoint);
                return AttemptOutcome::Retry(Duration::ZERO);
            }
            Err(PoolError::Connect(error)) => {
                *reason = "endpoint_not_connected";
                tracing::info!(event = "endpoint_not_connected", request = progress.id, endpoint = %endpoint, %error);
                self.instance.record_connect_failure(&endpoint, &error);
                self.instance.pool.back_off(&endpoint);
                progress.excluded.push(endpoint);
                return AttemptOutcome::Retry(Duration::ZERO);
            }
        };
        // The right to use the primary may have ended while the request waited for a connection.
        if chosen.primary && !self.instance.may_use_primary(&route.service, &endpoint) {
            *reason = "primary_changed";
            return AttemptOutcome::Retry(ROUTE_PAUSE);
        }
        let statement_floor = match begun {
            Some((mode, _)) => {
                let begin = EndpointCommand::Begin {
                    mode,
                    floor: chosen.floor,
                };
                if let Err(outcome) = self
                    .prepare(&mut connection, statement, Some(begin), route, progress)
                    .await
                {
                    return outcome;
                }
                None
            }
            None => {
                if let Err(outcome) = self
                    .prepare(&mut connection, statement, None, route, progress)
                    .await
                {
                    return outcome;
                }
                chosen.floor
            }
        };
        // A transaction that has begun is rolled back when its connection is dropped.
        if !cold_endpoints::admit_statement(&self.instance, &endpoint) {
            *reason = RouteRefusal::Cold.reason();
            progress.excluded.push(endpoint);
            return AttemptOutcome::Retry(Duration::ZERO);
        }
        progress.attempts += 1;
        progress.first_sent_at.get_or_insert_with(now);
        let command = EndpointCommand::Pass {
            id: progress.id.to_owned(),
            floor: statement_floor,
            statement: statement.forwarded.clone(),
        };
        let scope = self.first_statement_scope(statement);
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
                match &answer.result {
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
                    true => AttemptOutcome::Retry(Duration::ZERO),
                    false => AttemptOutcome::Failed(fault),
                }
            }
        }
    }

    /// Replays the session's state on a connection and begins the transaction, if there is one.
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
            .replay(&self.values, statement.definition.as_ref());
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
                return Err(AttemptOutcome::Retry(Duration::ZERO));
            }
        };
        let refused = answers
            .iter()
            .enumerate()
            .find_map(|(index, answer)| Some((index, answer.result.as_ref().err()?)));
        let Some((index, (refusal, text))) = refused else {
            return Ok(());
        };
        tracing::info!(event = "preparation_refused", request = progress.id, endpoint = %endpoint, ?refusal, text);
        let refusal = *refusal;
        progress.last_fault = Some(StatementFault::Refused(refusal));
        if index < replayed {
            connection.mark_broken();
        }
        Err(self
            .retry_refused(connection, &endpoint, refusal, progress)
            .await)
    }

    /// Decides how to retry a statement that the endpoint refused.
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
                AttemptOutcome::Retry(Duration::ZERO)
            }
            EndpointRefusal::UnknownName => {
                connection.mark_broken();
                AttemptOutcome::Retry(Duration::ZERO)
            }
            EndpointRefusal::Busy => {
                pool.back_off(endpoint);
                pool.with_load(endpoint, |load| load.record_busy(now()));
                AttemptOutcome::Retry(BUSY_PAUSE)
            }
            _ => {
                progress.excluded.push(endpoint.clone());
                AttemptOutcome::Retry(ROUTE_PAUSE)
            }
        }
    }
}

/// Returns whether the statement had no effect after this refusal, so that it may be retried.
fn is_repeatable(refusal: EndpointRefusal) -> bool {
    request_outcome::may_repeat(
        OutcomeScope::Single(AccessMode::Write),
        StatementFault::Refused(refusal),
    )
}
