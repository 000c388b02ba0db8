//! The adapter to the platform's store; nothing else knows its protocol.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use store_wire::CasAnswer;
use store_wire::CasRequest;
use store_wire::ErrorAnswer;
use store_wire::InstanceEntry;
use store_wire::InstanceList;
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

/// The definite outcome of a compare-and-swap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Written { revision: u64 },
    /// The key has another revision; nothing was written.
    Conflict { revision: u64 },
}

/// A client of the store, for use from any thread.
#[derive(Debug, Clone)]
pub struct StoreClient {
    transport: StoreTransport,
    timeout: Duration,
}

impl StoreClient {
    /// Starts a client of the store at an address; each call ends within `timeout`.
    ///
    /// Returns the error of the operating system if the thread cannot be started.
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

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Option<KeyEntry>, StoreError> {
        let path = format!("/v1/keys/{}", encode(key));
        let reply = self
            .call(StoreCallKind::Get, Method::GET, path, None)
            .await?;
        match reply.status {
            OK => decode(&reply).map(Some),
            NOT_FOUND => Ok(None),
            _ => Err(refusal(&reply)),
        }
    }

    /// Writes a key if it has the expected revision.
    ///
    /// A lost answer is resolved by reading back: the write happened if the key has the value, so
    /// values of different writers must differ. Where the key is unchanged, the same call is
    /// repeated, which is safe as only one of them can meet the expected revision.
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
            .call(kind, Method::POST, "/v1/cas".to_owned(), body(request))
            .await?;
        match reply.status {
            OK => decode::<CasAnswer>(&reply).map(|answer| SwapOutcome::Written {
                revision: answer.revision,
            }),
            CONFLICT => decode::<CasAnswer>(&reply).map(|answer| SwapOutcome::Conflict {
                revision: answer.revision,
            }),
            NOT_FOUND => Err(StoreError::LeaseNotFound),
            _ => Err(refusal(&reply)),
        }
    }

    /// Returns the outcome that the present entry shows, or `None` where the key is unchanged.
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

    /// Takes a new lease and returns its id.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<String, StoreError> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = body(&LeaseRequest { ttl_ms });
        let reply = self
            .call(
                StoreCallKind::Lease,
                Method::POST,
                "/v1/leases".to_owned(),
                body,
            )
            .await?;
        match reply.status {
            OK => decode::<LeaseAnswer>(&reply).map(|answer| answer.lease),
            _ => Err(refusal(&reply)),
        }
    }

    /// Renews a lease; [`StoreError::LeaseNotFound`] tells that it has lapsed.
    pub async fn renew_lease(&self, lease: &str) -> Result<(), StoreError> {
        let path = format!("/v1/leases/{}/renew", encode(lease));
        let reply = self
            .call(StoreCallKind::Renew, Method::POST, path, None)
            .await?;
        match reply.status {
            OK => Ok(()),
            NOT_FOUND => Err(StoreError::LeaseNotFound),
            _ => Err(refusal(&reply)),
        }
    }

    /// Ends a lease, whose keys are removed; a lease that has lapsed counts as ended.
    pub async fn revoke_lease(&self, lease: &str) -> Result<(), StoreError> {
        let path = format!("/v1/leases/{}", encode(lease));
        let reply = self
            .call(StoreCallKind::Revoke, Method::DELETE, path, None)
            .await?;
        match reply.status {
            OK | NOT_FOUND => Ok(()),
            _ => Err(refusal(&reply)),
        }
    }

    /// Returns the changes of keys with a prefix after a revision; waits for the first of them.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchAnswer, StoreError> {
        let wait_ms = wait.as_millis();
        let prefix = encode(prefix);
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
            OK => decode(&reply),
            _ => Err(refusal(&reply)),
        }
    }

    /// Returns the platform's list of instances, which lags.
    pub async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        let path = "/v1/instances".to_owned();
        let reply = self
            .call(StoreCallKind::Instances, Method::GET, path, None)
            .await?;
        match reply.status {
            OK => decode::<InstanceList>(&reply).map(|list| list.instances),
            _ => Err(refusal(&reply)),
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

/// Serializes a body; the wire types have no values that JSON lacks.
fn body<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    serde_json::to_vec(value).ok()
}

fn decode<T: DeserializeOwned>(reply: &StoreReply) -> Result<T, StoreError> {
    serde_json::from_slice(&reply.body).map_err(|_| StoreError::BadAnswer)
}

/// Returns the error of an answer; a store that failed itself may have applied the call.
fn refusal(reply: &StoreReply) -> StoreError {
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

/// Escapes all characters but those that may stand in a path and in a query.
fn encode(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
