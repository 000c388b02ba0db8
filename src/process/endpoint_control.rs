//! The adapter to the platform functions of an endpoint.

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
use crate::process::endpoint_status::EndpointStatus;
use crate::process::endpoint_status::STATUS_QUERY;
use crate::request::log_point::LogPoint;
use crate::request::log_point::LogTerm;
use crate::version::secret_text::SecretText;

/// The least time that an attempt to connect is given.
///
/// An endpoint that is slow to let clients in must not look like one that lets nobody in.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Where an endpoint is and how an instance authenticates to it.
#[derive(Debug, Clone)]
pub struct ControlTarget {
    /// Its address.
    pub address: SocketAddr,
    /// The database of its group.
    pub database: String,
    /// The instance's user name.
    pub user: String,
    /// The instance's password.
    pub password: SecretText,
}

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

/// A connection that is kept open between calls, once there is one.
type WarmConnection = Mutex<Option<Arc<ControlConnection>>>;

/// Calls the platform functions of one endpoint.
///
/// Status, fence and promote calls share one warm connection; waits have another, as an endpoint
/// runs the calls of a connection one after the other.
#[derive(Debug)]
pub struct EndpointControl {
    target: ControlTarget,
    calls: WarmConnection,
    waits: WarmConnection,
}

impl EndpointControl {
    /// Creates the adapter; the first call connects.
    pub fn new(target: ControlTarget) -> Self {
        Self {
            target,
            calls: Mutex::default(),
            waits: Mutex::default(),
        }
    }

    /// Reads the status.
    pub async fn status(&self, timeout: Duration) -> Result<EndpointStatus, ControlError> {
        self.call(&self.calls, STATUS_QUERY, timeout).await
    }

    /// Waits until the endpoint holds a point or `wait` is over, and returns the status then.
    ///
    /// `timeout` is the time that the answer may take beyond `wait`.
    pub async fn await_point(
        &self,
        point: LogPoint,
        wait: Duration,
        timeout: Duration,
    ) -> Result<EndpointStatus, ControlError> {
        let query = format!(
            "SELECT * FROM platform_await({}, {}, {})",
            point.term,
            point.position,
            wait.as_millis()
        );
        self.call(&self.waits, &query, wait + timeout).await
    }

    /// Fences the endpoint; the status tells by term and proposer whether it succeeded.
    pub async fn fence(
        &self,
        term: LogTerm,
        proposer: &str,
        timeout: Duration,
    ) -> Result<EndpointStatus, ControlError> {
        let proposer = quote(proposer);
        let query = format!("SELECT * FROM platform_fence({term}, {proposer})");
        self.call(&self.calls, &query, timeout).await
    }

    /// Promotes the endpoint; the status tells by role, term and proposer whether it succeeded.
    pub async fn promote(
        &self,
        term: LogTerm,
        proposer: &str,
        timeout: Duration,
    ) -> Result<EndpointStatus, ControlError> {
        let proposer = quote(proposer);
        let query = format!("SELECT * FROM platform_promote({term}, {proposer})");
        self.call(&self.calls, &query, timeout).await
    }

    /// Opens a new connection and closes it; tells whether that is possible at all.
    pub async fn probe(&self, timeout: Duration) -> Result<(), ControlError> {
        self.connect(Instant::now() + timeout).await.map(drop)
    }

    async fn call(
        &self,
        warm: &WarmConnection,
        query: &str,
        timeout: Duration,
    ) -> Result<EndpointStatus, ControlError> {
        let deadline = Instant::now() + timeout;
        let open = lock(warm).clone().filter(|c| !c.client.is_closed());
        if let Some(connection) = open {
            let result = ask(&connection, query, deadline).await;
            // A connection that the endpoint closed while idle says nothing about the endpoint.
            // All calls are idempotent, so that a new connection may repeat them.
            let closed = result == Err(ControlError::NoAnswer) && Instant::now() < deadline;
            if !closed {
                forget_failed(warm, &connection, &result);
                return result;
            }
        }
        let connect_deadline = deadline.max(Instant::now() + CONNECT_LIMIT);
        let connection = Arc::new(self.connect(connect_deadline).await?);
        *lock(warm) = Some(Arc::clone(&connection));
        let result = ask(&connection, query, Instant::now() + timeout).await;
        forget_failed(warm, &connection, &result);
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
            .map_err(|error| failure(&error, ControlError::ConnectRefused))?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(ControlConnection { client, driver })
    }
}

async fn ask(
    connection: &ControlConnection,
    query: &str,
    deadline: Instant,
) -> Result<EndpointStatus, ControlError> {
    let answer = timeout_at(deadline, connection.client.simple_query(query)).await;
    let messages = match answer {
        Ok(Ok(messages)) => messages,
        Ok(Err(error)) => return Err(failure(&error, ControlError::NoAnswer)),
        Err(_) => return Err(ControlError::NoAnswer),
    };
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let values: Vec<Option<&str>> = match row {
        Some(row) => (0..row.len()).map(|index| row.get(index)).collect(),
        None => Vec::new(),
    };
    EndpointStatus::from_text_row(&values).map_err(ControlError::BadAnswer)
}

/// Drops a warm connection after a failure, unless a newer one has taken its place.
fn forget_failed(
    warm: &WarmConnection,
    connection: &Arc<ControlConnection>,
    result: &Result<EndpointStatus, ControlError>,
) {
    if result.is_err() {
        lock(warm).take_if(|present| Arc::ptr_eq(present, connection));
    }
}

fn failure(error: &Error, broken: ControlError) -> ControlError {
    match error.code() {
        Some(code) => ControlError::Refused {
            sqlstate: code.code().to_owned(),
        },
        None => broken,
    }
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn lock(warm: &WarmConnection) -> std::sync::MutexGuard<'_, Option<Arc<ControlConnection>>> {
    warm.lock().unwrap_or_else(PoisonError::into_inner)
}
