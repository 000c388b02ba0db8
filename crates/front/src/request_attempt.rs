//! One attempt to run a single statement or the first one of a transaction: chooses an endpoint,
//! acquires a permit and a connection, prepares the session's state and runs the statement.

use std::time::Duration;

use platform::endpoint_codec::EndpointCommand;
use platform::endpoint_codec::ForwardedStatement;
use session_core::admission_queue::AdmissionRequest;
use session_core::caller_statement::AccessMode;
use session_core::caller_statement::StatementDefinition;
use session_core::ids::EndpointId;
use session_core::ids::TeamId;
use session_core::monotonic_time::MonotonicTime;
use session_core::monotonic_time::now;
use session_core::pace_sample::WorkKind;
use session_core::request_outcome;
use session_core::request_outcome::EndpointRefusal;
use session_core::request_outcome::OutcomeScope;
use session_core::request_outcome::StatementFault;
use session_core::serving_rules::DatabaseRoute;

use crate::caller_session::BUSY_REASON;
use crate::caller_session::CallerSession;
use crate::caller_session::log_excerpt;
use crate::cold_endpoints;
use crate::endpoint_connection;
use crate::endpoint_connection::EndpointAnswer;
use crate::endpoint_pool::PoolError;
use crate::endpoint_pool::PooledConnection;
use crate::host_links;
use crate::host_links::ConnectionNeed;
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
    /// The request is refused at once, since it cannot be offered in time.
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
            Err(RouteRefusal::NoEndpoint) if self.busy.is_some() => {
                *reason = BUSY_REASON;
                return AttemptOutcome::Refused;
            }
            Err(RouteRefusal::Cold) => {
                *reason = RouteRefusal::Cold.reason();
                tracing::info!(event = "cold_share_used", request = log_excerpt(progress.id), service = %route.service);
                return AttemptOutcome::Refused;
            }
            Err(refusal) => {
                *reason = refusal.reason();
                if refusal.is_final() {
                    return AttemptOutcome::Refused;
                }
                progress.excluded.clear();
                return AttemptOutcome::Retry(ROUTE_PAUSE);
            }
        };
        let endpoint = chosen.entry.id.clone();
        // The primary is chosen again although it was busy, if only it can run the statement.
        if self.busy.as_ref().is_some_and(|b| b.endpoint == endpoint) {
            *reason = BUSY_REASON;
            return AttemptOutcome::Refused;
        }
        let outstanding = self.instance.pool.count_outstanding(&endpoint);
        let queue_end = progress.arrived + route.target_latency.mul_f64(QUEUE_FRACTION);
        let wait = queue_end.saturating_since(now()).max(MIN_WAIT);
        let instances = self.instance.view.borrow().members.len();
        let pool = &self.instance.pool;
        let request = AdmissionRequest {
            team: team.cloned(),
            kind: WorkKind::of(&self.database),
            priority: route.priority,
            refusals: self.busy_refusals,
            wait,
        };
        let permit = match pool
            .acquire_permit(&chosen.entry, instances, &request)
            .await
        {
            Ok(permit) => permit,
            Err(busy) => {
                *reason = BUSY_REASON;
                self.busy = Some(busy).filter(|_| self.instance.settings.endpoints_may_degrade);
                progress.excluded.push(endpoint);
                return AttemptOutcome::Retry(Duration::ZERO);
            }
        };
        let wait = queue_end.saturating_since(now()).max(MIN_WAIT);
        let need = ConnectionNeed {
            entry: &chosen.entry,
            team,
            session: &self.values,
            definition: statement.definition.as_ref(),
            bytes: statement.forwarded.text_bytes(),
            wait,
        };
        let acquired = host_links::acquire_connection(&self.instance, &need).await;
        let mut connection = match acquired {
            Ok(connection) => connection,
            Err(PoolError::Exhausted) => {
                *reason = "connections_in_use";
                tracing::info!(event = "connections_exhausted", request = log_excerpt(progress.id), endpoint = %endpoint, primary = chosen.primary);
                progress.excluded.push(endpoint);
                return AttemptOutcome::Retry(Duration::ZERO);
            }
            Err(PoolError::Connect(error)) => {
                *reason = "endpoint_not_connected";
                tracing::info!(event = "endpoint_not_connected", request = log_excerpt(progress.id), endpoint = %endpoint, %error);
                self.instance.record_connect_failure(&endpoint, &error);
                if begun.is_none() && statement.mode == AccessMode::Read {
                    let paces = &self.instance.paces;
                    paces.record_connect_failure(&chosen.entry, &self.database, &error);
                }
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
        if self.must_leave(&chosen) {
            *reason = RouteRefusal::Evacuated.reason();
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
        // The preparation of a replica may have waited for its floor.
        if self.must_leave(&chosen) {
            connection.mark_broken();
            *reason = RouteRefusal::Evacuated.reason();
            return AttemptOutcome::Retry(ROUTE_PAUSE);
        }
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
        let budget = self.answer_budget(scope);
        let result = connection
            .run_all(vec![command], route.statement_time, Some(budget))
            .await;
        drop((outstanding, permit));
        let result = result.and_then(|mut answers| answers.pop().ok_or(StatementFault::Broken));
        if scope == OutcomeScope::Single(AccessMode::Read) && !connection.has_host_fault() {
            let paces = &self.instance.paces;
            paces.record_read(&chosen, &self.database, &result);
        }
        match result {
            Ok(answer) => {
                let target = route.target_latency.mul_f64(SERVICE_TIME_FRACTION);
                self.instance
                    .pool
                    .record_latency(&endpoint, answer.took, target);
                self.record_answer(&endpoint, &answer, scope);
                match &answer.result {
                    Err((refusal, _)) if is_repeatable(*refusal) => {
                        progress.last_fault = Some(StatementFault::Refused(*refusal));
                        *reason = "endpoint_refused";
                        self.retry_refused(&mut connection, &endpoint, *refusal, progress)
                    }
                    _ => AttemptOutcome::Answered(answer, Box::new(connection), Box::new(chosen)),
                }
            }
            Err(fault) => {
                if !connection.has_host_fault() {
                    self.record_fault(&endpoint, fault, scope, sent_at);
                }
                progress.excluded.push(endpoint);
                progress.last_fault = Some(fault);
                match request_outcome::may_repeat(scope, fault) {
                    true => AttemptOutcome::Retry(Duration::ZERO),
                    false => AttemptOutcome::Failed(fault),
                }
            }
        }
    }

    /// Returns whether nothing may be sent to an endpoint that was chosen before its availability zone
    /// was evacuated.
    fn must_leave(&self, chosen: &ChosenEndpoint) -> bool {
        match chosen.primary {
            true => self.instance.is_evacuation_overdue(&chosen.entry.id),
            false => self.instance.is_evacuated(&chosen.entry),
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
        let definition = statement.definition.as_ref();
        let steps = connection.values().missing_steps(&self.values, definition);
        let mut commands: Vec<_> = steps.into_iter().map(EndpointCommand::Replay).collect();
        if commands.is_empty() && begin.is_none() {
            return Ok(());
        }
        if connection.may_repeat_acknowledgements() {
            // A copy could stand for a statement that is refused. The refusal is then seen in place of
            // one of these answers, instead of in place of that to the caller's statement.
            let read = EndpointCommand::Begin {
                mode: AccessMode::Read,
                floor: None,
            };
            commands.push(begin.clone().unwrap_or(read));
            commands.push(EndpointCommand::Rollback);
        }
        commands.extend(begin);
        let endpoint = connection.endpoint.clone();
        let run = connection.run_all(commands, route.statement_time, None);
        let answers = match run.await {
            Ok(answers) => answers,
            Err(fault) => {
                if !connection.has_host_fault() {
                    self.record_fault(&endpoint, fault, OutcomeScope::Inside, now());
                }
                progress.excluded.push(endpoint);
                progress.last_fault = Some(StatementFault::NotSent);
                return Err(AttemptOutcome::Retry(Duration::ZERO));
            }
        };
        let Some((refusal, text)) = endpoint_connection::first_refusal(&answers) else {
            return Ok(());
        };
        tracing::info!(event = "preparation_refused", request = log_excerpt(progress.id), endpoint = %endpoint, ?refusal, text);
        let refusal = *refusal;
        progress.last_fault = Some(StatementFault::Refused(refusal));
        Err(self.retry_refused(connection, &endpoint, refusal, progress))
    }

    /// Decides how to retry a statement that the endpoint refused.
    fn retry_refused(
        &self,
        connection: &mut PooledConnection,
        endpoint: &EndpointId,
        refusal: EndpointRefusal,
        progress: &mut RequestProgress<'_>,
    ) -> AttemptOutcome {
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
