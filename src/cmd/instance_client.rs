//! Sends HTTP requests to instances.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::Connector;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use serde::de::DeserializeOwned;

use crate::cmd::cmd_error::CmdError;
use crate::version::secret_text::SecretText;

/// The default HTTP address of an instance on this machine.
const DEFAULT_INSTANCE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9432);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why an instance gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceError {
    /// No complete answer arrived before the timeout.
    NoAnswer,
    /// The instance answered with an error status.
    Refused { status: u16, message: String },
    /// The answer is not valid UTF-8 or JSON of the expected form.
    BadAnswer,
}

impl fmt::Display for InstanceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InstanceError::NoAnswer => write!(f, "no answer"),
            InstanceError::Refused { status, message } => {
                write!(f, "refused with status {status}: {}", message.trim_end())
            }
            InstanceError::BadAnswer => write!(f, "invalid answer"),
        }
    }
}

impl std::error::Error for InstanceError {}

/// An instance without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceFailure {
    /// The HTTP address of the instance.
    pub address: SocketAddr,
    /// Why there is no usable answer.
    pub error: InstanceError,
}

impl fmt::Display for InstanceFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.address, self.error)
    }
}

/// The answers of several instances, in the order of their addresses.
#[derive(Debug)]
pub struct InstanceAnswers<T> {
    /// The answers.
    pub answers: Vec<T>,
    /// The instances without a usable answer.
    pub failures: Vec<InstanceFailure>,
}

impl<T> InstanceAnswers<T> {
    /// Returns an error if any instance gave no usable answer.
    pub fn check_complete(&self) -> Result<(), CmdError> {
        match self.failures.is_empty() {
            true => Ok(()),
            false => Err(CmdError::Instances {
                failures: self.failures.clone(),
            }),
        }
    }
}

/// Gets a JSON answer from each instance, or from the one on this machine if `addresses` is empty.
pub fn get_all<T: DeserializeOwned>(
    addresses: &[SocketAddr],
    path: &'static str,
) -> InstanceAnswers<T> {
    let mut addresses = addresses.to_vec();
    if addresses.is_empty() {
        addresses.push(DEFAULT_INSTANCE);
    }
    let targets = addresses.clone();
    let exchanges = async move {
        let Some(client) = new_client().await else {
            return vec![Err(InstanceError::NoAnswer); targets.len()];
        };
        let get = |address: &SocketAddr| exchange(&client, *address, path, HttpCall::Get);
        join_all(targets.iter().map(get)).await
    };
    let results = System::new("tamaracklb", DefaultRuntime).block_on(exchanges);
    let mut all = InstanceAnswers {
        answers: Vec::new(),
        failures: Vec::new(),
    };
    for (address, result) in addresses.into_iter().zip(results) {
        let read = |text: String| serde_json::from_str(&text).map_err(|_| InstanceError::BadAnswer);
        match result.and_then(read) {
            Ok(answer) => all.answers.push(answer),
            Err(error) => all.failures.push(InstanceFailure { address, error }),
        }
    }
    all
}

/// Sends a POST request to one instance, with `token` as bearer token; returns the answer's body.
pub fn post(
    address: SocketAddr,
    path: &'static str,
    token: Option<SecretText>,
) -> Result<String, InstanceFailure> {
    let call = async move {
        match new_client().await {
            Some(client) => exchange(&client, address, path, HttpCall::Post { token }).await,
            None => Err(InstanceError::NoAnswer),
        }
    };
    System::new("tamaracklb", DefaultRuntime)
        .block_on(call)
        .map_err(|error| InstanceFailure { address, error })
}

enum HttpCall {
    Get,
    Post { token: Option<SecretText> },
}

async fn new_client() -> Option<Client> {
    Client::builder()
        .connector::<()>(Connector::new())
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(MAX_ANSWER_BYTES)
        .build(SharedCfg::default())
        .await
        .ok()
}

async fn exchange(
    client: &Client,
    address: SocketAddr,
    path: &str,
    call: HttpCall,
) -> Result<String, InstanceError> {
    let url = format!("http://{address}{path}");
    let request = match call {
        HttpCall::Get => client.get(url),
        HttpCall::Post { token: None } => client.post(url),
        HttpCall::Post { token: Some(token) } => client.post(url).bearer_auth(token.expose()),
    };
    let answer = async {
        let response = request.send().await.map_err(|_| InstanceError::NoAnswer)?;
        let body = response.body().await.map_err(|_| InstanceError::NoAnswer)?;
        let text = String::from_utf8(body.to_vec()).map_err(|_| InstanceError::BadAnswer)?;
        match response.status().is_success() {
            true => Ok(text),
            false => Err(InstanceError::Refused {
                status: response.status().as_u16(),
                message: text,
            }),
        }
    };
    let timeout = u32::try_from(ANSWER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    ntex::time::timeout(ntex::time::Millis(timeout), answer)
        .await
        .unwrap_or(Err(InstanceError::NoAnswer))
}
