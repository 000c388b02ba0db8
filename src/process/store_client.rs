//! The client of the platform's store; no other module uses the store's HTTP protocol.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::Method;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use store_wire::CasAnswer;
use store_wire::CasRequest;
use store_wire::ErrorAnswer;
use store_wire::InstanceEntry;
use store_wire::KeyEntry;
use store_wire::LeaseAnswer;
use store_wire::LeaseRequest;
use store_wire::MAX_VALUE_BYTES;
use store_wire::WatchAnswer;

use crate::process::store_calls::StoreCallKind;
use crate::process::store_calls::StoreCalls;
use crate::process::store_error::StoreError;
use crate::process::store_transport::StoreReply;
use crate::process::store_transport::StoreRequest;
use crate::process::store_transport::StoreTransport;

const SWAP_ATTEMPTS: u32 = 3;
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;

/// The known outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Written { revision: u64 },
    /// The key is at another revision; nothing was written.
    Conflict { revision: u64 },
}

/// A client of the store, for use from any thread.
#[derive(Debug, Clone)]
pub struct StoreClient {
    transport: StoreTransport,
    timeout: Duration,
}

impl StoreClient {
    /// Starts a client of the store at an address; each request ends within `timeout`.
    ///
    /// Returns the operating system's error if the client's thread cannot be started.
    pub fn start(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self {
            transport: StoreTransport::start(address)?,
            timeout,
        })
    }

    /// Returns the counters of calls.
    pub fn calls(&self) -> &Arc<StoreCalls> {
        self.transport.calls()
    }

    /// Reads a key; returns `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KeyEntry>, StoreError> {
        let path = format!("/v1/keys/{}", percent_encode(key));
        let reply = self
            .call(StoreCallKind::Get, Method::GET, path, None)
            .await?;
        match reply.status {
            OK => decode_body(&reply).map(Some),
            NOT_FOUND => Ok(None),
            _ => Err(error_of(&reply)),
        }
    }

    /// Writes a key if it is at the expected revision.
    ///
    /// After a lost answer the key is read back: if it has the new value, the write took effect, so
    /// different writers must write different values. If the key is unchanged, the call is
    /// repeated; this is safe because only one of the calls can match the expected revision.
    pub async fn compare_and_swap(&self, request: &CasRequest) -> Result<SwapOutcome, StoreError> {
        let bytes = request.value.len();
        if bytes > MAX_VALUE_BYTES {
            return Err(StoreError::ValueTooLarge { bytes });
        }
        let mut unknown = false;
        for _ in 0..SWAP_ATTEMPTS {
            match self.swap_once(request).await {
                Ok(SwapOutcome::Conflict { .. }) if unknown => {}
                Ok(outcome) => return Ok(outcome),
                Err(error) if error.is_not_applied() && !unknown => return Err(error),
                Err(_) => unknown = true,
            }
            if let Some(outcome) = self.read_back(request).await? {
                return Ok(outcome);
            }
        }
        Err(StoreError::NoAnswer)
    }

    async fn swap_once(&self, request: &CasRequest) -> Result<SwapOutcome, StoreError> {
        let kind = StoreCallKind::CompareAndSwap;
        let reply = self
            .call(
                kind,
                Method::POST,
                "/v1/cas".to_owned(),
                encode_body(request),
            )
            .await?;
        match reply.status {
            OK => decode_body::<CasAnswer>(&reply).map(|answer| SwapOutcome::Written {
                revision: answer.revision,
            }),
            CONFLICT => decode_body::<CasAnswer>(&reply).map(|answer| SwapOutcome::Conflict {
                revision: answer.revision,
            }),
            NOT_FOUND => Err(StoreError::LeaseNotFound),
            _ => Err(error_of(&reply)),
        }
    }

    /// Reads the key and derives the outcome of a lost write; `None` if the key is unchanged.
    async fn read_back(&self, request: &CasRequest) -> Result<Option<SwapOutcome>, StoreError> {
        let entry = self
            .get(&request.key)
            .await
            .map_err(|_| StoreError::NoAnswer)?;
        let revision = entry.as_ref().map_or(0, |entry| entry.revision);
        if revision == request.expected_revision {
            return Ok(None);
        }
        match entry {
            Some(entry) if entry.value == request.value => {
                Ok(Some(SwapOutcome::Written { revision }))
            }
            _ => Err(StoreError::Overtaken { revision }),
        }
    }

    /// Creates a lease and returns its id.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<String, StoreError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = encode_body(&LeaseRequest { ttl_ms });
        let reply = self
            .call(
                StoreCallKind::Lease,
                Method::POST,
                "/v1/leases".to_owned(),
                body,
            )
            .await?;
        match reply.status {
            OK => decode_body::<LeaseAnswer>(&reply).map(|answer| answer.lease),
            _ => Err(error_of(&reply)),
        }
    }

    /// Renews a lease; returns [`StoreError::LeaseNotFound`] if it has lapsed.
    pub async fn renew_lease(&self, lease: &str) -> Result<(), StoreError> {
        let path = format!("/v1/leases/{}/renew", percent_encode(lease));
        let reply = self
            .call(StoreCallKind::Renew, Method::POST, path, None)
            .await?;
        match reply.status {
            OK => Ok(()),
            NOT_FOUND => Err(StoreError::LeaseNotFound),
            _ => Err(error_of(&reply)),
        }
    }

    /// Ends a lease and removes its keys; succeeds if the lease has already lapsed.
    pub async fn revoke_lease(&self, lease: &str) -> Result<(), StoreError> {
        let path = format!("/v1/leases/{}", percent_encode(lease));
        let reply = self
            .call(StoreCallKind::Revoke, Method::DELETE, path, None)
            .await?;
        match reply.status {
            OK | NOT_FOUND => Ok(()),
            _ => Err(error_of(&reply)),
        }
    }

    /// Returns the changes of keys with a prefix after a revision.
    ///
    /// If there are none yet, waits at most `wait` for the first one.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchAnswer, StoreError> {
        let wait_ms = wait.as_millis();
        let prefix = percent_encode(prefix);
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let request = StoreRequest {
            kind: StoreCallKind::Watch,
            method: Method::GET,
            path,
            body: None,
            timeout: self.timeout + wait,
        };
        let reply = self.transport.send(request).await?;
        match reply.status {
            OK => decode_body(&reply),
            _ => Err(error_of(&reply)),
        }
    }

    /// Returns the platform's list of instances, which lags behind the actual state.
    pub async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        let path = "/v1/instances".to_owned();
        let reply = self
            .call(StoreCallKind::Instances, Method::GET, path, None)
            .await?;
        match reply.status {
            OK => parse_instances(&reply.body),
            _ => Err(error_of(&reply)),
        }
    }

    async fn call(
        &self,
        kind: StoreCallKind,
        method: Method,
        path: String,
        body: Option<Vec<u8>>,
    ) -> Result<StoreReply, StoreError> {
        let request = StoreRequest {
            kind,
            method,
            path,
            body,
            timeout: self.timeout,
        };
        self.transport.send(request).await
    }
}

/// Instance list whose entries are not decoded yet.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct RawInstances<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

/// Decodes the body of an instance list. Entries that cannot be decoded are logged and skipped, so
/// that one entry of another writer does not hide the others.
///
/// # Errors
///
/// `BadAnswer` if the body is not a JSON list of instances.
pub fn parse_instances(body: &[u8]) -> Result<Vec<InstanceEntry>, StoreError> {
    let list: RawInstances<'_> = serde_json::from_slice(body).map_err(|_| StoreError::BadAnswer)?;
    let entries = list.instances.into_iter().filter_map(|entry| {
        let decoded = serde_json::from_str(entry.get());
        decoded
            .inspect_err(|error| tracing::warn!("store: skipped an instance entry: {error}"))
            .ok()
    });
    Ok(entries.collect())
}

/// Serializes a body as JSON; this cannot fail for the wire types.
fn encode_body<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    serde_json::to_vec(value).ok()
}

fn decode_body<T: DeserializeOwned>(reply: &StoreReply) -> Result<T, StoreError> {
    serde_json::from_slice(&reply.body).map_err(|_| StoreError::BadAnswer)
}

/// Returns the error that an answer reports.
///
/// An internal error of the store counts as no answer, because the call may have been applied.
fn error_of(reply: &StoreReply) -> StoreError {
    if reply.status >= 500 {
        return StoreError::NoAnswer;
    }
    match serde_json::from_slice::<ErrorAnswer>(&reply.body) {
        Ok(answer) => StoreError::Refused {
            status: reply.status,
            code: answer.code,
        },
        Err(_) => StoreError::BadAnswer,
    }
}

/// Percent-encodes all bytes except those that are allowed in both a path and a query.
fn percent_encode(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
