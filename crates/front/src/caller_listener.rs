//! Accepts callers' connections.

use std::rc::Rc;

use platform::caller_codec::CallerCodec;
use platform::caller_codec::CallerReply;
use session_core::request_outcome::CallerVerdict;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::caller_session::CallerSession;
use crate::instance::Instance;
use crate::instance_limits::TICK_PERIOD;
use crate::line_channel::LineChannel;

/// Accepts connections and serves each in a session of its own, until the process ends.
pub async fn accept_callers(listener: TcpListener, instance: Rc<Instance>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    tracing::debug!(event = "caller_lost", %error);
                    continue;
                }
                let Some(memory) = instance.callers.admit().await else {
                    refuse_caller(&instance, stream);
                    continue;
                };
                let instance = Rc::clone(&instance);
                tokio::task::spawn_local(async move {
                    instance.begin_session();
                    let session = CallerSession::new(Rc::clone(&instance), stream, memory);
                    session.run().await;
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

/// Refuses a connection because there are too many. The answer is written only as far as the system
/// takes it at once.
fn refuse_caller(instance: &Instance, stream: TcpStream) {
    const REASON: &str = "too_many_connections";
    instance.report_closed_caller(REASON);
    let mut channel = LineChannel::new(stream, CallerCodec::default());
    let refusal = CallerReply::Refused {
        verdict: CallerVerdict::Busy,
        text: REASON.to_owned(),
    };
    if let Err(error) = channel.queue(refusal) {
        tracing::debug!(event = "caller_lost", %error);
    }
    if let Err(error) = channel.try_write() {
        tracing::debug!(event = "caller_lost", %error);
    }
}
