//! Handles the signals that stop the process or apply changed settings.

use std::io;
use std::rc::Rc;

use platform::instance_settings::load_settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;

use crate::instance::Instance;

/// Handles signals, and returns when the process should exit. `accepting` is the task that accepts
/// callers.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed.
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
        () = await_sessions(&instance, accepting) => {}
        // The last tenth of the grace time is for the exit of the process itself.
        () = tokio::time::sleep(grace.mul_f64(0.9)) => {}
        _ = terminate.recv() => tracing::warn!(event = "stop_forced"),
    }
    Ok(())
}

/// Waits until no session is open, and stops accepting new ones.
async fn await_sessions(instance: &Instance, accepting: JoinHandle<()>) {
    instance.await_no_sessions().await;
    // A session accepted from here on would be cut off by the exit of the process.
    accepting.abort();
    if let Err(error) = accepting.await
        && !error.is_cancelled()
    {
        tracing::error!(event = "accepting_failed", %error);
    }
    instance.await_no_sessions().await;
}

/// Loads the changed settings and logs the result. Addresses, name and zone cannot change in a
/// running process, so the platform restarts it to apply them; invalid settings change nothing.
fn report_reload(instance: &Instance) {
    match load_settings() {
        Ok(settings) if settings == instance.settings => {
            tracing::info!(event = "reload", outcome = "unchanged");
        }
        Ok(_) => tracing::warn!(event = "reload", outcome = "in_force_after_the_next_start"),
        Err(error) => tracing::error!(event = "reload", outcome = "refused", %error),
    }
}
