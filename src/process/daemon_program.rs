//! The daemon's executable: arguments, signals and exit codes.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tracing::error;
use tracing::info;
use tracing::warn;

use crate::process::daemon::Daemon;
use crate::process::log_setup::LogControl;
use crate::process::log_setup::init_logging;
use crate::process::settings::DaemonSettings;
use crate::process::settings::load_settings;

/// Exit code when the settings or the environment prevent the daemon from starting.
const START_FAILED: u8 = 1;

/// Exit code when a signal during the drain stops the daemon at once.
const STOPPED_AT_ONCE: u8 = 130;

/// Serve callers of the platform's databases.
#[derive(FromArgs)]
struct DaemonArgs {
    /// the settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the daemon until a signal or an HTTP request stops it, and returns the exit code.
pub fn run_daemon() -> ExitCode {
    let args: DaemonArgs = argh::from_env();
    let settings = match load_settings(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(START_FAILED);
        }
    };
    let control = match init_logging(settings.log_format, settings.log_level) {
        Ok(control) => control,
        Err(error) => {
            eprintln!("tamaracklbd: {error}");
            return ExitCode::from(START_FAILED);
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            error!("daemon: cannot start its threads: {error}");
            return ExitCode::from(START_FAILED);
        }
    };
    let code = runtime.block_on(serve(&args.settings, settings, &control));
    runtime.shutdown_background();
    code
}

struct DaemonSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl DaemonSignals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

async fn serve(path: &Path, settings: DaemonSettings, control: &LogControl) -> ExitCode {
    let mut signals = match DaemonSignals::new() {
        Ok(signals) => signals,
        Err(error) => {
            error!("daemon: cannot handle signals: {error}");
            return ExitCode::from(START_FAILED);
        }
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            error!("daemon: did not start: {error}");
            return ExitCode::from(START_FAILED);
        }
    };
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload(path, control),
            () = daemon.drain_requested() => break,
        }
    }
    tokio::select! {
        () = daemon.drain() => ExitCode::SUCCESS,
        () = signals.stop() => {
            info!("daemon: stopped by a signal before the drain ended");
            ExitCode::from(STOPPED_AT_ONCE)
        }
    }
}

/// Reads the settings again and applies the log level; other settings need a restart.
fn reload(path: &Path, control: &LogControl) {
    match load_settings(path) {
        Ok(settings) => {
            if let Err(error) = control.set_level(settings.log_level) {
                warn!("daemon: the log level did not change: {error}");
            }
            info!("daemon: reloaded its settings");
        }
        Err(error) => warn!("daemon: kept its settings: {error}"),
    }
}
