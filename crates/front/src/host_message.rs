//! Messages between an instance and the host of an endpoint's connections.
//!
//! They contain types of other modules, such as commands and refusals. A change of any of them that
//! is not a new variant at the end needs a new [`LINK_VERSION`].

use std::collections::BTreeMap;
use std::time::Duration;

use platform::endpoint_codec::EndpointCommand;
use serde::Deserialize;
use serde::Serialize;
use session_core::ids::EndpointId;
use session_core::ids::ServiceId;
use session_core::ids::TeamId;
use session_core::monotonic_time::MonotonicTime;
use session_core::prepared_name::PreparedName;
use session_core::request_outcome::EndpointRefusal;
use session_core::request_outcome::StatementFault;
use session_core::session_state::SessionState;

use crate::endpoint_connection::EndpointAnswer;

/// Version of the messages. Instances of different versions use no links between them.
pub const LINK_VERSION: u32 = 2;

/// Channel of messages that concern the whole link.
pub const LINK_CHANNEL: u32 = 0;

/// Request for a connection of a team to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ConnectionRequest {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Team whose statements run on the connection.
    pub team: Option<TeamId>,
    /// Values of the session.
    pub values: BTreeMap<String, String>,
    /// Name at the endpoint of the prepared statement to run, if there is one.
    pub prepared: Option<PreparedName>,
    /// Maximum time to wait while all connections are in use.
    pub wait: Duration,
}

/// Message to a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRequest {
    /// Begins the link and requests a `Pong`. A host of another version closes the link.
    Hello {
        /// Version of the sender's messages.
        version: u32,
    },
    /// Opens the channel and acquires a connection for it.
    Acquire(ConnectionRequest),
    /// Runs commands on the channel's connection, one after another.
    Run {
        /// The commands.
        commands: Vec<EndpointCommand>,
        /// Time on the host's clock after which the commands must not be sent to the endpoint.
        deadline: MonotonicTime,
        /// Time within which the endpoint must answer.
        time: Duration,
    },
    /// Closes the channel.
    Release {
        /// Whether another channel may use the connection.
        reusable: bool,
    },
    /// Requests a `Pong`.
    Ping,
}

/// Message of a host.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostReply {
    /// When the reply was made, on the host's clock.
    pub stamp: MonotonicTime,
    /// Content.
    pub body: ReplyBody,
}

/// Content of a host's message.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyBody {
    /// The channel has a connection.
    Acquired {
        /// Values that the connection holds, or `None` if they equal those of the request.
        values: Option<BTreeMap<String, String>>,
        /// Whether the connection holds the prepared statement of the request.
        prepared: bool,
    },
    /// The channel has no connection and is closed.
    Refused(HostRefusal),
    /// The endpoint answered each command.
    Answers {
        /// The answers in the order of the commands.
        answers: Vec<HostAnswer>,
        /// Time that the endpoint took for all of them.
        took: Duration,
    },
    /// The commands failed, and the connection is closed.
    Failed(StatementFault),
    /// Answers a `Ping`.
    Pong,
}

/// Answer of an endpoint as a host forwards it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostAnswer {
    /// Rows, as the endpoint sent them.
    pub rows: Vec<String>,
    /// The receipt, or the endpoint's refusal with its text.
    pub result: Result<String, (EndpointRefusal, String)>,
    /// Transaction state after the command.
    pub state: SessionState,
    /// Log position, as the endpoint sent it.
    pub position: String,
}

impl From<EndpointAnswer> for HostAnswer {
    fn from(answer: EndpointAnswer) -> Self {
        Self {
            rows: answer.rows,
            result: answer.result,
            state: answer.state,
            position: answer.position,
        }
    }
}

/// Why a host has no connection for a channel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRefusal {
    /// All connections stayed in use, or too many channels are open.
    NoRoom,
    /// The endpoint refused a new connection.
    EndpointRefused(EndpointRefusal),
    /// The endpoint could not be reached.
    NotConnected,
    /// The host does not know the endpoint, or not as one of this service.
    UnknownEndpoint,
    /// The host is stopping.
    Stopping,
}
