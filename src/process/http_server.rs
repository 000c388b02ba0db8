//! The HTTP port of an instance, for operators and the platform.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::IpAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use ntex::http::Payload;
use ntex::http::StatusCode;
use ntex::http::header;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web;
use ntex::web::App;
use ntex::web::FromRequest;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::HttpServer;
use ntex::web::types::State;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

use crate::process::burn_page::BurnPage;
use crate::process::decision_journal::JournalPage;
use crate::process::instance_status::InstanceStatus;
use crate::process::instance_status::UnreadyReason;
use crate::process::metrics::MetricsError;
use crate::version::secret_text::SecretText;

/// Maximum time, in seconds, for which open HTTP requests delay the server's stop.
const SHUTDOWN_S: u16 = 2;

/// Maximum number of connections; each may hold unsent answers until its time is over.
const MAX_CONNECTIONS: usize = 64;

/// Maximum time for which a connection stays open after a request, whether or not its client reads
/// the answer. Without it, clients that pipeline requests and never read hold all connections,
/// and health checks get no answer.
const CONNECTION_TIME: Duration = Duration::from_secs(5);

/// The functions through which the HTTP port reads and controls the process.
pub struct HttpPorts {
    /// Returns all metrics in the Prometheus text format.
    pub metrics: Box<dyn Fn() -> Result<String, MetricsError> + Send + Sync>,
    /// Returns the status of the instance.
    pub status: Box<dyn Fn() -> InstanceStatus + Send + Sync>,
    /// Returns the journal entries after a sequence number, or all entries.
    pub journal: Box<dyn Fn(Option<u64>) -> JournalPage + Send + Sync>,
    /// Returns the burn rates of the objectives.
    pub report: Box<dyn Fn() -> BurnPage + Send + Sync>,
    /// Starts a graceful stop; further calls have no effect.
    pub drain: Box<dyn Fn() + Send + Sync>,
    /// The token that a drain requires; without it, only loopback clients may drain.
    pub operator_token: Option<SecretText>,
}

/// The answer of `/ready`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReadyAnswer {
    /// Whether the instance should receive new callers.
    pub ready: bool,
    /// Why it is not ready; empty if it is.
    pub reasons: Vec<UnreadyReason>,
}

/// Why a drain over HTTP was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainRefusal {
    /// A token is set, and the request has a different one or none.
    BadToken,
    /// No token is set, and the request does not come from a loopback address.
    NotLoopback,
}

impl fmt::Display for DrainRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DrainRefusal::BadToken => "the operator token is missing or wrong",
            DrainRefusal::NotLoopback => {
                "without operator_token in the settings, only loopback callers may drain"
            }
        })
    }
}

impl std::error::Error for DrainRefusal {}

/// Checks whether a request may drain the instance.
pub fn authorize_drain(
    token: Option<&SecretText>,
    authorization: Option<&str>,
    caller: Option<IpAddr>,
) -> Result<(), DrainRefusal> {
    match token {
        Some(token) => {
            let given = authorization.and_then(|text| text.strip_prefix("Bearer "));
            let given = given.unwrap_or_default().as_bytes();
            match bool::from(given.ct_eq(token.expose().as_bytes())) {
                true => Ok(()),
                false => Err(DrainRefusal::BadToken),
            }
        }
        None if caller.is_some_and(|address| address.is_loopback()) => Ok(()),
        None => Err(DrainRefusal::NotLoopback),
    }
}

/// A running HTTP port; dropping the handle stops it.
#[derive(Debug)]
pub struct HttpServerHandle {
    server: Server,
}

impl Drop for HttpServerHandle {
    fn drop(&mut self) {
        // `stop` sends the command at once; the returned future only waits for the server to stop.
        drop(self.server.stop(false));
    }
}

/// Serves the HTTP port on a dedicated thread, so that a busy process still answers.
///
/// Returns the operating system's error if the thread or the server cannot be started.
pub fn start_http_server(
    listener: TcpListener,
    ports: Arc<HttpPorts>,
) -> io::Result<HttpServerHandle> {
    let (sender, receiver) = mpsc::channel();
    thread::Builder::new()
        .name("http-server".to_owned())
        .spawn(move || {
            System::new("http-server", DefaultRuntime).block_on(async move {
                match run_server(listener, ports) {
                    Ok(server) => {
                        let _ = sender.send(Ok(server.clone()));
                        let _ = server.await;
                    }
                    Err(error) => {
                        let _ = sender.send(Err(error));
                    }
                }
            });
        })?;
    let server = receiver
        .recv()
        .map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))??;
    Ok(HttpServerHandle { server })
}

fn run_server(listener: TcpListener, ports: Arc<HttpPorts>) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(Arc::clone(&ports))
            .service(web::resource("/metrics").route(web::get().to(get_metrics)))
            .service(web::resource("/health").route(web::get().to(get_health)))
            .service(web::resource("/ready").route(web::get().to(get_ready)))
            .service(web::resource("/status").route(web::get().to(get_status)))
            .service(web::resource("/journal").route(web::get().to(get_journal)))
            .service(web::resource("/report").route(web::get().to(get_report)))
            .service(web::resource("/drain").route(web::post().to(post_drain)))
            .default_service(web::route().to(get_unknown))
    });
    let server = server
        .workers(1)
        .maxconn(MAX_CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(Seconds(SHUTDOWN_S))
        .listen(listener)?;
    Ok(server.run())
}

/// Closes the connection of a request after its time.
struct ConnectionDeadline;

impl<E> FromRequest<E> for ConnectionDeadline {
    type Error = Infallible;

    async fn from_request(request: &HttpRequest, _: &mut Payload) -> Result<Self, Infallible> {
        if let Some(io) = request.io().cloned() {
            ntex::rt::spawn(async move {
                ntex::time::sleep(CONNECTION_TIME).await;
                io.terminate();
            });
        }
        Ok(Self)
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct JournalQuery {
    #[serde(default)]
    after: Option<u64>,
}

async fn get_metrics(ports: State<Arc<HttpPorts>>, _: ConnectionDeadline) -> HttpResponse {
    match (ports.metrics)() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn get_health(_: ConnectionDeadline) -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn get_unknown(_: ConnectionDeadline) -> HttpResponse {
    HttpResponse::NotFound().finish()
}

async fn get_ready(ports: State<Arc<HttpPorts>>, _: ConnectionDeadline) -> HttpResponse {
    let reasons = (ports.status)().unready_reasons();
    let ready = reasons.is_empty();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    HttpResponse::build(status).json(&ReadyAnswer { ready, reasons })
}

async fn get_status(ports: State<Arc<HttpPorts>>, _: ConnectionDeadline) -> HttpResponse {
    HttpResponse::Ok().json(&(ports.status)())
}

async fn get_journal(
    ports: State<Arc<HttpPorts>>,
    query: web::types::Query<JournalQuery>,
    _: ConnectionDeadline,
) -> HttpResponse {
    HttpResponse::Ok().json(&(ports.journal)(query.after))
}

async fn get_report(ports: State<Arc<HttpPorts>>, _: ConnectionDeadline) -> HttpResponse {
    HttpResponse::Ok().json(&(ports.report)())
}

async fn post_drain(
    ports: State<Arc<HttpPorts>>,
    request: HttpRequest,
    _: ConnectionDeadline,
) -> HttpResponse {
    let authorization = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let caller = request.peer_addr().map(|address| address.ip());
    match authorize_drain(ports.operator_token.as_ref(), authorization, caller) {
        Ok(()) => {
            (ports.drain)();
            HttpResponse::Accepted().body("draining\n")
        }
        Err(refusal) => {
            tracing::warn!("http: drain refused: {refusal}");
            HttpResponse::Forbidden().body(format!("{refusal}\n"))
        }
    }
}
