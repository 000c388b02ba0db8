//! Queries the endpoints of a group for their roles and log positions, and sends them commands.

use std::collections::HashMap;
use std::time::Duration;

use futures_util::future::join_all;
use platform::endpoint_codec;
use platform::endpoint_codec::EndpointCommand;
use session_core::endpoint_entry::EndpointEntry;
use session_core::ids::EndpointId;
use session_core::promotion_step::EndpointReport;
use session_core::promotion_step::SurveyedEndpoint;

use crate::endpoint_connection::EndpointConnection;
use crate::instance::Instance;

/// Timeout of an endpoint's report, the time in its queue included.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of attempts to query a report while the endpoint refuses, for example because its
/// queue is full.
const REPORT_ATTEMPTS: usize = 3;

/// Connections to the endpoints of one group, kept for the duration of a change.
#[derive(Default)]
pub struct GroupSurvey {
    connections: HashMap<EndpointId, EndpointConnection>,
}

impl GroupSurvey {
    /// Queries the listed and the dropped endpoints of the group in parallel.
    pub async fn survey(
        &mut self,
        instance: &Instance,
        listed: &[EndpointEntry],
        dropped: &[EndpointEntry],
    ) -> Vec<SurveyedEndpoint> {
        let entries = listed.iter().map(|entry| (entry, true));
        let entries = entries.chain(dropped.iter().map(|entry| (entry, false)));
        let queries = entries.map(|(entry, listed)| {
            let kept = self.connections.remove(&entry.id);
            async move {
                let (connection, report) =
                    send_once(instance, entry, kept, EndpointCommand::Status).await;
                (entry, listed, connection, report)
            }
        });
        let mut surveyed = Vec::new();
        for (entry, listed, connection, report) in join_all(queries).await {
            if let Some(connection) = connection {
                self.connections.insert(entry.id.clone(), connection);
            }
            surveyed.push(SurveyedEndpoint {
                id: entry.id.clone(),
                report,
                draining: entry.draining,
                listed,
                evacuated: instance.is_evacuated(entry),
            });
        }
        surveyed
    }

    /// Sends a command to one endpoint and returns its report after the command.
    pub async fn send_command(
        &mut self,
        instance: &Instance,
        entry: &EndpointEntry,
        command: EndpointCommand,
    ) -> Option<EndpointReport> {
        let kept = self.connections.remove(&entry.id);
        let (connection, report) = send_once(instance, entry, kept, command.clone()).await;
        tracing::info!(event = "endpoint_ordered", endpoint = %entry.id, order = ?command, ?report);
        if let Some(connection) = connection {
            self.connections.insert(entry.id.clone(), connection);
        }
        report
    }
}

async fn send_once(
    instance: &Instance,
    entry: &EndpointEntry,
    kept: Option<EndpointConnection>,
    command: EndpointCommand,
) -> (Option<EndpointConnection>, Option<EndpointReport>) {
    let mut connection = match kept {
        Some(connection) => connection,
        None => match EndpointConnection::open(entry, None, &instance.metrics.unexpected_answers)
            .await
        {
            Ok(connection) => connection,
            Err(error) => {
                tracing::info!(event = "endpoint_not_connected", endpoint = %entry.id, %error);
                return (None, None);
            }
        },
    };
    for _ in 0..REPORT_ATTEMPTS {
        if command == EndpointCommand::Status {
            instance.metrics.status_checks.inc();
        }
        match connection
            .request_report(command.clone(), REPORT_TIMEOUT)
            .await
        {
            Ok(answer) => match (&answer.result, answer.rows.first()) {
                (Ok(_), Some(row)) => {
                    let report = endpoint_codec::parse_report(row);
                    if report.is_none() {
                        tracing::warn!(event = "report_unreadable", endpoint = %entry.id, row);
                    }
                    return (Some(connection), report);
                }
                (end, _) => {
                    tracing::info!(event = "report_refused", endpoint = %entry.id, ?end);
                    tokio::time::sleep(REPORT_TIMEOUT / 10).await;
                }
            },
            Err(fault) => {
                tracing::info!(event = "report_missing", endpoint = %entry.id, ?fault);
                return (None, None);
            }
        }
    }
    (Some(connection), None)
}
