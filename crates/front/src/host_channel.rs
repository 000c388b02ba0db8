//! Channel of a link to a host: one endpoint connection that the host keeps.

use std::rc::Rc;
use std::time::Duration;

use platform::endpoint_codec::EndpointCommand;
use session_core::ids::EndpointId;
use session_core::monotonic_time::now;
use session_core::request_outcome::StatementFault;
use tokio::time::timeout;

use crate::endpoint_connection::EndpointAnswer;
use crate::host_link::HostLink;
use crate::host_message::HostRequest;
use crate::host_message::ReplyBody;

/// Time beyond a statement's time in which the host's report of its failure is awaited. The report
/// tells a silent endpoint from a silent host.
const REPORT_GRACE: Duration = Duration::from_millis(30);

/// Open channel. It is released when it is dropped.
#[derive(Debug)]
pub struct HostChannel {
    link: Rc<HostLink>,
    endpoint: EndpointId,
    number: u32,
    reusable: bool,
    /// Whether the last fault was one of the link or the host rather than of the endpoint.
    host_fault: bool,
}

impl HostChannel {
    /// Creates the channel of a connection that the host has acquired.
    pub fn new(link: Rc<HostLink>, endpoint: EndpointId, number: u32) -> Self {
        Self {
            link,
            endpoint,
            number,
            // Nothing has run on the connection yet.
            reusable: true,
            host_fault: false,
        }
    }

    /// Marks the connection as fit for other channels.
    pub fn set_reusable(&mut self) {
        self.reusable = true;
    }

    /// Returns whether the link is lost.
    pub fn is_lost(&self) -> bool {
        self.link.is_lost()
    }

    /// Returns whether the last fault says nothing about the endpoint.
    pub fn has_host_fault(&self) -> bool {
        self.host_fault
    }

    /// Runs commands on the connection and returns their answers.
    ///
    /// # Errors
    ///
    /// Returns how far the last command may have got. `NotSent` is certain: nothing was queued, or
    /// the host says that it forwarded nothing.
    pub async fn run(
        &mut self,
        commands: Vec<EndpointCommand>,
        time: Duration,
    ) -> Result<Vec<EndpointAnswer>, StatementFault> {
        self.host_fault = true;
        self.reusable = false;
        let sent_at = now();
        let bytes = postcard::to_stdvec(&commands).map_err(|_| StatementFault::NotSent)?;
        let deadline = self.link.forward_deadline(sent_at, bytes.len());
        let request = HostRequest::Run {
            commands,
            deadline: deadline.ok_or(StatementFault::NotSent)?,
            time,
        };
        let reply = self.link.request(self.number, &request);
        let reply = reply.map_err(|_| StatementFault::NotSent)?;
        let body = match timeout(time + REPORT_GRACE, reply).await {
            Ok(Ok(reply)) => reply.body,
            Ok(Err(_)) => return Err(StatementFault::Broken),
            Err(_) => return Err(StatementFault::Overdue),
        };
        match body {
            ReplyBody::Answers { answers, took } => {
                self.host_fault = false;
                let answers = answers.into_iter().map(|answer| EndpointAnswer {
                    rows: answer.rows,
                    result: answer.result,
                    state: answer.state,
                    position: answer.position,
                    sent_at,
                    took,
                });
                Ok(answers.collect())
            }
            ReplyBody::Failed(fault) => {
                self.host_fault = fault == StatementFault::NotSent;
                if !self.host_fault {
                    self.link.record_endpoint_fault(&self.endpoint);
                }
                Err(fault)
            }
            ReplyBody::Acquired { .. } | ReplyBody::Refused(_) | ReplyBody::Pong => {
                Err(StatementFault::Broken)
            }
        }
    }
}

impl Drop for HostChannel {
    fn drop(&mut self) {
        self.link.release(self.number, self.reusable);
    }
}
