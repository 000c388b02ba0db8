//! Adapter for the platform functions of an endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::Error;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

use crate::process::control_error::ControlError;
use crate::process::endpoint_status;
use crate::process::endpoint_status::EndpointStatus;
use crate::request::log_point::LogPoint;
use crate::request::log_point::LogTerm;
use crate::version::secret_text::SecretText;

/// Minimum timeout of an attempt to connect.
///
/// An endpoint that is slow to accept connections must not count as one that accepts none.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The address of an endpoint and the credentials for it.
#[derive(Debug, Clone)]
pub struct ControlTarget {
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The database of the endpoint's group.
    pub database: String,
    /// The instance's user name.
    pub user: String,
    /// The instance's password.
    pub password: SecretText,
}

/// An open connection and the task that drives it.
#[derive(Debug)]
struct ControlConnection {
    client: Client,
    driver: JoinHandle<()>,
}

impl Drop for ControlConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection that stays open between calls; `None` until the first call.
type CachedConnection = Mutex<Option<Arc<ControlConnection>>>;

/// Calls the platform functions of one endpoint.
///
/// Status, fence and promote calls share one connection. Await calls use another, because an
/// endpoint runs the calls of a connection one after the other.
#[derive(Debug)]
pub struct EndpointControl {
    target: ControlTarget,
    calls: CachedConnection,
    waits: CachedConnection,
}

impl EndpointControl {
    /// Creates the adapter without connecting; the first call connects.
    pub fn new(target: ControlTarget) -> Self {
        Self {
            target,
            calls: Mutex::default(),
            waits: Mutex::default(),
        }
    }

    /// Queries the status of the endpoint.
    pub async fn status(&self, timeout: Duration) -> Result<EndpointStatus, ControlError> {
        self.call(&self.calls, "platform_status()", timeout).await
    }

    /// Waits until the endpoint holds a point, for `wait` at most, and returns its status then.
    ///
    /// `timeout` is the time that the answer may take beyond `wait`.
    pub async fn await_point(
        &self,
        point: LogPoint,
        wait: Duration,
        timeout: Duration,
    ) -> Result<EndpointStatus, ControlError> {
        let query = format!(
            "platform_await({}, {}, {})",
            point.term,
            point.position,
            wait.as_millis()
        );
        self.call(&self.waits, &query, wait + timeout).await
    }

    /// Fences the endpoint; the call succeeded if the status has this fenced term and proposer.
    pub async fn fence(
        &self,
        term: LogTerm,
        proposer: &str,
        timeout: Duration,
    ) -> Result<EndpointStatus, ControlError> {
        let proposer = quote(proposer);
        let query = format!("platform_fence({term}, {proposer})");
        self.call(&self.calls, &query, timeout).await
    }

    /// Promotes the endpoint; the call succeeded if the status has the role primary and this term
    /// and proposer.
    pub async fn promote(
        &self,
        term: LogTerm,
        proposer: &str,
        timeout: Duration,
    ) -> Result<EndpointStatus, ControlError> {
        let proposer = quote(proposer);
        let query = format!("platform_promote({term}, {proposer})");
        self.call(&self.calls, &query, timeout).await
    }

    /// Opens a new connection and closes it, to check that the endpoint accepts connections.
    pub async fn probe(&self, timeout: Duration) -> Result<(), ControlError> {
        self.connect(Instant::now() + timeout).await.map(drop)
    }

    async fn call(
        &self,
        cached: &CachedConnection,
        query: &str,
        timeout: Duration,
    ) -> Result<EndpointStatus, ControlError> {
        let deadline = Instant::now() + timeout;
        let open = lock(cached).clone().filter(|c| !c.client.is_closed());
        if let Some(connection) = open {
            let result = query_status(&connection, query, deadline).await;
            // The endpoint may have closed the connection while it was idle, which is not a failure
            // of this call. All calls are idempotent, so the call is repeated on a new connection.
            let closed = result == Err(ControlError::NoAnswer) && Instant::now() < deadline;
            if !closed {
                discard_failed(cached, &connection, &result);
                return result;
            }
        }
        let connect_deadline = deadline.max(Instant::now() + MIN_CONNECT_TIMEOUT);
        let connection = Arc::new(self.connect(connect_deadline).await?);
        *lock(cached) = Some(Arc::clone(&connection));
        let result = query_status(&connection, query, Instant::now() + timeout).await;
        discard_failed(cached, &connection, &result);
        result
    }

    async fn connect(&self, deadline: Instant) -> Result<ControlConnection, ControlError> {
        match timeout_at(deadline, self.open()).await {
            Ok(result) => result,
            Err(_) => Err(ControlError::ConnectTimeout),
        }
    }

    async fn open(&self) -> Result<ControlConnection, ControlError> {
        let stream = TcpStream::connect(self.target.address)
            .await
            .map_err(|_| ControlError::ConnectRefused)?;
        let _ = stream.set_nodelay(true);
        let (client, connection) = Config::new()
            .user(&self.target.user)
            .password(self.target.password.expose())
            .dbname(&self.target.database)
            .application_name("tamaracklb-control")
            .connect_raw(stream, NoTls)
            .await
            .map_err(|error| to_control_error(&error, ControlError::ConnectRefused))?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(ControlConnection { client, driver })
    }
}

/// Calls a platform function and reads the status from its row.
///
/// The row has the nonce of the call as its last column, so that a copy of an earlier answer is not
/// taken for it.
async fn query_status(
    connection: &ControlConnection,
    call: &str,
    deadline: Instant,
) -> Result<EndpointStatus, ControlError> {
    let nonce = format!("tlb_{:032x}", rand::random::<u128>());
    let query = endpoint_status::marked_query(call, &nonce);
    let answer = timeout_at(deadline, connection.client.simple_query(&query)).await;
    let messages = match answer {
        Ok(Ok(messages)) => messages,
        Ok(Err(error)) => return Err(to_control_error(&error, ControlError::NoAnswer)),
        Err(_) => return Err(ControlError::NoAnswer),
    };
    let mut rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let (Some(row), None) = (rows.next(), rows.next()) else {
        return Err(ControlError::WrongAnswer);
    };
    let values: Vec<Option<&str>> = (0..row.len()).map(|index| row.get(index)).collect();
    match values.split_last() {
        Some((Some(marker), values)) if **marker == nonce => {
            EndpointStatus::from_text_row(values).map_err(ControlError::BadAnswer)
        }
        _ => Err(ControlError::WrongAnswer),
    }
}

/// Drops a cached connection after a failed call, unless a newer one has replaced it.
fn discard_failed(
    cached: &CachedConnection,
    connection: &Arc<ControlConnection>,
    result: &Result<EndpointStatus, ControlError>,
) {
    if result.is_err() {
        lock(cached).take_if(|present| Arc::ptr_eq(present, connection));
    }
}

/// Returns a refusal if the endpoint answered with an SQLSTATE, and otherwise `fallback`.
fn to_control_error(error: &Error, fallback: ControlError) -> ControlError {
    match error.code() {
        Some(code) => ControlError::Refused {
            sqlstate: code.code().to_owned(),
        },
        None => fallback,
    }
}

/// Quotes a text as an SQL string literal.
fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn lock(cached: &CachedConnection) -> std::sync::MutexGuard<'_, Option<Arc<ControlConnection>>> {
    cached.lock().unwrap_or_else(PoisonError::into_inner)
}
