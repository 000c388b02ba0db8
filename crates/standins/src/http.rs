//! Runs an HTTP server on its own thread.

use std::io;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;

use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use ntex::server::Server;
use ntex::web::App;
use ntex::web::HttpServer;
use ntex::web::ServiceConfig;

/// A running HTTP server, which stops when the handle is dropped.
#[derive(Debug)]
pub struct HttpHandle {
    server: Server,
}

/// Serves the routes that `configure` adds on a listener that is already bound.
///
/// # Errors
///
/// Returns an error if the thread or the server cannot be started.
pub fn serve<F>(name: &str, listener: TcpListener, configure: F) -> io::Result<HttpHandle>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let (sender, receiver) = mpsc::channel();
    let system = name.to_owned();
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            System::new(&system, DefaultRuntime).block_on(async move {
                let server = HttpServer::new(async move || App::new().configure(configure.clone()))
                    .workers(1)
                    .disable_signals()
                    .listen(listener)
                    .map(HttpServer::run);
                match server {
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
    Ok(HttpHandle { server })
}

impl Drop for HttpHandle {
    fn drop(&mut self) {
        // `stop` sends the command at once; the returned future only waits until the server ends.
        drop(self.server.stop(false));
    }
}
