//! Signals that stop the process or tell that the settings changed.

use std::io;
use std::rc::Rc;

use platform::instance_settings::load_settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;

use crate::instance::Instance;

/// Handles signals; returns when the process is to end. `accepting` is the task that accepts
/// callers.
///
/// # Errors
///
/// Fails where a signal handler cannot be set.
pub async fn handle_signals(instance: Rc<Instance>, accepting: JoinHandle<()>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = hangup.recv() => report_reload(&instance),
            _ = terminate.recv() => break,
        }
    }
    let grace = instance.settings.grace_time;
    tracing::info!(
        event = "stop_requested",
        sessions = instance.sessions.get(),
        grace_ms = grace.as_millis() as u64,
    );
    instance.begin_stop();
    tokio::select! {
        () = end_sessions(&instance, accepting) => {}
        // The last tenth is for the end of the process itself.
        () = tokio::time::sleep(grace.mul_f64(0.9)) => {}
        _ = terminate.recv() => tracing::warn!(event = "stop_forced"),
    }
    Ok(())
}

/// Waits until no session is open and none can begin.
async fn end_sessions(instance: &Instance, accepting: JoinHandle<()>) {
    instance.sessions_ended().await;
    // A session that begins from here on would be cut by the end of the process.
    accepting.abort();
    if let Err(error) = accepting.await
        && !error.is_cancelled()
    {
        tracing::error!(event = "accepting_failed", %error);
    }
    instance.sessions_ended().await;
}

/// Checks changed settings. Addresses, name and zone are those of the process's whole life, so the
/// platform starts it again for others; faulty settings change nothing.
fn report_reload(instance: &Instance) {
    match load_settings() {
        Ok(settings) if settings == instance.settings => {
            tracing::info!(event = "reload", outcome = "unchanged");
        }
        Ok(_) => tracing::warn!(event = "reload", outcome = "in_force_after_the_next_start"),
        Err(error) => tracing::error!(event = "reload", outcome = "refused", %error),
    }
}
