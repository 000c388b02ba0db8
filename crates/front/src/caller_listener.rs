//! Accepts callers' connections.

use std::rc::Rc;

use tokio::net::TcpListener;

use crate::caller_session::CallerSession;
use crate::instance::Instance;
use crate::instance_limits::TICK_PERIOD;

/// Accepts connections and serves each in a session of its own, until the process ends.
pub async fn accept_callers(listener: TcpListener, instance: Rc<Instance>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    tracing::debug!(event = "caller_lost", %error);
                    continue;
                }
                let instance = Rc::clone(&instance);
                tokio::task::spawn_local(async move {
                    instance.begin_session();
                    CallerSession::new(Rc::clone(&instance), stream).run().await;
                    instance.end_session();
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(TICK_PERIOD).await;
            }
        }
    }
}
