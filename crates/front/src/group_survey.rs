//! Queries the endpoints of a group for their roles and log positions, and sends them commands.

use std::time::Duration;

use futures_util::future::join_all;
use platform::endpoint_codec;
use platform::endpoint_codec::EndpointCommand;
use session_core::endpoint_entry::EndpointEntry;
use session_core::promotion_step::EndpointReport;
use session_core::promotion_step::SurveyedEndpoint;

use crate::endpoint_connection::EndpointConnection;
use crate::instance::Instance;

/// Timeout of an endpoint's report, the time in its queue included.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of attempts to query a report while the endpoint refuses, for example because its
/// queue is full.
const REPORT_ATTEMPTS: usize = 3;

/// Queries the listed and the dropped endpoints of a group in parallel.
pub async fn survey_group(
    instance: &Instance,
    listed: &[EndpointEntry],
    dropped: &[EndpointEntry],
) -> Vec<SurveyedEndpoint> {
    let entries = listed.iter().map(|entry| (entry, true));
    let entries = entries.chain(dropped.iter().map(|entry| (entry, false)));
    let queries = entries.map(|(entry, listed)| async move {
        SurveyedEndpoint {
            id: entry.id.clone(),
            report: query_report(instance, entry).await,
            draining: entry.draining,
            listed,
            evacuated: instance.is_evacuated(entry),
        }
    });
    join_all(queries).await
}

/// Queries one endpoint.
pub async fn query_report(instance: &Instance, entry: &EndpointEntry) -> Option<EndpointReport> {
    request_report(instance, entry, &EndpointCommand::Status, || true).await
}

/// Sends a command to one endpoint and returns its report after the command. Asks `may_send` again on
/// the open connection, since that may take until the lead of this instance has ended.
pub async fn send_command(
    instance: &Instance,
    entry: &EndpointEntry,
    command: EndpointCommand,
    may_send: impl Fn() -> bool,
) -> Option<EndpointReport> {
    let report = request_report(instance, entry, &command, may_send).await;
    tracing::info!(event = "endpoint_ordered", endpoint = %entry.id, order = ?command, ?report);
    report
}

/// Requests a report on a new connection each time. Nothing in a report tells it from a copy of an
/// earlier one, and promotions are decided by it.
async fn request_report(
    instance: &Instance,
    entry: &EndpointEntry,
    command: &EndpointCommand,
    may_send: impl Fn() -> bool,
) -> Option<EndpointReport> {
    for _ in 0..REPORT_ATTEMPTS {
        let counter = &instance.metrics.unexpected_answers;
        let mut connection = match EndpointConnection::open(entry, None, counter).await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::info!(event = "endpoint_not_connected", endpoint = %entry.id, %error);
                return None;
            }
        };
        if !may_send() {
            tracing::info!(event = "command_withheld", endpoint = %entry.id, ?command);
            return None;
        }
        if *command == EndpointCommand::Status {
            instance.metrics.status_checks.inc();
        }
        match connection.run(command.clone(), REPORT_TIMEOUT).await {
            Ok(answer) => match (&answer.result, answer.rows.first()) {
                (Ok(_), Some(row)) => {
                    let report = endpoint_codec::parse_report(row);
                    if report.is_none() {
                        tracing::warn!(event = "report_unreadable", endpoint = %entry.id, row);
                    }
                    return report;
                }
                (end, _) => {
                    tracing::info!(event = "report_refused", endpoint = %entry.id, ?end);
                    tokio::time::sleep(REPORT_TIMEOUT / 10).await;
                }
            },
            Err(fault) => {
                tracing::info!(event = "report_missing", endpoint = %entry.id, ?fault);
                return None;
            }
        }
    }
    None
}
